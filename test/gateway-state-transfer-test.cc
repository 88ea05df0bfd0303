#include <boost/test/unit_test.hpp>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>

#include "fakes.h"
#include "gateway-fakes.h"
#include "gateway/fleet/fleet-frames.h"
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
    rollouts.Start();
    rollouts_store.AnswerLastCall(ObjectPage{{}, false, Revision(10)});
    // From here on the store answers only what a test answers.
    config_timers.AdvanceToNextTimer();
    backends_timers.AdvanceToNextTimer();
    rollouts_timers.AdvanceToNextTimer();
  }
  void OnConfig(const StoredObject& object) {
    specs[object.name] = *object.spec;
    Config decoded;
    decoded.version = ConfigVersion(object.spec->at("version").get<std::uint64_t>());
    state.SetConfig(std::move(decoded));
    relay.RecordObject(ObjectKind::kConfig, object);
  }
  void OnOther(ObjectKind kind, const StoredObject& object) {
    auto& names = kind == ObjectKind::kBackends ? backend_names : rollout_names;
    names.erase(object.name);
    if (!object.is_deleted) names.insert(object.name);
    relay.RecordObject(kind, object);
  }
  ObjectWatch::Events EventsOf(ObjectKind kind) {
    return {[this, kind](const StoredObject& object) { OnOther(kind, object); }, nullptr, nullptr,
            nullptr};
  }

  ManualClock& clock;
  RoutingState state{clock, {}};
  FakeStoreClient config_store;
  FakeStoreClient backends_store;
  ManualTimers config_timers;
  ManualTimers backends_timers;
  FakeStoreClient rollouts_store;
  ManualTimers rollouts_timers;
  std::set<std::string> backend_names;
  std::set<std::string> rollout_names;
  std::map<std::string, nlohmann::json> specs;
  ObjectWatch config{config_store,
                     config_timers,
                     clock,
                     ObjectKind::kConfig,
                     WatchOptions{},
                     {[this](const StoredObject& object) { OnConfig(object); }, nullptr,
                      [this](BootTime at) { state.ConfirmConfig(at); }, nullptr}};
  ObjectWatch backends{backends_store,        backends_timers, clock,
                       ObjectKind::kBackends, WatchOptions{},  EventsOf(ObjectKind::kBackends)};
  ObjectWatch rollouts{rollouts_store,        rollouts_timers, clock,
                       ObjectKind::kRollouts, WatchOptions{},  EventsOf(ObjectKind::kRollouts)};
  ObjectRelay relay{clock, config, backends, &rollouts};
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
  /// Changes backend servers and roll-outs, none of which is announced to the follower.
  void ChangeOthers(const std::vector<StoredObject>& objects, std::uint64_t revision) {
    const ObjectPage page{objects, false, Revision(revision)};
    coordinator.backends_store.AnswerLastCall(page);
    coordinator.backends_timers.AdvanceToNextTimer();
    coordinator.rollouts_store.AnswerLastCall(page);
    coordinator.rollouts_timers.AdvanceToNextTimer();
  }
  void ReconnectFollower() {
    sender.Clear();
    on_link.clear();
    follower.relay.OnCoordinatorChanged(true);
  }
  /// Exchanges messages over the link for this long, with a probe in each step.
  void Run(Millis duration) {
    for (Millis passed{0}; passed < duration; passed += kStep) {
      clock.Advance(kStep);
      if (has_store) {
        coordinator.config_store.AnswerLastCall(
            ObjectPage{{}, false, coordinator.config.SeenRevision()});
        coordinator.config_timers.AdvanceToNextTimer();
      }
      follower.relay.UpdateSuspension();
      if (is_linked) Exchange();
      // The copy of a follower is never taken for newer than that of its coordinator.
      BOOST_TEST_REQUIRE((follower.state.ConfigAge() >= coordinator.state.ConfigAge()));
    }
  }
  void Exchange() {
    if (has_probes)
      follower.relay.OnConfirm(coordinator.relay.AnswerProbe(follower.relay.MakeProbe()));
    for (StateRequestMessage& request : follower.relay.TakeRequests()) {
      ++request_count;
      sender.Add(InstanceId("follower"), std::move(request));
    }
    const auto source = [this](const StateRequestMessage& request) {
      return coordinator.relay.MakeTransfer(request);
    };
    for (auto& [id, piece] : sender.NextPieces(source)) {
      transferred_bytes += piece.bytes.size();
      on_link.push_back(std::move(piece));
    }
    for (const StatePieceMessage& piece : deliver(std::exchange(on_link, {})))
      follower.relay.OnStatePiece(piece);
  }

  static constexpr Millis kStep{50};
  ManualClock clock;
  TestInstance coordinator{clock};
  TestInstance follower{clock};
  bool is_linked = true;
  bool has_store = true;   ///< the store answers the coordinator
  bool has_probes = true;  ///< probes and their answers arrive
  TransferSender sender;
  std::vector<StatePieceMessage> on_link;
  std::size_t request_count = 0;
  std::size_t transferred_bytes = 0;
  /// Returns the pieces that arrive in a step.
  std::function<std::vector<StatePieceMessage>(std::vector<StatePieceMessage>)> deliver =
      [](std::vector<StatePieceMessage> pieces) { return pieces; };
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
  ReconnectFollower();
  Run(Millis{1'000});
  BOOST_TEST((follower.specs["main"] == *MakeLargeConfig(21).spec));
  BOOST_TEST(follower.state.MayAcceptKeys());
}

// Guards against a whole configuration on slow links for each small change: the coordinator knows
// the version that the follower holds.
BOOST_FIXTURE_TEST_CASE(ChangeIsSentAsPatchToHeldVersion, Fixture) {
  nlohmann::json spec = *MakeLargeConfig(10).spec;
  spec["version"] = 20;
  is_linked = false;
  ChangeConfig(MakeObject("main", 20, spec));
  spec["version"] = 21;
  ChangeConfig(MakeObject("main", 21, spec));
  is_linked = true;
  ReconnectFollower();
  Run(Millis{500});
  BOOST_TEST((follower.specs["main"] == spec));
  BOOST_TEST(transferred_bytes < 1'000U);
}

// Guards against an instance that never becomes current because a patch does not fit what it holds:
// it then asks for all in full.
BOOST_FIXTURE_TEST_CASE(PatchToAnotherVersionIsReplacedByWholeObjects, Fixture) {
  is_linked = false;
  nlohmann::json spec = *MakeLargeConfig(10).spec;
  spec["version"] = 20;
  ChangeConfig(MakeObject("main", 20, spec));
  // The same revision with other contents, as after a restored store.
  follower.relay.RecordObject(ObjectKind::kConfig, MakeObject("main", 9, {{"version", 9}}));
  is_linked = true;
  ReconnectFollower();
  Run(Millis{1'000});
  BOOST_TEST((follower.specs["main"] == spec));
  BOOST_TEST(request_count == 2U);
}

// Guards against a mixed or older state after lost, repeated, reordered and late pieces, also of
// older transfers and of a former coordinator, and against a transfer that is not asked for again.
BOOST_FIXTURE_TEST_CASE(DisturbedTransfersLeadToOneVersion, Fixture) {
  std::mt19937 random(11);
  const auto chance = [&](double share) { return std::bernoulli_distribution(share)(random); };
  std::vector<StatePieceMessage> late;
  std::size_t lost = 0;
  deliver = [&](std::vector<StatePieceMessage> pieces) {
    std::vector<StatePieceMessage> arriving;
    for (StatePieceMessage& piece : pieces) {
      if (chance(0.05)) {
        ++lost;
        continue;
      }
      if (chance(0.2)) late.push_back(piece);
      if (chance(0.1)) arriving.push_back(piece);
      arriving.push_back(std::move(piece));
    }
    if (!late.empty() && chance(0.3)) arriving.push_back(late[random() % late.size()]);
    if (chance(0.1)) std::shuffle(arriving.begin(), arriving.end(), random);
    return arriving;
  };
  const auto make_config = [](std::uint64_t version) {
    return MakeObject("main", version,
                      {{"version", version},
                       {"start", version},
                       {"routes", std::string(100'000, static_cast<char>('a' + version % 26))},
                       {"end", version}});
  };
  for (std::uint64_t version = 20; version < 60; ++version) {
    ChangeConfig(make_config(version));
    if (chance(0.2)) ReconnectFollower();
    Run(Millis{50 * static_cast<int>(random() % 30)});
    const nlohmann::json& spec = follower.specs["main"];
    const auto held = spec["version"].get<std::uint64_t>();
    BOOST_TEST((held == 10 || spec == *make_config(held).spec));
    BOOST_TEST((held == follower.config.SeenRevision().Value()));
  }
  BOOST_TEST(lost > 0U);
  deliver = [](std::vector<StatePieceMessage> pieces) { return pieces; };
  Run(Millis{3'000});
  BOOST_TEST((follower.specs["main"] == *make_config(59).spec));
  BOOST_TEST(follower.state.MayAcceptKeys());
}

// Guards against a revoked key that is accepted too long: a transfer that was long under way, from
// a coordinator that the store has not answered for some time, is as old as both together.
BOOST_FIXTURE_TEST_CASE(TransferIsNotTakenForYoungerThanItIs, Fixture) {
  is_linked = false;
  ChangeConfig(MakeLargeConfig(20));
  Run(Millis{6'000});
  BOOST_TEST(!follower.state.MayAcceptKeys());
  has_store = false;
  Run(Millis{3'000});
  const Millis age = coordinator.state.ConfigAge();
  std::vector<StatePieceMessage> held_back;
  deliver = [&](std::vector<StatePieceMessage> pieces) {
    held_back.insert(held_back.end(), pieces.begin(), pieces.end());
    return std::vector<StatePieceMessage>{};
  };
  is_linked = true;
  ReconnectFollower();
  Run(Millis{300});
  has_probes = false;
  Run(Millis{600});
  BOOST_TEST(!held_back.empty());
  for (const StatePieceMessage& piece : held_back) follower.relay.OnStatePiece(piece);
  BOOST_TEST((follower.specs["main"] == *MakeLargeConfig(20).spec));
  BOOST_TEST((follower.state.ConfigAge() >= age + Millis{600}));
  BOOST_TEST(follower.state.MayAcceptKeys());
  // The store has not answered anybody for the bound on revoked keys.
  Run(Millis{1'000});
  BOOST_TEST(!follower.state.MayAcceptKeys());
}

// Guards against backend servers and roll-outs that an instance without the store does not learn
// of, or keeps after their deletion, with few objects (all are named in the request) and many.
BOOST_FIXTURE_TEST_CASE(OtherKindsAndDeletionsAreTransferred, Fixture) {
  std::uint64_t revision = 20;
  const auto change = [&](int first, int last, bool is_deleted) {
    std::vector<StoredObject> objects;
    for (int i = first; i < last; ++i) {
      objects.push_back(MakeObject("o" + std::to_string(i), ++revision, {{"index", i}}));
      objects.back().is_deleted = is_deleted;
    }
    ChangeOthers(objects, revision);
    ReconnectFollower();
    Run(Millis{2'000});
    BOOST_TEST(follower.backend_names == coordinator.backend_names,
               boost::test_tools::per_element());
    BOOST_TEST(follower.rollout_names == coordinator.rollout_names,
               boost::test_tools::per_element());
    BOOST_TEST((follower.backends.SeenRevision() == Revision(revision)));
    BOOST_TEST((follower.rollouts.SeenRevision() == Revision(revision)));
  };
  change(0, 4, false);
  change(1, 3, true);
  change(4, 1'500, false);
  change(10, 20, true);
  // More deletions than are remembered one by one.
  change(20, 1'400, true);
  BOOST_TEST(follower.backend_names.size() == 108U);
}

// Guards against an object that an older transfer, which was under way during the relayed deletion,
// brings back.
BOOST_FIXTURE_TEST_CASE(DeletionDuringTransferStays, Fixture) {
  ChangeOthers({MakeObject("a", 20, {{"index", 1}}), MakeObject("b", 21, {{"index", 2}})}, 21);
  std::vector<StatePieceMessage> held_back;
  deliver = [&](std::vector<StatePieceMessage> pieces) {
    held_back.insert(held_back.end(), pieces.begin(), pieces.end());
    return std::vector<StatePieceMessage>{};
  };
  ReconnectFollower();
  Run(Millis{300});
  follower.relay.OnObject(coordinator.relay.MakeAnnouncement(
      ObjectKind::kBackends, MakeObject("a", 22, {{"index", 3}}), kInstances));
  StoredObject deletion = MakeObject("a", 23, nullptr);
  deletion.is_deleted = true;
  follower.relay.OnObject(
      coordinator.relay.MakeAnnouncement(ObjectKind::kBackends, deletion, kInstances));
  for (const StatePieceMessage& piece : held_back) follower.relay.OnStatePiece(piece);
  BOOST_TEST((follower.backends.SeenRevision() == Revision(21)));
  BOOST_TEST(follower.backend_names == std::set<std::string>{"b"},
             boost::test_tools::per_element());
}

// Guards against a transfer that replaces what the store has told the instance meanwhile, and
// against requests of an instance that the store answers.
BOOST_FIXTURE_TEST_CASE(OwnReadOfTheStoreWins, Fixture) {
  ChangeConfig(MakeLargeConfig(20));
  std::vector<StatePieceMessage> held_back;
  deliver = [&](std::vector<StatePieceMessage> pieces) {
    held_back.insert(held_back.end(), pieces.begin(), pieces.end());
    return std::vector<StatePieceMessage>{};
  };
  Run(Millis{300});
  follower.config_store.AnswerLastCall(ObjectPage{{MakeLargeConfig(25)}, false, Revision(25)});
  for (const StatePieceMessage& piece : held_back) follower.relay.OnStatePiece(piece);
  BOOST_TEST(!held_back.empty());
  BOOST_TEST((follower.specs["main"] == *MakeLargeConfig(25).spec));
  const std::size_t before = request_count;
  Run(Millis{1'000});
  BOOST_TEST(request_count == before);
}

// Guards against a change that counts as applied although it did not fit into a frame: before the
// first confirmation over a link and after it, the follower asks for it.
BOOST_FIXTURE_TEST_CASE(OversizedObjectIsAskedFor, Fixture) {
  for (const std::uint64_t revision : {20U, 30U}) {
    const StoredObject object =
        MakeObject("large", revision, std::string(3U << 20U, static_cast<char>('a' + revision)));
    FleetFrames frames = EncodeFleetFrames(
        {coordinator.relay.MakeAnnouncement(ObjectKind::kBackends, object, kInstances)}, {});
    BOOST_TEST(frames.oversized.size() == 1U);
    const auto decoded = DecodeFleetMessages(frames.payloads.at(0), InstanceId("home"), {});
    BOOST_REQUIRE(IsOk(decoded));
    ChangeOthers({object}, revision);
    follower.relay.OnObject(std::get<ObjectMessage>(std::get<0>(decoded).at(0)));
    Run(Millis{500});
    BOOST_TEST((follower.backends.SeenRevision() < Revision(revision)));
    // Backend servers and roll-outs, 6 MB, at the bounded rate of one piece a step.
    Run(Millis{25'000});
    BOOST_TEST((follower.backends.SeenRevision() == Revision(revision)));
    BOOST_TEST((follower.backends.ObjectRevisions().at("large") == Revision(revision)));
  }
}

// Guards against transfers that fill the coordinator's link: all followers share the bound of a
// step, and each makes progress.
BOOST_AUTO_TEST_CASE(FollowersShareTheBoundedRate) {
  TransferSender sender;
  std::map<InstanceId, std::size_t> received;
  for (int i = 0; i < 10; ++i) {
    StateRequestMessage request;
    request.id = 1;
    sender.Add(InstanceId("f" + std::to_string(i)), request);
  }
  const auto source = [](const StateRequestMessage&) { return std::string(50'000, 'x'); };
  int steps = 0;
  while (true) {
    const auto pieces = sender.NextPieces(source);
    if (pieces.empty()) break;
    std::size_t bytes = 0;
    for (const auto& [id, piece] : pieces) {
      bytes += piece.bytes.size();
      received[id] += piece.bytes.size();
    }
    BOOST_TEST(bytes <= kMaxPieceBytes);
    // Four transfers take turns.
    if (++steps == 4) BOOST_TEST(received.size() == 4U);
  }
  BOOST_TEST(received.size() == 10U);
  for (const auto& [id, bytes] : received) BOOST_TEST(bytes == 50'000U);
}

}  // namespace bluebellpass::gateway
