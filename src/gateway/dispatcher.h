#pragma once

#include "model.h"
#include "scheduler.h"

namespace bluebellpass::gateway {

/// Receives the decisions about one request.
class DispatchListener {
 public:
  virtual ~DispatchListener() = default;
  virtual void OnGrant(const BackendId& backend) = 0;
  virtual void OnRefusal(RefusalReason reason, Millis retry_after) = 0;
};

/// Where requests wait for a backend server. Decisions come in later turns of the loop.
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;
  /// @param listener is called once, unless the work is withdrawn before
  virtual void Submit(RequestInfo request, DispatchListener* listener) = 0;
  virtual void Withdraw(const AttemptId& id) = 0;
  /// Ends a granted run.
  virtual void Release(const AttemptId& id, const RunReport& report) = 0;
  virtual void RecordFirstEvent(const AttemptId& id, Millis latency) = 0;
  /// Keeps work away from a backend server for a while.
  /// @param is_unreachable no connection to it could be established
  virtual void AvoidBackend(const BackendId& id, Millis duration, bool is_unreachable) = 0;
};

}  // namespace bluebellpass::gateway
