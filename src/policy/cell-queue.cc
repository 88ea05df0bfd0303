#include "policy/cell-queue.h"

#include <algorithm>
#include <tuple>

namespace bluebellpass {
namespace {

/// Window over which the minimum shares hold; a tier that was idle has credit for no longer.
constexpr Millis kShareWindow{10000};
/// Grants of one tier this close together are counted as one, to bound the memory of the window.
constexpr Millis kGrantMerge{50};
/// Items of a tier, and of one organisation in it, that are tried when earlier ones do not fit.
constexpr int kMaxTriedItems = 16;
constexpr int kMaxTriedOfOrganisation = 4;
/// Grants of a tier between two sweeps of idle organisations, which spreads their cost.
constexpr std::uint32_t kSweepPeriod = 1024;

}  // namespace

void CellQueue::SetShare(TierRank rank, double share) { m_tiers[rank].share = share; }

bool CellQueue::Add(WaitingItem item) {
  item.sequence = ++m_sequence;
  const RequestId id = item.reservation.id;
  const auto [place, is_new] = m_items.try_emplace(id, std::move(item));
  if (!is_new) return false;
  const WaitingItem& added = place->second;
  const OrganisationId& organisation = added.reservation.organisation;
  const Order order{added.deadline, added.sequence};
  m_by_deadline.emplace(order, id);

  Tier& tier = m_tiers[added.rank];
  Queue& queue = tier.queues[organisation];
  if (queue.items.empty()) {
    // An organisation that was idle gets no credit for it.
    const double minimum = tier.by_counter.empty() ? tier.counter : tier.by_counter.begin()->first;
    queue.counter = std::max(queue.counter, minimum);
    tier.by_counter.emplace(queue.counter, organisation);
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

void CellQueue::Unlink(const WaitingItem& item) {
  const OrganisationId& organisation = item.reservation.organisation;
  const Order order{item.deadline, item.sequence};
  m_by_deadline.erase(order);
  Tier& tier = m_tiers[item.rank];
  tier.bytes -= item.reservation.bytes;
  --tier.size;
  Queue& queue = tier.queues[organisation];
  tier.by_bytes.erase({queue.bytes, organisation});
  queue.items.erase(order);
  queue.bytes -= item.reservation.bytes;
  if (!queue.items.empty()) {
    tier.by_bytes.emplace(queue.bytes, organisation);
    return;
  }
  tier.by_counter.erase({queue.counter, organisation});
  // Without a debt, the organisation would start at the minimum again in any case.
  if (queue.counter <= tier.counter) tier.queues.erase(organisation);
}

std::optional<WaitingItem> CellQueue::Remove(const RequestId& id) {
  const auto place = m_items.find(id);
  if (place == m_items.end()) return std::nullopt;
  Unlink(place->second);
  WaitingItem item = std::move(place->second);
  m_items.erase(place);
  return item;
}

std::optional<WaitingItem> CellQueue::Grant(const RequestId& id, TimePoint now) {
  const WaitingItem* found = Find(id);
  if (found == nullptr) return std::nullopt;
  const std::int64_t tokens = std::max<std::int64_t>(found->Cost().Value(), 1);
  const OrganisationId& organisation = found->reservation.organisation;
  Tier& tier = m_tiers[found->rank];
  Queue& queue = tier.queues[organisation];
  tier.by_counter.erase({queue.counter, organisation});
  tier.counter = std::max(tier.counter, queue.counter);
  queue.counter += static_cast<double>(tokens) / found->weight;
  tier.by_counter.emplace(queue.counter, organisation);
  if (++tier.grants % kSweepPeriod == 0) ForgetIdle(tier);

  // Work that no other tier had to wait for is no debt to be paid when others come.
  const bool has_rivals = tier.size < m_items.size();
  if (!has_rivals) return Remove(id);
  tier.granted += tokens;
  m_granted_total += tokens;
  const bool merges = !m_granted.empty() && m_granted.back().rank == found->rank &&
                      now - m_granted.back().time < kGrantMerge;
  if (merges) {
    m_granted.back().tokens += tokens;
  } else {
    m_granted.push_back({.time = now, .rank = found->rank, .tokens = tokens});
  }
  return Remove(id);
}

void CellQueue::ForgetIdle(Tier& tier) {
  std::erase_if(tier.queues, [&tier](const auto& row) {
    return row.second.items.empty() && row.second.counter <= tier.counter;
  });
}

void CellQueue::ForgetOldGrants(TimePoint now) {
  while (!m_granted.empty() && now - m_granted.front().time > kShareWindow) {
    const Granted& oldest = m_granted.front();
    m_tiers[oldest.rank].granted -= oldest.tokens;
    m_granted_total -= oldest.tokens;
    m_granted.pop_front();
  }
}

double CellQueue::Deficit(TierRank rank, const Tier& tier) const {
  if (m_floor.has_value() && rank > *m_floor) return 0;
  return tier.share * static_cast<double>(m_granted_total) - static_cast<double>(tier.granted);
}

std::vector<TierRank> CellQueue::TierOrder() const {
  std::vector<std::pair<double, TierRank>> owed;
  std::vector<TierRank> by_rank;
  for (const auto& [rank, tier] : m_tiers) {
    if (tier.size == 0) continue;
    const double deficit = Deficit(rank, tier);
    if (deficit > 0) {
      owed.emplace_back(-deficit, rank);
    } else {
      by_rank.push_back(rank);
    }
  }
  std::sort(owed.begin(), owed.end());
  std::vector<TierRank> order;
  order.reserve(owed.size() + by_rank.size());
  for (const auto& [deficit, rank] : owed) order.push_back(rank);
  order.insert(order.end(), by_rank.begin(), by_rank.end());
  return order;
}

const WaitingItem* CellQueue::NextOfTier(const Tier& tier, const Fits& fits) {
  int tried = 0;
  for (const auto& [counter, organisation] : tier.by_counter) {
    const auto& items = tier.queues.at(organisation).items;
    int tried_here = 0;
    for (const auto& [order, item] : items) {
      if (fits(*item)) return item;
      if (++tried == kMaxTriedItems) return nullptr;
      if (++tried_here == kMaxTriedOfOrganisation) break;
    }
    // The earliest deadlines may need faster servers than those with room.
    if (items.size() > kMaxTriedOfOrganisation && fits(*items.rbegin()->second)) {
      return items.rbegin()->second;
    }
  }
  return nullptr;
}

const WaitingItem* CellQueue::Next(TimePoint now, const Fits& fits) {
  ForgetOldGrants(now);
  for (TierRank rank : TierOrder()) {
    const WaitingItem* item = NextOfTier(m_tiers.at(rank), fits);
    if (item != nullptr) return item;
  }
  return nullptr;
}

std::vector<WaitingItem> CellQueue::ExpireBefore(TimePoint now) {
  std::vector<WaitingItem> expired;
  while (!m_by_deadline.empty() && m_by_deadline.begin()->first.first <= now) {
    const RequestId id = m_by_deadline.begin()->second;
    expired.push_back(*Remove(id));
  }
  return expired;
}

std::vector<WaitingItem> CellQueue::TakeBelow(TierRank rank) {
  std::vector<const WaitingItem*> below;
  for (auto tier = m_tiers.upper_bound(rank); tier != m_tiers.end(); ++tier) {
    for (const auto& [organisation, queue] : tier->second.queues) {
      for (const auto& [order, item] : queue.items) below.push_back(item);
    }
  }
  std::sort(below.begin(), below.end(), [](const WaitingItem* a, const WaitingItem* b) {
    return std::tie(a->rank, a->deadline, a->sequence) >
           std::tie(b->rank, b->deadline, b->sequence);
  });
  std::vector<RequestId> ids;
  ids.reserve(below.size());
  for (const WaitingItem* item : below) ids.push_back(item->reservation.id);
  std::vector<WaitingItem> taken;
  taken.reserve(ids.size());
  for (const RequestId& id : ids) taken.push_back(*Remove(id));
  return taken;
}

std::optional<WaitingItem> CellQueue::TakeFromLargest(TierRank rank) {
  const Tier* tier = FindTier(rank);
  if (tier == nullptr || tier->by_bytes.empty()) return std::nullopt;
  const Queue& queue = tier->queues.at(tier->by_bytes.rbegin()->second);
  const RequestId id = queue.items.rbegin()->second->reservation.id;
  return Remove(id);
}

std::vector<WaitingItem> CellQueue::TakeAll() {
  std::vector<WaitingItem> all;
  for (auto& [id, item] : m_items) all.push_back(std::move(item));
  std::sort(all.begin(), all.end(),
            [](const WaitingItem& a, const WaitingItem& b) { return a.sequence < b.sequence; });
  m_items.clear();
  m_by_deadline.clear();
  m_tiers.clear();
  m_granted.clear();
  m_granted_total = 0;
  return all;
}

const WaitingItem* CellQueue::Find(const RequestId& id) const {
  const auto place = m_items.find(id);
  return place == m_items.end() ? nullptr : &place->second;
}

void CellQueue::ForEach(const std::function<void(const WaitingItem&)>& function) const {
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

std::optional<TierRank> CellQueue::LowestWaitingRank() const {
  for (auto tier = m_tiers.rbegin(); tier != m_tiers.rend(); ++tier) {
    if (tier->second.size > 0) return tier->first;
  }
  return std::nullopt;
}

}  // namespace bluebellpass
