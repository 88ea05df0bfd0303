#include "deployment.h"

namespace bluebellpass::bench {
namespace {

using nlohmann::json;

// Rates of an engine of medium speed, in tokens per second, before multiplication by the scale.
constexpr double kPrefillRate = 8'000;
constexpr double kDecodeRate = 50;
// Number of streams that an engine decodes at full speed, also used as its configured slots.
constexpr int kSlots = 4;
// Enough for four dossiers, which have 4,400 tokens each.
constexpr int kTokenCapacity = 20'000;
constexpr int kLoadLagMs = 200;
constexpr int kServiceDelayMs = 20;
// Queue limits in one cell, large enough that only floods reach them.
constexpr int kSmallTierBytes = 1 << 20;
constexpr int kBatchTierBytes = 4 << 20;

}  // namespace

const std::vector<RequestKind>& Kinds() {
  static const std::vector<RequestKind> kinds = {{"urgent", 100, 0, 60, 4, 0},
                                                 {"normal", 20, 0, 20, 10, 0.1},
                                                 {"batch", 4'000, 2'000, 400, 24, 0.1}};
  return kinds;
}

const std::vector<Deployment>& Deployments() {
  static const std::vector<Deployment> deployments = {
      {.name = "associacao",
       .data_centres = 4,
       // 1.5 ms, rounded up because the proxies delay by whole milliseconds.
       .peer_delay = Millis{2},
       .engines = {{"fast", 6, 1.5}, {"middle", 8, 1}, {"slow", 6, 0.6}},
       .service_prefix = "desk",
       .services = 4,
       .organisations = {{"grande", true},
                         {"maior", true},
                         {"escola", false},
                         {"oficina", false},
                         {"atelier", false}}},
      {.name = "calentadores",
       .data_centres = 3,
       // 0.5 ms, rounded up.
       .peer_delay = Millis{1},
       .engines = {{"fast", 6, 1.5}, {"middle", 8, 1}, {"slow", 6, 0.6}},
       .service_prefix = "orders",
       .services = 3,
       .organisations = {{"distrib", true},
                         {"mayor", true},
                         {"taller", false},
                         {"tienda", false},
                         {"sierra", false}}}};
  return deployments;
}

double Deployment::Capacity() const {
  double capacity = 0;
  for (const EngineGroup& group : engines) capacity += group.count * group.speed * kSlots;
  return capacity;
}

double RunSeconds(const RequestKind& kind, bool has_prefix) {
  const int uncached_tokens = kind.prompt_tokens - (has_prefix ? kind.shared_tokens : 0);
  return uncached_tokens / kPrefillRate + kind.output_tokens / kDecodeRate;
}

test::ClusterOptions MakeClusterOptions(const Deployment& deployment, const std::string& policy,
                                        double scale) {
  test::ClusterOptions options;
  options.instances = deployment.instances;
  options.data_centres = deployment.data_centres;
  options.log_level = "warning";
  options.daemon_flags = {"--policy", policy};
  options.has_peer_proxies = true;
  for (const EngineGroup& group : deployment.engines) {
    const double prefill = kPrefillRate * group.speed;
    const double decode = kDecodeRate * group.speed;
    options.backends.push_back(
        {.prefix = group.prefix,
         .kind = "engine",
         .pool = "assistant",
         .count = group.count,
         .slots = kSlots,
         .flags = {"--prefill-rate", std::to_string(prefill), "--decode-rate",
                   std::to_string(decode), "--batch", std::to_string(kSlots), "--time-scale",
                   std::to_string(scale), "--load-lag-ms", std::to_string(kLoadLagMs)},
         .config = {{"token_capacity", kTokenCapacity},
                    {"tokens_per_second", decode * scale},
                    {"prefill_tokens_per_second", prefill * scale}}});
  }
  options.backends.push_back({.prefix = deployment.service_prefix,
                              .kind = "service",
                              .pool = "booking",
                              .count = deployment.services,
                              .slots = kSlots,
                              .flags = {"--delay-ms", std::to_string(kServiceDelayMs)}});
  json tiers = json::array();
  for (const RequestKind& kind : Kinds()) {
    const bool is_batch = kind.shared_tokens > 0;
    tiers.push_back({{"name", kind.tier},
                     {"rank", tiers.size()},
                     {"share", kind.minimum_share},
                     {"max_waiting_bytes", is_batch ? kBatchTierBytes : kSmallTierBytes}});
  }
  json organisations = json::array();
  for (const Organisation& organisation : deployment.organisations) {
    organisations.push_back({{"name", organisation.name}});
  }
  options.extra_config = {{"tiers", tiers}, {"organisations", organisations}};
  return options;
}

}  // namespace bluebellpass::bench
