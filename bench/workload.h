#pragma once

#include <functional>
#include <string>
#include <vector>

#include "deployment.h"
#include "standins/load-experiment.h"

namespace bluebellpass::bench {

/// Requests of one tier in a span of the run.
struct Demand {
  std::size_t kind = 0;  ///< index in Kinds()
  double load = 0;       ///< work as a share of the whole capacity
  double start_s = 0;    ///< real time, from the start of the run
  double end_s = 0;
  double large_share = 4;  ///< requests of each asking large organisation, where a small one has 1
  bool is_one_large = false;  ///< only the first organisation counts as large
};

/// Something that happens in the middle of a run.
struct Incident {
  double at_s = 0;
  std::function<void(test::Cluster&)> act;
};

/// A workload with its incidents. Requests due before `measured_from_s` are the reference without
/// the flood or the fault.
struct Workload {
  std::string name;
  std::vector<Demand> demands;
  std::vector<Incident> incidents;
  double reference_from_s = 1;
  double measured_from_s = 6;
  double end_s = 16;
};

const std::vector<Workload>& Workloads();

/// Calls to the services that may not be repeated; a stream of its own, not a tier.
inline constexpr char kBookingPool[] = "booking";

/// @return the streams of the callers in one data centre
/// @param data_centre from 0; organisation i calls from data centre i modulo their number
/// @param seed the same for all policies
std::vector<standin::LoadStream> MakeStreams(const Deployment& deployment, const Workload& workload,
                                             int data_centre, double scale, std::uint64_t seed);

/// @return requests per second of an organisation
double RequestRate(const Deployment& deployment, const Demand& demand, std::size_t organisation,
                   double scale);

}  // namespace bluebellpass::bench
