#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "crash-records.h"
#include "fleet-share.h"
#include "gateway/state/routing.h"
#include "gateway/streams/service-versions.h"
#include "gateway/streams/stream-origins.h"
#include "quota.h"
#include "scheduler.h"

namespace bluebellpass::gateway {

/// A granted request, as its home reports it to a new coordinator.
struct RunningRequest {
  RequestInfo request;
  BackendId backend;
  bool is_prefilling = true;  ///< no event of the response has arrived yet
};

/// Applies the quotas of organisations and schedules the requests of all instances of the fleet, or
/// a share of them. Performs no I/O and reads no clock. Its state is soft: a new coordinator
/// rebuilds it from the reports of the instances.
class Coordinator : private AdmissionControl {
 public:
  Coordinator() { m_scheduler.SetRollouts(&m_rollouts); }
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  Scheduler& RequestScheduler() { return m_scheduler; }
  const Scheduler& RequestScheduler() const { return m_scheduler; }

  /// The roll-outs, which every instance knows; only the coordinator conducts them.
  RolloutController& Rollouts() { return m_rollouts; }
  const RolloutController& Rollouts() const { return m_rollouts; }

  void SetRoutingTable(std::shared_ptr<const RoutingTable> table) { m_table = std::move(table); }
  /// Sets this coordinator's share of slots and quotas when several divide the fleet.
  void SetShare(const FleetShare& share);
  void SetQuotaTolerance(const QuotaTolerance& tolerance) {
    m_quota.SetTolerance(tolerance);
    m_grant_history.SetWindow(tolerance.window);
  }
  /// Starts to decide for the fleet. Quotas are set from the reports of the instances.
  void TakeOver(TimePoint now) { m_quota.Reset(now); }
  /// Ends what TakeOver starts.
  void StepDown() { m_quota.StepDown(); }
  void AddQuotaReport(const InstanceId& instance, const QuotaReport& report, TimePoint now) {
    m_quota.AddReport(instance, report, now);
  }
  /// Starts to remember what this instance is granted, for its reports to new coordinators.
  void StartGrantHistory(TimePoint now) { m_grant_history.Start(now); }
  /// Records that a request of this instance was granted, by whichever coordinator.
  void RememberGrant(const RequestInfo& request, TimePoint now);
  /// @return what this instance was granted within the last quota window
  QuotaReport GrantReport(TimePoint now) { return m_grant_history.Report(now); }

  /// @param received_at when the request was read, where `now` may be older: the event loop's time
  /// is that before it waits for sockets, and the process may stand still meanwhile
  void Submit(RequestInfo request, TimePoint now,
              std::optional<TimePoint> received_at = std::nullopt);
  void Withdraw(const AttemptId& id);
  void ReleaseRun(const AttemptId& id, const RunReport& report, TimePoint now);
  /// Records how a run ended, as far as it tells which requests crash backend servers. ReleaseRun
  /// includes it; instances that do not coordinate call it for their own runs.
  /// @param started when the run was granted
  void RecordRunEnd(const RequestInfo& request, const BackendId& backend, TimePoint started,
                    RunOutcome outcome, TimePoint now);
  /// @return what is known about crashes, for another instance
  CrashUpdate CrashSnapshot() const { return m_crash_records.Snapshot(); }
  void MergeCrashes(const CrashUpdate& update, TimePoint now) {
    m_crash_records.Merge(update, now);
  }
  /// The streams that may be taken up, which the coordinator and some others know.
  StreamOrigins& Streams() { return m_streams; }
  /// The versions that may have begun them, which every instance knows.
  ServiceVersions& Versions() { return m_versions; }
  const ServiceVersions& Versions() const { return m_versions; }
  /// @param taken_up_at when the request arrived here
  /// @return the version that may continue the stream of a request that is taken up, or nullopt if
  /// it is unknown
  std::optional<SoftwareVersion> FindStreamVersion(const RequestInfo& request,
                                                   TimePoint taken_up_at, TimePoint now) const;
  /// @return true if requests wait until the view of the backend servers is confirmed
  bool NeedsConfirmation() const { return !m_unconfirmed.empty(); }

  /// Records the first event of a run, after which its stream belongs to the version of its backend
  /// server. A grant alone shows nothing: its home may have had one of another coordinator.
  /// @param version that its home sent it to; nullopt from older builds
  /// @param time_to_first_event from dispatch
  void RecordFirstEvent(const AttemptId& id, const std::optional<SoftwareVersion>& version,
                        Millis time_to_first_event, TimePoint now);

  /// Records that a connection to a backend server could not be established.
  void OnBackendUnreachable(const BackendId& id, TimePoint now);
  /// Replaces all waiting and running requests of an instance.
  /// @param received_at see Submit
  void SyncRequests(const InstanceId& home, std::vector<RequestInfo> waiting,
                    const std::vector<RunningRequest>& running, TimePoint now,
                    std::optional<TimePoint> received_at = std::nullopt);
  /// Removes all waiting and running requests of an instance.
  void RemoveHome(const InstanceId& home);

  Decisions Decide(TimePoint now);
  std::optional<TimePoint> NextDecision() const;

 private:
  bool TryAdmit(const RequestInfo& request, TimePoint now) override;
  /// A request delayed until its organisation's quota covers it.
  struct DelayedRequest {
    RequestInfo request;
    TimePoint ready_at;
  };

  /// A request that is taken up and has no record, until the view of the backend servers is
  /// confirmed. A version that this instance does not know yet may have begun its stream.
  struct UnconfirmedRequest {
    RequestInfo request;
    TimePoint taken_up_at;
  };

  /// @return true if a view that is confirmed later could show the version of the stream
  bool MayBeFoundLater(const RequestInfo& request, TimePoint taken_up_at, TimePoint now) const;
  void SubmitConfirmed(TimePoint now);
  /// Limits by quarantine and quota, then queues a request.
  void Admit(RequestInfo request, TimePoint now);
  /// @return true when the request may have caused so many crashes that it must not run
  bool IsQuarantined(const RequestInfo& request) const;
  void RefuseAsQuarantined(const RequestInfo& request);
  /// Refuses the queued requests that must not run any more.
  void RefuseQuarantined();
  const Organisation* FindOrganisation(const OrganisationId& id) const;
  /// Reserves the request's quota and adds it to the scheduler's queue.
  void Enqueue(RequestInfo request);
  void ReleaseReservation(const RequestInfo& request);
  void EnqueueDelayed(TimePoint now);
  void DecideRollouts(TimePoint now);
  /// @return the version that has begun the stream of a run, or null if it is unknown
  const SoftwareVersion* VersionOfRun(const std::optional<SoftwareVersion>& stated,
                                      const BackendId& backend) const;
  /// Records the version that has begun a stream.
  /// @param version null if it is unknown
  void RecordStream(const RequestInfo& request, const SoftwareVersion* version);

  std::shared_ptr<const RoutingTable> m_table;
  RolloutController m_rollouts;
  Scheduler m_scheduler;
  QuotaLimiter m_quota;
  GrantHistory m_grant_history;  ///< of this instance only
  CrashRecords m_crash_records;
  StreamOrigins m_streams;
  ServiceVersions m_versions;
  std::vector<DelayedRequest> m_delayed;
  std::vector<UnconfirmedRequest> m_unconfirmed;
  std::vector<Refusal> m_refusals;  ///< made on submission; returned by the next Decide
};

}  // namespace bluebellpass::gateway
