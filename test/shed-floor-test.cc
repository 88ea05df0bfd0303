#include "policy/shed-floor.h"

#include <boost/test/unit_test.hpp>

namespace bluebellpass {
namespace {

const InstanceId kMemberA{"a"};
const InstanceId kMemberB{"b"};
const InstanceId kMemberC{"c"};
constexpr TierRank kTopTier{0};
constexpr TierRank kMiddleTier{1};

TimePoint At(int millis) { return TimePoint(Millis{millis}); }

FloorMembers TwoMembers() { return {{kMemberA, Incarnation(1)}, {kMemberB, Incarnation(1)}}; }

// A floor must not count as held before the last acknowledgement, nor permit shedding of tiers
// above it.
BOOST_AUTO_TEST_CASE(HeldOnlyWhenAllAcknowledged) {
  ShedFloor floor;
  BOOST_TEST(!floor.MayShedTier(kMiddleTier, At(0)));
  floor.BeginRound(1, kMiddleTier, TwoMembers(), At(0));
  BOOST_TEST(!floor.OnAck(kMemberA, 1, At(1)));
  BOOST_TEST(!floor.OnAck(kMemberA, 1, At(1)));
  BOOST_TEST(!floor.OnAck(kMemberC, 1, At(1)));
  BOOST_TEST(!floor.OnAck(kMemberB, 2, At(1)));
  BOOST_TEST(!floor.MayShedTier(kMiddleTier, At(1)));
  BOOST_TEST(floor.UnacknowledgedMembers().size() == 1);
  BOOST_TEST(floor.OnAck(kMemberB, 1, At(2)));
  BOOST_TEST(floor.MayShedTier(kMiddleTier, At(2)));
  BOOST_TEST(floor.MayShedTier(TierRank(2), At(2)));
  BOOST_TEST(!floor.MayShedTier(kTopTier, At(2)));
}

// The owner must not rely on an expired promise. Validity counts from asking, not from the
// acknowledgement.
BOOST_AUTO_TEST_CASE(ValidityCountsFromAsking) {
  ShedFloor floor;
  floor.BeginRound(1, kTopTier, TwoMembers(), At(0));
  floor.OnAck(kMemberA, 1, At(1400));
  floor.OnAck(kMemberB, 1, At(1400));
  BOOST_TEST(floor.MayShedTier(kTopTier, At(1499)));
  BOOST_TEST(!floor.MayShedTier(kTopTier, At(1500)));
  floor.BeginRound(2, kTopTier, TwoMembers(), At(1500));
  BOOST_TEST(!floor.MayShedTier(kTopTier, At(1500)));
  BOOST_TEST(!floor.OnAck(kMemberA, 1, At(1501)));
}

// Members that join, restart or lose their link during a round have not promised and must be asked.
BOOST_AUTO_TEST_CASE(ChangedMembersMustAcknowledge) {
  ShedFloor floor;
  floor.BeginRound(1, kTopTier, TwoMembers(), At(0));
  floor.OnAck(kMemberA, 1, At(1));
  floor.OnAck(kMemberB, 1, At(1));
  FloorMembers members = TwoMembers();
  members.emplace(kMemberC, Incarnation(1));
  floor.UpdateMembers(members);
  BOOST_TEST(!floor.MayShedTier(kTopTier, At(2)));
  floor.OnAck(kMemberC, 1, At(3));
  BOOST_TEST(floor.MayShedTier(kTopTier, At(3)));
  members[kMemberC] = Incarnation(2);
  floor.UpdateMembers(members);
  BOOST_TEST(!floor.MayShedTier(kTopTier, At(4)));
  members.erase(kMemberC);
  floor.UpdateMembers(members);
  BOOST_TEST(floor.MayShedTier(kTopTier, At(5)));
  floor.OnLinkDown(kMemberB);
  BOOST_TEST(!floor.MayShedTier(kTopTier, At(6)));
}

// Waiting for a dead member would block shedding for good, while a suspected member may still hold
// work.
BOOST_AUTO_TEST_CASE(SuspectedMembersAreAsked) {
  const std::vector<Member> members{
      {.info = {.id = kMemberA}, .state = MemberState::kAlive},
      {.info = {.id = kMemberB}, .state = MemberState::kSuspect},
      {.info = {.id = kMemberC}, .state = MemberState::kDead},
      {.info = {.id = InstanceId("d")}, .state = MemberState::kLeft},
  };
  const FloorMembers asked = SelectFloorMembers(members);
  BOOST_TEST(asked.size() == 2);
  BOOST_TEST(asked.contains(kMemberB));
}

}  // namespace
}  // namespace bluebellpass
