#include "http1-server.h"

#include <array>
#include <cstdio>

#include "h2o.h"
#include "loop.h"

namespace bluebellpass {
namespace {

constexpr int kListenBacklog = 1024;
// Limit on bytes of pipelined requests that are buffered while a response is in progress.
constexpr std::size_t kMaxPipelinedBytes = 64U << 10U;

}  // namespace

/// A client's connection.
class Http1Connection : public std::enable_shared_from_this<Http1Connection> {
 public:
  Http1Connection(Http1Server& server, std::shared_ptr<TcpStream> stream)
      : m_server(&server),
        m_loop(server.m_loop),
        m_stream(std::move(stream)),
        m_parser(HttpParser::Kind::kRequest, server.m_limits.max_header_bytes, ParserCallbacks()),
        m_timer(server.m_loop) {}

  void Begin() {
    m_stream->OnEnd([this](StreamEndReason) { CloseNow(); });
    m_stream->Read([self = shared_from_this()](std::string_view bytes) { self->OnBytes(bytes); });
    WaitForRequest();
  }

  /// @return true if no request is being received or handled
  bool IsIdle() const { return m_exchange == nullptr && m_parser.IsIdle(); }
  bool IsOpen() const { return m_stream->IsOpen(); }
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
    m_body.clear();
    m_stream->SetPaused(false);
    WaitForRequest();
    // A pipelined request is handled in the next loop iteration.
    if (m_parser.BufferedBytes() != 0)
      m_loop.Post([self = shared_from_this()] {
        if (self->IsOpen() && !self->m_exchange) self->OnBytes({});
      });
  }

  /// Closes the connection immediately.
  void CloseNow() {
    const auto self = shared_from_this();
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
    m_timer.Start(m_server->m_limits.idle_timeout, [this] { CloseNow(); });
  }

  void OnHead() {
    if (!HasToken(m_head.Value("expect"), "100-continue")) return;
    m_stream->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }

  void OnBody(std::string_view bytes) {
    if (m_body.size() + bytes.size() > m_server->m_limits.max_body_bytes) {
      m_is_too_large = true;
    } else {
      m_body.append(bytes);
    }
  }

  void OnBytes(std::string_view bytes) {
    if (m_exchange) {
      // At the end of a message the parser only buffers the bytes.
      m_parser.Parse(bytes);
      if (m_parser.BufferedBytes() > kMaxPipelinedBytes) m_stream->SetPaused(true);
      return;
    }
    if (!m_is_receiving) {
      m_is_receiving = true;
      m_timer.Start(m_server->m_limits.request_timeout, [this] { CloseNow(); });
    }
    const ParseStatus status = m_parser.Parse(bytes);
    if (m_is_too_large) return Reject(413);
    if (status == ParseStatus::kFailed) return Reject(m_parser.IsHeaderTooLong() ? 431 : 400);
    if (status == ParseStatus::kMessageEnd) HandleRequest();
  }

  void Reject(int status) {
    const auto self = shared_from_this();
    m_timer.Stop();
    m_stream->Write(SerializeResponse(status, {{"Content-Length", "0"}, {"Connection", "close"}}));
    m_stream->CloseAfterWrites();
    Unregister();
  }

  void HandleRequest() {
    m_timer.Stop();
    m_is_http10 = m_head.version < 11;
    m_is_closing = !m_head.is_keep_alive;
    m_exchange =
        std::make_shared<HttpExchange>(weak_from_this(), std::move(m_head), std::move(m_body));
    m_head = {};
    m_body = {};
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
  Timer m_timer;
  std::shared_ptr<HttpExchange> m_exchange;
  bool m_is_receiving = false;
  bool m_is_too_large = false;
  bool m_is_http10 = false;
  bool m_is_closing = false;
};

HttpExchange::HttpExchange(std::weak_ptr<Http1Connection> connection, HttpHead head,
                           std::string body)
    : m_connection(std::move(connection)), m_head(std::move(head)), m_body(std::move(body)) {}

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
    : m_loop(loop), m_limits(limits), m_handler(std::move(handler)), m_account(account) {}

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
  // Closing excess connections immediately keeps the accept queue moving.
  if (server->m_connections.size() >= server->m_limits.max_connections)
    return h2o_socket_close(socket);
  auto stream = TcpStream::Accept(socket, TcpKeepAlive{}, server->m_account);
  auto connection = std::make_shared<Http1Connection>(*server, std::move(stream));
  server->m_connections.emplace(connection.get(), connection);
  connection->Begin();
}

void Http1Server::Remove(Http1Connection* connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) return;
  // The connection may be executing, so it is destroyed in the next loop iteration.
  m_loop.Post([connection_to_destroy = std::move(found->second)] {});
  m_connections.erase(found);
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
