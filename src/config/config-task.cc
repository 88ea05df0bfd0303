#include "config/config-task.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

#include "bluebellpass/event.h"
#include "config/config-limits.h"

namespace bluebellpass {
namespace {

ObjectVersion NewerVersion(ObjectVersion a, ObjectVersion b) {
  return a.Value() < b.Value() ? b : a;
}

}  // namespace

ConfigTask::ConfigTask(ObjectStore& store, PeerNetwork& network, TimerService& timers)
    : m_store(store), m_network(network), m_timers(timers), m_tick_timer(timers) {}

ConfigTask::~ConfigTask() = default;

void ConfigTask::Start() {
  m_started_at = m_timers.Now();
  m_next_watch_at = m_started_at;
  m_network.AddListener(this);
  OnMembersChanged();
  PollStore();
  RenewWatch();
  ReportStatus();
  m_tick_timer.StartPeriodic(detail::kTickInterval, [this] { OnTick(); });
}

void ConfigTask::OnTick() {
  const TimePoint now = m_timers.Now();
  const bool is_pending = m_read_started_at && now - *m_read_started_at < detail::kReadTimeout;
  const bool is_due = !m_last_read_at || now - *m_last_read_at >= detail::kPollInterval;
  if (!is_pending && is_due &&
      IsConfirmationOlderThan(m_is_poller ? detail::kPollInterval : detail::kFallbackPollAge))
    PollStore();
  RenewWatch();
  ReportStatus();
  LogStaleness();
  CheckPendingChanges();
}

void ConfigTask::PollStore() {
  const TimePoint now = m_timers.Now();
  const std::uint64_t generation = ++m_read_generation;
  m_read_started_at = now;
  m_last_read_at = now;
  // A watch without a wait is a conditional read: the store sends the document only if it is newer.
  // Unconditional reads would cost each poller up to a megabyte per second.
  m_store.Watch(
      detail::kConfigKey, NewestKnownVersion(), Millis{0},
      WrapCallback([this, generation, now](const Result<std::optional<VersionedObject>>& result) {
        OnStoreRead(generation, now, result);
      }));
}

void ConfigTask::OnStoreRead(std::uint64_t generation, TimePoint started,
                             const Result<std::optional<VersionedObject>>& result) {
  const bool is_answered = IsOk(result) || ErrorOf(result).kind == ErrorKind::kNotFound;
  if (IsOk(result) && std::get<0>(result)) {
    const VersionedObject& read = *std::get<0>(result);
    ApplyConfig(read.version, read.value, Source::kStore);
  }
  // The response proves what the store held when the read was sent, so the earlier time counts.
  if (is_answered) AdvanceConfirmedAt(started);
  if (generation != m_read_generation) return;  // Only the latest read decides about contact.
  m_read_started_at.reset();
  m_has_read_failed = !is_answered;
  m_has_store_contact = is_answered;
  ReportStatus();
}

void ConfigTask::RenewWatch() {
  const TimePoint now = m_timers.Now();
  if (m_watch_started_at && now - *m_watch_started_at >= detail::kWatchTimeout)
    m_watch_started_at.reset();
  if (!m_is_poller || m_watch_started_at || now < m_next_watch_at) return;
  const std::uint64_t generation = ++m_watch_generation;
  m_watch_started_at = now;
  m_store.Watch(
      detail::kConfigKey, NewestKnownVersion(), detail::kWatchDuration,
      WrapCallback([this, generation](const Result<std::optional<VersionedObject>>& result) {
        OnWatchEnded(generation, result);
      }));
}

void ConfigTask::OnWatchEnded(std::uint64_t generation,
                              const Result<std::optional<VersionedObject>>& result) {
  const ObjectVersion before = NewestKnownVersion();
  if (IsOk(result) && std::get<0>(result)) {
    const VersionedObject& read = *std::get<0>(result);
    ApplyConfig(read.version, read.value, Source::kStore);
  }
  if (generation != m_watch_generation) return;
  m_watch_started_at.reset();
  // A watch that failed or returned a known version is renewed after a delay, to avoid a busy loop.
  const bool is_useful = IsOk(result) && (!std::get<0>(result) || NewestKnownVersion() != before);
  m_next_watch_at = m_timers.Now() + (is_useful ? Millis{0} : detail::kWatchRetryDelay);
}

void ConfigTask::ApplyConfig(ObjectVersion version, const std::string& document, Source source) {
  if (version.Value() <= m_current.version.Value() || version == m_rejected_version) return;
  auto parsed = ParseClusterConfig(document);
  const auto number = static_cast<std::int64_t>(version.Value());
  if (!IsOk(parsed)) {
    m_rejected_version = NewerVersion(m_rejected_version, version);
    const Error& error = ErrorOf(parsed);
    LogEvent(EventId::kConfigRejected,
             {{"version", number}, {"path", error.field}, {"message", error.message}});
    return;
  }
  m_current = {std::get<0>(std::move(parsed)), version, document};
  LogEvent(EventId::kConfigApplied,
           {{"version", number}, {"source", source == Source::kStore ? "store" : "peer"}});
  if (m_unapplied_report && m_unapplied_report->version.Value() <= NewestKnownVersion().Value()) {
    AdvanceConfirmedAt(m_unapplied_report->confirmed_at);
    m_unapplied_report.reset();
  }
  ReportStatus();
  BroadcastConfig(source);
  // Indices, because a listener may add another one.
  for (std::size_t i = 0; i < m_listeners.size(); ++i) m_listeners[i]->OnConfigApplied(m_current);
  // Parsed JSON takes many times the size of the document, and malloc keeps the freed memory.
  if (document.size() >= detail::kMinTrimBytes) malloc_trim(0);
}

void ConfigTask::BroadcastConfig(Source source) {
  // In a large fleet only instances that read the version from the store send it to all; otherwise
  // the number of documents would grow with the square of the fleet size. SendIfOutdated serves the
  // peers that were missed.
  if (source == Source::kPeer && m_member_count > detail::kMaxBroadcastFleet) return;
  for (const Member& member : m_network.Members()) {
    const InstanceId& id = member.info.id;
    if (id == m_network.Self().id || !m_network.IsLinked(id)) continue;
    PeerState& peer = m_peers[id];
    if (peer.version.Value() < m_current.version.Value()) SendConfig(id, peer);
  }
}

void ConfigTask::SendConfig(const InstanceId& id, PeerState& peer) {
  if (!m_network.Send(id, ConfigMessage{m_current.version, m_current.document})) return;
  peer.sent_version = m_current.version;
  peer.sent_at = m_timers.Now();
}

void ConfigTask::SendIfOutdated(const InstanceId& id, PeerState& peer) {
  const TimePoint now = m_timers.Now();
  if (peer.version.Value() >= m_current.version.Value()) {
    peer.outdated_since.reset();
    return;
  }
  if (!peer.outdated_since) peer.outdated_since = now;
  if (peer.sent_version == m_current.version && now - peer.sent_at < detail::kResendInterval)
    return;
  // In a large fleet the pollers send first and the others only after a delay, so that a new
  // instance does not receive the document from every member.
  const bool is_immediate_sender = m_is_poller || m_member_count <= detail::kMaxBroadcastFleet;
  if (is_immediate_sender || now - *peer.outdated_since >= detail::kFallbackSendDelay)
    SendConfig(id, peer);
}

void ConfigTask::OnPeerMessage(const InstanceId& from, const PeerMessage& message) {
  const auto* config = std::get_if<ConfigMessage>(&message);
  if (config == nullptr || from == m_network.Self().id) return;
  PeerState& peer = m_peers[from];
  peer.version = NewerVersion(peer.version, config->version);
  ApplyConfig(config->version, config->document, Source::kPeer);
}

void ConfigTask::OnLinkUp(const InstanceId& peer, Incarnation /*incarnation*/) {
  m_peers[peer] = PeerState{.link_up_at = m_timers.Now()};
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
  PeerState& state = m_peers[peer];
  state.version = status.config_version;
  if (IsReportAfterPause(state)) {
    const TimePoint now = m_timers.Now();
    const TimePoint confirmed_at =
        now - std::max(status.confirmation_age, Millis{0}) - detail::kMaxReportDelay;
    state.reported_at = now;
    if (status.config_version.Value() <= NewestKnownVersion().Value()) {
      AdvanceConfirmedAt(confirmed_at);
    } else if (!m_unapplied_report || confirmed_at >= m_unapplied_report->confirmed_at) {
      m_unapplied_report = UnappliedReport{status.config_version, confirmed_at};
    }
  }
  SendIfOutdated(peer, state);
  CheckPendingChanges();
}

// --- Age of the confirmation ---

bool ConfigTask::IsReportAfterPause(const PeerState& peer) const {
  // A report that was buffered in a socket during a pause would count as new. Such reports are read
  // within kSocketDrainTime after the pause; a link opened after the pause has none.
  if (!m_pause_ended_at || (peer.link_up_at && *peer.link_up_at > *m_pause_ended_at)) return true;
  return m_timers.Now() - *m_pause_ended_at >= detail::kSocketDrainTime;
}

void ConfigTask::AdvanceConfirmedAt(TimePoint confirmed_at) {
  if (!m_confirmed_at || confirmed_at > *m_confirmed_at) m_confirmed_at = confirmed_at;
}

bool ConfigTask::IsConfirmationOlderThan(Millis age) const {
  return !m_confirmed_at || m_timers.Now() - *m_confirmed_at >= age ||
         (m_pause_ended_at && *m_confirmed_at < *m_pause_ended_at);
}

bool ConfigTask::IsRecentlyConfirmed() const {
  if (m_is_pause_ending) return false;
  const bool is_after_pause =
      !m_pause_ended_at || (m_confirmed_at && *m_confirmed_at >= *m_pause_ended_at);
  if (m_confirmed_at && is_after_pause &&
      m_timers.Now() - *m_confirmed_at <= detail::kMaxConfirmationAge)
    return true;
  return IsStoreUnreachable() && HasMajority();
}

bool ConfigTask::IsStoreUnreachable() const {
  return m_has_read_failed ||
         (m_read_started_at && m_timers.Now() - *m_read_started_at > detail::kStoreContactTimeout);
}

bool ConfigTask::HasMajority() const {
  const TimePoint now = m_timers.Now();
  std::size_t known_members = 1;
  std::size_t contacted_members = 1;
  for (const Member& member : m_network.Members()) {
    // Dead members count as well: to a partitioned minority the majority appears dead.
    if (member.info.id == m_network.Self().id || member.state == MemberState::kLeft) continue;
    ++known_members;
    const auto found = m_peers.find(member.info.id);
    if (found == m_peers.end() || !found->second.reported_at) continue;
    const TimePoint reported = *found->second.reported_at;
    const bool is_recent = now - reported <= detail::kMaxConfirmationAge &&
                           (!m_pause_ended_at || reported >= *m_pause_ended_at);
    if (is_recent && found->second.version.Value() <= NewestKnownVersion().Value())
      ++contacted_members;
  }
  return contacted_members * 2 > known_members;
}

void ConfigTask::OnPause() {
  m_is_pause_ending = true;
  // The event loop may report a pause before it updates its time. In the next iteration Now() is
  // after the pause, so reads and reports from before the pause have an earlier time.
  m_timers.RunAfter(Millis{0}, WrapCallback([this] { EndPause(); }));
}

void ConfigTask::EndPause() {
  m_is_pause_ending = false;
  m_pause_ended_at = m_timers.Now();
  m_unapplied_report.reset();
  m_has_read_failed = false;
  for (auto& [id, peer] : m_peers) peer.reported_at.reset();
  PollStore();
}

ObjectVersion ConfigTask::NewestKnownVersion() const {
  return NewerVersion(m_current.version, m_rejected_version);
}

void ConfigTask::ReportStatus() {
  // The network sends the status until the next tick, so the age is increased by one interval.
  const Millis age = m_confirmed_at
                         ? std::chrono::duration_cast<Millis>(m_timers.Now() - *m_confirmed_at)
                         : detail::kUnconfirmedAge;
  m_network.SetStatus({m_current.version, m_has_store_contact, age + detail::kTickInterval});
}

void ConfigTask::LogStaleness() {
  const bool is_recently_confirmed = IsRecentlyConfirmed();
  if (is_recently_confirmed) m_is_staleness_logged = false;
  if (is_recently_confirmed || m_is_staleness_logged ||
      m_timers.Now() - m_started_at <= detail::kMaxConfirmationAge)
    return;
  m_is_staleness_logged = true;
  LogEvent(EventId::kConfigStale,
           {{"version", static_cast<std::int64_t>(m_current.version.Value())}});
}

}  // namespace bluebellpass
