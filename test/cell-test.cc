#include "policy/cell.h"

#include <boost/test/unit_test.hpp>

namespace bluebellpass {
namespace {

const CellId kCell{.pool = PoolName("p"), .region = Region("r")};
const InstanceId kHome{"home"};
const InstanceId kOtherInstance{"other"};

TimePoint At(int millis) { return TimePoint(Millis{1000000 + millis}); }

BackendConfig MakeBackend(const std::string& id, std::int64_t slots = 2,
                          std::int64_t capacity = 1000) {
  return {.id = BackendId(id),
          .kind = "engine",
          .pool = kCell.pool,
          .region = kCell.region,
          .slots = slots,
          .token_capacity = capacity};
}

ClusterConfig MakeConfig(std::vector<BackendConfig> backends) {
  return {.tiers = {{.name = TierName("high"), .rank = TierRank(0), .max_waiting_bytes = 100},
                    {.name = TierName("low"), .rank = TierRank(1), .max_waiting_bytes = 100}},
          .backends = std::move(backends)};
}

Reservation MakeReservation(const std::string& id, const std::string& tier = "high",
                            int tokens = 100, std::uint64_t content = 0, int bytes = 40) {
  return {.id = RequestId(id),
          .pool = kCell.pool,
          .region = kCell.region,
          .tier = TierName(tier),
          .organisation = OrganisationId("o"),
          .prompt_tokens = Tokens(tokens),
          .content = Fingerprint(content == 0 ? StableHash(id) : content),
          .bytes = bytes,
          .remaining = Millis{60000}};
}

struct Fixture {
  std::uint64_t stamp = 0;
  Suspects suspects{[this] { return ++stamp; }};
  Cell cell{kCell, QueuePolicy::kWeightedFair, 1, suspects};
  std::map<std::string, GrantMessage> grants;
  std::map<std::string, ErrorKind> refusals;
  std::vector<AskFloorAction> floor_asks;

  Fixture() {
    cell.OnMembersChanged({{.info = {.id = kHome}}, {.info = {.id = kOtherInstance}}}, At(0));
  }

