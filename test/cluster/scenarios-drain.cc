#include <algorithm>
#include <csignal>
#include <set>

#include "scenarios.h"
#include "standins/standin.h"

/// Invariant 6: a backend server that is leaving receives no new work 3 s after the mark.

namespace bluebellpass::test {
namespace {

using nlohmann::json;

constexpr char kConfigKey[] = "config/main";
constexpr char kDrained[] = "engine1";
constexpr std::int64_t kBoundMs = 3'000;
constexpr Millis kBefore{1'500};

// Longer than it takes an instance without links to consider itself the owner of every cell.
constexpr Millis kIsolation{8'000};
constexpr Millis kCutOffAfterPause{1'500};
constexpr Millis kAfterRepair{3'000};
constexpr Millis kFinishLimit{25'000};

/// What a fault is injected into.
struct Target {
  Cluster& cluster;
  /// The owner of the cell: it grants itself what its own callers send, so nobody else keeps it
  /// from using the drained engine.
  int victim;
};

/// A fault around the acceptance of the mark.
struct DrainFault {
  std::string name;
  std::function<void(Target&)> before;    ///< the command is sent
  std::function<void(Target&)> accepted;  ///< called as soon as the object API holds the mark
  std::function<void(Target&)> heal;      ///< called `hold` after the acceptance
  bool loses_requests = false;            ///< connections of callers may break
  Millis hold{5'000};                     ///< from the acceptance to the repair
};

ClusterOptions DrainOptions() {
  ClusterOptions options;
  options.backends = {{"engine", "engine", "assistant", 3, 4, {"--decode-rate", "50"}}};
  options.has_own_store_proxies = true;
  options.has_peer_proxies = true;
  return options;
}

/// Half a second of streaming on one of 12 slots; the 8 slots left after the drain are nearly full,
/// so a drained engine with free slots is the one that any fault would choose.
json LoadBody(int number) { return EngineBody("question " + std::to_string(number), "urgent", 25); }

void Nothing(Target& /*target*/) {}

/// Cuts the victim off. The links between the other instances are cut as well, because each proxy
/// carries the links of all others to one instance; they still reach the object API.
void Isolate(Target& target, const std::string& mode) {
  Cluster& cluster = target.cluster;
  for (int i = 0; i < cluster.InstanceCount(); ++i) cluster.ControlPeerProxy(i, {{"mode", mode}});
  cluster.ControlOwnStoreProxy(target.victim, {{"mode", mode}});
}

std::vector<DrainFault> DrainFaults() {
  return {
      {"object API up", Nothing, Nothing, Nothing},
      {"object API slow",
       [](Target& target) {
         target.cluster.ControlStore({{"mode", "slow"}, {"delay_ms", 700}});
       },
       Nothing, Nothing},
      {"object API down after the acceptance", Nothing,
       [](Target& target) {
         target.cluster.ControlStore({{"mode", "down"}});
       },
       Nothing},
      {"instance cut off", [](Target& target) { Isolate(target, "silent"); }, Nothing,
       [](Target& target) { Isolate(target, "pass"); }, true, kIsolation},
      {"instance paused",
       [](Target& target) { target.cluster.Daemon(target.victim).Signal(SIGSTOP); }, Nothing,
       [](Target& target) { target.cluster.Daemon(target.victim).Signal(SIGCONT); }, true},
      // The change that its peers have sent cannot be read first when it goes on.
      {"instance paused while cut off",
       [](Target& target) {
         Isolate(target, "silent");
         target.cluster.Daemon(target.victim).Signal(SIGSTOP);
       },
       Nothing,
       [](Target& target) {
         target.cluster.Daemon(target.victim).Signal(SIGCONT);
         target.cluster.RunFor(kCutOffAfterPause);
         Isolate(target, "pass");
       },
       true},
      {"owner killed", Nothing, [](Target& target) { target.cluster.Daemon(target.victim).Kill(); },
       Nothing, true},
  };
}

/// Witnesses of one drain.
struct DrainRecord {
  std::int64_t accepted_ms = 0;  ///< wall clock; when the object API was seen to hold the mark
  std::vector<std::string> violations;
};

void CheckRuns(Cluster& cluster, DrainRecord& record) {
  std::int64_t last_ms = 0;
  bool ran_before = false;
  std::set<std::string> others;
  for (const Execution& execution : cluster.Executions()) {
    const std::int64_t after_ms = execution.started_ms - record.accepted_ms;
    if (execution.backend != kDrained) {
      if (after_ms > kBoundMs) others.insert(execution.backend);
      continue;
    }
    ran_before = ran_before || after_ms < 0;
    last_ms = std::max(last_ms, after_ms);
  }
  if (!ran_before) record.violations.push_back("no run on engine1 before the drain");
  if (others.size() != 2) record.violations.push_back("no runs on the other engines afterwards");
  if (last_ms > kBoundMs) {
    record.violations.push_back("a run started on engine1 " + std::to_string(last_ms) +
                                " ms after the acceptance");
  }
}

void CheckCallers(const DrainFault& fault, const SteadyLoad& load, DrainRecord& record) {
  int completed_after = 0;
  for (const SentRequest& request : load.Sent()) {
    const CallerView& view = *request.view;
    const bool is_after = request.sent_ms > record.accepted_ms + kBoundMs;
    if (view.outcome == "completed" && is_after) ++completed_after;
    if (view.has_gap) record.violations.push_back("a gap in the answer to " + view.id);
    if (!fault.loses_requests && view.outcome != "completed") {
      record.violations.push_back(view.id + " ended as " + view.outcome + " " + view.error);
    }
  }
  // A third of what is sent after the bound; the instance with the fault may lose its share.
  const auto sent_after = std::count_if(
      load.Sent().begin(), load.Sent().end(),
      [&](const SentRequest& request) { return request.sent_ms > record.accepted_ms + kBoundMs; });
  if (std::int64_t{completed_after} * 3 < sent_after || sent_after == 0) {
    record.violations.push_back("only " + std::to_string(completed_after) + " of " +
                                std::to_string(sent_after) + " later requests completed");
  }
}

/// Sends the command and waits until the object API holds the change.
bool Drain(Cluster& cluster, int entry, SteadyLoad& load, DrainRecord& record) {
  const std::size_t before = cluster.StoreVersions(kConfigKey).size();
  const auto answer = cluster.StartCommand(entry, std::string("drain backend ") + kDrained);
  const bool is_written = load.RunUntil(
      [&] { return cluster.StoreVersions(kConfigKey).size() > before; }, Millis{8'000});
  record.accepted_ms = standin::WallMillis();
  return is_written;
}

std::vector<std::string> RunDrain(const DrainFault& fault) {
  Cluster cluster(DrainOptions());
  SteadyLoad load(cluster, Millis{70}, LoadBody);
  load.RunFor(kBefore);
  DrainRecord record;
  Target target{cluster, cluster.OwnerOf("assistant")};
  if (target.victim < 0) return {"the cell has no owner"};
  const int entry = (target.victim + 1) % cluster.InstanceCount();
  fault.before(target);
  if (!Drain(cluster, entry, load, record)) return {"the drain was not accepted"};
  fault.accepted(target);
  load.RunFor(fault.hold);
  fault.heal(target);
  load.RunFor(kAfterRepair);
  if (!load.Finish(kFinishLimit)) record.violations.push_back("a caller got no answer");
  CheckRuns(cluster, record);
  CheckCallers(fault, load, record);
  CheckRanOnce(cluster, record.violations);
  if (!record.violations.empty()) record.violations.push_back("logs in " + cluster.LogFolder());
  return record.violations;
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
