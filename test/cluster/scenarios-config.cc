#include <algorithm>
#include <map>

#include "scenarios.h"
#include "standins/standin.h"

/// Scenarios of invariant 8: all instances apply an accepted configuration within 4 s, and no
/// instance goes back to an older version.

namespace bluebellpass::test {
namespace {

using nlohmann::json;
using Violations = std::vector<std::string>;

constexpr char kConfigKey[] = "config/main";
constexpr std::int64_t kMaxPropagationMs = 4'000;
constexpr Millis kChangeInterval{300};
constexpr Millis kObservationTime{5'000};
constexpr Millis kAnswerTimeout{16'000};
constexpr Millis kWriteTimeout{8'000};

ClusterOptions ConfigOptions() {
  ClusterOptions options;
  options.backends = {{"engine", "engine", "assistant", 1, 4, {"--decode-rate", "50"}}};
  return options;
}

std::string WeightCommand(int weight) {
  return "set organisation taller weight " + std::to_string(weight);
}

Violations AppendLogFolder(const Cluster& cluster, Violations violations) {
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

/// A configuration version that was written to the object API.
struct ConfigChange {
  std::uint64_t version = 0;
  std::int64_t accepted_ms = 0;  ///< wall clock; when the version was first seen in the object API
};

using PendingAnswer = std::shared_ptr<std::optional<json>>;

/// Changes the configuration and waits until the change is written to the object API. An instance
/// that has not received the previous change answers with a conflict; the command is then repeated.
/// @return version 0 if the change was not written in time
ConfigChange ChangeWeight(Cluster& cluster, int instance, int weight) {
  const std::size_t versions_before = cluster.StoreVersions(kConfigKey).size();
  PendingAnswer answer = cluster.StartCommand(instance, WeightCommand(weight));
  std::vector<std::uint64_t> versions;
  const bool is_written = cluster.RunUntil(
      [&] {
        versions = cluster.StoreVersions(kConfigKey);
        if (versions.size() > versions_before) return true;
        if (answer->has_value()) answer = cluster.StartCommand(instance, WeightCommand(weight));
        return false;
      },
      kWriteTimeout);
  return is_written ? ConfigChange{versions.back(), standin::WallMillis()} : ConfigChange{};
}

std::uint64_t VersionOf(const TimelineEvent& event) {
  return json::parse(event.json).value("version", std::uint64_t{0});
}

/// Adds a violation for each instance that did not apply the version or a newer one in time.
void CheckAppliedInTime(Cluster& cluster, const ConfigChange& change, Violations& violations) {
  std::map<std::string, std::int64_t> applied_ms;
  for (const TimelineEvent& event : cluster.Timeline()) {
    if (event.name != "config_applied" || VersionOf(event) < change.version) continue;
    applied_ms.try_emplace(event.instance, WallMillisOf(event));
  }
  for (int i = 0; i < cluster.InstanceCount(); ++i) {
    const auto found = applied_ms.find(cluster.InstanceName(i));
    const std::string text =
        "version " + std::to_string(change.version) + " at " + cluster.InstanceName(i);
    if (found == applied_ms.end()) {
      violations.push_back(text + " was never applied");
    } else if (found->second - change.accepted_ms > kMaxPropagationMs) {
      violations.push_back(text + " was applied after " +
                           std::to_string(found->second - change.accepted_ms) + " ms");
    }
  }
}

/// Adds a violation for each instance that applied an older version after a newer one, even if it
/// was restarted in between.
void CheckNoRevert(Cluster& cluster, Violations& violations) {
  std::map<std::string, std::uint64_t> newest;
  for (const TimelineEvent& event : cluster.Timeline()) {
    if (event.name != "config_applied") continue;
    std::uint64_t& known = newest[event.instance];
    if (VersionOf(event) < known) {
      violations.push_back(event.instance + " applied version " + std::to_string(VersionOf(event)) +
                           " after " + std::to_string(known));
    }
    known = std::max(known, VersionOf(event));
  }
}

/// Changes the configuration and checks that all instances apply each change in time.
/// @param fault_before control command for the object API before the changes; null for none
/// @param fault_after control command for the object API after the only change; null for none
Violations RunPropagation(const json& fault_before, const json& fault_after) {
  Cluster cluster(ConfigOptions());
  cluster.RunFor(Millis{500});
  Violations violations;
  if (!fault_before.is_null()) cluster.ControlStore(fault_before);
  // Reads that are subject to the fault are in progress after this time.
  cluster.RunFor(Millis{1'500});
  std::vector<ConfigChange> changes;
  // With several changes, reads of older versions are in progress while a newer one is applied.
  // With a fault after the change there is only one.
  const int count = fault_after.is_null() ? 6 : 1;
  for (int number = 0; number < count; ++number) {
    changes.push_back(ChangeWeight(cluster, number % cluster.InstanceCount(), 2 + number));
    if (count > 1) cluster.RunFor(kChangeInterval);
    if (changes.back().version == 0)
      violations.push_back("a change was not written to the object API");
  }
  if (!fault_after.is_null()) cluster.ControlStore(fault_after);
  cluster.RunFor(kObservationTime);
  for (const ConfigChange& change : changes) CheckAppliedInTime(cluster, change, violations);
  CheckNoRevert(cluster, violations);
  return AppendLogFolder(cluster, violations);
}

void CheckRequestCompletes(Cluster& cluster, int instance, Violations& violations) {
  const auto response = cluster.Submit(instance, EngineBody("question", "urgent", 5, 5'000));
  cluster.RunUntil([&] { return response->is_done; }, Millis{8'000});
  if (response->outcome != "completed") {
    violations.push_back("a request through " + cluster.InstanceName(instance) + " ended as " +
                         response->outcome + " " + response->error);
  }
}

/// Restarts each instance while the object API is down, then changes the configuration again.
Violations RunRestartsInOutage() {
  Cluster cluster(ConfigOptions());
  Violations violations;
  const ConfigChange change = ChangeWeight(cluster, 0, 7);
  cluster.RunFor(Millis{1'500});
  CheckAppliedInTime(cluster, change, violations);
  cluster.ControlStore({{"mode", "down"}});
  for (int i = 0; i < cluster.InstanceCount(); ++i) {
    const std::int64_t restarted_ms = standin::WallMillis();
    cluster.Restart(i);
    const bool is_applied = cluster.RunUntil(
        [&] {
          for (const TimelineEvent& event : cluster.Timeline()) {
            const bool is_new =
                event.instance == cluster.InstanceName(i) && WallMillisOf(event) > restarted_ms;
            if (is_new && event.name == "config_applied" && VersionOf(event) == change.version)
              return true;
          }
          return false;
        },
        Millis{kMaxPropagationMs});
    if (!is_applied) {
      violations.push_back(cluster.InstanceName(i) +
                           " did not receive the configuration from a peer");
    }
    CheckRequestCompletes(cluster, i, violations);
  }
  cluster.ControlStore({{"mode", "up"}});
  cluster.RunFor(Millis{1'000});
  const ConfigChange later = ChangeWeight(cluster, 1, 8);
  cluster.RunFor(Millis{1'500});
  CheckAppliedInTime(cluster, later, violations);
  CheckNoRevert(cluster, violations);
  return AppendLogFolder(cluster, violations);
}

bool IsAccepted(const json& answer) { return answer.is_object() && answer.contains("accepted"); }

std::string ErrorKindOf(const json& answer) {
  return answer.is_object() && answer.contains("error")
             ? answer["error"].value("kind", std::string())
             : std::string();
}

/// Checks the answer to an operator's command: an accepted version must have been written, and a
/// rejection must be a conflict that names both versions.
void CheckCommandAnswer(const json& answer, const std::vector<std::uint64_t>& written_versions,
                        Violations& violations) {
  if (IsAccepted(answer)) {
    const auto version = answer["accepted"].get<std::uint64_t>();
    if (std::find(written_versions.begin(), written_versions.end(), version) ==
        written_versions.end()) {
      violations.push_back("accepted but not written to the object API: " + answer.dump());
    }
    return;
  }
  if (ErrorKindOf(answer) != "conflict") {
    violations.push_back("rejected for another reason than a conflict: " + answer.dump());
    return;
  }
  const std::string message = answer["error"].value("message", "");
  const auto named_versions =
      std::count_if(written_versions.begin(), written_versions.end(), [&](std::uint64_t version) {
        return message.find("version " + std::to_string(version)) != std::string::npos;
      });
  if (named_versions < 2)
    violations.push_back("the conflict does not name both versions: " + answer.dump());
}

/// Several times, two operators change the same value at the same time through two instances.
Violations RunConcurrentChanges() {
  Cluster cluster(ConfigOptions());
  cluster.RunFor(Millis{500});
  cluster.ControlStore({{"mode", "slow"}, {"delay_ms", 200}});
  Violations violations;
  int conflicts = 0;
  for (int round = 0; round < 5; ++round) {
    const std::size_t versions_before = cluster.StoreVersions(kConfigKey).size();
    const PendingAnswer first = cluster.StartCommand(round % 3, WeightCommand(10 + round));
    const PendingAnswer second = cluster.StartCommand((round + 1) % 3, WeightCommand(20 + round));
    cluster.RunUntil([&] { return first->has_value() && second->has_value(); }, kAnswerTimeout);
    if (!first->has_value() || !second->has_value()) {
      violations.push_back("an operator got no answer");
      break;
    }
    const auto written_versions = cluster.StoreVersions(kConfigKey);
    CheckCommandAnswer(**first, written_versions, violations);
    CheckCommandAnswer(**second, written_versions, violations);
    const std::size_t accepted = (IsAccepted(**first) ? 1 : 0) + (IsAccepted(**second) ? 1 : 0);
    if (accepted == 0 || written_versions.size() - versions_before != accepted) {
      violations.push_back(std::to_string(accepted) + " accepted, " +
                           std::to_string(written_versions.size() - versions_before) + " written");
    }
    if (accepted == 1) ++conflicts;
  }
  if (conflicts == 0) violations.push_back("no round had a conflict");
  CheckNoRevert(cluster, violations);
  return AppendLogFolder(cluster, violations);
}

/// The response to the write is lost. The instance must find the change by reading it back.
Violations RunLostAnswer() {
  Cluster cluster(ConfigOptions());
  cluster.RunFor(Millis{500});
  Violations violations;
  cluster.ControlStore(
      {{"mode", "lose_answers"}, {"method", "PUT"}, {"prefix", "config/"}, {"count", 1}});
  const std::size_t versions_before = cluster.StoreVersions(kConfigKey).size();
  const json answer = cluster.RunCommand(0, WeightCommand(4));
  const auto written_versions = cluster.StoreVersions(kConfigKey);
  if (written_versions.size() != versions_before + 1)
    violations.push_back("the change was not written exactly once");
  if (!IsAccepted(answer) || answer["accepted"].get<std::uint64_t>() != written_versions.back()) {
    violations.push_back("the change was written, but the operator's answer was " + answer.dump());
  }
  return AppendLogFolder(cluster, violations);
}

/// The response to the write is lost and the object API fails afterwards, so that the instance
/// cannot read the change back. It must not answer that the change was rejected.
Violations RunLostAnswerAndOutage() {
  Cluster cluster(ConfigOptions());
  cluster.RunFor(Millis{500});
  Violations violations;
  cluster.ControlStore({{"mode", "lose_answers"}, {"prefix", "config/"}});
  const std::size_t versions_before = cluster.StoreVersions(kConfigKey).size();
  const PendingAnswer answer = cluster.StartCommand(0, WeightCommand(4));
  cluster.RunUntil([&] { return cluster.StoreVersions(kConfigKey).size() > versions_before; },
                   kWriteTimeout);
  cluster.ControlStore({{"mode", "down"}});
  cluster.RunUntil([&] { return answer->has_value(); }, kAnswerTimeout);
  if (!answer->has_value()) {
    violations.push_back("the operator got no answer");
  } else if (!IsAccepted(**answer) && ErrorKindOf(**answer) != "store_uncertain") {
    violations.push_back("the change was written, but the operator's answer was " +
                         (*answer)->dump());
  }
  cluster.ControlStore({{"mode", "up"}});
  return AppendLogFolder(cluster, violations);
}

/// The object API is down: the change must be rejected and not be written later.
Violations RunChangeInOutage() {
  Cluster cluster(ConfigOptions());
  cluster.RunFor(Millis{500});
  Violations violations;
  cluster.ControlStore({{"mode", "down"}});
  const std::size_t versions_before = cluster.StoreVersions(kConfigKey).size();
  const PendingAnswer answer = cluster.StartCommand(0, WeightCommand(4));
  cluster.RunUntil([&] { return answer->has_value(); }, kAnswerTimeout);
  cluster.ControlStore({{"mode", "up"}});
  cluster.RunFor(Millis{2'000});
  const bool is_written = cluster.StoreVersions(kConfigKey).size() > versions_before;
  const std::string kind = answer->has_value() ? ErrorKindOf(**answer) : "nothing";
  if (kind == "store_unavailable" ? is_written : kind != "store_uncertain") {
    violations.push_back("the operator's answer was " + kind + " and the change was " +
                         (is_written ? "written" : "not written"));
  }
  return AppendLogFolder(cluster, violations);
}

}  // namespace

std::vector<Scenario> ConfigScenarios() {
  const json slow = {{"mode", "slow"}, {"delay_ms", 700}};
  // A delayed read returns an older version than the one received from peers meanwhile.
  const json slow_reads = {{"mode", "slow"}, {"delay_ms", 1'500}, {"method", "GET"}};
  const json down = {{"mode", "down"}};
  // Without reads and watches, instances receive the change only from their peers.
  const json no_reads = {{"mode", "down"}, {"method", "GET"}};
  using Seed = std::uint32_t;
  return {
      {"configuration, object API up", [](Seed) { return RunPropagation(json(), json()); }},
      {"configuration, object API slow", [slow](Seed) { return RunPropagation(slow, json()); }},
      {"configuration, object API down after the acceptance",
       [down](Seed) { return RunPropagation(json(), down); }},
      {"configuration, object API reads slow",
       [slow_reads](Seed) { return RunPropagation(slow_reads, json()); }},
      {"configuration, object API without reads, then down",
       [no_reads, down](Seed) { return RunPropagation(no_reads, down); }},
      {"configuration, restarts in an outage", [](Seed) { return RunRestartsInOutage(); }},
      {"configuration, two operators at once", [](Seed) { return RunConcurrentChanges(); }},
      {"configuration, lost answer", [](Seed) { return RunLostAnswer(); }},
      {"configuration, lost answer and outage", [](Seed) { return RunLostAnswerAndOutage(); }},
      {"configuration, change in an outage", [](Seed) { return RunChangeInOutage(); }},
  };
}

}  // namespace bluebellpass::test
