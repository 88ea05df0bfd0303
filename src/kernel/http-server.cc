#include "http-server.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <limits>
#include <unordered_set>

#include "h2o.h"
#include "http-connection-tracker.h"
#include "http1-server.h"
#include "loop.h"

namespace bluebellpass {
namespace {

constexpr int kListenBacklog = 1024;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusContentTooLarge = 413;
constexpr std::size_t kMinCleanupThreshold = 64;
// File descriptors reserved for the process's own connections, but at most a quarter of the limit.
constexpr rlim_t kReservedDescriptors = 256;
constexpr rlim_t kReservedDivisor = 4;
// Counting the descriptors of the process reads a directory, so its result is used for this time.
constexpr Millis kDescriptorCountValidity{1'000};
// Receive buffer of a connection in the system. h2o reads until it is empty, and the limit on
// unfinished requests is enforced after all sockets have been read, so this bounds by how much one
// iteration can exceed it. The system's own default grows to several MB.
constexpr int kReceiveBufferBytes = 64 << 10;

/// @return the lowest descriptor that is not used for a client. The system assigns the lowest free
/// number, so a descriptor of this number means that at least as many are in use.
int FirstReservedDescriptor() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return std::numeric_limits<int>::max();
  const rlim_t first =
      limit.rlim_cur - std::min(kReservedDescriptors, limit.rlim_cur / kReservedDivisor);
  return static_cast<int>(std::min<rlim_t>(first, std::numeric_limits<int>::max()));
}

/// @return number of open descriptors of the process, or 0 if it is not known
std::size_t CountDescriptors() {
  std::error_code error;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator entry("/proc/self/fd", error), end;
       !error && entry != end; entry.increment(error))
    ++count;
  return error ? 0 : count;
}

std::string ToString(h2o_iovec_t text) { return {text.base, text.len}; }

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexDigit(text[i + 1]) >= 0 &&
        HexDigit(text[i + 2]) >= 0) {
      decoded += static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> parameters;
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    const std::size_t equals = pair.find('=');
    if (pair.empty()) continue;
    const std::string_view value =
        equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    parameters[PercentDecode(pair.substr(0, equals))] = PercentDecode(value);
  }
  return parameters;
}

/// @return true if an HTTP/1 request states the length of its body more than once. h2o drops these
/// headers and takes one of them, where another server could take the other one, so they are read
/// from the head as received, which is still in the connection's buffer.
bool HasAmbiguousLength(h2o_req_t* req) {
  if (req->version >= 0x200) return false;
  const h2o_socket_t* socket = req->conn->callbacks->get_socket(req->conn);
  if (socket == nullptr || socket->input->bytes == nullptr) return false;
  // The buffer begins with this request, perhaps after an empty line, which h2o ignores.
  std::string_view head(socket->input->bytes, socket->input->size);
  head.remove_prefix(std::min(head.find_first_not_of("\r\n"), head.size()));
  std::size_t lengths = 0;
  while (!head.empty()) {
    const std::size_t line_end = std::min(head.find('\n'), head.size());
    std::string_view line = head.substr(0, line_end);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.empty()) break;
    const std::string_view name = line.substr(0, line.find(':'));
    if (EqualsIgnoringCase(name, "content-length") || EqualsIgnoringCase(name, "transfer-encoding"))
      ++lengths;
    head.remove_prefix(std::min(line_end + 1, head.size()));
  }
  return lengths > 1;
}

