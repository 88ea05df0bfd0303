#include <boost/test/unit_test.hpp>

#include "standins/load-play.h"

namespace bluebellpass::test {
namespace {

constexpr std::uint64_t kSeed = 1;
// When engines are lost and one organisation floods the fleet, the load reaches twice the ordinary.
constexpr double kLoadFactors[] = {1.0, 1.5, 2.0};

/// Runs each simulation once for all test cases, since it takes several seconds.
const SimulationResults& CachedSimulation(double load) {
  static std::map<double, SimulationResults> results;
  const auto [found, is_new] = results.try_emplace(load);
  if (is_new) found->second = Simulate(HeavyDay(kSeed, load));
  return found->second;
}

double ValueShare(const SimulationResults& results) {
  double value = 0;
  double max_value = 0;
  for (const auto& [name, result] : results) {
    value += result.value;
    max_value += result.max_value;
  }
  return value / max_value;
}

double ServedShare(const SimulationResults& results) {
  int served = 0;
  int offered = 0;
  for (const auto& [name, result] : results) {
    served += result.on_time + result.late;
    offered += result.offered;
  }
  return static_cast<double>(served) / offered;
}

}  // namespace

// Guards against scheduling that is worse under heavy load than sending all requests at once: by
// responses on time, by requests served, and by callers that disconnect instead of being refused.
BOOST_AUTO_TEST_CASE(SchedulingBeatsSendingAllAtOnce) {
  for (const double load : kLoadFactors) {
    const SimulationResults& scheduled = CachedSimulation(load);
    const SimulationResults unscheduled = SimulateUnscheduled(HeavyDay(kSeed, load));
    BOOST_TEST_MESSAGE("load " << load << "\n"
                               << FormatTable(scheduled) << FormatTable(unscheduled));
    BOOST_TEST(ValueShare(scheduled) > ValueShare(unscheduled));
    BOOST_TEST(ServedShare(scheduled) > ServedShare(unscheduled));
    int abandoned = 0;
    int abandoned_unscheduled = 0;
    for (const auto& [name, result] : scheduled) abandoned += result.abandoned;
    for (const auto& [name, result] : unscheduled) abandoned_unscheduled += result.abandoned;
    BOOST_TEST(abandoned < abandoned_unscheduled);
  }
}

// Guards against starving a kind: the platform requires each kind to be served at least a quarter
// as often as all requests.
BOOST_AUTO_TEST_CASE(NoKindStarves) {
  for (const double load : kLoadFactors) {
    const SimulationResults& results = CachedSimulation(load);
    const double all = ServedShare(results);
    for (const auto& [name, result] : results) BOOST_TEST(result.Served() >= all / 4, name);
  }
}

// Guards against starving large requests: the platform requires the largest tenth to be served at
// least half as often as its kind.
BOOST_AUTO_TEST_CASE(LargeRequestsAreServed) {
  for (const double load : kLoadFactors)
    for (const auto& [name, result] : CachedSimulation(load))
      BOOST_TEST(result.ServedLarge() >= result.Served() / 2, name);
}

// Guards against engines that reset their requests at once and so look idle: while the others are
// full, they attract all requests that arrive. A ninth of the engines must not fail more than their
// share of the requests that arrive meanwhile.
BOOST_AUTO_TEST_CASE(ResettingEnginesDoNotAttractAllRequests) {
  for (const double load : kLoadFactors) {
    SimulationOptions options = HeavyDay(kSeed, load);
    const double start_s = 8;
    const double duration_s = 8;
    options.faults = {{EngineFault::Mode::kReset, 0, 2, start_s, duration_s}};
    const SimulationResults results = Simulate(options);
    BOOST_TEST_MESSAGE("load " << load << "\n" << FormatTable(results));
    double arrived = 0;
    for (const RequestKind& kind : options.kinds) arrived += kind.arrivals_per_s * duration_s;
    int failed = 0;
    for (const auto& [name, result] : results) failed += result.failed;
    BOOST_TEST(failed < arrived * 2 / static_cast<double>(options.duration_factors.size()));
  }
}

// Guards against engines that accept requests and never respond, and get a new one each time that a
// caller disconnects. Each of their slots may lose at most one request in the time for which a
// caller waits.
BOOST_AUTO_TEST_CASE(SilentEnginesGetNoMoreRequests) {
  for (const double load : kLoadFactors) {
    SimulationOptions options = HeavyDay(kSeed, load);
    options.faults = {{EngineFault::Mode::kSilent, 0, 2, 8, 8}};
    const SimulationResults results = Simulate(options);
    BOOST_TEST_MESSAGE("load " << load << "\n" << FormatTable(results));
    int failed = 0;
    for (const auto& [name, result] : results) failed += result.failed;
    // Callers of dossiers disconnect after four seconds without an event.
    BOOST_TEST(failed <= 2 * 2 * options.engine.slots);
  }
}

// Guards against needless refusals: at a third of the heavy day's rates and without bursts, no
// request is refused and no caller disconnects.
BOOST_AUTO_TEST_CASE(LightLoadIsNotRefused) {
  SimulationOptions options = HeavyDay(9);
  options.bursts.clear();
  for (RequestKind& kind : options.kinds) kind.arrivals_per_s /= 3;
  for (const auto& [name, result] : Simulate(options)) {
    BOOST_TEST(result.refused == 0, name);
    BOOST_TEST(result.Served() >= 0.99, name);
  }
}

}  // namespace bluebellpass::test
