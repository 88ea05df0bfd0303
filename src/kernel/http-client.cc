#include "http-client.h"

#include <algorithm>
#include <cctype>
#include <unordered_map>
#include <utility>

#include "h2o.h"
#include "loop.h"

namespace bluebellpass {
namespace {

// h2o has one timeout for all calls of a client; each call sets its own shorter timer.
constexpr std::uint64_t kLibraryTimeoutMs = 3'600'000;

/// The h2o client context, shared by all calls.
struct ClientContext {
  explicit ClientContext(EventLoop& event_loop) : loop(event_loop) {
    h2o_timeout_init(loop.Native(), &io_timeout, kLibraryTimeoutMs);
    queue = h2o_multithread_create_queue(loop.Native());
    h2o_multithread_register_receiver(queue, &receiver, h2o_hostinfo_getaddr_receiver);
    native.loop = loop.Native();
    native.getaddr_receiver = &receiver;
    native.io_timeout = &io_timeout;
  }

  EventLoop& loop;
  h2o_timeout_t io_timeout{};
  h2o_multithread_queue_t* queue = nullptr;
  h2o_multithread_receiver_t receiver{};
  h2o_http1client_ctx_t native{};
};

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

class Call;

/// State used by h2o's callbacks. Outlives the call until h2o has released its client.
struct CallHandle {
  Call* call = nullptr;  ///< null once the call has ended or was destroyed
  h2o_http1client_t* client = nullptr;
  std::string request_text;
  h2o_iovec_t buffer{};
};

/// Cancels the h2o client of a call.
void ReleaseClient(EventLoop& loop, const std::shared_ptr<CallHandle>& handle) {
  handle->call = nullptr;
  h2o_http1client_t* client = handle->client;
  if (client == nullptr) return;
  const bool is_writing = client->sock != nullptr && h2o_socket_is_writing(client->sock) != 0;
  if (!is_writing) {
    handle->client = nullptr;
    h2o_http1client_cancel(client);
    return;
  }
  // h2o frees a closed socket before it runs the callback of a write that has just completed, so
  // the close waits for a full loop iteration.
  loop.Post([&loop, handle] {
    loop.Post([handle] {
      if (handle->client != nullptr) h2o_http1client_cancel(std::exchange(handle->client, nullptr));
    });
  });
}

class Call : public HttpCall {
 public:
  Call(std::shared_ptr<ClientContext> context, HttpClientRequest request, HttpCallHandlers handlers)
      : m_context(std::move(context)),
        m_request(std::move(request)),
        m_handlers(std::move(handlers)),
        m_timer(m_context->loop) {}

  ~Call() override {
    *m_alive = false;
    ReleaseClient(m_context->loop, m_handle);
  }

  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Begin() {
    m_handle->call = this;
    m_handle->request_text = BuildRequestText(m_request);
    m_handle->buffer = h2o_iovec_init(m_handle->request_text.data(), m_handle->request_text.size());
    m_timer.Start(m_request.connect_timeout,
                  [this] { Finish(HttpCallResult::kConnectTimeout, "connect timeout"); });
    m_context->loop.Post([this, alive = m_alive] {
      if (!*alive || m_is_finished) return;
      h2o_http1client_connect(
          &m_handle->client, m_handle.get(), &m_context->native,
          h2o_iovec_init(m_request.address.ip.data(), m_request.address.ip.size()),
          m_request.address.port, 0, &Call::OnConnect);
    });
  }

 private:
  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* client, const char* error,
                                           h2o_iovec_t** buffers, std::size_t* buffer_count,
                                           int* is_head) {
    auto* handle = static_cast<CallHandle*>(client->data);
    Call* self = handle->call;
    // Returning no callback makes h2o close the connection and free its client.
    if (self == nullptr || error != nullptr) {
      handle->client = nullptr;
      if (self != nullptr) self->Finish(HttpCallResult::kConnectFailed, error);
      return nullptr;
    }
    if (self->m_request.may_send && !self->m_request.may_send()) {
      handle->client = nullptr;
      self->Finish(HttpCallResult::kWithdrawn, "withdrawn before sending");
      return nullptr;
    }
    *buffers = &handle->buffer;
    *buffer_count = 1;
    *is_head = 0;
    self->RestartIdleTimer();
    return &Call::OnHead;
  }

