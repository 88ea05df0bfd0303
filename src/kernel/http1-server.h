#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/timer.h"
#include "connection-table.h"
#include "http1.h"
#include "memory-account.h"
#include "tcp-stream.h"

namespace bluebellpass {

/// Limits on clients' requests and connections. May be changed while the server runs.
struct Http1Limits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  Millis request_timeout{3'000};  ///< from the first to the last byte of a request
  Millis idle_timeout{15'000};    ///< between requests
  std::size_t max_connections = 1'000;
};

/// Why a client was turned away before its request was handled, so that the request did not run.
enum class ClientRejection : std::uint8_t {
  kMalformed,
  kHeadTooLong,
  kBodyTooLarge,
  kMemory,       ///< its unfinished request was the largest one when memory ran out
  kConnections,  ///< its connection was closed for a new one, or no connection could be closed
};

/// @return the stable name in logs and metrics
std::string_view NameOf(ClientRejection rejection);

class Http1Connection;

/// A complete request and the response to it. Calls after the client has disconnected do nothing.
class HttpExchange {
 public:
  /// @param account counts the body; may be null
  HttpExchange(std::weak_ptr<Http1Connection> connection, HttpHead head, std::string body,
               MemoryAccount* account = nullptr);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const HttpHead& Head() const { return m_head; }
  const std::string& Body() const { return m_body; }
  /// Frees the memory of the request's body.
  void ReleaseBody();
  /// Sets a function that is called when the body must be released because memory is short. Without
  /// it the body is released. After PinBody it is never called.
  void OnBodyEvicted(std::function<void()> function) { m_on_body_evicted = std::move(function); }
  /// @return true if the body was released before anybody could handle it
  bool IsBodyLost() const { return m_is_body_lost; }
  /// Keeps the body, because the request may have been sent on.
  void PinBody() { m_held_body.Pin(); }

  /// Sends a complete response.
  void Send(int status, std::vector<HttpField> fields, std::string_view body);
  /// Starts a response of unknown length, continued with Write and End.
  void Start(int status, std::vector<HttpField> fields);
  void Write(std::string_view bytes);
  void End();
  /// Closes the connection, so that the client sees a truncated response.
  void Abort();

  bool IsOpen() const;
  bool IsStarted() const { return m_is_started; }
  /// @return bytes of the response that have not been passed to the system
  std::size_t PendingBytes() const;
  /// Sets a function that is called once if the client disconnects before the end of the response.
  void OnClosed(std::function<void()> function) { m_on_closed = std::move(function); }
  /// Called by the connection when it is closed.
  void NotifyClosed();

 private:
  std::weak_ptr<Http1Connection> m_connection;
  HttpHead m_head;
  std::string m_body;
  std::function<void()> m_on_body_evicted;
  MemoryAccount::Holder m_held_body;
  bool m_is_body_lost = false;
  bool m_is_started = false;
  bool m_is_ended = false;
  std::function<void()> m_on_closed;
};

/// HTTP/1.1 server that passes complete requests to a handler and detects clients that disconnect
/// during the response. Pipelined requests of a connection are handled one at a time.
class Http1Server {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// @param account counts the bytes of requests, and of responses that clients have not taken yet;
  /// may be null
  Http1Server(EventLoop& loop, Http1Limits limits, Handler handler,
              MemoryAccount* account = nullptr);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  /// Opens the listening socket. Port 0 selects a free port.
  /// @return the bound address, or kInternal with the system's error message
  Result<Address> Listen(const Address& address);
  /// Sets the limits for requests that arrive from now on.
  void SetLimits(const Http1Limits& limits) { m_limits = limits; }
  const Http1Limits& Limits() const { return m_limits; }

  /// Sets a function that is called for each client that is turned away.
  void OnRejection(std::function<void(ClientRejection rejection)> function) {
    m_on_rejection = std::move(function);
  }

  /// Closes idle connections, and each other connection after its next response, which carries
  /// `Connection: close`.
  void BeginDrain();
  /// Closes the listening socket.
  void StopAccepting();
  std::size_t ConnectionCount() const { return m_connections.size(); }

 private:
  friend class Http1Connection;
  static void HandleAccept(st_h2o_socket_t* listener, const char* error);
  void Remove(Http1Connection* connection);
  void Reject(ClientRejection rejection) {
    if (m_on_rejection) m_on_rejection(rejection);
  }
  /// Pauses a connection that receives a large body while memory is scarce, unless it is its turn.
  /// One body at a time goes on, so that some can be completed.
  void PauseIfScarce(Http1Connection& connection);
  void ResumeBodies();

  EventLoop& m_loop;
  Http1Limits m_limits;
  Handler m_handler;
  MemoryAccount* m_account;
  st_h2o_socket_t* m_listener = nullptr;
  bool m_is_draining = false;
  std::unordered_map<Http1Connection*, std::shared_ptr<Http1Connection>> m_connections;
  ConnectionTable<Http1Connection> m_table;
  std::function<void(ClientRejection rejection)> m_on_rejection;
  std::weak_ptr<Http1Connection> m_large_body;  ///< goes on while memory is scarce
  std::deque<std::weak_ptr<Http1Connection>> m_paused_bodies;
  Timer m_resume_timer;
};

}  // namespace bluebellpass
