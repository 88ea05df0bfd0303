#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "policy/suspects.h"
#include "quota.h"
#include "routing.h"
#include "scheduler.h"

namespace bluebellpass::gateway {

/// A run that an instance has going, as it reports it to a new coordinator.
struct RunningRequest {
  RequestInfo request;
  BackendId backend;
  bool is_prefilling = true;  ///< no event of its answer has come yet
};

/// Decides for the whole fleet, or for its share of it, about requests of all instances: quotas of
/// organisations, and where and when requests run. Pure; its state is soft and is rebuilt from what
/// the instances report.
class Coordinator : private AdmissionControl {
 public:
  Scheduler& RequestScheduler() { return m_scheduler; }
  const Scheduler& RequestScheduler() const { return m_scheduler; }

  void SetRoutingTable(std::shared_ptr<const RoutingTable> table) { m_table = std::move(table); }
  /// @param index, count this instance's part when several coordinators divide the fleet
  void SetShare(std::size_t index, std::size_t count);
  void SetQuotaTolerance(const QuotaTolerance& tolerance) { m_quota.SetTolerance(tolerance); }
  /// Begins to decide for the fleet. What was spent under the coordinator before is not known, so
  /// quotas begin empty.
  void TakeOver(TimePoint now) { m_quota.Reset(now); }

  void Submit(RequestInfo work, TimePoint now);
  void Withdraw(const AttemptId& id);
  void Release(const AttemptId& id, const RunReport& report, TimePoint now);
  /// A connection to a backend server could not be established.
  void OnBackendUnreachable(const BackendId& id, TimePoint now);
  /// Takes all that an instance has waiting and running, instead of what was known of it.
  void Sync(const InstanceId& home, std::vector<RequestInfo> waiting,
            const std::vector<RunningRequest>& running, TimePoint now);
  void RemoveHome(const InstanceId& home);

  Decisions Decide(TimePoint now);
  std::optional<TimePoint> NextDecision() const;

 private:
  bool TryAdmit(const RequestInfo& work, TimePoint now) override;
  /// Work that its organisation's quota will hold in a moment.
  struct Held {
    RequestInfo work;
    TimePoint ready_at;
  };

  /// A backend server that broke off a run and may have died of it.
  struct PossibleDeath {
    std::uint64_t fingerprint = 0;
    TimePoint at;
  };

  const Organisation* Find(const OrganisationId& id) const;
  void Enqueue(RequestInfo work);
  void Dequeue(const RequestInfo& work);
  void AdmitHeld(TimePoint now);

  std::shared_ptr<const RoutingTable> m_table;
  Scheduler m_scheduler;
  QuotaLimiter m_quota;
  std::map<BackendId, PossibleDeath> m_possible_deaths;
  std::uint64_t m_stamp = 0;
  Suspects m_suspects{[this] { return ++m_stamp; }};
  std::vector<Held> m_held;
  std::vector<Refusal> m_refusals;  ///< decided at once, to be reported with the next decisions
};

}  // namespace bluebellpass::gateway
