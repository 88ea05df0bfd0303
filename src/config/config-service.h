#pragma once

#include <functional>

#include "bluebellpass/config.h"
#include "bluebellpass/error.h"

namespace bluebellpass {

/// Told of each configuration that takes effect.
class ConfigListener {
 public:
  virtual ~ConfigListener() = default;
  virtual void OnConfigApplied(const VersionedConfig& config) = 0;
};

/// The cluster's configuration as this instance has it.
class ConfigService {
 public:
  virtual ~ConfigService() = default;

  /// @return the newest configuration known here; version 0 before the first
  virtual const VersionedConfig& Current() const = 0;

  /// @return true when the configuration was confirmed recently enough for dispatch: within 2 s by
  /// a read of the store (its own or a peer's), or, without the store, by a majority of the members
  virtual bool IsRecentlyConfirmed() const = 0;

  /// Takes note that the process was paused: not fresh until the configuration is confirmed anew.
  virtual void OnPause() = 0;

  /// Changes the configuration by a conditional update in the object API.
  /// @param edit forms the new configuration from the current one, or refuses
  /// @param done gets the version that now is in effect; kConflict names both versions when another
  /// change came first; kStoreUnavailable when nothing was written
  virtual void ChangeConfig(std::function<Result<ClusterConfig>(const ClusterConfig&)> edit,
                            std::function<void(Result<ObjectVersion>)> done) = 0;

  /// Listeners are called in the order in which they were added.
  virtual void AddListener(ConfigListener* listener) = 0;
};

}  // namespace bluebellpass
