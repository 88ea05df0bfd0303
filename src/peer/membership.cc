#include "membership.h"

#include <algorithm>

namespace bluebellpass {
namespace {

// A change is sent with priority this many times, times the logarithm of the fleet size. By SWIM's
// analysis it then reaches all members with high probability.
constexpr std::size_t kTransmissionsPerDoubling = 3;

bool IsRunning(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

/// @param known the last update of the same incarnation
bool IsNewer(const MemberUpdate& update, const MemberUpdate& known) {
  if (update.sequence != known.sequence) return update.sequence > known.sequence;
  return update.member.state > known.member.state;
}

bool Contains(const std::vector<MemberUpdate>& gossip, const InstanceId& id) {
  return std::any_of(gossip.begin(), gossip.end(),
                     [&](const MemberUpdate& update) { return update.member.info.id == id; });
}

}  // namespace

Membership::Membership(InstanceInfo self, TimePoint now, std::uint32_t seed,
                       std::function<void(const Member&)> on_change)
    : m_self(self.id),
      m_started(now),
      m_random(seed),
      m_on_change(std::move(on_change)),
      m_next_probe(now + kProbePeriod) {
  Entry& entry = m_entries[m_self];
  entry.update.member.info = std::move(self);
  entry.changed_at = now;
  entry.change_number = ++m_change_count;
}

std::uint64_t Membership::Uptime(TimePoint now) const {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now - m_started).count());
}

const Member* Membership::Find(const InstanceId& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second.update.member;
}

std::optional<TimePoint> Membership::ChangedAt(const InstanceId& id) const {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) return std::nullopt;
  return found->second.changed_at;
}

std::vector<Member> Membership::Members(TimePoint now) const {
  std::vector<Member> members;
  members.reserve(m_entries.size());
  for (const auto& [id, entry] : m_entries) {
    members.push_back(entry.update.member);
    if (id == m_self) members.back().uptime_seconds = Uptime(now);
  }
  return members;
}

void Membership::MarkChanged(Entry& entry) {
  std::size_t doublings = 1;
  while ((std::size_t{1} << doublings) < m_entries.size() + 1) ++doublings;
  entry.change_number = ++m_change_count;
  entry.transmissions_left = kTransmissionsPerDoubling * doublings;
  const Member copy = entry.update.member;
  if (m_on_change) m_on_change(copy);
}

void Membership::SetState(Entry& entry, MemberState state, TimePoint now) {
  entry.update.member.state = state;
  entry.changed_at = now;
  MarkChanged(entry);
}

void Membership::RecordHello(const InstanceInfo& info, TimePoint now) {
  if (info.id == m_self) return;
  const auto found = m_entries.find(info.id);
  if (found != m_entries.end() &&
      found->second.update.member.info.incarnation >= info.incarnation) {
    m_pending_probes.erase(info.id);
    return;
  }
  MergeOne({{info, MemberState::kAlive, 0}, 0}, now);
}

void Membership::RecordHeartbeat(const InstanceId& from, std::uint64_t uptime_seconds) {
  const auto found = m_entries.find(from);
  if (found == m_entries.end() || from == m_self) return;
  m_pending_probes.erase(from);
  found->second.update.member.uptime_seconds =
      std::max(found->second.update.member.uptime_seconds, uptime_seconds);
}

void Membership::Merge(const std::vector<MemberUpdate>& updates, TimePoint now) {
  for (const MemberUpdate& update : updates) MergeOne(update, now);
}

void Membership::MergeOne(const MemberUpdate& update, TimePoint now) {
  const InstanceId& id = update.member.info.id;
  if (id == m_self) return Refute(update);
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    // Dead members that are unknown here are not added, or gossip would never forget them.
    if (!IsRunning(update.member.state)) return;
  } else {
    MemberUpdate& known = found->second.update;
    const Incarnation known_incarnation = known.member.info.incarnation;
    if (update.member.info.incarnation < known_incarnation) return;
    if (update.member.info.incarnation == known_incarnation) {
      known.member.uptime_seconds =
          std::max(known.member.uptime_seconds, update.member.uptime_seconds);
      if (!IsNewer(update, known)) return;
    }
  }
  Entry& entry = m_entries[id];
  const bool is_new_run = entry.update.member.info.incarnation != update.member.info.incarnation;
  const std::uint64_t uptime = is_new_run ? 0 : entry.update.member.uptime_seconds;
  if (is_new_run) m_pending_probes.erase(id);
  entry.update = update;
  entry.update.member.uptime_seconds = std::max(uptime, update.member.uptime_seconds);
  entry.changed_at = now;
  MarkChanged(entry);
}

