#pragma once

#include <cstddef>
#include <cstdint>
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
enum class ClientRejection : std::uint8_t;

/// A complete request, as passed to the handler. Header names are in lower case.
struct HttpRequest {
  std::string method;
  std::string path;  ///< without the query, as sent
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
  std::size_t head_bytes = 0;  ///< total length of method, path, query and headers as sent

  /// @return the header's value, or an empty string
  std::string Header(const std::string& name) const;
  /// @return the query parameter's value, or an empty string
  std::string Query(const std::string& name) const;
};

using HttpHeaders = std::map<std::string, std::string>;

/// Sends one response. May outlive the client's connection; later writes are dropped.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  /// Sends a complete response.
  virtual void Send(int status, const HttpHeaders& headers, std::string body) = 0;
  /// Starts a streamed response, continued with Write and End.
  virtual void Start(int status, const HttpHeaders& headers) = 0;
  virtual void Write(std::string_view bytes) = 0;
  virtual void End() = 0;
  /// Closes the connection, so that the client sees a truncated response.
  virtual void Abort() = 0;

  /// @return false once the client has disconnected or the response has ended
  virtual bool IsOpen() const = 0;
  /// @return bytes written by the handler but not yet passed to the socket
  virtual std::size_t PendingBytes() const = 0;
  /// Sets a function that is called once if the client disconnects before the end of the response.
  /// Over HTTP/1 a disconnect is detected only by a write.
  virtual void OnClosed(std::function<void()> function) = 0;
  /// Sets a function that is called each time all pending bytes have been passed to the socket.
  virtual void OnDrained(std::function<void()> function) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

struct HttpServerLimits {
  std::size_t max_body_bytes = 4U << 20U;
  Millis request_timeout{10'000};  ///< for the request's headers and body to arrive
  /// Limit on the buffers of all requests that are not complete. Above it, the connections with the
  /// largest ones are closed.
  std::size_t max_unfinished_bytes = 32U << 20U;
};

/// HTTP/1.1 and HTTP/2 (prior knowledge or upgrade) server based on h2o.
class HttpServer {
 public:
  HttpServer(EventLoop& loop, HttpServerLimits limits, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Sets the body of error responses to requests that h2o rejects before the handler is called.
  /// @param body returns the body for an HTTP status; without it the responses are plain text
  void SetErrorBody(std::string content_type, std::function<std::string(int status)> body);

  /// Sets a function that is called for each client whose connection is closed because of a limit,
  /// before its request was handled.
  void OnRejection(std::function<void(ClientRejection rejection)> function);

  /// Opens the listening socket. Port 0 selects a free port.
  /// @return the bound address, or kInternal with the system's error message
  Result<Address> Listen(const Address& address);

  /// Closes the listening socket and starts the graceful shutdown of open connections.
  void StopAccepting();

  /// @return number of responses that have not been passed to the system completely
  std::size_t OpenResponses() const;
  /// @return bytes that buffers of unfinished requests take
  std::size_t UnfinishedRequestBytes() const;
  std::size_t ConnectionCount() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bluebellpass
