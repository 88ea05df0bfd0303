#include "decision-log.h"

#include <cstdint>
#include <string>

#include "bluebellpass/event.h"

namespace bluebellpass::gateway {

void LogDecisions(const Decisions& decisions, const Scheduler& queue) {
  const auto number = [](auto value) { return static_cast<std::int64_t>(value); };
  for (const Grant& grant : decisions.grants) {
    LogEvent(EventId::kWorkGranted, {{"request", grant.id.Text()},
                                     {"home", grant.home.Text()},
                                     {"backend", grant.backend.Text()},
                                     {"running", number(queue.RunningOn(grant.backend))},
                                     {"waited_ms", number(grant.inputs.wait_ms)},
                                     {"waiting", number(grant.inputs.waiting)},
                                     {"free_places", number(grant.inputs.free_places)}});
  }
  for (const LimitChange& change : decisions.limits) {
    LogEvent(EventId::kBackendLimited, {{"backend", change.backend.Text()},
                                        {"limit", std::string(NameOf(change.limit))},
                                        {"failure_percent", number(change.failure_rate * 100)},
                                        {"mean_percent", number(change.mean_rate * 100)}});
  }
  for (const Refusal& refusal : decisions.refusals) {
    LogEvent(EventId::kWorkRefused, {{"request", refusal.id.Text()},
                                     {"home", refusal.home.Text()},
                                     {"reason", std::string(NameOf(refusal.reason))},
                                     {"predicted_wait_ms", number(refusal.inputs.wait_ms)},
                                     {"waiting", number(refusal.inputs.waiting)},
                                     {"places", number(refusal.inputs.places)},
                                     {"free_places", number(refusal.inputs.free_places)},
                                     {"retry_after_ms", refusal.retry_after.count()}});
  }
}

}  // namespace bluebellpass::gateway