void Membership::Refute(const MemberUpdate& claim) {
  Entry& own = m_entries.at(m_self);
  if (claim.member.info.incarnation != own.update.member.info.incarnation) return;
  if (claim.sequence < own.update.sequence) return;
  const bool is_equal =
      claim.member.state == own.update.member.state && claim.sequence == own.update.sequence;
  if (is_equal) return;
  own.update.sequence = claim.sequence + 1;
  MarkChanged(own);
}

void Membership::Leave() {
  Entry& own = m_entries.at(m_self);
  own.update.member.info.is_leaving = true;
  ++own.update.sequence;
  MarkChanged(own);
}

void Membership::MarkLeft() {
  Entry& own = m_entries.at(m_self);
  own.update.member.state = MemberState::kLeft;
  ++own.update.sequence;
  MarkChanged(own);
}

std::optional<InstanceId> Membership::Tick(TimePoint now) {
  ExpireProbes(now);
  ExpireStates(now);
  if (now < m_next_probe) return std::nullopt;
  m_next_probe = now + kProbePeriod;
  return NextProbe(now);
}

void Membership::ExpireProbes(TimePoint now) {
  for (auto probe = m_pending_probes.begin(); probe != m_pending_probes.end();) {
    const auto found = m_entries.find(probe->first);
    if (found != m_entries.end() && now - probe->second < kProbeTimeout) {
      ++probe;
      continue;
    }
    probe = m_pending_probes.erase(probe);
    if (found != m_entries.end() && found->second.update.member.state == MemberState::kAlive)
      SetState(found->second, MemberState::kSuspect, now);
  }
}

void Membership::ExpireStates(TimePoint now) {
  std::vector<InstanceId> forgotten;
  for (auto& [id, entry] : m_entries) {
    const MemberState state = entry.update.member.state;
    if (id == m_self) continue;
    if (state == MemberState::kSuspect && now - entry.changed_at >= kSuspicionTimeout) {
      // A member that has announced its leave is not reported as dead.
      const bool is_leaving = entry.update.member.info.is_leaving;
      SetState(entry, is_leaving ? MemberState::kLeft : MemberState::kDead, now);
    } else if (!IsRunning(state) && now - entry.changed_at >= kForgetAfter) {
      forgotten.push_back(id);
    }
  }
  for (const InstanceId& id : forgotten) m_entries.erase(id);
}

std::optional<InstanceId> Membership::NextProbe(TimePoint now) {
  // Probing all members in rounds of random order bounds the time between two probes of one.
  for (int round = 0; round < 2; ++round) {
    while (!m_probe_order.empty()) {
      const InstanceId id = m_probe_order.back();
      m_probe_order.pop_back();
      const Member* member = Find(id);
      if (member == nullptr || !IsRunning(member->state)) continue;
      m_pending_probes.emplace(id, now);
      return id;
    }
    for (const auto& [id, entry] : m_entries)
      if (id != m_self && IsRunning(entry.update.member.state)) m_probe_order.push_back(id);
    std::shuffle(m_probe_order.begin(), m_probe_order.end(), m_random);
  }
  return std::nullopt;
}

std::vector<MemberUpdate> Membership::GossipFor(const InstanceId& to, bool is_full_gossip,
                                                TimePoint now) {
  m_entries.at(m_self).update.member.uptime_seconds = Uptime(now);
  std::vector<MemberUpdate> gossip;
  const auto receiver = m_entries.find(to);
  if (receiver != m_entries.end() && receiver->second.update.member.state != MemberState::kAlive)
    gossip.push_back(receiver->second.update);
  AddRecentChanges(gossip, to);
  if (is_full_gossip) AddUnchanged(gossip);
  return gossip;
}

void Membership::AddRecentChanges(std::vector<MemberUpdate>& gossip, const InstanceId& to) {
  std::vector<Entry*> changed;
  for (auto& [id, entry] : m_entries)
    if (entry.transmissions_left > 0 && id != to) changed.push_back(&entry);
  std::sort(changed.begin(), changed.end(),
            [](const Entry* a, const Entry* b) { return a->change_number > b->change_number; });
  for (Entry* entry : changed) {
    if (gossip.size() >= kMaxGossip) return;
    gossip.push_back(entry->update);
    --entry->transmissions_left;
  }
}

void Membership::AddUnchanged(std::vector<MemberUpdate>& gossip) {
  auto next = m_entries.upper_bound(m_unchanged_cursor);
  for (std::size_t seen = 0; seen < m_entries.size() && gossip.size() < kMaxGossip; ++seen) {
    if (next == m_entries.end()) next = m_entries.begin();
    m_unchanged_cursor = next->first;
    if (!Contains(gossip, next->first)) gossip.push_back(next->second.update);
    ++next;
  }
}

}  // namespace bluebellpass
