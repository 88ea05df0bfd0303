#include "proxy.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <deque>

#include "kernel/h2o.h"

namespace bluebellpass::standin {
namespace {

constexpr int kListenBacklog = 1024;
// Reading from one side pauses while this many bytes wait to be written to the other.
constexpr std::size_t kMaxQueuedBytes = 1U << 20U;
// A reset discards bytes that the client has not read. The delay gives it time to read them.
constexpr Millis kResetDelay{5};

constexpr std::size_t kClient = 0;
constexpr std::size_t kTarget = 1;

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &socket_address.sin_addr);
  return socket_address;
}

void ResetSocket(h2o_socket_t* socket) {
  const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
  setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
  h2o_socket_close(socket);
}

}  // namespace

struct Proxy::Connection {
  struct Chunk {
    TimePoint due;
    std::string bytes;
  };

  /// One side of the connection, with the bytes that wait to be written to it.
  struct Endpoint {
    Connection* connection = nullptr;
    std::size_t index = 0;
    h2o_socket_t* socket = nullptr;
    bool is_connected = false;
    bool is_writing = false;
    bool is_close_queued = false;  ///< the other side has closed; close after the queue
    std::deque<Chunk> queue;
    std::size_t queued_bytes = 0;
    std::string in_flight;
    Timer timer;
  };

  Connection(Proxy& owner, std::uint64_t number) : proxy(owner), id(number) {
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      endpoints[i].connection = this;
      endpoints[i].index = i;
      endpoints[i].timer = Timer(proxy.m_loop);
    }
  }

  void OnBytes(Endpoint& from, const std::string& bytes);
  void OnEndOfInput(Endpoint& from);
  void WriteDueChunks(Endpoint& to);
  void Write(Endpoint& to);
  void Close(bool is_reset);
  void CloseEndpoint(Endpoint& endpoint, bool is_reset);
  void Silence();

  Proxy& proxy;
  std::uint64_t id;
  std::array<Endpoint, 2> endpoints;
  std::uint64_t bytes_from_target = 0;
  bool is_silenced = false;
  bool is_reset_pending = false;
};

/// Callbacks of the h2o sockets.
struct Proxy::SocketCallbacks {
  using Endpoint = Connection::Endpoint;

  static Endpoint& EndpointOf(h2o_socket_t* socket) {
    return *static_cast<Endpoint*>(socket->data);
  }

  static void OnAccept(h2o_socket_t* listener, const char* error) {
    if (error != nullptr) return;
    h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
    if (socket != nullptr) static_cast<Proxy*>(listener->data)->OpenConnection(socket);
  }

  static void OnConnect(h2o_socket_t* socket, const char* error) {
    Endpoint& endpoint = EndpointOf(socket);
    // Keeps the connection alive until this function returns.
    const auto connection = endpoint.connection->proxy.m_connections.at(endpoint.connection->id);
    if (error != nullptr) return connection->Close(true);
    endpoint.is_connected = true;
    h2o_socket_read_start(socket, &OnRead);
    connection->WriteDueChunks(endpoint);
  }

  static void OnRead(h2o_socket_t* socket, const char* error) {
    Endpoint& endpoint = EndpointOf(socket);
    const auto connection = endpoint.connection->proxy.m_connections.at(endpoint.connection->id);
    if (error != nullptr) return connection->OnEndOfInput(endpoint);
    const std::string bytes(socket->input->bytes, socket->input->size);
    h2o_buffer_consume(&socket->input, socket->input->size);
    connection->OnBytes(endpoint, bytes);
  }

  static void OnWritten(h2o_socket_t* socket, const char* error) {
    Endpoint& endpoint = EndpointOf(socket);
    const auto connection = endpoint.connection->proxy.m_connections.at(endpoint.connection->id);
    endpoint.is_writing = false;
    endpoint.in_flight.clear();
    if (error != nullptr) return connection->OnEndOfInput(endpoint);
    Endpoint& from = connection->endpoints[1 - endpoint.index];
    if (from.socket != nullptr && from.is_connected && endpoint.queued_bytes < kMaxQueuedBytes) {
      h2o_socket_read_start(from.socket, &OnRead);
    }
    connection->WriteDueChunks(endpoint);
  }
};

