#include "workload.h"

#include <csignal>

namespace bluebellpass::bench {
namespace {

constexpr std::size_t kUrgent = 0;
constexpr std::size_t kNormal = 1;
constexpr std::size_t kBatch = 2;
constexpr std::size_t kTokenBytes = 4;
constexpr double kBookingRate = 2;  // per second and organisation, not scaled
constexpr Millis kBookingDeadline{3'000};
constexpr double kEndTime = 16;
constexpr double kIncidentTime = 6;
constexpr double kStoreOutageTime = 5;

std::vector<TierLoad> BaseTierLoads(double urgent, double normal, double batch) {
  return {
      {kUrgent, urgent, 0, kEndTime}, {kNormal, normal, 0, kEndTime}, {kBatch, batch, 0, kEndTime}};
}

Workload FloodWorkload(const std::string& name, std::size_t kind, double relative_load) {
  Workload workload{.name = name, .tier_loads = BaseTierLoads(0.15, 0.05, 0.4)};
  workload.tier_loads.push_back({kind, relative_load, kIncidentTime, kEndTime});
  return workload;
}

Workload IncidentWorkload(const std::string& name, std::vector<Incident> incidents) {
  return {.name = name,
          .tier_loads = BaseTierLoads(0.15, 0.05, 0.6),
          .incidents = std::move(incidents)};
}

Workload OneLargeWorkload() {
  Workload workload{.name = "one-large", .tier_loads = BaseTierLoads(0.15, 0.05, 2)};
  for (TierLoad& tier_load : workload.tier_loads) {
    tier_load.large_weight = 50;
    tier_load.has_one_large = true;
  }
  return workload;
}

void SetStoreMode(test::Cluster& cluster, const std::string& mode) {
  cluster.ControlStore({{"mode", mode}});
}

std::vector<Workload> MakeWorkloads() {
  return {FloodWorkload("flood-least", kBatch, 10),
          FloodWorkload("flood-most", kUrgent, 5),
          IncidentWorkload("normal", {}),
          OneLargeWorkload(),
          IncidentWorkload("loss", {{kIncidentTime,
                                     [](test::Cluster& cluster) {
                                       cluster.Daemon(0).Kill();
                                       cluster.Daemon(1).Kill();
                                     }}}),
          IncidentWorkload("slow-engine", {{kIncidentTime,
                                            [](test::Cluster& cluster) {
                                              cluster.ControlBackend("fast1", {{"slowdown", 5}});
                                            }}}),
          IncidentWorkload("store-down",
                           {{kIncidentTime, [](test::Cluster& c) { SetStoreMode(c, "down"); }},
                            {kIncidentTime + kStoreOutageTime,
                             [](test::Cluster& c) { SetStoreMode(c, "up"); }}})};
}

double RateWeight(const Deployment& deployment, const TierLoad& tier_load,
                  std::size_t organisation) {
  const bool is_large =
      tier_load.has_one_large ? organisation == 0 : deployment.organisations[organisation].is_large;
  return is_large ? tier_load.large_weight : 1;
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
  stream.duration_s = kEndTime;
  stream.seed = seed;
  return stream;
}

}  // namespace

const std::vector<Workload>& Workloads() {
  static const std::vector<Workload> workloads = MakeWorkloads();
  return workloads;
}

double RequestRate(const Deployment& deployment, const TierLoad& tier_load,
                   std::size_t organisation, double scale) {
  double sum = 0;
  for (std::size_t i = 0; i < deployment.organisations.size(); ++i) {
    sum += RateWeight(deployment, tier_load, i);
  }
  const RequestKind& kind = Kinds()[tier_load.kind];
  const double capacity = deployment.Capacity() * scale / RunSeconds(kind, true);
  return tier_load.relative_load * capacity * RateWeight(deployment, tier_load, organisation) / sum;
}

std::vector<standin::LoadStream> MakeStreams(const Deployment& deployment, const Workload& workload,
                                             int data_centre, double scale, std::uint64_t seed) {
  std::vector<standin::LoadStream> streams;
  std::uint64_t stream_seed = seed * 1000;
  for (std::size_t i = 0; i < deployment.organisations.size(); ++i) {
    const Organisation& organisation = deployment.organisations[i];
    const bool is_caller_here = static_cast<int>(i) % deployment.data_centres == data_centre;
    for (const TierLoad& tier_load : workload.tier_loads) {
      const RequestKind& kind = Kinds()[tier_load.kind];
      standin::LoadStream stream;
      stream.organisation = organisation.name;
      stream.tier = kind.tier;
      stream.pool = "assistant";
      stream.rate = RequestRate(deployment, tier_load, i, scale);
      stream.prompt_bytes = static_cast<std::size_t>(kind.prompt_tokens) * kTokenBytes;
      stream.shared_prefix_bytes = static_cast<std::size_t>(kind.shared_tokens) * kTokenBytes;
      stream.shared_prefix = organisation.name + "/" + kind.tier;
      stream.max_tokens = kind.output_tokens;
      stream.deadline = Millis{static_cast<std::int64_t>(kind.deadline_s * 1000 / scale)};
      stream.start_s = tier_load.start_s;
      stream.duration_s = tier_load.end_s - tier_load.start_s;
      stream.seed = ++stream_seed;
      if (is_caller_here) streams.push_back(std::move(stream));
    }
    const std::uint64_t booking_seed = ++stream_seed;
    if (is_caller_here) streams.push_back(BookingStream(organisation, booking_seed));
  }
  return streams;
}

}  // namespace bluebellpass::bench
