#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "boot-clock.h"
#include "model.h"
#include "routing.h"

namespace bluebellpass::gateway {

/// How old knowledge may be before it must not be acted on.
struct StalenessBounds {
  /// A key that was taken away must not be served later than this after the change.
  Millis revocation_bound{5'000};
  /// Time for a request to reach a backend server after the last check, and for clocks to differ.
  Millis dispatch_margin{400};
  /// Denials are final, so they need a configuration that was confirmed this recently.
  Millis denial_bound{2'000};
};

/// What this instance knows of the configuration and the backend servers, and how old that is.
class RoutingState {
 public:
  RoutingState(const BootClock& clock, StalenessBounds bounds) : m_clock(clock), m_bounds(bounds) {}

  void SetBounds(const StalenessBounds& bounds) { m_bounds = bounds; }

  /// Takes a configuration unless it is older than the present one.
  /// @return true when it is in force now
  bool SetConfig(Config config);
  /// The configuration was confirmed as the newest at this time.
  void ConfirmConfig(BootTime at);
  /// Runs the action once there is a confirmed configuration; never from within this call.
  void WhenReady(std::function<void()> action) { m_when_ready.push_back(std::move(action)); }
  /// @return the configuration in force, or null
  const std::shared_ptr<const RoutingTable>& Table() const { return m_table; }
  /// @return time since the configuration was last confirmed
  Millis ConfigAge() const { return m_clock.Now() - m_config_at; }

  /// @return true when a request with a key may be sent to a backend server now
  bool MayAcceptKeys() const {
    return m_table != nullptr && ConfigAge() < m_bounds.revocation_bound - m_bounds.dispatch_margin;
  }
  /// @return true when a request may be denied for what the configuration lacks
  bool MayDenyRequests() const { return m_table != nullptr && ConfigAge() < m_bounds.denial_bound; }

  void SetBackend(const Backend& backend) { m_backends[backend.id] = backend; }
  void RemoveBackend(const BackendId& id) { m_backends.erase(id); }
  /// @return the backend server, or null
  const Backend* FindBackend(const BackendId& id) const;
  const std::map<BackendId, Backend>& Backends() const { return m_backends; }

 private:
  const BootClock& m_clock;
  StalenessBounds m_bounds;
  std::shared_ptr<const RoutingTable> m_table;
  BootTime m_config_at{std::chrono::hours(-24)};
  std::map<BackendId, Backend> m_backends;
  std::vector<std::function<void()>> m_when_ready;
};

}  // namespace bluebellpass::gateway
