
#include "scenarios.h"
#include "standins/engine.h"

/// A request that crashes every engine that runs it is submitted repeatedly. It must be quarantined
/// after two crashes.

namespace bluebellpass::test {
namespace {

using nlohmann::json;
using Violations = std::vector<std::string>;

constexpr int kSubmissions = 10;
constexpr int kMaxCrashes = 2;
constexpr Millis kAnswerTimeout{10'000};
constexpr Millis kFinishTimeout{25'000};

ClusterOptions CrashOptions() {
  ClusterOptions options;
  options.backends = {{"engine", "engine", "assistant", 4, 4, {"--decode-rate", "50"}}};
  return options;
}

json CrashBody() {
  return EngineBody(std::string("please ") + std::string(standin::kCrashMarker), "urgent", 10,
                    8'000);
}

/// Counts crashed engines and restarts them, as the platform does.
class EngineSupervisor {
 public:
  explicit EngineSupervisor(Cluster& cluster)
      : m_cluster(cluster), m_names(cluster.BackendNames("assistant")) {}

  void RestartCrashed() {
    for (const std::string& name : m_names) {
      if (m_cluster.Backend(name).IsRunning()) continue;
      ++m_crashes;
      m_cluster.RestartBackend(name);
    }
  }
  int Crashes() const { return m_crashes; }

 private:
  Cluster& m_cluster;
  std::vector<std::string> m_names;
  int m_crashes = 0;
};

/// Submits the crashing request through an instance and waits for its response.
std::shared_ptr<CallerResponse> SubmitCrashRequest(Cluster& cluster, SteadyLoad& load,
                                                   EngineSupervisor& engines, int instance) {
  auto response = cluster.Submit(instance, CrashBody());
  load.RunUntil([&] { return response->is_done; }, kAnswerTimeout);
  load.RunFor(Millis{300});
  engines.RestartCrashed();
  return response;
}

std::string QuarantinedFingerprint(Cluster& cluster) {
  const json answer = cluster.RunCommand(0, "show quarantine");
  if (!answer.is_object()) return {};
  for (const json& row : answer.value("rows", json::array())) {
    if (row.value("state", "") == "quarantined") return row.value("fingerprint", "");
  }
  return {};
}

void CheckOtherRequests(const SteadyLoad& load, Violations& violations) {
  std::size_t completed = 0;
  for (const SentRequest& request : load.SentRequests()) {
    const CallerResponse& response = *request.response;
    if (response.outcome == "completed" && !response.has_gap) {
      ++completed;
    } else if (response.outcome != "unknown" || response.error != "backend_lost") {
      violations.push_back(response.id + " ended as '" + response.outcome + "' " + response.error);
    }
  }
  if (completed * 10 < load.SentRequests().size() * 9) {
    violations.push_back("only " + std::to_string(completed) + " of " +
                         std::to_string(load.SentRequests().size()) + " other requests completed");
  }
}

Violations RunCrashingRequest() {
  Cluster cluster(CrashOptions());
  SteadyLoad load(cluster, Millis{100}, [](int number) {
    return EngineBody("question " + std::to_string(number), "urgent", 20);
  });
  EngineSupervisor engines(cluster);
  load.RunFor(Millis{1'000});
  Violations violations;
  for (int submission = 0; submission < kSubmissions; ++submission) {
    const int crashes = engines.Crashes();
    const auto response =
        SubmitCrashRequest(cluster, load, engines, submission % cluster.InstanceCount());
    const bool is_refused = response->outcome == "not_run" && response->error == "quarantined";
    if (crashes >= kMaxCrashes && !is_refused) {
      violations.push_back("submission " + std::to_string(submission + 1) + " ended as '" +
                           response->outcome + "' " + response->error);
    }
  }
  if (engines.Crashes() != kMaxCrashes) {
    violations.push_back(std::to_string(engines.Crashes()) + " engines crashed");
  }
  const std::string fingerprint = QuarantinedFingerprint(cluster);
  const json released = cluster.RunCommand(0, "release " + fingerprint);
  if (!released.is_object() || !released.contains("accepted")) {
    violations.push_back("the release was not accepted: " + released.dump());
  }
  // Submitted through another instance than the one that ran the operator's command.
  const int crashes = engines.Crashes();
  const auto response = SubmitCrashRequest(cluster, load, engines, 2);
  if (engines.Crashes() != crashes + 1) {
    violations.push_back("the request was not run after its release: '" + response->outcome + "' " +
                         response->error);
  }
  if (!load.WaitUntilAllDone(kFinishTimeout)) violations.push_back("a request was not answered");
  CheckOtherRequests(load, violations);
  CheckRanAtMostOnce(cluster, violations);
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

}  // namespace

std::vector<Scenario> CrashScenarios() {
  return {{"request that crashes engines",
           [](std::uint32_t /*seed*/) { return RunCrashingRequest(); }}};
}

}  // namespace bluebellpass::test
