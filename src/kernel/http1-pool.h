#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/timer.h"
#include "http1.h"
#include "tcp-stream.h"

namespace bluebellpass {

/// How a call ended.
enum class PooledCallResult {
  kComplete,           ///< the response is whole
  kConnectFailed,      ///< no connection was established; no byte of the request was sent
  kConnectionBroken,   ///< the connection ended before the response was whole
  kMalformedResponse,  ///< the peer sent bytes that are no response
};

struct ConnectionPoolOptions {
  Millis connect_timeout{1'000};
  /// Idle connections are closed after this time, or earlier when the server states a shorter one.
  Millis idle_timeout{10'000};
  /// Closed this much before the server would do it, so that no request crosses its close.
  Millis idle_margin{1'000};
  std::size_t max_idle_per_address = 16;
  std::uint32_t max_header_bytes = 64U << 10U;
  TcpKeepAlive keep_alive;
};

/// Numbers for metrics.
struct ConnectionPoolStats {
  std::uint64_t connects = 0;
  std::uint64_t connect_failures = 0;
  std::uint64_t reused = 0;
  std::uint64_t unexpected_bytes = 0;  ///< bytes behind a response or on an idle connection
};

/// Receives the progress of a call. After on_end nothing follows.
struct PooledCallHandlers {
  /// The request has been handed to a connection that stands.
  std::function<void()> on_sent;
  /// @return false when the response belongs to another request: it is skipped, and the next one on
  /// the connection is awaited
  std::function<bool(const HttpHead& head)> on_head;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void(PooledCallResult end)> on_end;
};

/// A call in progress; destruction closes its connection.
class PooledCall {
 public:
  virtual ~PooledCall() = default;
  /// Stops and starts reading the response.
  virtual void SetPaused(bool is_paused) = 0;
  /// @return true when the connection had served an earlier call
  virtual bool IsReused() const = 0;
};

/// HTTP/1.1 client with connections that are kept for further calls. It repeats nothing.
class HttpConnectionPool {
 public:
  HttpConnectionPool(EventLoop& loop, ConnectionPoolOptions options);
  ~HttpConnectionPool();
  HttpConnectionPool(const HttpConnectionPool&) = delete;
  HttpConnectionPool& operator=(const HttpConnectionPool&) = delete;

  /// Sends a request.
  /// @param bytes head and body
  /// @param is_fresh opens a new connection in any case
  std::unique_ptr<PooledCall> Start(const Address& address, std::string bytes,
                                    PooledCallHandlers events, bool is_fresh = false);
  /// Closes idle connections to an address.
  void CloseIdle(const Address& address);
  /// @return true when an idle connection to the address can be used
  bool HasIdleConnection(const Address& address) const;
  const ConnectionPoolStats& Stats() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> m_impl;
};

}  // namespace bluebellpass
