#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bluebellpass/peer.h"

namespace bluebellpass {

/// Time after receiving a floor ask during which an instance admits nothing below the floor.
/// Floors rise one tier at a time, and the promise for one step must outlast the next step: 1.5 s
/// until the step is held, 1.5 s for the next step, and 2 s for a message delayed on a link that is
/// about to be closed as silent.
constexpr Millis kFloorPromiseTime{5000};
/// Time after sending a floor ask during which the owner relies on the promises. An ask is never
/// received before it is sent, and the difference to the promise time covers clocks that run at
/// different rates.
constexpr Millis kFloorValidity{1500};

/// Members that must acknowledge a floor, with their current incarnation.
using FloorMembers = std::map<InstanceId, Incarnation>;

/// @return the members that may hold work: all that are neither dead nor left
FloorMembers SelectFloorMembers(const std::vector<Member>& members);

/// Tracks the owner's side of a pool's shed floor: a tier may be shed only while every instance
/// promises to keep no work below it. Value type without I/O.
class ShedFloor {
 public:
  /// Starts a round, replacing the current one.
  /// @param round greater than in all earlier rounds
  void BeginRound(std::uint64_t round, TierRank rank, FloorMembers members, TimePoint now);

  /// Records an acknowledgement of the current round; ignores those of other rounds.
  /// @return true when all members have acknowledged and the floor is now held
  bool OnAck(const InstanceId& from, std::uint64_t round, TimePoint now);

  /// Replaces the members. New and restarted members must acknowledge too; removed ones need not.
  /// @return true when a member is new or restarted, and so has not promised the earlier steps
  bool UpdateMembers(const FloorMembers& members);

  /// Discards the promise of an instance whose link broke, since it may have restarted.
  void OnLinkDown(const InstanceId& instance) { m_acknowledged.erase(instance); }

  /// Ends the round, so that floors start again at the least urgent tier.
  void AbandonRound() { m_round = 0; }

  /// @return true when no instance keeps undispatched work below the tier
  bool MayShedTier(TierRank tier, TimePoint now) const;

  /// @return the rank of the current round, acknowledged or not; nullopt when it has expired
  std::optional<TierRank> AskedRank(TimePoint now) const;

  /// @return the rank of the current round while all members have acknowledged it
  std::optional<TierRank> HeldRank(TimePoint now) const;

  /// @return the members that have not acknowledged the current round
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
