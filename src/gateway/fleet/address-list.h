#pragma once

#include <cstddef>
#include <vector>

#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// An instance that callers may connect to.
struct CallerEndpoint {
  InstanceId id;
  DataCentre data_centre;
  Address address;
  bool is_coordinator = false;
};

/// Chooses the addresses that a directory names to a caller. While all instances fit, it names all.
/// In larger fleets, each caller gets instances of its own data centre, or a sample of all if few
/// run there, so that the directories together load all instances evenly. The coordinator is left
/// out, since its work grows with the fleet.
/// @param caller the caller's data centre; empty if unknown
/// @param directory the instance that answers; directories draw different samples
std::vector<Address> ChooseCallerAddresses(std::vector<CallerEndpoint> endpoints,
                                           const DataCentre& caller, const InstanceId& directory,
                                           std::size_t max_addresses);

}  // namespace bluebellpass::gateway
