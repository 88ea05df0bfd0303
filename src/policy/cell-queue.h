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

/// A reservation waiting for a grant, with its scheduling parameters.
struct QueuedReservation {
  InstanceId home;
  Reservation reservation;
  TierRank rank;
  double weight = 1;  ///< fair-queueing weight of the organisation, above 0
  TimePoint deadline;
  TimePoint enqueued_at;
  std::uint64_t sequence = 0;  ///< arrival order, set by the queue

  /// @return prompt tokens plus the maximum output tokens
  Tokens TotalTokens() const { return reservation.prompt_tokens + reservation.max_output_tokens; }
};

/// Queue of the waiting reservations of one cell. Grants tiers by rank subject to minimum shares,
/// organisations within a tier by weighted fair queueing, and requests of an organisation by
/// earliest deadline. Operations take O(log n) unless stated otherwise.
class CellQueue {
 public:
  using StartPredicate = std::function<bool(const QueuedReservation&)>;

  /// Sets a tier's minimum share of the granted tokens.
  /// @param share 0 to 0.9
  void SetMinShare(TierRank rank, double share);

  /// Sets the active shed floor. Minimum shares do not apply to tiers below it.
  void SetShedFloor(std::optional<TierRank> shed_floor) { m_shed_floor = shed_floor; }

  /// Adds a reservation.
  /// @return false when one with the same request id is queued; the queue is unchanged then
  bool Add(QueuedReservation item);

  /// @return the removed item, or nullopt when the id is not queued
  std::optional<QueuedReservation> Remove(const RequestId& id);

  /// Finds the item to grant next without removing it.
  /// @param can_start tells whether an item could start now; called for a bounded number of items
  /// per tier
  /// @return the item, valid until the queue changes; nullptr when none can start
  const QueuedReservation* FindNext(TimePoint now, const StartPredicate& can_start);

  /// Removes an item and charges its tokens to its tier and organisation.
  std::optional<QueuedReservation> Grant(const RequestId& id, TimePoint now);

  /// Removes the items whose deadline has passed; O(log n) per removed item.
  std::vector<QueuedReservation> RemoveExpired(TimePoint now);

  /// Removes all items of tiers below a rank.
  /// @return the items, least urgent tier and latest deadline first
  std::vector<QueuedReservation> RemoveBelow(TierRank rank);

  /// Removes the item with the latest deadline from the organisation that has the most waiting
  /// bytes in a tier.
  std::optional<QueuedReservation> RemoveFromLargestOrganisation(TierRank rank);

  /// Removes all items; O(n log n).
  /// @return the items in arrival order
  std::vector<QueuedReservation> RemoveAll();

  const QueuedReservation* Find(const RequestId& id) const;
  /// Calls a function for each item, in unspecified order.
  void ForEach(const std::function<void(const QueuedReservation&)>& function) const;

  std::size_t Size() const { return m_items.size(); }
  std::size_t Size(TierRank rank) const;
  std::size_t Size(TierRank rank, const OrganisationId& organisation) const;
  std::int64_t Bytes(TierRank rank) const;
  std::int64_t Bytes(TierRank rank, const OrganisationId& organisation) const;
  /// @return the rank of the least urgent tier that has waiting items
  std::optional<TierRank> LeastUrgentWaitingRank() const;

 private:
  using DeadlineOrder = std::pair<TimePoint, std::uint64_t>;

  struct OrganisationQueue {
    std::map<DeadlineOrder, const QueuedReservation*> items;
    std::int64_t bytes = 0;
    double virtual_time = 0;  ///< granted tokens divided by weight
  };
  struct Tier {
    double share = 0;
    std::size_t size = 0;
    std::int64_t bytes = 0;
    std::int64_t granted_tokens = 0;  ///< within the share window
    double virtual_time = 0;          ///< of the organisation served last
    std::uint32_t grant_count = 0;
    std::unordered_map<OrganisationId, OrganisationQueue> queues;
    std::set<std::pair<double, OrganisationId>> by_virtual_time;
    std::set<std::pair<std::int64_t, OrganisationId>> by_bytes;
  };
  struct GrantRecord {
    TimePoint time;
    TierRank rank;
    std::int64_t tokens = 0;
  };

  static void RemoveIdleOrganisations(Tier& tier);
  void RemoveOldGrants(TimePoint now);
  std::vector<TierRank> TiersInGrantOrder() const;
  double ShareDeficit(TierRank rank, const Tier& tier) const;
  void RemoveFromIndexes(const QueuedReservation& item);
  static const QueuedReservation* FindNextInTier(const Tier& tier, const StartPredicate& can_start);
  const Tier* FindTier(TierRank rank) const;

  std::unordered_map<RequestId, QueuedReservation> m_items;
  std::map<TierRank, Tier> m_tiers;
  std::map<DeadlineOrder, RequestId> m_by_deadline;
  std::deque<GrantRecord> m_recent_grants;
  std::int64_t m_recent_granted_tokens = 0;
  std::optional<TierRank> m_shed_floor;
  std::uint64_t m_last_sequence = 0;
};

}  // namespace bluebellpass
