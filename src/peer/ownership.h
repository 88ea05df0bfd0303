#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "bluebellpass/config.h"
#include "bluebellpass/peer.h"

namespace bluebellpass {

/// How instances share the capacity of backend servers. The last two are benchmark baselines.
enum class OwnershipKind {
  kSingleOwner,  ///< each cell has one owner, which grants its whole capacity
  kPerInstance,  ///< each instance owns every cell for its own requests, with the whole capacity
  kStaticShare,  ///< as kPerInstance, with an equal share of the capacity for each instance
};

/// Decides which instance owns a cell, and what capacity an owner grants.
class Ownership {
 public:
  Ownership() = default;
  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;
  virtual ~Ownership() = default;

  /// @param members as seen by this instance; only alive and suspect ones that are not leaving can
  /// own a cell
  /// @return the owner, or nullopt when no member can own the cell
  virtual std::optional<InstanceId> FindOwner(const CellId& cell,
                                              const std::vector<Member>& members) const = 0;

  /// @param members as seen by this instance
  /// @return the configuration with the capacity that this instance grants as an owner
  virtual ClusterConfig OwnedConfig(const ClusterConfig& config,
                                    const std::vector<Member>& members) const = 0;
};

/// @param self this instance
std::unique_ptr<Ownership> MakeOwnership(OwnershipKind kind, const InstanceId& self);

}  // namespace bluebellpass
