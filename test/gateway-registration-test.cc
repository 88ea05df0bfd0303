#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "gateway-process.h"
#include "platform/names.h"
#include "soak/store-standin.h"

/// The start of a gateway beside others, while the store's responses are lost.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr Millis kStartTimeout{10'000};
// An instance that has restarted takes part in the fleet again within this time.
constexpr Millis kRecoveryTime{12'000};

struct Fixture : ClientFixture {
  StoreStandin store{loop, 1};
  Address store_address = store.Listen();
  std::string folder = MakeLogFolder("gateway-registration");
  GatewayProcess first{folder, "first", store_address};
  GatewayProcess second{folder, "second", store_address};

  Fixture() {
    store.Put(names::kConfigKind, names::kConfigName,
              {{"version", 1}, {"routes", json::array()}, {"services", json::array()}});
    first.Start();
    BOOST_REQUIRE(RunUntil([&] { return Coordinates(first, "first"); }, kStartTimeout));
  }

  /// @return true if the instance has used the named one as its coordinator
  static bool Coordinates(const GatewayProcess& gateway, const std::string& coordinator) {
    return gateway.Log().find("\"coordinator\":\"" + coordinator + "\"") != std::string::npos;
  }
  /// Starts the second instance. It must join the first one, and never act for the whole fleet.
  void CheckThatTheSecondJoins() {
    second.Start();
    std::size_t lone_answers = 0;
    const auto has_joined = [&] {
      const auto response = Get(second.directory, names::kResolvePath);
      if (response->Status() == 200 && json::parse(response->body)["addrs"].size() < 2)
        ++lone_answers;
      return Coordinates(second, "first");
    };
    BOOST_TEST(RunUntil(has_joined, kRecoveryTime));
    BOOST_TEST(!Coordinates(second, "second"));
    BOOST_TEST(lone_answers == 0U);
  }
};

}  // namespace

// Guards against an instance that coordinates alone, with all quotas, because the store's answer to
// its registration was lost.
BOOST_FIXTURE_TEST_CASE(LostAnswerToRegistration, Fixture) {
  store.LoseWriteResponses(names::kInstanceKind, 1);
  CheckThatTheSecondJoins();
}

// Guards against the same when its list of instances is lost.
BOOST_FIXTURE_TEST_CASE(LostListOfInstances, Fixture) {
  store.LoseListResponses(names::kInstanceKind, 1);
  CheckThatTheSecondJoins();
}

// Guards against the same when both are lost, several times.
BOOST_FIXTURE_TEST_CASE(LostAnswersInSeries, Fixture) {
  store.LoseWriteResponses(names::kInstanceKind, 2);
  store.LoseListResponses(names::kInstanceKind, 2);
  CheckThatTheSecondJoins();
}

}  // namespace bluebellpass::test