void Proxy::Connection::OnBytes(Endpoint& from, const std::string& bytes) {
  if (is_silenced || bytes.empty()) return;
  const bool is_response = from.index == kTarget;
  Endpoint& to = endpoints[1 - from.index];
  TimePoint due = proxy.m_loop.Now() + proxy.m_delay;
  if (!to.queue.empty()) due = std::max(due, to.queue.back().due);
  to.queue.push_back({due, is_response ? proxy.Replaced(bytes) : bytes});
  to.queued_bytes += bytes.size();
  if (to.queued_bytes >= kMaxQueuedBytes) h2o_socket_read_stop(from.socket);
  WriteDueChunks(to);
}

void Proxy::Connection::OnEndOfInput(Endpoint& from) {
  CloseEndpoint(from, false);
  Endpoint& to = endpoints[1 - from.index];
  if (to.socket == nullptr) return proxy.RemoveConnection(id);
  // The other side of a silenced connection must not notice the close.
  if (is_silenced) return;
  to.is_close_queued = true;
  if (to.queue.empty()) to.queue.push_back({proxy.m_loop.Now() + proxy.m_delay, ""});
  WriteDueChunks(to);
}

void Proxy::Connection::WriteDueChunks(Endpoint& to) {
  const bool is_blocked = proxy.m_mode == ProxyMode::kSilent || is_silenced || is_reset_pending;
  if (to.socket == nullptr || !to.is_connected || to.is_writing || is_blocked) return;
  if (to.queue.empty()) {
    if (to.is_close_queued) Close(false);
    return;
  }
  const TimePoint now = proxy.m_loop.Now();
  if (to.queue.front().due > now) {
    const auto wait = std::chrono::ceil<Millis>(to.queue.front().due - now);
    to.timer.Start(wait, [this, &to] { WriteDueChunks(to); });
    return;
  }
  while (!to.queue.empty() && to.queue.front().due <= now) {
    to.in_flight += to.queue.front().bytes;
    to.queue.pop_front();
  }
  to.queued_bytes -= to.in_flight.size();
  Write(to);
}

void Proxy::Connection::Write(Endpoint& to) {
  if (to.index == kClient) {
    const std::uint64_t limit = proxy.m_reset_after_bytes;
    if (limit > 0 && bytes_from_target + to.in_flight.size() >= limit) {
      to.in_flight.resize(limit > bytes_from_target ? limit - bytes_from_target : 0);
      is_reset_pending = true;
      to.timer.Start(kResetDelay, [this] { Close(true); });
    }
    bytes_from_target += to.in_flight.size();
  }
  if (to.in_flight.empty()) return WriteDueChunks(to);
  to.is_writing = true;
  h2o_iovec_t buffer = h2o_iovec_init(to.in_flight.data(), to.in_flight.size());
  h2o_socket_write(to.socket, &buffer, 1, &SocketCallbacks::OnWritten);
}

void Proxy::Connection::CloseEndpoint(Endpoint& endpoint, bool is_reset) {
  h2o_socket_t* socket = std::exchange(endpoint.socket, nullptr);
  endpoint.timer.Stop();
  if (socket == nullptr) return;
  if (is_reset) {
    ResetSocket(socket);
  } else {
    h2o_socket_close(socket);
  }
}

void Proxy::Connection::Close(bool is_reset) {
  for (Endpoint& endpoint : endpoints) CloseEndpoint(endpoint, is_reset);
  proxy.RemoveConnection(id);
}

void Proxy::Connection::Silence() {
  is_silenced = true;
  for (Endpoint& endpoint : endpoints) {
    endpoint.timer.Stop();
    endpoint.queue.clear();
    endpoint.queued_bytes = 0;
    // Keeps reading, so that a close by either side is detected.
    if (endpoint.socket != nullptr && endpoint.is_connected)
      h2o_socket_read_start(endpoint.socket, &SocketCallbacks::OnRead);
  }
}

Proxy::Proxy(EventLoop& loop, Address target)
    : m_loop(loop),
      m_target(std::move(target)),
      m_control(loop, [this](const HttpRequest& request, const ResponderPtr& responder) {
        HandleControl(request, *responder);
      }) {}

void Proxy::StopListening() {
  if (m_listener != nullptr) h2o_socket_close(static_cast<h2o_socket_t*>(m_listener));
  m_listener = nullptr;
}

