#include "rollout-controller.h"

namespace bluebellpass::gateway {

struct RolloutController::Impl {};

RolloutController::RolloutController() : m_impl(std::make_unique<Impl>()) {}
RolloutController::~RolloutController() = default;

void RolloutController::SetBounds(const std::optional<RolloutBounds>&) {}
bool RolloutController::IsEnabled() const { return false; }
void RolloutController::SetEntry(const RolloutEntry&, TimePoint) {}
void RolloutController::RemoveEntry(const ServiceName&, TimePoint) {}
void RolloutController::SetSeenRevision(Revision) {}
void RolloutController::SetBackend(const Backend&, TimePoint) {}
void RolloutController::RemoveBackend(const BackendId&, TimePoint) {}
void RolloutController::SetRole(bool, bool, TimePoint) {}
VersionUse RolloutController::UseOf(const Backend&, TimePoint) const {
  return VersionUse::kAllowed;
}
bool RolloutController::WantsTarget(const ServiceName&, const AttemptId&, TimePoint) {
  return false;
}
bool RolloutController::IsPacked(const AttemptId&) const { return false; }
bool RolloutController::TakeExposure(const ServiceName&, TimePoint) { return false; }
void RolloutController::RecordGrant(const Backend&, const std::string&, TimePoint) {}
void RolloutController::RecordResult(const VersionResult&, TimePoint) {}
void RolloutController::SetOldRuns(const ServiceName&, std::size_t, TimePoint) {}
std::vector<RolloutVerdict> RolloutController::Decide(TimePoint) { return {}; }
std::vector<RolloutStatusWrite> RolloutController::TakeStatusWrites(TimePoint) { return {}; }
void RolloutController::OnStatusWritten(const ServiceName&, const Result<Revision>&, TimePoint) {}
std::optional<TimePoint> RolloutController::NextDecision() const { return std::nullopt; }
std::vector<RolloutVerdict> RolloutController::Verdicts() const { return {}; }
void RolloutController::MergeVerdict(const RolloutVerdict&, TimePoint) {}
std::vector<RolloutSummary> RolloutController::Summaries(TimePoint) const { return {}; }

}  // namespace bluebellpass::gateway
