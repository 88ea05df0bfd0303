#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "bluebellpass/gateway/model.h"
#include "bluebellpass/types.h"
#include "crash-records.h"
#include "failure-rate.h"
#include "gateway/rollout/rollout-controller.h"
#include "rejection-guard.h"
#include "service-load.h"
#include "size-balance.h"
#include "speed-model.h"

namespace bluebellpass::gateway {

/// Scheduling attributes of a request.
struct RequestInfo {
  AttemptId id;
  InstanceId home;  ///< instance that holds the request and will send it
  ServiceName service;
  std::string route;  ///< name; requests of a route are of one kind
  OrganisationId organisation;
  int rank = 0;  ///< 0 is the most urgent
  TimePoint arrived;
  /// From the caller's first attempt until the arrival of this one. The objective counts from
  /// there.
  Millis caller_age{0};
  Millis latency_objective{0};  ///< target time from arrival to the first event of the response
  Millis max_event_gap{0};      ///< target maximum time between events; 0 means no bound
  Millis patience{0};           ///< from arrival; without an event by then, the caller disconnects
  TimePoint deadline;           ///< the response must be complete by then
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;         ///< estimate
  std::set<BackendId> excluded_backends;  ///< backend servers that have failed the request
  double quota_cost = 0;                  ///< units of the organisation's quota
  std::uint64_t fingerprint = 0;          ///< content hash, equal for identical requests
  /// Parts of the prompt, and the content without its query, that other requests may share.
  std::vector<Fingerprint> shared_parts;
  /// Time for which the caller may take the stream up again from its arrival; 0 for others.
  Millis stream_lifetime{0};
  /// The caller's attempt that brings the first event of the stream: this one, or an earlier one.
  AttemptId stream;
  bool is_taken_up = false;  ///< the stream began in an earlier attempt
  /// The stream may be continued only by this version. If not set, a stream that is taken up must
  /// not be granted.
  std::optional<SoftwareVersion> version;
  bool is_retry = false;      ///< the request was granted before
  bool is_retryable = false;  ///< it may be sent again after a failed run
};

enum class RunOutcome : std::uint8_t {
  kNotRun,  ///< the request was not sent, or the backend server refused it
  kCompleted,
  kFailed,     ///< the backend server returned an error, or the response was cut off
  kLost,       ///< the connection was lost before the first event of the response
  kCancelled,  ///< the caller disconnected, or the deadline passed
};

/// Outcome and timing of a run.
struct RunReport {
  RunOutcome outcome = RunOutcome::kNotRun;
  std::optional<Millis> time_to_first_event;  ///< from dispatch
  std::optional<double> event_gap_ms;         ///< typical time between events
};

/// Scheduler state behind a decision, for the log.
struct DecisionInputs {
  std::size_t waiting = 0;  ///< requests waiting for the same service
  int slots = 0;            ///< of the service's backend servers
  int free_slots = 0;
  double wait_ms = 0;  ///< predicted wait of a refused request, actual wait of a granted one
  SizeGroup size = SizeGroup::kSmall;
  double boost = 1;  ///< factor by which the score was raised for an underserved size group
};

struct Grant {
  AttemptId id;
  InstanceId home;
  BackendId backend;
  std::optional<SoftwareVersion> version;  ///< the only one that may continue the stream
  DecisionInputs inputs;
};

/// @return the outcome's stable name in metrics
std::string_view NameOf(RunOutcome outcome);

enum class RefusalReason : std::uint8_t {
  kOverloaded,
  kTooLate,
  kNoBackend,
  kQuota,
  kQuarantined,
  kUnknownVersion,  ///< of a stream that is taken up
  kNoSuchVersion,   ///< no backend server has the version that began the stream
};

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

/// Limit on the requests that are sent to a backend server with an above-average failure rate.
enum class FailureLimit : std::uint8_t {
  kNone,
  kOneAtATime,
  kTrialsOnly,
};

/// @return the limit's stable name in logs
std::string_view NameOf(FailureLimit limit);

/// A change of a backend server's failure limit.
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
  CrashUpdate crashes;  ///< changes since the last decision
};

