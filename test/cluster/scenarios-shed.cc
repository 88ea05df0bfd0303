#include <algorithm>

#include "scenarios.h"
#include "shed-checker.h"

/// Invariant 2: a higher tier is never shed while lower-tier work is still kept.

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
constexpr Millis kCutTime{2'000};
constexpr Millis kFinishLimit{12'000};
constexpr int kMiddle = 6;
constexpr Millis kFloorAsked{40};
constexpr int kBurst = 120;
constexpr int kCut = 1;

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

/// Most of the load is of one tier; every eighth request is of another one.
std::function<json(int)> FloodOf(const std::string& tier, const std::string& other) {
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

std::vector<std::shared_ptr<CallerView>> SendBurst(Cluster& cluster) {
  const auto body = FloodOf("urgent", "urgent");
  std::vector<std::shared_ptr<CallerView>> views;
  views.reserve(kBurst);
  for (int number = 0; number < kBurst; ++number) {
    views.push_back(cluster.Submit(number % cluster.InstanceCount(), body(kBurst + number)));
  }
  return views;
}

Violations RunFlood(bool is_cut, const std::string& other, double share) {
  Cluster cluster(ShedOptions(share));
  for (int i = 0; i < cluster.InstanceCount(); ++i) {
    cluster.ControlPeerProxy(i, {{"mode", "pass"}, {"delay_ms", 300}});
  }
  SteadyLoad lowest(cluster, kFloodPeriod, FloodOf("batch", other));
  lowest.RunFor(kFloodTime);
  // A burst overfills the tier at the owner while grants of lower work are on their way to others.
  const std::vector<std::shared_ptr<CallerView>> burst = SendBurst(cluster);
  SteadyLoad highest(cluster, kFloodPeriod, FloodOf("urgent", other));
  highest.RunFor(kFloodTime);
  if (is_cut) {
    cluster.ControlPeerProxy(kCut, {{"mode", "cut"}});
    highest.RunFor(kCutTime);
    cluster.ControlPeerProxy(kCut, {{"mode", "pass"}, {"delay_ms", 300}});
  }
  highest.RunFor(kFloodTime);
  Violations violations;
  const bool is_burst_done = cluster.RunUntil(
      [&] {
        return std::all_of(burst.begin(), burst.end(),
                           [](const auto& view) { return view->is_done; });
      },
      kFinishLimit);
  if (!is_burst_done || !lowest.Finish(kFinishLimit) || !highest.Finish(kFinishLimit)) {
    violations.push_back("a caller got no answer");
  }
  const std::vector<TimelineEvent> events = cluster.Timeline();
  for (const char* tier : {"urgent", "batch"}) {
    if (CountRefused(events, tier) == 0) {
      violations.push_back(std::string("nothing was refused of tier ") + tier);
    }
  }
  const Violations found = CheckSheds(events, {{"urgent", 0}, {"normal", 1}, {"batch", 2}});
  violations.insert(violations.end(), found.begin(), found.end());
  CheckRanOnce(cluster, violations);
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

/// The highest tier overflows at the owner while grants of the lowest are on their way. Requests of
/// the middle tier then come before the other instances have promised the floor.
Violations RunMiddleTier() {
  Cluster cluster(ShedOptions(0.1));
  for (int i = 0; i < cluster.InstanceCount(); ++i) {
    cluster.ControlPeerProxy(i, {{"mode", "pass"}, {"delay_ms", 300}});
  }
  SteadyLoad lowest(cluster, kFloodPeriod, FloodOf("batch", "batch"));
  lowest.RunFor(kFloodTime);
  const auto burst = SendBurst(cluster);
  cluster.RunFor(kFloorAsked);
  SteadyLoad middle(cluster, Millis{1}, FloodOf("normal", "normal"));
  middle.RunUntil([&] { return middle.Sent().size() >= kMiddle; }, Millis{1'000});
  Violations violations;
  if (!lowest.Finish(kFinishLimit) || !middle.Finish(kFinishLimit)) {
    violations.push_back("a caller got no answer");
  }
  const std::vector<TimelineEvent> events = cluster.Timeline();
  if (CountRefused(events, "normal") == 0) violations.push_back("nothing was refused of normal");
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
