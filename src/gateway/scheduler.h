#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "bluebellpass/types.h"
#include "failure-rate.h"
#include "model.h"
#include "size-balance.h"
#include "speed-model.h"

namespace bluebellpass::gateway {

/// A request that waits for a backend server.
struct RequestInfo {
  AttemptId id;
  InstanceId home;  ///< instance that holds the request and will send it
  ServiceName service;
  std::string route;  ///< name; requests of a route are of one kind
  OrganisationId organisation;
  int rank = 0;  ///< 0 is the most urgent
  TimePoint arrived;
  Millis latency_objective{0};  ///< from arrival to the first part of the answer
  Millis max_event_gap{0};      ///< longest pause between events that is on time; 0 means no bound
  Millis patience{0};  ///< from arrival; the caller leaves when no part of the answer has come
  TimePoint deadline;  ///< nobody waits for the rest of the answer after this
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;         ///< expected
  std::set<BackendId> excluded_backends;  ///< backend servers that have already failed it
  double quota_cost = 0;                  ///< counts against the organisation's quota
  std::uint64_t fingerprint = 0;  ///< of the content, to recognise a request that comes again
  bool is_retry = false;          ///< it was granted before, and is sent again
  bool is_retryable = false;      ///< it may be sent again after a run that failed
};

enum class RunOutcome : std::uint8_t {
  kNotRun,  ///< it was not sent, or the backend server turned it away
  kCompleted,
  kFailed,     ///< the backend server answered with a failure, or broke off midway
  kLost,       ///< the backend server broke off before any part of the answer
  kCancelled,  ///< the caller left, or the time was over
};

/// What is known of a run when it has ended.
struct RunReport {
  RunOutcome outcome = RunOutcome::kNotRun;
  std::optional<Millis> first_event;   ///< from dispatch
  std::optional<double> event_gap_ms;  ///< typical time between events
};

/// What a decision rested on, for the log.
struct DecisionInputs {
  std::size_t waiting = 0;  ///< requests for the same service
  int slots = 0;            ///< of its backend servers
  int free_slots = 0;
  double wait_ms = 0;  ///< predicted wait, or the time waited for a grant
  SizeGroup size = SizeGroup::kSmall;
  double boost = 1;  ///< factor on the value, for a request that is owed to its size
};

struct Grant {
  AttemptId id;
  InstanceId home;
  BackendId backend;
  DecisionInputs inputs;
};

/// @return the outcome's stable name in metrics
std::string_view NameOf(RunOutcome outcome);

enum class RefusalReason : std::uint8_t { kOverloaded, kTooLate, kNoBackend, kQuota, kQuarantined };

/// @return the reason's stable name in logs
std::string_view NameOf(RefusalReason reason);

struct Refusal {
  AttemptId id;
  InstanceId home;
  RefusalReason reason = RefusalReason::kOverloaded;
  Millis retry_after{0};
  OrganisationId organisation;
  double quota_cost = 0;
  DecisionInputs inputs;
};

/// How far work is kept away from a backend server that fails more often than the others.
enum class FailureLimit : std::uint8_t {
  kNone,
  kOneAtATime,
  kTrialsOnly,
};

/// @return the limit's stable name in logs
std::string_view NameOf(FailureLimit limit);

/// A backend server's limit has changed.
struct FailureLimitChange {
  BackendId backend;
  FailureLimit limit = FailureLimit::kNone;
  double failure_rate = 0;
  double mean_failure_rate = 0;  ///< over the backend servers of the service
};

struct Decisions {
  std::vector<Grant> grants;
  std::vector<Refusal> refusals;
  std::vector<FailureLimitChange> limit_changes;
};

/// Results of the requests of one kind and size.
struct SizeGroupResults {
  ServiceName service;
  std::string route;
  int rank = 0;
  SizeGroup size = SizeGroup::kSmall;
  ResultCounts counts;
};

/// Has the last word before waiting work is granted.
class AdmissionControl {
 public:
  virtual ~AdmissionControl() = default;
  /// @return false when the work must wait on; true when it starts now
  virtual bool TryAdmit(const RequestInfo& work, TimePoint now) = 0;
};

/// Decides which request runs where and when, and which is refused. Backend servers admit whatever
/// arrives, so each gets at most what it can run at once, and the rest waits here. Pure: time and
/// events come from the caller. Its rules and the load that each answers:
///
/// - Work waits in order of value for the time that it occupies a place, where value falls with
/// rank
///   and grows with size. Answers days on which the places are short for seconds.
/// - Within a kind, requests of a size that is served much less often than the kind go before the
///   others, as many as are owed. Answers overload that lasts.
/// - A long prompt does not start beside running streams whose pauses it would stretch over their
///   bound. Answers backend servers that are several times slower than others.
/// - Work that could be on time elsewhere soon does not start where it would be late. Answers
/// bursts
///   of long prompts.
/// - Backend servers that fail more of their runs than the others get work only when those are
/// full, and those that fail nearly all get none but a trial from time to time. A run that is
/// silent for long counts as failed before its caller leaves.
///   Answers backend servers whose health check is good while they fail requests; those that fail
///   at once would otherwise seem free and draw all that waits.
/// - Work whose answer would not be whole before its deadline on the fastest backend server gets no
///   place while places are scarce. Answers answers that differ a hundredfold in length.
/// - Work that cannot start before its caller leaves is refused when that becomes clear, mostly on
///   arrival, with the time at which the queue will have drained. Answers bursts above the
///   capacity.
class Scheduler {
 public:
  /// @param share part of each backend server's places that may be granted, as index of count
  void SetShare(std::size_t index, std::size_t count);