/// Result counts of the requests of one kind and size group.
struct SizeGroupResults {
  ServiceName service;
  std::string route;
  int rank = 0;
  SizeGroup size = SizeGroup::kSmall;
  ResultCounts counts;
};

/// Final check before a waiting request is granted.
class AdmissionControl {
 public:
  virtual ~AdmissionControl() = default;
  /// @return true when the request may run now, false when it must stay in the queue
  virtual bool TryAdmit(const RequestInfo& request, TimePoint now) = 0;
};

/// Decides which request runs when and on which backend server, and which is refused. Backend
/// servers accept every request, so each is granted at most as many as it can run at once, and the
/// rest is queued here. Performs no I/O and reads no clock: time and events are passed in.
///
/// - The queue is ordered by value per unit of slot time, where the value falls with rank and grows
///   with size. This handles loads under which slots are short for seconds. Streams that have begun
///   count twice the value and as on time, since a refusal would waste their runs so far.
/// - Within a kind, requests of a size group that is served much less often than the kind go first
///   until the group has caught up. This handles sustained overload.
/// - A long prompt does not start on a backend server where its prefill would stretch the event
///   gaps of running streams over their bound. This handles backend servers that are several times
///   slower than others.
/// - A request that could soon be on time elsewhere does not start where it would be late. This
///   handles bursts of long prompts.
/// - Backend servers that fail more of their runs than the others get requests only when those are
///   full, and those that fail nearly all of them get only an occasional trial. A run without an
///   event for long counts as failed before its caller disconnects. This handles backend servers
///   that pass their health check while they fail requests; one that fails them at once would
///   otherwise look idle and attract the whole queue.
/// - While slots are scarce, a request whose response could not be complete by its deadline on the
///   fastest backend server gets no slot. This handles responses that differ a hundredfold in
///   length.
/// - Requests of plain services state no size, so the time that they occupy a slot is learned.
/// - Requests that will be late yield to new ones, and are refused at once while new ones take all
///   slots. This handles bursts for which waiting would only make all requests late.
/// - A backend server that states how many requests it can turn away gets no more at a time than
///   that, until it has accepted them. This handles ones that fail while their room shrinks.
/// - A request that cannot start before its caller disconnects is refused as soon as that is known,
///   mostly on arrival, with the time after which the queue will have drained. This handles bursts
///   above the capacity.
class Scheduler {
 public:
  /// Sets the roll-outs that restrict which versions of backend servers may be used; may be null.
  void SetRollouts(RolloutController* rollouts) { m_rollouts = rollouts; }
  /// Says whether the backend servers are still being listed. Meanwhile requests for services
  /// without any wait for a time before they are refused.
  void SetListing(bool is_listing) { m_is_listing = is_listing; }
  /// Sets the share of each backend server's slots that this scheduler may grant.
  /// @param index position of this scheduler among those that share the slots
  /// @param count number of schedulers that share the slots
  void SetShare(std::size_t index, std::size_t count);

  void SetBackend(const Backend& backend, const Service* service);
  void RemoveBackend(const BackendId& id);
  /// Grants no requests to a backend server until a time, after it failed.
  void AvoidBackend(const BackendId& id, TimePoint until);
  /// Records what a backend server says of the requests that it turns away.
  void RecordRejections(const BackendId& id, const RejectionReport& report, TimePoint now);
  /// @return the current start of a backend server
  BackendStart StartOf(const BackendId& id) const;
  /// @return the granted request, or null
  const RequestInfo* FindRunning(const AttemptId& id) const;
  /// @return the backend server of a granted request, or null
  const BackendId* BackendOf(const AttemptId& id) const;

  /// @return when a request was granted, or null
  const TimePoint* StartTimeOf(const AttemptId& id) const;

