#include <boost/test/unit_test.hpp>
#include <limits>
#include <set>

#include "fakes.h"
#include "gateway-fakes.h"
#include "gateway/decisions/decision-pace.h"
#include "gateway/fleet/fleet.h"
#include "kernel/loop.h"
#include "raw-server.h"
#include "standins/proxy.h"

/// Which instance coordinates, as an instance decides it from what it knows of the others, and
/// which instances serve its callers.

namespace bluebellpass::gateway {
namespace {

const std::vector<std::string> kKeys{"key"};
constexpr std::uint64_t kMemberCount = 200;
// Longer than the pause after a failed dial, so that the link does not count as one.
constexpr Millis kLastingLink{2'000};
constexpr std::size_t kMaxNamed = 8;
constexpr int kForwardedRequests = 100;
using Revisions = std::set<std::uint64_t>;

Address CallerAddressOf(std::uint64_t revision) {
  return {"127.0.0.1", static_cast<std::uint16_t>(revision)};
}

FleetMember MemberOf(const std::string& id, std::uint64_t revision, double processor_share = 0.25) {
  FleetMember member;
  member.id = InstanceId(id);
  member.caller_address = CallerAddressOf(revision);
  member.registration_revision = revision;
  member.processor_share = processor_share;
  return member;
}

bool IsBefore(const FleetMember& a, const FleetMember& b) {
  return ElectionKey(a) < ElectionKey(b);
}

Address FindFreeAddress(EventLoop& loop) {
  const ListeningSocket listener = OpenListeningSocket(loop, {"127.0.0.1", 0}, 1);
  h2o_socket_close(listener.socket);
  return listener.address;
}

/// An instance of the fleet without callers, backend servers and a store.
struct TestInstance {
  TestInstance(EventLoop& loop, const std::string& id, std::uint64_t registered)
      : address(FindFreeAddress(loop)),
        revision(registered),
        fleet(loop, OptionsOf(id), coordinator, {nullptr, [](bool) {}}) {
    fleet.SetRelay(&relay);
  }
  FleetOptions OptionsOf(const std::string& id) const {
    FleetOptions options;
    options.id = InstanceId(id);
    options.incarnation = Incarnation(1);
    options.caller_address = CallerAddressOf(revision);
    options.peer_address = address;
    options.processor_share = 0.25;
    return options;
  }
  void Start() {
    fleet.SetRegistration(revision);
    BOOST_REQUIRE(IsOk(fleet.Start(kKeys)));
  }
  void Know(const std::string& id, std::uint64_t registered, const Address& peer) {
    FleetMember member = MemberOf(id, registered);
    member.peer_address = peer;
    fleet.AddMember(member);
  }
  void KnowStranded(const std::string& id, std::uint64_t registered) {
    FleetMember member = MemberOf(id, registered);
    member.has_lost_backends = true;
    fleet.AddMember(member);
  }
  /// @return the instances that callers are told, by the revisions of their registrations
  Revisions NamedToCallers() const {
    Revisions named;
    for (const Address& caller : fleet.CallerAddresses(DataCentre(), kMaxNamed))
      named.insert(caller.port);
    return named;
  }
  /// @return the instances that requests are forwarded to, likewise
  Revisions ForwardedTo() const {
    Revisions chosen;
    for (int i = 0; i < kForwardedRequests; ++i)
      if (const auto peer = fleet.ChoosePeer(AttemptId("r" + std::to_string(i)), {}))
        chosen.insert(peer->port);
    return chosen;
  }
  std::string CoordinatorName() const {
    return fleet.CoordinatorId() == nullptr ? "" : fleet.CoordinatorId()->Text();
  }

  Address address;
  std::uint64_t revision;
  ManualClock clock;
  ManualTimers timers;
  FakeStoreClient store;
  ObjectWatch config{store,          timers,
                     clock,          ObjectKind::kConfig,
                     WatchOptions{}, {[](const StoredObject&) {}, nullptr, nullptr, nullptr}};
  ObjectWatch backends{store,          timers,
                       clock,          ObjectKind::kBackends,
                       WatchOptions{}, {[](const StoredObject&) {}, nullptr, nullptr, nullptr}};
  ObjectRelay relay{clock, config, backends};
  Coordinator coordinator;
  Fleet fleet;
};

/// Follows a coordinator and records its messages.
struct RecordingFollower : LinkHandler {
  RecordingFollower(EventLoop& event_loop, const Address& coordinator) : loop(event_loop) {
    context.self.id = InstanceId("recorder");
    context.self.incarnation = Incarnation(1);
    context.keys = kKeys;
    LinkHandler& handler = *this;
    link = std::make_shared<Link>(loop, context, handler, LinkSide::kInitiator);
    BOOST_REQUIRE(link->Connect(coordinator));
  }
  void OnLinkReady(Link&) override {}
  void OnLinkClosed(Link&) override {}
  void OnLinkFrame(Link&, Frame frame) override {
    const auto* payload = std::get_if<FleetFrame>(&frame.body);
    if (payload == nullptr) return;
    auto decoded = DecodeFleetMessages(payload->payload, InstanceId("c"), loop.Now());
    BOOST_REQUIRE(IsOk(decoded));
    for (FleetMessage& message : std::get<0>(decoded)) messages.push_back(std::move(message));
  }

  EventLoop& loop;
  LinkContext context;
  std::shared_ptr<Link> link;
  std::vector<FleetMessage> messages;
};

struct Fixture {
  EventLoop loop;

  template <class Condition>
  bool RunUntil(Condition condition, Millis timeout = Millis{3'000}) {
    const TimePoint end = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < end) loop.RunOnce(Millis{5});
    return condition();
  }
};

/// Three instances, of which the first one coordinates.
struct LinkedFixture : Fixture {
  TestInstance coordinator{loop, "a", 1};
  TestInstance stranded{loop, "b", 2};
  TestInstance other{loop, "c", 3};

  LinkedFixture() {
    coordinator.Start();
    for (TestInstance* follower : {&stranded, &other}) {
      follower->Know("a", 1, coordinator.address);
      follower->Start();
    }
  }
  /// @return true if both the coordinator and the other follower name these instances to callers
  bool AreNamed(const Revisions& expected) const {
    return coordinator.NamedToCallers() == expected && other.NamedToCallers() == expected;
  }
};

}  // namespace

// Guards against a coordinator on a small instance while large ones run, since its work grows with
// the fleet, and against a role that moves between instances of about the same size.
BOOST_AUTO_TEST_CASE(LargerInstancesCoordinateFirst) {
  BOOST_TEST(IsBefore(MemberOf("b", 2, 0.5), MemberOf("a", 1, 0.12)));
  BOOST_TEST(IsBefore(MemberOf("a", 1, 0.25), MemberOf("b", 2, 0.26)));
  BOOST_TEST(IsBefore(MemberOf("a", 1, 0.26), MemberOf("b", 2, 0.25)));
  BOOST_TEST(IsBefore(MemberOf("b", 2, 0.12), MemberOf("a", 1, 0)));
  FleetMember without_store = MemberOf("a", 1, 4);
  without_store.has_lost_store = true;
  BOOST_TEST(IsBefore(MemberOf("b", 2, 0.12), without_store));
}

// Guards against a share from another build or a damaged entry that makes the order inconsistent.
BOOST_AUTO_TEST_CASE(InvalidProcessorSharesComeLast) {
  const double invalid[] = {-1, -0.0, std::numeric_limits<double>::quiet_NaN(),
                            -std::numeric_limits<double>::infinity()};
  for (const double share : invalid) BOOST_TEST(ProcessorClass(share) == ProcessorClass(0));
  BOOST_TEST(ProcessorClass(std::numeric_limits<double>::infinity()) == ProcessorClass(1e9));
  BOOST_TEST(ProcessorClass(1e-300) > ProcessorClass(0));
}

// Guards against decisions that take all of a coordinator's time, so that it answers no heartbeat
// and counts as lost.
BOOST_AUTO_TEST_CASE(LongDecisionsAreFollowedByPauses) {
  const TimePoint start{Millis{1'000}};
  DecisionPace pace;
  BOOST_TEST((pace.TimeUntilNext(start) <= Millis{0}));
  pace.RecordDecision(start, start + Millis{10});
  BOOST_TEST((pace.TimeUntilNext(start + Millis{10}) >= Millis{10}));
  BOOST_TEST((pace.TimeUntilNext(start + Millis{60}) <= Millis{0}));
  // Short decisions are not delayed.
  pace.RecordDecision(start, start + std::chrono::microseconds(100));
  BOOST_TEST((pace.TimeUntilNext(start + std::chrono::microseconds(100)) <= Millis{0}));
  // The process was suspended.
  pace.RecordDecision(start, start + Millis{60'000});
  BOOST_TEST((pace.TimeUntilNext(start + Millis{60'000}) <= Millis{200}));
}

// Guards against followers that pass over a coordinator which is busy with the handshakes of all
// the others: they turn to the next one, come back when it answers, and overload both with their
// reports.
BOOST_FIXTURE_TEST_CASE(BusyCandidateIsNotPassedOver, Fixture) {
  // Accepts connections but does not answer.
  RawServer busy(loop);
  TestInstance next(loop, "next", 2);
  TestInstance follower(loop, "follower", 3);
  next.Start();
  follower.Know("busy", 1, busy.address);
  follower.Know("next", 2, next.address);
  follower.Start();
  BOOST_TEST(!RunUntil([&] { return follower.CoordinatorName() == "next"; }, Millis{700}));
  BOOST_TEST(!busy.streams.empty());
  // One that never answers must not be waited for.
  BOOST_TEST(RunUntil([&] { return follower.CoordinatorName() == "next"; }));
}

// Guards against waiting for a candidate whose process has ended.
BOOST_FIXTURE_TEST_CASE(CandidateThatRefusesConnectionsIsPassedOver, Fixture) {
  TestInstance next(loop, "next", 2);
  TestInstance follower(loop, "follower", 3);
  next.Start();
  follower.Know("gone", 1, FindFreeAddress(loop));
  follower.Know("next", 2, next.address);
  follower.Start();
  BOOST_TEST(RunUntil([&] { return follower.CoordinatorName() == "next"; }, Millis{700}));
}

// Guards against a fleet that splits for seconds because connections between instances were reset.
BOOST_FIXTURE_TEST_CASE(ResetLinkIsDialledAgainAtOnce, Fixture) {
  TestInstance coordinator(loop, "c", 1);
  TestInstance next(loop, "next", 2);
  TestInstance follower(loop, "follower", 3);
  standin::Proxy proxy(loop, coordinator.address);
  const auto proxy_address = proxy.Listen({"127.0.0.1", 0});
  BOOST_REQUIRE(IsOk(proxy_address));
  coordinator.Start();
  next.Know("c", 1, coordinator.address);
  next.Start();
  follower.Know("c", 1, std::get<Address>(proxy_address));
  follower.Know("next", 2, next.address);
  follower.Start();
  const auto is_following = [&] { return follower.CoordinatorName() == "c"; };
  BOOST_REQUIRE(RunUntil([&] { return is_following() && next.CoordinatorName() == "c"; }));
  RunUntil([] { return false; }, kLastingLink);
  proxy.SetMode(standin::ProxyMode::kCut);
  proxy.SetMode(standin::ProxyMode::kPass);
  BOOST_REQUIRE(RunUntil([&] { return !is_following(); }));
  std::set<std::string> others;
  BOOST_TEST(RunUntil(
      [&] {
        if (!is_following()) others.insert(follower.CoordinatorName());
        return is_following();
      },
      Millis{1'000}));
  BOOST_TEST(!others.contains("next"));
}

// Guards against a message to every instance for each change of each member, which fills the
// coordinator's link for seconds when a large fleet starts.
BOOST_FIXTURE_TEST_CASE(ChangedMembersAreAnnouncedOnceAndTogether, Fixture) {
  TestInstance coordinator(loop, "c", 1);
  coordinator.Start();
  BOOST_REQUIRE(RunUntil([&] { return coordinator.CoordinatorName() == "c"; }));
  RecordingFollower follower(loop, coordinator.address);
  BOOST_REQUIRE(RunUntil([&] { return !follower.messages.empty(); }));
  RunUntil([] { return false; }, Millis{300});
  follower.messages.clear();
  for (const std::uint64_t change : {1, 2, 3})
    for (std::uint64_t i = 0; i < kMemberCount; ++i)
      coordinator.Know("m" + std::to_string(i), 1'000 * change + i, {"127.0.0.1", 1});
  RunUntil([] { return false; }, Millis{400});
  std::size_t records = 0;
  std::size_t messages = 0;
  std::map<InstanceId, std::uint64_t> revisions;
  for (const FleetMessage& message : follower.messages) {
    const auto* members = std::get_if<MembersMessage>(&message);
    if (members == nullptr) continue;
    ++messages;
    records += members->members.size();
    for (const FleetMember& member : members->members)
      revisions[member.id] = member.registration_revision;
  }
  BOOST_TEST(revisions.size() == kMemberCount);
  for (std::uint64_t i = 0; i < kMemberCount; ++i)
    BOOST_TEST(revisions[InstanceId("m" + std::to_string(i))] == 3'000 + i);
  BOOST_TEST(records == kMemberCount);
  BOOST_TEST(messages <= 2U);
}

// Guards against callers who are sent to an instance that reaches no backend server, and against
// requests that are forwarded to it.
BOOST_FIXTURE_TEST_CASE(StrandedInstancesServeNoCallers, Fixture) {
  TestInstance instance(loop, "a", 1);
  instance.Know("b", 2, {});
  instance.Know("c", 3, {});
  instance.KnowStranded("d", 4);
  BOOST_TEST((instance.NamedToCallers() == Revisions{1, 2, 3}));
  BOOST_TEST((instance.ForwardedTo() == Revisions{2, 3}));
  instance.fleet.SetLostBackends(true);
  BOOST_TEST((instance.NamedToCallers() == Revisions{2, 3}));
  instance.fleet.SetLostBackends(false);
  BOOST_TEST((instance.NamedToCallers() == Revisions{1, 2, 3}));
}

// Guards against empty directories, which leave callers without any instance.
BOOST_FIXTURE_TEST_CASE(AllAreNamedIfAllAreStranded, Fixture) {
  TestInstance instance(loop, "a", 1);
  instance.fleet.SetLostBackends(true);
  BOOST_TEST((instance.NamedToCallers() == Revisions{1}));
  instance.KnowStranded("b", 2);
  instance.KnowStranded("c", 3);
  BOOST_TEST((instance.NamedToCallers() == Revisions{1, 2, 3}));
  BOOST_TEST(instance.ForwardedTo().empty());
  instance.Know("d", 4, {});
  BOOST_TEST((instance.NamedToCallers() == Revisions{4}));
  BOOST_TEST((instance.ForwardedTo() == Revisions{4}));
}

// Guards against a lost path, or one that has come back, of which some instances do not learn.
BOOST_FIXTURE_TEST_CASE(LostPathIsToldToAll, LinkedFixture) {
  BOOST_REQUIRE(RunUntil([&] { return AreNamed({1, 2, 3}); }));
  stranded.fleet.SetLostBackends(true);
  BOOST_TEST(RunUntil([&] { return AreNamed({1, 3}); }));
  stranded.fleet.SetLostBackends(false);
  BOOST_TEST(RunUntil([&] { return AreNamed({1, 2, 3}); }));
  coordinator.fleet.SetLostBackends(true);
  BOOST_TEST(RunUntil([&] { return AreNamed({2, 3}); }));
}

// Guards against a list of the registered instances, as it is read again after the store was
// restored, that replaces what they have told themselves.
BOOST_FIXTURE_TEST_CASE(ListedAgainMembersStayStranded, LinkedFixture) {
  stranded.fleet.SetLostBackends(true);
  BOOST_REQUIRE(RunUntil([&] { return AreNamed({1, 3}); }));
  other.Know("b", 2, stranded.address);
  BOOST_TEST((other.NamedToCallers() == Revisions{1, 3}));
  BOOST_TEST((other.ForwardedTo() == Revisions{1}));
  coordinator.Know("b", 2, stranded.address);
  BOOST_TEST((coordinator.NamedToCallers() == Revisions{1, 3}));
  BOOST_TEST(!RunUntil([&] { return !AreNamed({1, 3}); }, Millis{300}));
}

// Guards against the same if the store states another era for the registration that it has kept.
BOOST_FIXTURE_TEST_CASE(RestoredRegistrationsStayStranded, Fixture) {
  TestInstance instance(loop, "a", 1);
  instance.KnowStranded("b", 2);
  const std::uint64_t restored = MakeRevision(StoreEra(1), 2).Value();
  instance.Know("b", restored, {});
  BOOST_TEST((instance.NamedToCallers() == Revisions{1}));
  BOOST_TEST(instance.ForwardedTo().empty());
}

// Guards against a restarted instance that is taken for the stranded one it was.
BOOST_FIXTURE_TEST_CASE(NewRegistrationIsNotStranded, Fixture) {
  TestInstance instance(loop, "a", 1);
  instance.KnowStranded("b", 2);
  instance.Know("b", 3, {});
  BOOST_TEST((instance.NamedToCallers() == Revisions{1, 3}));
  BOOST_TEST((instance.ForwardedTo() == Revisions{3}));
}

// Guards against an instance that is elected or called again after it has told that it stops or has
// lost the store, because its registration was listed once more.
BOOST_FIXTURE_TEST_CASE(ListedAgainMembersAreNotElected, Fixture) {
  for (bool FleetMember::*const state : {&FleetMember::is_leaving, &FleetMember::has_lost_store}) {
    RawServer first(loop);
    TestInstance instance(loop, "b", 2);
    FleetMember member = MemberOf("a", 1);
    member.peer_address = first.address;
    member.*state = true;
    instance.fleet.AddMember(member);
    instance.Know("a", 1, first.address);
    instance.Start();
    BOOST_TEST(instance.CoordinatorName() == "b");
  }
}

}  // namespace bluebellpass::gateway
