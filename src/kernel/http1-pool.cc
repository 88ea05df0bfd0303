#include "http1-pool.h"

#include <algorithm>
#include <charconv>
#include <deque>

#include "loop.h"

namespace bluebellpass {
namespace {

constexpr Millis kSweepPeriod{1'000};
// Responses to other requests that a call skips before it closes the connection.
constexpr int kMaxSkippedResponses = 4;
// Limit on the body bytes of skipped responses, against a server that sends without end.
constexpr std::size_t kMaxSkippedBytes = 4U << 20U;

/// @return the idle timeout stated in the Keep-Alive field, or nullopt
std::optional<Millis> ParseIdleTimeout(const HttpHead& head) {
  const std::string value = head.Value("keep-alive");
  const std::size_t at = value.find("timeout=");
  if (at == std::string::npos) return std::nullopt;
  int seconds = 0;
  const char* begin = value.data() + at + 8;
  if (std::from_chars(begin, value.data() + value.size(), seconds).ec != std::errc{})
    return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

struct HttpConnectionPool::Impl : std::enable_shared_from_this<HttpConnectionPool::Impl> {
  struct IdleConnection {
    std::shared_ptr<TcpStream> stream;
    TimePoint expires_at;
  };

  Impl(EventLoop& event_loop, ConnectionPoolOptions pool_options)
      : loop(event_loop), options(pool_options), sweep_timer(event_loop) {}

  void AddIdle(const Address& address, std::shared_ptr<TcpStream> stream, Millis idle_timeout) {
    auto& connections = idle[address];
    if (connections.size() >= options.max_idle_per_address || idle_timeout <= Millis{0})
      return stream->Close();
    TcpStream* key = stream.get();
    const std::weak_ptr<Impl> weak = weak_from_this();
    stream->OnEnd([weak, address, key](StreamEndReason) {
      if (const auto self = weak.lock()) self->RemoveIdle(address, key);
    });
    stream->Read([weak, address, key](std::string_view) {
      // No request is pending, so the connection is out of sync.
      const auto self = weak.lock();
      if (!self) return;
      ++self->stats.unexpected_bytes;
      self->RemoveIdle(address, key);
    });
    connections.push_back({std::move(stream), loop.Now() + idle_timeout});
    if (is_sweep_running) return;
    is_sweep_running = true;
    sweep_timer.StartPeriodic(kSweepPeriod, [this] { CloseExpired(); });
  }

  void RemoveIdle(const Address& address, const TcpStream* key) {
    const auto found = idle.find(address);
    if (found == idle.end()) return;
    auto& connections = found->second;
    const auto entry =
        std::find_if(connections.begin(), connections.end(),
                     [&](const IdleConnection& item) { return item.stream.get() == key; });
    if (entry == connections.end()) return;
    const auto stream = entry->stream;
    connections.erase(entry);
    stream->Close();
    loop.Post([stream] {});
  }

  std::shared_ptr<TcpStream> TakeIdle(const Address& address) {
    const auto found = idle.find(address);
    if (found == idle.end()) return nullptr;
    auto& connections = found->second;
    while (!connections.empty()) {
      IdleConnection entry = std::move(connections.back());
      connections.pop_back();
      // A request on a connection that the server has just closed would be lost.
      if (entry.stream->IsOpen() && entry.expires_at > loop.Now() &&
          !entry.stream->HasUnreadInput())
        return entry.stream;
      entry.stream->Close();
    }
    return nullptr;
  }

  void CloseExpired() {
    for (auto it = idle.begin(); it != idle.end();) {
      std::erase_if(it->second, [&](const IdleConnection& entry) {
        if (entry.expires_at > loop.Now()) return false;
        entry.stream->Close();
        return true;
      });
      it = it->second.empty() ? idle.erase(it) : std::next(it);
    }
    if (!idle.empty()) return;
    is_sweep_running = false;
    sweep_timer.Stop();
  }

  EventLoop& loop;
  ConnectionPoolOptions options;
  ConnectionPoolStats stats;
  std::map<Address, std::deque<IdleConnection>> idle;
  Timer sweep_timer;
  bool is_sweep_running = false;
};

namespace {

class Call : public PooledCall {
 public:
  Call(std::shared_ptr<HttpConnectionPool::Impl> pool, Address address, PooledCallHandlers handlers)
      : m_pool(std::move(pool)),
        m_address(std::move(address)),
        m_handlers(std::move(handlers)),
        m_parser(HttpParser::Kind::kResponse, m_pool->options.max_header_bytes, ParserCallbacks()),
        m_connect_timer(m_pool->loop),
        m_head_holder(m_pool->options.account,
                      [this] { Finish(PooledCallResult::kMalformedResponse); }) {}

  ~Call() override {
    if (m_stream) m_stream->Close();
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Begin(std::string bytes, bool use_new_connection, bool has_no_body) {
    m_has_no_body = has_no_body;
    m_parser.Restart(has_no_body);
    if (!use_new_connection) m_stream = m_pool->TakeIdle(m_address);
    m_is_reused = m_stream != nullptr;
    if (m_is_reused) {
      ++m_pool->stats.reused_connections;
      m_is_connected = true;
    } else {
      ++m_pool->stats.connects;
      m_connect_timer.Start(m_pool->options.connect_timeout,
                            [this] { Finish(PooledCallResult::kConnectFailed); });
      m_stream = TcpStream::Connect(
          m_pool->loop, m_address, m_pool->options.keep_alive, [this] { OnConnected(); },
          m_pool->options.account);
    }
    m_stream->OnEnd([this](StreamEndReason reason) { OnStreamEnd(reason); });
    m_stream->Read([this](std::string_view received) { OnBytes(received); });
    if (m_is_reused) {
      m_stream->Write(std::move(bytes));
      if (m_handlers.on_sent) m_handlers.on_sent();
    } else {
      // The request is written only once the connection is established, so that nothing has been
      // sent if connecting fails.
      m_unsent_request = std::move(bytes);
    }
  }

  void SetPaused(bool is_paused) override {
    if (m_stream) m_stream->SetPaused(is_paused);
  }
  bool IsReused() const override { return m_is_reused; }

 private:
  HttpParser::Callbacks ParserCallbacks() {
    return {[this](const HttpHead& head) {
              if (head.status >= 100 && head.status < 200) {
                m_is_skipping_response = true;
                return;
              }
              m_is_keep_alive = head.is_keep_alive;
              m_idle_timeout = m_pool->options.idle_timeout;
              if (const auto stated = ParseIdleTimeout(head))
                m_idle_timeout = std::min(m_idle_timeout, *stated - m_pool->options.idle_margin);
              m_is_skipping_response = !m_handlers.on_head(head);
              if (m_is_skipping_response) ++m_pool->stats.unexpected_bytes;
            },
            [this](std::string_view bytes) {
              if (m_is_skipping_response) m_skipped_bytes += bytes.size();
              if (!m_is_skipping_response && m_handlers.on_body) m_handlers.on_body(bytes);
            }};
  }

  void OnConnected() {
    m_is_connected = true;
    m_connect_timer.Stop();
    m_stream->Write(std::move(m_unsent_request));
    if (m_handlers.on_sent) m_handlers.on_sent();
  }

  void OnBytes(std::string_view bytes) {
    const std::weak_ptr<bool> alive = m_alive;
    ParseStatus status = m_parser.Parse(bytes);
    // The callbacks may destroy this call.
    if (alive.expired()) return;
    while (status == ParseStatus::kMessageEnd && m_is_skipping_response) {
      if (++m_skipped_responses > kMaxSkippedResponses)
        return Finish(PooledCallResult::kMalformedResponse);
      m_is_skipping_response = false;
      m_parser.Restart(m_has_no_body);
      status = m_parser.Parse({});
      if (alive.expired()) return;
    }
    if (status == ParseStatus::kFailed || m_skipped_bytes > kMaxSkippedBytes)
      return Finish(PooledCallResult::kMalformedResponse);
    if (status == ParseStatus::kMessageEnd) return FinishComplete();
    m_head_holder.Set(m_parser.BufferedBytes());
  }

  void FinishComplete() {
    const auto stream = std::exchange(m_stream, nullptr);
    if (m_parser.BufferedBytes() != 0) ++m_pool->stats.unexpected_bytes;
    // If the server responds before it has read the whole request, the rest must not reach it
    // later.
    const bool is_reusable = m_is_keep_alive && m_parser.BufferedBytes() == 0 &&
                             stream->PendingBytes() == 0 && stream->IsOpen();
    if (is_reusable) {
      m_pool->AddIdle(m_address, stream, m_idle_timeout);
    } else {
      stream->Close();
    }
    Finish(PooledCallResult::kComplete);
  }

  void OnStreamEnd(StreamEndReason reason) {
    if (reason == StreamEndReason::kConnectFailed || !m_is_connected)
      return Finish(PooledCallResult::kConnectFailed);
    const std::weak_ptr<bool> alive = m_alive;
    // A response without a length ends only with an orderly close.
    if (reason == StreamEndReason::kClosed && m_parser.ParseEnd() == ParseStatus::kMessageEnd &&
        !alive.expired() && !m_is_skipping_response)
      return Finish(PooledCallResult::kComplete);
    if (!alive.expired()) Finish(PooledCallResult::kConnectionBroken);
  }

  void Finish(PooledCallResult result) {
    m_connect_timer.Stop();
    m_head_holder.Release();
    if (result == PooledCallResult::kConnectFailed) ++m_pool->stats.connect_failures;
    if (m_stream) m_stream->Close();
    // The callback may destroy this call.
    const auto on_end = std::exchange(m_handlers.on_end, nullptr);
    if (on_end) on_end(result);
  }

  std::shared_ptr<HttpConnectionPool::Impl> m_pool;
  Address m_address;
  PooledCallHandlers m_handlers;
  HttpParser m_parser;
  Timer m_connect_timer;
  MemoryAccount::Holder m_head_holder;
  std::shared_ptr<TcpStream> m_stream;
  std::string m_unsent_request;
  bool m_is_connected = false;
  bool m_is_reused = false;
  bool m_is_keep_alive = false;
  bool m_is_skipping_response = false;
  bool m_has_no_body = false;
  int m_skipped_responses = 0;
  std::size_t m_skipped_bytes = 0;
  Millis m_idle_timeout{0};
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace

HttpConnectionPool::HttpConnectionPool(EventLoop& loop, ConnectionPoolOptions options)
    : m_impl(std::make_shared<Impl>(loop, options)) {}

HttpConnectionPool::~HttpConnectionPool() {
  m_impl->sweep_timer.Stop();
  for (auto& [address, connections] : m_impl->idle)
    for (auto& entry : connections) entry.stream->Close();
}

std::unique_ptr<PooledCall> HttpConnectionPool::StartCall(const Address& address, std::string bytes,
                                                          PooledCallHandlers handlers,
                                                          bool use_new_connection) {
  auto call = std::make_unique<Call>(m_impl, address, std::move(handlers));
  const bool has_no_body = bytes.starts_with("HEAD ");
  call->Begin(std::move(bytes), use_new_connection, has_no_body);
  return call;
}

void HttpConnectionPool::Probe(const Address& address,
                               std::function<void(bool is_connected)> done) {
  struct State {
    explicit State(EventLoop& loop) : timer(loop) {}
    std::shared_ptr<TcpStream> stream;
    Timer timer;
  };
  ++m_impl->stats.connects;
  // The callbacks keep the state until one of them has ended the probe.
  auto state = std::make_shared<State>(m_impl->loop);
  const auto fail = [impl = m_impl, state, done] {
    const auto stream = std::exchange(state->stream, nullptr);
    if (!stream) return;
    state->timer.Stop();
    stream->Close();
    ++impl->stats.connect_failures;
    impl->loop.Post([stream, state] {});
    done(false);
  };
  state->stream = TcpStream::Connect(m_impl->loop, address, m_impl->options.keep_alive,
                                     [impl = m_impl, state, address, done = std::move(done)] {
                                       if (!state->stream) return;
                                       state->timer.Stop();
                                       impl->AddIdle(address, std::exchange(state->stream, nullptr),
                                                     impl->options.idle_timeout);
                                       impl->loop.Post([state] {});
                                       done(true);
                                     });
  state->stream->OnEnd([fail](StreamEndReason) { fail(); });
  state->timer.Start(m_impl->options.connect_timeout, fail);
}

void HttpConnectionPool::CloseIdle(const Address& address) {
  const auto found = m_impl->idle.find(address);
  if (found == m_impl->idle.end()) return;
  for (auto& entry : found->second) entry.stream->Close();
  m_impl->idle.erase(found);
}

bool HttpConnectionPool::HasIdleConnection(const Address& address) const {
  const auto found = m_impl->idle.find(address);
  return found != m_impl->idle.end() && !found->second.empty();
}

const ConnectionPoolStats& HttpConnectionPool::Stats() const { return m_impl->stats; }

}  // namespace bluebellpass
