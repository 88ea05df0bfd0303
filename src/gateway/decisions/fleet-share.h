#pragma once

#include <algorithm>
#include <cstddef>

namespace bluebellpass::gateway {

/// What an instance knows of the fleet when it determines what it may use alone.
struct FleetPosition {
  bool is_coordinator = false;
  std::size_t index = 0;    ///< position among the known instances
  std::size_t known = 1;    ///< known instances including this one, without leaving ones
  std::size_t present = 1;  ///< instances that follow this one, including itself
};

/// The part of the slots and quotas that one instance may use.
struct FleetShare {
  std::size_t slot_index = 0;
  std::size_t slot_count = 1;  ///< this instance uses one of so many parts of the slots
  double quota = 1;            ///< fraction of each quota
  /// Number of instances whose earlier grants count against the quotas.
  std::size_t quota_instances = 1;
};

/// A coordinator that at least half of the known instances follow uses everything. With fewer
/// followers, after a partition or beside another coordinator, it uses only their share.
inline FleetShare ShareOf(const FleetPosition& position) {
  FleetShare share;
  const std::size_t present = std::max<std::size_t>(position.present, 1);
  if (position.is_coordinator && 2 * present >= position.known) {
    share.quota_instances = std::max(position.known, present);
    return share;
  }
  share.quota_instances = present;
  share.slot_index = position.index;
  share.slot_count = position.is_coordinator ? (position.known + present - 1) / present
                                             : std::max<std::size_t>(position.known, 1);
  share.quota = 1.0 / static_cast<double>(share.slot_count);
  return share;
}

}  // namespace bluebellpass::gateway
