#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "gateway-process.h"
#include "platform/names.h"
#include "soak/engine-standin.h"
#include "soak/store-standin.h"

/// Gateways whose store comes back from a copy that is some seconds old.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr Millis kStartTimeout{10'000};
constexpr Millis kMaxConfigDelay{2'000};
constexpr Millis kMaxDrainDelay{2'000};
// Until watches that began before are answered, and views are confirmed over the links.
constexpr Millis kSettleTime{1'500};
// The time after which an instance uses an entry that is older than what it knows.
constexpr Millis kOutdatedEntryTime{6'000};
constexpr int kUnrelatedChanges = 20;
constexpr int kRequestsPerGateway = 20;

struct Fixture : ClientFixture {
  StoreStandin store{loop, 1};
  Address store_address = store.Listen();
  std::string folder = MakeLogFolder("gateway-store-restore");
  std::vector<std::unique_ptr<GatewayProcess>> gateways;
  std::map<std::string, TimePoint> last_run;  ///< by engine
  std::vector<std::unique_ptr<EngineStandin>> engines;
  std::vector<Address> engine_addresses;
  int request_count = 0;

  Fixture() {
    for (const char* id : {"e0", "e1"}) {
      engines.push_back(std::make_unique<EngineStandin>(
          loop, id, 50, [this](const SoakRun& run) { last_run[run.engine] = run.started; }));
      engine_addresses.push_back(engines.back()->Listen());
      Register(engines.size() - 1, "ready", 1);
    }
    SetConfig(1, {"/first/"});
    for (const char* id : {"a", "b", "c"}) {
      gateways.push_back(std::make_unique<GatewayProcess>(folder, id, store_address));
      gateways.back()->Start();
      // One after the other, so that the first one coordinates.
      BOOST_REQUIRE(RunUntil([&] { return IsServing(*gateways.back()); }, kStartTimeout));
    }
    RunFor(kSettleTime);
  }

  /// @param report number of the engine's report, which rises with each
  void Register(std::size_t engine, const std::string& state, int report) {
    store.Put(names::kBackendKind, "e" + std::to_string(engine),
              {{"service", "s"},
               {"addr", engine_addresses[engine].Text()},
               {"slots", 50},
               {"state", state},
               {"seq", report},
               {"born", 1'700'000'000'000}});
  }
  void SetConfig(int version, const std::vector<std::string>& prefixes) {
    json routes = json::array();
    for (const std::string& prefix : prefixes)
      routes.push_back({{"name", prefix},
                        {"host", "h"},
                        {"path_prefix", prefix},
                        {"type", "idempotent"},
                        {"service", "s"},
                        {"attempts", 2},
                        {"public", true}});
    store.Put(names::kConfigKind, names::kConfigName,
              {{"version", version}, {"routes", routes}, {"services", {{{"name", "s"}}}}});
  }
  /// Raises the store's revision by changes that no gateway depends on.
  void MakeUnrelatedChanges() {
    for (int i = 0; i < kUnrelatedChanges; ++i)
      store.Put("other", "object", {{"number", ++request_count}});
  }
  int StatusOf(const GatewayProcess& gateway, const std::string& path) {
    return Get(gateway.front, path,
               {{"Host", "h"}, {names::kAttempt, "r" + std::to_string(++request_count)}})
        ->Status();
  }
  bool IsServing(const GatewayProcess& gateway) { return StatusOf(gateway, "/first/x") == 200; }
  /// Checks that a route is served by every gateway in time.
  void CheckServed(const std::string& path) {
    const TimePoint begin = std::chrono::steady_clock::now();
    for (const auto& gateway : gateways) {
      const auto left =
          std::max(Millis{1}, std::chrono::duration_cast<Millis>(begin + kMaxConfigDelay -
                                                                 std::chrono::steady_clock::now()));
      BOOST_TEST(RunUntil([&] { return StatusOf(*gateway, path) == 200; }, left),
                 gateway->name << " does not serve " << path);
    }
  }
  /// Checks that an engine gets no more requests once it must not.
  void CheckDrained(const std::string& engine) {
    const TimePoint drained_by = std::chrono::steady_clock::now() + kMaxDrainDelay;
    while (std::chrono::steady_clock::now() < drained_by + kSettleTime)
      for (const auto& gateway : gateways) StatusOf(*gateway, "/first/x");
    const bool is_drained = !last_run.contains(engine) || last_run[engine] <= drained_by;
    BOOST_TEST(is_drained, engine << " still gets requests");
  }
};

}  // namespace

// Guards against a configuration that is not in force because the store gave its revision out
// again.
BOOST_FIXTURE_TEST_CASE(ConfigAfterRestoreIsInForce, Fixture) {
  store.MakeCopy();
  MakeUnrelatedChanges();
  SetConfig(2, {"/first/", "/second/"});
  CheckServed("/second/x");
  store.Restore();
  SetConfig(3, {"/first/", "/second/", "/third/"});
  CheckServed("/third/x");
}

// Guards against the same when the store's revision has passed the one before when it is read.
BOOST_FIXTURE_TEST_CASE(ConfigBeforeLaterRevisionIsInForce, Fixture) {
  store.MakeCopy();
  MakeUnrelatedChanges();
  SetConfig(2, {"/first/", "/second/"});
  CheckServed("/second/x");
  store.Restore();
  SetConfig(3, {"/first/", "/second/", "/third/"});
  MakeUnrelatedChanges();
  MakeUnrelatedChanges();
  CheckServed("/third/x");
}

// Guards against requests to a backend server that says it leaves after the store came back.
BOOST_FIXTURE_TEST_CASE(LeavingAfterRestoreIsObeyed, Fixture) {
  store.MakeCopy();
  MakeUnrelatedChanges();
  Register(0, "ready", 2);
  RunFor(kSettleTime);
  store.Restore();
  Register(0, "draining", 3);
  CheckDrained("e0");
}

// Guards against requests to a backend server that is leaving, while the copy says that it is
// ready.
BOOST_FIXTURE_TEST_CASE(LeavingBeforeRestoreIsObeyed, Fixture) {
  store.MakeCopy();
  Register(0, "draining", 2);
  MakeUnrelatedChanges();
  RunFor(kSettleTime);
  store.Restore();
  CheckDrained("e0");
}

// Guards against an outdated entry that is used because the store is away when it should expire.
BOOST_FIXTURE_TEST_CASE(LeavingBeforeRestoreIsObeyedWithoutTheStore, Fixture) {
  store.MakeCopy();
  Register(0, "draining", 2);
  MakeUnrelatedChanges();
  RunFor(kSettleTime);
  store.Restore();
  RunFor(kSettleTime);
  store.SetFault(StoreStandin::Fault::kSilent);
  RunFor(kOutdatedEntryTime);
  CheckDrained("e0");
}

// Guards against requests to a backend server that has left, while the copy still names it.
BOOST_FIXTURE_TEST_CASE(RemovalBeforeRestoreIsObeyed, Fixture) {
  store.MakeCopy();
  store.Delete(names::kBackendKind, "e0");
  MakeUnrelatedChanges();
  RunFor(kSettleTime);
  store.Restore();
  CheckDrained("e0");
}

// Guards against a configuration that goes back to the one in the copy.
BOOST_FIXTURE_TEST_CASE(ConfigDoesNotGoBackWithTheStore, Fixture) {
  store.MakeCopy();
  SetConfig(2, {"/first/", "/second/"});
  CheckServed("/second/x");
  store.Restore();
  RunFor(kSettleTime);
  for (const auto& gateway : gateways)
    for (int i = 0; i < kRequestsPerGateway; ++i)
      BOOST_TEST(StatusOf(*gateway, "/second/x") == 200);
}

// Guards against an instance that is unknown to others because its registration was lost.
BOOST_FIXTURE_TEST_CASE(LostRegistrationIsRenewed, Fixture) {
  store.Delete(names::kInstanceKind, "b");
  store.MakeCopy();
  store.Restore();
  MakeUnrelatedChanges();
  BOOST_TEST(RunUntil([&] { return store.Contains(names::kInstanceKind, "b"); }, kStartTimeout));
}

}  // namespace bluebellpass::test
