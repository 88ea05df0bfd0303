#include "decision-log.h"

#include <cstdint>
#include <string>
#include <utility>

#include "bluebellpass/event.h"

namespace bluebellpass::gateway {

namespace {

constexpr Millis kResultsPeriod{1'000};
// Leaves most of the log's rate limit to other lines when there are many routes.
constexpr int kMaxResultLinesPerPeriod = 60;
// Bytes of request ids in the line of one crash.
constexpr std::size_t kMaxSuspectsText = 256;

void WriteResults(const SizeGroupResults& group) {
  const auto count = [&](std::string_view result) {
    const auto found = group.counts.find(result);
    return static_cast<std::int64_t>(found == group.counts.end() ? 0 : found->second);
  };
  LogEvent(EventId::kLoadBySize, {{"service", group.service.Text()},
                                  {"rank", std::int64_t{group.rank}},
                                  {"route", group.route},
                                  {"size", std::string(NameOf(group.size))},
                                  {"offered", count(kOffered)},
                                  {"granted", count(kGranted)},
                                  {"overloaded", count(NameOf(RefusalReason::kOverloaded))},
                                  {"too_late", count(NameOf(RefusalReason::kTooLate))},
                                  {"no_backend", count(NameOf(RefusalReason::kNoBackend))},
                                  {"completed", count(NameOf(RunOutcome::kCompleted))},
                                  {"failed", count(NameOf(RunOutcome::kFailed))},
                                  {"lost", count(NameOf(RunOutcome::kLost))},
                                  {"cancelled", count(NameOf(RunOutcome::kCancelled))},
                                  {"not_run", count(NameOf(RunOutcome::kNotRun))}});
}

}  // namespace

void DecisionLog::Write(const Decisions& decisions, const Scheduler& scheduler, TimePoint now) {
  const auto as_int = [](auto value) { return static_cast<std::int64_t>(value); };
  for (const Grant& grant : decisions.grants) {
    LogEvent(EventId::kWorkGranted, {{"request", grant.id.Text()},
                                     {"home", grant.home.Text()},
                                     {"backend", grant.backend.Text()},
                                     {"running", as_int(scheduler.RunningOn(grant.backend))},
                                     {"waited_ms", as_int(grant.inputs.wait_ms)},
                                     {"waiting", as_int(grant.inputs.waiting)},
                                     {"free_places", as_int(grant.inputs.free_slots)},
                                     {"size", std::string(NameOf(grant.inputs.size))},
                                     {"raise_percent", as_int(grant.inputs.boost * 100)}});
  }
  for (const FailureLimitChange& change : decisions.limit_changes) {
    LogEvent(EventId::kBackendLimited, {{"backend", change.backend.Text()},
                                        {"limit", std::string(NameOf(change.limit))},
                                        {"failure_percent", as_int(change.failure_rate * 100)},
                                        {"mean_percent", as_int(change.mean_failure_rate * 100)}});
  }
  for (const Refusal& refusal : decisions.refusals) {
    LogEvent(EventId::kWorkRefused, {{"request", refusal.id.Text()},
                                     {"home", refusal.home.Text()},
                                     {"reason", std::string(NameOf(refusal.reason))},
                                     {"predicted_wait_ms", as_int(refusal.inputs.wait_ms)},
                                     {"waiting", as_int(refusal.inputs.waiting)},
                                     {"places", as_int(refusal.inputs.slots)},
                                     {"free_places", as_int(refusal.inputs.free_slots)},
                                     {"size", std::string(NameOf(refusal.inputs.size))},
                                     {"raise_percent", as_int(refusal.inputs.boost * 100)},
                                     {"retry_after_ms", refusal.retry_after.count()}});
  }
  for (const CrashRecord& crash : decisions.crashes.records) {
    std::string requests;
    for (const AttemptId& id : crash.requests) {
      if (requests.size() > kMaxSuspectsText) break;
      requests += (requests.empty() ? "" : ",") + id.Text();
    }
    LogEvent(EventId::kBackendCrashed,
             {{"backend", crash.backend.id.Text()},
              {"suspects", requests},
              {"without_event", as_int(crash.requests.size())},
              {"confirmed_after_ms",
               std::chrono::duration_cast<Millis>(crash.confirmed_at - crash.at).count()}});
  }
  if (now < m_next_results_at) return;
  m_next_results_at = now + kResultsPeriod;
  std::vector<SizeGroupResults> results = scheduler.ResultsBySize();
  int written = 0;
  for (std::size_t n = 0; n < results.size() && written < kMaxResultLinesPerPeriod; ++n) {
    const std::size_t i = (m_next_result_index + n) % results.size();
    if (m_last_results.size() == results.size() && m_last_results[i].counts == results[i].counts)
      continue;
    WriteResults(results[i]);
    if (++written == kMaxResultLinesPerPeriod) m_next_result_index = i + 1;
  }
  m_last_results = std::move(results);
}

}  // namespace bluebellpass::gateway
