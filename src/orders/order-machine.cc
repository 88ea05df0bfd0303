#include "orders/order-machine.h"

#include <array>

namespace bluebellpass {
namespace {

// Reads of the desired state: while an order is open, and otherwise.
constexpr Millis kOpenReadPeriod{5'000};
constexpr Millis kIdleReadPeriod{15'000};
// A run that has not ended by then is not waited for; the order fails and the server serves on.
constexpr Millis kDrainLimit{60'000};
// A new owner counts no runs until the homes have sent their state, which follows the detection of
// a dead member (up to 5 s).
constexpr Millis kSettleTime{5'000};
// A server held for a load that cannot begin, because the store is down or the rate is used up,
// serves again for a while.
constexpr Millis kHoldLimit{180'000};
constexpr Millis kHoldPause{30'000};
constexpr Millis kRetryPeriod{2'000};
// An engine that cannot be reached for this long fails the order.
constexpr Millis kUnreachableLimit{60'000};
constexpr int kMaxAttempts = 5;
// An engine that ignores the number can carry out a late order of a former issuer.
constexpr std::array<Millis, 3> kReadBackTimes{Millis{0}, Millis{2'000}, Millis{10'000}};

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

OrderStep OrderMachine::Call(OrderStep step) {
  m_is_busy = true;
  return step;
}

void OrderMachine::Enter(Phase phase, TimePoint now, Millis wait) {
  if (phase != m_phase) m_phase_since = now;
  m_phase = phase;
  m_wait_until = now + wait;
}

OrderStep OrderMachine::Next(TimePoint now, std::int64_t running, bool may_hold) {
  if (m_is_busy || now < m_wait_until) return OrderStep::kNone;
  switch (m_phase) {
    case Phase::kCheck:
    case Phase::kVerify:
      return Call(OrderStep::kReadLoaded);
    case Phase::kStale:
      return Call(OrderStep::kReadDesired);
    case Phase::kQueue:
      if (!m_is_holding && !may_hold) return OrderStep::kNone;
      if (!m_is_holding) m_held_since = now;
      m_is_holding = true;
      Enter(Phase::kDrain, now);
      return NextHeld(now, running);
    case Phase::kDrain:
    case Phase::kToken:
    case Phase::kConfirm:
    case Phase::kSend:
      return NextHeld(now, running);
    default:
      return OrderStep::kNone;
  }
}

OrderStep OrderMachine::NextHeld(TimePoint now, std::int64_t running) {
  if (now - m_held_since >= kHoldLimit) {
    m_is_holding = false;
    Enter(Phase::kQueue, now, kHoldPause);
    return OrderStep::kNone;
  }
  // A home that has just sent its state can bring runs that were not counted before.
  if (running > 0 && m_phase != Phase::kDrain) Enter(Phase::kDrain, now);
  if (m_phase == Phase::kDrain) {
    if (running > 0 && now - m_phase_since >= kDrainLimit) Fail("runs did not end in time");
    if (running > 0 || now - m_owned_since < kSettleTime) return OrderStep::kNone;
    Enter(Phase::kToken, now);
  }
  if (m_phase == Phase::kToken) return Call(OrderStep::kTakeToken);
  if (m_phase == Phase::kConfirm) return Call(OrderStep::kReadDesired);
  ++m_sent;
  return Call(OrderStep::kSendOrder);
}

void OrderMachine::Adopt(const VersionedDesired& desired, TimePoint now) {
  m_desired = desired;
  m_attempts = 0;
  m_reads_back = 0;
  m_is_holding = false;
  m_reason.clear();
  Enter(Phase::kCheck, now);
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
    m_is_holding = false;
    m_desired = {};
    return Enter(Phase::kIdle, now);
  }
  if (desired->version != m_desired.version) return Adopt(*desired, now);
  if (m_phase == Phase::kConfirm) return Enter(Phase::kSend, now);
  if (m_phase == Phase::kStale) Fail("the engine has seen a higher number than the store has");
}

bool OrderMachine::IsMatch(const LoadedModels& loaded) const {
  const auto found = loaded.models.find(m_desired.desired.model);
  if (found == loaded.models.end()) return false;
  const std::string& version = m_desired.desired.version;
  if (!version.empty() && found->second != version) return false;
  // 0: no order since the engine's start. Another number: another order was carried out last.
  return loaded.fencing == m_desired.version.Value() || (loaded.fencing == 0 && m_sent == 0);
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
  m_is_holding = false;
  if (m_reads_back == 0) m_verify_from = now;
  ++m_reads_back;
  const bool is_last = m_reads_back >= kReadBackTimes.size();
  if (m_fencing == FencingSupport::kChecks || is_last) return Enter(Phase::kDone, now);
  Enter(Phase::kVerify, now);
  m_wait_until = m_verify_from + kReadBackTimes.at(m_reads_back);
}

void OrderMachine::OnMismatch(const LoadedModels& loaded, TimePoint now) {
  m_reads_back = 0;
  if (loaded.fencing > m_desired.version.Value()) {
    // A newer order exists, or this is one of a store that was replaced: the object is read first.
    return Enter(Phase::kStale, now);
  }
  if (m_phase == Phase::kCheck) return Enter(Phase::kQueue, now);
  Retry(Phase::kQueue, now, Millis{0}, "the engine does not keep what was ordered");
}

void OrderMachine::OnToken(const std::optional<Millis>& wait, TimePoint now) {
  m_is_busy = false;
  if (!wait.has_value()) return Enter(Phase::kConfirm, now);
  m_wait_until = now + *wait;
}

void OrderMachine::OnOrder(const Result<int>& result, TimePoint now) {
  m_is_busy = false;
  m_reads_back = 0;
  if (!IsOk(result)) {
    // The order may have been carried out: what is loaded decides.
    return Retry(Phase::kCheck, now, kRetryPeriod, "the engine does not answer");
  }
  const int status = std::get<int>(result);
  if (status == kStatusOk) return Enter(Phase::kVerify, now);
  if (status == kStatusConflict) return Enter(Phase::kStale, now);
  Fail("the engine answered with status " + std::to_string(status));
}

void OrderMachine::Retry(Phase phase, TimePoint now, Millis wait, const std::string& reason) {
  if (++m_attempts >= kMaxAttempts) return Fail(reason);
  Enter(phase, now, wait);
}

void OrderMachine::Fail(const std::string& reason) {
  m_is_holding = false;
  m_reason = reason;
  m_phase = Phase::kFailed;
}

}  // namespace bluebellpass
