#include "scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace bluebellpass::gateway {
namespace {

// Weight of a new measurement in the moving averages over all backend servers.
constexpr double kLearningRate = 0.05;
constexpr double kLeastReadingRatio = 0.002;
constexpr double kLargestReadingRatio = 0.02;
// Shorter prompts say little about the speed of reading.
constexpr std::int64_t kLeastPromptForSpeed = 2'000;
// Work of the next rank is worth this part for the same time in a place.
constexpr double kRankWeight = 1.0 / 5;
// The value of an answer grows with its size, but not from nothing.
constexpr double kFixedValue = 0.3;
constexpr double kLargestRelativeSize = 4;
// Tokens of the prompt that a token of the output counts as, in the size that callers see.
constexpr std::int64_t kOutputWeight = 10;
// Value of an answer that will be late, against one that is on time.
constexpr double kLateValue = 0.4;
// Steps that read prompts delay the output of running streams; measured on busy engines.
constexpr double kInterference = 1.4;
// Part of the bound on pauses that is planned for.
constexpr double kPausePart = 0.9;
// Part of the remaining time in which the whole answer is expected. Estimates of the output are
// right at the median and often several times too low.
constexpr double kDeadlinePart = 0.4;
// A backend server that is nearly as fast as the fastest may run what lasts longer than that.
constexpr double kNearlyFastest = 1.3;
// Part of the caller's patience in which the first event must be expected.
constexpr double kPatiencePart = 0.85;
// Above this part of places taken, fast backend servers are kept for work that needs them.
constexpr double kScarcePart = 0.75;
// Predicted waits are too short while more urgent work goes on arriving.
constexpr double kWaitMargin = 1.3;
// A run has failed when nothing has come for this long and for a multiple of the expected time.
constexpr Millis kSilentRun{1'000};
constexpr double kSilentRunFactor = 3;
constexpr Millis kSilenceCheckPeriod{200};
// A backend server is worse than the others when its failure rate exceeds their mean by this.
constexpr double kFailureMargin = 0.2;
// Above this excess it gets one request at a time, and above the next one only trials: about four
// failures in a row reach it.
constexpr double kLimitMargin = 0.35;
constexpr double kEjectMargin = 0.5;
constexpr Millis kTrialPeriod{500};
// Added to the expected time for each part of the excess, in milliseconds; above any expected time.
constexpr double kFailurePenaltyMs = 1e5;
// Time for the grant and the request to travel.
constexpr Millis kTravel{5};
constexpr Millis kLeastRetryAfter{250};
constexpr Millis kLargestRetryAfter{5'000};
constexpr Millis kRetryNoBackend{500};
constexpr Millis kReconsiderPeriod{20};
// Callers that are refused at the same time return at so many different times.
constexpr std::uint64_t kSteps = 64;

double MillisOf(TimePoint::duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

Millis ToMillis(double ms) { return Millis(static_cast<std::int64_t>(std::ceil(ms))); }

/// Spreads callers that are refused at the same time, so that they do not return at once.
Millis Spread(Millis wait, const AttemptId& id) {
  const auto step = static_cast<Millis::rep>(StableHash(id.Text()) % kSteps);
  return wait + wait * step / static_cast<Millis::rep>(kSteps);
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
  BackendState& state = found->second;
  state.backend = backend;
  state.is_engine = service != nullptr && service->engine.has_value();
  if (state.is_engine) {
    state.speed.tokens_per_event = std::max(service->engine->tokens_per_event, 1);
    state.kv_cache_tokens = service->engine->kv_cache_tokens;
  }
  m_by_service[backend.service].insert(backend.id);
  if (!is_new) return;
  for (const auto& [id, run] : m_runs) {
    if (run.backend != backend.id) continue;
    ++state.running;
    state.reserved_tokens += run.work.prompt_tokens + run.work.output_tokens;
    if (!run.is_reading) continue;
    ++state.reading;
    state.unread_tokens += run.work.prompt_tokens;
  }
}

void Scheduler::RemoveBackend(const BackendId& id) {
  const auto found = m_backends.find(id);
  if (found == m_backends.end()) return;
  m_by_service[found->second.backend.service].erase(id);
  m_backends.erase(found);
}

void Scheduler::AvoidBackend(const BackendId& id, TimePoint until) {
  const auto found = m_backends.find(id);
  if (found != m_backends.end())
    found->second.avoid_until = std::max(found->second.avoid_until, until);
}

void Scheduler::AddRequest(RequestInfo work) {
  if (m_waiting.contains(work.id) || m_runs.contains(work.id)) return;
  const AttemptId id = work.id;
  Waiting waiting;
  waiting.work = std::move(work);
  Appraise(waiting);
  m_waiting.emplace(id, std::move(waiting));
}

const RequestInfo* Scheduler::FindWaiting(const AttemptId& id) const {
  const auto found = m_waiting.find(id);
  return found == m_waiting.end() ? nullptr : &found->second.work;
}

bool Scheduler::RemoveWaiting(const AttemptId& id) { return m_waiting.erase(id) != 0; }

void Scheduler::EndReading(Run& run) {
  if (!std::exchange(run.is_reading, false)) return;
  const auto found = m_backends.find(run.backend);
  if (found == m_backends.end()) return;
  --found->second.reading;
  found->second.unread_tokens -= run.work.prompt_tokens;
}

void Scheduler::RecordFirstEvent(const AttemptId& id, Millis after, TimePoint now) {
  const auto found = m_runs.find(id);
  if (found == m_runs.end()) return;
  EndReading(found->second);
  const auto state = m_backends.find(found->second.backend);
  if (state == m_backends.end()) return;
  state->second.last_sign = now;
  if (found->second.work.prompt_tokens < kLeastPromptForSpeed) return;
  const double produced_ms = state->second.speed.DecodingMs(found->second.unread_at_start);
  const double ratio = std::clamp(static_cast<double>(after.count()) / produced_ms,
                                  kLeastReadingRatio, kLargestReadingRatio);
  m_reading_ratio += kLearningRate * (ratio - m_reading_ratio);
}

const RequestInfo* Scheduler::NewestPrefilling(const BackendId& id) const {
  const Run* newest = nullptr;
  for (const auto& [attempt, run] : m_runs)
    if (run.backend == id && run.is_reading && (!newest || run.started > newest->started))
      newest = &run;
  return newest == nullptr ? nullptr : &newest->work;
}

const RequestInfo* Scheduler::FindRunning(const AttemptId& id) const {
  const auto found = m_runs.find(id);
  return found == m_runs.end() ? nullptr : &found->second.work;
}

const BackendId* Scheduler::BackendOf(const AttemptId& id) const {
  const auto found = m_runs.find(id);
  return found == m_runs.end() ? nullptr : &found->second.backend;
}

void Scheduler::Judge(const Run& run, const RunReport& report, TimePoint now) {
  const auto found = m_backends.find(run.backend);
  if (found == m_backends.end()) return;
  FailureRate& failures = found->second.failures;
  if (run.is_silent && report.outcome != RunOutcome::kCompleted) return;
  switch (report.outcome) {
    case RunOutcome::kNotRun:
      return;
    case RunOutcome::kCompleted:
      found->second.last_sign = now;
      return failures.Record(false, now);
    case RunOutcome::kFailed:
    case RunOutcome::kLost:
      return failures.Record(true, now);
    case RunOutcome::kCancelled:
      // A caller that leaves says something only when it had waited for long.
      if (run.is_reading && now - run.started > kSilentRun) failures.Record(true, now);
      return;
  }
}

void Scheduler::NoteEnd(const Run& run, RunOutcome outcome, TimePoint now) {
  if (run.balance == nullptr) return;
  run.balance->CountResult(run.size, NameOf(outcome));
  if (outcome == RunOutcome::kCompleted) return;
  run.balance->RecordUnserved(run.size, outcome == RunOutcome::kCancelled, run.started, now);
}

void Scheduler::JudgeSilentRuns(TimePoint now) {
  if (now < m_next_silence_check) return;
  m_next_silence_check = now + kSilenceCheckPeriod;
  for (auto& [id, run] : m_runs) {
    if (!run.is_reading || run.is_silent || now - run.started <= kSilentRun) continue;
    const auto found = m_backends.find(run.backend);
    if (found == m_backends.end()) continue;
    const double expected_ms = found->second.speed.ReadingMs(run.unread_at_start);
    if (MillisOf(now - run.started) <= expected_ms * kSilentRunFactor) continue;
    run.is_silent = true;
    // A server that has shown nothing since then is silent towards all that wait for it.
    const int lost = found->second.last_sign < run.started ? found->second.reading : 1;
    for (int i = 0; i < lost; ++i) found->second.failures.Record(true, now);
  }
}

void Scheduler::Release(const AttemptId& id, const RunReport& report, TimePoint now) {
  const auto found = m_runs.find(id);
  if (found == m_runs.end()) return;
  Judge(found->second, report, now);
  NoteEnd(found->second, report.outcome, now);
  EndReading(found->second);
  const Run run = std::move(found->second);
  m_runs.erase(found);
  const auto backend = m_backends.find(run.backend);
  if (backend == m_backends.end()) return;
  BackendState& state = backend->second;
  state.running = std::max(state.running - 1, 0);
  state.reserved_tokens -= run.work.prompt_tokens + run.work.output_tokens;
  if (report.event_gap_ms) state.speed.Learn(*report.event_gap_ms);
}

void Scheduler::AdoptRun(const RequestInfo& work, const BackendId& backend, bool is_reading,
                         TimePoint now) {
  if (m_runs.contains(work.id)) return;
  const auto found = m_backends.find(backend);
  if (found != m_backends.end()) {
    Start(work, found->second, now);
  } else {
    m_runs.emplace(work.id, Run{work, backend, true, 0, now});
  }
  if (!is_reading) EndReading(m_runs.at(work.id));
}

std::vector<RequestInfo> Scheduler::RemoveHome(const InstanceId& home) {
  std::vector<RequestInfo> waiting;
  for (const auto& [id, entry] : m_waiting)
    if (entry.work.home == home) waiting.push_back(entry.work);
  for (const RequestInfo& work : waiting) RemoveWaiting(work.id);
  std::vector<AttemptId> runs;
  for (const auto& [id, run] : m_runs)
    if (run.work.home == home) runs.push_back(id);
  for (const AttemptId& id : runs) Release(id, {}, {});
  return waiting;
}

std::vector<SizeGroupResults> Scheduler::ResultsBySize() const {
  std::vector<SizeGroupResults> reports;
  for (const auto& [kind, balance] : m_balances) {
    const auto& [service, route, rank] = kind;
    for (const SizeGroup size : {SizeGroup::kSmall, SizeGroup::kLarge, SizeGroup::kLargest})
      reports.push_back({service, route, rank, size, balance.Counts(size)});
  }
  return reports;
}

int Scheduler::RunningOn(const BackendId& id) const {
  const auto found = m_backends.find(id);
  return found == m_backends.end() ? 0 : found->second.running;
}

int Scheduler::PlacesOf(const BackendState& state) const {
  const auto slots = static_cast<std::size_t>(std::max(state.backend.slots, 1));
  if (m_share_count == 1) return static_cast<int>(slots);
  // The remainder goes to other instances for each backend server, so that no instance has more.
  const std::size_t turn = (m_share_index + StableHash(state.backend.id.Text())) % m_share_count;
  return static_cast<int>(slots / m_share_count + (turn < slots % m_share_count ? 1 : 0));
}

Scheduler::Capacity Scheduler::Survey(const ServiceName& service, TimePoint now) const {
  Capacity capacity;
  capacity.fastest.decode_ms_per_token = std::numeric_limits<double>::max();
  const auto ids = m_by_service.find(service);
  if (ids == m_by_service.end()) return capacity;
  std::vector<const BackendState*> present;
  for (const BackendId& id : ids->second) {
    const BackendState& state = m_backends.at(id);
    if (state.backend.is_draining) continue;
    capacity.has_any = true;
    if (state.avoid_until > now) continue;
    present.push_back(&state);
    capacity.failures += state.failures.At(now);
  }
  if (!present.empty()) capacity.failures /= static_cast<double>(present.size());
  std::vector<std::pair<int, double>> places;
  for (const BackendState* entry : present) {
    const BackendState& state = *entry;
    const bool is_ejected =
        LimitOf(state.failures.At(now) - capacity.failures) == FailureLimit::kTrialsOnly;
    // A place for the next trial.
    const int count = is_ejected ? 1 : PlacesOf(state);
    capacity.free_places += std::max(count - state.running, 0);
    if (is_ejected) continue;
    capacity.places += count;
    places.emplace_back(count, state.speed.decode_ms_per_token);
    if (state.speed.decode_ms_per_token < capacity.fastest.decode_ms_per_token)
      capacity.fastest = state.speed;
  }
  for (const auto& [count, speed] : places)
    capacity.fast_places += count * capacity.fastest.decode_ms_per_token / speed;
  if (places.empty()) capacity.fastest = SpeedModel{};
  capacity.fastest.reading_ratio = m_reading_ratio;
  return capacity;
}

double Scheduler::CostOf(const RequestInfo& work, const SpeedModel& speed) const {
  return speed.ReadingMs(work.prompt_tokens) +
         speed.DecodingMs(work.output_tokens) * kInterference + 1;
}

void Scheduler::Appraise(Waiting& waiting) {
  const RequestInfo& work = waiting.work;
  SpeedModel speed;
  speed.reading_ratio = m_reading_ratio;
  waiting.cost_ms = CostOf(work, speed);
  waiting.balance = &m_balances[WorkKind{work.service, work.route, work.rank}];
  const auto tokens =
      static_cast<double>(work.prompt_tokens + kOutputWeight * work.output_tokens) + 1;
  waiting.size = waiting.balance->Observe(tokens);
  waiting.balance->CountResult(waiting.size, kOffered);
  const double size = std::min(tokens / waiting.balance->MeanSize(), kLargestRelativeSize);
  waiting.value = std::pow(kRankWeight, work.rank) * (kFixedValue + (1 - kFixedValue) * size);
}

bool Scheduler::IsLate(const RequestInfo& work, const Capacity& capacity, TimePoint now) {
  const double first_ms = capacity.fastest.ReadingMs(work.prompt_tokens);
  return MillisOf(now - work.arrived) + first_ms > MillisOf(work.latency_objective);
}

std::vector<Scheduler::Ranked> Scheduler::Rank(const std::vector<Waiting*>& queue,
                                               const Capacity& capacity, TimePoint now) {
  std::vector<Ranked> ranked;
  ranked.reserve(queue.size());
  for (Waiting* waiting : queue) {
    const bool is_late = IsLate(waiting->work, capacity, now);
    const double score = waiting->value / waiting->cost_ms * (is_late ? kLateValue : 1);
    ranked.push_back({waiting, score, 1, is_late});
  }
  RaiseOwed(ranked);
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    if (a.score != b.score) return a.score > b.score;
    return a.waiting->Arrival() < b.waiting->Arrival();
  });
  return ranked;
}

void Scheduler::RaiseOwed(std::vector<Ranked>& ranked) {
  struct Owed {
    double best = 0;  ///< score of the best of the kind
    std::array<double, kSizeGroupCount> count{};
  };
  std::map<const SizeBalance*, Owed> kinds;
  bool is_any_owed = false;
  for (const Ranked& entry : ranked) {
    const SizeBalance* balance = entry.waiting->balance;
    const auto [found, is_new] = kinds.try_emplace(balance);
    Owed& owed = found->second;
    owed.best = std::max(owed.best, entry.score);
    if (!is_new) continue;
    for (std::size_t i = 0; i < kSizeGroupCount; ++i) {
      owed.count.at(i) = balance->DeficitOf(static_cast<SizeGroup>(i));
      is_any_owed = is_any_owed || owed.count.at(i) > 0;
    }
  }
  if (!is_any_owed) return;
  // In order of arrival, since an order of value would leave out the largest of each size.
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    if (a.is_late != b.is_late) return b.is_late;
    return a.waiting->Arrival() < b.waiting->Arrival();
  });
  for (Ranked& entry : ranked) {
    Owed& owed = kinds.at(entry.waiting->balance);
    double& count = owed.count.at(static_cast<std::size_t>(entry.waiting->size));
    if (count <= 0) continue;
    --count;
    entry.raise = owed.best / entry.score;
    entry.score = owed.best;
  }
}

