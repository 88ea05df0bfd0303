#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>

#include "cluster/process.h"
#include "kernel/http1-pool.h"
#include "platform/names.h"
#include "soak/store-standin.h"

/// The record of crashes in a fleet of gateway processes.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr Millis kStartTimeout{10'000};
constexpr Millis kResponseTimeout{3'000};
constexpr int kEngines = 8;
constexpr Millis kExitTime{30};
constexpr char kCrasher[] = "crash";
constexpr char kPath[] = "/chat/x";
constexpr char kCrashingTarget[] = "/chat/x?id=666";
constexpr int kRepetitions = 8;

/// An engine that answers each request with one event, and stops listening when it begins to run
/// a crashing request.
class CrashingEngine {
 public:
  CrashingEngine(EventLoop& loop, std::string id) : m_loop(loop), m_id(std::move(id)) {
    m_server = std::make_unique<Http1Server>(
        loop, Http1Limits{},
        [this](const std::shared_ptr<HttpExchange>& exchange) { Handle(exchange); });
  }
  Address Listen() { return std::get<Address>(m_server->Listen({"127.0.0.1", 0})); }
  const std::string& Id() const { return m_id; }
  bool HasCrashed() const { return m_server == nullptr; }

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    if (exchange->Body() == kCrasher || exchange->Head().target == kCrashingTarget) {
      // As in a process that exits slowly, connections are reset before the port is closed.
      exchange->Abort();
      m_loop.RunAfter(kExitTime, [this] { m_server.reset(); });
      return;
    }
    const std::string id = exchange->Head().Value(names::kAttempt);
    exchange->Start(200, {{names::kAttempt, id},
                          {names::kSignature, m_id + "." + id},
                          {"Content-Type", "text/event-stream"}});
    exchange->Write("id: 1\ndata: x\n\n");
    exchange->End();
  }

  EventLoop& m_loop;
  std::string m_id;
  std::unique_ptr<Http1Server> m_server;
};

struct Gateway {
  Address address{"127.0.0.1", FindFreePort()};
  std::string settings_path;
  std::string log_path;
  Process process;
};

struct Fixture {
  EventLoop loop;
  StoreStandin store{loop, 1};
  std::vector<std::unique_ptr<CrashingEngine>> engines;
  HttpConnectionPool pool{loop, ConnectionPoolOptions{}};
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::string directory = MakeLogFolder("gateway-crash-fleet");
  Address store_address = store.Listen();
  int request_count = 0;

