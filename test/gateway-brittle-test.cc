#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "gateway-process.h"
#include "platform/names.h"
#include "soak/engine-standin.h"
#include "soak/store-standin.h"

/// Backend servers that fall over when they have to turn away too many requests in a second.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;

constexpr Millis kSettleTime{1'500};
constexpr int kEngines = 4;
// Enough that each engine gets one.
constexpr std::size_t kAnnouncingCalls = 8;
constexpr int kSlots = 8;
constexpr Millis kResponseDelay{300};
constexpr Millis kLateResponseDelay{2'500};
constexpr Millis kBurstPeriod{250};
constexpr Millis kPatience{60};
constexpr int kBursts = 24;
constexpr int kBurstSize = 40;

/// Instances in front of engines that go on with the runs of callers who have left. The instances
/// do not know of these runs, so the engines have less room than they seem to have.
struct Fixture : ClientFixture {
  StoreStandin store{loop, 1};
  Address store_address = store.Listen();
  std::string folder = MakeLogFolder("gateway-brittle");
  std::vector<std::unique_ptr<GatewayProcess>> gateways;
  std::vector<std::unique_ptr<EngineStandin>> engines;
  int request_count = 0;
  int served = 0;

  void Start(int gateway_count) {
    store.Put(names::kConfigKind, names::kConfigName,
              {{"version", 1},
               {"routes",
                {{{"name", "r"},
                  {"host", "h"},
                  {"path_prefix", "/call/"},
                  {"type", "idempotent"},
                  {"service", "s"},
                  {"attempts", 2},
                  {"goal_ms", 1'000},
                  {"public", true}}}},
               {"services", {{{"name", "s"}}}}});
    for (int i = 0; i < kEngines; ++i) {
      engines.push_back(std::make_unique<EngineStandin>(loop, "e" + std::to_string(i), kSlots,
                                                        [](const SoakRun&) {}));
      engines.back()->SetKeepsRuns(true);
      engines.back()->SetResponseDelay(kResponseDelay);
      store.Put(names::kBackendKind, engines.back()->Id(),
                {{"service", "s"},
                 {"addr", engines.back()->Listen().Text()},
                 {"slots", kSlots},
                 {"state", "ready"},
                 {"seq", 1},
                 {"born", 1'700'000'000'000}});
    }
    for (int i = 0; i < gateway_count; ++i) {
      gateways.push_back(
          std::make_unique<GatewayProcess>(folder, "g" + std::to_string(i), store_address));
      StartGateway(*gateways.back());
    }
    RunFor(kSettleTime);
  }
  std::unique_ptr<PendingCall> Call() {
    const std::string id = "r" + std::to_string(++request_count);
    const auto& gateway = gateways[static_cast<std::size_t>(request_count) % gateways.size()];
    return Send(gateway->front, "GET", "/call/x", {{"Host", "h"}, {names::kAttempt, id}});
  }
  /// Has each engine respond, which states its limit.
  void Announce() {
    std::vector<std::unique_ptr<PendingCall>> calls(kAnnouncingCalls);
    for (auto& call : calls) call = Call();
    RunFor(kSettleTime);
  }
  /// Each caller of a burst leaves after kPatience, but every fourth, which waits for its response.
  void SendBursts() {
    std::vector<std::unique_ptr<PendingCall>> patient;
    for (int burst = 0; burst < kBursts; ++burst) {
      std::vector<std::unique_ptr<PendingCall>> impatient;
      for (int i = 0; i < kBurstSize; ++i) (i % 4 == 0 ? patient : impatient).push_back(Call());
      RunFor(kPatience);
      impatient.clear();
      RunFor(kBurstPeriod - kPatience);
    }
    RunFor(Millis{1'000});
    for (const auto& call : patient) served += call->Status() == 200 ? 1 : 0;
  }
  int FallCount() const {
    int count = 0;
    for (const auto& engine : engines) count += engine->FallCount();
    return count;
  }
  std::uint64_t RejectionCount() const {
    std::uint64_t count = 0;
    for (const auto& engine : engines) count += engine->RejectionCount();
    return count;
  }
  /// Checks rule LIMIT for one time in which engines are brittle.
  void CheckLimit(const std::string& what) const {
    BOOST_TEST_MESSAGE(what << ": " << FallCount() << " falls, " << RejectionCount()
                            << " rejections, " << served << " served");
    BOOST_TEST(FallCount() <= 2 + kEngines / 10, what);
  }
};

}  // namespace

// Guards against engines that fall over one after the other because each turns away too much.
BOOST_AUTO_TEST_CASE(BrittleEnginesKeepStanding) {
  for (const int senders : {1, 12}) {
    for (const int limit : {1, 3, 6}) {
      Fixture fixture;
      fixture.Start(senders);
      for (const auto& engine : fixture.engines) engine->SetBrittle(limit);
      fixture.Announce();
      fixture.SendBursts();
      fixture.CheckLimit(std::to_string(senders) + " senders, limit " + std::to_string(limit));
    }
  }
}

// Shows that the load of these cases has engines turn away many requests when they state no limit.
BOOST_FIXTURE_TEST_CASE(LoadExceedsTheRoomOfEngines, Fixture) {
  Start(3);
  Announce();
  SendBursts();
  BOOST_TEST_MESSAGE("no limit: " << RejectionCount() << " rejections, " << served << " served");
  BOOST_TEST(RejectionCount() >= static_cast<std::uint64_t>(10 * kEngines));
}

// Guards against a limit that is taken for that of another engine, and against one that stays after
// it is withdrawn.
BOOST_FIXTURE_TEST_CASE(LimitsDifferAndAreWithdrawn, Fixture) {
  Start(3);
  engines[0]->SetBrittle(1);
  engines[1]->SetBrittle(5);
  Announce();
  SendBursts();
  CheckLimit("limits 1, 5 and none");
  for (const auto& engine : engines) {
    engine->SetBrittle({});
    engine->SetKeepsRuns(false);
  }
  RunFor(Millis{EngineStandin::kDownTime});
  served = 0;
  SendBursts();
  BOOST_TEST_MESSAGE("withdrawn: " << served << " served");
  // Enough for all, so that hardly any caller who waits is refused.
  BOOST_TEST(served >= kBursts * kBurstSize / 4 * 9 / 10);
}

// Guards against responses that were begun before the limit was stated, and withdraw it when they
// come.
BOOST_FIXTURE_TEST_CASE(LateResponsesDoNotWithdrawTheLimit, Fixture) {
  Start(1);
  for (const auto& engine : engines) engine->SetResponseDelay(kLateResponseDelay);
  std::vector<std::unique_ptr<PendingCall>> late(kAnnouncingCalls);
  for (auto& call : late) call = Call();
  RunFor(kResponseDelay);
  for (const auto& engine : engines) {
    engine->SetResponseDelay(kResponseDelay);
    engine->SetBrittle(1);
  }
  Announce();
  RunFor(kLateResponseDelay);
  for (const auto& call : late) BOOST_TEST(call->Status() == 200);
  SendBursts();
  CheckLimit("limit 1, stated before late responses");
  BOOST_TEST(FallCount() == 0);
}

}  // namespace bluebellpass::test
