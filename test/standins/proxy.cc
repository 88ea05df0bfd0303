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
// Reading stops while this much waits to be written in one direction.
constexpr std::size_t kMaxQueuedBytes = 1U << 20U;
// A reset discards what the client has not read yet; the delay lets it read the bytes before it.
constexpr Millis kResetDelay{5};

constexpr std::size_t kClient = 0;
constexpr std::size_t kTarget = 1;

sockaddr_in SocketName(const Address& address) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
  return name;
}

void ResetSocket(h2o_socket_t* socket) {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  h2o_socket_close(socket);
}

}  // namespace

struct Proxy::Connection {
  struct Chunk {
    TimePoint due;
    std::string bytes;
  };

  /// One end, with the bytes that wait to be written to it.
  struct End {
    Connection* connection = nullptr;
    std::size_t index = 0;
    h2o_socket_t* socket = nullptr;
    bool is_connected = false;
    bool is_writing = false;
    bool is_last_queued = false;  ///< the other end has closed; close after the queue
    std::deque<Chunk> queue;
    std::size_t queued_bytes = 0;
    std::string in_flight;
    Timer timer;
  };

  Connection(Proxy& owner, std::uint64_t number) : proxy(owner), id(number) {
    for (std::size_t i = 0; i < ends.size(); ++i) {
      ends[i].connection = this;
      ends[i].index = i;
      ends[i].timer = Timer(proxy.m_loop);
    }
  }

  void OnBytes(End& from, const std::string& bytes);
  void OnEndOfInput(End& from);
  void Pump(End& to);
  void Write(End& to);
  void Close(bool is_reset);
  void CloseEnd(End& end, bool is_reset);
  void Mute();

  Proxy& proxy;
  std::uint64_t id;
  std::array<End, 2> ends;
  std::uint64_t bytes_from_target = 0;
  bool is_muted = false;
  bool is_dropping = false;
};

/// Callbacks from h2o.
struct Proxy::Glue {
  using End = Connection::End;

  static End& EndOf(h2o_socket_t* socket) { return *static_cast<End*>(socket->data); }

  static void OnAccept(h2o_socket_t* listener, const char* error) {
    if (error != nullptr) return;
    h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
    if (socket != nullptr) static_cast<Proxy*>(listener->data)->Open(socket);
  }

  static void OnConnect(h2o_socket_t* socket, const char* error) {
    End& end = EndOf(socket);
    // The connection must outlive the call.
    const auto connection = end.connection->proxy.m_connections.at(end.connection->id);
    if (error != nullptr) return connection->Close(true);
    end.is_connected = true;
    h2o_socket_read_start(socket, &OnRead);
    connection->Pump(end);
  }

  static void OnRead(h2o_socket_t* socket, const char* error) {
    End& end = EndOf(socket);
    const auto connection = end.connection->proxy.m_connections.at(end.connection->id);
    if (error != nullptr) return connection->OnEndOfInput(end);
    const std::string bytes(socket->input->bytes, socket->input->size);
    h2o_buffer_consume(&socket->input, socket->input->size);
    connection->OnBytes(end, bytes);
  }

  static void OnWritten(h2o_socket_t* socket, const char* error) {
    End& end = EndOf(socket);
    const auto connection = end.connection->proxy.m_connections.at(end.connection->id);
    end.is_writing = false;
    end.in_flight.clear();
    if (error != nullptr) return connection->OnEndOfInput(end);
    End& from = connection->ends[1 - end.index];
    if (from.socket != nullptr && from.is_connected && end.queued_bytes < kMaxQueuedBytes) {
      h2o_socket_read_start(from.socket, &OnRead);
    }
    connection->Pump(end);
  }
};

void Proxy::Connection::OnBytes(End& from, const std::string& bytes) {
  if (is_muted || bytes.empty()) return;
  End& to = ends[1 - from.index];
  TimePoint due = proxy.m_loop.Now() + proxy.m_delay;
  if (!to.queue.empty()) due = std::max(due, to.queue.back().due);
  to.queue.push_back({due, bytes});
  to.queued_bytes += bytes.size();
  if (to.queued_bytes >= kMaxQueuedBytes) h2o_socket_read_stop(from.socket);
  Pump(to);
}

void Proxy::Connection::OnEndOfInput(End& from) {
  CloseEnd(from, false);
  End& to = ends[1 - from.index];
  if (to.socket == nullptr) return proxy.Remove(id);
  // The other end of a muted connection must not learn of this.
  if (is_muted) return;
  to.is_last_queued = true;
  if (to.queue.empty()) to.queue.push_back({proxy.m_loop.Now() + proxy.m_delay, ""});
  Pump(to);
}

