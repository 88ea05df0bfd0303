#pragma once

#include <sys/socket.h>

#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/h2o.h"
#include "kernel/loop.h"
#include "kernel/tcp-stream.h"

namespace bluebellpass {

/// Closes a connection with a reset.
inline void ResetConnection(TcpStream& stream) {
  const linger abort{1, 0};
  setsockopt(stream.Descriptor(), SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  stream.Close();
}

/// A TCP server that records the bytes received on each connection. Tests write the responses to
/// the streams.
class RawServer {
 public:
  explicit RawServer(EventLoop& loop) {
    const ListeningSocket listener = OpenListeningSocket(loop, {"127.0.0.1", 0}, 16);
    m_listener = listener.socket;
    address = listener.address;
    m_listener->data = this;
    h2o_socket_read_start(m_listener, &RawServer::OnAccept);
  }
  ~RawServer() { h2o_socket_close(m_listener); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  Address address;
  std::vector<std::shared_ptr<TcpStream>> streams;
  std::vector<std::string> received;
  /// The server stops reading a connection after this many bytes.
  std::size_t max_received_bytes = std::numeric_limits<std::size_t>::max();

 private:
  static void OnAccept(h2o_socket_t* listener, const char* error) {
    if (error != nullptr) return;
    auto* self = static_cast<RawServer*>(listener->data);
    h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
    if (socket == nullptr) return;
    const std::size_t index = self->streams.size();
    self->received.emplace_back();
    self->streams.push_back(TcpStream::Accept(socket, TcpKeepAlive{}));
    self->streams.back()->Read([self, index](std::string_view bytes) {
      self->received[index].append(bytes);
      if (self->received[index].size() >= self->max_received_bytes)
        self->streams[index]->SetPaused(true);
    });
  }

  h2o_socket_t* m_listener = nullptr;
};

}  // namespace bluebellpass
