#include "http1-server.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "h2o.h"
#include "loop.h"

namespace bluebellpass {
namespace {

constexpr int kListenBacklog = 1024;
// Limit on bytes of pipelined requests that are buffered while a response is in progress.
constexpr std::size_t kMaxPipelinedBytes = 64U << 10U;
// Unfinished bodies up to this size go on while memory is scarce, since ordinary requests are
// small.
constexpr std::size_t kSmallBodyBytes = 64U << 10U;
constexpr Millis kResumeCheckPeriod{20};
// Retry-After of requests that are refused because memory is short, in seconds.
constexpr char kRetryAfterMemory[] = "1";

/// Appends to a body with less spare capacity than the library would add.
void AppendWithin(std::string& body, std::string_view bytes, std::size_t max_bytes) {
  const std::size_t size = body.size() + bytes.size();
  if (size > body.capacity()) {
    const std::size_t grown = body.capacity() + body.capacity() / 4;
    body.reserve(std::max(size, std::min(grown, max_bytes)));
  }
  body.append(bytes);
}

}  // namespace

std::string_view NameOf(ClientRejection rejection) {
  switch (rejection) {
    case ClientRejection::kMalformed:
      return "malformed";
    case ClientRejection::kHeadTooLong:
      return "head_too_long";
    case ClientRejection::kBodyTooLarge:
      return "body_too_large";
    case ClientRejection::kMemory:
      return "memory";
    case ClientRejection::kConnections:
      return "connections";
  }
  return "";
}

/// A client's connection.
class Http1Connection : public std::enable_shared_from_this<Http1Connection> {
 public:
  Http1Connection(Http1Server& server, std::shared_ptr<TcpStream> stream)
      : m_server(&server),
        m_loop(server.m_loop),
        m_stream(std::move(stream)),
        m_parser(HttpParser::Kind::kRequest, server.m_limits.max_header_bytes, ParserCallbacks()),
        m_held_request(
            server.m_account, [this] { OnOverMemoryLimit(); }, BufferKind::kRequestBody),
        m_held_pipelined(server.m_account, nullptr, BufferKind::kRequestBody),
        m_timer(server.m_loop) {}

  void Begin() {
    m_stream->OnEnd([this](StreamEndReason) { CloseNow(); });
    m_stream->Read([self = shared_from_this()](std::string_view bytes) { self->OnBytes(bytes); });
    WaitForRequest();
  }

  /// @return true if no request is being received or handled
  bool IsIdle() const { return m_exchange == nullptr && m_parser.IsIdle(); }
  bool IsOpen() const { return m_stream->IsOpen(); }
  /// @return bytes of the request that is being received
  std::size_t ReceivedBytes() const { return m_held_request.Bytes(); }
  TcpStream& Stream() { return *m_stream; }
  bool IsHttp10() const { return m_is_http10; }

  /// Decides whether to close the connection after the current response.
  /// @return true if the connection will be closed
  bool DecideClose() {
    m_is_closing = m_is_closing || m_server == nullptr || m_server->m_is_draining;
    return m_is_closing;
  }
  void CloseAfterResponse() { m_is_closing = true; }

  void FinishResponse() {
    // Writing the end of the response may have closed the connection.
    if (!IsOpen()) return;
    m_exchange.reset();
    if (m_is_closing) {
      m_stream->CloseAfterWrites();
      return Unregister();
    }
    m_parser.Restart();
    m_held_pipelined.Release();
    m_stream->SetPaused(false);
    WaitForRequest();
    // A pipelined request is handled in the next loop iteration.
    if (m_parser.BufferedBytes() != 0)
      m_loop.Post([self = shared_from_this()] {
        if (self->IsOpen() && !self->m_exchange) self->OnBytes({});
      });
  }

  /// Closes the connection, which has no request in progress. A response that the client is still
  /// reading is completed.
  void CloseForNewConnection() {
    if (m_stream->PendingBytes() == 0) return CloseNow();
    ReleaseRequest();
    m_stream->CloseAfterWrites();
    Unregister();
  }

