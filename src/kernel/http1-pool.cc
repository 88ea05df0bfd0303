#include "http1-pool.h"

#include <algorithm>
#include <charconv>
#include <deque>

#include "loop.h"

namespace bluebellpass {
namespace {

constexpr Millis kSweepPeriod{1'000};
// Redundant responses that are skipped before the connection is given up.
constexpr int kMaxSkipped = 4;
// Body bytes of skipped responses, above which the peer is taken to send without end.
constexpr std::size_t kMaxSkippedBytes = 4U << 20U;

/// @return the server's idle time of a Keep-Alive field, or nullopt
std::optional<Millis> IdleTimeOf(const HttpHead& head) {
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
  struct Idle {
    std::shared_ptr<TcpStream> stream;
    TimePoint expires;
  };

  Impl(EventLoop& event_loop, ConnectionPoolOptions pool_options)
      : loop(event_loop), options(pool_options), sweep(event_loop) {}

  void Keep(const Address& address, std::shared_ptr<TcpStream> stream, Millis idle_time) {
    auto& list = idle[address];
    if (list.size() >= options.max_idle_per_address || idle_time <= Millis{0})
      return stream->Close();
    TcpStream* key = stream.get();
    const std::weak_ptr<Impl> weak = weak_from_this();
    stream->OnEnd([weak, address, key](StreamEndReason) {
      if (const auto self = weak.lock()) self->Remove(address, key);
    });
    stream->Read([weak, address, key](std::string_view) {
      // Nothing was asked for, so the bytes belong to no request.
      const auto self = weak.lock();
      if (!self) return;
      ++self->stats.unexpected_bytes;
      self->Remove(address, key);
    });
    list.push_back({std::move(stream), loop.Now() + idle_time});
    if (is_sweeping) return;
    is_sweeping = true;
    sweep.StartPeriodic(kSweepPeriod, [this] { Sweep(); });
  }

  void Remove(const Address& address, const TcpStream* key) {
    const auto found = idle.find(address);
    if (found == idle.end()) return;
    auto& list = found->second;
    const auto entry = std::find_if(list.begin(), list.end(),
                                    [&](const Idle& item) { return item.stream.get() == key; });
    if (entry == list.end()) return;
    const auto stream = entry->stream;
    list.erase(entry);
    stream->Close();
    loop.Post([stream] {});
  }

  std::shared_ptr<TcpStream> Take(const Address& address) {
    const auto found = idle.find(address);
    if (found == idle.end()) return nullptr;
    auto& list = found->second;
    while (!list.empty()) {
      Idle entry = std::move(list.back());
      list.pop_back();
      // A connection that its server has just closed would lose the request.
      if (entry.stream->IsOpen() && entry.expires > loop.Now() && !entry.stream->HasUnreadInput())
        return entry.stream;
      entry.stream->Close();
    }
    return nullptr;
  }

  void Sweep() {
    for (auto it = idle.begin(); it != idle.end();) {
      std::erase_if(it->second, [&](const Idle& entry) {
        if (entry.expires > loop.Now()) return false;
        entry.stream->Close();
        return true;
      });
      it = it->second.empty() ? idle.erase(it) : std::next(it);
    }
    if (!idle.empty()) return;
    is_sweeping = false;
    sweep.Stop();
  }

  EventLoop& loop;
  ConnectionPoolOptions options;
  ConnectionPoolStats stats;
  std::map<Address, std::deque<Idle>> idle;
  Timer sweep;
  bool is_sweeping = false;
};

namespace {

class Call : public PooledCall {
 public:
  Call(std::shared_ptr<HttpConnectionPool::Impl> pool, Address address, PooledCallHandlers events)
      : m_pool(std::move(pool)),
        m_address(std::move(address)),
        m_events(std::move(events)),
        m_parser(HttpParser::Kind::kResponse, m_pool->options.max_header_bytes, ParserEvents()),
        m_connect_timer(m_pool->loop) {}

  ~Call() override {
    if (m_stream) m_stream->Close();
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Begin(std::string bytes, bool is_fresh, bool has_no_body) {
    m_has_no_body = has_no_body;
    m_parser.Restart(has_no_body);
    if (!is_fresh) m_stream = m_pool->Take(m_address);
    m_is_reused = m_stream != nullptr;
    if (m_is_reused) {
      ++m_pool->stats.reused;
      m_is_connected = true;
    } else {
      ++m_pool->stats.connects;
      m_connect_timer.Start(m_pool->options.connect_timeout,
                            [this] { Finish(PooledCallResult::kConnectFailed); });
      m_stream = TcpStream::Connect(m_pool->loop, m_address, m_pool->options.keep_alive,
                                    [this] { OnConnected(); });
    }
    m_stream->OnEnd([this](StreamEndReason end) { OnStreamEnd(end); });
    m_stream->Read([this](std::string_view received) { OnBytes(received); });
    if (m_is_reused) {
      m_stream->Write(std::move(bytes));
      if (m_events.on_sent) m_events.on_sent();
    } else {
      // The bytes leave only once the connection stands, so that a failure before is certain to
      // have sent nothing.
      m_unsent = std::move(bytes);
    }
  }

  void SetPaused(bool is_paused) override {
    if (m_stream) m_stream->SetPaused(is_paused);
  }
  bool IsReused() const override { return m_is_reused; }

 private:
  HttpParser::Events ParserEvents() {
    return {[this](const HttpHead& head) {
              if (head.status >= 100 && head.status < 200) {
                m_is_skipping = true;
                return;
              }
              m_keeps_alive = head.keeps_alive;
              m_idle_time = m_pool->options.idle_timeout;
              if (const auto stated = IdleTimeOf(head))
                m_idle_time = std::min(m_idle_time, *stated - m_pool->options.idle_margin);
              m_is_skipping = !m_events.on_head(head);
              if (m_is_skipping) ++m_pool->stats.unexpected_bytes;
            },
            [this](std::string_view bytes) {
              if (m_is_skipping) m_skipped_bytes += bytes.size();
              if (!m_is_skipping && m_events.on_body) m_events.on_body(bytes);
            }};
  }

  void OnConnected() {
    m_is_connected = true;
    m_connect_timer.Stop();
    m_stream->Write(std::move(m_unsent));
    if (m_events.on_sent) m_events.on_sent();
  }

  void OnBytes(std::string_view bytes) {
    const std::weak_ptr<bool> alive = m_alive;
    ParseStatus status = m_parser.Parse(bytes);
    // Handlers may destroy the call.
    if (alive.expired()) return;
    while (status == ParseStatus::kMessageEnd && m_is_skipping) {
      if (++m_skipped > kMaxSkipped) return Finish(PooledCallResult::kMalformedResponse);
      m_is_skipping = false;
      m_parser.Restart(m_has_no_body);
      status = m_parser.Parse({});
      if (alive.expired()) return;
    }
    if (status == ParseStatus::kFailed || m_skipped_bytes > kMaxSkippedBytes)
      return Finish(PooledCallResult::kMalformedResponse);
    if (status == ParseStatus::kMessageEnd) FinishWhole();
  }

  void FinishWhole() {
    const auto stream = std::exchange(m_stream, nullptr);
    if (m_parser.BufferedBytes() != 0) ++m_pool->stats.unexpected_bytes;
    // A server that answers before it has read the request must not get the rest of it later.
    const bool is_reusable = m_keeps_alive && m_parser.BufferedBytes() == 0 &&
                             stream->PendingBytes() == 0 && stream->IsOpen();
    if (is_reusable) {
      m_pool->Keep(m_address, stream, m_idle_time);
    } else {
      stream->Close();
    }
    Finish(PooledCallResult::kComplete);
  }

  void OnStreamEnd(StreamEndReason end) {
    if (end == StreamEndReason::kConnectFailed || !m_is_connected)
      return Finish(PooledCallResult::kConnectFailed);
    const std::weak_ptr<bool> alive = m_alive;
    // Only an orderly close can mark the end of a response without a length.
    if (end == StreamEndReason::kClosed && m_parser.ParseEnd() == ParseStatus::kMessageEnd &&
        !alive.expired() && !m_is_skipping)
      return Finish(PooledCallResult::kComplete);
    if (!alive.expired()) Finish(PooledCallResult::kConnectionBroken);
  }

  void Finish(PooledCallResult end) {
    m_connect_timer.Stop();
    if (end == PooledCallResult::kConnectFailed) ++m_pool->stats.connect_failures;
    if (m_stream) m_stream->Close();
    // The owner may destroy this call in the handler.
    const auto on_end = std::exchange(m_events.on_end, nullptr);
    if (on_end) on_end(end);
  }

  std::shared_ptr<HttpConnectionPool::Impl> m_pool;
  Address m_address;
  PooledCallHandlers m_events;
  HttpParser m_parser;
  Timer m_connect_timer;
  std::shared_ptr<TcpStream> m_stream;
  std::string m_unsent;
  bool m_is_connected = false;
  bool m_is_reused = false;
  bool m_keeps_alive = false;
  bool m_is_skipping = false;
  bool m_has_no_body = false;
  int m_skipped = 0;
  std::size_t m_skipped_bytes = 0;
  Millis m_idle_time{0};
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace

HttpConnectionPool::HttpConnectionPool(EventLoop& loop, ConnectionPoolOptions options)
    : m_impl(std::make_shared<Impl>(loop, options)) {}

HttpConnectionPool::~HttpConnectionPool() {
  m_impl->sweep.Stop();
  for (auto& [address, list] : m_impl->idle)
    for (auto& entry : list) entry.stream->Close();
}

std::unique_ptr<PooledCall> HttpConnectionPool::Start(const Address& address, std::string bytes,
                                                      PooledCallHandlers events, bool is_fresh) {
  auto call = std::make_unique<Call>(m_impl, address, std::move(events));
  const bool has_no_body = bytes.starts_with("HEAD ");
  call->Begin(std::move(bytes), is_fresh, has_no_body);
  return call;
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
