#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "bluebellpass/error.h"
#include "bluebellpass/gateway/rollout.h"
#include "version-evaluation.h"

namespace bluebellpass::gateway {

/// Slots of the backend servers of a service, by version.
struct VersionSlots {
  int target = 0;
  int old = 0;
};

/// The order of one service: its phase, the exposure budget, and the status to be written. Pure.
///
/// The exposure budget is leased from the store: only requests up to the limit in the stored status
/// are sent to the target, and the limit is raised there before the raise is used. A successor thus
/// knows how many may have been sent, and two coordinators cannot use the same part.
class ServiceRollout {
 public:
  ServiceRollout(const RolloutEntry& entry, const RolloutBounds& bounds, TimePoint now);

  const RolloutOrder& Order() const { return m_order; }
  RolloutState State() const { return m_state; }
  RolloutPhase Phase() const { return m_phase; }
  const std::string& Reason() const { return m_reason; }
  Millis Elapsed(TimePoint now) const;
  std::uint64_t ExposureLimit() const { return m_limit; }
  std::uint64_t TotalRequests() const { return m_total; }
  VersionCounts CountsOf(VersionGroup group) const { return m_evaluation.CountsOf(group); }

  /// Reads a later revision of the object. The order is the same, or only its deadline differs.
  void OnEntry(const RolloutEntry& entry, TimePoint now);
  /// Takes over from another coordinator, or ends to coordinate.
  void SetCoordinating(bool is_coordinating, TimePoint now);
  bool IsCoordinating() const { return m_is_coordinating; }

  /// @param is_packed of requests that run where they are packed; false: of those that are spread
  /// @return fraction of these requests that should go to the target now
  double Share(bool is_packed, TimePoint now) const;
  /// @return true when the target takes over all requests, so that old backend servers get none
  bool IsTargetOnly(TimePoint now) const;
  /// Takes one request from the budget.
  /// @return false when the budget is used up
  bool TakeExposure(bool is_packed, TimePoint now);
  void RecordGrant() { ++m_total; }
  void RecordResult(VersionGroup group, const VersionResult& result, TimePoint now);

  /// Changes the phase or the state if it is due.
  /// @param old_runs runs at old backend servers
  void Decide(const VersionSlots& slots, std::size_t old_runs, TimePoint now);
  /// All backend servers ran the target before the order, so there is nothing to roll out.
  void SetNothingToDo() { m_is_complete = true; }
  /// Reverts the order because of a verdict of another instance, or with the reason.
  void Revert(const std::string& reason);
  /// Follows a verdict of another instance, which has read that the order is done.
  void SetDone() { m_state = RolloutState::kDone; }

  /// @return the status to write now, if any; it stays in progress until OnStatusWritten
  std::optional<RolloutStatus> TakeStatusWrite(TimePoint now);
  /// @return the revision that the object must have for the write
  Revision ExpectedRevision() const { return m_revision; }
  void OnStatusWritten(const Result<Revision>& result, TimePoint now);
  /// @return true when the state in the store is the present one
  bool IsStateStored() const;

 private:
  RolloutStatus DesiredStatus(TimePoint now) const;
  std::uint64_t AllowedExposure() const;
  double SwitchShare(TimePoint now) const;
  void ApplyStored(const RolloutStatus& status, TimePoint now);
  void DecideProbing(const VersionSlots& slots, TimePoint now);

  RolloutOrder m_order;
  RolloutBounds m_bounds;
  RolloutState m_state = RolloutState::kRunning;
  RolloutPhase m_phase = RolloutPhase::kProbing;
  std::string m_reason;
  TimePoint m_first_seen;
  Millis m_elapsed_before{0};  ///< when first seen, from the stored status
  bool m_is_coordinating = false;

  std::uint64_t m_limit = 0;     ///< of requests to the target, in the store
  std::uint64_t m_exposure = 0;  ///< requests that may have been sent to the target; an upper bound
  std::uint64_t m_total = 0;
  std::uint64_t m_packed_since_burst = 0;  ///< packed requests of the present burst
  std::uint64_t m_next_burst_at = 0;       ///< exposure at which the next burst begins
  VersionEvaluation m_evaluation;
  std::optional<TimePoint> m_switch_began;  ///< when the switch was read from the store
  /// All old backend servers may be stopped: none of their runs is left, or time is up.
  bool m_is_complete = false;

  Revision m_revision;
  std::optional<RolloutStatus> m_stored;
  std::optional<RolloutStatus> m_writing;  ///< the write in progress, or of unknown result
  bool m_is_write_open = false;            ///< no result of the write yet
  TimePoint m_next_progress_write{};       ///< not earlier than this
  TimePoint m_retry_at{};                  ///< after a write that failed
};

}  // namespace bluebellpass::gateway
