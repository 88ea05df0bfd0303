#include <algorithm>
#include <map>

#include "scenarios.h"
#include "standins/engine.h"
#include "standins/standin.h"

/// Scenarios in which existing connections stay open but carry no more data, while new ones work.

namespace bluebellpass::test {
namespace {

using nlohmann::json;
using Violations = std::vector<std::string>;

constexpr std::int64_t kMaxRecoveryMs = 5'000;
constexpr Millis kObservationTime{6'000};
constexpr Millis kFinishTimeout{20'000};
constexpr int kStreams = 6;
constexpr int kLongTokens = 200;  // 4 s of streaming at 50 tokens per second

ClusterOptions SilenceOptions() {
  ClusterOptions options;
  options.backends = {{"engine", "engine", "assistant", 2, 4, {"--decode-rate", "50"}}};
  options.has_backend_proxies = true;
  options.has_peer_proxies = true;
  return options;
}

bool AreAllDone(const std::vector<std::shared_ptr<CallerResponse>>& responses) {
  return std::all_of(responses.begin(), responses.end(),
                     [](const auto& response) { return response->is_done; });
}

void CheckAnswer(const CallerResponse& response, const json& body, Violations& violations) {
  const std::string expected = standin::ExpectedAnswer(
      body["prompt"].get<std::string>(), response.id, body["max_tokens"].get<std::int64_t>());
  if (response.outcome != "completed" || response.has_gap || response.answer != expected) {
    violations.push_back(response.id + " ended as '" + response.outcome + "' " + response.error +
                         " with " + std::to_string(response.answer.size()) + " of " +
                         std::to_string(expected.size()) + " bytes");
  }
}

Violations RunSilentStreams() {
  Cluster cluster(SilenceOptions());
  std::vector<json> bodies;
  std::vector<std::shared_ptr<CallerResponse>> responses;
  for (int i = 0; i < kStreams; ++i) {
    bodies.push_back(EngineBody("question " + std::to_string(i), "urgent", kLongTokens));
    responses.push_back(cluster.Submit(i % cluster.InstanceCount(), bodies.back()));
  }
  const bool is_streaming = cluster.RunUntil([&] {
    return std::all_of(responses.begin(), responses.end(),
                       [](const auto& response) { return response->answer.size() > 100; });
  });
  if (!is_streaming) return {"not all streams began"};
  for (const std::string& name : cluster.BackendNames("assistant")) {
    cluster.ControlBackendProxy(name, {{"mode", "silent_existing"}});
  }
  const std::int64_t silent_ms = standin::WallMillis();
  Violations violations;
  if (!cluster.RunUntil([&] { return AreAllDone(responses); }, kFinishTimeout)) {
    violations.push_back("a response did not end");
  }
  std::map<std::string, std::int64_t> resumed_ms;
  for (const TimelineEvent& event : cluster.Timeline()) {
    if (event.name == "stream_resumed") resumed_ms.try_emplace(event.request, WallMillisOf(event));
  }
  for (std::size_t i = 0; i < responses.size(); ++i) {
    CheckAnswer(*responses[i], bodies[i], violations);
    const auto found = resumed_ms.find(responses[i]->id);
    if (found == resumed_ms.end()) {
      violations.push_back(responses[i]->id + " was not resumed");
    } else if (found->second - silent_ms > kMaxRecoveryMs) {
      violations.push_back(responses[i]->id + " was resumed after " +
                           std::to_string(found->second - silent_ms) + " ms");
    }
  }
  CheckRanAtMostOnce(cluster, violations);
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

/// @return the link as "INSTANCE to PEER", from the event of one of its ends
std::string LinkName(const TimelineEvent& event) {
  return event.instance + " to " + json::parse(event.json).value("peer", "");
}

/// Adds a violation for each link that was not replaced in time.
void CheckLinksReplaced(Cluster& cluster, std::int64_t silent_ms, Violations& violations) {
  std::map<std::string, std::int64_t> down_ms;
  std::map<std::string, std::int64_t> up_ms;
  for (const TimelineEvent& event : cluster.Timeline()) {
    if (WallMillisOf(event) < silent_ms) continue;
    if (event.name == "link_down") down_ms.try_emplace(LinkName(event), WallMillisOf(event));
    // The new link may be established before the old one is closed.
    if (event.name == "link_up") up_ms.try_emplace(LinkName(event), WallMillisOf(event));
  }
  for (int from = 0; from < cluster.InstanceCount(); ++from) {
    for (int to = 0; to < cluster.InstanceCount(); ++to) {
      if (from == to) continue;
      const std::string link = cluster.InstanceName(from) + " to " + cluster.InstanceName(to);
      for (const auto* event_times : {&down_ms, &up_ms}) {
        const auto found = event_times->find(link);
        const std::string problem =
            link + (event_times == &down_ms ? " was not closed" : " was not opened again");
        if (found == event_times->end()) {
          violations.push_back(problem);
        } else if (found->second - silent_ms > kMaxRecoveryMs) {
          violations.push_back(problem + " until " + std::to_string(found->second - silent_ms) +
                               " ms after the silence");
        }
      }
    }
  }
}

Violations RunSilentLinks() {
  Cluster cluster(SilenceOptions());
  cluster.RunFor(Millis{1'500});
  std::vector<std::string> ids;
  ids.reserve(static_cast<std::size_t>(cluster.InstanceCount()));
  for (int i = 0; i < cluster.InstanceCount(); ++i) ids.push_back(cluster.NewId(i));
  for (int i = 0; i < cluster.InstanceCount(); ++i) {
    cluster.ControlPeerProxy(i, {{"mode", "silent_existing"}});
  }
  const std::int64_t silent_ms = standin::WallMillis();
  cluster.RunFor(kObservationTime);
  Violations violations;
  CheckLinksReplaced(cluster, silent_ms, violations);
  // Each request is submitted to another instance than its home, so that it crosses a link.
  std::vector<json> bodies;
  std::vector<std::shared_ptr<CallerResponse>> responses;
  for (int i = 0; i < cluster.InstanceCount(); ++i) {
    bodies.push_back(EngineBody("question " + std::to_string(i), "urgent", 10));
    responses.push_back(cluster.Submit((i + 1) % cluster.InstanceCount(), bodies.back(),
                                       ids[static_cast<std::size_t>(i)]));
  }
  if (!cluster.RunUntil([&] { return AreAllDone(responses); }, kFinishTimeout)) {
    violations.push_back("a response did not end");
  }
  for (std::size_t i = 0; i < responses.size(); ++i)
    CheckAnswer(*responses[i], bodies[i], violations);
  CheckRanAtMostOnce(cluster, violations);
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

}  // namespace

std::vector<Scenario> SilenceScenarios() {
  using Seed = std::uint32_t;
  return {
      {"silent engine streams", [](Seed) { return RunSilentStreams(); }},
      {"silent links", [](Seed) { return RunSilentLinks(); }},
  };
}

}  // namespace bluebellpass::test
