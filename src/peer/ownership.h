#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "bluebellpass/config.h"
#include "bluebellpass/peer.h"

namespace bluebellpass {

/// How the instances divide the backend servers. The last two are baselines for benchmarks.
enum class OwnershipKind {
  kSingleOwner,  ///< each cell has one owner, which grants the whole capacity
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

  /// @param members the view of this instance; only those alive or suspect take part
  /// @return the owner, or nullopt when no member can own the cell
  virtual std::optional<InstanceId> FindOwner(const CellId& cell,
                                              const std::vector<Member>& members) const = 0;

  /// @param members the view of this instance
  /// @return the configuration with the capacity that this instance grants as an owner
  virtual ClusterConfig OwnedConfig(const ClusterConfig& config,
                                    const std::vector<Member>& members) const = 0;
};

/// @param self the instance that asks
std::unique_ptr<Ownership> MakeOwnership(OwnershipKind kind, const InstanceId& self);

}  // namespace bluebellpass
