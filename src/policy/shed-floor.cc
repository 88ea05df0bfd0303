#include "policy/shed-floor.h"

#include <algorithm>

namespace bluebellpass {

FloorMembers SelectFloorMembers(const std::vector<Member>& members) {
  FloorMembers result;
  for (const Member& member : members) {
    if (member.state == MemberState::kDead || member.state == MemberState::kLeft) continue;
    result.emplace(member.info.id, member.info.incarnation);
  }
  return result;
}

void ShedFloor::BeginRound(std::uint64_t round, TierRank rank, FloorMembers members,
                           TimePoint now) {
  m_round = round;
  m_rank = rank;
  m_round_started_at = now;
  m_members = std::move(members);
  m_acknowledged.clear();
}

bool ShedFloor::OnAck(const InstanceId& from, std::uint64_t round, TimePoint now) {
  if (m_round == 0 || round != m_round || !m_members.contains(from)) return false;
  if (!m_acknowledged.insert(from).second) return false;
  return HeldRank(now).has_value();
}

bool ShedFloor::UpdateMembers(const FloorMembers& members) {
  const bool has_new = std::any_of(members.begin(), members.end(), [&](const auto& member) {
    const auto known = m_members.find(member.first);
    return known == m_members.end() || known->second != member.second;
  });
  for (const auto& [id, incarnation] : m_members) {
    const auto it = members.find(id);
    if (it == members.end() || it->second != incarnation) m_acknowledged.erase(id);
  }
  m_members = members;
  return has_new;
}

std::optional<TierRank> ShedFloor::AskedRank(TimePoint now) const {
  if (m_round == 0 || now - m_round_started_at >= kFloorValidity) return std::nullopt;
  return m_rank;
}

std::optional<TierRank> ShedFloor::HeldRank(TimePoint now) const {
  // An empty set is incomplete, since this instance itself is always a member.
  if (m_members.empty() || m_acknowledged.size() != m_members.size()) return std::nullopt;
  return AskedRank(now);
}

bool ShedFloor::MayShedTier(TierRank tier, TimePoint now) const {
  const std::optional<TierRank> held = HeldRank(now);
  return held.has_value() && *held <= tier;
}

std::vector<InstanceId> ShedFloor::UnacknowledgedMembers() const {
  std::vector<InstanceId> missing;
  for (const auto& [id, incarnation] : m_members) {
    if (!m_acknowledged.contains(id)) missing.push_back(id);
  }
  return missing;
}

}  // namespace bluebellpass
