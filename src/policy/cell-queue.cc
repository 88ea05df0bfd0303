#include "policy/cell-queue.h"

#include <algorithm>
#include <tuple>

namespace bluebellpass {
namespace {

/// Window over which minimum shares are enforced. It bounds the credit of an idle tier.
constexpr Millis kShareWindow{10000};
/// Consecutive grants of one tier within this time share a record, to bound the memory of the
/// window.
constexpr Millis kGrantMergeInterval{50};
/// Items tried per tier, and per organisation within it, while earlier ones cannot start.
constexpr int kMaxTriedItems = 16;
constexpr int kMaxTriedItemsPerOrganisation = 4;
/// Grants of a tier between two removals of idle organisations, to amortise their cost.
constexpr std::uint32_t kGrantsPerSweep = 1024;

}  // namespace

void CellQueue::SetMinShare(TierRank rank, double share) { m_tiers[rank].share = share; }

bool CellQueue::Add(QueuedReservation item) {
  item.sequence = ++m_last_sequence;
  const RequestId id = item.reservation.id;
  const auto [it, is_new] = m_items.try_emplace(id, std::move(item));
  if (!is_new) return false;
  const QueuedReservation& added = it->second;
  const OrganisationId& organisation = added.reservation.organisation;
  const DeadlineOrder order{added.deadline, added.sequence};
  m_by_deadline.emplace(order, id);

  Tier& tier = m_tiers[added.rank];
  OrganisationQueue& queue = tier.queues[organisation];
  if (queue.items.empty()) {
    // An organisation gains no credit while idle.
    const double minimum =
        tier.by_virtual_time.empty() ? tier.virtual_time : tier.by_virtual_time.begin()->first;
    queue.virtual_time = std::max(queue.virtual_time, minimum);
    tier.by_virtual_time.emplace(queue.virtual_time, organisation);
  } else {
    tier.by_bytes.erase({queue.bytes, organisation});
  }
  queue.items.emplace(order, &added);
  queue.bytes += added.reservation.bytes;
  tier.by_bytes.emplace(queue.bytes, organisation);
  tier.bytes += added.reservation.bytes;
  ++tier.size;
  return true;
}

void CellQueue::RemoveFromIndexes(const QueuedReservation& item) {
  const OrganisationId& organisation = item.reservation.organisation;
  const DeadlineOrder order{item.deadline, item.sequence};
  m_by_deadline.erase(order);
  Tier& tier = m_tiers[item.rank];
  tier.bytes -= item.reservation.bytes;
  --tier.size;
  OrganisationQueue& queue = tier.queues[organisation];
  tier.by_bytes.erase({queue.bytes, organisation});
  queue.items.erase(order);
  queue.bytes -= item.reservation.bytes;
  if (!queue.items.empty()) {
    tier.by_bytes.emplace(queue.bytes, organisation);
    return;
  }
  tier.by_virtual_time.erase({queue.virtual_time, organisation});
  // Without debt, the organisation would restart at the minimum anyway.
  if (queue.virtual_time <= tier.virtual_time) tier.queues.erase(organisation);
}

std::optional<QueuedReservation> CellQueue::Remove(const RequestId& id) {
  const auto it = m_items.find(id);
  if (it == m_items.end()) return std::nullopt;
  RemoveFromIndexes(it->second);
  QueuedReservation item = std::move(it->second);
  m_items.erase(it);
  return item;
}

std::optional<QueuedReservation> CellQueue::Grant(const RequestId& id, TimePoint now) {
  const QueuedReservation* found = Find(id);
  if (found == nullptr) return std::nullopt;
  const std::int64_t tokens = std::max<std::int64_t>(found->TotalTokens().Value(), 1);
  const OrganisationId& organisation = found->reservation.organisation;
  Tier& tier = m_tiers[found->rank];
  OrganisationQueue& queue = tier.queues[organisation];
  tier.by_virtual_time.erase({queue.virtual_time, organisation});
  tier.virtual_time = std::max(tier.virtual_time, queue.virtual_time);
  queue.virtual_time += static_cast<double>(tokens) / found->weight;
  tier.by_virtual_time.emplace(queue.virtual_time, organisation);
  if (++tier.grant_count % kGrantsPerSweep == 0) RemoveIdleOrganisations(tier);

  // Uncontested grants do not count against the tier's share once other tiers have work.
  const bool is_contested = tier.size < m_items.size();
  if (!is_contested) return Remove(id);
  tier.granted_tokens += tokens;
  m_recent_granted_tokens += tokens;
  const bool extends_last_record = !m_recent_grants.empty() &&
                                   m_recent_grants.back().rank == found->rank &&
                                   now - m_recent_grants.back().time < kGrantMergeInterval;
  if (extends_last_record) {
    m_recent_grants.back().tokens += tokens;
  } else {
    m_recent_grants.push_back({.time = now, .rank = found->rank, .tokens = tokens});
  }
  return Remove(id);
}

void CellQueue::RemoveIdleOrganisations(Tier& tier) {
  std::erase_if(tier.queues, [&tier](const auto& entry) {
    return entry.second.items.empty() && entry.second.virtual_time <= tier.virtual_time;
  });
}

void CellQueue::RemoveOldGrants(TimePoint now) {
  while (!m_recent_grants.empty() && now - m_recent_grants.front().time > kShareWindow) {
    const GrantRecord& oldest = m_recent_grants.front();
    m_tiers[oldest.rank].granted_tokens -= oldest.tokens;
    m_recent_granted_tokens -= oldest.tokens;
    m_recent_grants.pop_front();
  }
}

double CellQueue::ShareDeficit(TierRank rank, const Tier& tier) const {
  if (m_shed_floor.has_value() && rank > *m_shed_floor) return 0;
  return tier.share * static_cast<double>(m_recent_granted_tokens) -
         static_cast<double>(tier.granted_tokens);
}

std::vector<TierRank> CellQueue::TiersInGrantOrder() const {
  std::vector<std::pair<double, TierRank>> below_share;
  std::vector<TierRank> by_rank;
  for (const auto& [rank, tier] : m_tiers) {
    if (tier.size == 0) continue;
    const double deficit = ShareDeficit(rank, tier);
    if (deficit > 0) {
      below_share.emplace_back(-deficit, rank);
    } else {
      by_rank.push_back(rank);
    }
  }
  std::sort(below_share.begin(), below_share.end());
  std::vector<TierRank> order;
  order.reserve(below_share.size() + by_rank.size());
  for (const auto& [deficit, rank] : below_share) order.push_back(rank);
  order.insert(order.end(), by_rank.begin(), by_rank.end());
  return order;
}

const QueuedReservation* CellQueue::FindNextInTier(const Tier& tier,
                                                   const StartPredicate& can_start) {
  int tried = 0;
  for (const auto& [virtual_time, organisation] : tier.by_virtual_time) {
    const auto& items = tier.queues.at(organisation).items;
    int tried_in_organisation = 0;
    for (const auto& [order, item] : items) {
      if (can_start(*item)) return item;
      if (++tried == kMaxTriedItems) return nullptr;
      if (++tried_in_organisation == kMaxTriedItemsPerOrganisation) break;
    }
    // The earliest deadlines may need faster servers than those with capacity.
    if (items.size() > kMaxTriedItemsPerOrganisation && can_start(*items.rbegin()->second)) {
      return items.rbegin()->second;
    }
  }
  return nullptr;
}

const QueuedReservation* CellQueue::FindNext(TimePoint now, const StartPredicate& can_start) {
  RemoveOldGrants(now);
  for (TierRank rank : TiersInGrantOrder()) {
    const QueuedReservation* item = FindNextInTier(m_tiers.at(rank), can_start);
    if (item != nullptr) return item;
  }
  return nullptr;
}

std::vector<QueuedReservation> CellQueue::RemoveExpired(TimePoint now) {
  std::vector<QueuedReservation> expired;
  while (!m_by_deadline.empty() && m_by_deadline.begin()->first.first <= now) {
    const RequestId id = m_by_deadline.begin()->second;
    expired.push_back(*Remove(id));
  }
  return expired;
}

std::vector<QueuedReservation> CellQueue::RemoveBelow(TierRank rank) {
  std::vector<const QueuedReservation*> below;
  for (auto tier = m_tiers.upper_bound(rank); tier != m_tiers.end(); ++tier) {
    for (const auto& [organisation, queue] : tier->second.queues) {
      for (const auto& [order, item] : queue.items) below.push_back(item);
    }
  }
  std::sort(below.begin(), below.end(), [](const QueuedReservation* a, const QueuedReservation* b) {
    return std::tie(a->rank, a->deadline, a->sequence) >
           std::tie(b->rank, b->deadline, b->sequence);
  });
  std::vector<RequestId> ids;
  ids.reserve(below.size());
  for (const QueuedReservation* item : below) ids.push_back(item->reservation.id);
  std::vector<QueuedReservation> removed;
  removed.reserve(ids.size());
  for (const RequestId& id : ids) removed.push_back(*Remove(id));
  return removed;
}

std::optional<QueuedReservation> CellQueue::RemoveFromLargestOrganisation(TierRank rank) {
  const Tier* tier = FindTier(rank);
  if (tier == nullptr || tier->by_bytes.empty()) return std::nullopt;
  const OrganisationQueue& queue = tier->queues.at(tier->by_bytes.rbegin()->second);
  const RequestId id = queue.items.rbegin()->second->reservation.id;
  return Remove(id);
}

std::vector<QueuedReservation> CellQueue::RemoveAll() {
  std::vector<QueuedReservation> all;
  for (auto& [id, item] : m_items) all.push_back(std::move(item));
  std::sort(all.begin(), all.end(), [](const QueuedReservation& a, const QueuedReservation& b) {
    return a.sequence < b.sequence;
  });
  m_items.clear();
  m_by_deadline.clear();
  m_tiers.clear();
  m_recent_grants.clear();
  m_recent_granted_tokens = 0;
  return all;
}

const QueuedReservation* CellQueue::Find(const RequestId& id) const {
  const auto it = m_items.find(id);
  return it == m_items.end() ? nullptr : &it->second;
}

void CellQueue::ForEach(const std::function<void(const QueuedReservation&)>& function) const {
  for (const auto& [id, item] : m_items) function(item);
}

const CellQueue::Tier* CellQueue::FindTier(TierRank rank) const {
  const auto tier = m_tiers.find(rank);
  return tier == m_tiers.end() ? nullptr : &tier->second;
}

std::size_t CellQueue::Size(TierRank rank) const {
  const Tier* tier = FindTier(rank);
  return tier == nullptr ? 0 : tier->size;
}

std::int64_t CellQueue::Bytes(TierRank rank) const {
  const Tier* tier = FindTier(rank);
  return tier == nullptr ? 0 : tier->bytes;
}

std::size_t CellQueue::Size(TierRank rank, const OrganisationId& organisation) const {
  const Tier* tier = FindTier(rank);
  if (tier == nullptr) return 0;
  const auto queue = tier->queues.find(organisation);
  return queue == tier->queues.end() ? 0 : queue->second.items.size();
}

std::int64_t CellQueue::Bytes(TierRank rank, const OrganisationId& organisation) const {
  const Tier* tier = FindTier(rank);
  if (tier == nullptr) return 0;
  const auto queue = tier->queues.find(organisation);
  return queue == tier->queues.end() ? 0 : queue->second.bytes;
}

std::optional<TierRank> CellQueue::LeastUrgentWaitingRank() const {
  for (auto tier = m_tiers.rbegin(); tier != m_tiers.rend(); ++tier) {
    if (tier->second.size > 0) return tier->first;
  }
  return std::nullopt;
}

}  // namespace bluebellpass
