#include "policy/cell.h"

#include <boost/test/unit_test.hpp>

namespace bluebellpass {
namespace {

const CellId kCell{.pool = PoolName("p"), .region = Region("r")};
const InstanceId kHome{"home"};
const InstanceId kOther{"other"};

TimePoint At(int millis) { return TimePoint(Millis{1000000 + millis}); }

BackendConfig Server(const std::string& id, std::int64_t slots = 2, std::int64_t capacity = 1000) {
  return {.id = BackendId(id),
          .kind = "engine",
          .pool = kCell.pool,
          .region = kCell.region,
          .slots = slots,
          .token_capacity = capacity};
}

ClusterConfig Config(std::vector<BackendConfig> backends) {
  return {.tiers = {{.name = TierName("high"), .rank = TierRank(0), .max_waiting_bytes = 100},
                    {.name = TierName("low"), .rank = TierRank(1), .max_waiting_bytes = 100}},
          .backends = std::move(backends)};
}

Reservation Work(const std::string& id, const std::string& tier = "high", int tokens = 100,
                 std::uint64_t content = 0, int bytes = 40) {
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
  std::vector<AskFloorAction> asks;

  Fixture() { cell.OnMembersChanged({{.info = {.id = kHome}}, {.info = {.id = kOther}}}, At(0)); }

  void Collect() {
    for (const CellAction& action : cell.TakeActions()) {
      if (const auto* grant = std::get_if<GrantAction>(&action)) {
        grants[grant->message.id.Text()] = grant->message;
      } else if (const auto* refuse = std::get_if<RefuseAction>(&action)) {
        refusals[refuse->message.id.Text()] = refuse->message.kind;
      } else if (const auto* ask = std::get_if<AskFloorAction>(&action)) {
        asks.push_back(*ask);
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
    cell.OnFloorAck(from, {.round = asks.back().message.round, .pool = kCell.pool}, At(time));
    Collect();
  }
};

}  // namespace

// Guards against grants beyond the capacity, and against small work that starves a large request.
BOOST_FIXTURE_TEST_CASE(CapacityAndLargeRequests, Fixture) {
  cell.OnConfig(Config({Server("a", 8, 1000)}), At(0));
  Reserve(Work("first", "high", 600));
  Reserve(Work("large", "high", 900));
  Reserve(Work("small", "high", 100));
  BOOST_TEST(grants.size() == 1);
  Release("first", ReleaseReason::kCompleted, 0);
  BOOST_TEST(grants.contains("large"));
  BOOST_TEST(grants.contains("small"));
  Reserve(Work("huge", "high", 5000));
  Release("large", ReleaseReason::kCompleted, 0);
  BOOST_TEST(!grants.contains("huge"));
  Release("small", ReleaseReason::kCompleted, 0);
  BOOST_TEST(grants.contains("huge"));
}

// Guards against a second grant for one reservation, a grant that survives its home, and a sync
// that adds to the old state in place of replacing it.
BOOST_FIXTURE_TEST_CASE(DuplicatesAndSync, Fixture) {
  cell.OnConfig(Config({Server("a", 1)}), At(0));
  Reserve(Work("x"));
  Reserve(Work("y"));
  Reserve(Work("y"));
  BOOST_TEST(cell.Queue().Size() == 1);
  cell.OnSync(kHome,
              {.cell = kCell,
               .waiting = {Work("z")},
               .running = {{.id = RequestId("w"), .grant = 9, .backend = BackendId("a")}}},
              At(1));
  Collect();
  BOOST_TEST(cell.RunningCount() == 1);
  BOOST_TEST(cell.Queue().Size() == 1);
  BOOST_TEST(!grants.contains("z"));
  cell.OnHomeDisconnected(kHome, At(2));
  BOOST_TEST(cell.IsIdle());
}

// Guards against prefill spent on a request that cannot be on time, and against a wrong reason.
BOOST_FIXTURE_TEST_CASE(Deadlines, Fixture) {
  cell.OnConfig(Config({Server("a", 1, 100000)}), At(0));
  Reservation work = Work("slow", "high", 20000);  // 10 s of prefill
  work.remaining = Millis{7900};
  Reserve(work);
  BOOST_TEST((refusals.at("slow") == ErrorKind::kDeadlineInfeasible));
  work.id = RequestId("margin");
  work.remaining = Millis{8100};
  Reserve(work);
  BOOST_TEST(grants.contains("margin"));
  work.id = RequestId("waits");
  Reserve(work);
  cell.Tick(At(8100));
  Collect();
  BOOST_TEST((refusals.at("waits") == ErrorKind::kDeadlineExceeded));
}

// Guards against a middle tier that is shed while an instance that has not promised the floor yet
// still keeps work of a lower one.
BOOST_FIXTURE_TEST_CASE(FloorsRiseOneTierAtATime, Fixture) {
  ClusterConfig config = Config({});
  config.tiers.insert(config.tiers.begin() + 1, {.name = TierName("middle"), .rank = TierRank(1)});
  config.tiers.back().rank = TierRank(2);
  cell.OnConfig(config, At(0));
  for (const char* id : {"a", "b", "c"}) Reserve(Work(id));
  BOOST_REQUIRE(asks.size() == 1U);
  BOOST_TEST((asks[0].message.rank == TierRank(1)));
  Ack(kHome, 10);
  BOOST_TEST(asks.size() == 1U);
  Ack(kOther, 20);
  BOOST_REQUIRE(asks.size() == 2U);
  BOOST_TEST((asks[1].message.rank == TierRank(0)));
  BOOST_TEST(refusals.empty());
  Ack(kHome, 30);
  Ack(kOther, 40);
  BOOST_TEST(refusals.size() == 1U);
}

// Guards against capacity spent on work that has waited until it can no longer be on time, and on
// work that only a faster server would complete in time.
BOOST_FIXTURE_TEST_CASE(DeadlinesOfWaitingWork, Fixture) {
  BackendConfig slow = Server("slow", 2, 100000);
  slow.prefill_tokens_per_second = 1000;
  cell.OnConfig(Config({Server("fast", 1, 100000), slow}), At(0));
  Reservation work = Work("first", "high", 4000);  // 2 s or 4 s of prefill
  Reserve(work);
  BOOST_TEST((grants.at("first").backend == BackendId("fast")));
  work.remaining = Millis{3000};
  work.id = RequestId("waits");
  Reserve(work);
  BOOST_TEST(!grants.contains("waits"));
  cell.Tick(At(1100));
  Collect();
  BOOST_TEST((refusals.at("waits") == ErrorKind::kDeadlineInfeasible));
  BOOST_TEST(!grants.contains("waits"));
}

// Guards against a higher tier that is shed while lower work is kept in the cell or elsewhere.
BOOST_FIXTURE_TEST_CASE(FloorBeforeShedding, Fixture) {
  cell.OnConfig(Config({}), At(0));
  Reserve(Work("l1", "low"));
  Reserve(Work("h1"));
  Reserve(Work("h2"));
  BOOST_TEST(refusals.empty());
  Reserve(Work("h3"), 10);
  BOOST_TEST((refusals.at("l1") == ErrorKind::kOverloaded));
  BOOST_TEST(refusals.size() == 1);
  BOOST_REQUIRE(asks.size() == 1);
  BOOST_TEST(asks[0].instances.size() == 2);
  Ack(kHome, 20);
  BOOST_TEST(refusals.size() == 1);
  cell.Tick(At(600));
  Collect();
  BOOST_REQUIRE(asks.size() == 2);
  BOOST_TEST(asks[1].instances.size() == 1);
  Ack(kOther, 620);
  BOOST_TEST(refusals.size() == 2);
  BOOST_TEST(cell.Queue().Bytes(TierRank(0)) == 80);
  Reserve(Work("l2", "low"), 700);
  BOOST_TEST((refusals.at("l2") == ErrorKind::kOverloaded));
  Reserve(Work("h4"), 1600);
  BOOST_TEST(!refusals.contains("h4"));
  BOOST_TEST(asks.size() == 3);
}

// Guards against a limit of one organisation that sheds a higher tier without promises.
BOOST_FIXTURE_TEST_CASE(OrganisationLimit, Fixture) {
  ClusterConfig config = Config({});
  config.organisations = {{.id = OrganisationId("o"), .max_waiting_bytes = 50}};
  cell.OnConfig(config, At(0));
  Reserve(Work("l1", "low"));
  Reserve(Work("l2", "low"));
  Reserve(Work("h1"));
  Reserve(Work("h2"));
  BOOST_TEST(refusals.size() == 1);
  BOOST_TEST((refusals.at("l2") == ErrorKind::kOrganisationLimit));
}

// Guards against a content that kills a third server or takes others' runs with it.
BOOST_FIXTURE_TEST_CASE(SuspectRunsAlone, Fixture) {
  cell.OnConfig(Config({Server("a", 4), Server("b", 4)}), At(0));
  Reserve(Work("killer", "high", 100, 7));
  Reserve(Work("other", "high", 100, 8));
  Release("killer", ReleaseReason::kBackendLost, 7);
  BOOST_TEST(suspects.IsSuspect(Fingerprint(7), At(0)));
  Reserve(Work("again", "high", 100, 7), 2000);
  Reserve(Work("again2", "high", 100, 7), 2000);
  if (!grants.contains("again")) Release("other", ReleaseReason::kCompleted, 8, 2000);
  BOOST_REQUIRE(grants.contains("again"));
  BOOST_TEST(!grants.contains("again2"));
  for (int i = 0; i < 8; ++i) Reserve(Work("n" + std::to_string(i)), 2000);
  for (const auto& [id, grant] : grants) {
    if (id[0] == 'n') BOOST_TEST(grant.backend != grants.at("again").backend);
  }
  Release("again", ReleaseReason::kBackendLost, 7, 2100);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "n" + std::to_string(i);
    if (grants.contains(id)) Release(id, ReleaseReason::kCompleted, 0, 2200);
  }
  BOOST_TEST((refusals.at("again2") == ErrorKind::kQuarantined));
  Reserve(Work("third", "high", 100, 7), 2300);
  BOOST_TEST((refusals.at("third") == ErrorKind::kQuarantined));
}

// Guards against several reports of one death that quarantine whatever ran there.
BOOST_FIXTURE_TEST_CASE(OneDeathIsCountedOnce, Fixture) {
  cell.OnConfig(Config({Server("a", 4)}), At(0));
  Reserve(Work("x", "high", 100, 7));
  Reserve(Work("y", "high", 100, 7));
  Reserve(Work("z", "high", 100, 8));
  Release("x", ReleaseReason::kBackendLost, 7);
  Release("y", ReleaseReason::kBackendLost, 7);
  BOOST_TEST(suspects.IsSuspect(Fingerprint(7), At(0)));
  BOOST_TEST(suspects.IsSuspect(Fingerprint(8), At(0)));
  Release("z", ReleaseReason::kCompleted, 8);
  BOOST_TEST(!suspects.IsSuspect(Fingerprint(8), At(0)));
}

// Guards against a dead server that swallows request after request.
BOOST_FIXTURE_TEST_CASE(BackoffAndProbe, Fixture) {
  cell.OnConfig(Config({Server("a", 4)}), At(0));
  Reserve(Work("x"));
  Release("x", ReleaseReason::kUnreachable, 0);
  Reserve(Work("y"), 999);
  Reserve(Work("z"), 999);
  BOOST_TEST(grants.size() == 1);
  cell.Tick(At(1000));
  Collect();
  BOOST_TEST(grants.size() == 2);
  Release("y", ReleaseReason::kCompleted, 0, 1100);
  BOOST_TEST(grants.size() == 3);
  BOOST_TEST(!suspects.IsSuspect(Fingerprint(StableHash("x")), At(0)));
}

// Guards against grants to a server that drains for a load, and against one that stays without work
// after the hold has ended or after it was taken out of the configuration while held.
BOOST_FIXTURE_TEST_CASE(HeldServerGetsNoWork, Fixture) {
  cell.OnConfig(Config({Server("a", 4)}), At(0));
  cell.SetGrantsPaused(BackendId("a"), true, At(0));
  Reserve(Work("x"));
  BOOST_TEST(grants.empty());
  cell.SetGrantsPaused(BackendId("a"), false, At(1));
  Collect();
  BOOST_TEST(grants.size() == 1);
  cell.SetGrantsPaused(BackendId("a"), true, At(2));
  cell.OnConfig(Config({}), At(3));
  cell.OnConfig(Config({Server("a", 4)}), At(4));
  Reserve(Work("y"), 5);
  BOOST_TEST(grants.size() == 2);
}

// Guards against a prefix that moves between servers without need, and a baseline that queues.
BOOST_FIXTURE_TEST_CASE(PrefixAndRoundRobin, Fixture) {
  cell.OnConfig(Config({Server("a", 4), Server("b", 4)}), At(0));
  Reservation work = Work("x0");
  work.prefix = Fingerprint(5);
  Reserve(work);
  Release("x0", ReleaseReason::kCompleted, 0);
  Reserve(Work("fill"));
  Reserve(Work("fill2"));
  work.id = RequestId("x1");
  Reserve(work);
  BOOST_TEST(grants.at("x1").backend == grants.at("x0").backend);

  Cell baseline(kCell, QueuePolicy::kFifoRoundRobin, 1, suspects);
  baseline.OnConfig(Config({Server("a", 1), Server("b", 1)}), At(0));
  for (int i = 0; i < 6; ++i) baseline.OnReserve(kHome, Work(std::to_string(i)), At(0));
  BOOST_TEST(baseline.RunningCount() == 6);
  BOOST_TEST(baseline.Load().Stats()[0].slots_used == 3);
}

}  // namespace bluebellpass