  void Collect() {
    for (const CellAction& action : cell.TakeActions()) {
      if (const auto* grant = std::get_if<GrantAction>(&action)) {
        grants[grant->message.id.Text()] = grant->message;
      } else if (const auto* refuse = std::get_if<RefuseAction>(&action)) {
        refusals[refuse->message.id.Text()] = refuse->message.kind;
      } else if (const auto* ask = std::get_if<AskFloorAction>(&action)) {
        floor_asks.push_back(*ask);
      }
    }
  }
  void Reserve(const Reservation& reservation, int time = 0) {
    cell.OnReserve(kHome, reservation, At(time));
    Collect();
  }
  void Release(const std::string& id, ReleaseReason reason, std::uint64_t content, int time = 0) {
    const GrantMessage grant = grants.at(id);
    cell.OnRelease(kHome,
                   {.cell = kCell,
                    .id = grant.id,
                    .grant = grant.grant,
                    .backend = grant.backend,
                    .reason = reason,
                    .content = Fingerprint(content == 0 ? StableHash(id) : content)},
                   At(time));
    Collect();
  }
  void Ack(const InstanceId& from, int time) {
    cell.OnFloorAck(from, {.round = floor_asks.back().message.round, .pool = kCell.pool}, At(time));
    Collect();
  }
};

}  // namespace

// Grants beyond a server's token capacity overload it; granting each gap to small requests starves
// a large one.
BOOST_FIXTURE_TEST_CASE(RespectsCapacityAndServesLargeRequests, Fixture) {
  cell.OnConfig(MakeConfig({MakeBackend("a", 8, 1000)}), At(0));
  Reserve(MakeReservation("first", "high", 600));
  Reserve(MakeReservation("large", "high", 900));
  Reserve(MakeReservation("small", "high", 100));
  BOOST_TEST(grants.size() == 1);
  Release("first", ReleaseReason::kCompleted, 0);
  BOOST_TEST(grants.contains("large"));
  BOOST_TEST(grants.contains("small"));
  Reserve(MakeReservation("huge", "high", 5000));
  Release("large", ReleaseReason::kCompleted, 0);
  BOOST_TEST(!grants.contains("huge"));
  Release("small", ReleaseReason::kCompleted, 0);
  BOOST_TEST(grants.contains("huge"));
}

// A repeated reservation must not be granted twice. A sync replaces a home's state instead of
// adding to it, and the runs of a disconnected home end.
BOOST_FIXTURE_TEST_CASE(IgnoresDuplicatesAndReplacesStateOnSync, Fixture) {
  cell.OnConfig(MakeConfig({MakeBackend("a", 1)}), At(0));
  Reserve(MakeReservation("x"));
  Reserve(MakeReservation("y"));
  Reserve(MakeReservation("y"));
  BOOST_TEST(cell.Queue().Size() == 1);
  cell.OnSync(kHome,
              {.cell = kCell,
               .waiting = {MakeReservation("z")},
               .running = {{.id = RequestId("w"), .grant = 9, .backend = BackendId("a")}}},
              At(1));
  Collect();
  BOOST_TEST(cell.RunningCount() == 1);
  BOOST_TEST(cell.Queue().Size() == 1);
  BOOST_TEST(!grants.contains("z"));
  cell.OnHomeDisconnected(kHome, At(2));
  BOOST_TEST(cell.IsIdle());
}

// A request that cannot complete in time is refused before it costs prefill; one that expires in
// the queue is refused for that reason.
BOOST_FIXTURE_TEST_CASE(RefusesInfeasibleAndExpiredDeadlines, Fixture) {
  cell.OnConfig(MakeConfig({MakeBackend("a", 1, 100000)}), At(0));
  Reservation reservation = MakeReservation("slow", "high", 20000);  // 10 s of prefill
  reservation.remaining = Millis{7900};
  Reserve(reservation);
  BOOST_TEST((refusals.at("slow") == ErrorKind::kDeadlineInfeasible));
  reservation.id = RequestId("margin");
  reservation.remaining = Millis{8100};
  Reserve(reservation);
  BOOST_TEST(grants.contains("margin"));
  reservation.id = RequestId("waits");
  Reserve(reservation);
  cell.Tick(At(8100));
  Collect();
  BOOST_TEST((refusals.at("waits") == ErrorKind::kDeadlineExceeded));
}

// A middle tier must not be shed while an instance that has not yet acknowledged the floor keeps
// work of a lower tier.
BOOST_FIXTURE_TEST_CASE(FloorsRiseOneTierAtATime, Fixture) {
  ClusterConfig config = MakeConfig({});
  config.tiers.insert(config.tiers.begin() + 1, {.name = TierName("middle"), .rank = TierRank(1)});
  config.tiers.back().rank = TierRank(2);
  cell.OnConfig(config, At(0));
  for (const char* id : {"a", "b", "c"}) Reserve(MakeReservation(id));
  BOOST_REQUIRE(floor_asks.size() == 1U);
  BOOST_TEST((floor_asks[0].message.rank == TierRank(1)));
  Ack(kHome, 10);
  BOOST_TEST(floor_asks.size() == 1U);
  Ack(kOtherInstance, 20);
  BOOST_REQUIRE(floor_asks.size() == 2U);
  BOOST_TEST((floor_asks[1].message.rank == TierRank(0)));
  BOOST_TEST(refusals.empty());
  Ack(kHome, 30);
  Ack(kOtherInstance, 40);
  BOOST_TEST(refusals.size() == 1U);
}

// Capacity must not go to a request that has waited too long to be on time, nor to a server too
// slow to complete the request in time.
BOOST_FIXTURE_TEST_CASE(RefusesWaitingRequestThatWouldBeLate, Fixture) {
  BackendConfig slow = MakeBackend("slow", 2, 100000);
  slow.prefill_tokens_per_second = 1000;
  cell.OnConfig(MakeConfig({MakeBackend("fast", 1, 100000), slow}), At(0));
  Reservation reservation = MakeReservation("first", "high", 4000);  // 2 s or 4 s of prefill
  Reserve(reservation);
  BOOST_TEST((grants.at("first").backend == BackendId("fast")));
  reservation.remaining = Millis{3000};
  reservation.id = RequestId("waits");
  Reserve(reservation);
  BOOST_TEST(!grants.contains("waits"));
  cell.Tick(At(1100));
  Collect();
  BOOST_TEST((refusals.at("waits") == ErrorKind::kDeadlineInfeasible));
  BOOST_TEST(!grants.contains("waits"));
}

// A higher tier must not be shed while this cell or another instance keeps lower-tier work.
BOOST_FIXTURE_TEST_CASE(ShedsHigherTierOnlyUnderAHeldFloor, Fixture) {
  cell.OnConfig(MakeConfig({}), At(0));
  Reserve(MakeReservation("l1", "low"));
  Reserve(MakeReservation("h1"));
  Reserve(MakeReservation("h2"));
  BOOST_TEST(refusals.empty());
  Reserve(MakeReservation("h3"), 10);
  BOOST_TEST((refusals.at("l1") == ErrorKind::kOverloaded));
  BOOST_TEST(refusals.size() == 1);
  BOOST_REQUIRE(floor_asks.size() == 1);
  BOOST_TEST(floor_asks[0].instances.size() == 2);
  Ack(kHome, 20);
  BOOST_TEST(refusals.size() == 1);
  cell.Tick(At(600));
  Collect();
  BOOST_REQUIRE(floor_asks.size() == 2);
  BOOST_TEST(floor_asks[1].instances.size() == 1);
  Ack(kOtherInstance, 620);
  BOOST_TEST(refusals.size() == 2);
  BOOST_TEST(cell.Queue().Bytes(TierRank(0)) == 80);
  Reserve(MakeReservation("l2", "low"), 700);
  BOOST_TEST((refusals.at("l2") == ErrorKind::kOverloaded));
  Reserve(MakeReservation("h4"), 1600);
  BOOST_TEST(!refusals.contains("h4"));
  BOOST_TEST(floor_asks.size() == 3);
}

// An organisation over its limit must not cause a higher tier to be shed without promises.
BOOST_FIXTURE_TEST_CASE(OrganisationLimitNeedsAFloorAboveTheLowestTier, Fixture) {
  ClusterConfig config = MakeConfig({});
  config.organisations = {{.id = OrganisationId("o"), .max_waiting_bytes = 50}};
  cell.OnConfig(config, At(0));
  Reserve(MakeReservation("l1", "low"));
  Reserve(MakeReservation("l2", "low"));
  Reserve(MakeReservation("h1"));
  Reserve(MakeReservation("h2"));
  BOOST_TEST(refusals.size() == 1);
  BOOST_TEST((refusals.at("l2") == ErrorKind::kOrganisationLimit));
}

// A content that crashes servers must not share a server with other runs, and must not crash a
// third server.
BOOST_FIXTURE_TEST_CASE(SuspectRunsExclusivelyAndIsThenQuarantined, Fixture) {
  cell.OnConfig(MakeConfig({MakeBackend("a", 4), MakeBackend("b", 4)}), At(0));
  Reserve(MakeReservation("killer", "high", 100, 7));
  Reserve(MakeReservation("other", "high", 100, 8));
  Release("killer", ReleaseReason::kBackendLost, 7);
  BOOST_TEST(suspects.IsSuspect(Fingerprint(7), At(0)));
  Reserve(MakeReservation("again", "high", 100, 7), 2000);
  Reserve(MakeReservation("again2", "high", 100, 7), 2000);
  if (!grants.contains("again")) Release("other", ReleaseReason::kCompleted, 8, 2000);
  BOOST_REQUIRE(grants.contains("again"));
  BOOST_TEST(!grants.contains("again2"));
  for (int i = 0; i < 8; ++i) Reserve(MakeReservation("n" + std::to_string(i)), 2000);
  for (const auto& [id, grant] : grants) {
    if (id[0] == 'n') BOOST_TEST(grant.backend != grants.at("again").backend);
  }
  Release("again", ReleaseReason::kBackendLost, 7, 2100);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "n" + std::to_string(i);
    if (grants.contains(id)) Release(id, ReleaseReason::kCompleted, 0, 2200);
  }
  BOOST_TEST((refusals.at("again2") == ErrorKind::kQuarantined));
  Reserve(MakeReservation("third", "high", 100, 7), 2300);
  BOOST_TEST((refusals.at("third") == ErrorKind::kQuarantined));
}