bool Scheduler::FitsBeside(const BackendState& state, const RequestInfo& work) const {
  const int streaming = state.running - state.reading;
  if (work.max_event_gap == Millis{0} || streaming == 0) return true;
  return state.speed.PauseMs(state.unread_tokens + work.prompt_tokens) <=
         MillisOf(work.max_event_gap) * kPausePart;
}

bool Scheduler::Capacity::IsScarce() const { return free_places < places * (1 - kScarcePart); }

Scheduler::BackendState* Scheduler::Choose(const RequestInfo& work, const Capacity& capacity,
                                           bool is_late, TimePoint now) {
  const bool is_scarce = capacity.IsScarce();
  BackendState* best = nullptr;
  double best_ms = std::numeric_limits<double>::max();
  const double waited_ms = MillisOf(now - work.arrived) + MillisOf(kTravel);
  const double first_bound_ms =
      (is_late ? MillisOf(work.patience) * kPatiencePart : MillisOf(work.latency_objective)) -
      waited_ms;
  const double whole_bound_ms =
      std::max(MillisOf(work.deadline - now) * kDeadlinePart,
               CostOf(work, capacity.fastest) / kInterference * kNearlyFastest);
  for (const BackendId& id : m_by_service.at(work.service)) {
    BackendState& state = m_backends.at(id);
    if (state.backend.is_draining || work.excluded_backends.contains(id) ||
        state.avoid_until > now || state.running >= PlacesOf(state))
      continue;
    const double excess = state.failures.At(now) - capacity.failures;
    if (IsKeptOut(state, work, LimitOf(excess), now)) continue;
    const double penalty_ms = std::max(excess - kFailureMargin, 0.0) * kFailurePenaltyMs;
    if (!state.is_engine) {
      const double load = state.running + penalty_ms;
      if (load >= best_ms) continue;
      best = &state;
      best_ms = load;
      continue;
    }
    state.speed.reading_ratio = m_reading_ratio;
    const std::int64_t needed = work.prompt_tokens + work.output_tokens;
    if (state.kv_cache_tokens > 0 && state.running > 0 &&
        state.reserved_tokens + needed > state.kv_cache_tokens)
      continue;
    const double first_ms = state.speed.ReadingMs(state.unread_tokens + work.prompt_tokens);
    const double whole_ms = first_ms + state.speed.DecodingMs(work.output_tokens);
    if (first_ms > first_bound_ms || whole_ms > whole_bound_ms) continue;
    if (!FitsBeside(state, work)) continue;
    // While places are short, work that a slow backend server can still answer on time goes there.
    const double ms =
        penalty_ms + (is_scarce ? whole_ms - state.speed.decode_ms_per_token * 1e6 : whole_ms);
    if (ms >= best_ms) continue;
    best = &state;
    best_ms = ms;
  }
  return best;
}

