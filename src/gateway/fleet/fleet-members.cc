#include <algorithm>
#include <cmath>

#include "address-list.h"
#include "bluebellpass/event.h"
#include "fleet.h"
#include "kernel/loop.h"

namespace bluebellpass::gateway {
namespace {

// A member absent for this long is removed; it is not expected back under its registration.
constexpr Millis kRemoveAbsentAfter{20'000};
// Instances besides the coordinator that keep the records of streams. They are the next in the
// election, so that one of them coordinates unless all are lost at once.
constexpr std::size_t kStreamKeepers = 8;
// Changes of members are collected for this long, since each goes to every instance.
constexpr Millis kMembersDelay{100};
constexpr int kUnknownProcessorClass = -100;
constexpr double kMinProcessorShare = 0.01;
constexpr double kMaxProcessorShare = 1'000;

}  // namespace

int ProcessorClass(double processor_share) {
  // The share may come from another build of the program.
  if (!(processor_share > 0)) return kUnknownProcessorClass;
  return static_cast<int>(
      std::floor(std::log2(std::clamp(processor_share, kMinProcessorShare, kMaxProcessorShare))));
}

FleetMember Fleet::OwnMember() const {
  FleetMember member;
  member.id = m_options.id;
  member.data_centre = m_options.data_centre;
  member.caller_address = m_options.caller_address;
  member.peer_address = m_options.peer_address;
  member.registration_revision = m_registration_revision;
  member.processor_share = m_options.processor_share;
  member.is_alive = true;
  member.is_leaving = m_is_leaving;
  member.has_lost_store = m_has_lost_store;
  member.has_lost_backends = m_has_lost_backends;
  return member;
}

void Fleet::SetRegistration(std::uint64_t revision) {
  m_registration_revision = revision;
  if (m_coordinator_peer) Enqueue(*m_coordinator_peer, MembersMessage{{OwnMember()}});
  BroadcastMember(OwnMember());
  ElectCoordinator();
}

void Fleet::SetKeys(std::vector<std::string> keys) {
  for (const std::string& former : m_link_context.keys)
    if (std::find(keys.begin(), keys.end(), former) == keys.end()) keys.push_back(former);
  m_link_context.keys = std::move(keys);
}

void Fleet::AddMember(FleetMember member) {
  // Only the member itself tells these. A restored store states a later era for a registration.
  const auto known = m_members.find(member.id);
  if (known != m_members.end() && NumberOf(Revision(known->second.registration_revision)) ==
                                      NumberOf(Revision(member.registration_revision))) {
    member.is_leaving = known->second.is_leaving;
    member.has_lost_store = known->second.has_lost_store;
    member.has_lost_backends = known->second.has_lost_backends;
  }
  MergeMembers(MembersMessage{{std::move(member)}}, false);
  if (m_is_started) ElectCoordinator();
}

bool Fleet::IsRunning(const FleetMember& member) const {
  // The coordinator reports which instances are alive. Without one, all count as alive.
  return !member.is_leaving && (member.is_alive || !m_coordinator_id);
}

std::vector<Address> Fleet::CallerAddresses(const DataCentre& caller,
                                            std::size_t max_addresses) const {
  std::vector<CallerEndpoint> endpoints;
  std::vector<CallerEndpoint> without_backends;
  const auto add = [&](const FleetMember& member) {
    (member.has_lost_backends ? without_backends : endpoints)
        .push_back(
            {member.id, member.data_centre, member.caller_address, m_coordinator_id == member.id});
  };
  if (!m_is_leaving) add(OwnMember());
  for (const auto& [id, member] : m_members)
    if (IsRunning(member)) add(member);
  if (endpoints.empty()) endpoints = std::move(without_backends);
  return ChooseCallerAddresses(std::move(endpoints), caller, m_options.id, max_addresses);
}

std::optional<Address> Fleet::ChoosePeer(const AttemptId& request,
                                         const std::set<Address>& excluded) const {
  const std::uint64_t salt = StableHash(request.Text());
  const FleetMember* best = nullptr;
  std::uint64_t best_order = 0;
  for (const auto& [id, member] : m_members) {
    if (!IsRunning(member) || member.has_lost_backends || excluded.contains(member.caller_address))
      continue;
    const std::uint64_t order = StableHash(id.Text(), salt);
    if (best != nullptr && order >= best_order) continue;
    best = &member;
    best_order = order;
  }
  return best == nullptr ? std::nullopt : std::optional(best->caller_address);
}

bool Fleet::IsHomeOf(const InstanceId& instance, const AttemptId& id) const {
  const Scheduler& scheduler = m_coordinator.RequestScheduler();
  const RequestInfo* request = scheduler.FindWaiting(id);
  if (request == nullptr) request = scheduler.FindRunning(id);
  return request == nullptr || request->home == instance;
}

void Fleet::SetLostBackends(bool has_lost_backends) {
  m_has_lost_backends = has_lost_backends;
  LogEvent(EventId::kFleetChanged,
           {{"member", m_options.id.Text()},
            {"state", has_lost_backends ? "without backend servers" : "with backend servers"}});
  AnnounceOwnMember();
}

void Fleet::SetLostStore(bool has_lost_store) {
  if (m_has_lost_store == has_lost_store) return;
  m_has_lost_store = has_lost_store;
  LogEvent(EventId::kFleetChanged, {{"member", m_options.id.Text()},
                                    {"state", has_lost_store ? "without store" : "with store"}});
  AnnounceOwnMember();
  ElectCoordinator();
}

void Fleet::AnnounceOwnMember() {
  if (m_coordinator_peer) Enqueue(*m_coordinator_peer, MembersMessage{{OwnMember()}});
  BroadcastMember(OwnMember());
  SendChangedMembers();
}

std::vector<const FleetMember*> Fleet::Candidates() const {
  std::vector<const FleetMember*> candidates;
  for (const auto& [id, member] : m_members)
    if (!member.is_leaving && member.registration_revision != 0) candidates.push_back(&member);
  std::sort(candidates.begin(), candidates.end(),
            [](const auto* a, const auto* b) { return ElectionKey(*a) < ElectionKey(*b); });
  return candidates;
}

void Fleet::RemoveAbsentMembers(TimePoint now) {
  if (!IsCoordinator()) return m_absent_since.clear();
  std::vector<FleetMember> removed;
  for (auto& [id, member] : m_members) {
    if (member.is_alive) {
      m_absent_since.erase(id);
    } else if (now - m_absent_since.try_emplace(id, now).first->second > kRemoveAbsentAfter) {
      removed.push_back(member);
    }
  }
  for (FleetMember& member : removed) {
    m_members.erase(member.id);
    m_absent_since.erase(member.id);
    m_dials.erase(member.id);
    member.is_removed = true;
    BroadcastMember(member);
    if (m_events.on_member_removed)
      m_events.on_member_removed(member.id, member.registration_revision);
  }
  if (!removed.empty()) UpdateShare();
}

void Fleet::MergeMembers(const MembersMessage& message, bool is_from_coordinator) {
  for (FleetMember member : message.members) {
    if (member.id == m_options.id) continue;
    const auto old = m_members.find(member.id);
    const bool is_new = old == m_members.end();
    // An older build states no era.
    const Revision stated(member.registration_revision);
    if (!is_new && EraOf(stated) == StoreEra{})
      member.registration_revision =
          MakeRevision(EraOf(Revision(old->second.registration_revision)), NumberOf(stated))
              .Value();
    if (!is_new && member.registration_revision < old->second.registration_revision) continue;
    if (member.is_removed) {
      if (is_from_coordinator) m_members.erase(member.id);
      continue;
    }
    const bool is_newer =
        is_new || member.registration_revision > old->second.registration_revision;
    FleetMember merged = member;
    if (!is_from_coordinator) merged.is_alive = m_followers.contains(member.id);
    if (!is_from_coordinator && !is_new && !IsCoordinator()) merged.is_alive = old->second.is_alive;
    const bool is_changed = is_new || is_newer || old->second.is_leaving != member.is_leaving ||
                            old->second.has_lost_store != member.has_lost_store ||
                            old->second.has_lost_backends != member.has_lost_backends;
    m_members[member.id] = merged;
    // A restarted instance may be reachable at once.
    if (is_newer) m_dials[member.id].retry_at = {};
    if (is_changed && IsCoordinator()) BroadcastMember(merged);
  }
  UpdateShare();
}

void Fleet::SetAlive(const InstanceId& id, bool is_alive) {
  const auto found = m_members.find(id);
  if (found == m_members.end()) return;
  const bool is_changed = found->second.is_alive != is_alive;
  found->second.is_alive = is_alive;
  if (is_changed && IsCoordinator()) {
    LogEvent(EventId::kFleetChanged,
             {{"member", id.Text()},
              {"state", is_alive ? "alive" : "away"},
              {"present", static_cast<std::int64_t>(m_followers.size() + 1)}});
    BroadcastMember(found->second);
  }
}

void Fleet::UpdateStreamKeepers() {
  std::set<InstanceId> keepers;
  if (IsCoordinator()) {
    for (const FleetMember* member : Candidates()) {
      const auto follower = m_followers.find(member->id);
      if (follower == m_followers.end() || !KnowsStreams(follower->second)) continue;
      keepers.insert(member->id);
      if (!m_stream_keepers.contains(member->id))
        SendStreams(follower->second, m_coordinator.Streams().Snapshot(m_loop.Now()));
      if (keepers.size() == kStreamKeepers) break;
    }
  }
  m_stream_keepers = std::move(keepers);
}

void Fleet::SendStreams(const Peer& peer, StreamRecords records) {
  if (!records.empty() && KnowsStreams(peer)) Enqueue(peer, StreamsMessage{std::move(records)});
}

void Fleet::BroadcastMember(const FleetMember& member) {
  m_changed_members.insert_or_assign(member.id, member);
  if (m_changed_members.size() == 1)
    m_members_timer.Start(kMembersDelay, [this] { SendChangedMembers(); });
}

void Fleet::SendChangedMembers() {
  m_members_timer.Stop();
  if (m_changed_members.empty()) return;
  MembersMessage message;
  for (auto& [id, member] : m_changed_members) message.members.push_back(std::move(member));
  m_changed_members.clear();
  for (auto& [id, peer] : m_followers) Enqueue(peer, message);
}

}  // namespace bluebellpass::gateway