  /// Closes the connection immediately.
  void CloseNow() {
    const auto self = shared_from_this();
    ReleaseRequest();
    m_stream->Close();
    if (const auto exchange = std::exchange(m_exchange, nullptr)) exchange->NotifyClosed();
    Unregister();
  }

  void DetachServer() { m_server = nullptr; }

 private:
  HttpParser::Callbacks ParserCallbacks() {
    return {[this](HttpHead head) {
              m_head = std::move(head);
              OnHead();
            },
            [this](std::string_view bytes) { OnBody(bytes); }};
  }

  void WaitForRequest() {
    m_is_receiving = false;
    m_server->m_table.SetClosable(this, true);
    m_timer.Start(m_server->m_limits.idle_timeout, [this] { CloseNow(); });
  }

  void OnHead() {
    m_is_too_large = m_head.content_length.value_or(0) > m_server->m_limits.max_body_bytes;
    if (m_is_too_large || !HasToken(m_head.Value("expect"), "100-continue")) return;
    m_stream->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }

  void OnBody(std::string_view bytes) {
    const std::size_t max_bytes = m_server->m_limits.max_body_bytes;
    m_is_too_large = m_is_too_large || m_body.size() + bytes.size() > max_bytes;
    if (!m_is_too_large && !m_is_over_memory) AppendWithin(m_body, bytes, max_bytes);
  }

  void OnBytes(std::string_view bytes) {
    if (m_exchange) return OnPipelinedBytes(bytes);
    if (!m_is_receiving) {
      m_is_receiving = true;
      m_server->m_table.SetClosable(this, true);
      m_timer.Start(m_server->m_limits.request_timeout, [this] { CloseNow(); });
    }
    const ParseStatus status = m_parser.Parse(bytes);
    if (m_is_too_large) return Reject(413, ClientRejection::kBodyTooLarge);
    if (status == ParseStatus::kFailed)
      return m_parser.IsHeaderTooLong() ? Reject(431, ClientRejection::kHeadTooLong)
                                        : Reject(400, ClientRejection::kMalformed);
    if (status == ParseStatus::kMessageEnd) return HandleRequest();
    m_held_request.Set(m_body.capacity() + m_parser.BufferedBytes());
    if (m_is_over_memory || !IsOpen()) return;
    m_server->PauseIfScarce(*this);
  }

  void OnPipelinedBytes(std::string_view bytes) {
    // Requests that are not read may be sent again by the client.
    if (m_server != nullptr && m_server->m_account != nullptr && m_server->m_account->IsScarce())
      m_is_closing = true;
    if (m_is_closing) return;
    // At the end of a message the parser only buffers the bytes.
    m_parser.Parse(bytes);
    m_held_pipelined.Set(m_parser.BufferedBytes());
    if (m_parser.BufferedBytes() > kMaxPipelinedBytes) m_stream->SetPaused(true);
  }

  /// Refuses the request that is being received, which has not been handled.
  void OnOverMemoryLimit() {
    m_is_over_memory = true;
    m_body = {};
    Reject(503, ClientRejection::kMemory);
  }

  void ReleaseRequest() {
    m_body = {};
    m_held_request.Release();
  }

  void Reject(int status, ClientRejection rejection) {
    const auto self = shared_from_this();
    m_timer.Stop();
    ReleaseRequest();
    if (m_server != nullptr) m_server->Reject(rejection);
    std::vector<HttpField> fields = {{"Content-Length", "0"}, {"Connection", "close"}};
    if (status == 503) fields.push_back({"Retry-After", kRetryAfterMemory});
    m_stream->Write(SerializeResponse(status, fields));
    m_stream->CloseAfterWrites();
    Unregister();
  }

  void HandleRequest() {
    m_timer.Stop();
    m_is_http10 = m_head.version < 11;
    m_is_closing = !m_head.is_keep_alive;
    m_held_request.Release();
    m_server->m_table.SetClosable(this, false);
    m_exchange = std::make_shared<HttpExchange>(weak_from_this(), std::move(m_head),
                                                std::move(m_body), m_server->m_account);
    m_head = {};
    m_body = {};
    if (m_exchange->IsBodyLost()) {
      m_exchange.reset();
      return Reject(503, ClientRejection::kMemory);
    }
    m_server->m_handler(m_exchange);
  }

