#pragma once

#include <optional>
#include <set>

#include "bluebellpass/gateway/model.h"

namespace bluebellpass::gateway {

/// Knows the other instances that can serve requests.
class PeerDirectory {
 public:
  virtual ~PeerDirectory() = default;
  /// Chooses an instance to forward a request to. Requests are spread over all that reach backend
  /// servers.
  /// @param excluded addresses that have been tried
  /// @return its address for callers, or nullopt if there is none
  virtual std::optional<Address> ChoosePeer(const AttemptId& request,
                                            const std::set<Address>& excluded) const = 0;
};

}  // namespace bluebellpass::gateway
