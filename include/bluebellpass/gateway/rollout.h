#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bluebellpass/gateway/model.h"
#include "bluebellpass/gateway/store-client.h"

/// Operators' orders to move a service to another version of its backend servers.

namespace bluebellpass::gateway {

/// An order to move the traffic of a service to backend servers of another version.
struct RolloutOrder {
  ServiceName service;
  SoftwareVersion target;
  Millis deadline{0};  ///< from the order; 0 or less has passed already
  /// Distinguishes an order from an earlier one of the same name and target.
  std::uint64_t created = 0;

  bool operator==(const RolloutOrder&) const = default;
};

/// The deployment's bounds on an unproven version.
struct RolloutBounds {
  /// Fraction of a service's requests that may run at an unproven version.
  double exposure_ratio = 0;
  double exposure_slack = 0;  ///< number of requests allowed in addition
};

enum class RolloutState : std::uint8_t {
  kRunning,
  kDone,      ///< all traffic runs at the target; the old backend servers stop
  kReverted,  ///< the target gets no traffic; its backend servers stop
};

/// Progress of a running roll-out.
enum class RolloutPhase : std::uint8_t {
  kProbing,    ///< the target gets requests within the exposure budget
  kSwitching,  ///< the target was judged good and takes over all requests
};

/// @return the stable name in logs, metrics and JSON
std::string_view NameOf(RolloutState state);
std::string_view NameOf(RolloutPhase phase);

/// What the status of an order's object holds. A coordinator continues from the status that its
/// predecessor has written.
struct RolloutStatus {
  SoftwareVersion target;
  RolloutState state = RolloutState::kRunning;
  RolloutPhase phase = RolloutPhase::kProbing;
  Millis elapsed{0};  ///< since the order, when the status was written
  /// Number of requests that may have been sent to the target so far, by any instance. Raised
  /// before the raise is used.
  std::uint64_t exposure_limit = 0;
  /// Requests that reached the service since the order; a lower bound.
  std::uint64_t total_requests = 0;
  std::string reason;  ///< why the target was reverted, for operators

  bool operator==(const RolloutStatus&) const = default;
};

/// An order with its status, as read from the store.
struct RolloutEntry {
  RolloutOrder order;
  std::optional<RolloutStatus> status;  ///< absent before the first write
  Revision revision;                    ///< of the object
};

}  // namespace bluebellpass::gateway
