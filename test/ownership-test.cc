#include "peer/ownership.h"

#include <boost/test/unit_test.hpp>

namespace bluebellpass {
namespace {

const InstanceId kSelf{"self"};
const CellId kCell{.pool = PoolName("p"), .region = Region("r")};

Member MakeMember(const std::string& name, MemberState state) {
  Member member;
  member.info.id = InstanceId(name);
  member.info.region = kCell.region;
  member.state = state;
  return member;
}

std::vector<Member> MembersOfAllStates() {
  return {MakeMember("self", MemberState::kAlive), MakeMember("b", MemberState::kAlive),
          MakeMember("c", MemberState::kSuspect), MakeMember("d", MemberState::kDead)};
}

ClusterConfig ConfigOf(std::int64_t slots, std::int64_t tokens) {
  ClusterConfig config;
  config.backends = {{.id = BackendId("s"), .slots = slots, .token_capacity = tokens}};
  return config;
}

// Guards against a benchmark baseline that gives a cell to another instance, so that instances
// would coordinate after all.
BOOST_AUTO_TEST_CASE(BaselinesOwnEveryCell) {
  for (const OwnershipKind kind : {OwnershipKind::kPerInstance, OwnershipKind::kStaticShare}) {
    const auto ownership = MakeOwnership(kind, kSelf);
    for (const char* pool : {"p", "q", "x", "y"}) {
      const CellId cell{.pool = PoolName(pool), .region = kCell.region};
      BOOST_TEST((ownership->FindOwner(cell, MembersOfAllStates()) == kSelf));
    }
  }
}

// Guards against instances that compute different owners from the same members, which would split
// the queue of a cell.
BOOST_AUTO_TEST_CASE(AllInstancesComputeTheSameOwner) {
  const auto here = MakeOwnership(OwnershipKind::kSingleOwner, kSelf);
  const auto there = MakeOwnership(OwnershipKind::kSingleOwner, InstanceId("b"));
  BOOST_TEST((here->FindOwner(kCell, MembersOfAllStates()) ==
              there->FindOwner(kCell, MembersOfAllStates())));
}

// Guards against unused capacity, from shares that count dead instances or round the slots of a
// server down to 0.
BOOST_AUTO_TEST_CASE(StaticSharesDivideByTheRunningInstances) {
  const auto ownership = MakeOwnership(OwnershipKind::kStaticShare, kSelf);
  const ClusterConfig large = ownership->OwnedConfig(ConfigOf(7, 900), MembersOfAllStates());
  BOOST_TEST(large.backends.front().slots == 2);
  BOOST_TEST(large.backends.front().token_capacity == 300);
  const ClusterConfig small = ownership->OwnedConfig(ConfigOf(2, 900), MembersOfAllStates());
  BOOST_TEST(small.backends.front().slots == 1);
}

// Guards against a single owner that grants only a share of the capacity.
BOOST_AUTO_TEST_CASE(SingleOwnerGrantsTheWholeCapacity) {
  const auto ownership = MakeOwnership(OwnershipKind::kSingleOwner, kSelf);
  const ClusterConfig whole = ownership->OwnedConfig(ConfigOf(7, 900), MembersOfAllStates());
  BOOST_TEST(whole.backends.front().slots == 7);
  BOOST_TEST(whole.backends.front().token_capacity == 900);
}

}  // namespace
}  // namespace bluebellpass
