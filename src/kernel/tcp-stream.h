#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "bluebellpass/types.h"
#include "memory-account.h"

struct st_h2o_socket_t;

namespace bluebellpass {

class EventLoop;

/// Why a stream ended.
enum class StreamEndReason {
  kClosed,         ///< the peer closed the connection in an orderly way
  kReset,          ///< the connection failed
  kConnectFailed,  ///< the connection was not established; no byte was sent
};

/// TCP keep-alive options, which detect peers that disappear without a reset. Probes cost nothing
/// on connections with traffic.
struct TcpKeepAlive {
  int idle_s = 1;      ///< idle time before the first probe
  int interval_s = 1;  ///< time between probes
  int probes = 3;      ///< unanswered probes before the connection is reset
  /// Longest time that sent bytes may stay unacknowledged. The system also resets a connection that
  /// has been silent for this long once a probe is unanswered, whatever their number.
  int unacknowledged_ms = 3'000;
};

/// A TCP connection on the event loop. Callbacks are called from the loop, never from inside a
/// member function, except for the end handler when an account makes a stream give up its bytes.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  using ReadHandler = std::function<void(std::string_view bytes)>;
  using EndHandler = std::function<void(StreamEndReason reason)>;

  TcpStream() = default;
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Creates a stream that owns an accepted socket.
  /// @param account counts the bytes that wait to be sent; above its limit the connection is reset
  static std::shared_ptr<TcpStream> Accept(st_h2o_socket_t* socket, const TcpKeepAlive& keep_alive,
                                           MemoryAccount* account = nullptr);
  /// Starts to connect. A failure is reported to the end handler as kConnectFailed.
  /// @param account counts the bytes that wait to be sent, without a limit
  static std::shared_ptr<TcpStream> Connect(EventLoop& loop, const Address& address,
                                            const TcpKeepAlive& keep_alive,
                                            std::function<void()> on_connected,
                                            MemoryAccount* account = nullptr);

  /// Starts reading. The handler must consume all bytes of each call.
  void Read(ReadHandler handler) {
    m_read_handler = std::move(handler);
    StartReading();
  }
  void OnEnd(EndHandler handler) { m_on_end = std::move(handler); }
  /// Pauses or resumes reading, which applies backpressure to the peer.
  void SetPaused(bool is_paused);

  /// Queues bytes. They are dropped if the stream is closed.
  void Write(std::string bytes);
  /// @return number of bytes not yet passed to the system
  std::size_t PendingBytes() const { return m_pending.size() + m_sending.size() - m_sent_bytes; }
  /// Closes the connection without calling the end handler. Queued bytes are lost.
  void Close();
  /// Closes the connection after all queued bytes have been sent, also if its owner releases it
  /// before. The end handler is not called any more.
  void CloseAfterWrites();
  bool IsOpen() const { return m_socket != nullptr; }
  bool IsConnected() const { return m_is_connected; }
  /// Checks the socket for input that the loop has not read yet.
  /// @return true if the peer has sent bytes, closed or reset the connection
  bool HasUnreadInput() const;
  /// @return the IPv4 address of the other side in network byte order; 0 if unknown
  std::uint32_t PeerIp() const;
  /// @return the file descriptor, or -1 if the stream is closed
  int Descriptor() const;

 private:
  static void HandleConnected(st_h2o_socket_t* socket, const char* error);
  static void HandleRead(st_h2o_socket_t* socket, const char* error);
  static void HandleWritable(st_h2o_socket_t* socket, const char* error);

  void Attach(st_h2o_socket_t* socket, const TcpKeepAlive& keep_alive);
  void StartReading();
  /// Passes as many bytes to the system as it takes, and waits until it takes the others. A failure
  /// ends the stream in a later iteration of the event loop. Writes of the library do not tell
  /// which error they have met.
  void Flush();
  void ClearSending();
  /// The system reports the error of a connection once. After a failed write has taken it, a read
  /// finds what looks like an orderly end.
  /// @return true if a write has failed because the connection was reset or lost
  bool IsReset() const;
  void CountPendingBytes();
  void End(StreamEndReason reason);

  st_h2o_socket_t* m_socket = nullptr;
  bool m_is_connected = false;
  bool m_is_paused = false;
  bool m_is_closing_after_writes = false;
  bool m_is_waiting_to_write = false;
  int m_write_error = 0;  ///< errno of a write that failed, or 0
  std::string m_pending;
  std::string m_sending;         ///< written before the pending bytes
  std::size_t m_sent_bytes = 0;  ///< bytes at the front of m_sending that the system has taken
  ReadHandler m_read_handler;
  EndHandler m_on_end;
  std::function<void()> m_on_connected;
  std::shared_ptr<TcpStream> m_kept_until_closed;  ///< itself while it closes after its writes
  std::unique_ptr<MemoryAccount::Holder> m_pending_holder;  ///< null if nothing is counted
};

/// Reads what a socket has received, up to the size of the buffer. The library would read on while
/// the peer sends faster, into memory of its own. To be called for a socket that is set up by
/// StartBoundedReading.
/// @return the bytes, which are empty if none have arrived, or the reason if the stream has ended
std::variant<std::string_view, StreamEndReason> ReadAvailable(st_h2o_socket_t* socket,
                                                              std::span<char> buffer);
/// Calls the function when the socket has input, which the library leaves to ReadAvailable.
void StartBoundedReading(st_h2o_socket_t* socket,
                         void (*on_readable)(st_h2o_socket_t* socket, const char* error));

/// A listening socket.
struct ListeningSocket {
  st_h2o_socket_t* socket = nullptr;
  Address address;
  std::string error;
};

/// Opens a listening socket.
/// @param backlog maximum number of connections waiting to be accepted
/// @return the socket and its bound address; on failure a null socket and the system's error
/// message
ListeningSocket OpenListeningSocket(EventLoop& loop, const Address& address, int backlog);

}  // namespace bluebellpass
