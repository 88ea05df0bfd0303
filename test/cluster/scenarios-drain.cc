#include <algorithm>
#include <csignal>
#include <set>

#include "scenarios.h"
#include "standins/standin.h"

/// Scenarios of invariant 6: a backend server receives no new work from 3 s after its drain was
/// accepted.

namespace bluebellpass::test {
namespace {

using nlohmann::json;

constexpr char kConfigKey[] = "config/main";
constexpr char kDrainedEngine[] = "engine1";
constexpr std::int64_t kMaxDelayMs = 3'000;
constexpr Millis kLoadTimeBeforeDrain{1'500};

// Longer than an isolated instance takes to consider itself the owner of every cell.
constexpr Millis kIsolationTime{8'000};
constexpr Millis kIsolationAfterPause{1'500};
constexpr Millis kLoadTimeAfterRepair{3'000};
constexpr Millis kFinishTimeout{25'000};

/// The cluster and the instance that a fault affects.
struct DrainContext {
  Cluster& cluster;
  /// The owner of the cell. It grants its own callers' requests itself, so no other instance can
  /// prevent it from using the drained engine.
  int faulty_instance;
};

/// A fault injected before or after the drain is accepted.
struct DrainFault {
  std::string name;
  std::function<void(DrainContext&)> before_drain;      ///< called before the drain command is sent
  std::function<void(DrainContext&)> after_acceptance;  ///< called once the drain is written
  std::function<void(DrainContext&)> repair;  ///< called `repair_delay` after the acceptance
  bool may_lose_requests = false;             ///< callers' connections may break
  Millis repair_delay{5'000};                 ///< from the acceptance to the repair
};

ClusterOptions DrainOptions() {
  ClusterOptions options;
  options.backends = {{"engine", "engine", "assistant", 3, 4, {"--decode-rate", "50"}}};
  options.has_store_proxy_per_instance = true;
  options.has_peer_proxies = true;
  return options;
}

/// @return the body of a request that streams for half a second on one of 12 slots. The 8 slots
/// left after the drain are nearly all occupied, so an instance that ignored the drain would
/// grant the free slots of the drained engine.
json LoadBody(int number) { return EngineBody("question " + std::to_string(number), "urgent", 25); }

void DoNothing(DrainContext& /*context*/) {}

/// Sets the mode of the faulty instance's connections to its peers and the object API. The links
/// between the other instances are affected as well, because each proxy carries the links of all
/// others to one instance; they still reach the object API.
void Isolate(DrainContext& context, const std::string& mode) {
  Cluster& cluster = context.cluster;
  for (int i = 0; i < cluster.InstanceCount(); ++i) cluster.ControlPeerProxy(i, {{"mode", mode}});
  cluster.ControlInstanceStoreProxy(context.faulty_instance, {{"mode", mode}});
}

std::vector<DrainFault> DrainFaults() {
  return {
      {"object API up", DoNothing, DoNothing, DoNothing},
      {"object API slow",
       [](DrainContext& context) {
         context.cluster.ControlStore({{"mode", "slow"}, {"delay_ms", 700}});
       },
       DoNothing, DoNothing},
      {"object API down after the acceptance", DoNothing,
       [](DrainContext& context) {
         context.cluster.ControlStore({{"mode", "down"}});
       },
       DoNothing},
      {"instance cut off", [](DrainContext& context) { Isolate(context, "silent"); }, DoNothing,
       [](DrainContext& context) { Isolate(context, "pass"); }, true, kIsolationTime},
      {"instance paused",
       [](DrainContext& context) {
         context.cluster.Daemon(context.faulty_instance).Signal(SIGSTOP);
       },
       DoNothing,
       [](DrainContext& context) {
         context.cluster.Daemon(context.faulty_instance).Signal(SIGCONT);
       },
       true},
      // The resumed instance cannot read the change from its peers before it grants requests.
      {"instance paused while cut off",
       [](DrainContext& context) {
         Isolate(context, "silent");
         context.cluster.Daemon(context.faulty_instance).Signal(SIGSTOP);
       },
       DoNothing,
       [](DrainContext& context) {
         context.cluster.Daemon(context.faulty_instance).Signal(SIGCONT);
         context.cluster.RunFor(kIsolationAfterPause);
         Isolate(context, "pass");
       },
       true},
      {"owner killed", DoNothing,
       [](DrainContext& context) { context.cluster.Daemon(context.faulty_instance).Kill(); },
       DoNothing, true},
  };
}

/// Result of one drain.
struct DrainResult {
  std::int64_t accepted_ms = 0;  ///< wall clock; when the drain was first seen in the object API
  std::vector<std::string> violations;
};

void CheckExecutions(Cluster& cluster, DrainResult& result) {
  std::int64_t latest_start_ms = 0;
  bool ran_before = false;
  std::set<std::string> other_engines;
  for (const Execution& execution : cluster.Executions()) {
    const std::int64_t after_ms = execution.started_ms - result.accepted_ms;
    if (execution.backend != kDrainedEngine) {
      if (after_ms > kMaxDelayMs) other_engines.insert(execution.backend);
      continue;
    }
    ran_before = ran_before || after_ms < 0;
    latest_start_ms = std::max(latest_start_ms, after_ms);
  }
  if (!ran_before) result.violations.push_back("engine1 ran nothing before the drain");
  if (other_engines.size() != 2)
    result.violations.push_back("not all other engines ran requests after the drain");
  if (latest_start_ms > kMaxDelayMs) {
    result.violations.push_back("a run started on engine1 " + std::to_string(latest_start_ms) +
                                " ms after the acceptance");
  }
}

void CheckResponses(const DrainFault& fault, const SteadyLoad& load, DrainResult& result) {
  int completed_after = 0;
  for (const SentRequest& request : load.SentRequests()) {
    const CallerResponse& response = *request.response;
    const bool is_after = request.sent_ms > result.accepted_ms + kMaxDelayMs;
    if (response.outcome == "completed" && is_after) ++completed_after;
    if (response.has_gap)
      result.violations.push_back("missing or repeated bytes in the answer to " + response.id);
    if (!fault.may_lose_requests && response.outcome != "completed") {
      result.violations.push_back(response.id + " ended as " + response.outcome + " " +
                                  response.error);
    }
  }
  // At least a third must complete, since the faulty instance may lose its share of the requests.
  const auto sent_after = std::count_if(load.SentRequests().begin(), load.SentRequests().end(),
                                        [&](const SentRequest& request) {
                                          return request.sent_ms > result.accepted_ms + kMaxDelayMs;
                                        });
  if (std::int64_t{completed_after} * 3 < sent_after || sent_after == 0) {
    result.violations.push_back("only " + std::to_string(completed_after) + " of " +
                                std::to_string(sent_after) + " later requests completed");
  }
}

/// Sends the drain command and waits until the change is written to the object API.
bool DrainEngine(Cluster& cluster, int entry, SteadyLoad& load, DrainResult& result) {
  const std::size_t before = cluster.StoreVersions(kConfigKey).size();
  const auto answer = cluster.StartCommand(entry, std::string("drain backend ") + kDrainedEngine);
  const bool is_written = load.RunUntil(
      [&] { return cluster.StoreVersions(kConfigKey).size() > before; }, Millis{8'000});
  result.accepted_ms = standin::WallMillis();
  return is_written;
}

std::vector<std::string> RunDrain(const DrainFault& fault) {
  Cluster cluster(DrainOptions());
  SteadyLoad load(cluster, Millis{70}, LoadBody);
  load.RunFor(kLoadTimeBeforeDrain);
  DrainResult result;
  DrainContext context{cluster, cluster.OwnerOf("assistant")};
  if (context.faulty_instance < 0) return {"the cell has no owner"};
  const int entry = (context.faulty_instance + 1) % cluster.InstanceCount();
  fault.before_drain(context);
  if (!DrainEngine(cluster, entry, load, result)) return {"the drain was not accepted"};
  fault.after_acceptance(context);
  load.RunFor(fault.repair_delay);
  fault.repair(context);
  load.RunFor(kLoadTimeAfterRepair);
  if (!load.WaitUntilAllDone(kFinishTimeout))
    result.violations.push_back("a request was not answered");
  CheckExecutions(cluster, result);
  CheckResponses(fault, load, result);
  CheckRanAtMostOnce(cluster, result.violations);
  if (!result.violations.empty()) result.violations.push_back("logs in " + cluster.LogFolder());
  return result.violations;
}

}  // namespace

std::vector<Scenario> DrainScenarios() {
  std::vector<Scenario> scenarios;
  for (const DrainFault& fault : DrainFaults()) {
    scenarios.push_back(
        {"drain, " + fault.name, [fault](std::uint32_t /*seed*/) { return RunDrain(fault); }});
  }
  return scenarios;
}

}  // namespace bluebellpass::test