  static h2o_http1client_body_cb OnHead(h2o_http1client_t* client, const char* error,
                                        int /*minor_version*/, int status, h2o_iovec_t /*message*/,
                                        h2o_header_t* headers, std::size_t header_count,
                                        int /*length*/) {
    auto* handle = static_cast<CallHandle*>(client->data);
    Call* self = handle->call;
    const bool is_end = error == h2o_http1client_error_is_eos;
    if (self == nullptr || (error != nullptr && !is_end)) {
      handle->client = nullptr;
      if (self != nullptr) self->Finish(HttpCallResult::kConnectionBroken, error);
      return nullptr;
    }
    HttpHeaders fields;
    for (std::size_t i = 0; i < header_count; ++i) {
      std::string name(headers[i].name->base, headers[i].name->len);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
      fields[std::move(name)] = std::string(headers[i].value.base, headers[i].value.len);
    }
    self->RestartIdleTimer();
    self->PostEvent([self, status, fields = std::move(fields)] {
      if (self->m_handlers.on_head) self->m_handlers.on_head(status, fields);
    });
    if (is_end) {
      // h2o frees its client after this callback, so it must not be cancelled too.
      handle->client = nullptr;
      self->Finish(HttpCallResult::kComplete, "");
      return nullptr;
    }
    return &Call::OnBody;
  }

  static int OnBody(h2o_http1client_t* client, const char* error) {
    auto* handle = static_cast<CallHandle*>(client->data);
    Call* self = handle->call;
    const bool is_end = error == h2o_http1client_error_is_eos;
    if (self == nullptr || (error != nullptr && !is_end)) {
      handle->client = nullptr;
      if (self != nullptr) self->Finish(HttpCallResult::kConnectionBroken, error);
      // A non-zero value makes h2o close a connection that has not failed.
      return -1;
    }
    if (client->sock->input->size != 0) {
      std::string bytes(client->sock->input->bytes, client->sock->input->size);
      h2o_buffer_consume(&client->sock->input, client->sock->input->size);
      self->RestartIdleTimer();
      self->PostEvent([self, bytes = std::move(bytes)] {
        if (self->m_handlers.on_data) self->m_handlers.on_data(bytes);
      });
    }
    if (is_end) {
      handle->client = nullptr;
      self->Finish(HttpCallResult::kComplete, "");
    }
    return 0;
  }

  /// Runs a callback in the next loop iteration: it may destroy the call, which must not happen
  /// inside a callback of h2o.
  void PostEvent(std::function<void()> event) {
    m_context->loop.Post([alive = m_alive, event = std::move(event)] {
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
    ReleaseClient(m_context->loop, m_handle);
    PostEvent([this, result, message] {
      const auto on_end = m_handlers.on_end;
      if (on_end) on_end(result, message);
    });
  }

  std::shared_ptr<ClientContext> m_context;
  HttpClientRequest m_request;
  HttpCallHandlers m_handlers;
  Timer m_timer;
  std::shared_ptr<CallHandle> m_handle = std::make_shared<CallHandle>();
  bool m_is_finished = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace

struct HttpClient::Impl {
  std::shared_ptr<ClientContext> context;
  std::unordered_map<std::uint64_t, std::unique_ptr<HttpCall>> fetches;
  std::uint64_t next_fetch_id = 1;
};

HttpClient::HttpClient(EventLoop& loop) : m_impl(std::make_unique<Impl>()) {
  m_impl->context = std::make_shared<ClientContext>(loop);
}

HttpClient::~HttpClient() { KeepUntilExit(m_impl->context); }

std::unique_ptr<HttpCall> HttpClient::StartCall(HttpClientRequest request,
                                                HttpCallHandlers handlers) {
  auto call = std::make_unique<Call>(m_impl->context, std::move(request), std::move(handlers));
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
        return done(Error{ErrorKind::kStoreUncertain, message, ""});
    }
  };
  m_impl->fetches[id] = StartCall(std::move(request), std::move(handlers));
}

}  // namespace bluebellpass
