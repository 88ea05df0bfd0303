#include "scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace bluebellpass::gateway {
namespace {

// Weight of a new sample in the exponential moving average over all backend servers.
constexpr double kPrefillRatioSmoothing = 0.05;
constexpr double kMinPrefillRatio = 0.002;
constexpr double kMaxPrefillRatio = 0.02;
// The prefill time of shorter prompts is too short to estimate the speed.
constexpr std::int64_t kMinPromptTokensForPrefillRatio = 2'000;
// Value of a request relative to one of the next more urgent rank, for the same slot time.
constexpr double kRankValueFactor = 1.0 / 5;
// Part of a request's value that does not grow with its size.
constexpr double kSizeIndependentValue = 0.3;
constexpr double kMaxRelativeSize = 4;
// Size of an output token in prompt tokens, as callers count the size.
constexpr std::int64_t kPromptTokensPerOutputToken = 10;
// Value of a late response relative to one on time.
constexpr double kLateValueFactor = 0.4;
// On busy engines, steps that prefill prompts slow the decoding of running streams down by this
// factor.
constexpr double kPrefillInterferenceFactor = 1.4;
// Fraction of the bound on event gaps that a prefill may use up.
constexpr double kEventGapFraction = 0.9;
// Fraction of the remaining time in which the whole response is expected. Output estimates are
// right at the median and often several times too low.
constexpr double kDeadlineFraction = 0.4;
// A request that is expected to exceed kDeadlineFraction may still run on a backend server that
// takes at most this many times as long as the fastest.
constexpr double kNearlyFastestFactor = 1.3;
// Fraction of the caller's patience within which the first event must be expected.
constexpr double kPatienceFraction = 0.85;
// Above this utilisation, fast backend servers are kept for requests that need them.
constexpr double kScarceUtilisation = 0.75;
// More urgent requests that arrive later make the wait longer than predicted.
constexpr double kWaitSafetyFactor = 1.3;
// A run has stalled when no event has come for this long and for a multiple of the expected time.
constexpr Millis kStallTimeout{1'000};
constexpr double kStallFactor = 3;
constexpr Millis kStallCheckPeriod{200};
// Others are preferred to a backend server whose failure rate exceeds the mean by more than this.
constexpr double kFailureMargin = 0.2;
// With an excess above the first margin it gets one request at a time, above the second only
// trials. About four consecutive failures reach the second.
constexpr double kOneAtATimeMargin = 0.35;
constexpr double kTrialsOnlyMargin = 0.5;
constexpr Millis kTrialPeriod{500};
// Added to the expected time per unit of excess failure rate; above any expected time.
constexpr double kFailurePenaltyMs = 1e5;
// Time for the grant to reach the home and for the request to reach the backend server.
constexpr Millis kDispatchLatency{5};
constexpr Millis kMinRetryAfter{250};
constexpr Millis kMaxRetryAfter{5'000};
constexpr Millis kNoBackendRetryAfter{500};
constexpr Millis kPrefillRecheckPeriod{20};
// Number of different retry times for callers that are refused at the same time.
constexpr std::uint64_t kRetrySpreadSteps = 64;

double MillisOf(TimePoint::duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

Millis ToMillis(double ms) { return Millis(static_cast<std::int64_t>(std::ceil(ms))); }

/// Adds jitter, so that callers that are refused at the same time do not retry at the same time.
Millis SpreadRetryAfter(Millis wait, const AttemptId& id) {
  const auto step = static_cast<Millis::rep>(StableHash(id.Text()) % kRetrySpreadSteps);
  return wait + wait * step / static_cast<Millis::rep>(kRetrySpreadSteps);
}

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
  m_backends.erase(found);
}

void Scheduler::AvoidBackend(const BackendId& id, TimePoint until) {
  const auto found = m_backends.find(id);
  if (found != m_backends.end())
    found->second.avoid_until = std::max(found->second.avoid_until, until);
}

void Scheduler::AddRequest(RequestInfo request) {
  if (m_waiting.contains(request.id) || m_runs.contains(request.id)) return;
  const AttemptId id = request.id;
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
  state->second.last_response = now;
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
      return failure_rate.Record(false, now);
    case RunOutcome::kFailed:
    case RunOutcome::kLost:
      return failure_rate.Record(true, now);
    case RunOutcome::kCancelled:
      // A caller that disconnects early says nothing about the backend server.
      if (run.is_prefilling && now - run.started > kStallTimeout) failure_rate.Record(true, now);
      return;
  }
}

void Scheduler::RecordOutcome(const Run& run, RunOutcome outcome, TimePoint now) {
  if (run.balance == nullptr) return;
  run.balance->CountResult(run.size, NameOf(outcome));
  if (outcome == RunOutcome::kCompleted) return;
  run.balance->RecordUnserved(run.size, outcome == RunOutcome::kCancelled, run.started, now);
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
    run.is_stalled = true;
    // Without any response since the run started, all prefilling runs count as failed.
    const int failed_runs =
        found->second.last_response < run.started ? found->second.prefilling : 1;
    for (int i = 0; i < failed_runs; ++i) found->second.failure_rate.Record(true, now);
  }
}

void Scheduler::ReleaseRun(const AttemptId& id, const RunReport& report, TimePoint now) {
  const auto found = m_runs.find(id);
  if (found == m_runs.end()) return;
  UpdateFailureRate(found->second, report, now);
  RecordOutcome(found->second, report.outcome, now);
  EndPrefill(found->second);
  const Run run = std::move(found->second);
  m_runs.erase(found);
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

int Scheduler::RunningOn(const BackendId& id) const {
  const auto found = m_backends.find(id);
  return found == m_backends.end() ? 0 : found->second.running;
}

int Scheduler::GrantableSlots(const TrackedBackend& state) const {
  const auto slots = static_cast<std::size_t>(std::max(state.backend.slots, 1));
  if (m_share_count == 1) return static_cast<int>(slots);
  // The remainder goes to different instances for different backend servers, so that no instance
  // has more than its share.
  const std::size_t position =
      (m_share_index + StableHash(state.backend.id.Text())) % m_share_count;
  return static_cast<int>(slots / m_share_count + (position < slots % m_share_count ? 1 : 0));
}

Scheduler::Capacity Scheduler::CapacityOf(const ServiceName& service, TimePoint now,
                                          Decisions& decisions) {
  Capacity capacity;
  capacity.fastest.decode_ms_per_token = std::numeric_limits<double>::max();
  const auto ids = m_backends_by_service.find(service);
  if (ids == m_backends_by_service.end()) return capacity;
  std::vector<std::pair<TrackedBackend*, double>> rates;
  rates.reserve(ids->second.size());
  int available = 0;
  for (const auto& [id, state] : ids->second) {
    rates.emplace_back(state, state->failure_rate.At(now));
    if (state->backend.is_draining) continue;
    capacity.has_backends = true;
    if (state->avoid_until > now) continue;
    ++available;
    capacity.mean_failure_rate += rates.back().second;
  }
  if (available > 0) capacity.mean_failure_rate /= available;
  capacity.open.reserve(rates.size());
  double slots_per_ms = 0;
  for (const auto& [state, rate] : rates) {
    const double excess = rate - capacity.mean_failure_rate;
    const FailureLimit limit = FailureLimitFor(excess);
    if (capacity.has_backends && std::exchange(state->limit, limit) != limit)
      decisions.limit_changes.push_back(
          {state->backend.id, limit, rate, capacity.mean_failure_rate});
    if (state->backend.is_draining || state->avoid_until > now) continue;
    state->speed.prefill_ratio = m_prefill_ratio;
    const int granted_slots = GrantableSlots(*state);
    const double penalty_ms = std::max(excess - kFailureMargin, 0.0) * kFailurePenaltyMs;
    const OpenBackend open{state, granted_slots, penalty_ms, limit};
    if (!open.IsFull()) capacity.open.push_back(open);
    // One slot for the next trial.
    const int count = limit == FailureLimit::kTrialsOnly ? 1 : granted_slots;
    capacity.free_slots += std::max(count - state->running, 0);
    if (limit == FailureLimit::kTrialsOnly) continue;
    capacity.slots += count;
    slots_per_ms += count / state->speed.decode_ms_per_token;
    if (state->speed.decode_ms_per_token < capacity.fastest.decode_ms_per_token)
      capacity.fastest = state->speed;
  }
  if (capacity.slots > 0) {
    capacity.effective_slots = slots_per_ms * capacity.fastest.decode_ms_per_token;
  } else {
    capacity.fastest = SpeedModel{};
  }
  capacity.fastest.prefill_ratio = m_prefill_ratio;
  return capacity;
}

double Scheduler::SlotTimeMs(const RequestInfo& request, const SpeedModel& speed) const {
  return speed.PrefillMs(request.prompt_tokens) +
         speed.DecodeMs(request.output_tokens) * kPrefillInterferenceFactor + 1;
}

void Scheduler::Evaluate(WaitingRequest& waiting) {
  const RequestInfo& request = waiting.request;
  SpeedModel speed;
  speed.prefill_ratio = m_prefill_ratio;
  waiting.slot_time_ms = SlotTimeMs(request, speed);
  waiting.balance = &m_size_balances[RequestKind{request.service, request.route, request.rank}];
  const auto tokens = static_cast<double>(request.prompt_tokens +
                                          kPromptTokensPerOutputToken * request.output_tokens) +
                      1;
  waiting.size = waiting.balance->Observe(tokens);
  waiting.balance->CountResult(waiting.size, kOffered);
  const double size = std::min(tokens / waiting.balance->MeanSize(), kMaxRelativeSize);
  waiting.value = std::pow(kRankValueFactor, request.rank) *
                  (kSizeIndependentValue + (1 - kSizeIndependentValue) * size);
}

bool Scheduler::IsLate(const RequestInfo& request, const Capacity& capacity, TimePoint now) {
  const double first_event_ms = capacity.fastest.PrefillMs(request.prompt_tokens);
  return MillisOf(now - request.arrived) + first_event_ms > MillisOf(request.latency_objective);
}

std::vector<Scheduler::RankedRequest> Scheduler::RankQueue(
    const std::vector<WaitingRequest*>& queue, const Capacity& capacity, TimePoint now) {
  std::vector<RankedRequest> ranked;
  ranked.reserve(queue.size());
  for (WaitingRequest* waiting : queue) {
    const bool is_late = IsLate(waiting->request, capacity, now);
    const double score = waiting->value / waiting->slot_time_ms * (is_late ? kLateValueFactor : 1);
    ranked.push_back({waiting, score, 1, is_late});
  }
  BoostUnderserved(ranked);
  std::sort(ranked.begin(), ranked.end(), [](const RankedRequest& a, const RankedRequest& b) {
    if (a.score != b.score) return a.score > b.score;
    return a.waiting->ArrivalOrder() < b.waiting->ArrivalOrder();
  });
  return ranked;
}

void Scheduler::BoostUnderserved(std::vector<RankedRequest>& ranked) {
  struct Deficits {
    double best_score = 0;  ///< of the kind
    std::array<double, kSizeGroupCount> count{};
  };
  std::map<const SizeBalance*, Deficits> kinds;
  bool has_deficit = false;
  for (const RankedRequest& entry : ranked) {
    const SizeBalance* balance = entry.waiting->balance;
    const auto [found, is_new] = kinds.try_emplace(balance);
    Deficits& deficits = found->second;
    deficits.best_score = std::max(deficits.best_score, entry.score);
    if (!is_new) continue;
    for (std::size_t i = 0; i < kSizeGroupCount; ++i) {
      deficits.count.at(i) = balance->DeficitOf(static_cast<SizeGroup>(i));
      has_deficit = has_deficit || deficits.count.at(i) > 0;
    }
  }
  if (!has_deficit) return;
  // In order of arrival, since in order of score the largest requests of each group would be left
  // out.
  std::sort(ranked.begin(), ranked.end(), [](const RankedRequest& a, const RankedRequest& b) {
    if (a.is_late != b.is_late) return b.is_late;
    return a.waiting->ArrivalOrder() < b.waiting->ArrivalOrder();
  });
  for (RankedRequest& entry : ranked) {
    Deficits& deficits = kinds.at(entry.waiting->balance);
    double& count = deficits.count.at(static_cast<std::size_t>(entry.waiting->size));
    if (count <= 0) continue;
    --count;
    entry.boost = deficits.best_score / entry.score;
    entry.score = deficits.best_score;
  }
}

bool Scheduler::KeepsEventGaps(const TrackedBackend& state, const RequestInfo& request) const {
  const int streaming = state.running - state.prefilling;
  if (request.max_event_gap == Millis{0} || streaming == 0) return true;
  return state.speed.MaxEventGapMs(state.prefill_tokens + request.prompt_tokens) <=
         MillisOf(request.max_event_gap) * kEventGapFraction;
}

bool Scheduler::Capacity::IsScarce() const { return free_slots < slots * (1 - kScarceUtilisation); }

const Scheduler::OpenBackend* Scheduler::ChooseBackend(const RequestInfo& request,
                                                       const Capacity& capacity, bool is_late,
                                                       TimePoint now) const {
  const bool is_scarce = capacity.IsScarce();
  const OpenBackend* best = nullptr;
  double best_ms = std::numeric_limits<double>::max();
  const double waited_ms = MillisOf(now - request.arrived) + MillisOf(kDispatchLatency);
  const double first_event_bound_ms = (is_late ? MillisOf(request.patience) * kPatienceFraction
                                               : MillisOf(request.latency_objective)) -
                                      waited_ms;
  const double total_bound_ms = std::max(
      MillisOf(request.deadline - now) * kDeadlineFraction,
      SlotTimeMs(request, capacity.fastest) / kPrefillInterferenceFactor * kNearlyFastestFactor);
  const std::int64_t needed_tokens = request.prompt_tokens + request.output_tokens;
  for (const OpenBackend& open : capacity.open) {
    const TrackedBackend& state = *open.state;
    if (open.IsFull() || IsBlockedByLimit(state, request, open.limit, now)) continue;
    double ms = state.running + open.penalty_ms;
    if (state.is_engine) {
      if (state.kv_cache_tokens > 0 && state.running > 0 &&
          state.reserved_tokens + needed_tokens > state.kv_cache_tokens)
        continue;
      const double first_event_ms =
          state.speed.PrefillMs(state.prefill_tokens + request.prompt_tokens);
      const double total_ms = first_event_ms + state.speed.DecodeMs(request.output_tokens);
      if (first_event_ms > first_event_bound_ms || total_ms > total_bound_ms) continue;
      // While slots are scarce, the slowest backend server that can respond on time is chosen.
      ms = open.penalty_ms +
           (is_scarce ? total_ms - state.speed.decode_ms_per_token * 1e6 : total_ms);
    }
    if (ms >= best_ms || (state.is_engine && !KeepsEventGaps(state, request))) continue;
    // Few requests exclude backend servers, and looking up their ids is expensive.
    if (request.excluded_backends.contains(state.backend.id)) continue;
    best = &open;
    best_ms = ms;
  }
  return best;
}

FailureLimit Scheduler::FailureLimitFor(double excess) {
  if (excess > kTrialsOnlyMargin) return FailureLimit::kTrialsOnly;
  return excess > kOneAtATimeMargin ? FailureLimit::kOneAtATime : FailureLimit::kNone;
}

bool Scheduler::IsBlockedByLimit(const TrackedBackend& state, const RequestInfo& request,
                                 FailureLimit limit, TimePoint now) {
  if (limit == FailureLimit::kNone) return false;
  if (state.running > 0) return true;
  // A trial should cost its caller little, so the request must be retryable elsewhere.
  return limit == FailureLimit::kTrialsOnly && (now < state.next_trial || !request.is_retryable);
}

void Scheduler::StartRun(const RequestInfo& request, TrackedBackend& state, TimePoint now) {
  ++state.running;
  state.next_trial = now + kTrialPeriod;
  ++state.prefilling;
  state.prefill_tokens += request.prompt_tokens;
  state.reserved_tokens += request.prompt_tokens + request.output_tokens;
  m_runs.emplace(request.id, Run{request, state.backend.id, true, state.prefill_tokens, now});
}

void Scheduler::Refuse(const WaitingRequest& waiting, RefusalReason reason, Millis retry_after,
                       const DecisionInputs& inputs, Decisions& decisions) {
  const RequestInfo& request = waiting.request;
  waiting.balance->CountResult(waiting.size, NameOf(reason));
  decisions.refusals.push_back({request.id, request.home, reason, retry_after, request.organisation,
                                request.is_retry ? 0 : request.quota_cost, inputs});
  Forget(request);
  m_waiting.erase(AttemptId(request.id));
}

void Scheduler::DecideBy(TimePoint at) {
  if (!m_next_decision || at < *m_next_decision) m_next_decision = at;
}

void Scheduler::DecideForService(const ServiceName& service, std::vector<WaitingRequest*> queue,
                                 TimePoint now, AdmissionControl& admission, Decisions& decisions) {
  Capacity capacity = CapacityOf(service, now, decisions);
  if (!capacity.has_backends) {
    for (const WaitingRequest* waiting : queue)
      Refuse(*waiting, RefusalReason::kNoBackend, kNoBackendRetryAfter,
             {queue.size(), 0, 0, 0, waiting->size, 1}, decisions);
    return;
  }
  const std::vector<RankedRequest> ranked = RankQueue(queue, capacity, now);
  double queued_ahead_ms = 0;
  const double time_scale = capacity.fastest.decode_ms_per_token / kInitialDecodeMsPerToken;
  const double drain_rate = std::max(capacity.effective_slots, 1.0);
  for (const auto& [waiting, score, boost, is_late] : ranked) {
    const RequestInfo& request = waiting->request;
    const double first_event_ms = capacity.fastest.PrefillMs(request.prompt_tokens);
    const double waited_ms = MillisOf(now - request.arrived);
    const double remaining_ms = MillisOf(request.deadline - now);
    // A run that is cut off at the deadline would take its slot from several others. Retries are
    // exempt, since part of their response may have been delivered before.
    const bool exceeds_deadline = capacity.IsScarce() && !request.is_retry &&
                                  SlotTimeMs(request, capacity.fastest) > remaining_ms;
    const OpenBackend* open = capacity.free_slots > 0 && !exceeds_deadline
                                  ? ChooseBackend(request, capacity, is_late, now)
                                  : nullptr;
    if (open != nullptr && admission.TryAdmit(request, now)) {
      TrackedBackend* state = open->state;
      --capacity.free_slots;
      decisions.grants.push_back(
          {request.id,
           request.home,
           state->backend.id,
           {ranked.size(), capacity.slots, capacity.free_slots, waited_ms, waiting->size, boost}});
      StartRun(request, *state, now);
      if (open->IsFull())
        capacity.open.erase(capacity.open.begin() + (open - capacity.open.data()));
      waiting->balance->CountResult(waiting->size, kGranted);
      Run& run = m_runs.at(request.id);
      run.balance = waiting->balance;
      run.size = waiting->size;
      waiting->balance->RecordGrant(waiting->size, now);
      m_waiting.erase(AttemptId(request.id));
      continue;
    }
    const double wait_ms = queued_ahead_ms / drain_rate * kWaitSafetyFactor;
    const double max_wait_ms =
        MillisOf(request.patience) * kPatienceFraction - first_event_ms - waited_ms;
    const bool is_too_late = max_wait_ms <= 0 || remaining_ms <= first_event_ms || exceeds_deadline;
    if (is_too_late || (waiting->is_new && wait_ms > max_wait_ms)) {
      waiting->balance->RecordRefusal(waiting->size, now);
      const Millis wait = std::clamp(ToMillis(wait_ms), kMinRetryAfter, kMaxRetryAfter);
      Refuse(*waiting, is_too_late ? RefusalReason::kTooLate : RefusalReason::kOverloaded,
             SpreadRetryAfter(wait, request.id),
             {ranked.size(), capacity.slots, capacity.free_slots, wait_ms, waiting->size, boost},
             decisions);
      continue;
    }
    waiting->is_new = false;
    queued_ahead_ms += waiting->slot_time_ms * time_scale;
    DecideBy(now + ToMillis(std::max(std::min(max_wait_ms, remaining_ms - first_event_ms), 1.0)));
    // Engines may be able to take more requests once a prefill ends, before any run does.
    if (capacity.free_slots > 0) DecideBy(now + kPrefillRecheckPeriod);
  }
}

Decisions Scheduler::Decide(TimePoint now, AdmissionControl& admission) {
  Decisions decisions;
  m_next_decision.reset();
  DetectStalledRuns(now);
  std::map<ServiceName, std::vector<WaitingRequest*>> queues;
  for (auto& [id, waiting] : m_waiting) queues[waiting.request.service].push_back(&waiting);
  for (auto& [service, queue] : queues)
    DecideForService(service, std::move(queue), now, admission, decisions);
  return decisions;
}

}  // namespace bluebellpass::gateway
