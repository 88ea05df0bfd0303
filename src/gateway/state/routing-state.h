#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "bluebellpass/gateway/model.h"
#include "boot-clock.h"
#include "routing.h"

namespace bluebellpass::gateway {

/// Limits on the age of state that requests are decided on.
struct StalenessBounds {
  /// Longest time for which a key may still be accepted after its revocation.
  Millis revocation_bound{5'000};
  /// Allowance for the time from the last check until a request reaches a backend server, and for
  /// differences between clocks.
  Millis dispatch_margin{400};
  /// Longest age of a configuration that may deny a request, since denials are final.
  Millis denial_bound{2'000};
};

/// This instance's copy of the configuration and of the backend servers, with its age.
class RoutingState {
 public:
  RoutingState(const BootClock& clock, StalenessBounds bounds) : m_clock(clock), m_bounds(bounds) {}

  void SetBounds(const StalenessBounds& bounds) { m_bounds = bounds; }

  /// Replaces the configuration unless the new one has an older version.
  /// @return true when the new one is in force
  bool SetConfig(Config config);
  /// Records that the configuration was the newest one at this time.
  void ConfirmConfig(BootTime at);
  /// Calls the callback at the next confirmation of a configuration, never from this call itself.
  void WhenReady(std::function<void()> callback) {
    m_ready_callbacks.push_back(std::move(callback));
  }
  /// @return the configuration in force, or null
  const std::shared_ptr<const RoutingTable>& Table() const { return m_table; }
  /// @return time since the configuration was last confirmed
  Millis ConfigAge() const { return m_clock.Now() - m_config_confirmed_at; }

  /// @return true when a request with a key may be sent to a backend server now
  bool MayAcceptKeys() const {
    return m_table != nullptr && ConfigAge() < m_bounds.revocation_bound - m_bounds.dispatch_margin;
  }
  /// @return true when a request may be denied because the configuration has no match for it
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
  BootTime m_config_confirmed_at{std::chrono::hours(-24)};
  std::map<BackendId, Backend> m_backends;
  std::vector<std::function<void()>> m_ready_callbacks;
};

}  // namespace bluebellpass::gateway