FailureLimit Scheduler::LimitOf(double excess) {
  if (excess > kEjectMargin) return FailureLimit::kTrialsOnly;
  return excess > kLimitMargin ? FailureLimit::kOneAtATime : FailureLimit::kNone;
}

bool Scheduler::IsKeptOut(const BackendState& state, const RequestInfo& work, FailureLimit limit,
                          TimePoint now) {
  if (limit == FailureLimit::kNone) return false;
  if (state.running > 0) return true;
  // A trial costs its caller little when the request can be sent elsewhere after a failure.
  return limit == FailureLimit::kTrialsOnly && (now < state.next_trial || !work.is_retryable);
}

void Scheduler::ReportLimits(const ServiceName& service, double mean, TimePoint now,
                             Decisions& decisions) {
  for (const BackendId& id : m_by_service.at(service)) {
    BackendState& state = m_backends.at(id);
    const double rate = state.failures.At(now);
    const FailureLimit limit = LimitOf(rate - mean);
    if (std::exchange(state.limit, limit) != limit)
      decisions.limit_changes.push_back({id, limit, rate, mean});
  }
}

void Scheduler::Start(const RequestInfo& work, BackendState& state, TimePoint now) {
  ++state.running;
  state.next_trial = now + kTrialPeriod;
  ++state.reading;
  state.unread_tokens += work.prompt_tokens;
  state.reserved_tokens += work.prompt_tokens + work.output_tokens;
  m_runs.emplace(work.id, Run{work, state.backend.id, true, state.unread_tokens, now});
}