  void AddRequest(RequestInfo request);
  /// @return the waiting request, or null
  const RequestInfo* FindWaiting(const AttemptId& id) const;
  /// Removes a waiting request.
  /// @return false when it was not waiting
  bool Withdraw(const AttemptId& id);
  /// Removes the waiting requests that match.
  /// @return the removed requests
  std::vector<RequestInfo> RemoveWaitingIf(
      const std::function<bool(const RequestInfo& request)>& matches);
  /// Ends a run and frees its slot.
  void ReleaseRun(const AttemptId& id, const RunReport& report, TimePoint now);
  /// Records the first event of a run, which ends its prefill.
  /// @param time_to_first_event from dispatch
  void RecordFirstEvent(const AttemptId& id, Millis time_to_first_event, TimePoint now);
  /// Adds a run that another scheduler granted.
  void AdoptRun(const RequestInfo& request, const BackendId& backend, bool is_prefilling,
                TimePoint now);
  /// Ends all runs and removes all waiting requests of an instance.
  /// @return the requests that were waiting
  std::vector<RequestInfo> RemoveHome(const InstanceId& home);

  /// Decides about all waiting requests.
  Decisions Decide(TimePoint now, AdmissionControl& admission);
  /// @return when Decide should be called again if no other event comes first, or nullopt
  std::optional<TimePoint> NextDecision() const { return m_next_decision; }

  std::size_t WaitingCount() const { return m_waiting.size(); }
  std::size_t RunningCount() const { return m_runs.size(); }
  /// @return result counts by kind and size group since the start; a request counts as offered,
  /// then as granted or under its refusal reason, and a granted one under its run's outcome as well
  std::vector<SizeGroupResults> ResultsBySize() const;
  /// @return the software version of a known backend server, or null
  const SoftwareVersion* VersionOf(const BackendId& id) const;
  /// @return number of runs that occupy slots of a backend server
  int RunningOn(const BackendId& id) const;
  /// @return number of runs of a service at backend servers of other versions than this one
  std::size_t RunsAtOtherVersions(const ServiceName& service, const SoftwareVersion& version) const;

 private:
  struct Stall {
    TimePoint counted_at;
    FailureRate rate_before;
  };
  struct TrackedBackend {
    Backend backend;
    SpeedModel speed;
    bool is_engine = false;
    std::int64_t kv_cache_tokens = 0;
    int running = 0;
    std::uint64_t probes = 0;          ///< requests granted to an unproven version
    int prefilling = 0;                ///< runs without an event so far
    std::int64_t prefill_tokens = 0;   ///< prompt tokens of those runs
    std::int64_t reserved_tokens = 0;  ///< KV cache reserved for all runs
    TimePoint avoid_until{};
    TimePoint next_trial{};     ///< for FailureLimit::kTrialsOnly
    TimePoint last_response{};  ///< last first event or completed response
    FailureLimit limit = FailureLimit::kNone;
    FailureRate failure_rate;
    /// Set when runs have stalled, since it may turn out that the backend server only paused.
    std::optional<Stall> stall;
  };
  struct Run {
    RequestInfo request;
    BackendId backend;
    bool is_prefilling = true;
    std::int64_t prefill_tokens_at_start = 0;  ///< of its backend server, with its own prompt
    TimePoint started;
    bool is_under_load = false;      ///< at the start more than half of the slots were taken
    bool is_stalled = false;         ///< counted as failed, since no event came for long
    bool has_lost_path = false;      ///< the same, but its home may reach no backend server
    SizeBalance* balance = nullptr;  ///< null for a run that another scheduler granted
    SizeGroup size = SizeGroup::kSmall;
  };
  /// Service, route and rank. Size groups are determined within a kind.
  using RequestKind = std::tuple<ServiceName, std::string, int>;
  struct WaitingRequest {
    RequestInfo request;
    double slot_time_ms = 0;  ///< expected time in a slot of a fast backend server
    double value = 0;
    SizeBalance* balance = nullptr;
    SizeGroup size = SizeGroup::kSmall;
    bool is_new = true;  ///< has not been through a decision yet

    auto ArrivalOrder() const { return std::tie(request.arrived, request.id); }
  };
  /// A backend server that may be granted requests in one decision.
  struct OpenBackend {
    TrackedBackend* state = nullptr;
    int slots = 0;          ///< that this scheduler may grant
    double penalty_ms = 0;  ///< added to expected times for failures above the mean
    FailureLimit limit = FailureLimit::kNone;

