#include <algorithm>
#include <csignal>
#include <map>
#include <set>

#include "scenarios.h"
#include "standins/standin.h"

/// Invariant 7: every planned stop is a graceful shutdown.

namespace bluebellpass::test {
namespace {

using nlohmann::json;
using Violations = std::vector<std::string>;

constexpr int kVictim = 1;
constexpr int kOther = 0;
constexpr std::size_t kEarlyIds = 4;
constexpr int kTokens = 25;  // half a second of streaming
constexpr Millis kPeriod{50};
constexpr Millis kBefore{1'500};
constexpr Millis kAfter{1'000};
constexpr Millis kExitGrace{2'000};
constexpr Millis kFinishLimit{20'000};
constexpr Millis kRetryDelay{100};
// The daemon looks for the signal every 20 ms; the rest is for a busy machine.
constexpr std::int64_t kSignalSeenMs = 100;
// Connections that are not yet accepted when the process ends are reset by the system.
constexpr std::int64_t kBacklogMs = 200;

/// One planned stop.
struct StopCase {
  int timeout_s = 10;
  int backlog = 0;  ///< requests given to the victim just before the signal
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

bool IsRefusedAsStopping(const CallerView& view) {
  return view.outcome == "not_run" && view.error == "stopping";
}

/// Requests and times of one stop.
struct StopRecord {
  std::vector<SentRequest> backlog;
  std::vector<SentRequest> early_ids;  ///< with ids from before the signal, sent after it
  std::int64_t signalled_ms = 0;       ///< wall clock
  std::int64_t exited_ms = 0;
};

std::set<std::string> RanIds(Cluster& cluster) {
  std::set<std::string> ids;
  for (const Execution& execution : cluster.Executions()) ids.insert(execution.request_id);
  return ids;
}

std::string Describe(const SentRequest& request, const StopRecord& record) {
  const CallerView& view = *request.view;
  return "request " + view.id + " sent " + std::to_string(request.sent_ms - record.signalled_ms) +
         " ms after the signal: status " + std::to_string(view.status) + ", outcome '" +
         view.outcome + "' " + view.error;
}

/// Checks a request that was sent to the victim.
void CheckVictims(const SentRequest& request, const StopRecord& record,
                  const std::set<std::string>& ran, Violations& violations) {
  const CallerView& view = *request.view;
  const bool is_completed = view.outcome == "completed" && !view.has_gap;
  const bool is_refused = IsRefusedAsStopping(view);
  const bool is_after = request.sent_ms >= record.signalled_ms + kSignalSeenMs;
  const bool is_in_backlog = view.status == 0 && request.sent_ms + kBacklogMs > record.exited_ms;
  const bool has_run = ran.contains(view.id);
  if (is_refused && has_run) violations.push_back("ran, " + Describe(request, record));
  if (is_after && has_run)
    violations.push_back("run after the signal, " + Describe(request, record));
  if (is_after && is_in_backlog) return;
  if (!is_refused && (is_after || !is_completed)) {
    violations.push_back("not answered as expected, " + Describe(request, record));
  }
}

/// Adds a violation for each run of the victim's whose id no caller has been told: its answer would
/// be lost.
void CheckRunsAreKnown(const SteadyLoad& load, const StopRecord& record, const std::string& victim,
                       std::set<std::string> ran, Violations& violations) {
  for (const auto* list : {&load.Sent(), &record.backlog, &record.early_ids}) {
    for (const SentRequest& request : *list) ran.erase(request.view->id);
  }
  for (const std::string& id : ran) {
    if (id.starts_with(victim + ".")) violations.push_back(id + " ran, but no caller knows it");
  }
}

void CheckStop(Cluster& cluster, const SteadyLoad& load, const StopRecord& record,
               Violations& violations) {
  const std::set<std::string> ran = RanIds(cluster);
  for (const SentRequest& request : load.Sent()) {
    if (request.instance == kVictim) {
      CheckVictims(request, record, ran, violations);
    } else if (request.view->outcome != "completed") {
      violations.push_back("at another instance, " + Describe(request, record));
    }
  }
  for (const SentRequest& request : record.backlog) {
    CheckVictims(request, record, ran, violations);
  }
  for (const SentRequest& request : record.early_ids) {
    if (ran.contains(request.view->id)) {
      violations.push_back("run after the signal, " + Describe(request, record));
    }
    if (request.view->outcome.empty()) {
      violations.push_back("no answer, " + Describe(request, record));
    }
  }
  CheckRunsAreKnown(load, record, cluster.InstanceName(kVictim), ran, violations);
  CheckRanOnce(cluster, violations);
}

/// Sends requests with ids of the victim, to itself and through another instance.
void SendEarlyIds(Cluster& cluster, const std::vector<std::string>& ids, StopRecord& record) {
  const std::int64_t now = standin::WallMillis();
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const int entry = i % 2 == 0 ? kVictim : kOther;
    const json body = EngineBody("early " + std::to_string(i), "urgent", kTokens);
    record.early_ids.push_back({entry, now, cluster.Submit(entry, body, ids[i])});
  }
}

Violations RunStop(const StopCase& stop) {
  Cluster cluster(StopOptions(stop.timeout_s));
  SteadyLoad load(cluster, kPeriod, MixedBody);
  StopRecord record;
  std::vector<std::string> ids;
  load.RunFor(kBefore);
  ids.reserve(kEarlyIds);
  for (std::size_t i = 0; i < kEarlyIds; ++i) ids.push_back(cluster.NewId(kVictim));
  for (int i = 0; i < stop.backlog; ++i) {
    const json body = EngineBody("backlog " + std::to_string(i), "urgent", kTokens);
    record.backlog.push_back({kVictim, standin::WallMillis(), cluster.Submit(kVictim, body)});
  }
  // The bytes of the requests are on their way before the signal.
  load.RunFor(Millis{200});
  cluster.Daemon(kVictim).Signal(SIGTERM);
  record.signalled_ms = standin::WallMillis();
  load.RunFor(Millis{kSignalSeenMs});
  SendEarlyIds(cluster, ids, record);
  int code = -1;
  const bool has_ended = load.RunUntil([&] { return cluster.Daemon(kVictim).HasExited(&code); },
                                       std::chrono::seconds(stop.timeout_s) + kExitGrace);
  record.exited_ms = standin::WallMillis();
  load.RunFor(kAfter);
  Violations violations;
  if (!has_ended) violations.push_back("the stop took too long");
  if (has_ended && code != 0) violations.push_back("exit code " + std::to_string(code));
  if (!load.Finish(kFinishLimit)) violations.push_back("a caller got no answer");
  CheckStop(cluster, load, record, violations);
  const auto refused =
      std::count_if(record.backlog.begin(), record.backlog.end(),
                    [](const SentRequest& request) { return IsRefusedAsStopping(*request.view); });
  if (stop.must_refuse_some && refused == 0) violations.push_back("the backlog was too short");
  if (!violations.empty()) violations.push_back("logs in " + cluster.LogFolder());
  return violations;
}

/// A caller that goes to the next instance when one stops.
struct RetryingCaller {
  json body;
  int instance = 0;
  int attempts = 1;
  std::int64_t retry_at_ms = 0;  ///< wall clock; 0 while no retry is due
  std::shared_ptr<CallerView> view;
};

class RetryingCallers {
 public:
  explicit RetryingCallers(Cluster& cluster) : m_cluster(cluster) {}

  /// Sends new requests while the condition does not hold, and retries.
  bool RunUntil(const std::function<bool()>& condition, Millis limit, bool is_sending = true) {
    return m_cluster.RunUntil(
        [&] {
          const std::int64_t now = standin::WallMillis();
          if (is_sending && now >= m_next_ms) SendNew(now);
          for (RetryingCaller& caller : m_callers) Retry(caller, now);
          return condition();
        },
        limit);
  }

  bool AreAllDone() const {
    return std::all_of(m_callers.begin(), m_callers.end(), [](const RetryingCaller& caller) {
      return caller.view->is_done && caller.view->outcome == "completed";
    });
  }

  const std::vector<RetryingCaller>& All() const { return m_callers; }

 private:
  static constexpr int kMaxAttempts = 20;

  void SendNew(std::int64_t now) {
    m_next_ms = now + kPeriod.count();
    const int number = static_cast<int>(m_callers.size());
    RetryingCaller caller;
    caller.body = MixedBody(number);
    caller.instance = number % m_cluster.InstanceCount();
    caller.view = m_cluster.Submit(caller.instance, caller.body);
    m_callers.push_back(std::move(caller));
  }

  /// Only what is certain not to have run is sent again: refusals, and connections that the
  /// instance did not accept.
  void Retry(RetryingCaller& caller, std::int64_t now) {
    const CallerView& view = *caller.view;
    const bool is_refused = view.is_done && (IsRefusedAsStopping(view) || view.status == 0);
    if (!is_refused || caller.attempts >= kMaxAttempts) return;
    if (caller.retry_at_ms == 0) caller.retry_at_ms = now + kRetryDelay.count();
    if (now < caller.retry_at_ms) return;
    caller.retry_at_ms = 0;
    ++caller.attempts;
    caller.instance = (caller.instance + 1) % m_cluster.InstanceCount();
    caller.view = m_cluster.Submit(caller.instance, caller.body);
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
  callers.RunUntil(never, kBefore);
  for (int i = 0; i < cluster.InstanceCount(); ++i) {
    cluster.Daemon(i).Signal(SIGTERM);
    int code = -1;
    callers.RunUntil([&] { return cluster.Daemon(i).HasExited(&code); },
                     Millis{10'000} + kExitGrace);
    if (code != 0) {
      violations.push_back(cluster.InstanceName(i) + " ended with " + std::to_string(code));
    }
    cluster.Restart(i);
    if (!cluster.WaitUntilReady(i)) violations.push_back("no " + cluster.InstanceName(i));
    callers.RunUntil(never, kAfter);
  }
  callers.RunUntil([&] { return callers.AreAllDone(); }, kFinishLimit, false);
  for (const RetryingCaller& caller : callers.All()) {
    if (caller.view->outcome == "completed" && !caller.view->has_gap) continue;
    violations.push_back(caller.view->id + " ended with status " +
                         std::to_string(caller.view->status) + ", '" + caller.view->outcome + "' " +
                         caller.view->error);
  }
  CheckRanOnce(cluster, violations);
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