HttpRequest ReadRequest(h2o_req_t* req) {
  HttpRequest request;
  request.method = ToString(req->method);
  const std::string path = ToString(req->path);
  request.head_bytes = request.method.size() + path.size();
  const std::size_t query_at = path.find('?');
  request.path = path.substr(0, query_at);
  if (query_at != std::string::npos)
    request.query = ParseQuery(std::string_view{path}.substr(query_at + 1));
  for (std::size_t i = 0; i < req->headers.size; ++i) {
    const h2o_header_t& header = req->headers.entries[i];
    request.headers[ToString(*header.name)] = ToString(header.value);
    request.head_bytes += header.name->len + header.value.len;
  }
  if (req->entity.base != nullptr) request.body = ToString(req->entity);
  return request;
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

std::string HttpRequest::Query(const std::string& name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

namespace {

/// Adapts a handler's writes to h2o, which accepts one buffer at a time and requests the next.
class Responder : public HttpResponder, public std::enable_shared_from_this<Responder> {
 public:
  /// @param on_end called once h2o has sent the response or the client has disconnected
  Responder(EventLoop& loop, h2o_req_t* req, std::function<void()> on_end)
      : m_loop(loop), m_req(req), m_on_end(std::move(on_end)) {}

  /// The part that h2o uses. Allocated in the request's memory pool; keeps the responder alive.
  struct Generator {
    h2o_generator_t super;
    std::shared_ptr<Responder>* owner;
  };

  void Attach() {
    auto* generator = static_cast<Generator*>(
        h2o_mem_alloc_shared(&m_req->pool, sizeof(Generator), &Responder::OnPoolFreed));
    generator->super.proceed = &Responder::OnProceed;
    generator->super.stop = &Responder::OnStop;
    generator->owner = new std::shared_ptr<Responder>(shared_from_this());
    m_generator = generator;
  }

  void Send(int status, const HttpHeaders& headers, std::string body) override {
    if (!IsOpen() || m_is_started) return;
    m_req->res.content_length = body.size();
    Start(status, headers);
    m_pending = std::move(body);
    End();
  }

  void Start(int status, const HttpHeaders& headers) override {
    if (!IsOpen() || m_is_started) return;
    m_is_started = true;
    m_req->res.status = status;
    m_req->res.reason = "status";
    for (const auto& [name, value] : headers) AddHeader(name, value);
    h2o_start_response(m_req, &m_generator->super);
  }

  void Write(std::string_view bytes) override {
    if (!IsOpen() || !m_is_started || bytes.empty()) return;
    m_pending.append(bytes);
    ScheduleFlush();
  }

  void End() override {
    if (!IsOpen() || m_is_ended) return;
    m_is_ended = true;
    ScheduleFlush();
  }

  void Abort() override {
    if (!IsOpen()) return;
    if (!m_is_started) {
      // An empty response that ends with an error would look complete to the client.
      ShutDownConnection();
      Start(500, {});
    }
    m_is_ended = true;
    m_is_aborted = true;
    m_pending.clear();
    ScheduleFlush();
  }

  bool IsOpen() const override { return m_req != nullptr && !m_is_ended; }
  /// @return false once h2o has sent the response or the client has disconnected
  bool IsInProgress() const { return m_req != nullptr; }
  std::size_t PendingBytes() const override { return m_pending.size() + m_in_flight.size(); }
  void OnClosed(std::function<void()> function) override { m_on_closed = std::move(function); }
  void OnDrained(std::function<void()> function) override { m_on_drained = std::move(function); }

 private:
  void AddHeader(const std::string& name, const std::string& value) {
    const h2o_iovec_t name_copy = h2o_strdup(&m_req->pool, name.data(), name.size());
    const h2o_iovec_t value_copy = h2o_strdup(&m_req->pool, value.data(), value.size());
    h2o_add_header_by_str(&m_req->pool, &m_req->res.headers, name_copy.base, name_copy.len, 1,
                          nullptr, value_copy.base, value_copy.len);
  }

  /// Shuts down an HTTP/1 connection; h2o closes it at its next write. An HTTP/2 connection stays
  /// open, since it carries other responses too.
  void ShutDownConnection() {
    if (m_req->version >= 0x200) return;
    h2o_socket_t* socket = m_req->conn->callbacks->get_socket(m_req->conn);
    if (socket != nullptr) shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
  }

  /// Combines the writes of a loop iteration into one buffer.
  void ScheduleFlush() {
    if (m_is_flush_scheduled || m_is_sending) return;
    m_is_flush_scheduled = true;
    m_loop.Post([self = shared_from_this()] {
      self->m_is_flush_scheduled = false;
      self->Flush();
    });
  }

  void Flush() {
    if (m_req == nullptr || m_is_sending || m_is_final_sent) return;
    if (m_pending.empty() && !m_is_ended) return;
    m_in_flight = std::exchange(m_pending, {});
    m_is_sending = true;
    h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
    if (m_is_ended) {
      state = m_is_aborted ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
      m_is_final_sent = true;
    }
    h2o_iovec_t buffer = h2o_iovec_init(m_in_flight.data(), m_in_flight.size());
    h2o_send(m_req, &buffer, m_in_flight.empty() ? 0 : 1, state);
  }

  static void OnProceed(h2o_generator_t* generator, h2o_req_t* /*req*/) {
    const auto self = *reinterpret_cast<Generator*>(generator)->owner;
    self->m_is_sending = false;
    self->m_in_flight.clear();
    if (self->m_pending.empty() && !self->m_is_ended) {
      if (self->m_on_drained) self->m_on_drained();
      return;
    }
    self->Flush();
  }

  static void OnStop(h2o_generator_t* generator, h2o_req_t* /*req*/) {
    const auto self = *reinterpret_cast<Generator*>(generator)->owner;
    self->OnDisconnected();
  }

  static void OnPoolFreed(void* memory) {
    auto* generator = static_cast<Generator*>(memory);
    const std::shared_ptr<Responder> self = *generator->owner;
    delete generator->owner;
    generator->owner = nullptr;
    self->OnDisconnected();
  }

  void OnDisconnected() {
    if (m_req == nullptr) return;
    m_req = nullptr;
    if (const auto on_end = std::exchange(m_on_end, nullptr)) on_end();
    if (!m_is_final_sent && m_on_closed) {
      auto function = std::exchange(m_on_closed, nullptr);
      function();
    }
    m_on_closed = nullptr;
    m_on_drained = nullptr;
  }

  EventLoop& m_loop;
  h2o_req_t* m_req;
  std::function<void()> m_on_end;
  Generator* m_generator = nullptr;
  std::string m_pending;
  std::string m_in_flight;
  bool m_is_started = false;
  bool m_is_ended = false;
  bool m_is_aborted = false;
  bool m_is_sending = false;
  bool m_is_final_sent = false;
  bool m_is_flush_scheduled = false;
  std::function<void()> m_on_closed;
  std::function<void()> m_on_drained;
};

}  // namespace

struct HttpServer::Impl {
  struct Handler {
    h2o_handler_t super;
    Impl* impl;
  };

  struct ErrorFilter {
    h2o_filter_t super;
    Impl* impl;
  };

  /// Replaces the body of h2o's error response. Allocated in the request's memory pool.
  struct ErrorStream {
    h2o_ostream_t super;
    h2o_iovec_t body;
  };

  EventLoop& loop;
  HttpHandler handler;
  const int first_reserved_descriptor = FirstReservedDescriptor();
  std::string error_content_type;
  std::function<std::string(int)> error_body;
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t accept{};
  h2o_socket_t* listener = nullptr;
  // Responses that may still be open. Ended ones are removed when the list has doubled.
  std::vector<std::weak_ptr<Responder>> responses;
  std::size_t cleanup_threshold = kMinCleanupThreshold;
  HttpConnectionTracker tracker;
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
  TimePoint next_descriptor_count{};

  Impl(EventLoop& event_loop, HttpServerLimits limits, HttpHandler function)
      : loop(event_loop),
        handler(std::move(function)),
        tracker(context, limits.max_unfinished_bytes, limits.max_body_bytes) {
    h2o_config_init(&config);
    config.server_name = h2o_iovec_init(H2O_STRLIT("bluebellpass"));
    config.max_request_entity_size = limits.max_body_bytes;
    config.http1.req_timeout = static_cast<std::uint64_t>(limits.request_timeout.count());
    config.http2.idle_timeout = static_cast<std::uint64_t>(limits.request_timeout.count());
    h2o_hostconf_t* host =
        h2o_config_register_host(&config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* entry = reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
    entry->super.on_req = &Impl::OnRequest;
    entry->impl = this;
    // Errors that h2o detects before it selects a handler use the fallback path.
    auto* filter = reinterpret_cast<ErrorFilter*>(
        h2o_create_filter(&host->fallback_path, sizeof(ErrorFilter)));
    filter->super.on_setup_ostream = &Impl::OnErrorResponse;
    filter->impl = this;
    h2o_context_init(&context, loop.Native(), &config);
    accept.ctx = &context;
    accept.hosts = config.hosts;
    loop.AddSocketHook(this, [this] { tracker.EnforceLimit(loop.Now()); });
  }

  static int OnRequest(h2o_handler_t* handler, h2o_req_t* req) {
    Impl* impl = reinterpret_cast<Handler*>(handler)->impl;
    const std::uint64_t connection = impl->tracker.BeginResponse(req);
    // The client can't get a response any more, so its request is not run.
    if (connection == 0) {
      h2o_send_error_503(req, "Service Unavailable", "connection closed", 0);
      return 0;
    }
    auto responder = std::make_shared<Responder>(
        impl->loop, req, [impl, connection] { impl->tracker.EndResponse(connection); });
    responder->Attach();
    if (impl->responses.size() >= impl->cleanup_threshold) impl->RemoveEndedResponses();
    impl->responses.push_back(responder);
    if (HasAmbiguousLength(req)) {
      impl->RefuseAmbiguousLength(*req, *responder);
    } else {
      impl->handler(ReadRequest(req), responder);
    }
    return 0;
  }

  void RefuseAmbiguousLength(h2o_req_t& req, Responder& responder) const {
    tracker.ReportRejection(ClientRejection::kMalformed);
    req.http1_is_persistent = 0;
    responder.Send(
        kStatusBadRequest,
        {{"content-type", error_content_type.empty() ? "text/plain" : error_content_type}},
        error_body ? error_body(kStatusBadRequest) : "");
  }

  static void OnErrorResponse(h2o_filter_t* filter, h2o_req_t* req, h2o_ostream_t** slot) {
    const Impl* impl = reinterpret_cast<ErrorFilter*>(filter)->impl;
    impl->tracker.ReportRejection(req->res.status == kStatusContentTooLarge
                                      ? ClientRejection::kBodyTooLarge
                                      : ClientRejection::kMalformed);
    if (impl->error_body) {
      auto* stream =
          reinterpret_cast<ErrorStream*>(h2o_add_ostream(req, sizeof(ErrorStream), slot));
      const std::string body = impl->error_body(req->res.status);
      stream->body = h2o_strdup(&req->pool, body.data(), body.size());
      stream->super.do_send = &Impl::SendErrorBody;
      req->res.content_length = body.size();
      const std::string& type = impl->error_content_type;
      const h2o_iovec_t type_copy = h2o_strdup(&req->pool, type.data(), type.size());
      h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, type_copy.base,
                     type_copy.len, 1);
      slot = &stream->super.next;
    }
    h2o_setup_next_ostream(req, slot);
  }

  static void SendErrorBody(h2o_ostream_t* self, h2o_req_t* req, h2o_iovec_t* /*buffers*/,
                            std::size_t /*count*/, h2o_send_state_t state) {
    auto* stream = reinterpret_cast<ErrorStream*>(self);
    h2o_ostream_send_next(self, req, &stream->body, state == H2O_SEND_STATE_FINAL ? 1 : 0, state);
  }

  std::size_t CountOpenResponses() const {
    std::size_t open = 0;
    for (const auto& weak : responses) {
      const auto responder = weak.lock();
      if (responder && responder->IsInProgress()) ++open;
    }
    return open;
  }

  void RemoveEndedResponses() {
    std::erase_if(responses, [](const auto& weak) {
      const auto responder = weak.lock();
      return !responder || !responder->IsInProgress();
    });
    cleanup_threshold = 2 * responses.size() + kMinCleanupThreshold;
  }

  /// Decides whether descriptors are left for one more client. Once low numbers have become free
  /// again, the number of a new descriptor does not tell how many are in use.
  bool HasRoomFor(int descriptor) {
    const std::size_t open = tracker.OpenCount();
    if (descriptor < first_reserved_descriptor && open < max_connections) return true;
    if (loop.Now() >= next_descriptor_count) {
      next_descriptor_count = loop.Now() + kDescriptorCountValidity;
      const auto most = static_cast<std::size_t>(first_reserved_descriptor);
      // The new descriptor is not among the connections yet.
      const std::size_t clients = tracker.ConnectionCount() + 1;
      const std::size_t all = CountDescriptors();
      const std::size_t others = all > clients ? all - clients : 0;
      max_connections = most > others ? most - others : 0;
    }
    return open < max_connections;
  }

  static void OnAccept(h2o_socket_t* listener, const char* error) {
    if (error != nullptr) return;
    auto* impl = static_cast<Impl*>(listener->data);
    h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
    if (socket == nullptr) return;
    // Closing excess connections keeps the accept queue moving. Without free descriptors accept
    // would always fail and wake the loop again and again.
    if (!impl->HasRoomFor(h2o_socket_get_fd(socket)) && !impl->tracker.CloseOldest()) {
      impl->tracker.ReportRejection(ClientRejection::kConnections);
      return h2o_socket_close(socket);
    }
    impl->tracker.Add(socket);
    h2o_accept(&impl->accept, socket);
  }
};

HttpServer::HttpServer(EventLoop& loop, HttpServerLimits limits, HttpHandler handler)
    : m_impl(std::make_unique<Impl>(loop, limits, std::move(handler))) {}

HttpServer::~HttpServer() {
  StopAccepting();
  m_impl->loop.RemoveSocketHook(m_impl.get());
  m_impl->tracker.OnRejection(nullptr);
  KeepUntilExit(std::shared_ptr<Impl>(m_impl.release(), [](Impl*) {}));
}

void HttpServer::SetErrorBody(std::string content_type, std::function<std::string(int)> body) {
  m_impl->error_content_type = std::move(content_type);
  m_impl->error_body = std::move(body);
}

void HttpServer::OnRejection(std::function<void(ClientRejection rejection)> function) {
  m_impl->tracker.OnRejection(std::move(function));
}

Result<Address> HttpServer::Listen(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.port);
  const int on = 1;
  const auto fail = [&](const std::string& what) {
    const std::string reason = std::strerror(errno);
    if (fd >= 0) close(fd);
    return Error{ErrorKind::kInternal, what + " " + address.Text() + ": " + reason, ""};
  };
  if (fd < 0) return fail("cannot create a socket for");
  if (inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr) != 1) {
    return fail("invalid IPv4 address in");
  }
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  auto* socket_address = reinterpret_cast<sockaddr*>(&name);
  if (bind(fd, socket_address, sizeof(name)) != 0) return fail("cannot bind");
  if (listen(fd, kListenBacklog) != 0) return fail("cannot listen on");
  socklen_t length = sizeof(name);
  getsockname(fd, socket_address, &length);
  m_impl->listener = h2o_evloop_socket_create(m_impl->loop.Native(), fd, H2O_SOCKET_FLAG_DONT_READ);
  m_impl->listener->data = m_impl.get();
  h2o_socket_read_start(m_impl->listener, &Impl::OnAccept);
  return Address{address.ip, ntohs(name.sin_port)};
}

void HttpServer::StopAccepting() {
  if (m_impl->listener == nullptr) return;
  h2o_socket_read_stop(m_impl->listener);
  h2o_socket_close(m_impl->listener);
  m_impl->listener = nullptr;
  h2o_context_request_shutdown(&m_impl->context);
}

std::size_t HttpServer::OpenResponses() const { return m_impl->CountOpenResponses(); }

std::size_t HttpServer::UnfinishedRequestBytes() const { return m_impl->tracker.UnfinishedBytes(); }

std::size_t HttpServer::ConnectionCount() const { return m_impl->tracker.ConnectionCount(); }

}  // namespace bluebellpass
