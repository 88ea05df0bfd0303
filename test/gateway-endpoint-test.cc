#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "gateway-process.h"
#include "platform/names.h"
#include "soak/engine-standin.h"
#include "soak/store-standin.h"

/// Which requests a gateway answers itself, and at which addresses.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr char kHost[] = "endpoint.test";
constexpr Millis kStartTimeout{10'000};

struct Fixture : ClientFixture {
  StoreStandin store{loop, 1};
  std::vector<SoakRun> runs;
  EngineStandin engine{loop, "e1", 4, [this](const SoakRun& run) { runs.push_back(run); }};
  GatewayProcess gateway{MakeLogFolder("gateway-endpoint"), "g", store.Listen()};
  int request_count = 0;

  Fixture() {
    const auto route = [](const std::string& prefix) {
      return json{{"name", prefix},       {"host", kHost},     {"path_prefix", prefix},
                  {"type", "idempotent"}, {"service", "desk"}, {"attempts", 1},
                  {"timeout_ms", 9'000},  {"goal_ms", 300},    {"public", true}};
    };
    store.Put(names::kConfigKind, names::kConfigName,
              {{"version", 1},
               {"routes", json::array({route("/api/"), route("/desk/")})},
               {"services", json::array({{{"name", "desk"}}})}});
    store.Put(
        names::kBackendKind, "e1",
        {{"service", "desk"}, {"addr", engine.Listen().Text()}, {"slots", 4}, {"state", "ready"}});
    gateway.Start();
    BOOST_REQUIRE(RunUntil([&] { return Ask("/desk/x")->Status() == 200; }, kStartTimeout));
  }

  std::unique_ptr<PendingCall> Ask(const std::string& target) {
    return Get(gateway.front, target,
               {{"Host", kHost}, {names::kAttempt, "q" + std::to_string(++request_count)}});
  }
};

}  // namespace

// Guards against callers' requests that the gateway answers itself because their paths are those of
// its own endpoints at other addresses.
BOOST_FIXTURE_TEST_CASE(CallersRequestsToLocalPathsReachTheirService, Fixture) {
  for (const std::string path : {names::kReadyPath, names::kResolvePath}) {
    for (const std::string& target : {path, path + "?name=school"}) {
      BOOST_TEST_CONTEXT(target) {
        const std::size_t runs_before = runs.size();
        const auto response = Ask(target);
        BOOST_TEST(response->Status() == 200);
        BOOST_TEST(response->head.Find(names::kSignature) != nullptr);
        BOOST_TEST(runs.size() == runs_before + 1);
      }
    }
  }
}

// Guards against local endpoints that are not served at their own addresses, or that pass on what
// they do not know.
BOOST_FIXTURE_TEST_CASE(LocalEndpointsAreServedAtTheirAddresses, Fixture) {
  const std::size_t runs_before = runs.size();
  BOOST_TEST(Get(gateway.ready, names::kReadyPath)->Status() == 200);
  const auto directory = Get(gateway.directory, std::string(names::kResolvePath) + "?name=h");
  BOOST_TEST(directory->Status() == 200);
  BOOST_TEST(json::parse(directory->body)["addrs"] == json::array({gateway.front.Text()}));
  for (const Address& address : {gateway.ready, gateway.directory})
    BOOST_TEST(Get(address, "/desk/x", {{"Host", kHost}, {names::kAttempt, "local"}})->Status() ==
               404);
  BOOST_TEST(runs.size() == runs_before);
}

}  // namespace bluebellpass::test
