#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/gateway/model.h"
#include "bluebellpass/gateway/rollout.h"

namespace bluebellpass::gateway {

/// The deployment's bounds on an unproven version.
struct RolloutBounds {
  /// Fraction of a service's requests that may run at an unproven version.
  double exposure_ratio = 0;
  double exposure_slack = 0;  ///< number of requests allowed in addition
  Millis rollback_delay{0};   ///< from the 50th bad response until nothing is sent any more
};

/// What the version of a backend server permits at present.
enum class VersionUse : std::uint8_t {
  kAllowed,
  kProbe,     ///< unproven: only within the exposure budget
  kExcluded,  ///< gets no requests
};

/// A decision about a target that instances follow before it is in the store.
struct RolloutVerdict {
  ServiceName service;
  SoftwareVersion target;
  std::uint64_t created = 0;  ///< of the order
  RolloutState state = RolloutState::kRunning;

  bool operator==(const RolloutVerdict&) const = default;
};

/// A result of a run that counts for or against its version.
struct VersionResult {
  BackendId backend;
  std::string route;
  bool is_failure = false;
  std::optional<Millis> time_to_first_event;  ///< streams only
  std::int64_t prefill_tokens = 0;            ///< prompt tokens ahead of the first event
  std::optional<double> event_gap_ms;         ///< typical time between events; streams only
  Millis duration{0};                         ///< from dispatch to the end of the run
};

/// A status that must be written to the store, if the object still has the revision.
struct RolloutStatusWrite {
  ServiceName service;
  Revision expected;
  RolloutStatus status;
};

/// State of a roll-out for operators.
struct RolloutSummary {
  RolloutOrder order;
  RolloutState state = RolloutState::kRunning;
  RolloutPhase phase = RolloutPhase::kProbing;
  Millis elapsed{0};
  double share = 0;  ///< of the requests that the target gets at present
  std::uint64_t target_requests = 0;
  std::uint64_t target_failures = 0;
  std::uint64_t old_requests = 0;
  std::uint64_t old_failures = 0;
  std::uint64_t exposure_limit = 0;
  std::uint64_t total_requests = 0;
  std::string reason;
};

/// Conducts roll-outs: how many requests the target of an order gets, whether it is good, and when
/// the order is done or reverted. Every instance keeps one, to know which versions it may use; only
/// the coordinator's exposes unproven versions and writes statuses. Performs no I/O and reads no
/// clock. Does nothing until SetBounds enables it.
class RolloutController {
 public:
  RolloutController();
  ~RolloutController();
  RolloutController(const RolloutController&) = delete;
  RolloutController& operator=(const RolloutController&) = delete;

  /// Enables roll-outs, or disables them with nullopt; then all versions are allowed.
  void SetBounds(const std::optional<RolloutBounds>& bounds);
  bool IsEnabled() const;

  /// Adds or replaces the order of a service, as read from the store or relayed.
  void SetEntry(const RolloutEntry& entry, TimePoint now);
  /// Withdraws the order of a service whose object was deleted.
  void RemoveEntry(const ServiceName& service, TimePoint now);
  /// All entries up to this revision of the store are known.
  void SetSeenRevision(Revision revision);
  void SetBackend(const Backend& backend, TimePoint now);
  void RemoveBackend(const BackendId& id, TimePoint now);

  /// @param is_coordinator this instance decides for the fleet
  /// @param has_majority more than half of the known instances follow it, itself included
  void SetRole(bool is_coordinator, bool has_majority, TimePoint now);

  /// @return what the version of a backend server permits; checked for grants and again at the send
  VersionUse UseOf(const Backend& backend, TimePoint now) const;

  /// @return true when a request should be sent to the target of its service's order, if one of its
  /// backend servers can take it; TakeExposure must follow
  bool WantsTarget(const ServiceName& service, const AttemptId& id, TimePoint now);
  /// @return true when the request should run where requests are packed, to show faults under load;
  /// false when it should be spread over all backend servers of the target
  bool IsPacked(const AttemptId& id) const;
  /// Takes one request from the exposure budget.
  /// @return false when the budget is used up; the request must not go to the target then
  bool TakeExposure(const ServiceName& service, TimePoint now);
  /// Records that a request was granted to a backend server.
  void RecordGrant(const Backend& backend, const std::string& route, TimePoint now);
  /// Records the result of a run. Cancelled runs and those that were not run are not recorded.
  void RecordResult(const VersionResult& result, TimePoint now);
  /// Sets the number of runs at backend servers of other versions than the target.
  void SetOldRuns(const ServiceName& service, std::size_t count, TimePoint now);

  /// Decides what is due.
  /// @return verdicts that the followers must be told, new since the last call
  std::vector<RolloutVerdict> Decide(TimePoint now);
  /// @return statuses to write now; each stays in progress until OnStatusWritten
  std::vector<RolloutStatusWrite> TakeStatusWrites(TimePoint now);
  /// @param result new revision; kConflict when the object has changed, kStoreUncertain when the
  /// write may have been executed
  void OnStatusWritten(const ServiceName& service, const Result<Revision>& result, TimePoint now);
  /// @return when Decide must be called next, or nullopt
  std::optional<TimePoint> NextDecision() const;

  /// @return all verdicts that are not known to be in the store, for another instance
  std::vector<RolloutVerdict> Verdicts() const;
  /// Follows a verdict of another instance.
  void MergeVerdict(const RolloutVerdict& verdict, TimePoint now);
  /// @return the roll-outs, for operators
  std::vector<RolloutSummary> Summaries(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bluebellpass::gateway
