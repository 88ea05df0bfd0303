#include <algorithm>
#include <map>

#include "scenarios.h"
#include "standins/engine.h"
#include "standins/standin.h"

/// Connections that carry nothing more, while new ones work.

namespace bluebellpass::test {
namespace {

using nlohmann::json;
using Violations = std::vector<std::string>;

constexpr std::int64_t kBoundMs = 5'000;
constexpr Millis kObserve{6'000};
constexpr Millis kFinishLimit{20'000};
constexpr int kStreams = 6;
constexpr int kLongTokens = 200;  // 4 s of streaming at 50 tokens per second

ClusterOptions SilenceOptions() {
  ClusterOptions options;
  options.backends = {{"engine", "engine", "assistant", 2, 4, {"--decode-rate", "50"}}};
  options.has_backend_proxies = true;
  options.has_peer_proxies = true;
  return options;
}

bool AreDone(const std::vector<std::shared_ptr<CallerView>>& views) {
  return std::all_of(views.begin(), views.end(), [](const auto& view) { return view->is_done; });
}

void CheckWhole(const CallerView& view, const json& body, Violations& violations) {
  const std::string expected = standin::ExpectedAnswer(body["prompt"].get<std::string>(), view.id,
                                                       body["max_tokens"].get<std::int64_t>());
  if (view.outcome != "completed" || view.has_gap || view.answer != expected) {
    violations.push_back(view.id + " ended as '" + view.outcome + "' " + view.error + " with " +
                         std::to_string(view.answer.size()) + " of " +
                         std::to_string(expected.size()) + " bytes");
  }
}

Violations RunSilentStreams() {
  Cluster cluster(SilenceOptions());
  std::vector<json> bodies;
  std::vector<std::shared_ptr<CallerView>> views;
  for (int i = 0; i < kStreams; ++i) {
    bodies.push_back(EngineBody("question " + std::to_string(i), "urgent", kLongTokens));
    views.push_back(cluster.Submit(i % cluster.InstanceCount(), bodies.back()));
  }
  const bool is_streaming = cluster.RunUntil([&] {
    return std::all_of(views.begin(), views.end(),
                       [](const auto& view) { return view->answer.size() > 100; });
  });
  if (!is_streaming) return {"the streams did not begin"};
  for (const std::string& name : cluster.BackendNames("assistant")) {
    cluster.ControlBackendProxy(name, {{"mode", "silent_existing"}});
  }
  const std::int64_t silent_ms = standin::WallMillis();
  Violations violations;
  if (!cluster.RunUntil([&] { return AreDone(views); }, kFinishLimit)) {
    violations.push_back("a caller got no end of its answer");
  }
  std::map<std::string, std::int64_t> resumed_ms;
  for (const TimelineEvent& event : cluster.Timeline()) {
    if (event.name == "stream_resumed") resumed_ms.try_emplace(event.request, WallMillisOf(event));
  }
  for (std::size_t i = 0; i < views.size(); ++i) {
    CheckWhole(*views[i], bodies[i], violations);
    const auto found = resumed_ms.find(views[i]->id);
    if (found == resumed_ms.end()) {
      violations.push_back(views[i]->id + " was never resumed");
    } else if (found->second - silent_ms > kBoundMs) {
      violations.push_back(views[i]->id + " was resumed after " +
                           std::to_string(found->second - silent_ms) + " ms");
    }
  }
  CheckRanOnce(cluster, violations);
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

/// A link as one of its ends sees it.
std::string LinkOf(const TimelineEvent& event) {
  return event.instance + " to " + json::parse(event.json).value("peer", "");
}

/// Adds a violation for each link that was not closed and opened anew in time.
void CheckReplaced(Cluster& cluster, std::int64_t silent_ms, Violations& violations) {
  std::map<std::string, std::int64_t> down_ms;
  std::map<std::string, std::int64_t> up_ms;
  for (const TimelineEvent& event : cluster.Timeline()) {
    if (WallMillisOf(event) < silent_ms) continue;
    if (event.name == "link_down") down_ms.try_emplace(LinkOf(event), WallMillisOf(event));
    // A new link may be ready before the old one is given up.
    if (event.name == "link_up") up_ms.try_emplace(LinkOf(event), WallMillisOf(event));
  }
  for (int from = 0; from < cluster.InstanceCount(); ++from) {
    for (int to = 0; to < cluster.InstanceCount(); ++to) {
      if (from == to) continue;
      const std::string link = cluster.InstanceName(from) + " to " + cluster.InstanceName(to);
      for (const auto* times : {&down_ms, &up_ms}) {
        const auto found = times->find(link);
        const std::string what = link + (times == &down_ms ? " was not closed" : " is not back");
        if (found == times->end()) {
          violations.push_back(what);
        } else if (found->second - silent_ms > kBoundMs) {
          violations.push_back(what + " until " + std::to_string(found->second - silent_ms) +
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
  cluster.RunFor(kObserve);
  Violations violations;
  CheckReplaced(cluster, silent_ms, violations);
  // Each id through the next instance, so that every request crosses a link.
  std::vector<json> bodies;
  std::vector<std::shared_ptr<CallerView>> views;
  for (int i = 0; i < cluster.InstanceCount(); ++i) {
    bodies.push_back(EngineBody("question " + std::to_string(i), "urgent", 10));
    views.push_back(cluster.Submit((i + 1) % cluster.InstanceCount(), bodies.back(),
                                   ids[static_cast<std::size_t>(i)]));
  }
  if (!cluster.RunUntil([&] { return AreDone(views); }, kFinishLimit)) {
    violations.push_back("a caller got no end of its answer");
  }
  for (std::size_t i = 0; i < views.size(); ++i) CheckWhole(*views[i], bodies[i], violations);
  CheckRanOnce(cluster, violations);
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
