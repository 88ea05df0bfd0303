#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "fakes.h"
#include "gateway-fakes.h"
#include "gateway/fleet/relay.h"

namespace bluebellpass::gateway {
namespace {

/// An instance with its watches and fake stores.
struct TestInstance {
  /// @param has_lists false leaves the first lists unanswered
  explicit TestInstance(ManualClock& shared, bool has_lists = true) : clock(shared) {
    config.Start();
    backends.Start();
    if (!has_lists) return;
    AnswerConfig(ObjectPage{{}, false, Revision(10)});
    backends_store.AnswerLastCall(ObjectPage{{}, false, Revision(10)});
  }
  void AnswerConfig(Result<ObjectPage> page) { config_store.AnswerLastCall(std::move(page)); }

  ManualClock& clock;
  FakeStoreClient config_store;
  FakeStoreClient backends_store;
  ManualTimers config_timers;
  ManualTimers backends_timers;
  std::map<std::string, std::uint64_t> revisions;
  nlohmann::json spec;
  std::optional<BootTime> confirmed_at;
  ObjectWatch config{config_store,
                     config_timers,
                     clock,
                     ObjectKind::kConfig,
                     WatchOptions{},
                     {[this](const StoredObject& object) {
                        revisions[object.name] = object.revision.Value();
                        if (object.spec) spec = *object.spec;
                      },
                      nullptr, [this](BootTime at) { confirmed_at = at; }, nullptr}};
  ObjectWatch backends{backends_store, backends_timers,
                       clock,          ObjectKind::kBackends,
                       WatchOptions{}, {[](const StoredObject&) {}, nullptr, nullptr, nullptr}};
  ObjectRelay relay{clock, config, backends};
};

struct Fixture {
  ManualClock clock;
  TestInstance coordinator{clock};
  TestInstance follower{clock};

