#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/gateway/rollout.h"
#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Settings of one gateway, provided by the platform and reloaded on SIGHUP.
struct Settings {
  InstanceId instance;
  DataCentre data_centre;
  Region region;
  Address caller_listen;
  Address ready_listen;
  Address directory_listen;
  Address peer_listen;  ///< from the port range for traffic between instances
  Address metrics_listen;
  Address store_address;

  std::size_t max_descriptors = 1'024;
  /// Limit on the bytes of requests and responses that are not passed on yet.
  std::size_t max_buffer_memory = 40U << 20U;
  double processor_share = 0;  ///< cores that the process may use; 0 if unknown

  Millis max_config_delay{3'000};      ///< from a change of the configuration until it is in force
  Millis max_drain_delay{2'000};       ///< from a notice of leaving until no requests are sent
  Millis max_revocation_delay{5'000};  ///< from revoking a key until no instance accepts it
  Millis stop_grace{8'000};            ///< from SIGTERM to SIGKILL
  Millis max_address_ttl{5'000};       ///< longest time for which callers may cache an address list
  double retry_ratio = 0.2;            ///< retries per request, over the whole fleet
  double min_retries = 0;  ///< retries that are always allowed in a window, over the whole fleet
  Millis retry_window{10'000};
  Millis quota_window{8'000};
  double quota_excess_ratio = 0;  ///< fraction by which a window may exceed an organisation's quota
  double quota_slack = 0;         ///< amount by which it may exceed the quota in addition
  /// Whether this instance takes state that the store does not give it from the coordinator. Off by
  /// default: instances that are cut off from the store then serve requests that would be refused,
  /// and the fleet has no capacity to spare for them while it is loaded.
  bool has_state_transfer = false;
  /// Bounds on unproven versions; absent if the deployment has no roll-outs.
  std::optional<RolloutBounds> rollout_bounds;
};

/// Reads the current settings.
using SettingsReader = std::function<Result<Settings>()>;

}  // namespace bluebellpass::gateway
