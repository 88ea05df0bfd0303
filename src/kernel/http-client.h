#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"
#include "http-server.h"

namespace bluebellpass {

class EventLoop;

/// A request to be sent over a connection of its own.
struct HttpClientRequest {
  Address address;
  std::string method = "GET";
  std::string path = "/";
  HttpHeaders headers;
  std::string body;
  Millis connect_timeout{1'000};
  Millis idle_timeout{10'000};  ///< longest time without a byte from the server
  /// Asked when the connection stands, just before the first byte leaves; false withdraws the
  /// request, which then ends as kWithdrawn. May be empty.
  std::function<bool()> may_send;
};

enum class HttpCallResult {
  kComplete,          ///< the response is whole
  kConnectFailed,     ///< the connection was refused; no byte of the request was sent
  kConnectTimeout,    ///< no connection within its timeout; no byte of the request was sent
  kWithdrawn,         ///< may_send returned false; no byte of the request was sent
  kIdleTimeout,       ///< no byte came for the idle timeout after bytes were sent
  kConnectionBroken,  ///< the connection failed after bytes were sent
};

/// Receives the progress of a call.
struct HttpCallHandlers {
  std::function<void(int status, const HttpHeaders& headers)> on_head;
  std::function<void(std::string_view bytes)> on_data;
  std::function<void(HttpCallResult end, const std::string& message)> on_end;
};

/// A call in progress; destruction closes its connection and ends its events.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
};

/// A whole reply.
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/// HTTP/1.1 client on h2o. Each call has a connection of its own: a pooled one may be silent or
/// closed without notice, and then it could not be told whether the request was received.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call; its events come in later turns of the loop.
  std::unique_ptr<HttpCall> Start(HttpClientRequest request, HttpCallHandlers events);

  /// Starts a call and collects the reply. The call lives until it ends, or the client does.
  /// Errors: kStoreUnavailable when nothing was sent, kStoreUncertain when the reply was lost.
  void Fetch(HttpClientRequest request, std::function<void(Result<HttpResponse>)> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bluebellpass
