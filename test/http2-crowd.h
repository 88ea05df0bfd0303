#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/loop.h"
#include "kernel/tcp-stream.h"

namespace bluebellpass::test {

/// Clients that send unfinished request bodies over HTTP/2, on several streams of each connection.
class Http2Crowd {
 public:
  /// @param body_bytes sent on each stream, without an end
  Http2Crowd(EventLoop& loop, const Address& address, std::size_t connections, std::size_t streams,
             std::size_t body_bytes) {
    for (std::size_t i = 0; i < connections; ++i)
      m_connections.push_back(std::make_unique<Connection>(loop, address, streams, body_bytes));
  }
  void SendMore() {
    for (const auto& connection : m_connections) connection->SendMore();
  }
  bool IsDone() const {
    for (const auto& connection : m_connections)
      if (!connection->IsDone()) return false;
    return true;
  }

 private:
  // Frame types and settings of RFC 9113.
  static constexpr std::uint8_t kData = 0;
  static constexpr std::uint8_t kHeaders = 1;
  static constexpr std::uint8_t kSettings = 4;
  static constexpr std::uint8_t kWindowUpdate = 8;
  static constexpr std::uint8_t kAck = 1;
  static constexpr std::uint8_t kEndHeaders = 4;
  static constexpr std::uint16_t kInitialWindowSetting = 4;
  static constexpr std::int64_t kDefaultWindow = 65'535;
  static constexpr std::size_t kFrameBytes = 16'384;
  static constexpr std::size_t kFrameHeadBytes = 9;
  static constexpr std::size_t kMaxPendingBytes = 256U << 10U;

  static std::string Frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream,
                           const std::string& payload) {
    std::string frame;
    const auto size = static_cast<std::uint32_t>(payload.size());
    for (const int shift : {16, 8, 0}) frame += static_cast<char>(size >> shift);
    frame += static_cast<char>(type);
    frame += static_cast<char>(flags);
    for (const int shift : {24, 16, 8, 0}) frame += static_cast<char>(stream >> shift);
    return frame + payload;
  }
  /// The head of a POST, in literal HPACK fields.
  static std::string HeaderBlock() {
    const std::string path = "/v1/requests";
    const std::string authority = "crowd";
    return std::string("\x83\x86\x04") + static_cast<char>(path.size()) + path + '\x01' +
           static_cast<char>(authority.size()) + authority;
  }

  class Connection {
   public:
    Connection(EventLoop& loop, const Address& address, std::size_t streams, std::size_t body_bytes)
        : m_stream(TcpStream::Connect(loop, address, TcpKeepAlive{}, [] {})) {
      m_stream->OnEnd([](StreamEndReason) {});
      m_stream->Read([this](std::string_view bytes) { OnBytes(bytes); });
      m_stream->Write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + Frame(kSettings, 0, 0, ""));
      for (std::size_t i = 0; i < streams; ++i) {
        const auto id = static_cast<std::uint32_t>(2 * i + 1);
        m_bodies[id] = {body_bytes, kDefaultWindow};
        m_stream->Write(Frame(kHeaders, kEndHeaders, id, HeaderBlock()));
      }
    }
    ~Connection() { m_stream->Close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void SendMore() {
      for (auto& [id, body] : m_bodies) {
        while (m_stream->IsOpen() && body.bytes_left > 0 && body.window > 0 && m_window > 0 &&
               m_stream->PendingBytes() < kMaxPendingBytes) {
          const auto allowed = static_cast<std::size_t>(std::min(body.window, m_window));
          const std::size_t size = std::min({body.bytes_left, allowed, kFrameBytes});
          m_stream->Write(Frame(kData, 0, id, std::string(size, 'x')));
          body.bytes_left -= size;
          body.window -= static_cast<std::int64_t>(size);
          m_window -= static_cast<std::int64_t>(size);
        }
      }
    }
    bool IsDone() const {
      if (!m_stream->IsOpen()) return true;
      for (const auto& [id, body] : m_bodies)
        if (body.bytes_left > 0) return false;
      return m_stream->PendingBytes() == 0;
    }

   private:
    struct Body {
      std::size_t bytes_left = 0;
      std::int64_t window = 0;
    };

    static std::uint32_t Number(std::string_view bytes) {
      std::uint32_t number = 0;
      for (const char byte : bytes) number = number << 8U | static_cast<unsigned char>(byte);
      return number;
    }
    void OnBytes(std::string_view bytes) {
      m_received.append(bytes);
      while (m_received.size() >= kFrameHeadBytes) {
        const std::size_t size = Number(m_received.substr(0, 3));
        if (m_received.size() < kFrameHeadBytes + size) return;
        OnFrame(static_cast<std::uint8_t>(m_received[3]), static_cast<std::uint8_t>(m_received[4]),
                Number(m_received.substr(5, 4)), m_received.substr(kFrameHeadBytes, size));
        m_received.erase(0, kFrameHeadBytes + size);
      }
    }
    void OnFrame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream,
                 const std::string& payload) {
      if (type == kWindowUpdate && payload.size() == 4) {
        const std::int64_t increment = Number(payload);
        if (stream == 0) m_window += increment;
        if (const auto found = m_bodies.find(stream); found != m_bodies.end())
          found->second.window += increment;
      }
      if (type != kSettings || (flags & kAck) != 0) return;
      for (std::size_t at = 0; at + 6 <= payload.size(); at += 6)
        if (Number(payload.substr(at, 2)) == kInitialWindowSetting)
          for (auto& [id, body] : m_bodies)
            body.window += Number(payload.substr(at + 2, 4)) - kDefaultWindow;
      m_stream->Write(Frame(kSettings, kAck, 0, ""));
    }

    std::shared_ptr<TcpStream> m_stream;
    std::string m_received;
    std::map<std::uint32_t, Body> m_bodies;  ///< by stream
    std::int64_t m_window = kDefaultWindow;
  };

  std::vector<std::unique_ptr<Connection>> m_connections;
};

}  // namespace bluebellpass::test
