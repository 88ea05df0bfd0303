#pragma once

#include <functional>
#include <string>
#include <vector>

#include "deployment.h"
#include "standins/load-experiment.h"

namespace bluebellpass::bench {

/// Offered load of one tier during a part of the run.
struct TierLoad {
  std::size_t kind = 0;      ///< index in Kinds()
  double relative_load = 0;  ///< work as a fraction of the deployment's capacity
  double start_s = 0;        ///< real time, from the start of the run
  double end_s = 0;
  double large_weight = 4;     ///< rate of a large organisation relative to a small one
  bool has_one_large = false;  ///< only the first organisation is large
};

/// A fault, or its repair, during a run.
struct Incident {
  double at_s = 0;
  std::function<void(test::Cluster&)> apply;
};

/// Offered loads and incidents of a run. Requests due before `measured_from_s` are the reference
/// without the flood or fault.
struct Workload {
  std::string name;
  std::vector<TierLoad> tier_loads;
  std::vector<Incident> incidents;
  double reference_from_s = 1;
  double measured_from_s = 6;
  double end_s = 16;
};

const std::vector<Workload>& Workloads();

/// Pool of the plain services. Bookings are not idempotent and are measured separately from the
/// tiers.
inline constexpr char kBookingPool[] = "booking";

/// @return the streams of the callers in one data centre
/// @param data_centre index; organisation i calls from data centre i modulo the number of them
/// @param seed must be the same for all policies
std::vector<standin::LoadStream> MakeStreams(const Deployment& deployment, const Workload& workload,
                                             int data_centre, double scale, std::uint64_t seed);

/// @return requests per second of an organisation
double RequestRate(const Deployment& deployment, const TierLoad& tier_load,
                   std::size_t organisation, double scale);

}  // namespace bluebellpass::bench
