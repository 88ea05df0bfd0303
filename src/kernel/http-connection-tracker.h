#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "bluebellpass/timer.h"
#include "connection-table.h"

struct st_h2o_context_t;
struct st_h2o_req_t;
struct st_h2o_socket_t;

namespace bluebellpass {

enum class ClientRejection : std::uint8_t;

/// Bounds the memory that the connections of an h2o server hold for requests that are not complete.
/// h2o buffers a body until its end and reports nothing before, so the buffers are inspected. When
/// they exceed the limit, the connections with most of it are closed. Not thread-safe.
class HttpConnectionTracker {
 public:
  /// A connection, from its acceptance until h2o has closed its socket.
  struct Connection {
    HttpConnectionTracker* tracker = nullptr;
    st_h2o_socket_t* socket = nullptr;
    std::uint64_t id = 0;
    std::size_t open_responses = 0;
    std::size_t unfinished_bytes = 0;    ///< at the last check
    std::size_t unfinished_streams = 0;  ///< at the last check, over HTTP/2
    std::size_t finished_bytes = 0;  ///< of those read, bytes that belong to no unfinished request
    bool is_http2 = false;           ///< known once it has had a stream
    bool had_bodies = false;         ///< had unfinished streams at the last check
    bool has_ended_request = false;  ///< a request became complete since the last check
    bool is_rejected = false;
  };
  using RejectionHandler = std::function<void(ClientRejection rejection)>;

  /// @param context of the server; must outlive the tracker
  /// @param max_unfinished_bytes limit on the buffers of all unfinished requests
  /// @param max_body_bytes limit on one request's body
  HttpConnectionTracker(st_h2o_context_t& context, std::size_t max_unfinished_bytes,
                        std::size_t max_body_bytes)
      : m_context(context),
        m_max_unfinished_bytes(max_unfinished_bytes),
        m_max_body_bytes(max_body_bytes) {}
  HttpConnectionTracker(const HttpConnectionTracker&) = delete;
  HttpConnectionTracker& operator=(const HttpConnectionTracker&) = delete;

  /// Sets a function that is called for each connection that is closed because of a limit.
  void OnRejection(RejectionHandler function) { m_on_rejection = std::move(function); }

  /// Adds an accepted socket, before h2o reads from it.
  void Add(st_h2o_socket_t* socket);
  /// Closes the connection that has been idle, or without a complete request, for longest, of the
  /// client address with most connections.
  /// @return false if each connection has a response in progress
  bool CloseOldest();
  /// Reports that a client was turned away by the server itself.
  void ReportRejection(ClientRejection rejection) const {
    if (m_on_rejection) m_on_rejection(rejection);
  }

  /// Reports that a complete request is passed to the handler.
  /// @return id of the connection for EndResponse, or 0 if the connection has been closed by the
  /// tracker, so that the request must not be handled
  std::uint64_t BeginResponse(st_h2o_req_t* request);
  /// @param connection_id result of BeginResponse
  void EndResponse(std::uint64_t connection_id);

  /// Closes connections until the unfinished requests are inside the limit. To be called after
  /// each time that the event loop has read from sockets; inspects the buffers only if the limit
  /// may have been reached since the last time.
  void EnforceLimit(TimePoint now);

  /// @return bytes that buffers of unfinished requests took at the last check
  std::size_t UnfinishedBytes() const { return m_unfinished_bytes; }
  /// @return connections, also those that were closed and whose socket h2o has not freed yet
  std::size_t ConnectionCount() const { return m_connections.size(); }
  /// @return connections that have not been closed
  std::size_t OpenCount() const { return m_table.Count(); }

 private:
  std::size_t MeasureUnfinishedBytes();
  void CountUnfinishedStreams();
  /// Estimates from the bytes read, since h2o does not report the buffers of streams.
  std::size_t EstimateHttp2Bytes(Connection& connection) const;
  static void HandleClose(void* connection);
  void Reject(Connection& connection, ClientRejection rejection);
  /// @return the connection with most unfinished bytes, or null. One with a response in progress is
  /// chosen only if no other one holds any.
  Connection* ChooseLargest();

  st_h2o_context_t& m_context;
  std::size_t m_max_unfinished_bytes;
  std::size_t m_max_body_bytes;
  RejectionHandler m_on_rejection;
  std::unordered_map<st_h2o_socket_t*, std::unique_ptr<Connection>> m_connections;
  std::unordered_map<std::uint64_t, Connection*> m_connections_by_id;
  ConnectionTable<Connection> m_table;
  std::uint64_t m_last_id = 0;
  std::size_t m_unfinished_bytes = 0;
  TimePoint m_next_check{};
};

}  // namespace bluebellpass