  Fixture() {
    const json route = {{"name", "r"},         {"host", "crash.test"}, {"path_prefix", "/chat/"},
                        {"type", "stream"},    {"service", "chat"},    {"attempts", 1},
                        {"timeout_ms", 9'000}, {"goal_ms", 300},       {"public", true}};
    const json engine = {{"slots", 4}, {"kv_capacity", 1'000'000}, {"stride", 1}};
    store.Put(names::kConfigKind, names::kConfigName,
              {{"version", 1},
               {"routes", json::array({route})},
               {"services", json::array({{{"name", "chat"}, {"engine", engine}}})}});
    for (int i = 0; i < kEngines; ++i) {
      engines.push_back(std::make_unique<CrashingEngine>(loop, "e" + std::to_string(i)));
      store.Put(names::kBackendKind, engines.back()->Id(),
                {{"service", "chat"},
                 {"addr", engines.back()->Listen().Text()},
                 {"slots", 4},
                 {"state", "ready"}});
    }
  }

  /// Starts a gateway. The one that is started first coordinates.
  Gateway& StartGateway() {
    const std::string name = "g" + std::to_string(gateways.size());
    gateways.push_back(std::make_unique<Gateway>());
    Gateway& gateway = *gateways.back();
    gateway.settings_path = directory + "/" + name + ".yaml";
    gateway.log_path = directory + "/" + name + ".log";
    std::ofstream(gateway.settings_path)
        << "node: " << name << "\nip: 127.0.0.1\nlisten:\n  front: " << gateway.address.Text()
        << "\nport_range: [" << FindFreePort() << ", " << FindFreePort()
        << "]\nbounds:\n  grace_s: 8\nplatform:\n  addr: " << store_address.Text() << "\n";
    Start(gateway);
    BOOST_REQUIRE(RunUntil([&] { return Send(gateway, "sound") == 200; }, kStartTimeout));
    return gateway;
  }
  static void Start(Gateway& gateway) {
    gateway.process = Process({std::string(BLUEBELLPASS_BINARY_DIR) + "/bluebellpass", "gateway",
                               "--settings", gateway.settings_path},
                              gateway.log_path);
  }

  template <class Condition>
  bool RunUntil(Condition condition, Millis timeout) {
    const TimePoint end = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < end) loop.RunOnce(Millis{5});
    return condition();
  }
  void RunFor(Millis duration) {
    RunUntil([] { return false; }, duration);
  }

  /// @return the status of the response, or 0 when the connection ended before it was complete
  int Send(const Gateway& gateway, const std::string& body, const std::string& target = kPath) {
    int status = 0;
    std::optional<PooledCallResult> result;
    PooledCallHandlers handlers;
    handlers.on_head = [&](const HttpHead& head) {
      status = head.status;
      return true;
    };
    handlers.on_end = [&](PooledCallResult end) { result = end; };
    const std::string head =
        SerializeRequest("POST", target,
                         {{"Host", "crash.test"},
                          {names::kAttempt, "q" + std::to_string(++request_count)},
                          {names::kTokenCounts, "100,5"},
                          {"Content-Length", std::to_string(body.size())}});
    const auto call = pool.StartCall(gateway.address, head + body, std::move(handlers), true);
    RunUntil([&] { return result.has_value(); }, kResponseTimeout);
    return result == PooledCallResult::kComplete ? status : 0;
  }

  std::size_t CrashCount() const {
    return static_cast<std::size_t>(std::count_if(
        engines.begin(), engines.end(), [](const auto& engine) { return engine->HasCrashed(); }));
  }
  /// Sends the crashing request, then others, so that the crash is noticed. The pause keeps it
  /// apart from the next crash, since simultaneous ones count once.
  void SendCrasher(const Gateway& gateway) {
    Send(gateway, kCrasher);
    for (int i = 0; i < 2 * kEngines; ++i) Send(gateway, "sound" + std::to_string(i));
    RunFor(Millis{500});
  }
};

}  // namespace

// Guards against crash records that are lost with the coordinator.
BOOST_FIXTURE_TEST_CASE(CrashRecordOutlivesTheCoordinator, Fixture) {
  Gateway& first = StartGateway();
  const Gateway& second = StartGateway();
  RunFor(Millis{1'500});
  SendCrasher(first);
  SendCrasher(second);
  BOOST_REQUIRE(CrashCount() == 2U);
  first.process.Kill();
  RunFor(Millis{2'500});
  for (int i = 0; i < 3; ++i) SendCrasher(second);
  BOOST_TEST(CrashCount() == 2U);
}

// Guards against crashes that are not noticed because no other request goes to the crashed engine.
BOOST_FIXTURE_TEST_CASE(CrashIsNoticedWithoutOtherRequests, Fixture) {
  const Gateway& gateway = StartGateway();
  for (int i = 0; i < kEngines; ++i) {
    Send(gateway, kCrasher);
    RunFor(Millis{300});
  }
  BOOST_TEST(CrashCount() == 2U);
}

// Guards against a request that crashes engines and is never held back, because sound requests for
// its path with other queries complete.
BOOST_FIXTURE_TEST_CASE(CrashesOfAQueryAreNotClearedByOtherQueries, Fixture) {
  const Gateway& gateway = StartGateway();
  for (int i = 0; i < kRepetitions; ++i) {
    Send(gateway, "", kCrashingTarget);
    for (int n = 0; n < 2 * kEngines; ++n)
      Send(gateway, "", std::string(kPath) + "?id=" + std::to_string(n));
    RunFor(Millis{300});
  }
  BOOST_TEST(CrashCount() == 2U);
  BOOST_TEST(Send(gateway, "", kPath) == 200);
}

}  // namespace bluebellpass::test
