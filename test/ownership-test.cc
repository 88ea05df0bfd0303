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

std::vector<Member> ThreeMembers() {
  return {MakeMember("self", MemberState::kAlive), MakeMember("b", MemberState::kAlive),
          MakeMember("c", MemberState::kSuspect), MakeMember("d", MemberState::kDead)};
}

ClusterConfig ConfigOf(std::int64_t slots, std::int64_t tokens) {
  ClusterConfig config;
  config.backends = {{.id = BackendId("s"), .slots = slots, .token_capacity = tokens}};
  return config;
}

// A benchmark's baseline that used other instances' views would be no baseline.
BOOST_AUTO_TEST_CASE(BaselinesOwnEveryCellThemselves) {
  for (const OwnershipKind kind : {OwnershipKind::kPerInstance, OwnershipKind::kStaticShare}) {
    const auto ownership = MakeOwnership(kind, kSelf);
    for (const char* pool : {"p", "q", "x", "y"}) {
      const CellId cell{.pool = PoolName(pool), .region = kCell.region};
      BOOST_TEST((ownership->FindOwner(cell, ThreeMembers()) == kSelf));
    }
  }
}

// Instances that compute different owners from the same view would split the queue.
BOOST_AUTO_TEST_CASE(SharedOwnerDoesNotDependOnTheInstanceThatAsks) {
  const auto here = MakeOwnership(OwnershipKind::kSingleOwner, kSelf);
  const auto there = MakeOwnership(OwnershipKind::kSingleOwner, InstanceId("b"));
  BOOST_TEST((here->FindOwner(kCell, ThreeMembers()) == there->FindOwner(kCell, ThreeMembers())));
}

// Shares that count dead instances, or that leave a server without a slot, would idle capacity.
BOOST_AUTO_TEST_CASE(StaticSharesDivideByTheRunningInstances) {
  const auto ownership = MakeOwnership(OwnershipKind::kStaticShare, kSelf);
  const ClusterConfig large = ownership->OwnedConfig(ConfigOf(7, 900), ThreeMembers());
  BOOST_TEST(large.backends.front().slots == 2);
  BOOST_TEST(large.backends.front().token_capacity == 300);
  const ClusterConfig small = ownership->OwnedConfig(ConfigOf(2, 900), ThreeMembers());
  BOOST_TEST(small.backends.front().slots == 1);
}

// The project's own policy must see the whole capacity.
BOOST_AUTO_TEST_CASE(SharedOwnerGrantsTheWholeCapacity) {
  const auto ownership = MakeOwnership(OwnershipKind::kSingleOwner, kSelf);
  const ClusterConfig whole = ownership->OwnedConfig(ConfigOf(7, 900), ThreeMembers());
  BOOST_TEST(whole.backends.front().slots == 7);
  BOOST_TEST(whole.backends.front().token_capacity == 900);
}

}  // namespace
}  // namespace bluebellpass
