#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "backend-paths.h"
#include "bluebellpass/timer.h"
#include "routing-state.h"

namespace bluebellpass {
class HttpConnectionPool;
}

namespace bluebellpass::gateway {

/// Watches whether this instance reaches the backend servers. Opens connections to some of them
/// when one cannot be reached or all are silent, and from time to time while none is reached. The
/// pool keeps the connections for later calls.
class PathMonitor {
 public:
  struct Events {
    /// A backend server cannot be reached, though this instance reaches others.
    std::function<void(const BackendId& id)> on_unreachable;
    std::function<void(bool is_stranded)> on_changed;
  };

  PathMonitor(TimerService& timers, HttpConnectionPool& pool, const RoutingState& routing_state,
              Events events);
  ~PathMonitor() { *m_alive = false; }
  PathMonitor(const PathMonitor&) = delete;
  PathMonitor& operator=(const PathMonitor&) = delete;

  /// Starts to look for silence.
  void Start();

  void RecordConnected(const BackendId& id);
  /// @param dialled_at when the connection was tried
  void RecordFailure(const BackendId& id, TimePoint dialled_at);
  /// Records that a connection with a run has broken.
  /// @return true if that says something about the backend server
  bool RecordLoss(const BackendId& id);
  /// Records that a request was written, or that bytes of a response came from any backend server.
  void RecordSent();
  void RecordReceived() { m_awaited_since.reset(); }
  /// Forgets a backend server that has left.
  void Remove(const BackendId& id);
  /// Opens a connection to a backend server, to find out whether it can be reached.
  void Probe(const BackendId& id);

  /// @return true if this instance reaches no backend server
  bool IsStranded() const { return m_is_stranded; }

 private:
  void Tick();
  /// Opens connections to as many other backend servers as show whether the path is lost.
  void Verify();
  void ProbeNext();
  void Update();

  TimerService& m_timers;
  HttpConnectionPool& m_pool;
  const RoutingState& m_routing_state;
  Events m_events;
  BackendPaths m_paths;
  std::set<BackendId> m_probed;  ///< a connection to these is being opened
  BackendId m_last_probed;       ///< the next one is the one after it
  bool m_is_stranded = false;
  TimePoint m_next_stranded_probe{};
  /// When the first request was written since bytes came from any backend server.
  std::optional<TimePoint> m_awaited_since;
  Timer m_tick;
  /// False after destruction; callbacks check it before they use this object.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass::gateway