std::string Proxy::Replaced(std::string bytes) const {
  for (const auto& [text, replacement] : m_replacements)
    for (std::size_t at = bytes.find(text); at != std::string::npos; at = bytes.find(text, at))
      bytes.replace(at, text.size(), replacement);
  return bytes;
}

Proxy::~Proxy() {
  StopListening();
  const auto connections = m_connections;
  for (const auto& [id, connection] : connections) connection->Close(true);
}

Result<Address> Proxy::Listen(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in socket_address = ToSocketAddress(address);
  auto* generic_address = reinterpret_cast<sockaddr*>(&socket_address);
  const int enabled = 1;
  if (fd >= 0) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  if (fd < 0 || bind(fd, generic_address, sizeof(socket_address)) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    if (fd >= 0) close(fd);
    return Error{ErrorKind::kInternal, "cannot listen on " + address.Text() + ": " + reason, ""};
  }
  socklen_t length = sizeof(socket_address);
  getsockname(fd, generic_address, &length);
  auto* listener = h2o_evloop_socket_create(m_loop.Native(), fd, H2O_SOCKET_FLAG_DONT_READ);
  listener->data = this;
  m_listener = listener;
  h2o_socket_read_start(listener, &SocketCallbacks::OnAccept);
  return Address{address.ip, ntohs(socket_address.sin_port)};
}

void Proxy::OpenConnection(void* client) {
  auto* socket = static_cast<h2o_socket_t*>(client);
  if (m_mode == ProxyMode::kRefuse || m_mode == ProxyMode::kCut) return ResetSocket(socket);
  sockaddr_in socket_address = ToSocketAddress(m_target);
  h2o_socket_t* target =
      h2o_socket_connect(m_loop.Native(), reinterpret_cast<sockaddr*>(&socket_address),
                         sizeof(socket_address), &SocketCallbacks::OnConnect);
  if (target == nullptr) return ResetSocket(socket);
  const auto connection = std::make_shared<Connection>(*this, m_next_id++);
  m_connections[connection->id] = connection;
  connection->endpoints[kClient].socket = socket;
  connection->endpoints[kClient].is_connected = true;
  connection->endpoints[kTarget].socket = target;
  socket->data = &connection->endpoints[kClient];
  target->data = &connection->endpoints[kTarget];
  h2o_socket_read_start(socket, &SocketCallbacks::OnRead);
}

void Proxy::RemoveConnection(std::uint64_t id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) return;
  // The callers are methods of the connection, so it is destroyed after they have returned.
  m_loop.Post([connection = found->second] {});
  m_connections.erase(found);
}

void Proxy::SetMode(ProxyMode mode) {
  m_mode = mode == ProxyMode::kSilentExisting ? ProxyMode::kPass : mode;
  const auto connections = m_connections;
  for (const auto& [id, connection] : connections) {
    if (mode == ProxyMode::kCut) {
      connection->Close(true);
    } else if (mode == ProxyMode::kSilentExisting) {
      connection->Silence();
    } else {
      for (Connection::Endpoint& endpoint : connection->endpoints)
        connection->WriteDueChunks(endpoint);
    }
  }
}

void Proxy::HandleControl(const HttpRequest& request, HttpResponder& responder) {
  static const std::map<std::string, ProxyMode> modes = {
      {"pass", ProxyMode::kPass},
      {"refuse", ProxyMode::kRefuse},
      {"cut", ProxyMode::kCut},
      {"silent", ProxyMode::kSilent},
      {"silent_existing", ProxyMode::kSilentExisting}};
  if (request.method != "POST" || request.path != "/control") {
    return SendJson(responder, 404, {{"error", "no such path"}});
  }
  const Json body = Json::parse(request.body);
  const auto mode = modes.find(body.value("mode", "pass"));
  if (mode == modes.end()) return SendJson(responder, 400, {{"error", "unknown mode"}});
  if (body.contains("delay_ms")) SetDelay(Millis{body["delay_ms"].get<std::int64_t>()});
  if (body.contains("drop_after_bytes")) {
    SetDropAfterBytes(body["drop_after_bytes"].get<std::uint64_t>());
  }
  if (body.contains("mode")) SetMode(mode->second);
  SendJson(responder, 200, {{"connections", ConnectionCount()}});
}

}  // namespace bluebellpass::standin
