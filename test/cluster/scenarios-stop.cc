#include <algorithm>
#include <csignal>
#include <map>
#include <set>

#include "scenarios.h"
#include "standins/standin.h"

/// Scenarios of invariant 7: a planned stop is graceful. A stopping instance completes requests or
/// refuses them before they run, and exits in time.

namespace bluebellpass::test {
namespace {

using nlohmann::json;
using Violations = std::vector<std::string>;

constexpr int kStoppingInstance = 1;
constexpr int kOtherInstance = 0;
constexpr std::size_t kPreStopIds = 4;
constexpr int kTokens = 25;  // half a second of streaming
constexpr Millis kRequestPeriod{50};
constexpr Millis kLoadTimeBeforeStop{1'500};
constexpr Millis kLoadTimeAfterStop{1'000};
constexpr Millis kExitGrace{2'000};
constexpr Millis kFinishTimeout{20'000};
constexpr Millis kRetryDelay{100};
// The daemon checks for the signal every 20 ms; the margin is for a busy machine.
constexpr std::int64_t kSignalSeenMs = 100;
// The kernel resets connections that were not accepted when the process exits.
constexpr std::int64_t kListenBacklogMs = 200;

/// One planned stop.
struct StopCase {
  int timeout_s = 10;
  int backlog = 0;  ///< requests submitted to the instance just before the signal
  bool must_refuse_some = false;
};

ClusterOptions StopOptions(int timeout_s) {
  ClusterOptions options;
  options.backends = {{"engine", "engine", "assistant", 2, 4, {"--decode-rate", "50"}},
                      {"desk", "service", "booking", 1, 2, {"--delay-ms", "200"}}};
  options.daemon_flags = {"--stop-timeout-s", std::to_string(timeout_s)};
  return options;
}

json MixedBody(int number) {
  if (number % 3 == 0) return BookingBody("key" + std::to_string(number));
  return EngineBody("question " + std::to_string(number), "urgent", kTokens);
}

bool IsRefusedAsStopping(const CallerResponse& response) {
  return response.outcome == "not_run" && response.error == "stopping";
}

/// Additional requests and the times of one stop.
struct StopRecord {
  std::vector<SentRequest> backlog;
  std::vector<SentRequest>
      pre_stop_id_requests;       ///< submitted after the signal, with ids from before it
  std::int64_t signalled_ms = 0;  ///< wall clock
  std::int64_t exited_ms = 0;
};

std::set<std::string> ExecutedIds(Cluster& cluster) {
  std::set<std::string> ids;
  for (const Execution& execution : cluster.Executions()) ids.insert(execution.request_id);
  return ids;
}

std::string Describe(const SentRequest& request, const StopRecord& record) {
  const CallerResponse& response = *request.response;
  return "request " + response.id + " sent " +
         std::to_string(request.sent_ms - record.signalled_ms) + " ms after the signal: status " +
         std::to_string(response.status) + ", outcome '" + response.outcome + "' " + response.error;
}

/// Checks a request that was submitted to the stopping instance.
void CheckRequestAtStopping(const SentRequest& request, const StopRecord& record,
                            const std::set<std::string>& ran, Violations& violations) {
  const CallerResponse& response = *request.response;
  const bool is_completed = response.outcome == "completed" && !response.has_gap;
  const bool is_refused = IsRefusedAsStopping(response);
  const bool is_after = request.sent_ms >= record.signalled_ms + kSignalSeenMs;
  const bool is_in_listen_backlog =
      response.status == 0 && request.sent_ms + kListenBacklogMs > record.exited_ms;
  const bool has_run = ran.contains(response.id);
  if (is_refused && has_run) violations.push_back("refused but ran, " + Describe(request, record));
  if (is_after && has_run)
    violations.push_back("ran after the signal, " + Describe(request, record));
  if (is_after && is_in_listen_backlog) return;
  if (!is_refused && (is_after || !is_completed)) {
    violations.push_back("not answered as expected, " + Describe(request, record));
  }
}

/// Adds a violation for each executed request of the stopping instance without a response that
/// carries its id, because no caller could fetch its answer.
void CheckRunsHaveCallers(const SteadyLoad& load, const StopRecord& record,
                          const std::string& instance_name, std::set<std::string> ran,
                          Violations& violations) {
  for (const auto* list : {&load.SentRequests(), &record.backlog, &record.pre_stop_id_requests}) {
    for (const SentRequest& request : *list) ran.erase(request.response->id);
  }
  for (const std::string& id : ran) {
    if (id.starts_with(instance_name + "."))
      violations.push_back(id + " ran, but no response carried its id");
  }
}

void CheckStop(Cluster& cluster, const SteadyLoad& load, const StopRecord& record,
               Violations& violations) {
  const std::set<std::string> ran = ExecutedIds(cluster);
  for (const SentRequest& request : load.SentRequests()) {
    if (request.instance == kStoppingInstance) {
      CheckRequestAtStopping(request, record, ran, violations);
    } else if (request.response->outcome != "completed") {
      violations.push_back("at another instance, " + Describe(request, record));
    }
  }
  for (const SentRequest& request : record.backlog) {
    CheckRequestAtStopping(request, record, ran, violations);
  }
  for (const SentRequest& request : record.pre_stop_id_requests) {
    if (ran.contains(request.response->id)) {
      violations.push_back("ran after the signal, " + Describe(request, record));
    }
    if (request.response->outcome.empty()) {
      violations.push_back("no answer, " + Describe(request, record));
    }
  }
  CheckRunsHaveCallers(load, record, cluster.InstanceName(kStoppingInstance), ran, violations);
  CheckRanAtMostOnce(cluster, violations);
}

/// Submits requests with ids of the stopping instance, to it and through another instance.
void SubmitPreStopIds(Cluster& cluster, const std::vector<std::string>& ids, StopRecord& record) {
  const std::int64_t now = standin::WallMillis();
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const int entry = i % 2 == 0 ? kStoppingInstance : kOtherInstance;
    const json body = EngineBody("early " + std::to_string(i), "urgent", kTokens);
    record.pre_stop_id_requests.push_back({entry, now, cluster.Submit(entry, body, ids[i])});
  }
}

Violations RunStop(const StopCase& stop) {
  Cluster cluster(StopOptions(stop.timeout_s));
  SteadyLoad load(cluster, kRequestPeriod, MixedBody);
  StopRecord record;
  std::vector<std::string> ids;
  load.RunFor(kLoadTimeBeforeStop);
  ids.reserve(kPreStopIds);
  for (std::size_t i = 0; i < kPreStopIds; ++i) ids.push_back(cluster.NewId(kStoppingInstance));
  for (int i = 0; i < stop.backlog; ++i) {
    const json body = EngineBody("backlog " + std::to_string(i), "urgent", kTokens);
    record.backlog.push_back(
        {kStoppingInstance, standin::WallMillis(), cluster.Submit(kStoppingInstance, body)});
  }
  // Lets the requests be sent before the signal.
  load.RunFor(Millis{200});
  cluster.Daemon(kStoppingInstance).Signal(SIGTERM);
  record.signalled_ms = standin::WallMillis();
  load.RunFor(Millis{kSignalSeenMs});
  SubmitPreStopIds(cluster, ids, record);
  int code = -1;
  const bool has_exited =
      load.RunUntil([&] { return cluster.Daemon(kStoppingInstance).HasExited(&code); },
                    std::chrono::seconds(stop.timeout_s) + kExitGrace);
  record.exited_ms = standin::WallMillis();
  load.RunFor(kLoadTimeAfterStop);
  Violations violations;
  if (!has_exited) violations.push_back("the instance did not exit in time");
  if (has_exited && code != 0) violations.push_back("exit code " + std::to_string(code));
  if (!load.WaitUntilAllDone(kFinishTimeout)) violations.push_back("a request was not answered");
  CheckStop(cluster, load, record, violations);
  const auto refused = std::count_if(
      record.backlog.begin(), record.backlog.end(),
      [](const SentRequest& request) { return IsRefusedAsStopping(*request.response); });
  if (stop.must_refuse_some && refused == 0)
    violations.push_back("no request of the backlog was refused as stopping");
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

/// A caller that retries at the next instance when one stops.
struct RetryingCaller {
  json body;
  int instance = 0;
  int attempts = 1;
  std::int64_t retry_at_ms = 0;  ///< wall clock; 0 while no retry is due
  std::shared_ptr<CallerResponse> response;
};

class RetryingCallers {
 public:
  explicit RetryingCallers(Cluster& cluster) : m_cluster(cluster) {}

  /// Submits new requests and retries until the condition holds.
  /// @param is_sending false to only retry
  bool RunUntil(const std::function<bool()>& condition, Millis timeout, bool is_sending = true) {
    return m_cluster.RunUntil(
        [&] {
          const std::int64_t now = standin::WallMillis();
          if (is_sending && now >= m_next_ms) SendNew(now);
          for (RetryingCaller& caller : m_callers) Retry(caller, now);
          return condition();
        },
        timeout);
  }

  bool AreAllCompleted() const {
    return std::all_of(m_callers.begin(), m_callers.end(), [](const RetryingCaller& caller) {
      return caller.response->is_done && caller.response->outcome == "completed";
    });
  }

  const std::vector<RetryingCaller>& Callers() const { return m_callers; }

 private:
  static constexpr int kMaxAttempts = 20;

  void SendNew(std::int64_t now) {
    m_next_ms = now + kRequestPeriod.count();
    const int number = static_cast<int>(m_callers.size());
    RetryingCaller caller;
    caller.body = MixedBody(number);
    caller.instance = number % m_cluster.InstanceCount();
    caller.response = m_cluster.Submit(caller.instance, caller.body);
    m_callers.push_back(std::move(caller));
  }

  /// Retries a request that cannot have run, since it was refused or its connection was not
  /// accepted.
  void Retry(RetryingCaller& caller, std::int64_t now) {
    const CallerResponse& response = *caller.response;
    const bool is_refused =
        response.is_done && (IsRefusedAsStopping(response) || response.status == 0);
    if (!is_refused || caller.attempts >= kMaxAttempts) return;
    if (caller.retry_at_ms == 0) caller.retry_at_ms = now + kRetryDelay.count();
    if (now < caller.retry_at_ms) return;
    caller.retry_at_ms = 0;
    ++caller.attempts;
    caller.instance = (caller.instance + 1) % m_cluster.InstanceCount();
    caller.response = m_cluster.Submit(caller.instance, caller.body);
  }

  Cluster& m_cluster;
  std::vector<RetryingCaller> m_callers;
  std::int64_t m_next_ms = 0;
};

void CheckKeysRanOnce(Cluster& cluster, Violations& violations) {
  std::map<std::string, int> runs;
  for (const Execution& execution : cluster.Executions()) {
    if (!execution.key.empty()) ++runs[execution.key];
  }
  for (const auto& [key, count] : runs) {
    if (count > 1) violations.push_back(key + " ran " + std::to_string(count) + " times");
  }
}

Violations RunRollingRestart() {
  Cluster cluster(StopOptions(10));
  RetryingCallers callers(cluster);
  Violations violations;
  const auto never = [] { return false; };
  callers.RunUntil(never, kLoadTimeBeforeStop);
  for (int i = 0; i < cluster.InstanceCount(); ++i) {
    cluster.Daemon(i).Signal(SIGTERM);
    int code = -1;
    callers.RunUntil([&] { return cluster.Daemon(i).HasExited(&code); },
                     Millis{10'000} + kExitGrace);
    if (code != 0) {
      violations.push_back(cluster.InstanceName(i) + " exited with code " + std::to_string(code));
    }
    cluster.Restart(i);
    if (!cluster.WaitUntilReady(i))
      violations.push_back("not ready after the restart: " + cluster.InstanceName(i));
    callers.RunUntil(never, kLoadTimeAfterStop);
  }
  callers.RunUntil([&] { return callers.AreAllCompleted(); }, kFinishTimeout, false);
  for (const RetryingCaller& caller : callers.Callers()) {
    if (caller.response->outcome == "completed" && !caller.response->has_gap) continue;
    violations.push_back(caller.response->id + " ended with status " +
                         std::to_string(caller.response->status) + ", '" +
                         caller.response->outcome + "' " + caller.response->error);
  }
  CheckRanAtMostOnce(cluster, violations);
  CheckKeysRanOnce(cluster, violations);
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

}  // namespace

std::vector<Scenario> StopScenarios() {
  using Seed = std::uint32_t;
  return {
      {"stop under load", [](Seed) { return RunStop({.timeout_s = 10, .backlog = 12}); }},
      {"stop with a long queue",
       [](Seed) { return RunStop({.timeout_s = 3, .backlog = 100, .must_refuse_some = true}); }},
      {"rolling restart", [](Seed) { return RunRollingRestart(); }},
  };
}

}  // namespace bluebellpass::test
