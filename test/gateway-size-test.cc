#include <boost/test/unit_test.hpp>

#include "standins/load-play.h"

namespace bluebellpass::test {
namespace {

constexpr std::uint64_t kSeeds[] = {1, 2, 3};
constexpr double kLostEngineShares[] = {0, 0.2, 0.5};

/// Checks that each size group of each kind is served at least half as often as the whole kind.
void CheckServiceRates(const SimulationResults& results) {
  BOOST_TEST_MESSAGE(FormatTable(results));
  for (const auto& [name, result] : results)
    for (const SizeGroupCounts& group : result.sizes)
      BOOST_TEST(group.Served() >= result.ServedExcludingFailed() / 2, name);
}

}  // namespace

// Guards against refusing the longest requests of a kind while its short ones are served.
BOOST_AUTO_TEST_CASE(BurstServesAllSizeGroups) {
  for (const std::uint64_t seed : kSeeds)
    for (const double lost_share : kLostEngineShares)
      CheckServiceRates(Simulate(QuestionBurst(seed, lost_share)));
}

}  // namespace bluebellpass::test
