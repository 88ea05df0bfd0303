#pragma once

#include "bluebellpass/gateway/model.h"
#include "gateway/decisions/scheduler.h"

namespace bluebellpass::gateway {

/// Receives the scheduling decision for one request.
class DispatchListener {
 public:
  virtual ~DispatchListener() = default;
  /// @param version the only one that may continue the stream, if the request continues one
  virtual void OnGrant(const BackendId& backend, const std::optional<SoftwareVersion>& version) = 0;
  virtual void OnRefusal(RefusalReason reason, Millis retry_after) = 0;
};

/// Queues requests until each is granted a backend server or refused. Decisions are reported in
/// later iterations of the event loop.
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;
  /// Queues a request.
  /// @param listener called once, unless the request is withdrawn first
  virtual void Submit(RequestInfo request, DispatchListener* listener) = 0;
  /// Removes a request that is still waiting.
  virtual void Withdraw(const AttemptId& id) = 0;
  /// Reports the end of a granted run.
  virtual void ReleaseRun(const AttemptId& id, const RunReport& report) = 0;
  /// Reports the first event of a granted run.
  /// @param version that the run was sent to
  /// @param time_to_first_event from dispatch
  virtual void RecordFirstEvent(const AttemptId& id, const SoftwareVersion& version,
                                Millis time_to_first_event) = 0;
  /// Stops granting work to a backend server for a while.
  /// @param is_unreachable true when no connection to it could be established
  virtual void AvoidBackend(const BackendId& id, Millis duration, bool is_unreachable) = 0;
  /// Reports what a backend server has said of the requests that it turns away.
  virtual void ReportRejections(const BackendId& id, const RejectionReport& report) = 0;
};

}  // namespace bluebellpass::gateway
