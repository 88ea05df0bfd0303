#include "orders/order-machine.h"

#include <array>

namespace bluebellpass {
namespace {

// Periods of the reads of the desired state, with and without an open order.
constexpr Millis kOpenReadPeriod{5'000};
constexpr Millis kIdleReadPeriod{15'000};
// If a run has not ended within this time, the order fails and the server gets grants again.
constexpr Millis kDrainLimit{60'000};
// Runs are unknown to a new owner until the homes have sent their state, which they do once they
// have detected that the former owner is dead (up to 5 s).
constexpr Millis kSettleTime{5'000};
// If the load cannot start, because the store is down or the rate limit is exhausted, the server
// gets grants again for a while.
constexpr Millis kMaxPause{180'000};
constexpr Millis kPauseRetryDelay{30'000};
constexpr Millis kRetryPeriod{2'000};
// An order fails if its engine cannot be reached for this long.
constexpr Millis kUnreachableLimit{60'000};
constexpr int kMaxAttempts = 5;
// Times of the reads that verify an order. An engine that ignores fencing tokens can still execute
// a delayed order of a former owner.
constexpr std::array<Millis, 3> kVerifyTimes{Millis{0}, Millis{2'000}, Millis{10'000}};

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;

}  // namespace

std::string_view OrderStateName(OrderState state) {
  switch (state) {
    case OrderState::kNone:
      return "";
    case OrderState::kOpen:
      return "open";
    case OrderState::kDone:
      return "done";
    case OrderState::kFailed:
      return "failed";
  }
  return "";
}

OrderState OrderMachine::State() const {
  switch (m_phase) {
    case Phase::kUnread:
    case Phase::kIdle:
      return OrderState::kNone;
    case Phase::kDone:
      return OrderState::kDone;
    case Phase::kFailed:
      return OrderState::kFailed;
    default:
      return OrderState::kOpen;
  }
}

bool OrderMachine::IsReadDue(TimePoint now) const {
  if (m_is_busy) return false;
  const bool is_open = State() == OrderState::kOpen;
  return m_is_read_due || now - m_read_at >= (is_open ? kOpenReadPeriod : kIdleReadPeriod);
}

OrderStep OrderMachine::BeginCall(OrderStep step) {
  m_is_busy = true;
  return step;
}

void OrderMachine::EnterPhase(Phase phase, TimePoint now, Millis wait) {
  if (phase != m_phase) m_phase_since = now;
  m_phase = phase;
  m_wait_until = now + wait;
}

OrderStep OrderMachine::Next(TimePoint now, std::int64_t running, bool may_pause) {
  if (m_is_busy || now < m_wait_until) return OrderStep::kNone;
  switch (m_phase) {
    case Phase::kCheck:
    case Phase::kVerify:
      return BeginCall(OrderStep::kReadLoaded);
    case Phase::kStale:
      return BeginCall(OrderStep::kReadDesired);
    case Phase::kQueue:
      if (!m_is_pausing_grants && !may_pause) return OrderStep::kNone;
      if (!m_is_pausing_grants) m_paused_since = now;
      m_is_pausing_grants = true;
      EnterPhase(Phase::kDrain, now);
      return NextWhilePaused(now, running);
    case Phase::kDrain:
    case Phase::kPermit:
    case Phase::kConfirm:
    case Phase::kSend:
      return NextWhilePaused(now, running);
    default:
      return OrderStep::kNone;
  }
}

OrderStep OrderMachine::NextWhilePaused(TimePoint now, std::int64_t running) {
  if (now - m_paused_since >= kMaxPause) {
    m_is_pausing_grants = false;
    EnterPhase(Phase::kQueue, now, kPauseRetryDelay);
    return OrderStep::kNone;
  }
  // The state of a home may arrive late and contain runs that were not counted before.
  if (running > 0 && m_phase != Phase::kDrain) EnterPhase(Phase::kDrain, now);
  if (m_phase == Phase::kDrain) {
    if (running > 0 && now - m_phase_since >= kDrainLimit)
      Fail("the runs on the server did not end in time");
    if (running > 0 || now - m_owned_since < kSettleTime) return OrderStep::kNone;
    EnterPhase(Phase::kPermit, now);
  }
  if (m_phase == Phase::kPermit) return BeginCall(OrderStep::kAcquirePermit);
  if (m_phase == Phase::kConfirm) return BeginCall(OrderStep::kReadDesired);
  ++m_sent_count;
  return BeginCall(OrderStep::kSendOrder);
}

void OrderMachine::StartOrder(const VersionedDesired& desired, TimePoint now) {
  m_desired = desired;
  m_attempts = 0;
  m_matching_reads = 0;
  m_is_pausing_grants = false;
  m_reason.clear();
  EnterPhase(Phase::kCheck, now);
  m_phase_since = now;
}

void OrderMachine::OnDesired(const Result<std::optional<VersionedDesired>>& result, TimePoint now) {
  m_is_busy = false;
  m_read_at = now;
  if (!IsOk(result)) {
    if (m_phase == Phase::kConfirm || m_phase == Phase::kStale) m_wait_until = now + kRetryPeriod;
    return;
  }
  m_is_read_due = false;
  const auto& desired = std::get<0>(result);
  if (!desired.has_value()) {
    m_is_pausing_grants = false;
    m_desired = {};
    return EnterPhase(Phase::kIdle, now);
  }
  if (desired->version != m_desired.version) return StartOrder(*desired, now);
  if (m_phase == Phase::kConfirm) return EnterPhase(Phase::kSend, now);
  if (m_phase == Phase::kStale) Fail("the engine has a higher fencing token than the store");
}

bool OrderMachine::IsMatch(const LoadedModels& loaded) const {
  const auto found = loaded.models.find(m_desired.desired.model);
  if (found == loaded.models.end()) return false;
  const std::string& version = m_desired.desired.version;
  if (!version.empty() && found->second != version) return false;
  // 0 means that the engine has executed no order since its start. Any other token means that the
  // last executed order was a different one.
  return loaded.fencing_token == m_desired.version.Value() ||
         (loaded.fencing_token == 0 && m_sent_count == 0);
}

void OrderMachine::OnLoaded(const Result<LoadedModels>& result, TimePoint now) {
  m_is_busy = false;
  if (!IsOk(result)) {
    if (now - m_phase_since >= kUnreachableLimit) return Fail("the engine cannot be reached");
    m_wait_until = now + kRetryPeriod;
    return;
  }
  const LoadedModels& loaded = std::get<LoadedModels>(result);
  if (IsMatch(loaded)) return OnMatch(now);
  OnMismatch(loaded, now);
}

void OrderMachine::OnMatch(TimePoint now) {
  m_is_pausing_grants = false;
  if (m_matching_reads == 0) m_verify_since = now;
  ++m_matching_reads;
  const bool is_last = m_matching_reads >= kVerifyTimes.size();
  if (m_fencing == FencingSupport::kChecks || is_last) return EnterPhase(Phase::kDone, now);
  EnterPhase(Phase::kVerify, now);
  m_wait_until = m_verify_since + kVerifyTimes.at(m_matching_reads);
}

void OrderMachine::OnMismatch(const LoadedModels& loaded, TimePoint now) {
  m_matching_reads = 0;
  if (loaded.fencing_token > m_desired.version.Value()) {
    // There is a newer order, or the store was replaced and its versions restarted. The desired
    // state is read to find out.
    return EnterPhase(Phase::kStale, now);
  }
  if (m_phase == Phase::kCheck) return EnterPhase(Phase::kQueue, now);
  RetryPhase(Phase::kQueue, now, Millis{0}, "the engine does not keep the ordered model");
}

void OrderMachine::OnPermit(const std::optional<Millis>& wait, TimePoint now) {
  m_is_busy = false;
  if (!wait.has_value()) return EnterPhase(Phase::kConfirm, now);
  m_wait_until = now + *wait;
}

void OrderMachine::OnOrder(const Result<int>& result, TimePoint now) {
  m_is_busy = false;
  m_matching_reads = 0;
  if (!IsOk(result)) {
    // The order may have been executed, so the loaded models are checked.
    return RetryPhase(Phase::kCheck, now, kRetryPeriod, "the engine does not respond");
  }
  const int status = std::get<int>(result);
  if (status == kStatusOk) return EnterPhase(Phase::kVerify, now);
  if (status == kStatusConflict) return EnterPhase(Phase::kStale, now);
  Fail("the engine responded with status " + std::to_string(status));
}

void OrderMachine::RetryPhase(Phase phase, TimePoint now, Millis wait, const std::string& reason) {
  if (++m_attempts >= kMaxAttempts) return Fail(reason);
  EnterPhase(phase, now, wait);
}

void OrderMachine::Fail(const std::string& reason) {
  m_is_pausing_grants = false;
  m_reason = reason;
  m_phase = Phase::kFailed;
}

}  // namespace bluebellpass