// Each run on a dead server is reported separately. Counting every report as a death would
// quarantine all contents that ran there.
BOOST_FIXTURE_TEST_CASE(OneDeathIsCountedOnce, Fixture) {
  cell.OnConfig(MakeConfig({MakeBackend("a", 4)}), At(0));
  Reserve(MakeReservation("x", "high", 100, 7));
  Reserve(MakeReservation("y", "high", 100, 7));
  Reserve(MakeReservation("z", "high", 100, 8));
  Release("x", ReleaseReason::kBackendLost, 7);
  Release("y", ReleaseReason::kBackendLost, 7);
  BOOST_TEST(suspects.IsSuspect(Fingerprint(7), At(0)));
  BOOST_TEST(suspects.IsSuspect(Fingerprint(8), At(0)));
  Release("z", ReleaseReason::kCompleted, 8);
  BOOST_TEST(!suspects.IsSuspect(Fingerprint(8), At(0)));
}

// Without a backoff, an unreachable server receives one request after another and fails them all.
BOOST_FIXTURE_TEST_CASE(UnreachableServerBacksOffAndIsProbed, Fixture) {
  cell.OnConfig(MakeConfig({MakeBackend("a", 4)}), At(0));
  Reserve(MakeReservation("x"));
  Release("x", ReleaseReason::kUnreachable, 0);
  Reserve(MakeReservation("y"), 999);
  Reserve(MakeReservation("z"), 999);
  BOOST_TEST(grants.size() == 1);
  cell.Tick(At(1000));
  Collect();
  BOOST_TEST(grants.size() == 2);
  Release("y", ReleaseReason::kCompleted, 0, 1100);
  BOOST_TEST(grants.size() == 3);
  BOOST_TEST(!suspects.IsSuspect(Fingerprint(StableHash("x")), At(0)));
}

