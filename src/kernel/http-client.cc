#include "http-client.h"

#include <algorithm>
#include <cctype>
#include <unordered_map>
#include <utility>

#include "http1.h"
#include "loop.h"
#include "tcp-stream.h"

namespace bluebellpass {
namespace {

constexpr std::uint32_t kMaxHeadBytes = 64U << 10U;
// Responses with status 1xx that may precede the final one.
constexpr int kMaxInterimResponses = 8;

std::string BuildRequestText(const HttpClientRequest& request) {
  std::string text = request.method + " " + request.path +
                     " HTTP/1.1\r\nhost: " + request.address.Text() + "\r\nconnection: close\r\n";
  for (const auto& [name, value] : request.headers) text += name + ": " + value + "\r\n";
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    text += "content-length: " + std::to_string(request.body.size()) + "\r\n";
  }
  text += "\r\n";
  text += request.body;
  return text;
}

HttpHeaders HeadersOf(const HttpHead& head) {
  HttpHeaders headers;
  for (const HttpField& field : head.fields) {
    std::string name = field.name;
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    headers[std::move(name)] = field.value;
  }
  return headers;
}

class Call : public HttpCall {
 public:
  Call(EventLoop& loop, HttpClientRequest request, HttpCallHandlers handlers)
      : m_loop(loop),
        m_request(std::move(request)),
        m_handlers(std::move(handlers)),
        m_parser(HttpParser::Kind::kResponse, kMaxHeadBytes, ParserCallbacks()),
        m_timer(loop) {}

  ~Call() override {
    *m_alive = false;
    if (m_stream) m_stream->Close();
  }

  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Begin() {
    m_parser.Restart(m_request.method == "HEAD");
    m_timer.Start(m_request.connect_timeout,
                  [this] { Finish(HttpCallResult::kConnectTimeout, "connect timeout"); });
    m_stream =
        TcpStream::Connect(m_loop, m_request.address, TcpKeepAlive{}, [this] { OnConnected(); });
    m_stream->OnEnd([this](StreamEndReason reason) { OnStreamEnd(reason); });
    m_stream->Read([this](std::string_view bytes) { OnBytes(bytes); });
  }

 private:
  HttpParser::Callbacks ParserCallbacks() {
    return {[this](const HttpHead& head) { OnHead(head); },
            [this](std::string_view bytes) { OnBody(bytes); }};
  }

  void OnConnected() {
    if (m_request.may_send && !m_request.may_send())
      return Finish(HttpCallResult::kWithdrawn, "withdrawn before sending");
    m_is_connected = true;
    RestartIdleTimer();
    m_stream->Write(BuildRequestText(m_request));
  }

  void OnHead(const HttpHead& head) {
    m_is_interim = head.status >= 100 && head.status < 200;
    if (m_is_interim) return;
    RestartIdleTimer();
    PostEvent([this, status = head.status, headers = HeadersOf(head)] {
      if (m_handlers.on_head) m_handlers.on_head(status, headers);
    });
  }

  void OnBody(std::string_view bytes) {
    if (m_is_finished) return;
    RestartIdleTimer();
    m_body_bytes += bytes.size();
    if (m_body_bytes > m_request.max_body_bytes)
      return Finish(HttpCallResult::kMalformedResponse, "the response is too long");
    PostEvent([this, text = std::string(bytes)] {
      if (m_handlers.on_data) m_handlers.on_data(text);
    });
  }

  void OnBytes(std::string_view bytes) {
    ParseStatus status = m_parser.Parse(bytes);
    while (status == ParseStatus::kMessageEnd && std::exchange(m_is_interim, false)) {
      if (++m_interim_responses > kMaxInterimResponses)
        return Finish(HttpCallResult::kMalformedResponse, "too many interim responses");
      m_parser.Restart(m_request.method == "HEAD");
      status = m_parser.Parse({});
    }
    if (status == ParseStatus::kFailed)
      return Finish(HttpCallResult::kMalformedResponse,
                    "malformed response: " + m_parser.ErrorText());
    if (status == ParseStatus::kMessageEnd) Finish(HttpCallResult::kComplete, "");
  }

