#include "rollout-controller.h"

#include <algorithm>
#include <set>

namespace bluebellpass::gateway {
namespace {

// How long old backend servers stay excluded after their order was done, while their entries lapse.
constexpr Millis kOldExclusionTime{30'000};
constexpr Millis kDecisionPeriod{50};
// Verdicts about unknown orders that are kept, until the order is read.
constexpr std::size_t kMaxEarlyVerdicts = 16;
constexpr char kShareSalt[] = "rollout-share";
constexpr char kPackSalt[] = "rollout-pack";

/// @return a number in [0, 1) that depends on the id only
double FractionOf(const AttemptId& id, std::string_view salt) {
  // The upper bits of the hash of short texts are not uniform without the multiplication.
  const std::uint64_t mixed = StableHash(id.Text(), StableHash(salt)) * 0x9E3779B97F4A7C15ULL;
  return static_cast<double>(mixed >> 11U) * 0x1.0p-53;
}

}  // namespace

std::string_view NameOf(RolloutState state) {
  switch (state) {
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kDone:
      return "done";
    case RolloutState::kReverted:
      return "reverted";
  }
  return "";
}

std::string_view NameOf(RolloutPhase phase) {
  return phase == RolloutPhase::kProbing ? "probing" : "switching";
}

struct RolloutController::ServiceState {
  std::map<BackendId, Backend> backends;
  std::set<SoftwareVersion> known;      ///< versions that ran without an order
  std::set<SoftwareVersion> withdrawn;  ///< targets whose order was deleted or replaced
  std::unique_ptr<ServiceRollout> rollout;
  std::size_t old_runs = 0;
  /// Versions that were replaced, excluded until the time.
  std::set<SoftwareVersion> replaced;
  TimePoint replaced_until{};
  RolloutState noted_state = RolloutState::kRunning;
  RolloutPhase noted_phase = RolloutPhase::kProbing;

