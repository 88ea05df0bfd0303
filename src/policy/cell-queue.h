#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bluebellpass/peer.h"

namespace bluebellpass {

/// A reservation that waits for a grant.
struct WaitingItem {
  InstanceId home;
  Reservation reservation;
  TierRank rank;
  double weight = 1;  ///< of the organisation, above 0
  TimePoint deadline;
  TimePoint since;
  std::uint64_t sequence = 0;  ///< set by the queue; order of arrival

  /// @return prompt and longest output together
  Tokens Cost() const { return reservation.prompt_tokens + reservation.max_output_tokens; }
};

/// The waiting reservations of one cell, in the order in which they are to be granted: tiers by
/// rank with minimum shares, organisations by weighted fair queueing, then earliest deadline.
/// Operations take O(log n) unless stated otherwise.
class CellQueue {
 public:
  using Fits = std::function<bool(const WaitingItem&)>;

  /// Sets the minimum share of granted tokens of a tier, 0 to 0.9.
  void SetShare(TierRank rank, double share);

  /// Tiers below an active floor have no minimum share.
  void SetFloor(std::optional<TierRank> floor) { m_floor = floor; }

  /// @return false when the request id waits already; nothing is changed then
  bool Add(WaitingItem item);

  /// @return the removed item, or nullopt when the id does not wait
  std::optional<WaitingItem> Remove(const RequestId& id);

  /// Finds the item to grant next. The item stays in the queue.
  /// @param fits tells whether an item could start now; asked for at most 16 items of each tier
  /// @return the item, valid until the next change, or nullptr
  const WaitingItem* Next(TimePoint now, const Fits& fits);

  /// Removes an item and counts its tokens as granted to its tier and organisation.
  std::optional<WaitingItem> Grant(const RequestId& id, TimePoint now);

  /// Removes the items whose deadline has passed; O(log n) for each of them.
  std::vector<WaitingItem> ExpireBefore(TimePoint now);

  /// Removes all items of tiers below a rank, lowest tier and latest deadline first.
  std::vector<WaitingItem> TakeBelow(TierRank rank);

  /// Removes the item that a full tier sheds: the latest deadline of the organisation with the most
  /// waiting bytes.
  std::optional<WaitingItem> TakeFromLargest(TierRank rank);

  /// Removes everything, in order of arrival; O(n log n).
  std::vector<WaitingItem> TakeAll();

  const WaitingItem* Find(const RequestId& id) const;
  /// Calls a function for each item, in no particular order.
  void ForEach(const std::function<void(const WaitingItem&)>& function) const;

  std::size_t Size() const { return m_items.size(); }
  std::size_t Size(TierRank rank) const;
  std::size_t Size(TierRank rank, const OrganisationId& organisation) const;
  std::int64_t Bytes(TierRank rank) const;
  std::int64_t Bytes(TierRank rank, const OrganisationId& organisation) const;
  /// @return the rank of the least urgent tier in which something waits
  std::optional<TierRank> LowestWaitingRank() const;

 private:
  using Order = std::pair<TimePoint, std::uint64_t>;

  struct Queue {
    std::map<Order, const WaitingItem*> items;
    std::int64_t bytes = 0;
    double counter = 0;  ///< virtual tokens: granted tokens by weight
  };
  struct Tier {
    double share = 0;
    std::size_t size = 0;
    std::int64_t bytes = 0;
    std::int64_t granted = 0;  ///< tokens in the window
    double counter = 0;        ///< virtual counter of the organisation served last
    std::uint32_t grants = 0;
    std::unordered_map<OrganisationId, Queue> queues;
    std::set<std::pair<double, OrganisationId>> by_counter;
    std::set<std::pair<std::int64_t, OrganisationId>> by_bytes;
  };
  struct Granted {
    TimePoint time;
    TierRank rank;
    std::int64_t tokens = 0;
  };

  static void ForgetIdle(Tier& tier);
  void ForgetOldGrants(TimePoint now);
  std::vector<TierRank> TierOrder() const;
  double Deficit(TierRank rank, const Tier& tier) const;
  void Unlink(const WaitingItem& item);
  static const WaitingItem* NextOfTier(const Tier& tier, const Fits& fits);
  const Tier* FindTier(TierRank rank) const;

  std::unordered_map<RequestId, WaitingItem> m_items;
  std::map<TierRank, Tier> m_tiers;
  std::map<Order, RequestId> m_by_deadline;
  std::deque<Granted> m_granted;
  std::int64_t m_granted_total = 0;
  std::optional<TierRank> m_floor;
  std::uint64_t m_sequence = 0;
};

}  // namespace bluebellpass
