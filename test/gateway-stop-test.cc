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

/// Start and graceful shutdown of a real gateway process, and what it does with a backend server
/// that sends without end.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr Millis kStartLimit{10'000};
// Later than the time for which a stopping gateway takes requests, and within its grace time.
constexpr Millis kLate{3'200};
constexpr Millis kLongWork{5'000};
constexpr std::size_t kEndlessPart = 64U << 10U;

/// A backend server that answers each request with a preface and then with bytes without end, until
/// the caller closes.
class EndlessServer {
 public:
  EndlessServer(EventLoop& loop, std::string preface)
      : m_server(loop), m_preface(std::move(preface)) {}

  Address Listening() const { return m_server.address; }
  /// Sends on all connections that have sent a request and take more.
  void SendOn() {
    for (std::size_t i = 0; i < m_server.streams.size(); ++i) {
      const auto& stream = m_server.streams[i];
      if (!stream->IsOpen() || stream->PendingBytes() > 0 || m_server.received[i].empty()) continue;
      if (m_begun.insert(i).second) stream->Write(m_preface);
      stream->Write(std::string(kEndlessPart, 'x'));
    }
  }
  bool HasBegun() const { return !m_begun.empty(); }
  bool HasOpen() const {
    return std::any_of(m_begun.begin(), m_begun.end(),
                       [this](std::size_t i) { return m_server.streams[i]->IsOpen(); });
  }

 private:
  RawServer m_server;
  std::string m_preface;
  std::set<std::size_t> m_begun;  ///< connections that the preface was sent on
};

struct Fixture {
  EventLoop loop;
  StoreStandin store{loop, 1};
  std::vector<SoakRun> runs;
  EngineStandin engine{loop, "e1", 4, [this](const SoakRun& run) { runs.push_back(run); }};
  HttpConnectionPool pool{loop, ConnectionPoolOptions{}};
  Address gateway{"127.0.0.1", FreePort()};
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
    const std::string folder = MakeLogFolder("gateway-stop");
    std::ofstream(folder + "/g.yaml")
        << "node: g\nip: 127.0.0.1\nlisten:\n  front: " << gateway.Text() << "\nport_range: ["
        << FreePort() << ", " << FreePort()
        << "]\nbounds:\n  grace_s: 8\nplatform:\n  addr: " << store.Listen().Text() << "\n";
    process = Process({std::string(BLUEBELLPASS_BINARY_DIR) + "/bluebellpass", "gateway",
                       "--settings", folder + "/g.yaml"},
                      folder + "/g.log");
  }

  template <class Condition>
  bool RunUntil(Condition condition, Millis limit) {
    const TimePoint end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) loop.RunOnce(Millis{5});
    return condition();
  }

  /// A booking that a caller has sent.
  struct Booking {
    std::unique_ptr<PooledCall> call;
    int status = 0;
    std::optional<PooledCallResult> end;
  };

  std::unique_ptr<Booking> Send(const std::string& id, bool on_new_connection = false) {
    auto booking = std::make_unique<Booking>();
    Booking& state = *booking;
    PooledCallHandlers events;
    events.on_head = [&state](const HttpHead& head) {
      state.status = head.status;
      return true;
    };
    events.on_end = [&state](PooledCallResult how) { state.end = how; };
    const std::string text = SerializeRequest(
        "POST", "/book/x", {{"Host", "stop.test"}, {names::kAttempt, id}, {"Content-Length", "2"}});
    state.call = pool.Start(gateway, text + "ok", std::move(events), on_new_connection);
    return booking;
  }

  /// @return the status of a booking, or 0 when its connection ended without an answer
  int Book(const std::string& id) {
    const auto booking = Send(id);
    RunUntil([&] { return booking->end.has_value(); }, Millis{5'000});
    return booking->end == PooledCallResult::kComplete ? booking->status : 0;
  }

  void WaitForService() {
    int tries = 0;
    BOOST_REQUIRE(
        RunUntil([&] { return Book("warm" + std::to_string(++tries)) == 200; }, kStartLimit));
  }
};

}  // namespace

// Guards against callers that are turned away by an instance that has just started and will know
// its configuration in a moment.
BOOST_FIXTURE_TEST_CASE(RequestDuringTheStartIsServed, Fixture) {
  store.SetFault(StoreStandin::Fault::kBusy);
  BOOST_REQUIRE(RunUntil(
      [&] {
        const auto probe = TcpStream::Connect(loop, gateway, TcpKeepAlive{}, nullptr);
        return RunUntil([&] { return !probe->IsOpen() || probe->IsConnected(); }, Millis{200}) &&
               probe->IsConnected();
      },
      kStartLimit));
  const auto early = Send("early", true);
  RunUntil([] { return false; }, Millis{50});
  store.SetFault(StoreStandin::Fault::kNone);
  BOOST_TEST(RunUntil([&] { return early->end.has_value(); }, Millis{5'000}));
  BOOST_TEST(early->status == 200);
}

// Guards against a request that a stopping process takes on a kept connection and cannot finish:
// early ones are served, late ones are refused as not run, and the process ends in order.
BOOST_FIXTURE_TEST_CASE(StopServesEarlyAndRefusesLateRequests, Fixture) {
  WaitForService();
  // A booking that lasts keeps the process from ending early.
  engine.SetWork(kLongWork);
  const auto lasting = Send("long", true);
  const std::size_t begun = runs.size();
  BOOST_REQUIRE(RunUntil([&] { return runs.size() > begun; }, Millis{2'000}));
  engine.SetWork(Millis{25});
  process.Signal(SIGTERM);
  const TimePoint stopped = std::chrono::steady_clock::now();
  RunUntil([] { return false; }, Millis{400});
  BOOST_TEST(Book("early") == 200);
  // A connection that was opened while the process still accepted.
  std::string received;
  const auto kept = TcpStream::Connect(loop, gateway, TcpKeepAlive{}, nullptr);
  kept->Read([&](std::string_view bytes) { received.append(bytes); });
  BOOST_REQUIRE(RunUntil([&] { return kept->IsConnected(); }, Millis{2'000}));
  kept->Write("POST /book/x HTTP/1.1\r\n");
  RunUntil([&] { return std::chrono::steady_clock::now() - stopped > kLate; }, Millis{5'000});
  const std::size_t before = runs.size();
  kept->Write("Host: stop.test\r\nRequest-Id: late\r\nContent-Length: 2\r\n\r\nok");
  RunUntil([&] { return !received.empty() || !kept->IsOpen(); }, Millis{2'000});
  BOOST_TEST(received.starts_with("HTTP/1.1 503"));
  BOOST_TEST(runs.size() == before);
  // What was taken before is finished.
  BOOST_REQUIRE(RunUntil([&] { return lasting->end.has_value(); }, kLongWork + Millis{2'000}));
  BOOST_TEST((*lasting->end == PooledCallResult::kComplete));
  BOOST_TEST(lasting->status == 200);
  int code = -1;
  BOOST_TEST(RunUntil([&] { return process.HasExited(&code); }, Millis{8'000}));
  BOOST_TEST(code == 0);
}

// Guards against a backend server that sends no answer but bytes without end: they would fill the
// memory, and the caller would wait until its deadline.
BOOST_FIXTURE_TEST_CASE(BytesWithoutEndAreGivenUp, Fixture) {
  WaitForService();
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string id = std::string(names::kAttempt) + ": endless";
  const std::vector<std::string> prefaces = {
      head + "X-Field: ",                                         // a head
      head + "\r\n",                                              // a body until the end
      head + "Content-Length: 9999999999\r\n\r\n",                // a body of great length
      head + "Transfer-Encoding: chunked\r\n\r\n4;name=",         // the line before a chunk
      head + "Transfer-Encoding: chunked\r\n\r\n77777777\r\n",    // a chunk
      "HTTP/1.1 500 Error\r\n" + id + "\r\n\r\n",                 // a failure
      head + std::string(names::kAttempt) + ": another\r\n\r\n",  // an answer to another request
  };
  for (const std::string& preface : prefaces) {
    BOOST_TEST_CONTEXT(preface) {
      EndlessServer endless(loop, preface);
      store.Put(names::kBackendKind, "e1",
                {{"service", "desk"},
                 {"addr", endless.Listening().Text()},
                 {"slots", 4},
                 {"state", "ready"}});
      RunUntil([] { return false; }, Millis{300});
      const auto booking = Send("endless", true);
      const auto is_over = [&] {
        endless.SendOn();
        return booking->end.has_value() && !endless.HasOpen();
      };
      // The route allows nine seconds.
      BOOST_TEST(RunUntil(is_over, Millis{4'000}));
      BOOST_TEST(endless.HasBegun());
      BOOST_TEST(booking->status == 502);
    }
  }
  BOOST_TEST(!process.HasExited(nullptr));
}

}  // namespace bluebellpass::test
