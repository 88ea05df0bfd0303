#pragma once

#include <functional>

#include "bluebellpass/config.h"
#include "bluebellpass/error.h"

namespace bluebellpass {

/// Receives each configuration that takes effect.
class ConfigListener {
 public:
  virtual ~ConfigListener() = default;
  virtual void OnConfigApplied(const VersionedConfig& config) = 0;
};

/// Gives access to the cluster's configuration and changes it.
class ConfigService {
 public:
  virtual ~ConfigService() = default;

  /// @return the newest configuration applied on this instance; version 0 before the first one
  virtual const VersionedConfig& Current() const = 0;

  /// @return true if the configuration was confirmed recently enough for dispatch: within the last
  /// 2 s by a read of the store, by this instance or a peer, or, if the store is unreachable, by a
  /// majority of the members
  virtual bool IsRecentlyConfirmed() const = 0;

  /// Must be called after the process was paused. IsRecentlyConfirmed then returns false until a
  /// new confirmation.
  virtual void OnPause() = 0;

  /// Changes the configuration by a conditional write to the object API.
  /// @param edit returns the new configuration for the current one, or an error
  /// @param done receives the new version; kConflict with both versions if another change was
  /// written first; kStoreUnavailable if nothing was written
  virtual void ChangeConfig(std::function<Result<ClusterConfig>(const ClusterConfig&)> edit,
                            std::function<void(Result<ObjectVersion>)> done) = 0;

  /// Adds a listener. Listeners are called in the order of their addition.
  virtual void AddListener(ConfigListener* listener) = 0;
};

}  // namespace bluebellpass
