#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "fakes.h"
#include "gateway-fakes.h"
#include "gateway/relay.h"

namespace bluebellpass::gateway {
namespace {

/// One instance with its watches.
struct Node {
  /// @param is_listed false leaves the first lists unanswered
  explicit Node(ManualClock& shared, bool is_listed = true) : clock(shared) {
    config.Start();
    backends.Start();
    if (!is_listed) return;
    AnswerConfig(ObjectPage{{}, false, Revision(10)});
    backends_feed.Answer(ObjectPage{{}, false, Revision(10)});
  }
  void AnswerConfig(Result<ObjectPage> page) { config_feed.Answer(std::move(page)); }

  ManualClock& clock;
  FakeStoreClient config_feed;
  FakeStoreClient backends_feed;
  ManualTimers config_timers;
  ManualTimers backends_timers;
  std::map<std::string, std::uint64_t> seen;
  nlohmann::json spec;
  std::optional<BootTime> proved;
  ObjectWatch config{config_feed,
                     config_timers,
                     clock,
                     ObjectKind::kConfig,
                     WatchOptions{},
                     {[this](const StoredObject& object) {
                        seen[object.name] = object.revision.Value();
                        if (object.spec) spec = *object.spec;
                      },
                      nullptr, [this](BootTime at) { proved = at; }, nullptr}};
  ObjectWatch backends{backends_feed,  backends_timers,
                       clock,          ObjectKind::kBackends,
                       WatchOptions{}, {[](const StoredObject&) {}, nullptr, nullptr, nullptr}};
  ObjectRelay relay{clock, config, backends};
};

struct Fixture {
  ManualClock clock;
  Node coordinator{clock};
  Node follower{clock};

