#include "decision-log.h"

#include <cstdint>
#include <string>
#include <utility>

#include "bluebellpass/event.h"

namespace bluebellpass::gateway {

namespace {

constexpr Millis kSumsPeriod{1'000};
// Leaves most of the log's bound to other lines when there are many routes.
constexpr int kMostSums = 60;

void WriteSums(const SizeGroupResults& report) {
  const auto count = [&](std::string_view result) {
    const auto found = report.counts.find(result);
    return static_cast<std::int64_t>(found == report.counts.end() ? 0 : found->second);
  };
  LogEvent(EventId::kLoadBySize, {{"service", report.service.Text()},
                                  {"rank", std::int64_t{report.rank}},
                                  {"route", report.route},
                                  {"size", std::string(NameOf(report.size))},
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

void DecisionLog::Write(const Decisions& decisions, const Scheduler& queue, TimePoint now) {
  const auto number = [](auto value) { return static_cast<std::int64_t>(value); };
  for (const Grant& grant : decisions.grants) {
    LogEvent(EventId::kWorkGranted, {{"request", grant.id.Text()},
                                     {"home", grant.home.Text()},
                                     {"backend", grant.backend.Text()},
                                     {"running", number(queue.RunningOn(grant.backend))},
                                     {"waited_ms", number(grant.inputs.wait_ms)},
                                     {"waiting", number(grant.inputs.waiting)},
                                     {"free_places", number(grant.inputs.free_slots)},
                                     {"size", std::string(NameOf(grant.inputs.size))},
                                     {"raise_percent", number(grant.inputs.boost * 100)}});
  }
  for (const FailureLimitChange& change : decisions.limit_changes) {
    LogEvent(EventId::kBackendLimited, {{"backend", change.backend.Text()},
                                        {"limit", std::string(NameOf(change.limit))},
                                        {"failure_percent", number(change.failure_rate * 100)},
                                        {"mean_percent", number(change.mean_failure_rate * 100)}});
  }
  for (const Refusal& refusal : decisions.refusals) {
    LogEvent(EventId::kWorkRefused, {{"request", refusal.id.Text()},
                                     {"home", refusal.home.Text()},
                                     {"reason", std::string(NameOf(refusal.reason))},
                                     {"predicted_wait_ms", number(refusal.inputs.wait_ms)},
                                     {"waiting", number(refusal.inputs.waiting)},
                                     {"places", number(refusal.inputs.slots)},
                                     {"free_places", number(refusal.inputs.free_slots)},
                                     {"size", std::string(NameOf(refusal.inputs.size))},
                                     {"raise_percent", number(refusal.inputs.boost * 100)},
                                     {"retry_after_ms", refusal.retry_after.count()}});
  }
  if (now < m_next_sums) return;
  m_next_sums = now + kSumsPeriod;
  std::vector<SizeGroupResults> sums = queue.ResultsBySize();
  int written = 0;
  for (std::size_t n = 0; n < sums.size() && written < kMostSums; ++n) {
    const std::size_t i = (m_first_sum + n) % sums.size();
    if (m_sums.size() == sums.size() && m_sums[i].counts == sums[i].counts) continue;
    WriteSums(sums[i]);
    if (++written == kMostSums) m_first_sum = i + 1;
  }
  m_sums = std::move(sums);
}

}  // namespace bluebellpass::gateway
