#include "coordinator.h"

#include <algorithm>

namespace bluebellpass::gateway {
namespace {

// Shorter waits would bring the caller back before the bucket holds its request.
constexpr Millis kLeastQuotaWait{100};
// A shorter wait is spent here instead of at the caller. The same for all kinds of request: a limit
// that grew with the objective would give an organisation's quota to its few large requests.
constexpr Millis kLongestHold{250};
// A backend server that broke off a run and refuses connections within this time has died.
constexpr Millis kDeathConfirmed{3'000};

/// @return true when work counts against a quota; a repeat was counted when it first ran
bool IsCounted(const RequestInfo& work) { return work.quota_cost > 0 && !work.is_retry; }

}  // namespace

const Organisation* Coordinator::Find(const OrganisationId& id) const {
  if (!m_table || id.IsEmpty()) return nullptr;
  return m_table->FindOrganisationById(id);
}

void Coordinator::SetShare(std::size_t index, std::size_t count) {
  m_scheduler.SetShare(index, count);
  m_quota.SetShare(1.0 / static_cast<double>(std::max<std::size_t>(count, 1)));
}

void Coordinator::Enqueue(RequestInfo work) {
  if (IsCounted(work)) m_quota.Reserve(work.organisation, work.quota_cost);
  m_scheduler.AddRequest(std::move(work));
}

void Coordinator::Dequeue(const RequestInfo& work) {
  if (IsCounted(work)) m_quota.ReleaseReservation(work.organisation, work.quota_cost);
}

void Coordinator::Submit(RequestInfo work, TimePoint now) {
  if (m_suspects.IsQuarantined(Fingerprint(work.fingerprint), now)) {
    m_refusals.push_back({work.id, work.home, RefusalReason::kQuarantined, Millis{0}});
    return;
  }
  const Organisation* organisation = Find(work.organisation);
  if (organisation != nullptr && IsCounted(work)) {
    const Millis wait = m_quota.TimeUntilAvailable(*organisation, work.quota_cost, now);
    if (wait > Millis{0} && wait <= kLongestHold) {
      // Its tokens are reserved from now on, or smaller requests would take them as they flow in.
      m_quota.Reserve(work.organisation, work.quota_cost);
      m_held.push_back({std::move(work), now + wait});
      return;
    }
    if (wait > Millis{0}) {
      m_refusals.push_back(
          {work.id, work.home, RefusalReason::kQuota, std::max(wait, kLeastQuotaWait)});
      return;
    }
  }
  Enqueue(std::move(work));
}

bool Coordinator::TryAdmit(const RequestInfo& work, TimePoint now) {
  const Organisation* organisation = Find(work.organisation);
  if (organisation == nullptr || !IsCounted(work)) return true;
  if (!m_quota.TryTake(*organisation, work.quota_cost, now)) return false;
  Dequeue(work);
  return true;
}

void Coordinator::AdmitHeld(TimePoint now) {
  std::vector<RequestInfo> ready;
  std::erase_if(m_held, [&](Held& held) {
    if (held.ready_at > now) return false;
    ready.push_back(std::move(held.work));
    return true;
  });
  for (RequestInfo& work : ready) m_scheduler.AddRequest(std::move(work));
}

std::optional<TimePoint> Coordinator::NextDecision() const {
  std::optional<TimePoint> next = m_scheduler.NextDecision();
  for (const Held& held : m_held)
    if (!next || held.ready_at < *next) next = held.ready_at;
  return next;
}

void Coordinator::RemoveHome(const InstanceId& home) {
  std::erase_if(m_held, [&](const Held& held) {
    if (held.work.home != home) return false;
    Dequeue(held.work);
    return true;
  });
  for (const RequestInfo& work : m_scheduler.RemoveHome(home)) Dequeue(work);
}

void Coordinator::Withdraw(const AttemptId& id) {
  std::erase_if(m_held, [&](const Held& held) {
    if (held.work.id != id) return false;
    Dequeue(held.work);
    return true;
  });
  const RequestInfo* work = m_scheduler.FindWaiting(id);
  if (work == nullptr) return;
  Dequeue(*work);
  m_scheduler.RemoveWaiting(id);
}

void Coordinator::Release(const AttemptId& id, const RunReport& report, TimePoint now) {
  const BackendId* backend = m_scheduler.BackendOf(id);
  if (report.outcome == RunOutcome::kLost && backend != nullptr &&
      !m_possible_deaths.contains(*backend)) {
    // Of all runs that a death breaks off, the one that began last is the likely cause.
    if (const RequestInfo* newest = m_scheduler.NewestPrefilling(*backend))
      m_possible_deaths[*backend] = {newest->fingerprint, now};
  }
  if (report.outcome == RunOutcome::kCompleted) {
    if (const RequestInfo* work = m_scheduler.FindRunning(id))
      m_suspects.OnRunCompleted(Fingerprint(work->fingerprint), now);
  }
  m_scheduler.Release(id, report, now);
}

void Coordinator::OnBackendUnreachable(const BackendId& id, TimePoint now) {
  const auto found = m_possible_deaths.find(id);
  if (found == m_possible_deaths.end()) return;
  const PossibleDeath death = found->second;
  m_possible_deaths.erase(found);
  if (now - death.at < kDeathConfirmed)
    m_suspects.OnBackendDeath({Fingerprint(death.fingerprint)}, now);
}

void Coordinator::Sync(const InstanceId& home, std::vector<RequestInfo> waiting,
                       const std::vector<RunningRequest>& running, TimePoint now) {
  RemoveHome(home);
  for (const RunningRequest& run : running)
    m_scheduler.AdoptRun(run.request, run.backend, run.is_prefilling, now);
  for (RequestInfo& work : waiting) Enqueue(std::move(work));
}

Decisions Coordinator::Decide(TimePoint now) {
  std::erase_if(m_possible_deaths,
                [&](const auto& item) { return now - item.second.at >= kDeathConfirmed; });
  AdmitHeld(now);
  Decisions decisions = m_scheduler.Decide(now, *this);
  for (const Refusal& refusal : decisions.refusals)
    if (refusal.quota_cost > 0)
      m_quota.ReleaseReservation(refusal.organisation, refusal.quota_cost);
  decisions.refusals.insert(decisions.refusals.end(), m_refusals.begin(), m_refusals.end());
  m_refusals.clear();
  return decisions;
}

}  // namespace bluebellpass::gateway
