#include "workload.h"

#include <csignal>

namespace bluebellpass::bench {
namespace {

constexpr std::size_t kUrgent = 0;
constexpr std::size_t kNormal = 1;
constexpr std::size_t kBatch = 2;
constexpr std::size_t kTokenBytes = 4;
constexpr double kBookingRate = 2;  // per second and organisation, at any scale
constexpr Millis kBookingDeadline{3'000};
constexpr double kEnd = 16;
constexpr double kChange = 6;
constexpr double kStoreOutage = 5;

std::vector<Demand> BaseDemands(double urgent, double normal, double batch) {
  return {{kUrgent, urgent, 0, kEnd}, {kNormal, normal, 0, kEnd}, {kBatch, batch, 0, kEnd}};
}

Workload WithFlood(const std::string& name, std::size_t kind, double load) {
  Workload workload{.name = name, .demands = BaseDemands(0.15, 0.05, 0.4)};
  workload.demands.push_back({kind, load, kChange, kEnd});
  return workload;
}

Workload WithIncidents(const std::string& name, std::vector<Incident> incidents) {
  return {.name = name, .demands = BaseDemands(0.15, 0.05, 0.6), .incidents = std::move(incidents)};
}

Workload OneLarge() {
  Workload workload{.name = "one-large", .demands = BaseDemands(0.15, 0.05, 2)};
  for (Demand& demand : workload.demands) {
    demand.large_share = 50;
    demand.is_one_large = true;
  }
  return workload;
}

void StoreMode(test::Cluster& cluster, const std::string& mode) {
  cluster.ControlStore({{"mode", mode}});
}

std::vector<Workload> MakeWorkloads() {
  return {WithFlood("flood-least", kBatch, 10),
          WithFlood("flood-most", kUrgent, 5),
          WithIncidents("normal", {}),
          OneLarge(),
          WithIncidents("loss", {{kChange,
                                  [](test::Cluster& cluster) {
                                    cluster.Daemon(0).Kill();
                                    cluster.Daemon(1).Kill();
                                  }}}),
          WithIncidents("slow-engine", {{kChange,
                                         [](test::Cluster& cluster) {
                                           cluster.ControlBackend("fast1", {{"slowdown", 5}});
                                         }}}),
          WithIncidents("store-down",
                        {{kChange, [](test::Cluster& c) { StoreMode(c, "down"); }},
                         {kChange + kStoreOutage, [](test::Cluster& c) { StoreMode(c, "up"); }}})};
}

double Share(const Deployment& deployment, const Demand& demand, std::size_t organisation) {
  const bool is_large =
      demand.is_one_large ? organisation == 0 : deployment.organisations[organisation].is_large;
  return is_large ? demand.large_share : 1;
}

standin::LoadStream BookingStream(const Organisation& organisation, std::uint64_t seed) {
  standin::LoadStream stream;
  stream.organisation = organisation.name;
  stream.tier = Kinds()[kUrgent].tier;
  stream.pool = kBookingPool;
  stream.rate = kBookingRate;
  stream.prompt_bytes = 100;
  stream.deadline = kBookingDeadline;
  stream.is_idempotent = false;
  stream.duration_s = kEnd;
  stream.seed = seed;
  return stream;
}

}  // namespace

const std::vector<Workload>& Workloads() {
  static const std::vector<Workload> workloads = MakeWorkloads();
  return workloads;
}

double RequestRate(const Deployment& deployment, const Demand& demand, std::size_t organisation,
                   double scale) {
  double sum = 0;
  for (std::size_t i = 0; i < deployment.organisations.size(); ++i) {
    sum += Share(deployment, demand, i);
  }
  const RequestKind& kind = Kinds()[demand.kind];
  const double capacity = deployment.Capacity() * scale / WorkSeconds(kind, true);
  return demand.load * capacity * Share(deployment, demand, organisation) / sum;
}

std::vector<standin::LoadStream> MakeStreams(const Deployment& deployment, const Workload& workload,
                                             int data_centre, double scale, std::uint64_t seed) {
  std::vector<standin::LoadStream> streams;
  std::uint64_t number = seed * 1000;
  for (std::size_t i = 0; i < deployment.organisations.size(); ++i) {
    const Organisation& organisation = deployment.organisations[i];
    const bool is_here = static_cast<int>(i) % deployment.data_centres == data_centre;
    for (const Demand& demand : workload.demands) {
      const RequestKind& kind = Kinds()[demand.kind];
      standin::LoadStream stream;
      stream.organisation = organisation.name;
      stream.tier = kind.tier;
      stream.pool = "assistant";
      stream.rate = RequestRate(deployment, demand, i, scale);
      stream.prompt_bytes = static_cast<std::size_t>(kind.prompt_tokens) * kTokenBytes;
      stream.shared_prefix_bytes = static_cast<std::size_t>(kind.shared_tokens) * kTokenBytes;
      stream.shared_prefix = organisation.name + "/" + kind.tier;
      stream.max_tokens = kind.output_tokens;
      stream.deadline = Millis{static_cast<std::int64_t>(kind.deadline_s * 1000 / scale)};
      stream.start_s = demand.start_s;
      stream.duration_s = demand.end_s - demand.start_s;
      stream.seed = ++number;
      if (is_here) streams.push_back(std::move(stream));
    }
    const std::uint64_t booking_seed = ++number;
    if (is_here) streams.push_back(BookingStream(organisation, booking_seed));
  }
  return streams;
}

}  // namespace bluebellpass::bench
