#pragma once

#include <map>
#include <string>
#include <vector>

#include "workload.h"

namespace bluebellpass::bench {

/// Observations of one run of a workload under one policy.
struct RunRecord {
  std::vector<standin::LoadResult> results;
  std::vector<test::Execution> executions;
  std::int64_t started_ms = 0;  ///< wall clock
};

/// Percentiles in milliseconds of real time; -1 if there are no values.
struct Percentiles {
  double p50 = -1;
  double p95 = -1;
  double p99 = -1;
};

/// Figures of one tier for the requests due in the measured part of the run.
struct TierFigures {
  std::int64_t asked = 0;  ///< all requests
  std::int64_t on_time = 0;
  std::int64_t late = 0;                       ///< completed or abandoned after the deadline
  std::int64_t not_run = 0;                    ///< refused without being run
  std::map<std::string, std::int64_t> errors;  ///< requests that were not completed, by error
  std::int64_t asked_tokens = 0;
  std::int64_t on_time_tokens = 0;
  double reference_goodput = 0;  ///< before the flood or fault
  double goodput_bound = 0;      ///< share of the asked work that the engines could do
  double token_share = 0;        ///< of the tokens of all answers on time
  Percentiles time_to_first_token;
  Percentiles latency;

  /// @return fraction of the requests that were answered on time, 0 to 1
  double Goodput() const;
  /// @return goodput divided by its bound; it can slightly exceed 1, since the bound is an estimate
  double BoundedGoodput() const;
};

struct RunFigures {
  std::map<std::string, TierFigures> tiers;
  double small_to_large = 0;  ///< received parts of fair shares: mean of small over mean of large
  double jain = 0;            ///< Jain's index of the received parts of fair shares
  double wasted_prefill = 0;  ///< fraction of the prefill in cancelled or repeated executions
  double late_prefill = 0;    ///< fraction of the prefill for answers that were not on time
  double prefix_hits = 0;     ///< cached tokens relative to one cache shared by all engines
  double recovery_s = -1;     ///< until goodput recovers after an incident; -1 if it does not
  std::int64_t unknown = 0;   ///< requests with unknown outcome
  std::int64_t not_sent = 0;
  std::int64_t repeated_executions = 0;  ///< beyond the first per request id or booking key
  std::int64_t bookings_on_time = 0;
  std::int64_t bookings = 0;
  std::map<std::string, std::int64_t> booking_errors;
};

/// @return the max-min fair allocation of a total: each organisation gets what it asked, limited to
/// an equal share of the rest
std::vector<double> MaxMinFairShares(const std::vector<double>& asked, double total);

/// @return Jain's fairness index: 1 if all values are equal, 1/n if only one is not 0
double JainIndex(const std::vector<double>& values);

RunFigures Measure(const Deployment& deployment, const Workload& workload, double scale,
                   const RunRecord& record);

}  // namespace bluebellpass::bench
