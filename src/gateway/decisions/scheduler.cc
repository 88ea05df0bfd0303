#include "scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "duration.h"

namespace bluebellpass::gateway {
namespace {

// Weight of a new sample in the exponential moving average over all backend servers.
constexpr double kPrefillRatioSmoothing = 0.05;
constexpr double kMinPrefillRatio = 0.002;
constexpr double kMaxPrefillRatio = 0.02;
// The prefill time of shorter prompts is too short to estimate the speed.
constexpr std::int64_t kMinPromptTokensForPrefillRatio = 2'000;
// A run has stalled when no event has come for this long and for a multiple of the expected time.
constexpr Millis kStallTimeout{1'000};
constexpr double kStallFactor = 3;
constexpr Millis kStallCheckPeriod{200};
// A sound backend server may pause for a second or so.
constexpr Millis kMaxPause{2'000};
// Backend servers that are silent to an instance before its own path to them is suspected.
constexpr std::size_t kLostPathBackends = 3;

}  // namespace

void Scheduler::SetShare(std::size_t index, std::size_t count) {
  m_share_index = index;
  m_share_count = std::max<std::size_t>(count, 1);
}

void Scheduler::SetBackend(const Backend& backend, const Service* service) {
  const auto known = m_backends.find(backend.id);
  if (known != m_backends.end() && (known->second.backend.started_at != backend.started_at ||
                                    known->second.backend.service != backend.service))
    RemoveBackend(backend.id);
  auto [found, is_new] = m_backends.try_emplace(backend.id);
  TrackedBackend& state = found->second;
  state.backend = backend;
  state.is_engine = service != nullptr && service->engine.has_value();
  if (state.is_engine) {
    state.speed.tokens_per_event = std::max(service->engine->tokens_per_event, 1);
    state.kv_cache_tokens = service->engine->kv_cache_tokens;
  }
  m_backends_by_service[backend.service][backend.id] = &state;
  if (!is_new) return;
  for (const auto& [id, run] : m_runs) {
    if (run.backend != backend.id) continue;
    ++state.running;
    state.reserved_tokens += run.request.prompt_tokens + run.request.output_tokens;
    if (!run.is_prefilling) continue;
    ++state.prefilling;
    state.prefill_tokens += run.request.prompt_tokens;
  }
}

void Scheduler::RemoveBackend(const BackendId& id) {
  const auto found = m_backends.find(id);
  if (found == m_backends.end()) return;
  m_backends_by_service[found->second.backend.service].erase(id);
  m_rejection_guards.erase(found->second.backend.Start());
  m_backends.erase(found);
}

void Scheduler::AvoidBackend(const BackendId& id, TimePoint until) {
  const auto found = m_backends.find(id);
  if (found != m_backends.end())
    found->second.avoid_until = std::max(found->second.avoid_until, until);
}

void Scheduler::RecordRejections(const BackendId& id, const RejectionReport& report,
                                 TimePoint now) {
  const auto found = m_backends.find(id);
  if (found == m_backends.end()) return;
  const BackendStart start = found->second.backend.Start();
  if (!report.limit_per_s) {
    m_rejection_guards.erase(start);
    return;
  }
  std::erase_if(m_rejection_guards,
                [&](const auto& entry) { return entry.first.id == id && entry.first != start; });
  RejectionGuard& guard = m_rejection_guards[start];
  guard.SetLimit(*report.limit_per_s);
  if (report.was_rejected) guard.RecordRejection(now);
}

void Scheduler::AddRequest(RequestInfo request) {
  const AttemptId id = request.id;
  const RequestInfo* known = FindWaiting(id) != nullptr ? FindWaiting(id) : FindRunning(id);
  if (known != nullptr && known->home == request.home) return;
  if (known != nullptr) {
    // Its former home has forwarded it, and its report of that is still to come.
    if (!Withdraw(id)) ReleaseRun(id, {}, request.arrived);
  }
  m_requests_by_home[request.home].insert(id);
  WaitingRequest waiting;
  waiting.request = std::move(request);
  Evaluate(waiting);
  m_waiting.emplace(id, std::move(waiting));
}

const RequestInfo* Scheduler::FindWaiting(const AttemptId& id) const {
  const auto found = m_waiting.find(id);
  return found == m_waiting.end() ? nullptr : &found->second.request;
}

bool Scheduler::Withdraw(const AttemptId& id) {
  const auto withdrawn = m_waiting.extract(id);
  if (withdrawn.empty()) return false;
  Forget(withdrawn.mapped().request);
  return true;
}

void Scheduler::Forget(const RequestInfo& request) {
  const auto home = m_requests_by_home.find(request.home);
  if (home == m_requests_by_home.end()) return;
  home->second.erase(request.id);
  if (home->second.empty()) m_requests_by_home.erase(home);
}

void Scheduler::EndPrefill(Run& run) {
  if (!std::exchange(run.is_prefilling, false)) return;
  const auto found = m_backends.find(run.backend);
  if (found == m_backends.end()) return;
  --found->second.prefilling;
  found->second.prefill_tokens -= run.request.prompt_tokens;
}

void Scheduler::RecordFirstEvent(const AttemptId& id, Millis time_to_first_event, TimePoint now) {
  const auto found = m_runs.find(id);
  if (found == m_runs.end()) return;
  EndPrefill(found->second);
  const auto state = m_backends.find(found->second.backend);
  if (state == m_backends.end()) return;
  ForgivePause(found->second, state->second, now);
  state->second.last_response = now;
  m_last_response_by_home[found->second.request.home] = now;
  if (found->second.request.prompt_tokens < kMinPromptTokensForPrefillRatio) return;
  const double decode_ms = state->second.speed.DecodeMs(found->second.prefill_tokens_at_start);
  const double ratio = std::clamp(static_cast<double>(time_to_first_event.count()) / decode_ms,
                                  kMinPrefillRatio, kMaxPrefillRatio);
  m_prefill_ratio += kPrefillRatioSmoothing * (ratio - m_prefill_ratio);
}

BackendStart Scheduler::StartOf(const BackendId& id) const {
  const auto found = m_backends.find(id);
  return {id, found == m_backends.end() ? 0 : found->second.backend.started_at};
}

const RequestInfo* Scheduler::FindRunning(const AttemptId& id) const {
  const auto found = m_runs.find(id);
  return found == m_runs.end() ? nullptr : &found->second.request;
}

const BackendId* Scheduler::BackendOf(const AttemptId& id) const {
  const auto found = m_runs.find(id);
  return found == m_runs.end() ? nullptr : &found->second.backend;
}

const TimePoint* Scheduler::StartTimeOf(const AttemptId& id) const {
  const auto found = m_runs.find(id);
  return found == m_runs.end() ? nullptr : &found->second.started;
}

void Scheduler::UpdateFailureRate(const Run& run, const RunReport& report, TimePoint now) {
  const auto found = m_backends.find(run.backend);
  if (found == m_backends.end()) return;
  FailureRate& failure_rate = found->second.failure_rate;
  if (run.is_stalled && report.outcome != RunOutcome::kCompleted) return;
  switch (report.outcome) {
    case RunOutcome::kNotRun:
      return;
    case RunOutcome::kCompleted:
      found->second.last_response = now;
      m_last_response_by_home[run.request.home] = now;
      return failure_rate.Record(false, now);
    case RunOutcome::kFailed:
    case RunOutcome::kLost:
      return failure_rate.Record(true, now);
    case RunOutcome::kCancelled:
      // A caller that disconnects early says nothing about the backend server.
      if (run.is_prefilling && now - run.started > kStallTimeout && !run.has_lost_path)
        failure_rate.Record(true, now);
      return;
  }
}

void Scheduler::RecordVersionResult(const Run& run, const RunReport& report, TimePoint now) {
  if (m_rollouts == nullptr || !m_rollouts->IsRestricted(run.request.service)) return;
  VersionResult result;
  switch (report.outcome) {
    case RunOutcome::kNotRun:
      return;
    case RunOutcome::kCancelled:
      if (!run.is_stalled) return;
      result.is_failure = true;
      break;
    case RunOutcome::kFailed:
    case RunOutcome::kLost:
      result.is_failure = true;
      break;
    case RunOutcome::kCompleted:
      break;
  }
  result.backend = run.backend;
  result.route = run.request.route;
  result.is_under_load = run.is_under_load;
  result.time_to_first_event = report.time_to_first_event;
  result.prefill_tokens = run.prefill_tokens_at_start;
  result.event_gap_ms = report.event_gap_ms;
  result.duration = std::chrono::duration_cast<Millis>(now - run.started);
  m_rollouts->RecordResult(run.request.service, result, now);
}

void Scheduler::RecordOutcome(const Run& run, RunOutcome outcome, TimePoint now) {
  if (run.balance == nullptr) return;
  run.balance->CountResult(run.size, NameOf(outcome));
  if (outcome == RunOutcome::kCompleted) return;
  run.balance->RecordUnserved(run.size, outcome == RunOutcome::kCancelled, run.started, now);
}

void Scheduler::ForgivePause(Run& run, TrackedBackend& state, TimePoint now) {
  if (!run.is_stalled || !state.stall || now - run.started > kMaxPause) return;
  state.failure_rate = std::exchange(state.stall, std::nullopt)->rate_before;
  for (auto& [id, other] : m_runs)
    if (other.backend == run.backend) other.is_stalled = false;
}

bool Scheduler::MayHaveLostPath(const Run& run) const {
  const InstanceId& home = run.request.home;
  const auto response = m_last_response_by_home.find(home);
  if (response != m_last_response_by_home.end() && response->second >= run.started) return false;
  const auto requests = m_requests_by_home.find(home);
  if (requests == m_requests_by_home.end()) return false;
  std::set<BackendId> silent;
  for (const AttemptId& id : requests->second) {
    const auto other = m_runs.find(id);
    if (other != m_runs.end() && other->second.is_prefilling) silent.insert(other->second.backend);
  }
  return silent.size() >= kLostPathBackends;
}

void Scheduler::DetectStalledRuns(TimePoint now) {
  if (now < m_next_stall_check) return;
  m_next_stall_check = now + kStallCheckPeriod;
  for (auto& [id, run] : m_runs) {
    if (!run.is_prefilling || run.is_stalled || now - run.started <= kStallTimeout) continue;
    const auto found = m_backends.find(run.backend);
    if (found == m_backends.end()) continue;
    const double expected_ms = found->second.speed.PrefillMs(run.prefill_tokens_at_start);
    if (MillisOf(now - run.started) <= expected_ms * kStallFactor) continue;
    run.has_lost_path = MayHaveLostPath(run);
    if (run.has_lost_path) continue;
    run.is_stalled = true;
    std::optional<Stall>& stall = found->second.stall;
    if (!stall || now - stall->counted_at > kMaxPause)
      stall = Stall{now, found->second.failure_rate};
    // Without any response since the run started, all prefilling runs count as failed.
    const int failed_runs =
        found->second.last_response < run.started ? found->second.prefilling : 1;
    for (int i = 0; i < failed_runs; ++i) found->second.failure_rate.Record(true, now);
  }
}

void Scheduler::CountUnseenRejection(const Run& run, const RunReport& report, TimePoint now) {
  const bool is_abandoned = run.is_prefilling && (report.outcome == RunOutcome::kCancelled ||
                                                  report.outcome == RunOutcome::kLost);
  if (!is_abandoned || IsConfirmed(run, now)) return;
  const auto guard = m_rejection_guards.find(StartOf(run.backend));
  if (guard != m_rejection_guards.end()) guard->second.RecordRejection(now);
}

void Scheduler::ReleaseRun(const AttemptId& id, const RunReport& report, TimePoint now) {
  const auto found = m_runs.find(id);
  if (found == m_runs.end()) return;
  CountUnseenRejection(found->second, report, now);
  UpdateFailureRate(found->second, report, now);
  RecordVersionResult(found->second, report, now);
  RecordOutcome(found->second, report.outcome, now);
  EndPrefill(found->second);
  const Run run = std::move(found->second);
  m_runs.erase(found);
  const bool has_run =
      report.outcome == RunOutcome::kCompleted || report.outcome == RunOutcome::kFailed;
  if (has_run && IsPlain(run.request.service))
    m_loads[run.request.service].RecordSlotTime(run.request.route, MillisOf(now - run.started));
  Forget(run.request);
  const auto backend = m_backends.find(run.backend);
  if (backend == m_backends.end()) return;
  TrackedBackend& state = backend->second;
  state.running = std::max(state.running - 1, 0);
  state.reserved_tokens -= run.request.prompt_tokens + run.request.output_tokens;
  if (report.event_gap_ms) state.speed.RecordEventGap(*report.event_gap_ms);
}

void Scheduler::AdoptRun(const RequestInfo& request, const BackendId& backend, bool is_prefilling,
                         TimePoint now) {
  if (m_runs.contains(request.id)) return;
  m_requests_by_home[request.home].insert(request.id);
  const auto found = m_backends.find(backend);
  if (found != m_backends.end()) {
    StartRun(request, found->second, now);
  } else {
    m_runs.emplace(request.id, Run{request, backend, true, 0, now});
  }
  if (!is_prefilling) EndPrefill(m_runs.at(request.id));
}

std::vector<RequestInfo> Scheduler::RemoveWaitingIf(
    const std::function<bool(const RequestInfo& request)>& matches) {
  std::vector<RequestInfo> removed;
  std::erase_if(m_waiting, [&](auto& entry) {
    if (!matches(entry.second.request)) return false;
    Forget(entry.second.request);
    removed.push_back(std::move(entry.second.request));
    return true;
  });
  return removed;
}

std::vector<RequestInfo> Scheduler::RemoveHome(const InstanceId& home) {
  std::vector<RequestInfo> waiting;
  m_last_response_by_home.erase(home);
  const auto requests = m_requests_by_home.extract(home);
  if (requests.empty()) return waiting;
  for (const AttemptId& id : requests.mapped()) {
    ReleaseRun(id, {}, {});
    if (auto found = m_waiting.extract(id)) waiting.push_back(std::move(found.mapped().request));
  }
  return waiting;
}

std::vector<SizeGroupResults> Scheduler::ResultsBySize() const {
  std::vector<SizeGroupResults> results;
  for (const auto& [kind, balance] : m_size_balances) {
    const auto& [service, route, rank] = kind;
    for (const SizeGroup size : {SizeGroup::kSmall, SizeGroup::kLarge, SizeGroup::kLargest})
      results.push_back({service, route, rank, size, balance.Counts(size)});
  }
  return results;
}

std::size_t Scheduler::RunsAtOtherVersions(const ServiceName& service,
                                           const SoftwareVersion& version) const {
  const auto backends = m_backends_by_service.find(service);
  if (backends == m_backends_by_service.end()) return 0;
  std::size_t count = 0;
  for (const auto& [id, state] : backends->second)
    if (state->backend.version != version) count += static_cast<std::size_t>(state->running);
  return count;
}

const SoftwareVersion* Scheduler::VersionOf(const BackendId& id) const {
  const auto found = m_backends.find(id);
  return found == m_backends.end() ? nullptr : &found->second.backend.version;
}

int Scheduler::RunningOn(const BackendId& id) const {
  const auto found = m_backends.find(id);
  return found == m_backends.end() ? 0 : found->second.running;
}

}  // namespace bluebellpass::gateway
