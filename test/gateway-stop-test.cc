#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <set>

#include "cluster/process.h"
#include "kernel/http1-pool.h"
#include "platform/names.h"
#include "raw-server.h"
#include "soak/engine-standin.h"
#include "soak/store-standin.h"

/// Startup and graceful shutdown of a gateway process, and its handling of backend servers that
/// send endless responses.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr Millis kStartTimeout{10'000};
// Longer than a stopping gateway accepts requests, but within its grace period.
constexpr Millis kLateRequestDelay{3'200};
constexpr Millis kLongRunDuration{5'000};
// An instance joins the fleet within this time of its registration, before a lost list is repeated.
constexpr Millis kJoinTime{400};
constexpr std::size_t kEndlessChunkBytes = 64U << 10U;

/// A backend server that responds to each request with the given start of a response, followed by
/// endless bytes until the client disconnects.
class EndlessServer {
 public:
  EndlessServer(EventLoop& loop, std::string response_start)
      : m_server(loop), m_response_start(std::move(response_start)) {}

  Address ListenAddress() const { return m_server.address; }
  /// Sends a chunk on each open connection that has received a request and has no unsent bytes.
  void SendMore() {
    for (std::size_t i = 0; i < m_server.streams.size(); ++i) {
      const auto& stream = m_server.streams[i];
      if (!stream->IsOpen() || stream->PendingBytes() > 0 || m_server.received[i].empty()) continue;
      if (m_started.insert(i).second) stream->Write(m_response_start);
      stream->Write(std::string(kEndlessChunkBytes, 'x'));
    }
  }
  bool HasStarted() const { return !m_started.empty(); }
  bool HasOpenConnection() const {
    return std::any_of(m_started.begin(), m_started.end(),
                       [this](std::size_t i) { return m_server.streams[i]->IsOpen(); });
  }

 private:
  RawServer m_server;
  std::string m_response_start;
  std::set<std::size_t> m_started;  ///< connections on which a response was started
};

struct Fixture {
  EventLoop loop;
  StoreStandin store{loop, 1};
  std::vector<SoakRun> runs;
  EngineStandin engine{loop, "e1", 4, [this](const SoakRun& run) { runs.push_back(run); }};
  HttpConnectionPool pool{loop, ConnectionPoolOptions{}};
  Address gateway{"127.0.0.1", FindFreePort()};
  Process process;

  Fixture() {
    const json route = {{"name", "r"},         {"host", "stop.test"}, {"path_prefix", "/book/"},
                        {"type", "mutating"},  {"service", "desk"},   {"attempts", 1},
                        {"timeout_ms", 9'000}, {"goal_ms", 300},      {"public", true}};
    store.Put(names::kConfigKind, names::kConfigName,
              {{"version", 1},
               {"routes", json::array({route})},
               {"services", json::array({{{"name", "desk"}}})}});
    store.Put(
        names::kBackendKind, "e1",
        {{"service", "desk"}, {"addr", engine.Listen().Text()}, {"slots", 4}, {"state", "ready"}});
    const std::string directory = MakeLogFolder("gateway-stop");
    std::ofstream(directory + "/g.yaml")
        << "node: g\nip: 127.0.0.1\nlisten:\n  front: " << gateway.Text() << "\nport_range: ["
        << FindFreePort() << ", " << FindFreePort()
        << "]\nbounds:\n  grace_s: 8\nplatform:\n  addr: " << store.Listen().Text() << "\n";
    process = Process({std::string(BLUEBELLPASS_BINARY_DIR) + "/bluebellpass", "gateway",
                       "--settings", directory + "/g.yaml"},
                      directory + "/g.log");
  }

  template <class Condition>
  bool RunUntil(Condition condition, Millis timeout) {
    const TimePoint end = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < end) loop.RunOnce(Millis{5});
    return condition();
  }

  struct PendingRequest {
    std::unique_ptr<PooledCall> call;
    int status = 0;
    std::optional<PooledCallResult> result;
  };

  std::unique_ptr<PendingRequest> Send(const std::string& id, bool on_new_connection = false) {
    auto request = std::make_unique<PendingRequest>();
    PendingRequest& state = *request;
    PooledCallHandlers handlers;
    handlers.on_head = [&state](const HttpHead& head) {
      state.status = head.status;
      return true;
    };
    handlers.on_end = [&state](PooledCallResult result) { state.result = result; };
    const std::string text = SerializeRequest(
        "POST", "/book/x", {{"Host", "stop.test"}, {names::kAttempt, id}, {"Content-Length", "2"}});
    state.call = pool.StartCall(gateway, text + "ok", std::move(handlers), on_new_connection);
    return request;
  }

  /// @return the status of the response, or 0 when the connection ended before it was complete
  int SendAndWait(const std::string& id) {
    const auto request = Send(id);
    RunUntil([&] { return request->result.has_value(); }, Millis{5'000});
    return request->result == PooledCallResult::kComplete ? request->status : 0;
  }

  void WaitUntilServing() {
    int tries = 0;
    BOOST_REQUIRE(RunUntil([&] { return SendAndWait("warm" + std::to_string(++tries)) == 200; },
                           kStartTimeout));
  }
};

}  // namespace

// Guards against refusing requests during startup, shortly before the configuration is loaded.
BOOST_FIXTURE_TEST_CASE(RequestDuringStartupIsServed, Fixture) {
  store.SetFault(StoreStandin::Fault::kBusy);
  BOOST_REQUIRE(RunUntil(
      [&] {
        const auto probe = TcpStream::Connect(loop, gateway, TcpKeepAlive{}, nullptr);
        return RunUntil([&] { return !probe->IsOpen() || probe->IsConnected(); }, Millis{200}) &&
               probe->IsConnected();
      },
      kStartTimeout));
  const auto early_request = Send("early", true);
  RunUntil([] { return false; }, Millis{50});
  store.SetFault(StoreStandin::Fault::kNone);
  BOOST_TEST(RunUntil([&] { return early_request->result.has_value(); }, Millis{5'000}));
  BOOST_TEST(early_request->status == 200);
}

// Guards against an instance that coordinates before it knows the backend servers, and refuses
// requests for want of them.
BOOST_FIXTURE_TEST_CASE(RequestBeforeListOfBackendServersIsServed, Fixture) {
  store.LoseListResponses(names::kBackendKind, 1);
  BOOST_REQUIRE(RunUntil([&] { return store.Contains(names::kInstanceKind, "g"); }, kStartTimeout));
  RunUntil([] { return false; }, kJoinTime);
  BOOST_TEST(SendAndWait("early") == 200);
}

// Guards against a stopping process that accepts a request on an open connection and exits before
// completing it. Early requests are served, late ones are refused as not run, and the process exits
// with 0.
BOOST_FIXTURE_TEST_CASE(StopServesEarlyAndRefusesLateRequests, Fixture) {
  WaitUntilServing();
  // A long run keeps the process from exiting early.
  engine.SetResponseDelay(kLongRunDuration);
  const auto long_request = Send("long", true);
  const std::size_t runs_before = runs.size();
  BOOST_REQUIRE(RunUntil([&] { return runs.size() > runs_before; }, Millis{2'000}));
  engine.SetResponseDelay(Millis{25});
  process.Signal(SIGTERM);
  const TimePoint stop_time = std::chrono::steady_clock::now();
  RunUntil([] { return false; }, Millis{400});
  BOOST_TEST(SendAndWait("early") == 200);
  // Opened while the process still accepts connections; the request is completed after that.
  std::string received;
  const auto late_connection = TcpStream::Connect(loop, gateway, TcpKeepAlive{}, nullptr);
  late_connection->Read([&](std::string_view bytes) { received.append(bytes); });
  BOOST_REQUIRE(RunUntil([&] { return late_connection->IsConnected(); }, Millis{2'000}));
  late_connection->Write("POST /book/x HTTP/1.1\r\n");
  RunUntil([&] { return std::chrono::steady_clock::now() - stop_time > kLateRequestDelay; },
           Millis{5'000});
  const std::size_t runs_before_late = runs.size();
  late_connection->Write("Host: stop.test\r\nRequest-Id: late\r\nContent-Length: 2\r\n\r\nok");
  RunUntil([&] { return !received.empty() || !late_connection->IsOpen(); }, Millis{2'000});
  BOOST_TEST(received.starts_with("HTTP/1.1 503"));
  BOOST_TEST(runs.size() == runs_before_late);
  // A request that was accepted before the stop is completed.
  BOOST_REQUIRE(
      RunUntil([&] { return long_request->result.has_value(); }, kLongRunDuration + Millis{2'000}));
  BOOST_TEST((*long_request->result == PooledCallResult::kComplete));
  BOOST_TEST(long_request->status == 200);
  int exit_code = -1;
  BOOST_TEST(RunUntil([&] { return process.HasExited(&exit_code); }, Millis{8'000}));
  BOOST_TEST(exit_code == 0);
}

// Guards against a stopping process that sends a request late in its grace period and cuts it off
// when it exits. A request that still waits by then is refused as not run, unless its deadline
// comes before the exit.
BOOST_FIXTURE_TEST_CASE(StopRefusesWaitingRequestsThatTheExitCouldCutOff, Fixture) {
  WaitUntilServing();
  // All slots are taken until late in the grace period, and the next run would outlast it.
  engine.SetResponseDelay(Millis{6'000});
  std::vector<std::unique_ptr<PendingRequest>> long_requests;
  long_requests.reserve(4);
  const std::size_t runs_before = runs.size();
  for (int i = 0; i < 4; ++i) long_requests.push_back(Send("long" + std::to_string(i), true));
  BOOST_REQUIRE(RunUntil([&] { return runs.size() == runs_before + 4; }, Millis{2'000}));
  process.Signal(SIGTERM);
  RunUntil([] { return false; }, Millis{400});
  const auto queued = Send("queued", true);
  BOOST_TEST(RunUntil([&] { return queued->result.has_value(); }, Millis{8'000}));
  BOOST_TEST(queued->status == 503);
  for (const auto& request : long_requests) {
    BOOST_TEST(RunUntil([&] { return request->result.has_value(); }, Millis{8'000}));
    BOOST_TEST(request->status == 200);
  }
  BOOST_TEST(runs.size() == runs_before + 4);
  int exit_code = -1;
  BOOST_TEST(RunUntil([&] { return process.HasExited(&exit_code); }, Millis{8'000}));
  BOOST_TEST(exit_code == 0);
}

// Guards against a backend server that sends endless bytes instead of a valid response, which would
// exhaust the memory and keep the caller waiting until its deadline.
BOOST_FIXTURE_TEST_CASE(EndlessResponseIsAborted, Fixture) {
  WaitUntilServing();
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string id = std::string(names::kAttempt) + ": endless";
  const std::vector<std::string> response_starts = {
      head + "X-Field: ",                                       // header field
      head + "\r\n",                                            // body until the connection closes
      head + "Content-Length: 9999999999\r\n\r\n",              // body of huge length
      head + "Transfer-Encoding: chunked\r\n\r\n4;name=",       // chunk extension
      head + "Transfer-Encoding: chunked\r\n\r\n77777777\r\n",  // chunk data
      "HTTP/1.1 500 Error\r\n" + id + "\r\n\r\n",               // error response
      head + std::string(names::kAttempt) + ": another\r\n\r\n",  // response to another request
  };
  for (const std::string& response_start : response_starts) {
    BOOST_TEST_CONTEXT(response_start) {
      EndlessServer endless_server(loop, response_start);
      store.Put(names::kBackendKind, "e1",
                {{"service", "desk"},
                 {"addr", endless_server.ListenAddress().Text()},
                 {"slots", 4},
                 {"state", "ready"}});
      RunUntil([] { return false; }, Millis{300});
      const auto request = Send("endless", true);
      const auto is_done = [&] {
        endless_server.SendMore();
        return request->result.has_value() && !endless_server.HasOpenConnection();
      };
      // Well before the route's timeout of 9 s.
      BOOST_TEST(RunUntil(is_done, Millis{4'000}));
      BOOST_TEST(endless_server.HasStarted());
      BOOST_TEST(request->status == 502);
    }
  }
  BOOST_TEST(!process.HasExited(nullptr));
}

}  // namespace bluebellpass::test
