#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

class EventLoop;

/// A request as the handlers see it. Header names are in lower case.
struct HttpRequest {
  std::string method;
  std::string path;  ///< without the query, as sent
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
  std::size_t head_bytes = 0;  ///< length of method, path, query and all headers as sent

  /// @return the header's value, or an empty string
  std::string Header(const std::string& name) const;
  /// @return the query parameter's value, or an empty string
  std::string Query(const std::string& name) const;
};

using HttpHeaders = std::map<std::string, std::string>;

/// One response. May be kept and used after the client has gone; writes are then dropped.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  /// Sends a whole response.
  virtual void Send(int status, const HttpHeaders& headers, std::string body) = 0;
  /// Begins a streamed response; Write and End follow.
  virtual void Start(int status, const HttpHeaders& headers) = 0;
  virtual void Write(std::string_view bytes) = 0;
  virtual void End() = 0;
  /// Closes the connection without an end, so that the client sees a truncated response.
  virtual void Abort() = 0;

  /// @return false once the client has gone or the response has ended
  virtual bool IsOpen() const = 0;
  /// @return bytes written by the handler that have not been passed to the socket yet
  virtual std::size_t PendingBytes() const = 0;
  /// Called once when the client goes before the end of the response. Over HTTP/1 this is noticed
  /// only when something is written.
  virtual void OnClosed(std::function<void()> function) = 0;
  /// Called each time all pending bytes have been passed on.
  virtual void OnDrained(std::function<void()> function) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

struct HttpServerLimits {
  std::size_t max_body_bytes = 4U << 20U;
  Millis request_timeout{10'000};  ///< for a request's headers and body to arrive
};

/// HTTP/1.1 and HTTP/2 (prior knowledge or upgrade) server on h2o.
class HttpServer {
 public:
  HttpServer(EventLoop& loop, HttpServerLimits limits, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Sets the body of replies that the server sends by itself, to requests that no handler sees.
  /// @param body gives the body for an HTTP status; without it these replies are plain text
  void SetErrorBody(std::string content_type, std::function<std::string(int status)> body);

  /// Opens the listening socket. Port 0 takes a free port.
  /// @return the address in use, or kInternal with the system's reason
  Result<Address> Listen(const Address& address);

  /// Closes the listening socket and asks clients on open connections to go.
  void StopAccepting();

  /// @return responses that have not been passed to the system whole
  std::size_t OpenResponses() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bluebellpass
