#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/timer.h"
#include "http1.h"
#include "tcp-stream.h"

namespace bluebellpass {

/// Limits of a server towards its clients. May be changed while it runs.
struct Http1Limits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  Millis header_timeout{3'000};  ///< from the first byte of a request to its last
  Millis idle_timeout{15'000};   ///< between requests
  std::size_t max_connections = 1'000;
};

class Http1Connection;

/// A whole request and the response to it. Calls after the client has gone do nothing.
class HttpExchange {
 public:
  HttpExchange(std::weak_ptr<Http1Connection> connection, HttpHead head, std::string body);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const HttpHead& Head() const { return m_head; }
  const std::string& Body() const { return m_body; }
  /// Releases the memory of the request's body.
  void ReleaseBody() { m_body = {}; }

  /// Sends a whole response.
  void Send(int status, std::vector<HttpField> fields, std::string_view body);
  /// Begins a response of unknown length; Write and End follow.
  void Start(int status, std::vector<HttpField> fields);
  void Write(std::string_view bytes);
  void End();
  /// Closes the connection; the client sees a response that is not complete.
  void Abort();

  bool IsOpen() const;
  bool IsStarted() const { return m_is_started; }
  /// @return bytes of the response that the client has not taken
  std::size_t PendingBytes() const;
  /// Called once when the client goes before the end of the response.
  void OnClosed(std::function<void()> function) { m_on_closed = std::move(function); }
  /// Called by the connection when it ends.
  void NotifyClosed();

 private:
  std::weak_ptr<Http1Connection> m_connection;
  HttpHead m_head;
  std::string m_body;
  bool m_is_started = false;
  bool m_is_ended = false;
  std::function<void()> m_on_closed;
};

/// HTTP/1.1 server that hands over whole requests and notices when a client leaves during the
/// response. One response at a time is written on a connection.
class Http1Server {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  Http1Server(EventLoop& loop, Http1Limits limits, Handler handler);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  /// @return the address in use, or kInternal with the system's reason
  Result<Address> Listen(const Address& address);
  /// Applies to requests that arrive from now on.
  void SetLimits(const Http1Limits& limits) { m_limits = limits; }
  const Http1Limits& Limits() const { return m_limits; }

  /// Closes idle connections and announces the close on all others with their next response.
  void BeginDrain();
  /// Stops accepting connections.
  void StopAccepting();
  std::size_t ConnectionCount() const { return m_connections.size(); }

 private:
  friend class Http1Connection;
  static void HandleAccept(st_h2o_socket_t* listener, const char* error);
  void Remove(Http1Connection* connection);

  EventLoop& m_loop;
  Http1Limits m_limits;
  Handler m_handler;
  st_h2o_socket_t* m_listener = nullptr;
  bool m_is_draining = false;
  std::unordered_map<Http1Connection*, std::shared_ptr<Http1Connection>> m_connections;
};

}  // namespace bluebellpass
