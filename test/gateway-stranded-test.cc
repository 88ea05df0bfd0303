#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "gateway-process.h"
#include "platform/names.h"
#include "soak/engine-standin.h"
#include "soak/store-standin.h"
#include "standins/proxy.h"

/// An instance that loses its path to all backend servers, while callers, the store and the other
/// instances still reach it.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;

constexpr Millis kSettleTime{1'500};
// After it the rule holds.
constexpr Millis kStableWindow{3'000};
constexpr Millis kRequestPeriod{20};
constexpr Millis kResponseTimeout{2'000};
constexpr int kEngines = 5;
constexpr int kMeasured = 60;

/// Three instances. One of them sees the engines at addresses of proxies.
struct Fixture : ClientFixture {
  StoreStandin store{loop, 1};
  Address store_address = store.Listen();
  standin::Proxy store_proxy{loop, store_address};
  std::string folder = MakeLogFolder("gateway-stranded");
  std::vector<std::unique_ptr<GatewayProcess>> gateways;
  std::vector<std::unique_ptr<EngineStandin>> engines;
  std::vector<std::unique_ptr<standin::Proxy>> engine_proxies;
  std::vector<Address> proxy_addresses;
  std::map<std::string, int> runs;  ///< by request
  int request_count = 0;
  std::size_t stranded = 0;

  void Start(std::size_t index) {
    stranded = index;
    store.Put(names::kConfigKind, names::kConfigName,
              {{"version", 1},
               {"routes", {MakeRoute("/read/", "idempotent"), MakeRoute("/book/", "mutating")}},
               {"services", {{{"name", "s"}}}}});
    std::map<std::string, std::string> replacements;
    for (int i = 0; i < kEngines; ++i) {
      engines.push_back(
          std::make_unique<EngineStandin>(loop, "e" + std::to_string(i), 20,
                                          [this](const SoakRun& run) { ++runs[run.request_id]; }));
      const Address address = engines.back()->Listen();
      engine_proxies.push_back(std::make_unique<standin::Proxy>(loop, address));
      proxy_addresses.push_back(std::get<Address>(engine_proxies.back()->Listen({"127.0.0.1", 0})));
      replacements[address.Text()] = proxy_addresses.back().Text();
      store.Put(names::kBackendKind, engines.back()->Id(),
                {{"service", "s"},
                 {"addr", address.Text()},
                 {"slots", 20},
                 {"state", "ready"},
                 {"seq", 1},
                 {"born", 1'700'000'000'000}});
    }
    store_proxy.SetReplacements(replacements);
    const Address replaced_store = std::get<Address>(store_proxy.Listen({"127.0.0.1", 0}));
    for (std::size_t i = 0; i < 3; ++i) {
      gateways.push_back(std::make_unique<GatewayProcess>(
          folder, "g" + std::to_string(i), i == stranded ? replaced_store : store_address));
      StartGateway(*gateways.back());
    }
    RunFor(kSettleTime);
  }
  static nlohmann::json MakeRoute(const std::string& prefix, const std::string& type) {
    return {{"name", prefix}, {"host", "h"},    {"path_prefix", prefix},
            {"type", type},   {"service", "s"}, {"attempts", 2},
            {"goal_ms", 200}, {"public", true}, {"timeout_ms", 1'500}};
  }
  /// @param keeps_connections whether existing connections live on
  void Cut(bool keeps_connections) {
    for (const auto& proxy : engine_proxies) {
      proxy->StopListening();
      if (!keeps_connections) proxy->SetMode(standin::ProxyMode::kCut);
    }
  }
  void Heal() {
    for (std::size_t i = 0; i < engine_proxies.size(); ++i) {
      engine_proxies[i]->SetMode(standin::ProxyMode::kPass);
      BOOST_REQUIRE(IsOk(engine_proxies[i]->Listen(proxy_addresses[i])));
    }
  }
  /// Sends first tries of both kinds, in turn to each instance.
  /// @return how many each instance has served
  std::vector<int> SendRequests(int per_instance) {
    std::vector<std::pair<std::size_t, std::unique_ptr<PendingCall>>> calls;
    std::map<std::size_t, std::string> ids;
    for (int i = 0; i < per_instance * 3; ++i) {
      const auto instance = static_cast<std::size_t>(i) % 3;
      const bool is_read = i / 3 % 2 == 0;
      const std::string id = "r" + std::to_string(++request_count);
      ids[calls.size()] = id;
      calls.emplace_back(instance, Send(gateways[instance]->front, is_read ? "GET" : "POST",
                                        is_read ? "/read/x" : "/book/x",
                                        {{"Host", "h"},
                                         {names::kAttempt, id},
                                         {names::kDeadline, "1500"},
                                         {"Content-Length", "0"}}));
      RunFor(kRequestPeriod / 3);
    }
    RunFor(kResponseTimeout);
    std::vector<int> served(3);
    for (std::size_t i = 0; i < calls.size(); ++i) {
      const auto& [instance, call] = calls[i];
      if (call->Status() == 200) ++served[instance];
      if (call->Status() == 200) BOOST_TEST(runs[ids[i]] == 1, ids[i] << " did not run once");
      if (call->Status() == 503) BOOST_TEST(runs[ids[i]] == 0, ids[i] << " ran");
    }
    return served;
  }
  /// Checks rule RECOVER, and that no request runs twice, while the cut lasts and after it.
  void Check(bool keeps_connections) {
    BOOST_TEST(SendRequests(10) == std::vector<int>(3, 10), boost::test_tools::per_element());
    Cut(keeps_connections);
    SendRequests(static_cast<int>(kStableWindow / kRequestPeriod));
    const std::vector<int> served = SendRequests(kMeasured);
    const int failed = kMeasured - served[stranded];
    for (std::size_t i = 0; i < served.size(); ++i)
      BOOST_TEST(served[i] == kMeasured, "instance " << i << " served " << served[i]);
    BOOST_TEST(failed <= 10 + 3 * kMeasured / 50, failed << " first tries failed");
    Heal();
    RunFor(kSettleTime);
    BOOST_TEST(SendRequests(10) == std::vector<int>(3, 10), boost::test_tools::per_element());
    for (const auto& [id, count] : runs) BOOST_TEST(count <= 1, id << " ran " << count << " times");
  }
};

}  // namespace

// Guards against callers who are served by all instances but the one that reaches no engine.
BOOST_FIXTURE_TEST_CASE(CallersOfAStrandedInstanceAreServed, Fixture) {
  Start(2);
  Check(false);
}

// Guards against the same, and against engines that are avoided by all, at the coordinator.
BOOST_FIXTURE_TEST_CASE(CallersOfAStrandedCoordinatorAreServed, Fixture) {
  Start(0);
  Check(false);
}

// Guards against the same while connections that were open before live on.
BOOST_FIXTURE_TEST_CASE(CallersAreServedWhileOldConnectionsLiveOn, Fixture) {
  Start(2);
  Check(true);
}

}  // namespace bluebellpass::test
