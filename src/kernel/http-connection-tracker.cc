#include "http-connection-tracker.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdint>
#include <utility>

#include "h2o.h"
#include "http1-server.h"

namespace bluebellpass {
namespace {

// Assumed upper bound on what one thread reads from sockets into buffers that grow. Inspecting the
// buffers is put off for as long as reading at this rate can't reach the limit.
constexpr std::size_t kMaxReadBytesPerMs = 4U << 20U;

// More than the system's receive buffer of a connection.
constexpr std::size_t kMaxDiscardedBytes = 64U << 20U;

std::size_t AllocatedBytes(const h2o_buffer_t* buffer) {
  // A buffer without bytes is the prototype, which all empty buffers share.
  return buffer == nullptr || buffer->bytes == nullptr ? 0 : buffer->capacity;
}

/// @return true if h2o has read the head of the request, and has not begun to process it
bool IsUnfinished(const h2o_req_t& request) {
  return request.input.method.len > 0 && request.method.len == 0;
}

/// @return bytes that the system has received on a connection since its start
std::size_t ReceivedBytes(h2o_socket_t* socket) {
  tcp_info info{};
  socklen_t length = sizeof(info);
  if (getsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) return 0;
  return info.tcpi_bytes_received;
}

std::uint32_t PeerIp(h2o_socket_t* socket) {
  sockaddr_storage name{};
  const socklen_t length = h2o_socket_getpeername(socket, reinterpret_cast<sockaddr*>(&name));
  if (length == 0 || name.ss_family != AF_INET) return 0;
  return ntohl(reinterpret_cast<const sockaddr_in*>(&name)->sin_addr.s_addr);
}

}  // namespace

void HttpConnectionTracker::Add(h2o_socket_t* socket) {
  auto connection = std::make_unique<Connection>();
  connection->tracker = this;
  connection->socket = socket;
  connection->id = ++m_last_id;
  socket->on_close.cb = &HttpConnectionTracker::HandleClose;
  socket->on_close.data = connection.get();
  m_table.Add(connection.get(), PeerIp(socket));
  m_table.SetClosable(connection.get(), true);
  m_connections_by_id[connection->id] = connection.get();
  m_connections[socket] = std::move(connection);
}

void HttpConnectionTracker::HandleClose(void* data) {
  auto* connection = static_cast<Connection*>(data);
  HttpConnectionTracker& tracker = *connection->tracker;
  tracker.m_table.Remove(connection);
  tracker.m_connections_by_id.erase(connection->id);
  tracker.m_connections.erase(connection->socket);
}

bool HttpConnectionTracker::CloseOldest() {
  Connection* oldest = m_table.ChooseClosable();
  if (oldest == nullptr) return false;
  Reject(*oldest, ClientRejection::kConnections);
  return true;
}

std::uint64_t HttpConnectionTracker::BeginResponse(h2o_req_t* request) {
  h2o_socket_t* socket = request->conn->callbacks->get_socket(request->conn);
  const auto found = m_connections.find(socket);
  if (found == m_connections.end() || found->second->is_rejected) return 0;
  Connection& connection = *found->second;
  // Streams of a HTTP/2 connection share its bytes.
  connection.finished_bytes += request->entity.len;
  connection.has_ended_request = true;
  ++connection.open_responses;
  m_table.SetClosable(&connection, false);
  return connection.id;
}

void HttpConnectionTracker::EndResponse(std::uint64_t connection_id) {
  const auto found = m_connections_by_id.find(connection_id);
  if (found == m_connections_by_id.end()) return;
  if (--found->second->open_responses == 0) m_table.SetClosable(found->second, true);
}

void HttpConnectionTracker::CountUnfinishedStreams() {
  for (const auto& [socket, connection] : m_connections) connection->unfinished_streams = 0;
  const auto count = [](h2o_req_t* request, void* data) {
    auto& tracker = *static_cast<HttpConnectionTracker*>(data);
    const auto found =
        tracker.m_connections.find(request->conn->callbacks->get_socket(request->conn));
    if (found == tracker.m_connections.end()) return 0;
    found->second->is_http2 = true;
    if (IsUnfinished(*request)) ++found->second->unfinished_streams;
    return 0;
  };
  m_context.globalconf->http2.callbacks.foreach_request(&m_context, count, this);
}

std::size_t HttpConnectionTracker::EstimateHttp2Bytes(Connection& connection) const {
  const bool had_bodies = std::exchange(connection.had_bodies, connection.unfinished_streams > 0);
  const bool has_ended = std::exchange(connection.has_ended_request, false);
  if (connection.unfinished_streams == 0) {
    if (had_bodies || has_ended) connection.finished_bytes = ReceivedBytes(connection.socket);
    return 0;
  }
  const std::size_t received = ReceivedBytes(connection.socket);
  connection.finished_bytes = std::min(connection.finished_bytes, received);
  // Frames other than those of bodies are counted too, so the sum is limited to what the streams
  // can hold.
  return std::min(received - connection.finished_bytes,
                  connection.unfinished_streams * m_max_body_bytes);
}

std::size_t HttpConnectionTracker::MeasureUnfinishedBytes() {
  CountUnfinishedStreams();
  std::size_t sum = 0;
  for (const auto& [socket, connection] : m_connections) {
    const std::size_t input_bytes = AllocatedBytes(socket->input);
    if (connection->is_http2) {
      connection->unfinished_bytes = input_bytes + EstimateHttp2Bytes(*connection);
    } else {
      // The input of a HTTP/1 connection with a response in progress is the request itself.
      connection->unfinished_bytes = connection->open_responses > 0 ? 0 : input_bytes;
    }
    if (!connection->is_rejected) sum += connection->unfinished_bytes;
  }
  return sum;
}

HttpConnectionTracker::Connection* HttpConnectionTracker::ChooseLargest() {
  Connection* largest = nullptr;
  for (const auto& [socket, connection] : m_connections) {
    if (connection->is_rejected || connection->unfinished_bytes == 0) continue;
    const bool is_busy = connection->open_responses > 0;
    const bool is_largest_busy = largest != nullptr && largest->open_responses > 0;
    if (largest == nullptr || (is_largest_busy && !is_busy) ||
        (is_largest_busy == is_busy && connection->unfinished_bytes > largest->unfinished_bytes))
      largest = connection.get();
  }
  return largest;
}

void HttpConnectionTracker::EnforceLimit(TimePoint now) {
  if (now < m_next_check) return;
  m_unfinished_bytes = MeasureUnfinishedBytes();
  while (m_unfinished_bytes > m_max_unfinished_bytes) {
    Connection* largest = ChooseLargest();
    if (largest == nullptr) break;
    Reject(*largest, ClientRejection::kMemory);
    m_unfinished_bytes -= largest->unfinished_bytes;
  }
  const std::size_t free_bytes =
      m_max_unfinished_bytes - std::min(m_unfinished_bytes, m_max_unfinished_bytes);
  m_next_check = now + Millis{static_cast<std::int64_t>(free_bytes / kMaxReadBytesPerMs)};
}

void HttpConnectionTracker::Reject(Connection& connection, ClientRejection rejection) {
  connection.is_rejected = true;
  m_table.Remove(&connection);
  // h2o frees the connection when it reads the end of the stream, in the next iteration.
  const int fd = h2o_socket_get_fd(connection.socket);
  shutdown(fd, SHUT_RDWR);
  // Discards what the system has received, which h2o would read first otherwise.
  recv(fd, nullptr, kMaxDiscardedBytes, MSG_TRUNC | MSG_DONTWAIT);
  ReportRejection(rejection);
}

}  // namespace bluebellpass
