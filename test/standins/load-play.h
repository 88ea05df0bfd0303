#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engine-model.h"
#include "gateway/scheduler.h"

namespace bluebellpass::test {

/// A kind of request in a load simulation.
struct RequestKind {
  std::string name;
  int rank = 0;
  double per_s = 0;
  double worth = 1;
  double late_worth = 0.3;
  double prompt_mean = 0;
  double prompt_spread = 1;  ///< of the logarithm
  double prompt_max = 0;
  double output_mean = 0;
  double output_spread = 1.5;
  double output_max = 0;
  Millis latency_objective{0};
  Millis max_event_gap{250};
  Millis deadline{15'000};
};

/// A time in which a kind arrives more often.
struct ArrivalBurst {
  std::string kind;
  double factor = 1;
  double from_s = 0;
  double for_s = 0;
};

/// A time in which some engines fail all that they are sent, or are gone.
struct EngineFault {
  enum class Mode : std::uint8_t {
    kReset,   ///< requests are broken off at once
    kSilent,  ///< requests get no answer
    kLost,    ///< the engine breaks off what it runs and is no longer registered
  };
  Mode mode = Mode::kReset;
  std::size_t first = 0;  ///< index of the first of these engines
  std::size_t count = 1;
  double from_s = 0;
  double for_s = 0;
};

struct SimulationOptions {
  std::vector<RequestKind> kinds;
  std::vector<ArrivalBurst> bursts;
  std::vector<EngineFault> faults;
  std::vector<double> slowness;  ///< of each engine, against the model's options
  EngineModelOptions engine;
  double length_s = 30;
  std::uint64_t seed = 1;
};

/// What callers of one size got. Sizes are told apart as callers count them: the largest tenth of a
/// kind by tokens, the fifth below it, and the rest.
struct SizeGroupCounts {
  int asked = 0;
  int served = 0;     ///< whole answers, also late ones
  int refused = 0;    ///< told so, and did not come back with success
  int abandoned = 0;  ///< the caller gave up without an answer
  int failed = 0;     ///< broken off or left in silence by an engine that fails

  /// @return part of the requests that were served, without those that a fault broke off
  double Served() const {
    return asked == failed ? 1 : static_cast<double>(served) / (asked - failed);
  }
};

/// What callers of a kind got.
struct KindResult {
  int asked = 0;
  int on_time = 0;
  int late = 0;
  int refused = 0;                       ///< told so, and did not come back with success
  int abandoned = 0;                     ///< the caller gave up without an answer
  int failed = 0;                        ///< broken off or left in silence by an engine that fails
  std::array<SizeGroupCounts, 3> sizes;  ///< from the smallest to the largest
  double worth = 0;
  double max_worth = 0;
  double refusal_ms = 0;  ///< mean time until a refusal

  double Served() const { return asked == 0 ? 1 : static_cast<double>(on_time + late) / asked; }
  /// @return part of the requests that were served, without those that a fault broke off
  double ServedExcludingFailed() const {
    SizeGroupCounts all;
    for (const SizeGroupCounts& group : sizes) {
      all.asked += group.asked;
      all.served += group.served;
      all.failed += group.failed;
    }
    return all.Served();
  }
  double ServedLarge() const { return sizes.back().Served(); }
};

using SimulationResults = std::map<std::string, KindResult>;

/// Simulates a day's load against a scheduler and modelled engines, without a network. Callers
/// leave after pauses as the platform's callers do, and come back once after a refusal.
SimulationResults Simulate(const SimulationOptions& options);

/// The same load with all work sent at once to the engine with the fewest requests.
SimulationResults SimulateUnscheduled(const SimulationOptions& options);

/// @return a table for people
std::string Describe(const SimulationResults& results);

/// The mix of the Associação's heaviest days: two thirds of the engines are fast, the others about
/// five times slower, and bursts of labels and dossiers come on top of a full load.
/// @param load against the ordinary rate of such a day
SimulationOptions HeavyDay(std::uint64_t seed, double load = 1);

/// A day of Calentadores Andinos on which questions come at four times their rate while a part of
/// the engines is lost. Answers to questions differ a hundredfold in length, and the longest ones
/// meet their deadline only on the faster engines.
/// @param lost_share part of the engines that are lost
SimulationOptions QuestionBurst(std::uint64_t seed, double lost_share);

}  // namespace bluebellpass::test
