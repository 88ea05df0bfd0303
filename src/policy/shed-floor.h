#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bluebellpass/peer.h"

namespace bluebellpass {

/// For how long an instance that acknowledges admits nothing below the floor, from receipt. Floors
/// are asked for from the lowest tier upwards, and the promise of one step must outlast the next:
/// 1.5 s until the step is held, 1.5 s for the next one, and 2 s for a message on a link that is
/// about to be closed as silent.
constexpr Millis kFloorPromiseTime{5000};
/// For how long the owner relies on it, from asking. The difference covers clocks that run at
/// different rates; receipt is never before asking.
constexpr Millis kFloorValidity{1500};

/// Members that must acknowledge a floor, with the process that did or must.
using FloorMembers = std::map<InstanceId, Incarnation>;

/// @return those members that may hold work: neither dead for certain nor left
FloorMembers SelectFloorMembers(const std::vector<Member>& members);

/// The owner's side of the shed floor of a pool: a tier may be shed only while every instance has
/// promised to keep nothing below it. Value type without I/O.
class ShedFloor {
 public:
  /// Begins a round, replacing an earlier one.
  /// @param round greater than that of earlier rounds
  void BeginRound(std::uint64_t round, TierRank rank, FloorMembers members, TimePoint now);

  /// Takes note of an acknowledgement; those of other rounds are ignored.
  /// @return true when it was the last one missing and the floor is now held
  bool OnAck(const InstanceId& from, std::uint64_t round, TimePoint now);

  /// Takes note of the members now known. One that has become known, or was restarted, must
  /// acknowledge as well; one that is gone need not.
  /// @return true when there is one that has not promised an earlier step either
  bool UpdateMembers(const FloorMembers& members);

  /// The link to an instance broke. It may have been restarted, so its promise counts no longer.
  void OnLinkDown(const InstanceId& instance) { m_acknowledged.erase(instance); }

  /// Ends the round, so that the next one begins with the lowest tier.
  void AbandonRound() { m_round = 0; }

  /// @return true when nothing below the tier is kept undispatched anywhere
  bool MayShedTier(TierRank tier, TimePoint now) const;

  /// @return the rank of a round that has not expired, acknowledged or not
  std::optional<TierRank> AskedRank(TimePoint now) const;

  /// @return the rank of the floor while all have acknowledged it
  std::optional<TierRank> HeldRank(TimePoint now) const;

  /// @return the instances to be asked, at first or again
  std::vector<InstanceId> UnacknowledgedMembers() const;

  std::uint64_t Round() const { return m_round; }
  TimePoint RoundStartedAt() const { return m_round_started_at; }

 private:
  std::uint64_t m_round = 0;  ///< 0 before the first round
  TierRank m_rank;
  TimePoint m_round_started_at;
  FloorMembers m_members;
  std::set<InstanceId> m_acknowledged;
};

}  // namespace bluebellpass
