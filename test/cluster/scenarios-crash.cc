
#include "scenarios.h"
#include "standins/engine.h"

/// One request that crashes every engine that runs it, sent again and again.

namespace bluebellpass::test {
namespace {

using nlohmann::json;
using Violations = std::vector<std::string>;

constexpr int kTimes = 10;
constexpr int kMaxDeaths = 2;
constexpr Millis kAnswerLimit{10'000};
constexpr Millis kFinishLimit{25'000};

ClusterOptions CrashOptions() {
  ClusterOptions options;
  options.backends = {{"engine", "engine", "assistant", 4, 4, {"--decode-rate", "50"}}};
  return options;
}

json CrashBody() {
  return EngineBody(std::string("please ") + std::string(standin::kCrashMarker), "urgent", 10,
                    8'000);
}

/// Watches the engines and starts those that have died anew, as the platform does.
class EngineWatch {
 public:
  explicit EngineWatch(Cluster& cluster)
      : m_cluster(cluster), m_names(cluster.BackendNames("assistant")) {}

  void Check() {
    for (const std::string& name : m_names) {
      if (m_cluster.Backend(name).IsRunning()) continue;
      ++m_deaths;
      m_cluster.RestartBackend(name);
    }
  }
  int Deaths() const { return m_deaths; }

 private:
  Cluster& m_cluster;
  std::vector<std::string> m_names;
  int m_deaths = 0;
};

/// Sends the request through an instance and waits for its end.
std::shared_ptr<CallerView> SendCrash(Cluster& cluster, SteadyLoad& load, EngineWatch& engines,
                                      int instance) {
  auto view = cluster.Submit(instance, CrashBody());
  load.RunUntil([&] { return view->is_done; }, kAnswerLimit);
  load.RunFor(Millis{300});
  engines.Check();
  return view;
}

std::string QuarantinedFingerprint(Cluster& cluster) {
  const json answer = cluster.Command(0, "show quarantine");
  if (!answer.is_object()) return {};
  for (const json& row : answer.value("rows", json::array())) {
    if (row.value("state", "") == "quarantined") return row.value("fingerprint", "");
  }
  return {};
}

void CheckLoad(const SteadyLoad& load, Violations& violations) {
  std::size_t completed = 0;
  for (const SentRequest& request : load.Sent()) {
    const CallerView& view = *request.view;
    if (view.outcome == "completed" && !view.has_gap) {
      ++completed;
    } else if (view.outcome != "unknown" || view.error != "backend_lost") {
      violations.push_back(view.id + " ended as '" + view.outcome + "' " + view.error);
    }
  }
  if (completed * 10 < load.Sent().size() * 9) {
    violations.push_back("only " + std::to_string(completed) + " of " +
                         std::to_string(load.Sent().size()) + " other requests completed");
  }
}

Violations RunCrash() {
  Cluster cluster(CrashOptions());
  SteadyLoad load(cluster, Millis{100}, [](int number) {
    return EngineBody("question " + std::to_string(number), "urgent", 20);
  });
  EngineWatch engines(cluster);
  load.RunFor(Millis{1'000});
  Violations violations;
  for (int time = 0; time < kTimes; ++time) {
    const int deaths = engines.Deaths();
    const auto view = SendCrash(cluster, load, engines, time % cluster.InstanceCount());
    const bool is_told = view->outcome == "not_run" && view->error == "quarantined";
    if (deaths >= kMaxDeaths && !is_told) {
      violations.push_back("time " + std::to_string(time + 1) + " was told '" + view->outcome +
                           "' " + view->error);
    }
  }
  if (engines.Deaths() != kMaxDeaths) {
    violations.push_back(std::to_string(engines.Deaths()) + " engines died");
  }
  const std::string fingerprint = QuarantinedFingerprint(cluster);
  const json released = cluster.Command(0, "release " + fingerprint);
  if (!released.is_object() || !released.contains("accepted")) {
    violations.push_back("not released: " + released.dump());
  }
  // Through another instance than the one that the operator has used.
  const int deaths = engines.Deaths();
  const auto view = SendCrash(cluster, load, engines, 2);
  if (engines.Deaths() != deaths + 1) {
    violations.push_back("not run after the release: '" + view->outcome + "' " + view->error);
  }
  if (!load.Finish(kFinishLimit)) violations.push_back("a caller got no answer");
  CheckLoad(load, violations);
  CheckRanOnce(cluster, violations);
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

}  // namespace

std::vector<Scenario> CrashScenarios() {
  return {{"request that crashes engines", [](std::uint32_t /*seed*/) { return RunCrash(); }}};
}

}  // namespace bluebellpass::test