  void SetBackend(const Backend& backend, const Service* service);
  void RemoveBackend(const BackendId& id);
  /// Keeps work away from a backend server for a while, after it failed.
  void AvoidBackend(const BackendId& id, TimePoint until);
  /// @return the run on a backend server that was granted last among those without an event, or
  /// null
  const RequestInfo* NewestPrefilling(const BackendId& id) const;
  /// @return the work of a granted run, or null
  const RequestInfo* FindRunning(const AttemptId& id) const;
  /// @return the backend server of a granted run, or null
  const BackendId* BackendOf(const AttemptId& id) const;

  void AddRequest(RequestInfo work);
  /// @return the waiting work, or null
  const RequestInfo* FindWaiting(const AttemptId& id) const;
  /// Withdraws waiting work.
  /// @return false when it was not waiting
  bool RemoveWaiting(const AttemptId& id);
  /// Ends a granted run.
  void Release(const AttemptId& id, const RunReport& report, TimePoint now);
  /// The first event of a granted run has come: its prompt has been read.
  void RecordFirstEvent(const AttemptId& id, Millis after, TimePoint now);
  /// Counts a run that was granted elsewhere.
  void AdoptRun(const RequestInfo& work, const BackendId& backend, bool is_reading, TimePoint now);
  /// Ends all runs and withdraws all waiting work of an instance.
  /// @return the work that waited
  std::vector<RequestInfo> RemoveHome(const InstanceId& home);

  /// Decides for all that waits.
  Decisions Decide(TimePoint now, AdmissionControl& gate);
  /// @return when Decide should be called again if nothing else happens, or nullopt
  std::optional<TimePoint> NextDecision() const { return m_next; }

  std::size_t WaitingCount() const { return m_waiting.size(); }
  std::size_t RunningCount() const { return m_runs.size(); }
  /// @return results by kind and size since the start; a request counts as offered, then as granted
  /// or under the reason of its refusal, and a granted one under the outcome of its run as well
  std::vector<SizeGroupResults> ResultsBySize() const;
  /// @return runs that count against a backend server
  int RunningOn(const BackendId& id) const;