  void Unregister() {
    m_timer.Stop();
    if (Http1Server* server = std::exchange(m_server, nullptr)) server->Remove(this);
  }

  Http1Server* m_server;
  EventLoop& m_loop;
  std::shared_ptr<TcpStream> m_stream;
  HttpHead m_head;
  std::string m_body;
  HttpParser m_parser;
  MemoryAccount::Holder m_held_request;
  MemoryAccount::Holder m_held_pipelined;
  Timer m_timer;
  std::shared_ptr<HttpExchange> m_exchange;
  bool m_is_receiving = false;
  bool m_is_too_large = false;
  bool m_is_over_memory = false;
  bool m_is_http10 = false;
  bool m_is_closing = false;
};

HttpExchange::HttpExchange(std::weak_ptr<Http1Connection> connection, HttpHead head,
                           std::string body, MemoryAccount* account)
    : m_connection(std::move(connection)),
      m_head(std::move(head)),
      m_body(std::move(body)),
      m_held_body(
          account,
          [this] {
            if (const auto function = m_on_body_evicted) return function();
            m_body = {};
            m_is_body_lost = true;
          },
          BufferKind::kRequestBody) {
  // A body without its own allocation takes nothing beyond the exchange.
  if (!m_body.empty()) m_held_body.Set(m_body.capacity());
}

void HttpExchange::ReleaseBody() {
  m_body = {};
  m_held_body.Release();
}

bool HttpExchange::IsOpen() const {
  const auto connection = m_connection.lock();
  return connection && connection->IsOpen() && !m_is_ended;
}

std::size_t HttpExchange::PendingBytes() const {
  const auto connection = m_connection.lock();
  return connection ? connection->Stream().PendingBytes() : 0;
}

void HttpExchange::Send(int status, std::vector<HttpField> fields, std::string_view body) {
  if (!IsOpen() || m_is_started) return;
  const auto connection = m_connection.lock();
  m_is_started = true;
  m_is_ended = true;
  fields.push_back({"Content-Length", std::to_string(body.size())});
  if (connection->DecideClose()) fields.push_back({"Connection", "close"});
  std::string text = SerializeResponse(status, fields);
  if (m_head.method != "HEAD") text.append(body);
  connection->Stream().Write(std::move(text));
  connection->FinishResponse();
}

void HttpExchange::Start(int status, std::vector<HttpField> fields) {
  if (!IsOpen() || m_is_started) return;
  const auto connection = m_connection.lock();
  m_is_started = true;
  if (connection->IsHttp10()) {
    connection->CloseAfterResponse();
  } else {
    fields.push_back({"Transfer-Encoding", "chunked"});
  }
  if (connection->DecideClose()) fields.push_back({"Connection", "close"});
  connection->Stream().Write(SerializeResponse(status, fields));
}

void HttpExchange::Write(std::string_view bytes) {
  if (!IsOpen() || !m_is_started || bytes.empty()) return;
  const auto connection = m_connection.lock();
  if (connection->IsHttp10()) return connection->Stream().Write(std::string(bytes));
  std::array<char, 24> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk(size.data(), static_cast<std::size_t>(length));
  chunk.append(bytes).append("\r\n");
  connection->Stream().Write(std::move(chunk));
}

void HttpExchange::End() {
  if (!IsOpen() || !m_is_started) return;
  const auto connection = m_connection.lock();
  m_is_ended = true;
  if (!connection->IsHttp10()) connection->Stream().Write("0\r\n\r\n");
  connection->FinishResponse();
}

void HttpExchange::Abort() {
  m_on_closed = nullptr;
  if (const auto connection = m_connection.lock()) {
    if (!m_is_ended) connection->CloseNow();
  }
  m_is_ended = true;
}

void HttpExchange::NotifyClosed() {
  if (m_is_ended) return;
  m_is_ended = true;
  if (const auto function = std::exchange(m_on_closed, nullptr)) function();
}

Http1Server::Http1Server(EventLoop& loop, Http1Limits limits, Handler handler,
                         MemoryAccount* account)
    : m_loop(loop),
      m_limits(limits),
      m_handler(std::move(handler)),
      m_account(account),
      m_resume_timer(loop) {}

Http1Server::~Http1Server() {
  StopAccepting();
  const auto connections = std::move(m_connections);
  for (const auto& [key, connection] : connections) {
    connection->DetachServer();
    connection->Stream().Close();
  }
}

Result<Address> Http1Server::Listen(const Address& address) {
  const ListeningSocket listener = OpenListeningSocket(m_loop, address, kListenBacklog);
  if (listener.socket == nullptr) return Error{ErrorKind::kInternal, listener.error, ""};
  m_listener = listener.socket;
  m_listener->data = this;
  h2o_socket_read_start(m_listener, &Http1Server::HandleAccept);
  return listener.address;
}

void Http1Server::HandleAccept(h2o_socket_t* listener, const char* error) {
  if (error != nullptr) return;
  auto* server = static_cast<Http1Server*>(listener->data);
  h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
  if (socket == nullptr) return;
  if (server->m_connections.size() >= server->m_limits.max_connections) {
    server->Reject(ClientRejection::kConnections);
    Http1Connection* closable = server->m_table.ChooseClosable();
    // Closing excess connections immediately keeps the accept queue moving.
    if (closable == nullptr) return h2o_socket_close(socket);
    closable->CloseForNewConnection();
  }
  auto stream = TcpStream::Accept(socket, TcpKeepAlive{}, server->m_account);
  const std::uint32_t ip = stream->PeerIp();
  auto connection = std::make_shared<Http1Connection>(*server, std::move(stream));
  server->m_connections.emplace(connection.get(), connection);
  server->m_table.Add(connection.get(), ip);
  connection->Begin();
}

void Http1Server::PauseIfScarce(Http1Connection& connection) {
  if (m_account == nullptr || !m_account->IsScarce()) return;
  if (connection.ReceivedBytes() <= kSmallBodyBytes) return;
  const auto current = m_large_body.lock();
  if (current.get() == &connection) return;
  if (!current || current->ReceivedBytes() == 0) {
    m_large_body = connection.weak_from_this();
    return;
  }
  connection.Stream().SetPaused(true);
  m_paused_bodies.push_back(connection.weak_from_this());
  if (m_paused_bodies.size() == 1)
    m_resume_timer.StartPeriodic(kResumeCheckPeriod, [this] { ResumeBodies(); });
}

void Http1Server::ResumeBodies() {
  const auto current = m_large_body.lock();
  bool is_turn_free = !current || current->ReceivedBytes() == 0;
  while (!m_paused_bodies.empty() && (is_turn_free || !m_account->IsScarce())) {
    const auto next = m_paused_bodies.front().lock();
    m_paused_bodies.pop_front();
    if (!next || !next->IsOpen() || next->ReceivedBytes() == 0) continue;
    if (is_turn_free) m_large_body = next;
    is_turn_free = false;
    next->Stream().SetPaused(false);
  }
  if (m_paused_bodies.empty()) m_resume_timer.Stop();
}

void Http1Server::Remove(Http1Connection* connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) return;
  // The connection may be executing, so it is destroyed in the next loop iteration.
  m_loop.Post([connection_to_destroy = std::move(found->second)] {});
  m_connections.erase(found);
  m_table.Remove(connection);
}

void Http1Server::BeginDrain() {
  m_is_draining = true;
  std::vector<std::shared_ptr<Http1Connection>> idle;
  for (const auto& [key, connection] : m_connections)
    if (connection->IsIdle()) idle.push_back(connection);
  for (const auto& connection : idle) connection->CloseNow();
}

void Http1Server::StopAccepting() {
  if (m_listener != nullptr) h2o_socket_close(std::exchange(m_listener, nullptr));
}

}  // namespace bluebellpass
