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
struct QueuedReservation {
  InstanceId home;
  Reservation reservation;
  TierRank rank;
  double weight = 1;  ///< of the organisation, above 0
  TimePoint deadline;
  TimePoint enqueued_at;
  std::uint64_t sequence = 0;  ///< set by the queue; order of arrival

  /// @return prompt and longest output together
  Tokens TotalTokens() const { return reservation.prompt_tokens + reservation.max_output_tokens; }
};

/// The waiting reservations of one cell, in the order in which they are to be granted: tiers by
/// rank with minimum shares, organisations by weighted fair queueing, then earliest deadline.
/// Operations take O(log n) unless stated otherwise.
class CellQueue {
 public:
  using StartPredicate = std::function<bool(const QueuedReservation&)>;

  /// Sets the minimum share of granted tokens of a tier, 0 to 0.9.
  void SetMinShare(TierRank rank, double share);

  /// Tiers below an active shed_floor have no minimum share.
  void SetShedFloor(std::optional<TierRank> shed_floor) { m_shed_floor = shed_floor; }

  /// @return false when the request id waits already; nothing is changed then
  bool Add(QueuedReservation item);

  /// @return the removed item, or nullopt when the id does not wait
  std::optional<QueuedReservation> Remove(const RequestId& id);

  /// Finds the item to grant next. The item stays in the queue.
  /// @param can_start tells whether an item could start now; asked for at most 16 items of each
  /// tier
  /// @return the item, valid until the next change, or nullptr
  const QueuedReservation* FindNext(TimePoint now, const StartPredicate& can_start);

  /// Removes an item and counts its tokens as granted to its tier and organisation.
  std::optional<QueuedReservation> Grant(const RequestId& id, TimePoint now);

  /// Removes the items whose deadline has passed; O(log n) for each of them.
  std::vector<QueuedReservation> RemoveExpired(TimePoint now);

  /// Removes all items of tiers below a rank, lowest tier and latest deadline first.
  std::vector<QueuedReservation> RemoveBelow(TierRank rank);

  /// Removes the item that a full tier sheds: the latest deadline of the organisation with the most
  /// waiting bytes.
  std::optional<QueuedReservation> RemoveFromLargestOrganisation(TierRank rank);

  /// Removes everything, in order of arrival; O(n log n).
  std::vector<QueuedReservation> RemoveAll();

  const QueuedReservation* Find(const RequestId& id) const;
  /// Calls a function for each item, in no particular order.
  void ForEach(const std::function<void(const QueuedReservation&)>& function) const;

  std::size_t Size() const { return m_items.size(); }
  std::size_t Size(TierRank rank) const;
  std::size_t Size(TierRank rank, const OrganisationId& organisation) const;
  std::int64_t Bytes(TierRank rank) const;
  std::int64_t Bytes(TierRank rank, const OrganisationId& organisation) const;
  /// @return the rank of the least urgent tier in which something waits
  std::optional<TierRank> LeastUrgentWaitingRank() const;

 private:
  using DeadlineOrder = std::pair<TimePoint, std::uint64_t>;

  struct OrganisationQueue {
    std::map<DeadlineOrder, const QueuedReservation*> items;
    std::int64_t bytes = 0;
    double virtual_time = 0;  ///< virtual tokens: granted tokens by weight
  };
  struct Tier {
    double share = 0;
    std::size_t size = 0;
    std::int64_t bytes = 0;
    std::int64_t granted_tokens = 0;  ///< tokens in the window
    double virtual_time = 0;          ///< virtual virtual_time of the organisation served last
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
