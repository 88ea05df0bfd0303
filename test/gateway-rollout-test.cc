#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "cli/client.h"
#include "gateway-process.h"
#include "platform/names.h"
#include "soak/engine-standin.h"
#include "soak/store-standin.h"

/// Roll-outs in a fleet of gateway processes, with a store that may fail.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr char kHost[] = "rollout.test";
constexpr char kService[] = "desk";
constexpr char kOld[] = "v1";
constexpr char kTarget[] = "v2";
constexpr Millis kStartTimeout{15'000};
// The deadline of the orders and how long the tests wait for the outcome, on a busy machine too.
constexpr int kDeadlineSeconds = 12;
constexpr Millis kOutcomeTimeout{60'000};
constexpr Millis kRequestPeriod{10};
constexpr std::size_t kGateways = 3;
constexpr int kEnginesPerVersion = 3;
constexpr int kSlots = 8;
constexpr int kBadFailurePercent = 50;
constexpr double kExposeShare = 0.1;
constexpr double kExposeSlack = 50;
constexpr char kBounds[] = "  expose_share: 0.1\n  expose_slack: 50\n  rollback_ms: 5000\n";
// Runs of the target after which a test disturbs the roll-out.
constexpr std::size_t kRunsBeforeFault = 10;
constexpr Millis kStoreOutage{4'000};
constexpr Millis kTimeAfterOutcome{2'000};

struct Fixture : ClientFixture {
  StoreStandin store{loop, 1};
  Address store_address = store.Listen();
  std::string folder = MakeLogFolder("gateway-rollout");
  std::vector<std::unique_ptr<EngineStandin>> engines;
  std::map<std::string, std::size_t> runs;  ///< by version
  std::vector<std::unique_ptr<GatewayProcess>> gateways;
  std::vector<Address> entries;  ///< of the gateways that get requests
  std::vector<std::unique_ptr<PendingCall>> calls;
  Timer request_timer{loop};
  std::size_t request_count = 0;
  std::size_t count_before_order = 0;
  std::size_t completed_count = 0;

  Fixture() {
    const json route = {{"name", "r"},          {"host", kHost},       {"path_prefix", "/"},
                        {"type", "idempotent"}, {"service", kService}, {"attempts", 3},
                        {"timeout_ms", 4'000},  {"goal_ms", 300},      {"public", true}};
    store.Put(names::kConfigKind, names::kConfigName,
              {{"version", 1},
               {"routes", json::array({route})},
               {"services", json::array({{{"name", kService}}})}});
    StartEngines(kOld, 0);
    for (std::size_t i = 0; i < kGateways; ++i) {
      const std::string name = "g" + std::to_string(i);
      gateways.push_back(
          std::make_unique<GatewayProcess>(folder, name, store_address, kBounds, "rollout"));
      gateways.back()->Start();
      entries.push_back(gateways.back()->front);
      BOOST_REQUIRE(RunUntil(
          [&] {
            return Get(entries.back(), "/x",
                       {{"Host", kHost}, {names::kAttempt, "s" + std::to_string(++request_count)}})
                       ->Status() == 200;
          },
          kStartTimeout));
    }
    BOOST_REQUIRE(RunUntil([&] { return Coordinator() != nullptr; }, kStartTimeout));
    request_timer.StartPeriodic(kRequestPeriod, [this] { SendRequest(); });
  }

  void StartEngines(const std::string& version, int failure_percent) {
    for (int i = 0; i < kEnginesPerVersion; ++i) {
      const std::string id = version + "-" + std::to_string(i);
      engines.push_back(std::make_unique<EngineStandin>(
          loop, id, kSlots, [this, version](const SoakRun&) { ++runs[version]; }));
      engines.back()->SetFailurePercent(failure_percent);
      store.Put(names::kBackendKind, id,
                {{"service", kService},
                 {"addr", engines.back()->Listen().Text()},
                 {"slots", kSlots},
                 {"version", version},
                 {"state", "ready"}});
    }
  }

  void SendRequest() {
    std::erase_if(calls, [this](const auto& call) {
      if (call->Status() == 200) ++completed_count;
      return call->result.has_value();
    });
    ++request_count;
    calls.push_back(
        Send(entries[request_count % entries.size()], "GET", "/x",
             {{"Host", kHost}, {names::kAttempt, "q" + std::to_string(request_count)}}));
  }

  /// @return the gateway that all others follow, if there is one
  GatewayProcess* Coordinator() {
    for (const auto& gateway : gateways) {
      const std::string text = Get(gateway->metrics, "/metrics")->body;
      const std::string followers =
          "gateway_followers " + std::to_string(gateways.size() - 1) + "\n";
      if (text.find("gateway_is_coordinator 1\n") != std::string::npos &&
          text.find(followers) != std::string::npos)
        return gateway.get();
    }
    return nullptr;
  }

  void Order(int failure_percent) {
    count_before_order = request_count;
    store.Put(names::kRolloutKind, kService,
              {{"service", kService}, {"target", kTarget}, {"deadline_s", kDeadlineSeconds}});
    StartEngines(kTarget, failure_percent);
  }
  std::string State() const {
    const json status = store.StatusOf(names::kRolloutKind, kService);
    return status.is_object() ? status.value("state", "") : "";
  }
  bool LogsContain(const std::string& text) const {
    return std::any_of(gateways.begin(), gateways.end(), [&](const auto& gateway) {
      return gateway->Log().find(text) != std::string::npos;
    });
  }

  /// Waits for a final state, then checks that the version that has lost gets no requests, and that
  /// the other one serves.
  void CheckOutcome(const std::string& state) {
    RunUntil([&] { return State() == "done" || State() == "reverted"; }, kOutcomeTimeout);
    const json status = store.StatusOf(names::kRolloutKind, kService);
    BOOST_TEST_MESSAGE(status.dump() << ", requests " << request_count - count_before_order
                                     << ", runs of the target " << runs[kTarget]);
    BOOST_REQUIRE(status.is_object());
    BOOST_TEST(State() == state, status.dump());
    BOOST_TEST(status.value("target", "") == kTarget);
    const std::string loser = state == "done" ? kOld : kTarget;
    const std::size_t loser_runs = runs[loser];
    const std::size_t completed_before = completed_count;
    RunFor(kTimeAfterOutcome);
    BOOST_TEST(runs[loser] == loser_runs);
    BOOST_TEST(completed_count > completed_before);
    BOOST_TEST(State() == state);
  }
  void CheckExposure() {
    const auto requests = static_cast<double>(request_count - count_before_order);
    BOOST_TEST(static_cast<double>(runs[kTarget]) <= kExposeShare * requests + kExposeSlack);
    BOOST_TEST(runs[kTarget] > 0U);
  }
  void WaitForRunsOfTarget() {
    BOOST_REQUIRE(RunUntil([&] { return runs[kTarget] >= kRunsBeforeFault; }, kStartTimeout));
  }
  void KillCoordinator() {
    GatewayProcess* coordinator = nullptr;
    BOOST_REQUIRE(
        RunUntil([&] { return (coordinator = Coordinator()) != nullptr; }, kStartTimeout));
    coordinator->process.Kill();
    std::erase(entries, coordinator->front);
  }
  /// @return the rows of an operators' command, sent to the metrics address of a gateway
  json Show(const GatewayProcess& gateway) {
    std::ostringstream out;
    std::ostringstream err;
    const auto exit = RunClient(
        loop, {"show", "rollouts", "--json", "--entry", gateway.metrics.Text()}, {}, out, err);
    BOOST_TEST((exit == ClientExit::kSuccess), out.str() << err.str());
    return json::parse(out.str(), nullptr, false).value("rows", json());
  }
  void InterruptStore() {
    store.SetFault(StoreStandin::Fault::kSilent);
    const json status = store.StatusOf(names::kRolloutKind, kService);
    BOOST_REQUIRE(status.is_object());
    RunFor(kStoreOutage);
    BOOST_TEST(runs[kTarget] <= status["progress"]["exposure_limit"].get<std::size_t>());
    store.SetFault(StoreStandin::Fault::kNone);
  }
};

}  // namespace

// Guards against old backend servers that still get requests when the operator may stop them.
BOOST_FIXTURE_TEST_CASE(GoodVersionTakesOver, Fixture) {
  Order(0);
  CheckOutcome("done");
}

// Guards against a bad version that takes over, gets more requests than the bounds allow, or is
// reverted on a late suspicion only.
BOOST_FIXTURE_TEST_CASE(BadVersionIsReverted, Fixture) {
  Order(kBadFailurePercent);
  CheckOutcome("reverted");
  CheckExposure();
  BOOST_TEST(LogsContain("\"state\":\"reverted\""));
  const GatewayProcess* coordinator = Coordinator();
  BOOST_REQUIRE(coordinator != nullptr);
  const json rows = Show(*coordinator);
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST(rows[0]["state"] == "reverted");
  BOOST_TEST(rows[0]["reason"].get<std::string>().starts_with("failures"));
  BOOST_TEST(rows[0]["target_failures"].get<int>() > 0);
  const json same_rows = json::parse(Get(coordinator->metrics, "/v1/rollouts")->body)["rows"];
  BOOST_TEST(same_rows[0]["reason"] == rows[0]["reason"]);
  BOOST_TEST(Get(coordinator->metrics, "/metrics")
                 ->body.find("gateway_rollout_state{service=\"desk\",target=\"v2\",state="
                             "\"reverted\"} 1\n") != std::string::npos);
}

// Guards against a roll-out that ends with its coordinator.
BOOST_FIXTURE_TEST_CASE(GoodVersionTakesOverAfterTheLossOfTheCoordinator, Fixture) {
  Order(0);
  WaitForRunsOfTarget();
  KillCoordinator();
  CheckOutcome("done");
}

// Guards against a successor that begins with a new exposure budget.
BOOST_FIXTURE_TEST_CASE(BadVersionIsRevertedAfterTheLossOfTheCoordinator, Fixture) {
  Order(kBadFailurePercent);
  WaitForRunsOfTarget();
  KillCoordinator();
  CheckOutcome("reverted");
  CheckExposure();
}

// Guards against a roll-out that does not continue after an outage of the store.
BOOST_FIXTURE_TEST_CASE(GoodVersionTakesOverAfterAnOutageOfTheStore, Fixture) {
  Order(0);
  WaitForRunsOfTarget();
  InterruptStore();
  CheckOutcome("done");
}

// Guards against exposure above the stored limit, and a revert that is not written, when the store
// does not answer.
BOOST_FIXTURE_TEST_CASE(BadVersionIsRevertedInAnOutageOfTheStore, Fixture) {
  Order(kBadFailurePercent);
  WaitForRunsOfTarget();
  InterruptStore();
  CheckOutcome("reverted");
  CheckExposure();
}

// Guards against an order that cannot be ended, because its object was made unusable meanwhile and
// has another revision.
BOOST_FIXTURE_TEST_CASE(OrderThatBecomesMalformedIsWithdrawn, Fixture) {
  Order(0);
  WaitForRunsOfTarget();
  store.Put(names::kRolloutKind, kService, {{"service", kService}, {"deadline_s", 1}});
  BOOST_TEST(RunUntil([&] { return LogsContain("the order was withdrawn"); }, kStartTimeout));
  // Requests that were granted before may still be sent.
  RunFor(kTimeAfterOutcome);
  const std::size_t target_runs = runs[kTarget];
  const std::size_t completed_before = completed_count;
  RunFor(kTimeAfterOutcome);
  BOOST_TEST(runs[kTarget] == target_runs);
  BOOST_TEST(completed_count > completed_before);
  BOOST_TEST(State() != "done");
}

// Guards against orders that cannot be used, but get a status or keep requests from their service.
BOOST_FIXTURE_TEST_CASE(MalformedOrdersAreRejected, Fixture) {
  store.Put(names::kRolloutKind, kService,
            {{"service", kService}, {"deadline_s", kDeadlineSeconds}});
  store.Put(names::kRolloutKind, "other",
            {{"service", kService}, {"target", kTarget}, {"deadline_s", kDeadlineSeconds}});
  const auto is_rejected = [&](const std::string& name) {
    return LogsContain("rollout_rejected\",\"severity\":\"warning\",\"object\":\"" + name + "\"");
  };
  RunUntil([&] { return is_rejected(kService) && is_rejected("other"); }, kStartTimeout);
  BOOST_TEST(is_rejected(kService));
  BOOST_TEST(is_rejected("other"));
  const std::size_t completed_before = completed_count;
  RunFor(kTimeAfterOutcome);
  BOOST_TEST(completed_count > completed_before);
  BOOST_TEST(store.StatusOf(names::kRolloutKind, kService).is_null());
  BOOST_TEST(store.StatusOf(names::kRolloutKind, "other").is_null());
}

}  // namespace bluebellpass::test