    bool IsFull() const { return state->running >= slots; }
  };
  /// Capacity of a service's backend servers at one decision.
  struct Capacity {
    std::vector<OpenBackend> open;  ///< with free slots, by id
    /// The same of an unproven version, whose slots are not counted below.
    std::vector<OpenBackend> probes;
    /// The same of a version that only continues streams.
    std::vector<OpenBackend> ending;
    bool is_guarded = false;  ///< some may get more requests once they have accepted others
    bool has_backends = false;
    int free_slots = 0;
    int slots = 0;
    double effective_slots = 0;  ///< slots weighted by speed relative to the fastest
    SpeedModel fastest;
    double mean_failure_rate = 0;  ///< over the backend servers
    const ServiceLoad* load = nullptr;
    bool is_plain = false;  ///< the backend servers are no engines

    bool IsScarce() const;
  };

  /// @return true if a backend server may continue a stream of the version now or soon
  bool HasVersion(const ServiceName& service, const SoftwareVersion& version, TimePoint now) const;
  int GrantableSlots(const TrackedBackend& state) const;
  /// @return this scheduler's share of a number that holds for a backend server
  int ShareOf(const BackendId& id, int number) const;
  /// @return true if the backend server of a run without a response would have turned it away by
  /// now
  bool IsConfirmed(const Run& run, TimePoint now) const;
  /// Limits the slots of backend servers that fail if they have to turn away too many requests.
  void LimitUnconfirmed(Capacity& capacity, TimePoint now);
  /// Determines the capacity and reports changes of failure limits.
  Capacity CapacityOf(const ServiceName& service, TimePoint now, Decisions& decisions);
  double SlotTimeMs(const RequestInfo& request, const SpeedModel& speed) const;
  /// Sets the expected slot time, the size group and the value of a new request.
  void Evaluate(WaitingRequest& waiting);
  /// @return true when even the fastest backend server would miss the objective
  static bool IsLate(const RequestInfo& request, const Capacity& capacity, TimePoint now);
  /// A waiting request with its score and the factor by which that was raised.
  struct RankedRequest {
    WaitingRequest* waiting = nullptr;
    double score = 0;
    double boost = 1;
    bool is_late = false;
  };
  /// @return the queue by descending score
  static std::vector<RankedRequest> RankQueue(const std::vector<WaitingRequest*>& queue,
                                              const Capacity& capacity, TimePoint now);
  /// For each size group with a deficit, raises the scores of that many requests to the best score
  /// of their kind.
  static void BoostUnderserved(std::vector<RankedRequest>& ranked);
  /// @return true when the request's prefill keeps the event gaps of running streams in bounds
  bool KeepsEventGaps(const TrackedBackend& state, const RequestInfo& request) const;
  /// Bounds on the time that a request may take at a backend server.
  struct TimeBounds {
    double first_event_ms = 0;
    double total_ms = 0;
  };
  TimeBounds BoundsOf(const RequestInfo& request, const Capacity& capacity, bool is_late,
                      TimePoint now) const;
  /// @return the cost of a backend server for the request, lowest for the best one, or nullopt if
  /// it cannot take the request
  std::optional<double> CostAt(const OpenBackend& open, const RequestInfo& request,
                               const Capacity& capacity, const TimeBounds& bounds,
                               TimePoint now) const;
  const OpenBackend* ChooseBackend(const RequestInfo& request,
                                   const std::vector<OpenBackend>& candidates,
                                   const Capacity& capacity, bool is_late, TimePoint now) const;
  /// @return a backend server of an unproven version that can take the request, or null
  const OpenBackend* ChooseProbe(const RequestInfo& request, const Capacity& capacity, bool is_late,
                                 TimePoint now) const;
  bool IsPlain(const ServiceName& service) const;
  /// @return expected time in a slot, on the fastest backend server
  double SlotTimeOf(const WaitingRequest& waiting, const Capacity& capacity) const;
  /// @return expected time from the grant to the first event, or for a plain service to the
  /// response
  static double ResponseTimeMs(const RequestInfo& request, const Capacity& capacity);
  /// Expected wait of a request that gets no slot now, and the longest one that makes sense.
  struct WaitPrediction {
    double wait_ms = 0;
    double max_wait_ms = 0;
    bool yields_to_new = false;  ///< it will be late, so new requests go first
  };
  WaitPrediction PredictWait(const RankedRequest& ranked, double work_ahead_ms,
                             const Capacity& capacity, TimePoint now) const;
  /// @param uncounted set to the list whose slots are not counted in the capacity, if the backend
  /// server is of that
  /// @return the backend server that a request should be granted, or null
  const OpenBackend* ChooseForGrant(const RankedRequest& ranked, Capacity& capacity, TimePoint now,
                                    std::vector<OpenBackend>*& uncounted);
  /// @return false when no backend server can take the request
  bool TryGrant(const RankedRequest& ranked, std::size_t queue_size, Capacity& capacity,
                TimePoint now, AdmissionControl& admission, Decisions& decisions);
  void StartRun(const RequestInfo& request, TrackedBackend& state, TimePoint now);
  /// Removes a request that neither waits nor runs any more from the index by home.
  void Forget(const RequestInfo& request);
  /// @param excess failure rate above the mean over the backend servers of the service
  static FailureLimit FailureLimitFor(double excess);
  /// @return true when the failure limit keeps the request off the backend server
  static bool IsBlockedByLimit(const TrackedBackend& state, const RequestInfo& request,
                               FailureLimit limit, TimePoint now);
  /// Records the result of a run for or against the version of its backend server.
  void RecordVersionResult(const Run& run, const RunReport& report, TimePoint now);
  /// Counts a run that ends before its backend server has responded as turned away.
  void CountUnseenRejection(const Run& run, const RunReport& report, TimePoint now);
  void UpdateFailureRate(const Run& run, const RunReport& report, TimePoint now);
  void DetectStalledRuns(TimePoint now);
  /// Takes back what a stalled run has counted, if its first event shows that its backend server
  /// only paused.
  void ForgivePause(Run& run, TrackedBackend& state, TimePoint now);
  /// @return true if the home of a run may reach no backend server: several have sent it nothing
  /// since the run started
  bool MayHaveLostPath(const Run& run) const;
  /// Counts the outcome of a run for metrics and for the balance between size groups.
  static void RecordOutcome(const Run& run, RunOutcome outcome, TimePoint now);
  void EndPrefill(Run& run);
  void DecideForService(const ServiceName& service, std::vector<WaitingRequest*> queue,
                        TimePoint now, AdmissionControl& admission, Decisions& decisions);
  void Refuse(const WaitingRequest& waiting, RefusalReason reason, Millis retry_after,
              const DecisionInputs& inputs, Decisions& decisions);
  /// Moves the next decision forward to a time, unless it is due earlier.
  void DecideBy(TimePoint at);

  RolloutController* m_rollouts = nullptr;
  /// Longer than a call to the store that gets no response, and its repetition.
  static constexpr Millis kMaxListWait{2'000};
  bool m_is_listing = false;
  std::size_t m_share_index = 0;
  std::size_t m_share_count = 1;
  std::map<BackendId, TrackedBackend> m_backends;
  /// Pointers into m_backends, whose elements do not move.
  std::map<ServiceName, std::map<BackendId, TrackedBackend*>> m_backends_by_service;
  std::map<AttemptId, WaitingRequest> m_waiting;
  std::map<AttemptId, Run> m_runs;
  std::map<InstanceId, std::set<AttemptId>> m_requests_by_home;  ///< waiting or running
  std::map<InstanceId, TimePoint> m_last_response_by_home;
  /// Of backend servers that state how many requests they can turn away.
  std::map<BackendStart, RejectionGuard> m_rejection_guards;
  std::map<RequestKind, SizeBalance> m_size_balances;
  std::map<ServiceName, ServiceLoad> m_loads;
  double m_prefill_ratio = kInitialPrefillRatio;
  TimePoint m_next_stall_check{};
  std::optional<TimePoint> m_next_decision;
};

}  // namespace bluebellpass::gateway