  bool IsTarget(const SoftwareVersion& version) const {
    return rollout && rollout->Order().target == version;
  }
  VersionSlots Slots() const {
    VersionSlots slots;
    for (const auto& [id, backend] : backends) {
      if (backend.is_draining) continue;
      (IsTarget(backend.version) ? slots.target : slots.old) += std::max(backend.slots, 1);
    }
    return slots;
  }
  bool HasBackendOf(const SoftwareVersion& version) const {
    return std::any_of(backends.begin(), backends.end(),
                       [&](const auto& entry) { return entry.second.version == version; });
  }
  /// @return true if the service has backend servers of one version only
  bool HasOneVersion() const {
    return std::all_of(backends.begin(), backends.end(), [&](const auto& entry) {
      return entry.second.version == backends.begin()->second.version;
    });
  }
};

RolloutController::RolloutController() = default;
RolloutController::~RolloutController() = default;

void RolloutController::SetBounds(const std::optional<RolloutBounds>& bounds) { m_bounds = bounds; }

bool RolloutController::IsEnabled() const { return m_bounds.has_value(); }

RolloutController::ServiceState& RolloutController::StateOf(const ServiceName& service) {
  auto& state = m_services[service];
  if (!state) state = std::make_unique<ServiceState>();
  return *state;
}

const RolloutController::ServiceState* RolloutController::FindState(
    const ServiceName& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : found->second.get();
}

bool RolloutController::IsKnownEntry(const Backend& backend) const {
  return m_seen_revision && m_seen_revision->Value() >= backend.revision;
}

void RolloutController::UpdateKnownVersions(ServiceState& state) {
  for (const auto& [id, backend] : state.backends)
    if (IsKnownEntry(backend) && !state.IsTarget(backend.version) &&
        !state.withdrawn.contains(backend.version))
      state.known.insert(backend.version);
}

void RolloutController::SetEntry(const RolloutEntry& read, TimePoint now) {
  if (!IsEnabled()) return;
  RolloutEntry entry = read;
  // The status of an order that this one has replaced.
  if (entry.status && entry.status->target != entry.order.target) entry.status.reset();
  ServiceState& state = StateOf(entry.order.service);
  if (state.rollout && state.IsTarget(entry.order.target) &&
      state.rollout->Order().created == entry.order.created) {
    state.rollout->OnEntry(entry, now);
    return NoteChange(state, now);
  }
  if (state.rollout && state.rollout->State() != RolloutState::kDone)
    state.withdrawn.insert(state.rollout->Order().target);
  state.withdrawn.erase(entry.order.target);
  const bool ran_before = state.known.contains(entry.order.target);
  state.rollout = std::make_unique<ServiceRollout>(entry, *m_bounds, now);
  state.rollout->SetCoordinating(m_is_coordinator && m_has_majority, now);
  if (ran_before && state.HasOneVersion()) state.rollout->SetNothingToDo();
  state.noted_state = state.rollout->State();
  state.noted_phase = state.rollout->Phase();
  m_changes.push_back(SummaryOf(state, now));
  const auto early = m_early_verdicts;
  for (const RolloutVerdict& verdict : early)
    if (verdict.service == entry.order.service) MergeVerdict(verdict, now);
  m_next_decision = now;
}

void RolloutController::RemoveEntry(const ServiceName& service, TimePoint now) {
  const auto found = m_services.find(service);
  if (found == m_services.end() || !found->second->rollout) return;
  ServiceState& state = *found->second;
  RolloutSummary summary = SummaryOf(state, now);
  if (state.rollout->State() != RolloutState::kDone) {
    state.withdrawn.insert(state.rollout->Order().target);
    summary.reason = "the order was withdrawn";
    m_changes.push_back(summary);
  }
  state.rollout.reset();
}

void RolloutController::SetSeenRevision(Revision revision) {
  if (m_seen_revision && revision <= *m_seen_revision) return;
  m_seen_revision = revision;
  for (auto& [service, state] : m_services) UpdateKnownVersions(*state);
}

void RolloutController::SetBackend(const Backend& backend, TimePoint) {
  if (!IsEnabled()) return;
  ServiceState& state = StateOf(backend.service);
  state.backends[backend.id] = backend;
  UpdateKnownVersions(state);
}

void RolloutController::RemoveBackend(const BackendId& id, TimePoint) {
  for (auto& [service, state] : m_services) {
    const auto removed = state->backends.extract(id);
    if (removed.empty()) continue;
    const SoftwareVersion& version = removed.mapped().version;
    if (!state->HasBackendOf(version)) state->withdrawn.erase(version);
  }
}

void RolloutController::SetRole(bool is_coordinator, bool has_majority, TimePoint now) {
  m_is_coordinator = is_coordinator;
  m_has_majority = has_majority;
  for (auto& [service, state] : m_services)
    if (state->rollout) state->rollout->SetCoordinating(is_coordinator && has_majority, now);
}

VersionUse RolloutController::UseByOrder(const ServiceState& state, const Backend& backend,
                                         TimePoint now) const {
  const ServiceRollout& rollout = *state.rollout;
  if (state.IsTarget(backend.version)) {
    if (rollout.State() == RolloutState::kReverted) return VersionUse::kExcluded;
    if (rollout.State() == RolloutState::kDone || rollout.IsTargetOnly(now))
      return VersionUse::kAllowed;
    // A target that ran alone before the order.
    if (state.known.contains(backend.version) && state.HasOneVersion()) return VersionUse::kAllowed;
    // An instance that decides alone does not know what others have sent.
    const bool decides_alone = m_is_coordinator && !m_has_majority;
    return decides_alone ? VersionUse::kExcluded : VersionUse::kProbe;
  }
  // A follower sends what the coordinator has granted while the target takes over.
  if (m_is_coordinator && rollout.State() == RolloutState::kRunning && rollout.IsTargetOnly(now))
    return VersionUse::kStreamsOnly;
  return VersionUse::kAllowed;
}

VersionUse RolloutController::UseOf(const Backend& backend, TimePoint now) const {
  if (!IsEnabled() || backend.version.IsEmpty()) return VersionUse::kAllowed;
  const ServiceState* state = FindState(backend.service);
  if (state == nullptr) return VersionUse::kAllowed;
  if (state->withdrawn.contains(backend.version)) return VersionUse::kExcluded;
  if (now < state->replaced_until && state->replaced.contains(backend.version))
    return VersionUse::kExcluded;
  const bool is_named = state->IsTarget(backend.version);
  const bool is_known = state->known.contains(backend.version) || IsKnownEntry(backend) ||
                        (!m_seen_revision && state->HasOneVersion());
  // An order that names the version may not have been read yet.
  if (!is_named && !is_known) return VersionUse::kExcluded;
  return state->rollout ? UseByOrder(*state, backend, now) : VersionUse::kAllowed;
}

bool RolloutController::IsRestricted(const ServiceName& service) const {
  if (!IsEnabled()) return false;
  const ServiceState* state = FindState(service);
  if (state == nullptr) return false;
  if (state->rollout || !state->withdrawn.empty() || !state->replaced.empty()) return true;
  return !std::all_of(state->backends.begin(), state->backends.end(), [&](const auto& entry) {
    return state->known.contains(entry.second.version);
  });
}

bool RolloutController::WantsTarget(const ServiceName& service, const AttemptId& id,
                                    TimePoint now) const {
  const ServiceState* state = FindState(service);
  if (state == nullptr || !state->rollout) return false;
  return FractionOf(id, kShareSalt) < state->rollout->Share(IsPacked(id), now);
}

bool RolloutController::MayProbe(const ServiceName& service, const AttemptId& id,
                                 TimePoint now) const {
  const ServiceState* state = FindState(service);
  return state != nullptr && state->rollout && state->rollout->Share(IsPacked(id), now) > 0;
}

bool RolloutController::IsPacked(const AttemptId& id) { return FractionOf(id, kPackSalt) < 0.5; }

bool RolloutController::TakeExposure(const ServiceName& service, const AttemptId& id,
                                     TimePoint now) {
  const auto found = m_services.find(service);
  if (found == m_services.end() || !found->second->rollout) return false;
  return found->second->rollout->TakeExposure(IsPacked(id), now);
}

void RolloutController::RecordGrant(const Backend& backend) {
  const auto found = m_services.find(backend.service);
  if (found == m_services.end() || !found->second->rollout) return;
  found->second->rollout->RecordGrant();
}

void RolloutController::RecordResult(const ServiceName& service, const VersionResult& result,
                                     TimePoint now) {
  const auto found = m_services.find(service);
  if (found == m_services.end() || !found->second->rollout) return;
  ServiceState& state = *found->second;
  const auto backend = state.backends.find(result.backend);
  if (backend == state.backends.end()) return;
  const bool is_target = state.IsTarget(backend->second.version);
  state.rollout->RecordResult(is_target ? VersionGroup::kTarget : VersionGroup::kOld, result, now);
}

void RolloutController::SetOldRuns(const ServiceName& service, std::size_t count) {
  const auto found = m_services.find(service);
  if (found != m_services.end()) found->second->old_runs = count;
}

std::vector<RolloutOrder> RolloutController::RunningOrders() const {
  std::vector<RolloutOrder> orders;
  for (const auto& [service, state] : m_services)
    if (state->rollout && state->rollout->State() == RolloutState::kRunning)
      orders.push_back(state->rollout->Order());
  return orders;
}

bool RolloutController::HasUnfinishedOrders() const {
  return std::any_of(m_services.begin(), m_services.end(), [](const auto& entry) {
    const auto& rollout = entry.second->rollout;
    return rollout && (rollout->State() == RolloutState::kRunning || !rollout->IsStateStored());
  });
}

void RolloutController::NoteChange(ServiceState& state, TimePoint now) {
  const ServiceRollout& rollout = *state.rollout;
  if (state.noted_state == rollout.State() && state.noted_phase == rollout.Phase()) return;
  if (state.noted_state != rollout.State()) {
    if (rollout.State() == RolloutState::kDone) {
      for (const auto& [id, backend] : state.backends)
        if (!state.IsTarget(backend.version)) state.replaced.insert(backend.version);
      state.replaced_until = now + kOldExclusionTime;
      state.known.insert(rollout.Order().target);
    }
    m_new_verdicts.push_back({rollout.Order().service, rollout.Order().target,
                              rollout.Order().created, rollout.State()});
  }
  state.noted_state = rollout.State();
  state.noted_phase = rollout.Phase();
  m_changes.push_back(SummaryOf(state, now));
}

void RolloutController::Decide(TimePoint now) {
  if (!IsEnabled() || now < m_next_decision) return;
  m_next_decision = now + kDecisionPeriod;
  for (auto& [service, state] : m_services) {
    if (!state->replaced.empty() && now >= state->replaced_until) state->replaced.clear();
    if (!state->rollout) continue;
    state->rollout->Decide(state->Slots(), state->old_runs, now);
    NoteChange(*state, now);
  }
}

std::vector<RolloutVerdict> RolloutController::TakeVerdicts() {
  return std::exchange(m_new_verdicts, {});
}

std::vector<RolloutSummary> RolloutController::TakeChanges() {
  return std::exchange(m_changes, {});
}

std::vector<RolloutStatusWrite> RolloutController::TakeStatusWrites(TimePoint now) {
  std::vector<RolloutStatusWrite> writes;
  for (auto& [service, state] : m_services) {
    if (!state->rollout) continue;
    if (auto status = state->rollout->TakeStatusWrite(now))
      writes.push_back({service, state->rollout->ExpectedRevision(), *std::move(status)});
  }
  return writes;
}

void RolloutController::OnStatusWritten(const ServiceName& service, const Result<Revision>& result,
                                        TimePoint now) {
  const auto found = m_services.find(service);
  if (found == m_services.end() || !found->second->rollout) return;
  found->second->rollout->OnStatusWritten(result, now);
  NoteChange(*found->second, now);
}

std::optional<TimePoint> RolloutController::NextDecision() const {
  if (RunningOrders().empty()) return std::nullopt;
  return m_next_decision;
}

std::vector<RolloutVerdict> RolloutController::Verdicts() const {
  std::vector<RolloutVerdict> verdicts = m_early_verdicts;
  for (const auto& [service, state] : m_services) {
    if (!state->rollout || state->rollout->State() == RolloutState::kRunning) continue;
    if (state->rollout->IsStateStored()) continue;
    const RolloutOrder& order = state->rollout->Order();
    verdicts.push_back({order.service, order.target, order.created, state->rollout->State()});
  }
  return verdicts;
}

void RolloutController::MergeVerdict(const RolloutVerdict& verdict, TimePoint now) {
  if (!IsEnabled() || verdict.state == RolloutState::kRunning) return;
  ServiceState& state = StateOf(verdict.service);
  const bool is_known =
      state.IsTarget(verdict.target) && state.rollout->Order().created == verdict.created;
  if (!is_known) {
    const auto found = std::find(m_early_verdicts.begin(), m_early_verdicts.end(), verdict);
    if (found != m_early_verdicts.end()) return;
    if (m_early_verdicts.size() == kMaxEarlyVerdicts)
      m_early_verdicts.erase(m_early_verdicts.begin());
    return m_early_verdicts.push_back(verdict);
  }
  std::erase(m_early_verdicts, verdict);
  if (state.rollout->State() != RolloutState::kRunning) return;
  if (verdict.state == RolloutState::kDone) {
    state.rollout->SetDone();
  } else {
    state.rollout->Revert("another instance has reverted it");
  }
  NoteChange(state, now);
}

RolloutSummary RolloutController::SummaryOf(const ServiceState& state, TimePoint now) const {
  const ServiceRollout& rollout = *state.rollout;
  RolloutSummary summary;
  summary.order = rollout.Order();
  summary.state = rollout.State();
  summary.phase = rollout.Phase();
  summary.elapsed = rollout.Elapsed(now);
  summary.share = rollout.Share(false, now);
  summary.target = rollout.CountsOf(VersionGroup::kTarget);
  summary.old = rollout.CountsOf(VersionGroup::kOld);
  summary.exposure_limit = rollout.ExposureLimit();
  summary.total_requests = rollout.TotalRequests();
  summary.reason = rollout.Reason();
  return summary;
}

std::vector<RolloutSummary> RolloutController::Summaries(TimePoint now) const {
  std::vector<RolloutSummary> summaries;
  for (const auto& [service, state] : m_services)
    if (state->rollout) summaries.push_back(SummaryOf(*state, now));
  return summaries;
}

}  // namespace bluebellpass::gateway
