#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "bluebellpass/types.h"

struct st_h2o_socket_t;

namespace bluebellpass {

class EventLoop;

/// Why a stream can no longer be used.
enum class StreamEndReason {
  kClosed,         ///< the peer has closed its end in order
  kReset,          ///< the connection failed
  kConnectFailed,  ///< the connection was never established; no byte has left
};

/// Detects peers that vanish without a reset: seconds until an idle connection is probed, and
/// milliseconds that sent bytes may stay unacknowledged. Probes cost nothing on live connections.
struct TcpKeepAlive {
  int idle_s = 1;
  int interval_s = 1;
  int probes = 3;
  int unacknowledged_ms = 3'000;
};

/// A TCP connection on the event loop. Callbacks come from the loop, never from a call of the
/// owner.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  using Reader = std::function<void(std::string_view bytes)>;
  using EndHandler = std::function<void(StreamEndReason end)>;

  explicit TcpStream(EventLoop& loop) : m_loop(loop) {}
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Takes over an accepted socket.
  static std::shared_ptr<TcpStream> Accept(EventLoop& loop, st_h2o_socket_t* socket,
                                           const TcpKeepAlive& keep_alive);
  /// Starts to connect; failure is reported to the end handler as kConnectFailed.
  static std::shared_ptr<TcpStream> Connect(EventLoop& loop, const Address& address,
                                            const TcpKeepAlive& keep_alive,
                                            std::function<void()> on_connected);

  /// Starts reading. All bytes of a call are consumed by the reader.
  void Read(Reader reader) {
    m_reader = std::move(reader);
    StartReading();
  }
  void OnEnd(EndHandler handler) { m_on_end = std::move(handler); }
  /// Stops and starts reading, so that a slow consumer slows the peer.
  void SetPaused(bool is_paused);

  /// Queues bytes; they are dropped on a closed stream.
  void Write(std::string bytes);
  /// @return bytes that the system has not taken yet
  std::size_t PendingBytes() const { return m_pending.size() + m_sending->size(); }
  /// Closes without a call to the end handler; queued bytes that were not sent are lost.
  void Close();
  /// Closes after all queued bytes have been sent.
  void CloseAfterWrites();
  bool IsOpen() const { return m_socket != nullptr; }
  bool IsConnected() const { return m_is_connected; }
  /// Looks past the loop at the socket itself.
  /// @return true when the peer has sent bytes, closed or reset, which the loop has not read yet
  bool HasUnreadInput() const;
  /// @return the system's descriptor, or -1 on a closed stream
  int Descriptor() const;

 private:
  static void HandleConnected(st_h2o_socket_t* socket, const char* error);
  static void HandleRead(st_h2o_socket_t* socket, const char* error);
  static void HandleWritten(st_h2o_socket_t* socket, const char* error);

  void Attach(st_h2o_socket_t* socket, const TcpKeepAlive& keep_alive);
  void StartReading();
  void Flush();
  void End(StreamEndReason end);

  EventLoop& m_loop;
  st_h2o_socket_t* m_socket = nullptr;
  bool m_is_connected = false;
  bool m_is_paused = false;
  bool m_closes_after_writes = false;
  std::string m_pending;
  /// The socket refers to it until its write ends, which can be after the end of the stream.
  std::shared_ptr<std::string> m_sending = std::make_shared<std::string>();
  Reader m_reader;
  EndHandler m_on_end;
  std::function<void()> m_on_connected;
};

/// Opens a listening socket.
/// @param backlog connections that may wait for the loop
/// @return the socket and the address in use; a null socket with the system's reason on failure
struct Listener {
  st_h2o_socket_t* socket = nullptr;
  Address address;
  std::string error;
};
Listener OpenListener(EventLoop& loop, const Address& address, int backlog);

}  // namespace bluebellpass
