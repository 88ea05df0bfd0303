#include "path-monitor.h"

#include "kernel/http1-pool.h"

namespace bluebellpass::gateway {
namespace {

constexpr Millis kTickPeriod{100};
// Without a byte from any backend server for this long after a request, the path is examined. A
// single backend server that pauses is not enough, since others respond meanwhile.
constexpr Millis kMaxSilence{400};
constexpr Millis kStrandedProbePeriod{300};

}  // namespace

PathMonitor::PathMonitor(TimerService& timers, HttpConnectionPool& pool,
                         const RoutingState& routing_state, Events events)
    : m_timers(timers),
      m_pool(pool),
      m_routing_state(routing_state),
      m_events(std::move(events)),
      m_tick(timers) {}

void PathMonitor::Start() {
  m_tick.StartPeriodic(kTickPeriod, [this] { Tick(); });
}

void PathMonitor::Tick() {
  const TimePoint now = m_timers.Now();
  if (m_is_stranded && now >= m_next_stranded_probe) {
    m_next_stranded_probe = now + kStrandedProbePeriod;
    ProbeNext();
  }
  if (m_is_stranded || !m_awaited_since || now - *m_awaited_since < kMaxSilence) return;
  m_awaited_since = now;
  Verify();
}

void PathMonitor::RecordSent() {
  if (!m_awaited_since) m_awaited_since = m_timers.Now();
}

void PathMonitor::RecordConnected(const BackendId& id) {
  for (const BackendId& failed : m_paths.RecordConnected(id, m_timers.Now()))
    m_events.on_unreachable(failed);
  Update();
}

void PathMonitor::RecordFailure(const BackendId& id, TimePoint dialled_at) {
  if (m_routing_state.FindBackend(id) == nullptr) return;
  const bool is_alone = m_routing_state.Backends().size() <= 1;
  if (m_paths.RecordFailure(id, dialled_at, m_timers.Now()) || is_alone)
    return m_events.on_unreachable(id);
  if (!m_is_stranded) Verify();
  Update();
}

bool PathMonitor::RecordLoss(const BackendId& id) {
  const bool is_evidence = m_paths.RecordLoss(id, m_timers.Now());
  if (!is_evidence && !m_is_stranded) Verify();
  return is_evidence;
}

void PathMonitor::Remove(const BackendId& id) {
  m_paths.Remove(id);
  Update();
}

void PathMonitor::Verify() {
  while (m_paths.UnexplainedCount() + m_probed.size() < BackendPaths::kStrandedFailures) {
    const std::size_t before = m_probed.size();
    ProbeNext();
    if (m_probed.size() == before) return;
  }
}

void PathMonitor::ProbeNext() {
  const auto& backends = m_routing_state.Backends();
  auto next = backends.upper_bound(m_last_probed);
  for (std::size_t i = 0; i < backends.size(); ++i) {
    if (next == backends.end()) next = backends.begin();
    const BackendId& id = next->first;
    if (!m_probed.contains(id) && (m_is_stranded || !m_paths.IsUnexplained(id))) {
      m_last_probed = id;
      return Probe(id);
    }
    ++next;
  }
}

void PathMonitor::Probe(const BackendId& id) {
  const Backend* backend = m_routing_state.FindBackend(id);
  if (backend == nullptr || !m_probed.insert(id).second) return;
  m_pool.Probe(backend->address,
               [this, alive = m_alive, id, dialled_at = m_timers.Now()](bool is_connected) {
                 if (!*alive) return;
                 m_probed.erase(id);
                 if (is_connected) {
                   RecordConnected(id);
                 } else {
                   RecordFailure(id, dialled_at);
                 }
               });
}

void PathMonitor::Update() {
  const bool is_stranded = m_paths.IsStranded(m_routing_state.Backends().size());
  if (m_is_stranded == is_stranded) return;
  m_is_stranded = is_stranded;
  m_next_stranded_probe = m_timers.Now() + kStrandedProbePeriod;
  m_awaited_since.reset();
  m_events.on_changed(is_stranded);
}

}  // namespace bluebellpass::gateway
