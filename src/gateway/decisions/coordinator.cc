#include "coordinator.h"

#include <algorithm>

namespace bluebellpass::gateway {
namespace {

// After a shorter wait, the caller would retry before the quota covers its request.
constexpr Millis kMinQuotaRetryAfter{100};
// Requests that exceed the quota for at most this long are delayed instead of refused. The same for
// all kinds of request: a delay that grew with the objective would give an organisation's quota to
// its few large requests.
constexpr Millis kMaxQuotaDelay{250};
// Longer than a read of the store usually takes, and shorter than callers wait for a stream.
constexpr Millis kMaxConfirmationWait{1'000};
// A request that ran when this many backend servers crashed does not run again.
constexpr std::uint32_t kCrashesToQuarantine = 2;
// The same for requests with a part of a prompt. Higher, because sound requests may share the part.
constexpr std::uint32_t kCrashesToQuarantinePart = 3;

/// @return what a request carries that may crash the backend server that runs it
std::vector<Fingerprint> ContentsOf(const RequestInfo& request) {
  std::vector<Fingerprint> contents = request.shared_parts;
  contents.emplace_back(request.fingerprint);
  return contents;
}

/// @return true when the request counts against a quota; a retry was counted before its first run
bool IsCounted(const RequestInfo& request) { return request.quota_cost > 0 && !request.is_retry; }

}  // namespace

const Organisation* Coordinator::FindOrganisation(const OrganisationId& id) const {
  if (!m_table || id.IsEmpty()) return nullptr;
  return m_table->FindOrganisationById(id);
}

bool Coordinator::IsQuarantined(const RequestInfo& request) const {
  if (m_crash_records.CrashCount(Fingerprint(request.fingerprint)) >= kCrashesToQuarantine)
    return true;
  return std::any_of(request.shared_parts.begin(), request.shared_parts.end(), [this](auto part) {
    return m_crash_records.CrashCount(part) >= kCrashesToQuarantinePart;
  });
}

void Coordinator::RefuseAsQuarantined(const RequestInfo& request) {
  m_refusals.push_back({request.id, request.home, RefusalReason::kQuarantined, Millis{0}});
}

void Coordinator::RefuseQuarantined() {
  std::vector<RequestInfo> removed = m_scheduler.RemoveWaitingIf(
      [this](const RequestInfo& request) { return IsQuarantined(request); });
  std::erase_if(m_delayed, [&](DelayedRequest& delayed) {
    if (!IsQuarantined(delayed.request)) return false;
    removed.push_back(std::move(delayed.request));
    return true;
  });
  for (const RequestInfo& request : removed) {
    ReleaseReservation(request);
    RefuseAsQuarantined(request);
  }
}

void Coordinator::SetShare(const FleetShare& share) {
  m_scheduler.SetShare(share.slot_index, share.slot_count);
  m_quota.SetShare(share);
}

void Coordinator::Enqueue(RequestInfo request) {
  if (IsCounted(request)) m_quota.Reserve(request.organisation, request.quota_cost);
  m_scheduler.AddRequest(std::move(request));
}

void Coordinator::ReleaseReservation(const RequestInfo& request) {
  if (IsCounted(request)) m_quota.ReleaseReservation(request.organisation, request.quota_cost);
}

std::optional<SoftwareVersion> Coordinator::FindStreamVersion(const RequestInfo& request,
                                                              TimePoint taken_up_at,
                                                              TimePoint now) const {
  const auto origin = m_streams.Find(request.stream, now);
  if (!origin)
    return m_versions.IsConfirmedSince(taken_up_at) ? m_versions.OnlyVersion(request.service, now)
                                                    : std::nullopt;
  // Its route has been moved, and the services' texts do not fit together either.
  if (origin->service != request.service) return std::nullopt;
  return origin->version;
}

const SoftwareVersion* Coordinator::VersionOfRun(const std::optional<SoftwareVersion>& stated,
                                                 const BackendId& backend) const {
  // The backend server may have been removed, or have started again, since the run began.
  return stated ? &*stated : m_scheduler.VersionOf(backend);
}

void Coordinator::RecordStream(const RequestInfo& request, const SoftwareVersion* version) {
  if (request.stream_lifetime == Millis{0} || version == nullptr) return;
  m_streams.Record(request.stream, {request.service, *version},
                   request.arrived + std::min(request.stream_lifetime, kMaxStreamLifetime));
}

void Coordinator::RecordFirstEvent(const AttemptId& id,
                                   const std::optional<SoftwareVersion>& version,
                                   Millis time_to_first_event, TimePoint now) {
  m_scheduler.RecordFirstEvent(id, time_to_first_event, now);
  if (const RequestInfo* request = m_scheduler.FindRunning(id))
    RecordStream(*request, VersionOfRun(version, *m_scheduler.BackendOf(id)));
}

bool Coordinator::MayBeFoundLater(const RequestInfo& request, TimePoint taken_up_at,
                                  TimePoint now) const {
  return !m_versions.IsConfirmedSince(taken_up_at) && now < taken_up_at + kMaxConfirmationWait &&
         !m_streams.Find(request.stream, now) && m_versions.OnlyVersion(request.service, now);
}

void Coordinator::Submit(RequestInfo request, TimePoint now, std::optional<TimePoint> received_at) {
  if (!request.is_taken_up || request.version) return Admit(std::move(request), now);
  m_unconfirmed.push_back({std::move(request), received_at.value_or(now)});
  SubmitConfirmed(now);
}

void Coordinator::SubmitConfirmed(TimePoint now) {
  std::vector<UnconfirmedRequest> waiting;
  for (UnconfirmedRequest& unconfirmed : std::exchange(m_unconfirmed, {})) {
    RequestInfo& request = unconfirmed.request;
    request.version = FindStreamVersion(request, unconfirmed.taken_up_at, now);
    if (request.version) {
      Admit(std::move(request), now);
    } else if (MayBeFoundLater(request, unconfirmed.taken_up_at, now)) {
      waiting.push_back(std::move(unconfirmed));
    } else {
      m_refusals.push_back({request.id, request.home, RefusalReason::kUnknownVersion, Millis{0}});
    }
  }
  m_unconfirmed = std::move(waiting);
}

void Coordinator::Admit(RequestInfo request, TimePoint now) {
  if (IsQuarantined(request)) {
    RefuseAsQuarantined(request);
    return;
  }
  const Organisation* organisation = FindOrganisation(request.organisation);
  if (organisation != nullptr && IsCounted(request)) {
    const Millis wait = m_quota.TimeUntilAvailable(*organisation, request.quota_cost, now);
    if (wait > Millis{0} && wait <= kMaxQuotaDelay) {
      // Without a reservation, smaller requests would take the tokens as the bucket refills.
      m_quota.Reserve(request.organisation, request.quota_cost);
      m_delayed.push_back({std::move(request), now + wait});
      return;
    }
    if (wait > Millis{0}) {
      m_refusals.push_back(
          {request.id, request.home, RefusalReason::kQuota, std::max(wait, kMinQuotaRetryAfter)});
      return;
    }
  }
  Enqueue(std::move(request));
}

bool Coordinator::TryAdmit(const RequestInfo& request, TimePoint now) {
  const Organisation* organisation = FindOrganisation(request.organisation);
  if (organisation == nullptr || !IsCounted(request)) return true;
  if (!m_quota.TryTake(*organisation, request.quota_cost, now)) return false;
  ReleaseReservation(request);
  return true;
}

void Coordinator::RememberGrant(const RequestInfo& request, TimePoint now) {
  const Organisation* organisation = FindOrganisation(request.organisation);
  if (organisation == nullptr || organisation->rate_per_s <= 0 || !IsCounted(request)) return;
  m_grant_history.Record(*organisation, request.quota_cost, now);
}

void Coordinator::EnqueueDelayed(TimePoint now) {
  std::vector<RequestInfo> ready;
  std::erase_if(m_delayed, [&](DelayedRequest& delayed) {
    if (delayed.ready_at > now) return false;
    ready.push_back(std::move(delayed.request));
    return true;
  });
  for (RequestInfo& request : ready) m_scheduler.AddRequest(std::move(request));
}

std::optional<TimePoint> Coordinator::NextDecision() const {
  std::optional<TimePoint> next = m_scheduler.NextDecision();
  for (const DelayedRequest& delayed : m_delayed)
    if (!next || delayed.ready_at < *next) next = delayed.ready_at;
  for (const UnconfirmedRequest& unconfirmed : m_unconfirmed) {
    const TimePoint refused_at = unconfirmed.taken_up_at + kMaxConfirmationWait;
    if (!next || refused_at < *next) next = refused_at;
  }
  if (const auto rollout = m_rollouts.NextDecision(); rollout && (!next || *rollout < *next))
    next = rollout;
  return next;
}

void Coordinator::RemoveHome(const InstanceId& home) {
  std::erase_if(m_unconfirmed, [&](const auto& entry) { return entry.request.home == home; });
  std::erase_if(m_delayed, [&](const DelayedRequest& delayed) {
    if (delayed.request.home != home) return false;
    ReleaseReservation(delayed.request);
    return true;
  });
  for (const RequestInfo& request : m_scheduler.RemoveHome(home)) ReleaseReservation(request);
}

void Coordinator::Withdraw(const AttemptId& id) {
  std::erase_if(m_unconfirmed, [&](const auto& entry) { return entry.request.id == id; });
  std::erase_if(m_delayed, [&](const DelayedRequest& delayed) {
    if (delayed.request.id != id) return false;
    ReleaseReservation(delayed.request);
    return true;
  });
  const RequestInfo* request = m_scheduler.FindWaiting(id);
  if (request == nullptr) return;
  ReleaseReservation(*request);
  m_scheduler.Withdraw(id);
}

void Coordinator::RecordRunEnd(const RequestInfo& request, const BackendId& backend,
                               TimePoint started, RunOutcome outcome, TimePoint now) {
  if (outcome == RunOutcome::kLost)
    m_crash_records.OnRunLost(m_scheduler.StartOf(backend), request.id, started,
                              ContentsOf(request), now);
  if (outcome == RunOutcome::kCompleted) m_crash_records.OnRunCompleted(ContentsOf(request), now);
}

void Coordinator::ReleaseRun(const AttemptId& id, const RunReport& report, TimePoint now) {
  if (const RequestInfo* request = m_scheduler.FindRunning(id))
    RecordRunEnd(*request, *m_scheduler.BackendOf(id), *m_scheduler.StartTimeOf(id), report.outcome,
                 now);
  m_scheduler.ReleaseRun(id, report, now);
}

void Coordinator::OnBackendUnreachable(const BackendId& id, TimePoint now) {
  m_crash_records.OnBackendUnreachable(m_scheduler.StartOf(id), now);
}

void Coordinator::SyncRequests(const InstanceId& home, std::vector<RequestInfo> waiting,
                               const std::vector<RunningRequest>& running, TimePoint now,
                               std::optional<TimePoint> received_at) {
  RemoveHome(home);
  for (const RunningRequest& run : running) {
    m_scheduler.AdoptRun(run.request, run.backend, run.is_prefilling, now);
    if (!run.is_prefilling)
      RecordStream(run.request, VersionOfRun(run.request.version, run.backend));
  }
  for (RequestInfo& request : waiting) {
    // Its home has begun it and continues it.
    if (request.version && !request.is_taken_up) RecordStream(request, &*request.version);
    if (request.is_taken_up && !request.version) {
      Submit(std::move(request), now, received_at);
    } else if (IsQuarantined(request)) {
      RefuseAsQuarantined(request);
    } else {
      Enqueue(std::move(request));
    }
  }
}

void Coordinator::DecideRollouts(TimePoint now) {
  if (!m_rollouts.IsEnabled()) return;
  for (const RolloutOrder& order : m_rollouts.RunningOrders())
    m_rollouts.SetOldRuns(order.service,
                          m_scheduler.RunsAtOtherVersions(order.service, order.target));
  m_rollouts.Decide(now);
}

Decisions Coordinator::Decide(TimePoint now) {
  DecideRollouts(now);
  m_crash_records.RemoveExpired(now);
  CrashUpdate crashes = m_crash_records.TakeChanges();
  if (!crashes.records.empty()) RefuseQuarantined();
  EnqueueDelayed(now);
  SubmitConfirmed(now);
  Decisions decisions = m_scheduler.Decide(now, *this);
  decisions.crashes = std::move(crashes);
  for (const Refusal& refusal : decisions.refusals)
    if (refusal.quota_cost > 0)
      m_quota.ReleaseReservation(refusal.organisation, refusal.quota_cost);
  decisions.refusals.insert(decisions.refusals.end(), m_refusals.begin(), m_refusals.end());
  m_refusals.clear();
  return decisions;
}

}  // namespace bluebellpass::gateway
