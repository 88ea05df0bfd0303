#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "duration.h"
#include "scheduler.h"

/// Decisions about the waiting requests.

namespace bluebellpass::gateway {
namespace {

// Value of a request relative to one of the next more urgent rank, for the same slot time.
constexpr double kRankValueFactor = 1.0 / 9;
// Part of a request's value that does not grow with its size.
constexpr double kSizeIndependentValue = 0.3;
constexpr double kMaxRelativeSize = 4;
// Value of a request that continues a stream relative to a new one. A refusal would waste the run
// so far as well.
constexpr double kBegunStreamValueFactor = 2;
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

// Callers come back after this part of their remaining time even if they are told a later time.
constexpr double kMaxRetryFraction = 1.0 / 3;
// Smallest part of that time that is told. Without the spread, all callers whose wait is longer
// would come back at the same moment.
constexpr double kMinSpread = 0.6;
// Number of different retry times for callers that are refused at the same time.
constexpr std::uint64_t kRetrySpreadSteps = 1'024;

/// @return the time after which a refused caller should come back, different for callers that are
/// refused at the same time
/// @param wait_ms expected wait of the request
Millis RetryAfter(double wait_ms, const RequestInfo& request, TimePoint now) {
  const double spread = static_cast<double>(StableHash(request.id.Text()) % kRetrySpreadSteps) /
                        static_cast<double>(kRetrySpreadSteps);
  const double wanted_ms =
      std::clamp(wait_ms, MillisOf(kMinRetryAfter), MillisOf(kMaxRetryAfter)) * (1 + spread);
  const double max_ms = MillisOf(request.deadline - now) * kMaxRetryFraction;
  if (wanted_ms <= max_ms) return ToMillis(wanted_ms);
  return ToMillis(std::max(max_ms, 0.0) * (kMinSpread + (1 - kMinSpread) * spread));
}

}  // namespace

bool Scheduler::IsPlain(const ServiceName& service) const {
  const auto backends = m_backends_by_service.find(service);
  return backends != m_backends_by_service.end() && !backends->second.empty() &&
         !backends->second.begin()->second->is_engine;
}

bool Scheduler::HasVersion(const ServiceName& service, const SoftwareVersion& version,
                           TimePoint now) const {
  const auto backends = m_backends_by_service.find(service);
  if (backends == m_backends_by_service.end()) return false;
  return std::any_of(backends->second.begin(), backends->second.end(), [&](const auto& entry) {
    const Backend& backend = entry.second->backend;
    return !backend.is_draining && backend.version == version &&
           (m_rollouts == nullptr || m_rollouts->UseOf(backend, now) != VersionUse::kExcluded);
  });
}

int Scheduler::GrantableSlots(const TrackedBackend& state) const {
  return ShareOf(state.backend.id, std::max(state.backend.slots, 1));
}

int Scheduler::ShareOf(const BackendId& id, int number) const {
  if (m_share_count == 1) return number;
  const auto whole = static_cast<std::size_t>(number);
  // The remainder goes to different instances for different backend servers, so that no instance
  // has more than its share.
  const std::size_t position = (m_share_index + StableHash(id.Text())) % m_share_count;
  return static_cast<int>(whole / m_share_count + (position < whole % m_share_count ? 1 : 0));
}

bool Scheduler::IsConfirmed(const Run& run, TimePoint now) const {
  if (now - run.started < RejectionGuard::kConfirmTime) return false;
  // One that is silent has not decided yet.
  const auto backend = m_backends.find(run.backend);
  return backend != m_backends.end() && backend->second.last_response >= run.started;
}

void Scheduler::LimitUnconfirmed(Capacity& capacity, TimePoint now) {
  if (m_rejection_guards.empty()) return;
  std::map<BackendId, int> unconfirmed;
  for (const auto& [id, run] : m_runs)
    if (run.is_prefilling && !IsConfirmed(run, now)) ++unconfirmed[run.backend];
  for (auto* list : {&capacity.open, &capacity.probes, &capacity.ending}) {
    for (OpenBackend& open : *list) {
      const Backend& backend = open.state->backend;
      const auto guard = m_rejection_guards.find(backend.Start());
      if (guard == m_rejection_guards.end()) continue;
      // A backend server that tolerates none would otherwise get no request at all.
      const int limit = ShareOf(backend.id, std::max(guard->second.Limit(), 1));
      const int allowance = guard->second.Allowance(limit, unconfirmed[backend.id], now);
      const int slots = std::min(open.slots, open.state->running + allowance);
      capacity.is_guarded = capacity.is_guarded || slots < open.slots;
      open.slots = slots;
    }
    std::erase_if(*list, [](const OpenBackend& open) { return open.IsFull(); });
  }
}

Scheduler::Capacity Scheduler::CapacityOf(const ServiceName& service, TimePoint now,
                                          Decisions& decisions) {
  Capacity capacity;
  capacity.load = &m_loads[service];
  capacity.is_plain = IsPlain(service);
  capacity.fastest.decode_ms_per_token = std::numeric_limits<double>::max();
  const auto ids = m_backends_by_service.find(service);
  if (ids == m_backends_by_service.end()) return capacity;
  std::vector<std::pair<TrackedBackend*, double>> rates;
  rates.reserve(ids->second.size());
  int available = 0;
  const bool is_restricted = m_rollouts != nullptr && m_rollouts->IsRestricted(service);
  for (const auto& [id, state] : ids->second) {
    const VersionUse use =
        is_restricted ? m_rollouts->UseOf(state->backend, now) : VersionUse::kAllowed;
    if (use == VersionUse::kExcluded) continue;
    if (use == VersionUse::kProbe) {
      capacity.has_backends = true;
      const OpenBackend open{state, GrantableSlots(*state), 0, FailureLimit::kNone};
      if (!state->backend.is_draining && state->avoid_until <= now && !open.IsFull())
        capacity.probes.push_back(open);
      continue;
    }
    if (use == VersionUse::kStreamsOnly) {
      const OpenBackend open{state, GrantableSlots(*state), 0, FailureLimit::kNone};
      if (!state->backend.is_draining && state->avoid_until <= now && !open.IsFull())
        capacity.ending.push_back(open);
      continue;
    }
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
  ServiceLoad& load = m_loads[request.service];
  load.RecordArrival(
      IsPlain(request.service) ? load.SlotTimeMs(request.route) : waiting.slot_time_ms,
      request.arrived);
  waiting.balance = &m_size_balances[RequestKind{request.service, request.route, request.rank}];
  const auto tokens = static_cast<double>(request.prompt_tokens +
                                          kPromptTokensPerOutputToken * request.output_tokens) +
                      1;
  waiting.size = waiting.balance->Observe(tokens);
  waiting.balance->CountResult(waiting.size, kOffered);
  const double size = std::min(tokens / waiting.balance->MeanSize(), kMaxRelativeSize);
  waiting.value = std::pow(kRankValueFactor, request.rank) *
                  (kSizeIndependentValue + (1 - kSizeIndependentValue) * size);
  if (request.version) waiting.value *= kBegunStreamValueFactor;
}

bool Scheduler::IsLate(const RequestInfo& request, const Capacity& capacity, TimePoint now) {
  const double response_ms = capacity.is_plain ? capacity.load->MostSlotTimeMs(request.route)
                                               : ResponseTimeMs(request, capacity);
  return MillisOf(now - request.arrived + request.caller_age) + response_ms >
         MillisOf(request.latency_objective);
}

std::vector<Scheduler::RankedRequest> Scheduler::RankQueue(
    const std::vector<WaitingRequest*>& queue, const Capacity& capacity, TimePoint now) {
  std::vector<RankedRequest> ranked;
  ranked.reserve(queue.size());
  for (WaitingRequest* waiting : queue) {
    const bool is_late = IsLate(waiting->request, capacity, now);
    // Requests of a plain service weigh equally, whatever their route, since otherwise the fastest
    // route would get all slots under overload.
    const double slot_time_ms =
        capacity.is_plain ? capacity.load->SlotTimeMs() : waiting->slot_time_ms;
    // The caller of a stream that has begun has its first events.
    const bool has_late_value = is_late && !waiting->request.version;
    const double score = waiting->value / slot_time_ms * (has_late_value ? kLateValueFactor : 1);
    ranked.push_back({waiting, score, 1, is_late});
  }
  // Requests of plain services state no size.
  if (!capacity.is_plain) BoostUnderserved(ranked);
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

Scheduler::TimeBounds Scheduler::BoundsOf(const RequestInfo& request, const Capacity& capacity,
                                          bool is_late, TimePoint now) const {
  const double waited_ms = MillisOf(now - request.arrived) + MillisOf(kDispatchLatency);
  TimeBounds bounds;
  bounds.first_event_ms = (is_late ? MillisOf(request.patience) * kPatienceFraction
                                   : MillisOf(request.latency_objective - request.caller_age)) -
                          waited_ms;
  bounds.total_ms = std::max(
      MillisOf(request.deadline - now) * kDeadlineFraction,
      SlotTimeMs(request, capacity.fastest) / kPrefillInterferenceFactor * kNearlyFastestFactor);
  return bounds;
}

std::optional<double> Scheduler::CostAt(const OpenBackend& open, const RequestInfo& request,
                                        const Capacity& capacity, const TimeBounds& bounds,
                                        TimePoint now) const {
  const TrackedBackend& state = *open.state;
  if (request.version && state.backend.version != *request.version) return std::nullopt;
  if (open.IsFull() || IsBlockedByLimit(state, request, open.limit, now)) return std::nullopt;
  if (!state.is_engine) return state.running + open.penalty_ms;
  if (state.kv_cache_tokens > 0 && state.running > 0 &&
      state.reserved_tokens + request.prompt_tokens + request.output_tokens > state.kv_cache_tokens)
    return std::nullopt;
  const double first_event_ms = state.speed.PrefillMs(state.prefill_tokens + request.prompt_tokens);
  const double total_ms = first_event_ms + state.speed.DecodeMs(request.output_tokens);
  if (first_event_ms > bounds.first_event_ms || total_ms > bounds.total_ms) return std::nullopt;
  // While slots are scarce, the slowest backend server that can respond on time is chosen.
  return open.penalty_ms +
         (capacity.IsScarce() ? total_ms - state.speed.decode_ms_per_token * 1e6 : total_ms);
}

const Scheduler::OpenBackend* Scheduler::ChooseBackend(const RequestInfo& request,
                                                       const std::vector<OpenBackend>& candidates,
                                                       const Capacity& capacity, bool is_late,
                                                       TimePoint now) const {
  const OpenBackend* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  const TimeBounds bounds = BoundsOf(request, capacity, is_late, now);
  for (const OpenBackend& open : candidates) {
    const auto cost = CostAt(open, request, capacity, bounds, now);
    if (!cost || *cost >= best_cost) continue;
    if (open.state->is_engine && !KeepsEventGaps(*open.state, request)) continue;
    // Few requests exclude backend servers, and looking up their ids is expensive.
    if (request.excluded_backends.contains(open.state->backend.id)) continue;
    best = &open;
    best_cost = *cost;
  }
  return best;
}

const Scheduler::OpenBackend* Scheduler::ChooseProbe(const RequestInfo& request,
                                                     const Capacity& capacity, bool is_late,
                                                     TimePoint now) const {
  const bool is_packed = RolloutController::IsPacked(request.id);
  const OpenBackend* best = nullptr;
  std::tuple<int, std::uint64_t> best_order;
  const TimeBounds bounds = BoundsOf(request, capacity, is_late, now);
  for (const OpenBackend& open : capacity.probes) {
    if (request.excluded_backends.contains(open.state->backend.id)) continue;
    if (!CostAt(open, request, capacity, bounds, now)) continue;
    if (open.state->is_engine && !KeepsEventGaps(*open.state, request)) continue;
    // Of those with as many runs the one with the fewest probes, so that bursts are not always
    // packed on the same ones.
    const std::tuple order(is_packed ? -open.state->running : 0, open.state->probes);
    if (best != nullptr && order >= best_order) continue;
    best = &open;
    best_order = order;
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
  const bool is_under_load = 2 * state.running > state.backend.slots;
  m_runs.emplace(request.id,
                 Run{request, state.backend.id, true, state.prefill_tokens, now, is_under_load});
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

double Scheduler::SlotTimeOf(const WaitingRequest& waiting, const Capacity& capacity) const {
  return capacity.is_plain ? capacity.load->SlotTimeMs(waiting.request.route)
                           : SlotTimeMs(waiting.request, capacity.fastest);
}

double Scheduler::ResponseTimeMs(const RequestInfo& request, const Capacity& capacity) {
  return capacity.is_plain ? capacity.load->SlotTimeMs(request.route)
                           : capacity.fastest.PrefillMs(request.prompt_tokens);
}

Scheduler::WaitPrediction Scheduler::PredictWait(const RankedRequest& ranked, double work_ahead_ms,
                                                 const Capacity& capacity, TimePoint now) const {
  const RequestInfo& request = ranked.waiting->request;
  const double response_ms = ResponseTimeMs(request, capacity);
  const double waited_ms = MillisOf(now - request.arrived);
  const double remaining_ms = MillisOf(request.deadline - now);
  QueueAhead ahead{work_ahead_ms * kWaitSafetyFactor, std::max(capacity.effective_slots, 1.0), 0};
  WaitPrediction prediction;
  prediction.wait_ms = PredictWaitMs(ahead, false);
  prediction.max_wait_ms = MillisOf(request.patience) * kPatienceFraction - response_ms - waited_ms;
  const double time_scale =
      capacity.is_plain ? 1 : capacity.fastest.decode_ms_per_token / kInitialDecodeMsPerToken;
  ahead.offered_slots = capacity.load->OfferedSlots(now) * time_scale;
  const double most_response_ms =
      capacity.is_plain ? capacity.load->MostSlotTimeMs(request.route) : response_ms;
  const bool will_be_late = waited_ms + prediction.wait_ms + most_response_ms >
                            MillisOf(request.latency_objective - request.caller_age);
  // Requests of an underserved size group keep their place.
  prediction.yields_to_new = (ranked.is_late || will_be_late) && ranked.boost <= 1;
  prediction.wait_ms = PredictWaitMs(ahead, prediction.yields_to_new);
  if (capacity.is_plain)
    prediction.max_wait_ms = std::min(prediction.max_wait_ms, remaining_ms - response_ms);
  return prediction;
}

const Scheduler::OpenBackend* Scheduler::ChooseForGrant(const RankedRequest& ranked,
                                                        Capacity& capacity, TimePoint now,
                                                        std::vector<OpenBackend>*& uncounted) {
  const RequestInfo& request = ranked.waiting->request;
  uncounted = nullptr;
  const bool wants_probe =
      !capacity.probes.empty() &&
      (request.version ? m_rollouts->MayProbe(request.service, request.id, now)
                       : m_rollouts->WantsTarget(request.service, request.id, now));
  if (wants_probe) {
    const OpenBackend* open = ChooseProbe(request, capacity, ranked.is_late, now);
    if (open != nullptr) {
      uncounted = &capacity.probes;
      return open;
    }
  }
  if (request.version && !capacity.ending.empty()) {
    const OpenBackend* open =
        ChooseBackend(request, capacity.ending, capacity, ranked.is_late, now);
    if (open != nullptr) {
      uncounted = &capacity.ending;
      return open;
    }
  }
  return capacity.free_slots > 0
             ? ChooseBackend(request, capacity.open, capacity, ranked.is_late, now)
             : nullptr;
}

bool Scheduler::TryGrant(const RankedRequest& ranked, std::size_t queue_size, Capacity& capacity,
                         TimePoint now, AdmissionControl& admission, Decisions& decisions) {
  WaitingRequest& waiting = *ranked.waiting;
  const RequestInfo& request = waiting.request;
  std::vector<OpenBackend>* uncounted = nullptr;
  const OpenBackend* open = ChooseForGrant(ranked, capacity, now, uncounted);
  if (open == nullptr || !admission.TryAdmit(request, now)) return false;
  TrackedBackend* state = open->state;
  if (uncounted == &capacity.probes) {
    // Only now, since a request that is not admitted is not sent. WantsTarget has seen the budget.
    m_rollouts->TakeExposure(request.service, request.id, now);
    ++state->probes;
  } else if (uncounted == nullptr) {
    --capacity.free_slots;
  }
  decisions.grants.push_back({request.id,
                              request.home,
                              state->backend.id,
                              request.version,
                              {queue_size, capacity.slots, capacity.free_slots,
                               MillisOf(now - request.arrived), waiting.size, ranked.boost}});
  StartRun(request, *state, now);
  // Retries of a request are not requests that reach the service.
  if (m_rollouts != nullptr && !request.is_retry) m_rollouts->RecordGrant(state->backend);
  if (open->IsFull()) {
    std::vector<OpenBackend>& list = uncounted != nullptr ? *uncounted : capacity.open;
    list.erase(list.begin() + (open - list.data()));
  }
  waiting.balance->CountResult(waiting.size, kGranted);
  Run& run = m_runs.at(request.id);
  run.balance = waiting.balance;
  run.size = waiting.size;
  waiting.balance->RecordGrant(waiting.size, now);
  m_waiting.erase(AttemptId(request.id));
  return true;
}

void Scheduler::DecideForService(const ServiceName& service, std::vector<WaitingRequest*> queue,
                                 TimePoint now, AdmissionControl& admission, Decisions& decisions) {
  Capacity capacity = CapacityOf(service, now, decisions);
  LimitUnconfirmed(capacity, now);
  if (!capacity.has_backends) {
    // Only streams may go on, at a version that gets no other requests.
    const std::size_t queue_size = queue.size();
    std::erase_if(queue, [&](const WaitingRequest* waiting) {
      const auto& version = waiting->request.version;
      if (version && HasVersion(service, *version, now)) return false;
      const TimePoint refused_at = waiting->request.arrived + kMaxListWait;
      if (m_is_listing && now < refused_at) {
        DecideBy(refused_at);
        return true;
      }
      Refuse(*waiting, RefusalReason::kNoBackend, kNoBackendRetryAfter,
             {queue_size, 0, 0, 0, waiting->size, 1}, decisions);
      return true;
    });
    if (queue.empty()) return;
  }
  const std::vector<RankedRequest> ranked_queue = RankQueue(queue, capacity, now);
  double queued_ahead_ms = 0;
  const double time_scale = capacity.fastest.decode_ms_per_token / kInitialDecodeMsPerToken;
  for (const RankedRequest& ranked : ranked_queue) {
    WaitingRequest* waiting = ranked.waiting;
    const RequestInfo& request = waiting->request;
    if (request.version && !HasVersion(service, *request.version, now)) {
      Refuse(*waiting, RefusalReason::kNoSuchVersion, Millis{0},
             {queue.size(), capacity.slots, capacity.free_slots, 0, waiting->size, 1}, decisions);
      continue;
    }
    const double response_ms = ResponseTimeMs(request, capacity);
    const double remaining_ms = MillisOf(request.deadline - now);
    // A run that is cut off at the deadline would take its slot from several others. Retries are
    // exempt, since part of their response may have been delivered before.
    const bool exceeds_deadline =
        capacity.IsScarce() && !request.is_retry && SlotTimeOf(*waiting, capacity) > remaining_ms;
    if (!exceeds_deadline &&
        TryGrant(ranked, ranked_queue.size(), capacity, now, admission, decisions))
      continue;
    const WaitPrediction prediction = PredictWait(ranked, queued_ahead_ms, capacity, now);
    const bool is_too_late =
        prediction.max_wait_ms <= 0 || remaining_ms <= response_ms || exceeds_deadline;
    // A prediction for a request that yields changes with each arrival, others hold.
    const bool is_predicted = waiting->is_new || prediction.yields_to_new;
    if (is_too_late || (is_predicted && prediction.wait_ms > prediction.max_wait_ms)) {
      waiting->balance->RecordRefusal(waiting->size, now);
      const double wait_ms = std::min(prediction.wait_ms, MillisOf(kMaxRetryAfter));
      Refuse(*waiting, is_too_late ? RefusalReason::kTooLate : RefusalReason::kOverloaded,
             RetryAfter(wait_ms, request, now),
             {ranked_queue.size(), capacity.slots, capacity.free_slots, wait_ms, waiting->size,
              ranked.boost},
             decisions);
      continue;
    }
    waiting->is_new = false;
    queued_ahead_ms += capacity.is_plain ? capacity.load->SlotTimeMs(request.route)
                                         : waiting->slot_time_ms * time_scale;
    DecideBy(now +
             ToMillis(std::max(std::min(prediction.max_wait_ms, remaining_ms - response_ms), 1.0)));
    if (capacity.is_plain && !ranked.is_late)
      DecideBy(request.arrived + request.latency_objective - ToMillis(response_ms));
    // Engines may be able to take more requests once a prefill ends, before any run does.
    if (capacity.free_slots > 0 || capacity.is_guarded) DecideBy(now + kPrefillRecheckPeriod);
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
