#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "fakes.h"
#include "gateway-fakes.h"
#include "gateway/fleet/relay.h"
#include "gateway/state/routing-state.h"

namespace bluebellpass::gateway {
namespace {

// Announced changes of a large configuration exceed the bound of relayed changes for this fleet.
constexpr std::size_t kInstances = 90;
constexpr std::size_t kLargeBytes = 12'000;

StoredObject MakeObject(const std::string& name, std::uint64_t revision, nlohmann::json spec) {
  return {name, Revision(revision), false, std::make_shared<const nlohmann::json>(std::move(spec))};
}

/// A configuration that differs from other versions in all of a large text, so that neither it nor
/// a patch to it is relayed.
StoredObject MakeLargeConfig(std::uint64_t version) {
  const char filler = static_cast<char>('a' + version % 26);
  return MakeObject("main", version,
                    {{"version", version}, {"routes", std::string(kLargeBytes, filler)}});
}

/// An instance with its copy of the configuration.
struct TestInstance {
  explicit TestInstance(ManualClock& shared) : clock(shared) {
    config.Start();
    config_store.AnswerLastCall(ObjectPage{{MakeLargeConfig(10)}, false, Revision(10)});
    backends.Start();
    backends_store.AnswerLastCall(ObjectPage{{}, false, Revision(10)});
    // From here on the store answers only what a test answers.
    config_timers.AdvanceToNextTimer();
    backends_timers.AdvanceToNextTimer();
  }
  void OnConfig(const StoredObject& object) {
    specs[object.name] = *object.spec;
    Config decoded;
    decoded.version = ConfigVersion(object.spec->at("version").get<std::uint64_t>());
    state.SetConfig(std::move(decoded));
    relay.SetDiffBase(object);
  }

  ManualClock& clock;
  RoutingState state{clock, {}};
  FakeStoreClient config_store;
  FakeStoreClient backends_store;
  ManualTimers config_timers;
  ManualTimers backends_timers;
  std::map<std::string, nlohmann::json> specs;
  ObjectWatch config{config_store,
                     config_timers,
                     clock,
                     ObjectKind::kConfig,
                     WatchOptions{},
                     {[this](const StoredObject& object) { OnConfig(object); }, nullptr,
                      [this](BootTime at) { state.ConfirmConfig(at); }, nullptr}};
  ObjectWatch backends{backends_store, backends_timers,
                       clock,          ObjectKind::kBackends,
                       WatchOptions{}, {[](const StoredObject&) {}, nullptr, nullptr, nullptr}};
  ObjectRelay relay{clock, config, backends};
};

struct Fixture {
  Fixture() {
    coordinator.relay.OnCoordinatorChanged(false);
    follower.relay.OnCoordinatorChanged(true);
  }

  /// Changes the configuration. The store answers the coordinator only.
  void ChangeConfig(const StoredObject& object) {
    const ObjectMessage message =
        coordinator.relay.MakeAnnouncement(ObjectKind::kConfig, object, kInstances);
    coordinator.config_store.AnswerLastCall(ObjectPage{{object}, false, object.revision});
    coordinator.config_timers.AdvanceToNextTimer();
    if (is_linked) follower.relay.OnObject(message);
  }
  /// Exchanges messages over the link for this long, with a probe in each step.
  void Run(Millis duration) {
    constexpr Millis kStep{100};
    for (Millis passed{0}; passed < duration; passed += kStep) {
      clock.Advance(kStep);
      coordinator.config_store.AnswerLastCall(
          ObjectPage{{}, false, coordinator.config.SeenRevision()});
      coordinator.config_timers.AdvanceToNextTimer();
      follower.relay.UpdateSuspension();
      if (is_linked)
        follower.relay.OnConfirm(coordinator.relay.AnswerProbe(follower.relay.MakeProbe()));
    }
  }

  ManualClock clock;
  TestInstance coordinator{clock};
  TestInstance follower{clock};
  bool is_linked = true;
};

}  // namespace

// Guards against an instance that refuses all requests with a key while the store does not answer
// it, although its link to the coordinator is up: changes that are only announced must reach it.
BOOST_FIXTURE_TEST_CASE(AnnouncedChangesReachInstanceWithoutStore, Fixture) {
  Run(Millis{1'000});
  BOOST_TEST(follower.state.MayAcceptKeys());
  ChangeConfig(MakeLargeConfig(20));
  Run(Millis{200});
  ChangeConfig(MakeLargeConfig(21));
  Run(Millis{6'000});
  BOOST_TEST((follower.config.SeenRevision() == Revision(21)));
  BOOST_TEST((follower.specs["main"] == *MakeLargeConfig(21).spec));
  BOOST_TEST(follower.state.MayAcceptKeys());
}

// Guards against the same over a new link, whose first confirmation names a revision that the
// instance has not seen.
BOOST_FIXTURE_TEST_CASE(ChangesDuringLossOfLinkReachInstanceWithoutStore, Fixture) {
  is_linked = false;
  ChangeConfig(MakeLargeConfig(20));
  ChangeConfig(MakeLargeConfig(21));
  Run(Millis{5'000});
  BOOST_TEST(!follower.state.MayAcceptKeys());
  is_linked = true;
  follower.relay.OnCoordinatorChanged(true);
  Run(Millis{1'000});
  BOOST_TEST((follower.specs["main"] == *MakeLargeConfig(21).spec));
  BOOST_TEST(follower.state.MayAcceptKeys());
}

}  // namespace bluebellpass::gateway
