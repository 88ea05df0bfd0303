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
#include "service-rollout.h"

namespace bluebellpass::gateway {

/// What the version of a backend server permits at present.
enum class VersionUse : std::uint8_t {
  kAllowed,
  kProbe,        ///< unproven: only within the exposure budget
  kStreamsOnly,  ///< replaced: gets no requests but streams that it began
  kExcluded,     ///< gets no requests
};

/// A decision about a target that instances follow before it is in the store.
struct RolloutVerdict {
  ServiceName service;
  SoftwareVersion target;
  std::uint64_t created = 0;  ///< of the order
  RolloutState state = RolloutState::kRunning;

  bool operator==(const RolloutVerdict&) const = default;
};

/// A status that must be written to the store, if the object still has the revision.
struct RolloutStatusWrite {
  ServiceName service;
  Revision expected;
  RolloutStatus status;
};

/// State of a roll-out for operators and the log.
struct RolloutSummary {
  RolloutOrder order;
  RolloutState state = RolloutState::kRunning;
  RolloutPhase phase = RolloutPhase::kProbing;
  Millis elapsed{0};
  double share = 0;  ///< of the requests that the target gets at present
  VersionCounts target;
  VersionCounts old;
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

  /// @return true if the use of a version of the service may differ from kAllowed
  bool IsRestricted(const ServiceName& service) const;
  /// @return true when a request should be sent to the target of its service's order, if one of its
  /// backend servers can take it; TakeExposure must follow
  bool WantsTarget(const ServiceName& service, const AttemptId& id, TimePoint now) const;
  /// @return true when the exposure budget has room for a stream that the target began
  bool MayProbe(const ServiceName& service, const AttemptId& id, TimePoint now) const;
  /// @return true when the request should run where requests are packed, to show faults under load;
  /// false when it should be spread over all backend servers of the target
  static bool IsPacked(const AttemptId& id);
  /// Takes one request from the exposure budget.
  /// @return false when the budget is used up; the request must not go to the target then
  bool TakeExposure(const ServiceName& service, const AttemptId& id, TimePoint now);
  /// Records that a request was granted to a backend server for the first time.
  void RecordGrant(const Backend& backend);
  /// Records the result of a run. Cancelled runs and those that were not run are not recorded.
  void RecordResult(const ServiceName& service, const VersionResult& result, TimePoint now);
  /// Sets the number of runs at backend servers of other versions than the target.
  void SetOldRuns(const ServiceName& service, std::size_t count);
  std::vector<RolloutOrder> RunningOrders() const;
  /// @return true while an order is running, or its final state is not known to be in the store
  bool HasUnfinishedOrders() const;

  /// Decides what is due. Cheap if called more often than that.
  void Decide(TimePoint now);
  /// @return verdicts that the followers must be told, new since the last call
  std::vector<RolloutVerdict> TakeVerdicts();
  /// @return roll-outs that began, changed their phase or ended since the last call
  std::vector<RolloutSummary> TakeChanges();
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
  /// Versions and order of one service.
  struct ServiceState;

  ServiceState& StateOf(const ServiceName& service);
  const ServiceState* FindState(const ServiceName& service) const;
  bool IsKnownEntry(const Backend& backend) const;
  void UpdateKnownVersions(ServiceState& state);
  /// Records a change of the order's phase or state.
  void NoteChange(ServiceState& state, TimePoint now);
  RolloutSummary SummaryOf(const ServiceState& state, TimePoint now) const;
  VersionUse UseByOrder(const ServiceState& state, const Backend& backend, TimePoint now) const;

  std::optional<RolloutBounds> m_bounds;
  std::map<ServiceName, std::unique_ptr<ServiceState>> m_services;
  std::optional<Revision> m_seen_revision;
  bool m_is_coordinator = false;
  bool m_has_majority = false;
  TimePoint m_next_decision{};
  std::vector<RolloutVerdict> m_new_verdicts;
  std::vector<RolloutVerdict> m_early_verdicts;  ///< about orders that are not known here yet
  std::vector<RolloutSummary> m_changes;
};

}  // namespace bluebellpass::gateway
