#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"
#include "http-server.h"

namespace bluebellpass {

class EventLoop;

/// Longest body of a response that is collected by default, in bytes. Several times as long as the
/// largest object of the store.
inline constexpr std::size_t kMaxFetchedBytes = 4U << 20U;

/// A request to send over a new connection.
struct HttpClientRequest {
  Address address;
  std::string method = "GET";
  std::string path = "/";
  HttpHeaders headers;
  std::string body;
  Millis connect_timeout{1'000};
  Millis idle_timeout{10'000};  ///< longest time without data from the server
  /// A longer body ends the call with kMalformedResponse. Calls that pass the body on as it arrives
  /// need no limit.
  std::size_t max_body_bytes = kMaxFetchedBytes;
  /// Called once the connection is established, just before the first byte is sent. If it returns
  /// false, nothing is sent and the call ends with kWithdrawn. May be empty.
  std::function<bool()> may_send;
};

/// How a call ended.
enum class HttpCallResult {
  kComplete,           ///< the complete response was received
  kConnectFailed,      ///< connecting failed; no byte of the request was sent
  kConnectTimeout,     ///< connecting timed out; no byte of the request was sent
  kWithdrawn,          ///< may_send returned false; no byte of the request was sent
  kIdleTimeout,        ///< no data arrived for the idle timeout after the request was sent
  kConnectionBroken,   ///< the connection failed after the request was sent
  kMalformedResponse,  ///< the server sent bytes that are no response, or too many of them
};

/// For max_body_bytes.
inline constexpr std::size_t kUnlimitedBytes = std::numeric_limits<std::size_t>::max();

/// Callbacks of a call, made in later loop iterations.
struct HttpCallHandlers {
  std::function<void(int status, const HttpHeaders& headers)> on_head;
  std::function<void(std::string_view bytes)> on_data;
  std::function<void(HttpCallResult result, const std::string& message)> on_end;
};

/// A call in progress. Destruction closes its connection and stops its callbacks.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
};

/// A complete response.
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/// HTTP/1.1 client. Each call opens a new connection: a pooled one may be dead or
/// closed without notice, which leaves it unknown whether the request was received.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call.
  std::unique_ptr<HttpCall> StartCall(HttpClientRequest request, HttpCallHandlers handlers);

  /// Starts a call and collects the response. Destroying the client cancels the call.
  /// Errors: kStoreUnavailable if nothing was sent, kStoreUncertain if the response was lost.
  void Fetch(HttpClientRequest request, std::function<void(Result<HttpResponse>)> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bluebellpass
