#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engine-model.h"
#include "gateway/decisions/scheduler.h"

namespace bluebellpass::test {

/// A kind of request in a load simulation.
struct RequestKind {
  std::string name;
  int rank = 0;
  double arrivals_per_s = 0;  ///< mean arrival rate
  double value = 1;           ///< value of a response on time, for a request of mean size
  double late_value = 0.3;    ///< value of a late response
  double prompt_mean = 0;
  double prompt_spread = 1;  ///< standard deviation of the logarithm
  double prompt_max = 0;
  double output_mean = 0;
  double output_spread = 1.5;
  double output_max = 0;
  Millis latency_objective{0};
  Millis max_event_gap{250};
  Millis deadline{15'000};
};

/// A period with a higher arrival rate of a kind.
struct ArrivalBurst {
  std::string kind;
  double factor = 1;
  double start_s = 0;
  double duration_s = 0;
};

/// A period in which some engines fail all requests sent to them, or are lost.
struct EngineFault {
  enum class Mode : std::uint8_t {
    kReset,   ///< requests are reset soon after they are sent
    kSilent,  ///< requests get no response
    kLost,    ///< running requests are reset and the engine is not registered
  };
  Mode mode = Mode::kReset;
  std::size_t first = 0;  ///< index of the first engine affected
  std::size_t count = 1;
  double start_s = 0;
  double duration_s = 0;
};

struct SimulationOptions {
  std::vector<RequestKind> kinds;
  std::vector<ArrivalBurst> bursts;
  std::vector<EngineFault> faults;
  std::vector<double> duration_factors;  ///< per engine, factor of the durations in engine
  EngineModelOptions engine;
  double length_s = 30;
  std::uint64_t seed = 1;
};

/// Result counts of the requests of one kind and size group. The groups are the largest tenth of
/// the kind by tokens, the fifth below it, and the rest.
struct SizeGroupCounts {
  int offered = 0;
  int served = 0;     ///< complete responses, including late ones
  int refused = 0;    ///< on the retry, or too late to retry
  int abandoned = 0;  ///< the caller disconnected, though no engine failed
  int failed = 0;     ///< reset or left without a response by a failing engine

  /// @return share of requests served, among those that did not fail
  double Served() const {
    return offered == failed ? 1 : static_cast<double>(served) / (offered - failed);
  }
};

/// Result counts of the requests of one kind.
struct KindResult {
  int offered = 0;
  int on_time = 0;
  int late = 0;
  int refused = 0;                       ///< on the retry, or too late to retry
  int abandoned = 0;                     ///< the caller disconnected, though no engine failed
  int failed = 0;                        ///< reset or left without a response by a failing engine
  std::array<SizeGroupCounts, 3> sizes;  ///< from the smallest to the largest
  double value = 0;                      ///< total value of the responses
  double max_value = 0;                  ///< total value if every response had been on time
  double refusal_ms = 0;                 ///< total time from sending until the refusal

  double Served() const { return offered == 0 ? 1 : static_cast<double>(on_time + late) / offered; }
  /// @return share of requests served, among those that did not fail
  double ServedExcludingFailed() const {
    SizeGroupCounts all;
    for (const SizeGroupCounts& group : sizes) {
      all.offered += group.offered;
      all.served += group.served;
      all.failed += group.failed;
    }
    return all.Served();
  }
  double ServedLarge() const { return sizes.back().Served(); }
};

using SimulationResults = std::map<std::string, KindResult>;

/// Simulates a load with the scheduler and modelled engines, without a network. Callers disconnect
/// at their deadline or after a pause longer than their patience, as the platform's callers do, and
/// retry once after a refusal.
SimulationResults Simulate(const SimulationOptions& options);

/// Simulates the same load without the scheduler: each request is sent at once to the engine with
/// the fewest requests.
SimulationResults SimulateUnscheduled(const SimulationOptions& options);

/// @return the results as a text table
std::string FormatTable(const SimulationResults& results);

/// Load of the Associação's heaviest days: two thirds of the engines are fast and the others five
/// times slower, and bursts of labels and dossiers come on top of a full load.
/// @param load factor of the rates of such a day
SimulationOptions HeavyDay(std::uint64_t seed, double load = 1);

/// Load of Calentadores Andinos on a day on which questions arrive at four times their rate while
/// some engines are lost. Responses to questions differ a hundredfold in length, and the longest
/// ones meet their deadline only on the faster engines.
/// @param lost_share share of the engines that are lost
SimulationOptions QuestionBurst(std::uint64_t seed, double lost_share);

}  // namespace bluebellpass::test
