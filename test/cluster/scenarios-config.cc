#include <algorithm>
#include <map>

#include "scenarios.h"
#include "standins/standin.h"

/// Invariant 8: an accepted configuration is in effect everywhere within 4 s and never reverts.

namespace bluebellpass::test {
namespace {

using nlohmann::json;
using Violations = std::vector<std::string>;

constexpr char kConfigKey[] = "config/main";
constexpr std::int64_t kBoundMs = 4'000;
constexpr Millis kBetweenChanges{300};
constexpr Millis kAfterChange{5'000};
constexpr Millis kAnswerLimit{16'000};
constexpr Millis kWriteLimit{8'000};

ClusterOptions ConfigOptions() {
  ClusterOptions options;
  options.backends = {{"engine", "engine", "assistant", 1, 4, {"--decode-rate", "50"}}};
  return options;
}

std::string WeightCommand(int weight) {
  return "set organisation taller weight " + std::to_string(weight);
}

Violations Finish(const Cluster& cluster, Violations violations) {
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

/// A version of the configuration as the object API has logged it.
struct Change {
  std::uint64_t version = 0;
  std::int64_t accepted_ms = 0;  ///< wall clock; when the object API was seen to hold it
};

using Answer = std::shared_ptr<std::optional<json>>;

/// Changes the configuration and waits until the object API holds the change. An instance that has
/// not yet got the change before this one is refused with a conflict; its operator tries again.
/// @return version 0 when it never did
Change MakeChange(Cluster& cluster, int instance, int weight) {
  const std::size_t before = cluster.StoreVersions(kConfigKey).size();
  Answer answer = cluster.StartCommand(instance, WeightCommand(weight));
  std::vector<std::uint64_t> versions;
  const bool is_written = cluster.RunUntil(
      [&] {
        versions = cluster.StoreVersions(kConfigKey);
        if (versions.size() > before) return true;
        if (answer->has_value()) answer = cluster.StartCommand(instance, WeightCommand(weight));
        return false;
      },
      kWriteLimit);
  return is_written ? Change{versions.back(), standin::WallMillis()} : Change{};
}

std::uint64_t VersionOf(const TimelineEvent& event) {
  return json::parse(event.json).value("version", std::uint64_t{0});
}

/// Adds a violation for each instance that did not apply the version, or a newer one, in time.
void CheckInEffect(Cluster& cluster, const Change& change, Violations& violations) {
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
    } else if (found->second - change.accepted_ms > kBoundMs) {
      violations.push_back(text + " was applied after " +
                           std::to_string(found->second - change.accepted_ms) + " ms");
    }
  }
}

/// Adds a violation for each instance that applied an older version after a newer one, also when
/// it was restarted in between.
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

Violations RunSpread(const json& fault_before, const json& fault_after) {
  Cluster cluster(ConfigOptions());
  cluster.RunFor(Millis{500});
  Violations violations;
  if (!fault_before.is_null()) cluster.ControlStore(fault_before);
  // Until reads under the fault are on their way.
  cluster.RunFor(Millis{1'500});
  std::vector<Change> changes;
  // Several in succession, so that reads of older versions are under way while a newer one is
  // applied. After an outage begins there is no further one.
  const int count = fault_after.is_null() ? 6 : 1;
  for (int number = 0; number < count; ++number) {
    changes.push_back(MakeChange(cluster, number % cluster.InstanceCount(), 2 + number));
    if (count > 1) cluster.RunFor(kBetweenChanges);
    if (changes.back().version == 0) violations.push_back("a change was not written");
  }
  if (!fault_after.is_null()) cluster.ControlStore(fault_after);
  cluster.RunFor(kAfterChange);
  for (const Change& change : changes) CheckInEffect(cluster, change, violations);
  CheckNoRevert(cluster, violations);
  return Finish(cluster, violations);
}

void CheckAnswers(Cluster& cluster, int instance, Violations& violations) {
  const auto view = cluster.Submit(instance, EngineBody("question", "urgent", 5, 5'000));
  cluster.RunUntil([&] { return view->is_done; }, Millis{8'000});
  if (view->outcome != "completed") {
    violations.push_back("a request through " + cluster.InstanceName(instance) + " ended as " +
                         view->outcome + " " + view->error);
  }
}

/// Restarts every instance in turn while the object API is down, then changes again.
Violations RunRestarts() {
  Cluster cluster(ConfigOptions());
  Violations violations;
  const Change change = MakeChange(cluster, 0, 7);
  cluster.RunFor(Millis{1'500});
  CheckInEffect(cluster, change, violations);
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
        Millis{kBoundMs});
    if (!is_applied) {
      violations.push_back(cluster.InstanceName(i) + " did not get the configuration from a peer");
    }
    CheckAnswers(cluster, i, violations);
  }
  cluster.ControlStore({{"mode", "up"}});
  cluster.RunFor(Millis{1'000});
  const Change later = MakeChange(cluster, 1, 8);
  cluster.RunFor(Millis{1'500});
  CheckInEffect(cluster, later, violations);
  CheckNoRevert(cluster, violations);
  return Finish(cluster, violations);
}

bool IsAccepted(const json& answer) { return answer.is_object() && answer.contains("accepted"); }

std::string ErrorKindOf(const json& answer) {
  return answer.is_object() && answer.contains("error")
             ? answer["error"].value("kind", std::string())
             : std::string();
}

/// Checks an answer against the versions that the object API has logged.
void CheckVerdict(const json& answer, const std::vector<std::uint64_t>& written,
                  Violations& violations) {
  if (IsAccepted(answer)) {
    const auto version = answer["accepted"].get<std::uint64_t>();
    if (std::find(written.begin(), written.end(), version) == written.end()) {
      violations.push_back("accepted, but not in the object API: " + answer.dump());
    }
    return;
  }
  if (ErrorKindOf(answer) != "conflict") {
    violations.push_back("not told of the conflict: " + answer.dump());
    return;
  }
  const std::string message = answer["error"].value("message", "");
  const auto names = std::count_if(written.begin(), written.end(), [&](std::uint64_t version) {
    return message.find("version " + std::to_string(version)) != std::string::npos;
  });
  if (names < 2) violations.push_back("the versions are missing: " + answer.dump());
}

/// Two operators change the same value at once through two instances, several times.
Violations RunOperators() {
  Cluster cluster(ConfigOptions());
  cluster.RunFor(Millis{500});
  cluster.ControlStore({{"mode", "slow"}, {"delay_ms", 200}});
  Violations violations;
  int conflicts = 0;
  for (int round = 0; round < 5; ++round) {
    const std::size_t before = cluster.StoreVersions(kConfigKey).size();
    const Answer first = cluster.StartCommand(round % 3, WeightCommand(10 + round));
    const Answer second = cluster.StartCommand((round + 1) % 3, WeightCommand(20 + round));
    cluster.RunUntil([&] { return first->has_value() && second->has_value(); }, kAnswerLimit);
    if (!first->has_value() || !second->has_value()) {
      violations.push_back("an operator got no answer");
      break;
    }
    const auto written = cluster.StoreVersions(kConfigKey);
    CheckVerdict(**first, written, violations);
    CheckVerdict(**second, written, violations);
    const std::size_t accepted = (IsAccepted(**first) ? 1 : 0) + (IsAccepted(**second) ? 1 : 0);
    if (accepted == 0 || written.size() - before != accepted) {
      violations.push_back(std::to_string(accepted) + " accepted, " +
                           std::to_string(written.size() - before) + " written");
    }
    if (accepted == 1) ++conflicts;
  }
  if (conflicts == 0) violations.push_back("no two changes have met");
  CheckNoRevert(cluster, violations);
  return Finish(cluster, violations);
}

/// The answer to the write is lost; the read back finds the change.
Violations RunLostAnswer() {
  Cluster cluster(ConfigOptions());
  cluster.RunFor(Millis{500});
  Violations violations;
  cluster.ControlStore(
      {{"mode", "lose_answers"}, {"method", "PUT"}, {"prefix", "config/"}, {"count", 1}});
  const std::size_t before = cluster.StoreVersions(kConfigKey).size();
  const json answer = cluster.Command(0, WeightCommand(4));
  const auto written = cluster.StoreVersions(kConfigKey);
  if (written.size() != before + 1) violations.push_back("the change was not written once");
  if (!IsAccepted(answer) || answer["accepted"].get<std::uint64_t>() != written.back()) {
    violations.push_back("written, but the operator was told " + answer.dump());
  }
  return Finish(cluster, violations);
}

/// The answer is lost and the object API is down afterwards: neither accepted nor refused.
Violations RunLostAnswerAndOutage() {
  Cluster cluster(ConfigOptions());
  cluster.RunFor(Millis{500});
  Violations violations;
  cluster.ControlStore({{"mode", "lose_answers"}, {"prefix", "config/"}});
  const std::size_t before = cluster.StoreVersions(kConfigKey).size();
  const Answer answer = cluster.StartCommand(0, WeightCommand(4));
  cluster.RunUntil([&] { return cluster.StoreVersions(kConfigKey).size() > before; }, kWriteLimit);
  cluster.ControlStore({{"mode", "down"}});
  cluster.RunUntil([&] { return answer->has_value(); }, kAnswerLimit);
  if (!answer->has_value()) {
    violations.push_back("the operator got no answer");
  } else if (!IsAccepted(**answer) && ErrorKindOf(**answer) != "store_uncertain") {
    violations.push_back("the change is in the object API, but the operator was told " +
                         (*answer)->dump());
  }
  cluster.ControlStore({{"mode", "up"}});
  return Finish(cluster, violations);
}

/// The object API is down: refused, and not written later either.
Violations RunChangeInOutage() {
  Cluster cluster(ConfigOptions());
  cluster.RunFor(Millis{500});
  Violations violations;
  cluster.ControlStore({{"mode", "down"}});
  const std::size_t before = cluster.StoreVersions(kConfigKey).size();
  const Answer answer = cluster.StartCommand(0, WeightCommand(4));
  cluster.RunUntil([&] { return answer->has_value(); }, kAnswerLimit);
  cluster.ControlStore({{"mode", "up"}});
  cluster.RunFor(Millis{2'000});
  const bool is_written = cluster.StoreVersions(kConfigKey).size() > before;
  const std::string kind = answer->has_value() ? ErrorKindOf(**answer) : "nothing";
  if (kind == "store_unavailable" ? is_written : kind != "store_uncertain") {
    violations.push_back("the operator was told " + kind + " and the change was " +
                         (is_written ? "written" : "not written"));
  }
  return Finish(cluster, violations);
}

}  // namespace

std::vector<Scenario> ConfigScenarios() {
  const json slow = {{"mode", "slow"}, {"delay_ms", 700}};
  // A read that is answered late holds an older version than the peers have sent meanwhile.
  const json slow_reads = {{"mode", "slow"}, {"delay_ms", 1'500}, {"method", "GET"}};
  const json down = {{"mode", "down"}};
  // Without reads and watches the change spreads over the links between instances only.
  const json no_reads = {{"mode", "down"}, {"method", "GET"}};
  using Seed = std::uint32_t;
  return {
      {"configuration, object API up", [](Seed) { return RunSpread(json(), json()); }},
      {"configuration, object API slow", [slow](Seed) { return RunSpread(slow, json()); }},
      {"configuration, object API down after the acceptance",
       [down](Seed) { return RunSpread(json(), down); }},
      {"configuration, object API reads slow",
       [slow_reads](Seed) { return RunSpread(slow_reads, json()); }},
      {"configuration, object API without reads, then down",
       [no_reads, down](Seed) { return RunSpread(no_reads, down); }},
      {"configuration, restarts in an outage", [](Seed) { return RunRestarts(); }},
      {"configuration, two operators at once", [](Seed) { return RunOperators(); }},
      {"configuration, lost answer", [](Seed) { return RunLostAnswer(); }},
      {"configuration, lost answer and outage", [](Seed) { return RunLostAnswerAndOutage(); }},
      {"configuration, change in an outage", [](Seed) { return RunChangeInOutage(); }},
  };
}

}  // namespace bluebellpass::test
