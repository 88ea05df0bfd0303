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
  /// Number of instances whose earlier grants, under another coordinator, count against the quotas.
  std::size_t quota_instances = 1;
  /// Fraction of each quota that these instances could use together under that coordinator.
  double earlier_quota = 1;
};

/// Fraction of its part of the quotas that a minority may grant. A lost instance cannot be told
/// from one that is cut off, so the majority does without this part until the instance is removed.
/// At one half, a fleet of three or more that has lost one still covers 0.8 of each rate.
inline constexpr double kMinorityQuotaFraction = 0.5;

/// A coordinator that at least half of the known instances follow uses all slots. With fewer
/// followers, after a partition or beside another coordinator, it uses only their share. The shares
/// of quotas of instances that do not see each other add up to 1 at most: the coordinator of more
/// than half of them leaves to the others what these may use.
inline FleetShare ShareOf(const FleetPosition& position) {
  FleetShare share;
  const std::size_t present = std::max<std::size_t>(position.present, 1);
  const std::size_t known = std::max(position.known, present);
  const double part = static_cast<double>(present) / static_cast<double>(known);
  if (position.is_coordinator && 2 * present >= known) {
    share.quota_instances = known;
    share.quota = 2 * present == known ? part : 1 - kMinorityQuotaFraction * (1 - part);
    return share;
  }
  share.quota_instances = present;
  share.earlier_quota = part;
  share.slot_index = position.index;
  share.slot_count = position.is_coordinator ? (known + present - 1) / present : known;
  share.quota = kMinorityQuotaFraction / static_cast<double>(share.slot_count);
  return share;
}

}  // namespace bluebellpass::gateway
