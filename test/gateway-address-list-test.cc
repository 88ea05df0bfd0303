#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "gateway/fleet/address-list.h"

/// The addresses that the directories of a fleet name to callers.

namespace bluebellpass::gateway {
namespace {

constexpr std::size_t kMaxAddresses = 64;

struct TestFleet {
  std::vector<CallerEndpoint> endpoints;

  void Add(const std::string& data_centre, int count) {
    for (int i = 1; i <= count; ++i) {
      const auto port = static_cast<std::uint16_t>(endpoints.size() + 1);
      endpoints.push_back({InstanceId("edge-" + data_centre + "-" + std::to_string(i)),
                           DataCentre(data_centre), Address{"10.0.0.1", port}, false});
    }
  }
  const CallerEndpoint& At(const Address& address) const { return endpoints.at(address.port - 1U); }
  std::vector<Address> Choose(const std::string& caller, std::size_t directory) const {
    return ChooseCallerAddresses(endpoints, DataCentre(caller), endpoints[directory].id,
                                 kMaxAddresses);
  }
};

}  // namespace

// Guards against directories that name the same few instances to all callers, which then carry the
// load of the whole fleet.
BOOST_AUTO_TEST_CASE(AllInstancesOfLargeFleetsAreNamed) {
  TestFleet fleet;
  for (const char* data_centre : {"a", "b", "c", "d", "e", "f"}) fleet.Add(data_centre, 49);
  fleet.Add("huge", 150);
  std::map<std::uint16_t, int> named;
  for (std::size_t directory = 0; directory < fleet.endpoints.size(); ++directory) {
    const auto& own = fleet.endpoints[directory].data_centre;
    const auto addresses = fleet.Choose(own.Text(), directory);
    BOOST_TEST(addresses.size() <= kMaxAddresses);
    BOOST_TEST(addresses.size() >= 49U);
    for (const Address& address : addresses) {
      ++named[address.port];
      BOOST_TEST((fleet.At(address).data_centre == own));
    }
  }
  BOOST_TEST(named.size() == fleet.endpoints.size());
}

// Guards against callers of a small or unknown data centre that depend on a few instances.
BOOST_AUTO_TEST_CASE(CallersOfSmallDataCentresGetOthersToo) {
  TestFleet fleet;
  fleet.Add("small", 2);
  fleet.Add("large", 100);
  for (const char* caller : {"small", "", "unknown"}) {
    std::set<std::uint16_t> named;
    for (std::size_t directory = 0; directory < fleet.endpoints.size(); ++directory) {
      const auto addresses = fleet.Choose(caller, directory);
      BOOST_TEST(addresses.size() == kMaxAddresses);
      for (const Address& address : addresses) named.insert(address.port);
    }
    BOOST_TEST(named.size() == fleet.endpoints.size());
  }
  const auto addresses = fleet.Choose("small", 50);
  BOOST_TEST(std::count_if(addresses.begin(), addresses.end(), [&](const Address& address) {
               return fleet.At(address).data_centre.Text() == "small";
             }) == 2);
}

// Guards against callers' load on the coordinator of a large fleet, and against leaving it out of a
// small one.
BOOST_AUTO_TEST_CASE(CoordinatorServesCallersOnlyInSmallFleets) {
  TestFleet large;
  large.Add("a", 80);
  large.endpoints[3].is_coordinator = true;
  const Address coordinator = large.endpoints[3].address;
  for (std::size_t directory = 0; directory < large.endpoints.size(); ++directory) {
    const auto addresses = large.Choose("a", directory);
    BOOST_TEST(std::count(addresses.begin(), addresses.end(), coordinator) == 0);
  }
  TestFleet small;
  small.Add("a", 3);
  small.Add("b", 3);
  small.endpoints[0].is_coordinator = true;
  BOOST_TEST(small.Choose("b", 1).size() == 6U);
}

}  // namespace bluebellpass::gateway