  /// Exchanges a probe and its answer over a link that delays them.
  void ProbeCoordinator(Millis request_delay, Millis reply_delay) {
    const ProbeMessage probe = follower.relay.MakeProbe();
    clock.Advance(request_delay);
    const ConfirmMessage confirm = coordinator.relay.AnswerProbe(probe);
    clock.Advance(reply_delay);
    follower.relay.OnConfirm(confirm);
  }
};

StoredObject MakeConfig(std::uint64_t revision) {
  return {"main", Revision(revision), false,
          std::make_shared<const nlohmann::json>(nlohmann::json{{"version", revision}})};
}

/// A configuration that is too large to be sent in full to 90 instances.
StoredObject MakeLargeConfig(std::uint64_t revision) {
  return {"main", Revision(revision), false,
          std::make_shared<const nlohmann::json>(
              nlohmann::json{{"version", revision}, {"routes", std::string(12'000, 'r')}})};
}

}  // namespace

// Guards against a follower that keeps calling the store, or stops before it has caught up.
BOOST_FIXTURE_TEST_CASE(FollowerSuspendsWatchOnceCaughtUp, Fixture) {
  coordinator.relay.OnCoordinatorChanged(false);
  coordinator.config_timers.AdvanceToNextTimer();
  coordinator.AnswerConfig(ObjectPage{{MakeConfig(15)}, false, Revision(15)});
  follower.relay.OnCoordinatorChanged(true);
  ProbeCoordinator(Millis{1}, Millis{1});
  BOOST_TEST(!follower.config.IsSuspended());
  follower.config_timers.AdvanceToNextTimer();
  follower.AnswerConfig(ObjectPage{{MakeConfig(15)}, false, Revision(15)});
  ProbeCoordinator(Millis{1}, Millis{1});
  BOOST_TEST(follower.config.IsSuspended());
  BOOST_TEST(!coordinator.config.IsSuspended());
}

// Guards against changes that never reach a follower: a starting coordinator does not announce the
// objects of its first list, so a follower must not rely on it before it has that list.
BOOST_FIXTURE_TEST_CASE(CoordinatorWithoutFirstListIsNotReliedOn, Fixture) {
  TestInstance starting{clock, false};
  const auto probe = [&] {
    const ProbeMessage message = follower.relay.MakeProbe();
    follower.relay.OnConfirm(starting.relay.AnswerProbe(message));
  };
  starting.relay.OnCoordinatorChanged(false);
  follower.relay.OnCoordinatorChanged(true);
  probe();
  BOOST_TEST(!follower.config.IsSuspended());
  BOOST_TEST(!starting.config.HasInitialList());
  starting.AnswerConfig(ObjectPage{{MakeConfig(15)}, false, Revision(15)});
  BOOST_TEST(starting.config.HasInitialList());
  probe();
  BOOST_TEST(!follower.config.IsSuspended());
  follower.config_timers.AdvanceToNextTimer();
  follower.AnswerConfig(ObjectPage{{MakeConfig(15)}, false, Revision(15)});
  BOOST_TEST(follower.revisions["main"] == 15U);
  probe();
  BOOST_TEST(follower.config.IsSuspended());
}

// Guards against a change that never reaches a follower: its coordinator has applied it, as relayed
// by the coordinator before, but has not seen its revision, and announced it before the follower
// came.
BOOST_FIXTURE_TEST_CASE(ChangeBeforeItsRevisionIsNotPassedOver, Fixture) {
  coordinator.config.ApplyRelayed(MakeConfig(15));
  coordinator.relay.OnCoordinatorChanged(false);
  follower.relay.OnCoordinatorChanged(true);
  ProbeCoordinator(Millis{1}, Millis{1});
  BOOST_TEST(!follower.config.IsSuspended());
  coordinator.config.Confirm(Revision(15), clock.Now());
  ProbeCoordinator(Millis{1}, Millis{1});
  BOOST_TEST(!follower.config.IsSuspended());
  BOOST_TEST((follower.config.SeenRevision() == Revision(10)));
  follower.config_timers.AdvanceToNextTimer();
  follower.AnswerConfig(ObjectPage{{MakeConfig(15)}, false, Revision(15)});
  BOOST_TEST(follower.revisions["main"] == 15U);
  ProbeCoordinator(Millis{1}, Millis{1});
  BOOST_TEST(follower.config.IsSuspended());
}

// Guards against a follower that keeps what a restored store has lost: only its own list shows
// that.
BOOST_FIXTURE_TEST_CASE(LaterEraIsReadFromTheStore, Fixture) {
  const Revision restored = MakeRevision(StoreEra(2), 8);
  coordinator.relay.OnCoordinatorChanged(false);
  follower.relay.OnCoordinatorChanged(true);
  ProbeCoordinator(Millis{1}, Millis{1});
  BOOST_TEST(follower.config.IsSuspended());
  coordinator.config.Confirm(restored, clock.Now());
  ProbeCoordinator(Millis{1}, Millis{1});
  BOOST_TEST(!follower.config.IsSuspended());
  BOOST_TEST((follower.config.SeenRevision() == Revision(10)));
  follower.config_timers.AdvanceToNextTimer();
  follower.AnswerConfig(ObjectPage{{}, false, restored});
  ProbeCoordinator(Millis{1}, Millis{1});
  BOOST_TEST(follower.config.IsSuspended());
}

// Guards against a follower of an older build that relies on a coordinator which does not send it
// objects with eras.
BOOST_FIXTURE_TEST_CASE(OlderBuildsGetNoRevisionsWithEras, Fixture) {
  ProbeMessage probe = follower.relay.MakeProbe();
  probe.features = 0;
  BOOST_TEST(coordinator.relay.AnswerProbe(probe).config_revision == 10U);
  coordinator.config.Confirm(MakeRevision(StoreEra(2), 8), clock.Now());
  BOOST_TEST(coordinator.relay.AnswerProbe(probe).config_revision == 0U);
}

// Guards against a change of a lost time that is applied after the store was restored.
BOOST_FIXTURE_TEST_CASE(ObjectOfAnEarlierEraIsIgnored, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  follower.config.Confirm(MakeRevision(StoreEra(2), 8), clock.Now());
  follower.relay.OnObject(
      coordinator.relay.MakeAnnouncement(ObjectKind::kConfig, MakeConfig(20), 8));
  BOOST_TEST(!follower.revisions.contains("main"));
}

// Guards against a confirmation that appears younger than it is because its frame was delayed: when
// it arrives, the configuration may have been replaced.
BOOST_FIXTURE_TEST_CASE(DelayedConfirmationIsNotFresh, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  ProbeCoordinator(Millis{1}, Millis{1});
  const BootTime sent = clock.Now();
  ProbeCoordinator(Millis{3'000}, Millis{4'000});
  // The coordinator's own confirmation is older than the probe; no delay may make it younger.
  BOOST_TEST((*follower.confirmed_at <= sent));
  BOOST_TEST(!follower.config.IsSuspended());
}

// Guards against calls of all followers whenever the coordinator's view is a second old, though the
// platform allows more time for a change.
BOOST_FIXTURE_TEST_CASE(FollowerResumesWatchByTheTimeItHasForAChange, Fixture) {
  const auto is_suspended_after = [&](Millis bound, Millis age) {
    follower.relay.SetReactionBound(bound);
    coordinator.relay.OnCoordinatorChanged(false);
    coordinator.config_timers.AdvanceToNextTimer();
    coordinator.AnswerConfig(ObjectPage{{}, false, Revision(10)});
    follower.relay.OnCoordinatorChanged(true);
    ProbeCoordinator(Millis{1}, Millis{1});
    BOOST_TEST(follower.config.IsSuspended());
    clock.Advance(age);
    ProbeCoordinator(Millis{1}, Millis{1});
    follower.relay.UpdateSuspension();
    return follower.config.IsSuspended();
  };
  BOOST_TEST(is_suspended_after(Millis{4'000}, Millis{2'000}));
  BOOST_TEST(!is_suspended_after(Millis{4'000}, Millis{2'600}));
}

// Guards against a follower that relies on a coordinator without the store.
BOOST_FIXTURE_TEST_CASE(FollowerResumesWatchOnOldConfirmations, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  ProbeCoordinator(Millis{1}, Millis{1});
  BOOST_TEST(follower.config.IsSuspended());
  for (int i = 0; i < 5; ++i) {
    clock.Advance(Millis{300});
    ProbeCoordinator(Millis{1}, Millis{1});
  }
  BOOST_TEST(!follower.config.IsSuspended());
}

// Guards against changes that do not reach a follower whose own watch is suspended.
BOOST_FIXTURE_TEST_CASE(AnnouncedChangesAreApplied, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  ProbeCoordinator(Millis{1}, Millis{1});
  follower.relay.OnObject(
      coordinator.relay.MakeAnnouncement(ObjectKind::kConfig, MakeConfig(20), 8));
  BOOST_TEST(follower.revisions["main"] == 20U);
  // A delayed older announcement changes nothing.
  follower.relay.OnObject(
      coordinator.relay.MakeAnnouncement(ObjectKind::kConfig, MakeConfig(19), 8));
  BOOST_TEST(follower.revisions["main"] == 20U);
}

// Guards against configurations that fill a slow link: the followers in a large fleet are only told
// the new revision, and must not rely on the coordinator before they have read it.
BOOST_FIXTURE_TEST_CASE(LargeConfigIsReadFromTheStore, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  ProbeCoordinator(Millis{1}, Millis{1});
  BOOST_TEST(follower.config.IsSuspended());
  const ObjectMessage message =
      coordinator.relay.MakeAnnouncement(ObjectKind::kConfig, MakeLargeConfig(20), 90);
  BOOST_TEST(message.spec.empty());
  follower.relay.OnObject(message);
  BOOST_TEST(!follower.config.IsSuspended());
  const auto confirmed_at = follower.confirmed_at;
  ProbeCoordinator(Millis{1}, Millis{1});
  BOOST_TEST((follower.confirmed_at == confirmed_at));
}

// Guards against needless store calls at each start of an instance: one that finds a coordinator
// soon after its first lists need not watch the store.
BOOST_FIXTURE_TEST_CASE(FollowerCallsStoreOnlyForFirstLists, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  ProbeCoordinator(Millis{1}, Millis{1});
  follower.config_timers.AdvanceToNextTimer();
  follower.backends_timers.AdvanceToNextTimer();
  BOOST_TEST(follower.config_store.calls.size() == 1U);
  BOOST_TEST(follower.backends_store.calls.size() == 1U);
  // It calls again when confirmations are missing.
  clock.Advance(Millis{2'000});
  follower.relay.UpdateSuspension();
  follower.config_timers.AdvanceToNextTimer();
  BOOST_TEST(follower.config_store.calls.size() == 2U);
}

// Guards against a store outage in which all instances call the store at the coordinator's rate.
// Followers learn from the coordinator when the store answers again.
BOOST_FIXTURE_TEST_CASE(FollowersBackOffLongerThanCoordinator, Fixture) {
  const auto calls_in = [&](TestInstance& instance, Millis duration) {
    const std::size_t before = instance.config_store.calls.size();
    Millis passed{0};
    while (passed < duration) {
      passed += instance.config_timers.AdvanceToNextTimer().value_or(duration);
      instance.AnswerConfig(Error{ErrorKind::kStoreUnavailable, "", ""});
    }
    return instance.config_store.calls.size() - before;
  };
  coordinator.relay.OnCoordinatorChanged(false);
  follower.relay.OnCoordinatorChanged(true);
  clock.Advance(Millis{5'000});
  const Millis outage{10'000};
  BOOST_TEST(calls_in(coordinator, outage) >= 20U);
  BOOST_TEST(calls_in(follower, outage) <= 11U);
}

// Guards against a store call of each instance of a large fleet at each configuration change.
BOOST_FIXTURE_TEST_CASE(LargeConfigIsSentAsPatch, Fixture) {
  const StoredObject before = MakeLargeConfig(15);
  coordinator.relay.SetDiffBase(before);
  follower.relay.SetDiffBase(before);
  follower.relay.OnCoordinatorChanged(true);
  ProbeCoordinator(Millis{1}, Millis{1});
  const ObjectMessage message =
      coordinator.relay.MakeAnnouncement(ObjectKind::kConfig, MakeLargeConfig(20), 90);
  BOOST_TEST(message.spec.empty());
  follower.relay.OnObject(message);
  BOOST_TEST(follower.revisions["main"] == 20U);
  BOOST_TEST(follower.spec == *MakeLargeConfig(20).spec);
  BOOST_TEST(follower.config.IsSuspended());
}

// Guards against a patch that is applied to another revision than its base, and against a patch
// that cannot be applied: both changes must be read from the store.
BOOST_FIXTURE_TEST_CASE(InapplicablePatchIsReadFromTheStore, Fixture) {
  coordinator.relay.SetDiffBase(MakeLargeConfig(15));
  follower.relay.SetDiffBase(MakeLargeConfig(14));
  follower.relay.OnCoordinatorChanged(true);
  ProbeCoordinator(Millis{1}, Millis{1});
  ObjectMessage message =
      coordinator.relay.MakeAnnouncement(ObjectKind::kConfig, MakeLargeConfig(20), 90);
  follower.relay.OnObject(message);
  BOOST_TEST(follower.revisions["main"] == 0U);
  BOOST_TEST(!follower.config.IsSuspended());
  follower.relay.SetDiffBase(MakeLargeConfig(15));
  message.patch = R"([{"op":"remove","path":"/absent"}])";
  follower.relay.OnObject(message);
  BOOST_TEST(follower.revisions["main"] == 0U);
  BOOST_TEST(!follower.config.IsSuspended());
}

// Guards against a large patch that fills a slow link.
BOOST_FIXTURE_TEST_CASE(LargePatchIsNotSent, Fixture) {
  coordinator.relay.SetDiffBase(MakeConfig(15));
  StoredObject large = MakeConfig(20);
  large.spec = std::make_shared<const nlohmann::json>(
      nlohmann::json{{"version", 20}, {"routes", std::string(10'000, 'r')}});
  const ObjectMessage message = coordinator.relay.MakeAnnouncement(ObjectKind::kConfig, large, 90);
  BOOST_TEST(message.spec.empty());
  BOOST_TEST(message.patch.empty());
}

// Guards against confirmations of a coordinator that this instance no longer follows.
BOOST_FIXTURE_TEST_CASE(FormerCoordinatorConfirmsNothing, Fixture) {
  follower.relay.OnCoordinatorChanged(true);
  ProbeCoordinator(Millis{1}, Millis{1});
  follower.relay.OnCoordinatorChanged(false);
  BOOST_TEST(!follower.config.IsSuspended());
  const auto confirmed_at = follower.confirmed_at;
  clock.Advance(Millis{100});
  ProbeCoordinator(Millis{1}, Millis{1});
  BOOST_TEST((follower.confirmed_at == confirmed_at));
}

}  // namespace bluebellpass::gateway
