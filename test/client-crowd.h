#pragma once

#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "kernel/loop.h"
#include "kernel/tcp-stream.h"

/// Clients that keep to no limits, and what a process holds while they press.

namespace bluebellpass::test {

/// What one client of a crowd sends: a start, and then a piece again and again.
struct CrowdRequest {
  std::string start;
  std::string piece;
  std::size_t pieces = 0;  ///< how often the piece is sent
};

/// Clients that send the same request, each on a connection of its own that stays open.
class ClientCrowd {
 public:
  ClientCrowd(EventLoop& loop, const Address& address, std::size_t clients, CrowdRequest request)
      : m_request(std::move(request)) {
    for (std::size_t i = 0; i < clients; ++i) {
      auto stream = TcpStream::Connect(loop, address, TcpKeepAlive{}, [] {});
      stream->OnEnd([](StreamEndReason) {});
      stream->Read([](std::string_view) {});
      stream->Write(m_request.start);
      m_clients.push_back({std::move(stream), m_request.pieces});
    }
  }
  /// Sends more, as far as the other side takes it.
  void SendMore() {
    for (Client& client : m_clients) {
      while (client.pieces_left > 0 && client.stream->IsOpen() && client.stream->IsConnected() &&
             client.stream->PendingBytes() < kMaxPendingBytes) {
        std::string block;
        while (client.pieces_left > 0 && block.size() < kBlockBytes) {
          block += m_request.piece;
          --client.pieces_left;
        }
        client.stream->Write(std::move(block));
      }
    }
  }
  /// @return true when each client has sent everything or was disconnected
  bool IsDone() const {
    for (const Client& client : m_clients)
      if (client.stream->IsOpen() && (client.pieces_left > 0 || client.stream->PendingBytes() > 0))
        return false;
    return true;
  }

 private:
  static constexpr std::size_t kMaxPendingBytes = 128U << 10U;
  static constexpr std::size_t kBlockBytes = 16U << 10U;
  struct Client {
    std::shared_ptr<TcpStream> stream;
    std::size_t pieces_left = 0;
  };

  CrowdRequest m_request;
  std::vector<Client> m_clients;
};

/// @return resident memory of a process
inline std::size_t ResidentBytes(int pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string word; status >> word;) {
    std::size_t kilobytes = 0;
    if (word == "VmRSS:" && status >> kilobytes) return kilobytes << 10U;
  }
  return 0;
}

/// @return number of open descriptors of a process
inline std::size_t OpenDescriptors(int pid) {
  std::error_code error;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator entry("/proc/" + std::to_string(pid) + "/fd", error),
       end;
       !error && entry != end; entry.increment(error))
    ++count;
  return count;
}

}  // namespace bluebellpass::test
