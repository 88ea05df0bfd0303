#include <boost/test/unit_test.hpp>

#include "policy/cell.h"
#include "policy/shift-rules.h"

namespace bluebellpass {
namespace {

const CellId kCell{.pool = PoolName("p"), .region = Region("r")};
const DataCentre kFrom{"a"};
const DataCentre kTo{"b"};
const TimePoint kNow{Millis{1'000'000}};

ShiftRule Rule(std::uint32_t percent, const DataCentre& to = kTo) {
  return {.pool = kCell.pool, .from = kFrom, .to = to, .percent = percent};
}

BackendConfig Server(const DataCentre& data_centre, std::int64_t capacity = 1'000) {
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

  /// @return the servers granted to a new request and, by this, to those that waited, in order
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

// Guards against a choice that changes on a retry, misses the percentage, or gives two rules of one
// source the same requests.
BOOST_AUTO_TEST_CASE(RequestsFallIntoRulesByTheirIds) {
  const std::vector<ShiftRule> rules{Rule(30), Rule(50, DataCentre("c"))};
  std::map<DataCentre, int> counts;
  for (int i = 0; i < 10'000; ++i) {
    const RequestId id("d1.17." + std::to_string(i / 100) + "." + std::to_string(i));
    const auto found = MatchShiftRules(rules, id);
    BOOST_REQUIRE(found.size() <= 1);
    BOOST_REQUIRE(found == MatchShiftRules(rules, id));
    if (!found.empty()) ++counts[found.front()->to];
  }
  BOOST_TEST(counts[kTo] > 2'800);
  BOOST_TEST(counts[kTo] < 3'200);
  BOOST_TEST(counts[DataCentre("c")] > 4'800);
  BOOST_TEST(counts[DataCentre("c")] < 5'200);
}

// Guards against a rule without effect, and against one for another pool that has an effect.
BOOST_FIXTURE_TEST_CASE(ShiftedRequestLeavesTheSourceOut, Fixture) {
  config.backends = {Server(kFrom), Server(kTo)};
  config.shifts = {Rule(100)};
  BOOST_TEST(Reserve("x") == "server-b ");
  BOOST_TEST(Reserve("y").empty());
  config.shifts.front().pool = PoolName("other");
  BOOST_TEST(Reserve("z") == "server-a ");
}

// Guards against requests that wait for good because the rule leaves them no server.
BOOST_FIXTURE_TEST_CASE(RuleIsIgnoredWhenNoOtherServerCanTakeTheRequest, Fixture) {
  config.shifts = {Rule(100)};
  config.backends = {Server(kFrom), Server(kTo)};
  config.backends.back().state = BackendState::kLeaving;
  BOOST_TEST(Reserve("x") == "server-a ");
}

// Guards against the same where the other server is too small for the request.
BOOST_FIXTURE_TEST_CASE(RuleIsIgnoredForARequestTooLargeForTheOthers, Fixture) {
  config.shifts = {Rule(100)};
  config.backends = {Server(kFrom), Server(kTo, 400)};
  BOOST_TEST(Reserve("x") == "server-a ");
}

}  // namespace bluebellpass