  void OnStreamEnd(StreamEndReason reason) {
    if (!m_is_connected) return Finish(HttpCallResult::kConnectFailed, "connection refused");
    // A response without a length ends with an orderly close.
    if (reason == StreamEndReason::kClosed && m_parser.ParseEnd() == ParseStatus::kMessageEnd &&
        !m_is_interim)
      return Finish(HttpCallResult::kComplete, "");
    Finish(HttpCallResult::kConnectionBroken, "the connection ended before the response");
  }

  /// Runs a callback in a later step of the event loop: it may destroy the call, which must not
  /// happen inside a callback of the stream or the parser.
  void PostEvent(std::function<void()> event) {
    m_loop.Post([alive = m_alive, event = std::move(event)] {
      if (*alive) event();
    });
  }

  void RestartIdleTimer() {
    m_timer.Start(m_request.idle_timeout,
                  [this] { Finish(HttpCallResult::kIdleTimeout, "idle timeout"); });
  }

  void Finish(HttpCallResult result, const std::string& message) {
    if (m_is_finished) return;
    m_is_finished = true;
    m_timer.Stop();
    if (m_stream) m_stream->Close();
    PostEvent([this, result, message] {
      const auto on_end = m_handlers.on_end;
      if (on_end) on_end(result, message);
    });
  }

  EventLoop& m_loop;
  HttpClientRequest m_request;
  HttpCallHandlers m_handlers;
  HttpParser m_parser;
  Timer m_timer;
  std::shared_ptr<TcpStream> m_stream;
  std::size_t m_body_bytes = 0;
  int m_interim_responses = 0;
  bool m_is_interim = false;
  bool m_is_connected = false;
  bool m_is_finished = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace

struct HttpClient::Impl {
  EventLoop& loop;
  std::unordered_map<std::uint64_t, std::unique_ptr<HttpCall>> fetches;
  std::uint64_t next_fetch_id = 1;
};

HttpClient::HttpClient(EventLoop& loop) : m_impl(std::make_unique<Impl>(Impl{loop, {}})) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpCall> HttpClient::StartCall(HttpClientRequest request,
                                                HttpCallHandlers handlers) {
  auto call = std::make_unique<Call>(m_impl->loop, std::move(request), std::move(handlers));
  call->Begin();
  return call;
}

void HttpClient::Fetch(HttpClientRequest request, std::function<void(Result<HttpResponse>)> done) {
  const std::uint64_t id = m_impl->next_fetch_id++;
  auto response = std::make_shared<HttpResponse>();
  HttpCallHandlers handlers;
  handlers.on_head = [response](int status, const HttpHeaders& headers) {
    response->status = status;
    response->headers = headers;
  };
  handlers.on_data = [response](std::string_view bytes) { response->body.append(bytes); };
  handlers.on_end = [this, id, response, done = std::move(done)](HttpCallResult result,
                                                                 const std::string& message) {
    const auto keep = std::move(m_impl->fetches[id]);
    m_impl->fetches.erase(id);
    switch (result) {
      case HttpCallResult::kComplete:
        return done(std::move(*response));
      case HttpCallResult::kConnectFailed:
      case HttpCallResult::kConnectTimeout:
      case HttpCallResult::kWithdrawn:
        return done(Error{ErrorKind::kStoreUnavailable, message, ""});
      case HttpCallResult::kIdleTimeout:
      case HttpCallResult::kConnectionBroken:
      case HttpCallResult::kMalformedResponse:
        return done(Error{ErrorKind::kStoreUncertain, message, ""});
    }
  };
  m_impl->fetches[id] = StartCall(std::move(request), std::move(handlers));
}

}  // namespace bluebellpass