// A server that drains for a model load must get no grants. It must get grants again after it is
// resumed, or removed from the configuration while paused and added again.
BOOST_FIXTURE_TEST_CASE(PausedServerGetsNoGrants, Fixture) {
  cell.OnConfig(MakeConfig({MakeBackend("a", 4)}), At(0));
  cell.SetGrantsPaused(BackendId("a"), true, At(0));
  Reserve(MakeReservation("x"));
  BOOST_TEST(grants.empty());
  cell.SetGrantsPaused(BackendId("a"), false, At(1));
  Collect();
  BOOST_TEST(grants.size() == 1);
  cell.SetGrantsPaused(BackendId("a"), true, At(2));
  cell.OnConfig(MakeConfig({}), At(3));
  cell.OnConfig(MakeConfig({MakeBackend("a", 4)}), At(4));
  Reserve(MakeReservation("y"), 5);
  BOOST_TEST(grants.size() == 2);
}

// A prefix must stay on the server that has it cached, and the round-robin baseline must not queue.
BOOST_FIXTURE_TEST_CASE(PrefixAffinityAndRoundRobinBaseline, Fixture) {
  cell.OnConfig(MakeConfig({MakeBackend("a", 4), MakeBackend("b", 4)}), At(0));
  Reservation reservation = MakeReservation("x0");
  reservation.prefix = Fingerprint(5);
  Reserve(reservation);
  Release("x0", ReleaseReason::kCompleted, 0);
  Reserve(MakeReservation("fill"));
  Reserve(MakeReservation("fill2"));
  reservation.id = RequestId("x1");
  Reserve(reservation);
  BOOST_TEST(grants.at("x1").backend == grants.at("x0").backend);

  Cell baseline(kCell, QueuePolicy::kFifoRoundRobin, 1, suspects);
  baseline.OnConfig(MakeConfig({MakeBackend("a", 1), MakeBackend("b", 1)}), At(0));
  for (int i = 0; i < 6; ++i) baseline.OnReserve(kHome, MakeReservation(std::to_string(i)), At(0));
  BOOST_TEST(baseline.RunningCount() == 6);
  BOOST_TEST(baseline.Load().Stats()[0].slots_used == 3);
}

}  // namespace bluebellpass