void Scheduler::Refuse(const Waiting& waiting, RefusalReason reason, Millis retry_after,
                       const DecisionInputs& inputs, Decisions& decisions) {
  const RequestInfo& work = waiting.work;
  waiting.balance->CountResult(waiting.size, NameOf(reason));
  decisions.refusals.push_back({work.id, work.home, reason, retry_after, work.organisation,
                                work.is_retry ? 0 : work.quota_cost, inputs});
  m_waiting.erase(AttemptId(work.id));
}

void Scheduler::NoteNext(TimePoint at) {
  if (!m_next || at < *m_next) m_next = at;
}

void Scheduler::DecideService(const ServiceName& service, std::vector<Waiting*> queue,
                              TimePoint now, AdmissionControl& gate, Decisions& decisions) {
  Capacity capacity = Survey(service, now);
  if (!capacity.has_any) {
    for (const Waiting* waiting : queue)
      Refuse(*waiting, RefusalReason::kNoBackend, kRetryNoBackend,
             {queue.size(), 0, 0, 0, waiting->size, 1}, decisions);
    return;
  }
  ReportLimits(service, capacity.failures, now, decisions);
  const std::vector<Ranked> order = Rank(queue, capacity, now);
  double ahead_ms = 0;
  const double speedup = capacity.fastest.decode_ms_per_token / kInitialDecodeMsPerToken;
  const double drain_rate = std::max(capacity.fast_places, 1.0);
  for (const auto& [waiting, score, raise, is_late] : order) {
    const RequestInfo& work = waiting->work;
    const double first_ms = capacity.fastest.ReadingMs(work.prompt_tokens);
    const double waited_ms = MillisOf(now - work.arrived);
    const double left_ms = MillisOf(work.deadline - now);
    // A run that is broken off at the deadline would take its place from several others. Part of a
    // repeat may have been answered before.
    const bool is_too_long =
        capacity.IsScarce() && !work.is_retry && CostOf(work, capacity.fastest) > left_ms;
    BackendState* state =
        capacity.free_places > 0 && !is_too_long ? Choose(work, capacity, is_late, now) : nullptr;
    if (state != nullptr && gate.TryAdmit(work, now)) {
      --capacity.free_places;
      decisions.grants.push_back(
          {work.id,
           work.home,
           state->backend.id,
           {order.size(), capacity.places, capacity.free_places, waited_ms, waiting->size, raise}});
      Start(work, *state, now);
      waiting->balance->CountResult(waiting->size, kGranted);
      Run& run = m_runs.at(work.id);
      run.balance = waiting->balance;
      run.size = waiting->size;
      waiting->balance->RecordGrant(waiting->size, now);
      m_waiting.erase(AttemptId(work.id));
      continue;
    }
    const double wait_ms = ahead_ms / drain_rate * kWaitMargin;
    const double longest_ms = MillisOf(work.patience) * kPatiencePart - first_ms - waited_ms;
    const bool is_hopeless = longest_ms <= 0 || left_ms <= first_ms || is_too_long;
    if (is_hopeless || (waiting->is_new && wait_ms > longest_ms)) {
      waiting->balance->RecordRefusal(waiting->size, now);
      const Millis wait = std::clamp(ToMillis(wait_ms), kLeastRetryAfter, kLargestRetryAfter);
      Refuse(*waiting, is_hopeless ? RefusalReason::kTooLate : RefusalReason::kOverloaded,
             Spread(wait, work.id),
             {order.size(), capacity.places, capacity.free_places, wait_ms, waiting->size, raise},
             decisions);
      continue;
    }
    waiting->is_new = false;
    ahead_ms += waiting->cost_ms * speedup;
    NoteNext(now + ToMillis(std::max(std::min(longest_ms, left_ms - first_ms), 1.0)));
    // Engines that are reading may be able to take more work before any run has ended.
    if (capacity.free_places > 0) NoteNext(now + kReconsiderPeriod);
  }
}

Decisions Scheduler::Decide(TimePoint now, AdmissionControl& gate) {
  Decisions decisions;
  m_next.reset();
  JudgeSilentRuns(now);
  std::map<ServiceName, std::vector<Waiting*>> queues;
  for (auto& [id, waiting] : m_waiting) queues[waiting.work.service].push_back(&waiting);
  for (auto& [service, queue] : queues)
    DecideService(service, std::move(queue), now, gate, decisions);
  return decisions;
}

}  // namespace bluebellpass::gateway
