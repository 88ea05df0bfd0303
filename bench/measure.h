#pragma once

#include <map>
#include <string>
#include <vector>

#include "workload.h"

namespace bluebellpass::bench {

/// What was observed in one run of a workload under one policy.
struct RunRecord {
  std::vector<standin::LoadResult> results;
  std::vector<test::Execution> executions;
  std::int64_t started_ms = 0;  ///< wall clock
};

/// Median and upper percentiles in milliseconds of real time; -1 when nothing was measured.
struct Percentiles {
  double p50 = -1;
  double p95 = -1;
  double p99 = -1;
};

/// Figures of one tier, of requests due in the measured part of the run.
struct TierFigures {
  std::int64_t asked = 0;
  std::int64_t on_time = 0;
  std::int64_t late = 0;                       ///< completed after the deadline
  std::int64_t not_run = 0;                    ///< refused with the guarantee that nothing was run
  std::map<std::string, std::int64_t> errors;  ///< requests without an answer, by error
  std::int64_t asked_tokens = 0;
  std::int64_t on_time_tokens = 0;
  double reference = 0;    ///< on time as a share of what was asked, before the flood or fault
  double bound = 0;        ///< work that engines could do for the tier, in share of what was asked
  double token_share = 0;  ///< of the tokens of answers on time, by the time of their end
  Percentiles time_to_first_token;
  Percentiles latency;

  /// @return on time as a share of what was asked, 0 to 1
  double Goodput() const;
  /// @return goodput as a share of the bound, 0 to 1 and a little more when the bound is estimated
  double BoundedGoodput() const;
};

struct RunFigures {
  std::map<std::string, TierFigures> tiers;
  double small_to_large = 0;  ///< ratio of the mean shares received of the fair share
  double jain = 0;            ///< index of the shares received of the fair share
  double wasted_prefill = 0;  ///< cancelled or repeated prefill as a share of the whole
  double late_prefill = 0;    ///< prefill of answers that were late, as a share of the whole
  double prefix_hits = 0;     ///< of those with one cache for all engines
  double recovery_s = -1;     ///< until goodput is back after an incident; -1 when it is not
  std::int64_t unknown = 0;   ///< outcomes
  std::int64_t not_sent = 0;
  std::int64_t repeated_executions = 0;  ///< executions above one per request id or booking key
  std::int64_t bookings_on_time = 0;
  std::int64_t bookings = 0;
  std::map<std::string, std::int64_t> booking_errors;
};

/// @return the fair part of each organisation: what it asked, up to an equal share of the total
std::vector<double> MaxMinShares(const std::vector<double>& asked, double total);

/// @return Jain's index: 1 when all values are equal, 1/n when one has everything
double JainIndex(const std::vector<double>& values);

RunFigures Measure(const Deployment& deployment, const Workload& workload, double scale,
                   const RunRecord& record);

}  // namespace bluebellpass::bench
