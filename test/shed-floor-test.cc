#include "policy/shed-floor.h"

#include <boost/test/unit_test.hpp>

namespace bluebellpass {
namespace {

const InstanceId kA{"a"};
const InstanceId kB{"b"};
const InstanceId kC{"c"};
constexpr TierRank kTop{0};
constexpr TierRank kMiddle{1};

TimePoint At(int millis) { return TimePoint(Millis{millis}); }

FloorMembers Two() { return {{kA, Incarnation(1)}, {kB, Incarnation(1)}}; }

// Guards against a floor that counts as held before the last acknowledgement, and against one that
// covers tiers above it.
BOOST_AUTO_TEST_CASE(HeldOnlyWhenAllAcknowledged) {
  ShedFloor floor;
  BOOST_TEST(!floor.MayShedTier(kMiddle, At(0)));
  floor.BeginRound(1, kMiddle, Two(), At(0));
  BOOST_TEST(!floor.OnAck(kA, 1, At(1)));
  BOOST_TEST(!floor.OnAck(kA, 1, At(1)));
  BOOST_TEST(!floor.OnAck(kC, 1, At(1)));
  BOOST_TEST(!floor.OnAck(kB, 2, At(1)));
  BOOST_TEST(!floor.MayShedTier(kMiddle, At(1)));
  BOOST_TEST(floor.UnacknowledgedMembers().size() == 1);
  BOOST_TEST(floor.OnAck(kB, 1, At(2)));
  BOOST_TEST(floor.MayShedTier(kMiddle, At(2)));
  BOOST_TEST(floor.MayShedTier(TierRank(2), At(2)));
  BOOST_TEST(!floor.MayShedTier(kTop, At(2)));
}

// Guards against reliance on a promise that has run out, counted from asking and not from the
// acknowledgement.
BOOST_AUTO_TEST_CASE(ExpiresFromAsking) {
  ShedFloor floor;
  floor.BeginRound(1, kTop, Two(), At(0));
  floor.OnAck(kA, 1, At(1400));
  floor.OnAck(kB, 1, At(1400));
  BOOST_TEST(floor.MayShedTier(kTop, At(1499)));
  BOOST_TEST(!floor.MayShedTier(kTop, At(1500)));
  floor.BeginRound(2, kTop, Two(), At(1500));
  BOOST_TEST(!floor.MayShedTier(kTop, At(1500)));
  BOOST_TEST(!floor.OnAck(kA, 1, At(1501)));
}

// Guards against members that come, restart or lose their link during a round and are not asked.
BOOST_AUTO_TEST_CASE(ChangedMembersMustAcknowledge) {
  ShedFloor floor;
  floor.BeginRound(1, kTop, Two(), At(0));
  floor.OnAck(kA, 1, At(1));
  floor.OnAck(kB, 1, At(1));
  FloorMembers members = Two();
  members.emplace(kC, Incarnation(1));
  floor.UpdateMembers(members);
  BOOST_TEST(!floor.MayShedTier(kTop, At(2)));
  floor.OnAck(kC, 1, At(3));
  BOOST_TEST(floor.MayShedTier(kTop, At(3)));
  members[kC] = Incarnation(2);
  floor.UpdateMembers(members);
  BOOST_TEST(!floor.MayShedTier(kTop, At(4)));
  members.erase(kC);
  floor.UpdateMembers(members);
  BOOST_TEST(floor.MayShedTier(kTop, At(5)));
  floor.OnLinkDown(kB);
  BOOST_TEST(!floor.MayShedTier(kTop, At(6)));
}

// Guards against asking the dead, which would block shedding for good, and against leaving out
// the merely suspected, which may hold work.
BOOST_AUTO_TEST_CASE(SuspectedMembersAreAsked) {
  const std::vector<Member> members{
      {.info = {.id = kA}, .state = MemberState::kAlive},
      {.info = {.id = kB}, .state = MemberState::kSuspect},
      {.info = {.id = kC}, .state = MemberState::kDead},
      {.info = {.id = InstanceId("d")}, .state = MemberState::kLeft},
  };
  const FloorMembers asked = SelectFloorMembers(members);
  BOOST_TEST(asked.size() == 2);
  BOOST_TEST(asked.contains(kB));
}

}  // namespace
}  // namespace bluebellpass