void Proxy::Connection::Pump(End& to) {
  const bool is_held = proxy.m_mode == ProxyMode::kSilent || is_muted || is_dropping;
  if (to.socket == nullptr || !to.is_connected || to.is_writing || is_held) return;
  if (to.queue.empty()) {
    if (to.is_last_queued) Close(false);
    return;
  }
  const TimePoint now = proxy.m_loop.Now();
  if (to.queue.front().due > now) {
    const auto wait = std::chrono::ceil<Millis>(to.queue.front().due - now);
    to.timer.Start(wait, [this, &to] { Pump(to); });
    return;
  }
  while (!to.queue.empty() && to.queue.front().due <= now) {
    to.in_flight += to.queue.front().bytes;
    to.queue.pop_front();
  }
  to.queued_bytes -= to.in_flight.size();
  Write(to);
}

void Proxy::Connection::Write(End& to) {
  if (to.index == kClient) {
    const std::uint64_t limit = proxy.m_drop_after;
    if (limit > 0 && bytes_from_target + to.in_flight.size() >= limit) {
      to.in_flight.resize(limit > bytes_from_target ? limit - bytes_from_target : 0);
      is_dropping = true;
      to.timer.Start(kResetDelay, [this] { Close(true); });
    }
    bytes_from_target += to.in_flight.size();
  }
  if (to.in_flight.empty()) return Pump(to);
  to.is_writing = true;
  h2o_iovec_t buffer = h2o_iovec_init(to.in_flight.data(), to.in_flight.size());
  h2o_socket_write(to.socket, &buffer, 1, &Glue::OnWritten);
}

void Proxy::Connection::CloseEnd(End& end, bool is_reset) {
  h2o_socket_t* socket = std::exchange(end.socket, nullptr);
  end.timer.Stop();
  if (socket == nullptr) return;
  if (is_reset) {
    ResetSocket(socket);
  } else {
    h2o_socket_close(socket);
  }
}

void Proxy::Connection::Close(bool is_reset) {
  for (End& end : ends) CloseEnd(end, is_reset);
  proxy.Remove(id);
}

void Proxy::Connection::Mute() {
  is_muted = true;
  for (End& end : ends) {
    end.timer.Stop();
    end.queue.clear();
    end.queued_bytes = 0;
    // Goes on reading, so that the end of either side is noticed.
    if (end.socket != nullptr && end.is_connected) h2o_socket_read_start(end.socket, &Glue::OnRead);
  }
}

Proxy::Proxy(EventLoop& loop, Address target)
    : m_loop(loop),
      m_target(std::move(target)),
      m_control(loop, [this](const HttpRequest& request, const ResponderPtr& responder) {
        HandleControl(request, *responder);
      }) {}

Proxy::~Proxy() {
  if (m_listener != nullptr) h2o_socket_close(static_cast<h2o_socket_t*>(m_listener));
  const auto connections = m_connections;
  for (const auto& [id, connection] : connections) connection->Close(true);
}

Result<Address> Proxy::Listen(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in name = SocketName(address);
  auto* generic = reinterpret_cast<sockaddr*>(&name);
  const int on = 1;
  if (fd >= 0) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (fd < 0 || bind(fd, generic, sizeof(name)) != 0 || listen(fd, kListenBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    if (fd >= 0) close(fd);
    return Error{ErrorKind::kInternal, "cannot listen on " + address.Text() + ": " + reason, ""};
  }
  socklen_t length = sizeof(name);
  getsockname(fd, generic, &length);
  auto* listener = h2o_evloop_socket_create(m_loop.Native(), fd, H2O_SOCKET_FLAG_DONT_READ);
  listener->data = this;
  m_listener = listener;
  h2o_socket_read_start(listener, &Glue::OnAccept);
  return Address{address.ip, ntohs(name.sin_port)};
}

void Proxy::Open(void* client) {
  auto* socket = static_cast<h2o_socket_t*>(client);
  if (m_mode == ProxyMode::kRefuse || m_mode == ProxyMode::kCut) return ResetSocket(socket);
  sockaddr_in name = SocketName(m_target);
  h2o_socket_t* target = h2o_socket_connect(m_loop.Native(), reinterpret_cast<sockaddr*>(&name),
                                            sizeof(name), &Glue::OnConnect);
  if (target == nullptr) return ResetSocket(socket);
  const auto connection = std::make_shared<Connection>(*this, m_next_id++);
  m_connections[connection->id] = connection;
  connection->ends[kClient].socket = socket;
  connection->ends[kClient].is_connected = true;
  connection->ends[kTarget].socket = target;
  socket->data = &connection->ends[kClient];
  target->data = &connection->ends[kTarget];
  h2o_socket_read_start(socket, &Glue::OnRead);
}

void Proxy::Remove(std::uint64_t id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) return;
  // Callers are methods of the connection; it goes when they have returned.
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
      connection->Mute();
    } else {
      for (Connection::End& end : connection->ends) connection->Pump(end);
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
  SendJson(responder, 200, {{"connections", Connections()}});
}

}  // namespace bluebellpass::standin
