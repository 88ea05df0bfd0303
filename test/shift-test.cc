#include <boost/test/unit_test.hpp>

#include "policy/cell.h"
#include "policy/shift-rules.h"

namespace bluebellpass {
namespace {

const CellId kCell{.pool = PoolName("p"), .region = Region("r")};
const DataCentre kSource{"a"};
const DataCentre kTarget{"b"};
const TimePoint kNow{Millis{1'000'000}};

ShiftRule MakeRule(std::uint32_t percent, const DataCentre& to = kTarget) {
  return {.pool = kCell.pool, .from = kSource, .to = to, .percent = percent};
}

BackendConfig MakeBackend(const DataCentre& data_centre, std::int64_t capacity = 1'000) {
  return {.id = BackendId("server-" + data_centre.Text()),
          .kind = "engine",
          .pool = kCell.pool,
          .data_centre = data_centre,
          .region = kCell.region,
          .slots = 1,
          .token_capacity = capacity};
}

struct Fixture {
  Suspects suspects{[] { return 1; }};
  Cell cell{kCell, QueuePolicy::kWeightedFair, 1, suspects};
  ClusterConfig config{.tiers = {{.name = TierName("t")}}};

  /// Reserves a new request.
  /// @return the servers granted to it and to waiting requests, in order
  std::string Reserve(const std::string& id) {
    cell.OnConfig(config, kNow);
    cell.OnReserve(InstanceId("h"),
                   {.id = RequestId(id),
                    .pool = kCell.pool,
                    .region = kCell.region,
                    .tier = TierName("t"),
                    .prompt_tokens = Tokens(500),
                    .bytes = 10,
                    .remaining = Millis{60'000}},
                   kNow);
    std::string granted;
    for (const CellAction& action : cell.TakeActions()) {
      if (const auto* grant = std::get_if<GrantAction>(&action)) {
        granted += grant->message.backend.Text() + " ";
      }
    }
    return granted;
  }
};

}  // namespace

// The match must be stable over retries and hit the percentages, and a request must match only one
// of the rules with the same source.
BOOST_AUTO_TEST_CASE(RequestIdSelectsTheRule) {
  const std::vector<ShiftRule> rules{MakeRule(30), MakeRule(50, DataCentre("c"))};
  std::map<DataCentre, int> counts;
  for (int i = 0; i < 10'000; ++i) {
    const RequestId id("d1.17." + std::to_string(i / 100) + "." + std::to_string(i));
    const auto matching = MatchShiftRules(rules, id);
    BOOST_REQUIRE(matching.size() <= 1);
    BOOST_REQUIRE(matching == MatchShiftRules(rules, id));
    if (!matching.empty()) ++counts[matching.front()->to];
  }
  BOOST_TEST(counts[kTarget] > 2'800);
  BOOST_TEST(counts[kTarget] < 3'200);
  BOOST_TEST(counts[DataCentre("c")] > 4'800);
  BOOST_TEST(counts[DataCentre("c")] < 5'200);
}

// A shifted request must not run in the source data centre; a rule of another pool has no effect.
BOOST_FIXTURE_TEST_CASE(ShiftedRequestAvoidsTheSource, Fixture) {
  config.backends = {MakeBackend(kSource), MakeBackend(kTarget)};
  config.shifts = {MakeRule(100)};
  BOOST_TEST(Reserve("x") == "server-b ");
  BOOST_TEST(Reserve("y").empty());
  config.shifts.front().pool = PoolName("other");
  BOOST_TEST(Reserve("z") == "server-a ");
}

// A rule that leaves a request no active server would make it wait for good.
BOOST_FIXTURE_TEST_CASE(RuleIsIgnoredWhenNoOtherServerCanTakeTheRequest, Fixture) {
  config.shifts = {MakeRule(100)};
  config.backends = {MakeBackend(kSource), MakeBackend(kTarget)};
  config.backends.back().state = BackendState::kLeaving;
  BOOST_TEST(Reserve("x") == "server-a ");
}

// A rule that leaves a request only servers that are too small would make it wait for good.
BOOST_FIXTURE_TEST_CASE(RuleIsIgnoredForARequestTooLargeForTheOthers, Fixture) {
  config.shifts = {MakeRule(100)};
  config.backends = {MakeBackend(kSource), MakeBackend(kTarget, 400)};
  BOOST_TEST(Reserve("x") == "server-a ");
}

}  // namespace bluebellpass
