#include "config/config-task.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

#include "bluebellpass/event.h"
#include "config/config-limits.h"

namespace bluebellpass {
namespace {

ObjectVersion Newer(ObjectVersion a, ObjectVersion b) { return a.Value() < b.Value() ? b : a; }

}  // namespace

ConfigTask::ConfigTask(ObjectStore& store, PeerNetwork& network, TimerService& timers)
    : m_store(store), m_network(network), m_timers(timers), m_tick(timers) {}

ConfigTask::~ConfigTask() = default;

void ConfigTask::Start() {
  m_started_at = m_timers.Now();
  m_next_watch = m_started_at;
  m_network.AddListener(this);
  OnMembersChanged();
  Poll();
  RenewWatch();
  ReportStatus();
  m_tick.StartPeriodic(detail::kTick, [this] { Tick(); });
}

void ConfigTask::Tick() {
  const TimePoint now = m_timers.Now();
  const bool is_pending = m_read_started && now - *m_read_started < detail::kReadTimeout;
  const bool is_due = !m_last_read || now - *m_last_read >= detail::kPollInterval;
  if (!is_pending && is_due &&
      IsOlderThan(m_is_poller ? detail::kPollInterval : detail::kPeerReportLimit))
    Poll();
  RenewWatch();
  ReportStatus();
  ReportStaleness();
  CheckChanges();
}

void ConfigTask::Poll() {
  const TimePoint now = m_timers.Now();
  const std::uint64_t generation = ++m_read_generation;
  m_read_started = now;
  m_last_read = now;
  // A watch that does not wait is a conditional read: the document is sent only when it is newer,
  // otherwise each instance that polls would read up to a megabyte a second.
  m_store.Watch(
      detail::kConfigKey, KnownVersion(), Millis{0},
      Guard([this, generation, now](const Result<std::optional<VersionedObject>>& result) {
        OnRead(generation, now, result);
      }));
}

void ConfigTask::OnRead(std::uint64_t generation, TimePoint started,
                        const Result<std::optional<VersionedObject>>& result) {
  const bool is_answered = IsOk(result) || ErrorOf(result).kind == ErrorKind::kNotFound;
  if (IsOk(result) && std::get<0>(result)) {
    const VersionedObject& read = *std::get<0>(result);
    Apply(read.version, read.value, Source::kStore);
  }
  // The store's state is confirmed as of the time at which the read was sent.
  if (is_answered) Confirm(started);
  if (generation != m_read_generation) return;  // A newer read decides about contact.
  m_read_started.reset();
  m_has_read_failed = !is_answered;
  m_has_store_contact = is_answered;
  ReportStatus();
}

void ConfigTask::RenewWatch() {
  const TimePoint now = m_timers.Now();
  if (m_watch_started && now - *m_watch_started >= detail::kWatchLimit) m_watch_started.reset();
  if (!m_is_poller || m_watch_started || now < m_next_watch) return;
  const std::uint64_t generation = ++m_watch_generation;
  m_watch_started = now;
  m_store.Watch(detail::kConfigKey, KnownVersion(), detail::kWatchWait,
                Guard([this, generation](const Result<std::optional<VersionedObject>>& result) {
                  OnWatched(generation, result);
                }));
}

void ConfigTask::OnWatched(std::uint64_t generation,
                           const Result<std::optional<VersionedObject>>& result) {
  const ObjectVersion before = KnownVersion();
  if (IsOk(result) && std::get<0>(result)) {
    const VersionedObject& read = *std::get<0>(result);
    Apply(read.version, read.value, Source::kStore);
  }
  if (generation != m_watch_generation) return;
  m_watch_started.reset();
  // Failed watches, and those that return at once without news, must not be renewed in a loop.
  const bool is_useful = IsOk(result) && (!std::get<0>(result) || KnownVersion() != before);
  m_next_watch = m_timers.Now() + (is_useful ? Millis{0} : detail::kWatchRetry);
}

void ConfigTask::Apply(ObjectVersion version, const std::string& document, Source source) {
  if (version.Value() <= m_current.version.Value() || version == m_rejected) return;
  auto parsed = ParseClusterConfig(document);
  const auto number = static_cast<std::int64_t>(version.Value());
  if (!IsOk(parsed)) {
    m_rejected = Newer(m_rejected, version);
    const Error& error = ErrorOf(parsed);
    LogEvent(EventId::kConfigRejected,
             {{"version", number}, {"path", error.field}, {"message", error.message}});
    return;
  }
  m_current = {std::get<0>(std::move(parsed)), version, document};
  LogEvent(EventId::kConfigApplied,
           {{"version", number}, {"source", source == Source::kStore ? "store" : "peer"}});
  if (m_claim && m_claim->version.Value() <= KnownVersion().Value()) {
    Confirm(m_claim->as_of);
    m_claim.reset();
  }
  ReportStatus();
  Spread(source);
  // Indices, because a listener may add another one.
  for (std::size_t i = 0; i < m_listeners.size(); ++i) m_listeners[i]->OnConfigApplied(m_current);
  // The parsed JSON takes many times the document's size; the C library would keep it for reuse.
  if (document.size() >= detail::kTrimBytes) malloc_trim(0);
}

void ConfigTask::Spread(Source source) {
  // In a large fleet only those that have read the store send to all; otherwise the documents sent
  // would grow with the square of the fleet. RepairPeer covers what they miss.
  if (source == Source::kPeer && m_member_count > detail::kSmallFleet) return;
  for (const Member& member : m_network.Members()) {
    const InstanceId& id = member.info.id;
    if (id == m_network.Self().id || !m_network.IsLinked(id)) continue;
    Peer& peer = m_peers[id];
    if (peer.version.Value() < m_current.version.Value()) SendTo(id, peer);
  }
}

void ConfigTask::SendTo(const InstanceId& id, Peer& peer) {
  if (!m_network.Send(id, ConfigMessage{m_current.version, m_current.document})) return;
  peer.sent_version = m_current.version;
  peer.sent_at = m_timers.Now();
}

void ConfigTask::RepairPeer(const InstanceId& id, Peer& peer) {
  const TimePoint now = m_timers.Now();
  if (peer.version.Value() >= m_current.version.Value()) {
    peer.behind_since.reset();
    return;
  }
  if (!peer.behind_since) peer.behind_since = now;
  if (peer.sent_version == m_current.version && now - peer.sent_at < detail::kResendInterval)
    return;
  // In a large fleet the instances that poll the store send first, the others only if that fails,
  // so that a new instance is not sent the document by every member.
  const bool is_first = m_is_poller || m_member_count <= detail::kSmallFleet;
  if (is_first || now - *peer.behind_since >= detail::kRepairDelay) SendTo(id, peer);
}

void ConfigTask::OnPeerMessage(const InstanceId& from, const PeerMessage& message) {
  const auto* config = std::get_if<ConfigMessage>(&message);
  if (config == nullptr || from == m_network.Self().id) return;
  Peer& peer = m_peers[from];
  peer.version = Newer(peer.version, config->version);
  Apply(config->version, config->document, Source::kPeer);
}

void ConfigTask::OnLinkUp(const InstanceId& peer, Incarnation /*incarnation*/) {
  m_peers[peer] = Peer{.link_up_at = m_timers.Now()};
}

void ConfigTask::OnLinkDown(const InstanceId& peer) { m_peers.erase(peer); }

void ConfigTask::OnMembersChanged() {
  const InstanceInfo& self = m_network.Self();
  const std::vector<Member> members = m_network.Members();
  m_member_count = members.size();
  const auto before_self = std::count_if(members.begin(), members.end(), [&](const Member& member) {
    return member.state == MemberState::kAlive && !member.info.is_leaving &&
           member.info.data_centre == self.data_centre && member.info.id.Text() < self.id.Text();
  });
  m_is_poller = before_self < detail::kPollersPerDataCentre;
}

void ConfigTask::OnPeerStatus(const InstanceId& peer, const PeerStatus& status) {
  Peer& state = m_peers[peer];
  state.version = status.config_version;
  if (IsTrusted(state)) {
    const TimePoint now = m_timers.Now();
    const TimePoint as_of = now - std::max(status.store_age, Millis{0}) - detail::kTransit;
    state.reported_at = now;
    if (status.config_version.Value() <= KnownVersion().Value()) {
      Confirm(as_of);
    } else if (!m_claim || as_of >= m_claim->as_of) {
      m_claim = Claim{status.config_version, as_of};
    }
  }
  RepairPeer(peer, state);
  CheckChanges();
}

// --- Freshness ---

bool ConfigTask::IsTrusted(const Peer& peer) const {
  // Reports that waited in a socket during a pause would look new. They are read within the first
  // moments after it; a link opened after the pause has none.
  if (!m_paused_at || (peer.link_up_at && *peer.link_up_at > *m_paused_at)) return true;
  return m_timers.Now() - *m_paused_at >= detail::kDrainTime;
}

void ConfigTask::Confirm(TimePoint as_of) {
  if (!m_confirmed || as_of > *m_confirmed) m_confirmed = as_of;
}

bool ConfigTask::IsOlderThan(Millis age) const {
  return !m_confirmed || m_timers.Now() - *m_confirmed >= age ||
         (m_paused_at && *m_confirmed < *m_paused_at);
}

bool ConfigTask::IsRecentlyConfirmed() const {
  if (m_is_pausing) return false;
  const bool is_after_pause = !m_paused_at || (m_confirmed && *m_confirmed >= *m_paused_at);
  if (m_confirmed && is_after_pause && m_timers.Now() - *m_confirmed <= detail::kFreshness)
    return true;
  return IsStoreUnreachable() && HasMajority();
}

bool ConfigTask::IsStoreUnreachable() const {
  return m_has_read_failed ||
         (m_read_started && m_timers.Now() - *m_read_started > detail::kReachLimit);
}

bool ConfigTask::HasMajority() const {
  const TimePoint now = m_timers.Now();
  std::size_t known = 1;
  std::size_t contacts = 1;
  for (const Member& member : m_network.Members()) {
    // Dead members count as known: to a minority that is cut off, the others look dead.
    if (member.info.id == m_network.Self().id || member.state == MemberState::kLeft) continue;
    ++known;
    const auto found = m_peers.find(member.info.id);
    if (found == m_peers.end() || !found->second.reported_at) continue;
    const TimePoint reported = *found->second.reported_at;
    const bool is_recent =
        now - reported <= detail::kFreshness && (!m_paused_at || reported >= *m_paused_at);
    if (is_recent && found->second.version.Value() <= KnownVersion().Value()) ++contacts;
  }
  return contacts * 2 > known;
}

void ConfigTask::OnPause() {
  m_is_pausing = true;
  // The loop may report a pause before it updates its time. In a later turn Now() is certainly
  // after the pause, so reads and reports from before it cannot pass for newer ones.
  m_timers.RunAfter(Millis{0}, Guard([this] { EndPause(); }));
}

void ConfigTask::EndPause() {
  m_is_pausing = false;
  m_paused_at = m_timers.Now();
  m_claim.reset();
  m_has_read_failed = false;
  for (auto& [id, peer] : m_peers) peer.reported_at.reset();
  Poll();
}

ObjectVersion ConfigTask::KnownVersion() const { return Newer(m_current.version, m_rejected); }

void ConfigTask::ReportStatus() {
  // The network repeats the status until the next tick, so the age is stated as of then.
  const Millis age = m_confirmed ? std::chrono::duration_cast<Millis>(m_timers.Now() - *m_confirmed)
                                 : detail::kNeverConfirmed;
  m_network.SetStatus({m_current.version, m_has_store_contact, age + detail::kTick});
}

void ConfigTask::ReportStaleness() {
  const bool is_recently_confirmed = IsRecentlyConfirmed();
  if (is_recently_confirmed) m_is_stale_reported = false;
  if (is_recently_confirmed || m_is_stale_reported ||
      m_timers.Now() - m_started_at <= detail::kFreshness)
    return;
  m_is_stale_reported = true;
  LogEvent(EventId::kConfigStale,
           {{"version", static_cast<std::int64_t>(m_current.version.Value())}});
}

}  // namespace bluebellpass
