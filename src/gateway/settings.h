#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Settings of one gateway, as the platform gives them. Read again when the platform changes them.
struct Settings {
  InstanceId instance;
  DataCentre data_centre;
  Region region;
  Address caller_listen;
  Address ready_listen;
  Address directory_listen;
  Address peer_listen;  ///< taken from the ports that are free for traffic between instances
  Address metrics_listen;
  Address store_address;

  std::size_t max_descriptors = 1'024;

  Millis max_config_delay{3'000};      ///< until a configuration is in force
  Millis max_revocation_delay{5'000};  ///< until a key that was taken away is served nowhere
  Millis stop_grace{8'000};            ///< from SIGTERM to SIGKILL
  Millis max_address_ttl{5'000};       ///< longest time for which callers keep an address list
  double retry_ratio = 0.2;            ///< sends beyond the first of each request, over the fleet
  double min_retries = 0;
  Millis retry_window{10'000};
  Millis quota_window{8'000};
  double quota_excess_ratio = 0;  ///< part by which a window may exceed an organisation's quota
  double quota_slack = 0;         ///< amount by which it may in addition
};

/// Reads the settings again.
using SettingsReader = std::function<Result<Settings>()>;

}  // namespace bluebellpass::gateway