 private:
  struct BackendState {
    Backend backend;
    SpeedModel speed;
    bool is_engine = false;
    std::int64_t kv_cache_tokens = 0;
    int running = 0;
    int reading = 0;                   ///< runs that have had no event yet
    std::int64_t unread_tokens = 0;    ///< prompts of those
    std::int64_t reserved_tokens = 0;  ///< memory of all runs
    TimePoint avoid_until{};
    TimePoint next_trial{};  ///< while it gets trials only
    TimePoint last_sign{};   ///< of a first event or a whole answer
    FailureLimit limit = FailureLimit::kNone;
    FailureRate failures;
  };
  struct Run {
    RequestInfo work;
    BackendId backend;
    bool is_reading = true;
    std::int64_t unread_at_start = 0;
    TimePoint started;
    bool is_silent = false;          ///< counted as failed, since nothing came for long
    SizeBalance* balance = nullptr;  ///< null for a run that was granted elsewhere
    SizeGroup size = SizeGroup::kSmall;
  };
  /// Work of one kind, to tell large requests from small ones.
  using WorkKind = std::tuple<ServiceName, std::string, int>;
  struct Waiting {
    RequestInfo work;
    double cost_ms = 0;  ///< time in a place of a fast backend server
    double value = 0;
    SizeBalance* balance = nullptr;
    SizeGroup size = SizeGroup::kSmall;
    bool is_new = true;

    auto Arrival() const { return std::tie(work.arrived, work.id); }
  };
  /// What the backend servers of a service can do, as of one decision.
  struct Capacity {
    bool has_any = false;
    int free_places = 0;
    int places = 0;
    double fast_places = 0;  ///< places, each counted by its speed against the fastest
    SpeedModel fastest;
    double failures = 0;  ///< mean rate over the backend servers

    bool IsScarce() const;
  };

  int PlacesOf(const BackendState& state) const;
  Capacity Survey(const ServiceName& service, TimePoint now) const;
  double CostOf(const RequestInfo& work, const SpeedModel& speed) const;
  void Appraise(Waiting& waiting);
  /// @return true when not even the fastest backend server would begin to answer in time
  static bool IsLate(const RequestInfo& work, const Capacity& capacity, TimePoint now);
  /// Waiting work with its score, and the factor by which that was raised.
  struct Ranked {
    Waiting* waiting = nullptr;
    double score = 0;
    double raise = 1;
    bool is_late = false;
  };
  /// @return the queue, what goes first in front
  static std::vector<Ranked> Rank(const std::vector<Waiting*>& queue, const Capacity& capacity,
                                  TimePoint now);
  /// Raises as many requests of each size as are owed to it to the best of their kind.
  static void RaiseOwed(std::vector<Ranked>& ranked);
  bool FitsBeside(const BackendState& state, const RequestInfo& work) const;
  BackendState* Choose(const RequestInfo& work, const Capacity& capacity, bool is_late,
                       TimePoint now);
  void Start(const RequestInfo& work, BackendState& state, TimePoint now);
  /// @param excess failure rate above the mean over the backend servers of the service
  static FailureLimit LimitOf(double excess);
  /// @return true when a backend server has no place for the work because it fails too often
  static bool IsKeptOut(const BackendState& state, const RequestInfo& work, FailureLimit limit,
                        TimePoint now);
  void ReportLimits(const ServiceName& service, double mean, TimePoint now, Decisions& decisions);
  void Judge(const Run& run, const RunReport& report, TimePoint now);
  void JudgeSilentRuns(TimePoint now);
  /// Keeps the balance of sizes true when a run has ended.
  static void NoteEnd(const Run& run, RunOutcome outcome, TimePoint now);
  void EndReading(Run& run);
  void DecideService(const ServiceName& service, std::vector<Waiting*> queue, TimePoint now,
                     AdmissionControl& gate, Decisions& decisions);
  void Refuse(const Waiting& waiting, RefusalReason reason, Millis retry_after,
              const DecisionInputs& inputs, Decisions& decisions);
  void NoteNext(TimePoint at);

  std::size_t m_share_index = 0;
  std::size_t m_share_count = 1;
  std::map<BackendId, BackendState> m_backends;
  std::map<ServiceName, std::set<BackendId>> m_by_service;
  std::map<AttemptId, Waiting> m_waiting;
  std::map<AttemptId, Run> m_runs;
  std::map<WorkKind, SizeBalance> m_balances;
  double m_reading_ratio = kInitialReadingRatio;
  TimePoint m_next_silence_check{};
  std::optional<TimePoint> m_next;
};

}  // namespace bluebellpass::gateway
