#include <algorithm>

#include "scenarios.h"
#include "shed-checker.h"

/// Scenarios of invariant 2: no request is refused as overloaded while a less urgent one is kept
/// waiting.

namespace bluebellpass::test {
namespace {

using nlohmann::json;
using Violations = std::vector<std::string>;

constexpr int kTokens = 10;  // 0.2 s on one of 4 slots: 20 requests per second
constexpr int kDeadlineMs = 5'000;
constexpr std::size_t kPromptBytes = 200;
constexpr int kTierBytes = 4'096;  // about 20 waiting requests
constexpr Millis kFloodPeriod{8};
constexpr Millis kFloodTime{2'500};
constexpr Millis kLinkCutTime{2'000};
constexpr Millis kFinishTimeout{12'000};
constexpr int kMiddleTierRequests = 6;
constexpr Millis kFloorRequestDelay{40};
constexpr int kBurstRequests = 120;
constexpr int kCutInstance = 1;

ClusterOptions ShedOptions(double share) {
  ClusterOptions options;
  options.backends = {{"engine", "engine", "assistant", 2, 2, {"--decode-rate", "50"}}};
  options.has_peer_proxies = true;
  json tiers = json::array();
  int rank = 0;
  for (const char* name : {"urgent", "normal", "batch"}) {
    json tier = {{"name", name}, {"rank", rank}, {"max_waiting_bytes", kTierBytes}};
    if (rank > 0) tier["share"] = share;
    tiers.push_back(std::move(tier));
    ++rank;
  }
  options.extra_config = {{"tiers", tiers}};
  return options;
}

/// @return a function that makes request bodies: every eighth of the tier `other`, the rest of
/// `tier`
std::function<json(int)> MakeFloodBodyGenerator(const std::string& tier, const std::string& other) {
  return [tier, other](int number) {
    std::string prompt = "flood of " + tier + " " + std::to_string(number) + " ";
    prompt.resize(kPromptBytes, '.');
    return EngineBody(prompt, number % 8 == 7 ? other : tier, kTokens, kDeadlineMs);
  };
}

int CountRefused(const std::vector<TimelineEvent>& events, const std::string& tier) {
  return static_cast<int>(
      std::count_if(events.begin(), events.end(), [&](const TimelineEvent& event) {
        if (event.name != "not_run") return false;
        const json fields = json::parse(event.json);
        return fields.value("tier", "") == tier && fields.value("error", "") == "overloaded";
      }));
}

std::vector<std::shared_ptr<CallerResponse>> SendBurst(Cluster& cluster) {
  const auto body = MakeFloodBodyGenerator("urgent", "urgent");
  std::vector<std::shared_ptr<CallerResponse>> responses;
  responses.reserve(kBurstRequests);
  for (int number = 0; number < kBurstRequests; ++number) {
    responses.push_back(
        cluster.Submit(number % cluster.InstanceCount(), body(kBurstRequests + number)));
  }
  return responses;
}

Violations RunFlood(bool is_cut, const std::string& other, double share) {
  Cluster cluster(ShedOptions(share));
  for (int i = 0; i < cluster.InstanceCount(); ++i) {
    cluster.ControlPeerProxy(i, {{"mode", "pass"}, {"delay_ms", 300}});
  }
  SteadyLoad batch_load(cluster, kFloodPeriod, MakeFloodBodyGenerator("batch", other));
  batch_load.RunFor(kFloodTime);
  // The burst fills the owner's queue of the urgent tier while grants of less urgent requests are
  // in transit to other instances.
  const std::vector<std::shared_ptr<CallerResponse>> burst = SendBurst(cluster);
  SteadyLoad urgent_load(cluster, kFloodPeriod, MakeFloodBodyGenerator("urgent", other));
  urgent_load.RunFor(kFloodTime);
  if (is_cut) {
    cluster.ControlPeerProxy(kCutInstance, {{"mode", "cut"}});
    urgent_load.RunFor(kLinkCutTime);
    cluster.ControlPeerProxy(kCutInstance, {{"mode", "pass"}, {"delay_ms", 300}});
  }
  urgent_load.RunFor(kFloodTime);
  Violations violations;
  const bool is_burst_done = cluster.RunUntil(
      [&] {
        return std::all_of(burst.begin(), burst.end(),
                           [](const auto& response) { return response->is_done; });
      },
      kFinishTimeout);
  if (!is_burst_done || !batch_load.WaitUntilAllDone(kFinishTimeout) ||
      !urgent_load.WaitUntilAllDone(kFinishTimeout)) {
    violations.push_back("a request was not answered");
  }
  const std::vector<TimelineEvent> events = cluster.Timeline();
  for (const char* tier : {"urgent", "batch"}) {
    if (CountRefused(events, tier) == 0) {
      violations.push_back(std::string("no request was refused of tier ") + tier);
    }
  }
  const Violations found = CheckSheds(events, {{"urgent", 0}, {"normal", 1}, {"batch", 2}});
  violations.insert(violations.end(), found.begin(), found.end());
  CheckRanAtMostOnce(cluster, violations);
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

/// The urgent tier overflows at the owner while grants of the batch tier are in transit. Requests
/// of the normal tier then arrive before the other instances have promised the shed floor.
Violations RunMiddleTier() {
  Cluster cluster(ShedOptions(0.1));
  for (int i = 0; i < cluster.InstanceCount(); ++i) {
    cluster.ControlPeerProxy(i, {{"mode", "pass"}, {"delay_ms", 300}});
  }
  SteadyLoad batch_load(cluster, kFloodPeriod, MakeFloodBodyGenerator("batch", "batch"));
  batch_load.RunFor(kFloodTime);
  const auto burst = SendBurst(cluster);
  cluster.RunFor(kFloorRequestDelay);
  SteadyLoad normal_load(cluster, Millis{1}, MakeFloodBodyGenerator("normal", "normal"));
  normal_load.RunUntil([&] { return normal_load.SentRequests().size() >= kMiddleTierRequests; },
                       Millis{1'000});
  Violations violations;
  if (!batch_load.WaitUntilAllDone(kFinishTimeout) ||
      !normal_load.WaitUntilAllDone(kFinishTimeout)) {
    violations.push_back("a request was not answered");
  }
  const std::vector<TimelineEvent> events = cluster.Timeline();
  if (CountRefused(events, "normal") == 0)
    violations.push_back("no request was refused of tier normal");
  const Violations found = CheckSheds(events, {{"urgent", 0}, {"normal", 1}, {"batch", 2}});
  violations.insert(violations.end(), found.begin(), found.end());
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

}  // namespace

std::vector<Scenario> ShedScenarios() {
  using Seed = std::uint32_t;
  return {
      {"floods, links delayed", [](Seed) { return RunFlood(false, "batch", 0.1); }},
      {"floods, link cut for a while", [](Seed) { return RunFlood(true, "batch", 0.1); }},
      {"middle tier below a floor not yet promised by all", [](Seed) { return RunMiddleTier(); }},
      {"floods, with work of the middle tier", [](Seed) { return RunFlood(false, "normal", 0.4); }},
  };
}

}  // namespace bluebellpass::test
