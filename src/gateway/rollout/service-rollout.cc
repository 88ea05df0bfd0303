#include "service-rollout.h"

#include <algorithm>
#include <cmath>

namespace bluebellpass::gateway {
namespace {

// Part of the exposure bounds that is used while the target is probed. The rest covers requests
// that are granted while the target takes over, should it turn bad only then.
constexpr double kProbedBudgetFraction = 0.7;
// Share of the requests that probe the target, relative to the budget; the budget is the bound.
constexpr double kProbeShareFactor = 1.2;
// Share of the first requests, which the slack allows. The old version serves the others, so that
// both are compared.
constexpr double kInitialShare = 0.5;
// Requests that are packed on few backend servers come in bursts of this size, which fill the slots
// of one or two; one by one they would not show a fault under load.
constexpr std::uint64_t kBurstSize = 12;
// From this part of the deadline on, a target without a fault takes over. A version may turn bad
// only after a while, and old backend servers need the rest of the time to complete their runs.
constexpr double kSwitchFraction = 0.6;
// From here on, few results or few backend servers of the target suffice.
constexpr double kLatestSwitchFraction = 0.8;
// Few results do not keep the target from taking over if its failure rate exceeds that of the old
// version by less than this.
constexpr double kMaxExcessOfFewResults = 0.15;
// The target takes over when it has this part of the slots of the old version.
constexpr double kRequiredSlotsFraction = 0.9;
// Share of the target when it begins to take over. It doubles in this part of the deadline, within
// bounds: results must arrive before the next doubling, and the takeover must end.
constexpr double kFirstSwitchShare = 0.1;
constexpr double kDoublingFraction = 1.0 / 24;
constexpr Millis kMinDoublingTime{200};
constexpr Millis kMaxDoublingTime{2'000};
// How long the target has all requests before the order may be done, so that instances that decide
// alone have read of the switch and completed short runs.
constexpr Millis kMinTargetOnlyTime{800};
// The order is done this long before the deadline even if runs at old backend servers are left. It
// covers the write to the store and one retry.
constexpr Millis kDoneMargin{1'500};
// Pause between two writes of the progress, and before a failed write is retried. A change of the
// phase or state is written at once.
constexpr Millis kProgressPeriod{500};
constexpr Millis kWriteRetryDelay{250};
// The progress is written at least this often, so that a successor knows how long an order runs.
constexpr Millis kMaxProgressAge{2'000};
// A raise of the limit by less than this is not worth a write, unless the budget is used up.
constexpr std::uint64_t kMinRaise = 10;
// Results are compared within slices of this part of the deadline.
constexpr int kSlices = 16;
constexpr Millis kMinSlice{500};

Millis SliceOf(Millis deadline) { return std::max(kMinSlice, deadline / kSlices); }

Millis Fraction(Millis span, double fraction) {
  return Millis(static_cast<Millis::rep>(static_cast<double>(span.count()) * fraction));
}

}  // namespace

ServiceRollout::ServiceRollout(const RolloutEntry& entry, const RolloutBounds& bounds,
                               TimePoint now)
    : m_order(entry.order),
      m_bounds(bounds),
      m_first_seen(now),
      m_evaluation(SliceOf(entry.order.deadline)),
      m_revision(entry.revision) {
  if (!entry.status) return;
  m_elapsed_before = entry.status->elapsed;
  ApplyStored(*entry.status, now);
}

Millis ServiceRollout::Elapsed(TimePoint now) const {
  return m_elapsed_before + std::chrono::duration_cast<Millis>(now - m_first_seen);
}

void ServiceRollout::ApplyStored(const RolloutStatus& status, TimePoint now) {
  // What another coordinator has leased counts as sent.
  if (status.exposure_limit > m_limit && status != m_writing)
    m_exposure += status.exposure_limit - m_limit;
  m_limit = std::max(m_limit, status.exposure_limit);
  m_total = std::max(m_total, status.total_requests);
  if (status != m_writing) m_elapsed_before += std::max(status.elapsed - Elapsed(now), Millis{0});
  m_stored = status;
  if (status.state != RolloutState::kRunning && m_state != RolloutState::kReverted) {
    m_state = status.state;
    m_reason = status.reason;
  }
  if (status.phase == RolloutPhase::kSwitching && !m_switch_began) {
    m_phase = RolloutPhase::kSwitching;
    m_switch_began = now;
  }
}

void ServiceRollout::OnEntry(const RolloutEntry& entry, TimePoint now) {
  if (entry.revision < m_revision) return;
  m_order.deadline = entry.order.deadline;
  const bool is_newer = entry.revision > m_revision;
  m_revision = entry.revision;
  if (!entry.status) {
    // The store has come back from a copy without it.
    if (!is_newer) return;
    m_stored.reset();
    m_writing.reset();
    return;
  }
  ApplyStored(*entry.status, now);
  // The object has changed, so a write with the earlier revision either is this change or fails.
  if (is_newer) m_writing.reset();
}

void ServiceRollout::SetCoordinating(bool is_coordinating, TimePoint now) {
  if (is_coordinating == m_is_coordinating) return;
  m_is_coordinating = is_coordinating;
  if (!is_coordinating) return;
  // Other coordinators may have used all that was leased.
  m_exposure = std::max(m_exposure, m_limit);
  m_next_progress_write = now;
  m_retry_at = now;
}

double ServiceRollout::SwitchShare(TimePoint now) const {
  if (m_state == RolloutState::kDone) return 1;
  // The switch begins when it is in the store, where a successor and lone instances see it.
  if (m_state == RolloutState::kReverted || !m_switch_began) return 0;
  // An instance that decides alone follows the switch that it has read of.
  if (!m_is_coordinating) return 1;
  const Millis doubling_time =
      std::clamp(Fraction(m_order.deadline, kDoublingFraction), kMinDoublingTime, kMaxDoublingTime);
  const auto doublings = std::chrono::duration<double>(now - *m_switch_began) /
                         std::chrono::duration<double>(doubling_time);
  return std::min(1.0, kFirstSwitchShare * std::exp2(doublings));
}

double ServiceRollout::Share(bool is_packed, TimePoint now) const {
  if (m_state != RolloutState::kRunning || m_phase != RolloutPhase::kProbing)
    return SwitchShare(now);
  if (!m_is_coordinating || m_exposure >= m_limit) return 0;
  if (is_packed) return m_exposure >= m_next_burst_at ? 1 : 0;
  const double slack = kProbedBudgetFraction * m_bounds.exposure_slack;
  if (static_cast<double>(m_exposure) < slack) return kInitialShare;
  return kProbedBudgetFraction * m_bounds.exposure_ratio * kProbeShareFactor;
}

bool ServiceRollout::IsTargetOnly(TimePoint now) const { return SwitchShare(now) >= 1; }

bool ServiceRollout::TakeExposure(bool is_packed, TimePoint now) {
  if (m_state != RolloutState::kRunning) return m_state == RolloutState::kDone;
  if (Share(is_packed, now) <= 0) return false;
  ++m_exposure;
  if (m_phase == RolloutPhase::kProbing && is_packed && ++m_packed_since_burst >= kBurstSize) {
    m_packed_since_burst = 0;
    // As many requests are spread before the next burst.
    m_next_burst_at = m_exposure + kBurstSize;
  }
  return true;
}

void ServiceRollout::RecordResult(VersionGroup group, const VersionResult& result, TimePoint now) {
  if (m_state == RolloutState::kRunning) m_evaluation.Record(group, result, now);
}

void ServiceRollout::Revert(const std::string& reason) {
  if (m_state == RolloutState::kDone) return;
  m_state = RolloutState::kReverted;
  m_reason = reason;
}

void ServiceRollout::DecideProbing(const VersionSlots& slots, TimePoint now) {
  const Millis elapsed = Elapsed(now);
  if (elapsed < Fraction(m_order.deadline, kSwitchFraction)) return;
  const bool has_slots = slots.target > 0 && slots.target >= kRequiredSlotsFraction * slots.old;
  const auto suspicion = m_evaluation.FindFault(Evidence::kSuspicion);
  if (has_slots && !suspicion && m_evaluation.HasEnoughResults()) {
    m_phase = RolloutPhase::kSwitching;
    return;
  }
  if (elapsed < Fraction(m_order.deadline, kLatestSwitchFraction)) return;
  const VersionCounts target = m_evaluation.CountsOf(VersionGroup::kTarget);
  const VersionCounts old = m_evaluation.CountsOf(VersionGroup::kOld);
  if (slots.target == 0) return Revert("no backend server runs the target");
  if (target.results == 0) return Revert("the target has had no results");
  if (suspicion) return Revert("suspected: " + *suspicion);
  // Too few results for a suspicion.
  if (target.failures > 1 && target.FailureRate() > old.FailureRate() + kMaxExcessOfFewResults)
    return Revert("the target has had failures among few results");
  if (elapsed >= m_order.deadline) return Revert("the deadline has passed");
  m_phase = RolloutPhase::kSwitching;
}

void ServiceRollout::Decide(const VersionSlots& slots, std::size_t old_runs, TimePoint now) {
  if (m_state != RolloutState::kRunning || !m_is_coordinating) return;
  if (m_order.deadline <= Millis{0}) return Revert("the deadline has passed");
  if (const auto fault = m_evaluation.FindFault(Evidence::kStrong)) return Revert(*fault);
  if (m_phase == RolloutPhase::kProbing) return DecideProbing(slots, now);
  const bool is_time_up = Elapsed(now) >= m_order.deadline - kDoneMargin;
  const bool has_settled = SwitchShare(now - kMinTargetOnlyTime) >= 1;
  if ((has_settled && old_runs == 0) || (is_time_up && SwitchShare(now) >= 1)) m_is_complete = true;
}

std::uint64_t ServiceRollout::AllowedExposure() const {
  const double allowed =
      kProbedBudgetFraction *
      (m_bounds.exposure_ratio * static_cast<double>(m_total) + m_bounds.exposure_slack);
  return static_cast<std::uint64_t>(std::max(allowed, 0.0));
}

RolloutStatus ServiceRollout::DesiredStatus(TimePoint now) const {
  RolloutStatus status;
  status.target = m_order.target;
  status.state = m_state;
  if (m_state == RolloutState::kRunning && m_is_complete) status.state = RolloutState::kDone;
  status.phase = m_phase;
  status.elapsed = Elapsed(now);
  status.exposure_limit = std::max(m_limit, m_exposure);
  if (m_state == RolloutState::kRunning && m_phase == RolloutPhase::kProbing)
    status.exposure_limit = std::max(status.exposure_limit, AllowedExposure());
  status.total_requests = m_total;
  status.reason = m_reason;
  return status;
}

bool ServiceRollout::IsStateStored() const {
  return m_stored && m_stored->state == m_state && m_stored->target == m_order.target;
}

std::optional<RolloutStatus> ServiceRollout::TakeStatusWrite(TimePoint now) {
  if (!m_is_coordinating || m_is_write_open || now < m_retry_at) return std::nullopt;
  RolloutStatus desired = DesiredStatus(now);
  if (m_stored && m_stored->state != RolloutState::kRunning && m_stored->state == desired.state)
    return std::nullopt;
  const bool is_changed = !m_stored || m_stored->target != desired.target ||
                          m_stored->state != desired.state || m_stored->phase != desired.phase;
  const std::uint64_t raise = desired.exposure_limit - m_limit;
  const bool is_outdated = !m_stored || desired.elapsed - m_stored->elapsed >= kMaxProgressAge;
  if (!is_changed && now < m_next_progress_write) return std::nullopt;
  if (!is_changed && !is_outdated && raise < kMinRaise && !(raise > 0 && m_exposure >= m_limit))
    return std::nullopt;
  // A write whose result is unknown is repeated as it was, so that its effect can be told apart.
  if (m_writing && !is_changed) desired = *m_writing;
  m_writing = desired;
  m_is_write_open = true;
  return desired;
}

void ServiceRollout::OnStatusWritten(const Result<Revision>& result, TimePoint now) {
  m_is_write_open = false;
  if (!IsOk(result)) {
    // After a conflict the object is read again. A lost response is resolved by the next read, or
    // by the conflict of the repeated write.
    m_retry_at = now + kWriteRetryDelay;
    return;
  }
  m_next_progress_write = now + kProgressPeriod;
  const Revision revision = std::get<Revision>(result);
  if (revision < m_revision || !m_writing) return;
  m_revision = revision;
  const RolloutStatus written = *m_writing;
  ApplyStored(written, now);
  m_writing.reset();
}

}  // namespace bluebellpass::gateway
