#include "address-list.h"

#include <algorithm>
#include <tuple>

namespace bluebellpass::gateway {
namespace {

// With fewer instances in the caller's data centre, others are named as well, since the loss of a
// few would leave the rest with all of its callers.
constexpr std::size_t kMinNearInstances = 16;

}  // namespace

std::vector<Address> ChooseCallerAddresses(std::vector<CallerEndpoint> endpoints,
                                           const DataCentre& caller, const InstanceId& directory,
                                           std::size_t max_addresses) {
  if (endpoints.size() > max_addresses) {
    std::erase_if(endpoints,
                  [](const CallerEndpoint& endpoint) { return endpoint.is_coordinator; });
    const auto is_near = [&](const CallerEndpoint& endpoint) {
      return endpoint.data_centre == caller;
    };
    const auto near =
        static_cast<std::size_t>(std::count_if(endpoints.begin(), endpoints.end(), is_near));
    const std::uint64_t salt = StableHash(directory.Text());
    const auto order = [&](const CallerEndpoint& endpoint) {
      return std::tuple(!is_near(endpoint), StableHash(endpoint.id.Text(), salt));
    };
    std::sort(
        endpoints.begin(), endpoints.end(),
        [&](const CallerEndpoint& a, const CallerEndpoint& b) { return order(a) < order(b); });
    endpoints.resize(std::min(max_addresses, near >= kMinNearInstances ? near : endpoints.size()));
  }
  std::vector<Address> addresses;
  addresses.reserve(endpoints.size());
  for (CallerEndpoint& endpoint : endpoints) addresses.push_back(std::move(endpoint.address));
  return addresses;
}

}  // namespace bluebellpass::gateway