  /// A probe and its answer over a link that delays each by some time.
  void Probe(Millis out, Millis back) {
    const ProbeMessage probe = follower.relay.MakeProbe();
    clock.Advance(out);
    const ConfirmMessage confirm = coordinator.relay.AnswerProbe(probe);
    clock.Advance(back);
    follower.relay.OnConfirm(confirm);
  }
};

StoredObject ConfigAt(std::uint64_t revision) {
  return {"main", Revision(revision), false,
          std::make_shared<const nlohmann::json>(nlohmann::json{{"version", revision}})};
}

/// A configuration too large to be sent whole to a hundred instances.
StoredObject LargeConfigAt(std::uint64_t revision) {
  return {"main", Revision(revision), false,
          std::make_shared<const nlohmann::json>(
              nlohmann::json{{"version", revision}, {"routes", std::string(12'000, 'r')}})};
}

}  // namespace

// Guards against a follower that goes on calling the store, or stops before it has seen all.
BOOST_FIXTURE_TEST_CASE(FollowerStopsOnceItHasSeenAll, Fixture) {
  coordinator.relay.OnCoordinatorChanged(false);
  coordinator.config_timers.FireNext();
  coordinator.AnswerConfig(ObjectPage{{ConfigAt(15)}, false, Revision(15)});
  follower.relay.OnCoordinatorChanged(true);
  Probe(Millis{1}, Millis{1});
  BOOST_TEST(!follower.config.IsSuspended());
  follower.config_timers.FireNext();
  follower.AnswerConfig(ObjectPage{{ConfigAt(15)}, false, Revision(15)});
  Probe(Millis{1}, Millis{1});
  BOOST_TEST(follower.config.IsSuspended());
  BOOST_TEST(!coordinator.config.IsSuspended());
}

// Guards against changes that a follower never hears of: those that a coordinator which is still
// starting finds in its first list are not announced, so a follower must not rely on it before.
BOOST_FIXTURE_TEST_CASE(CoordinatorWithoutAViewIsNotReliedOn, Fixture) {
  Node starting{clock, false};
  const auto probe = [&] {
    const ProbeMessage message = follower.relay.MakeProbe();
    follower.relay.OnConfirm(starting.relay.AnswerProbe(message));
  };
  starting.relay.OnCoordinatorChanged(false);
  follower.relay.OnCoordinatorChanged(true);
  probe();
  BOOST_TEST(!follower.config.IsSuspended());
  BOOST_TEST(!starting.config.HasInitialList());
  starting.AnswerConfig(ObjectPage{{ConfigAt(15)}, false, Revision(15)});
  BOOST_TEST(starting.config.HasInitialList());
  probe();
  BOOST_TEST(!follower.config.IsSuspended());
  follower.config_timers.FireNext();
  follower.AnswerConfig(ObjectPage{{ConfigAt(15)}, false, Revision(15)});
  BOOST_TEST(follower.seen["main"] == 15U);
  probe();
  BOOST_TEST(follower.config.IsSuspended());
}

// Guards against a proof that looks younger than it is because a frame was delayed on its way: by
// the time it arrives the configuration may have been replaced.
BOOST_FIXTURE_TEST_CASE(DelayedProofIsOld, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  Probe(Millis{1}, Millis{1});
  const BootTime sent = clock.Now();
  Probe(Millis{3'000}, Millis{4'000});
  // The coordinator's own proof was older than the probe; neither delay may make it younger.
  BOOST_TEST((*follower.proved <= sent));
  BOOST_TEST(!follower.config.IsSuspended());
}

// Guards against a follower that trusts a coordinator that has lost the store.
BOOST_FIXTURE_TEST_CASE(OldProofsBringTheFollowerBack, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  Probe(Millis{1}, Millis{1});
  BOOST_TEST(follower.config.IsSuspended());
  for (int i = 0; i < 5; ++i) {
    clock.Advance(Millis{300});
    Probe(Millis{1}, Millis{1});
  }
  BOOST_TEST(!follower.config.IsSuspended());
}

// Guards against changes that do not reach a follower that has stopped calling the store.
BOOST_FIXTURE_TEST_CASE(ChangesAreTakenOver, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  Probe(Millis{1}, Millis{1});
  follower.relay.OnObject(coordinator.relay.Announce(ObjectKind::kConfig, ConfigAt(20), 8));
  BOOST_TEST(follower.seen["main"] == 20U);
  // An older announcement that comes late changes nothing.
  follower.relay.OnObject(coordinator.relay.Announce(ObjectKind::kConfig, ConfigAt(19), 8));
  BOOST_TEST(follower.seen["main"] == 20U);
}

// Guards against configurations that fill a slow link: large fleets only hear that there is a new
// one, and must not rely on the coordinator before they have read it.
BOOST_FIXTURE_TEST_CASE(LargeFleetsReadTheConfiguration, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  Probe(Millis{1}, Millis{1});
  BOOST_TEST(follower.config.IsSuspended());
  const ObjectMessage message =
      coordinator.relay.Announce(ObjectKind::kConfig, LargeConfigAt(20), 90);
  BOOST_TEST(message.spec.empty());
  follower.relay.OnObject(message);
  BOOST_TEST(!follower.config.IsSuspended());
  const auto proved = follower.proved;
  Probe(Millis{1}, Millis{1});
  BOOST_TEST((follower.proved == proved));
}

// Guards against calls that each start of an instance costs: one that finds a coordinator soon
// after its first lists has no need to wait for changes at the store.
BOOST_FIXTURE_TEST_CASE(FollowerListsOnlyOnce, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  Probe(Millis{1}, Millis{1});
  follower.config_timers.FireNext();
  follower.backends_timers.FireNext();
  BOOST_TEST(follower.config_feed.calls.size() == 1U);
  BOOST_TEST(follower.backends_feed.calls.size() == 1U);
  // It calls again once the proofs are missing.
  clock.Advance(Millis{2'000});
  follower.relay.Update();
  follower.config_timers.FireNext();
  BOOST_TEST(follower.config_feed.calls.size() == 2U);
}

// Guards against outages of the store in which each instance goes on calling it at the rate of the
// coordinator, which is the one to find that it answers again.
BOOST_FIXTURE_TEST_CASE(FollowersSearchForTheStoreSlowly, Fixture) {
  const auto calls_in = [&](Node& node, Millis span) {
    const std::size_t before = node.config_feed.calls.size();
    Millis passed{0};
    while (passed < span) {
      passed += node.config_timers.FireNext().value_or(span);
      node.AnswerConfig(Error{ErrorKind::kStoreUnavailable, "", ""});
    }
    return node.config_feed.calls.size() - before;
  };
  coordinator.relay.OnCoordinatorChanged(false);
  follower.relay.OnCoordinatorChanged(true);
  clock.Advance(Millis{5'000});
  const Millis outage{10'000};
  BOOST_TEST(calls_in(coordinator, outage) >= 20U);
  BOOST_TEST(calls_in(follower, outage) <= 11U);
}

// Guards against a call of each instance of a large fleet for each change of the configuration.
BOOST_FIXTURE_TEST_CASE(LargeFleetsAreSentTheDifference, Fixture) {
  const StoredObject before = LargeConfigAt(15);
  coordinator.relay.SetDiffBase(before);
  follower.relay.SetDiffBase(before);
  follower.relay.OnCoordinatorChanged(true);
  Probe(Millis{1}, Millis{1});
  const ObjectMessage message =
      coordinator.relay.Announce(ObjectKind::kConfig, LargeConfigAt(20), 90);
  BOOST_TEST(message.spec.empty());
  follower.relay.OnObject(message);
  BOOST_TEST(follower.seen["main"] == 20U);
  BOOST_TEST(follower.spec == *LargeConfigAt(20).spec);
  BOOST_TEST(follower.config.IsSuspended());
}

// Guards against a difference that is applied to another state than it was made from, and against
// one that cannot be applied: both must be read from the store.
BOOST_FIXTURE_TEST_CASE(UnfitDifferenceIsReadFromTheStore, Fixture) {
  coordinator.relay.SetDiffBase(LargeConfigAt(15));
  follower.relay.SetDiffBase(LargeConfigAt(14));
  follower.relay.OnCoordinatorChanged(true);
  Probe(Millis{1}, Millis{1});
  ObjectMessage message = coordinator.relay.Announce(ObjectKind::kConfig, LargeConfigAt(20), 90);
  follower.relay.OnObject(message);
  BOOST_TEST(follower.seen["main"] == 0U);
  BOOST_TEST(!follower.config.IsSuspended());
  follower.relay.SetDiffBase(LargeConfigAt(15));
  message.patch = R"([{"op":"remove","path":"/absent"}])";
  follower.relay.OnObject(message);
  BOOST_TEST(follower.seen["main"] == 0U);
  BOOST_TEST(!follower.config.IsSuspended());
}

// Guards against a large change that fills a slow link.
BOOST_FIXTURE_TEST_CASE(LargeDifferenceIsOnlyAnnounced, Fixture) {
  coordinator.relay.SetDiffBase(ConfigAt(15));
  StoredObject large = ConfigAt(20);
  large.spec = std::make_shared<const nlohmann::json>(
      nlohmann::json{{"version", 20}, {"routes", std::string(10'000, 'r')}});
  const ObjectMessage message = coordinator.relay.Announce(ObjectKind::kConfig, large, 90);
  BOOST_TEST(message.spec.empty());
  BOOST_TEST(message.patch.empty());
}

// Guards against proofs of a coordinator that is followed no longer.
BOOST_FIXTURE_TEST_CASE(FormerCoordinatorProvesNothing, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  Probe(Millis{1}, Millis{1});
  follower.relay.OnCoordinatorChanged(false);
  BOOST_TEST(!follower.config.IsSuspended());
  const auto proved = follower.proved;
  clock.Advance(Millis{100});
  Probe(Millis{1}, Millis{1});
  BOOST_TEST((follower.proved == proved));
}

}  // namespace bluebellpass::gateway
