#include "peer/membership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>

namespace bluebellpass {
namespace {

constexpr unsigned kSeed = 11;
constexpr int kMembers = 50;

InstanceInfo Info(const std::string& id, std::uint64_t incarnation = 1) {
  InstanceInfo info;
  info.id = InstanceId(id);
  info.incarnation = Incarnation(incarnation);
  return info;
}

MemberUpdate Update(const std::string& id, std::uint64_t incarnation, MemberState state,
                    std::uint64_t sequence) {
  return {{Info(id, incarnation), state, 0}, sequence};
}

/// Two members, a and b. The tests check the view of a.
struct Fixture {
  TimePoint now{std::chrono::hours(1)};
  Membership a{Info("a"), now, kSeed, nullptr};
  Membership b{Info("b"), now, kSeed, nullptr};

  Fixture() { a.RecordHello(Info("b"), now); }

  const Member* MemberB() const { return a.Find(InstanceId("b")); }
  MemberState StateOfB() const { return MemberB()->state; }
  void Advance(Millis time) {
    for (Millis done{0}; done < time; done += Millis{100}) {
      now += Millis{100};
      a.Tick(now);
    }
  }
};

}  // namespace

// Guards against a silent member that is never suspected, or is declared dead before it had time to
// refute the suspicion.
BOOST_FIXTURE_TEST_CASE(SilentMemberIsSuspectedAndDies, Fixture) {
  Advance(kProbePeriod + kProbeTimeout - Millis{100});
  BOOST_TEST((StateOfB() == MemberState::kAlive));
  Advance(Millis{100});
  BOOST_TEST((StateOfB() == MemberState::kSuspect));
  Advance(kSuspicionTimeout - Millis{100});
  BOOST_TEST((StateOfB() == MemberState::kSuspect));
  Advance(Millis{100});
  BOOST_TEST((StateOfB() == MemberState::kDead));
  Advance(kForgetAfter);
  BOOST_TEST(MemberB() == nullptr);
}

// Guards against the suspicion of a member that sends heartbeats.
BOOST_FIXTURE_TEST_CASE(HeartbeatsKeepAMemberAlive, Fixture) {
  for (int i = 0; i < 20; ++i) {
    Advance(Millis{500});
    a.RecordHeartbeat(InstanceId("b"), 5);
  }
  BOOST_TEST((StateOfB() == MemberState::kAlive));
  BOOST_TEST(MemberB()->uptime_seconds == 5U);
}

// Guards against a live member that cannot refute that it is suspected or dead.
BOOST_FIXTURE_TEST_CASE(MemberRefutesSuspicionAndDeath, Fixture) {
  std::uint64_t sequence = 0;
  for (const MemberState state : {MemberState::kSuspect, MemberState::kDead}) {
    sequence += 5;
    a.Merge({Update("b", 1, state, sequence)}, now);
    BOOST_TEST((StateOfB() == state));
    const auto claim = a.GossipFor(InstanceId("b"), false, now);
    BOOST_REQUIRE(!claim.empty());
    BOOST_TEST(claim.front().member.info.id.Text() == "b");
    b.Merge(claim, now);
    a.Merge(b.GossipFor(InstanceId("a"), false, now), now);
    BOOST_TEST((StateOfB() == MemberState::kAlive));
  }
}

// Guards against stale gossip that revives a dead member or replaces a restarted one by its former
// incarnation.
BOOST_FIXTURE_TEST_CASE(NewerIncarnationReplacesOlder, Fixture) {
  a.Merge({Update("b", 1, MemberState::kDead, 7)}, now);
  a.Merge({Update("b", 1, MemberState::kAlive, 7)}, now);
  BOOST_TEST((StateOfB() == MemberState::kDead));
  a.Merge({Update("b", 2, MemberState::kAlive, 0)}, now);
  BOOST_TEST((StateOfB() == MemberState::kAlive));
  BOOST_TEST(MemberB()->info.incarnation.Value() == 2U);
  a.Merge({Update("b", 1, MemberState::kDead, 99)}, now);
  BOOST_TEST((StateOfB() == MemberState::kAlive));
}

// Guards against a planned stop that is reported as a death, and against dead members that gossip
// spreads for ever.
BOOST_FIXTURE_TEST_CASE(LeaveIsAnnounced, Fixture) {
  b.Leave();
  a.Merge(b.GossipFor(InstanceId("a"), false, now), now);
  BOOST_TEST(MemberB()->info.is_leaving);
  BOOST_TEST((StateOfB() == MemberState::kAlive));
  Advance(kProbePeriod + kProbeTimeout + kSuspicionTimeout);
  BOOST_TEST((StateOfB() == MemberState::kLeft));
  a.Merge({Update("z", 1, MemberState::kDead, 1)}, now);
  BOOST_TEST(a.Find(InstanceId("z")) == nullptr);
}

// Guards against frames that grow with the fleet, and against members that are never included.
BOOST_FIXTURE_TEST_CASE(GossipIsBoundedAndCoversAll, Fixture) {
  for (int i = 0; i < 100; ++i) a.RecordHello(Info("m" + std::to_string(i)), now);
  a.Merge({Update("m50", 1, MemberState::kSuspect, 0)}, now);
  BOOST_TEST(a.GossipFor(InstanceId("b"), true, now).front().member.info.id.Text() == "m50");
  std::map<InstanceId, int> seen;
  for (int i = 0; i < 200; ++i) {
    const auto gossip = a.GossipFor(InstanceId("b"), true, now);
    BOOST_TEST(gossip.size() <= kMaxGossip);
    for (const MemberUpdate& update : gossip) ++seen[update.member.info.id];
  }
  BOOST_TEST(seen.size() == 102U);
}

// Guards against updates that do not reach all members.
BOOST_AUTO_TEST_CASE(FiftyMembersConverge) {
  TimePoint now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<Membership>> all;
  std::map<InstanceId, Membership*> by_id;
  for (int i = 0; i < kMembers; ++i) {
    const InstanceInfo info = Info("m" + std::to_string(i));
    all.push_back(std::make_unique<Membership>(info, now, kSeed + i, nullptr));
    by_id[info.id] = all.back().get();
    // At the start each instance knows only the first one.
    if (i > 0) all.back()->RecordHello(all.front()->Self(), now);
  }
  const auto exchange = [&](Membership& from, Membership& to) {
    to.RecordHello(from.Self(), now);
    to.Merge(from.GossipFor(to.Self().id, true, now), now);
    from.RecordHeartbeat(to.Self().id, 1);
    from.Merge(to.GossipFor(from.Self().id, false, now), now);
  };
  const auto run = [&](int seconds, std::size_t first) {
    for (int tick = 0; tick < seconds * 10; ++tick) {
      now += Millis{100};
      for (std::size_t i = first; i < all.size(); ++i) {
        const auto probe = all[i]->Tick(now);
        if (probe && (first == 0 || *probe != all[0]->Self().id)) exchange(*all[i], *by_id[*probe]);
      }
    }
  };
  run(30, 0);
  for (const auto& member : all) BOOST_TEST(member->Members(now).size() == kMembers);
  // The first member stops answering. All others must learn that it is dead.
  run(60, 1);
  for (std::size_t i = 1; i < all.size(); ++i) {
    for (const Member& member : all[i]->Members(now)) {
      const bool is_silent = member.info.id == all[0]->Self().id;
      BOOST_TEST((member.state == (is_silent ? MemberState::kDead : MemberState::kAlive)));
    }
  }
}

}  // namespace bluebellpass
