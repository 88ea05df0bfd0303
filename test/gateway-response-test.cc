#include <boost/test/unit_test.hpp>
#include <fstream>

#include "cluster/process.h"
#include "kernel/http1-pool.h"
#include "platform/names.h"
#include "raw-server.h"
#include "soak/store-standin.h"

/// Responses of backend servers to a gateway process, written byte by byte.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr Millis kStartTimeout{10'000};
constexpr Millis kStepTimeout{3'000};
// Longer than a gateway avoids a backend server after a refusal.
constexpr Millis kAvoidTime{700};
// More than the buffers of a connection hold whose engine does not read.
constexpr std::size_t kUploadBytes = 4U << 20U;

struct Caller {
  std::unique_ptr<PooledCall> call;
  int status = 0;
  std::string body;
  std::optional<PooledCallResult> result;
};

struct Fixture {
  EventLoop loop;
  StoreStandin store{loop, 1};
  std::vector<std::unique_ptr<RawServer>> engines;
  HttpConnectionPool pool{loop, ConnectionPoolOptions{}};
  Address gateway{"127.0.0.1", FindFreePort()};
  Process process;
  int broken_count = 0;

  Fixture() {
    const auto route = [](const char* prefix, const char* type, int attempts) {
      return json{{"name", prefix},    {"host", "engine.test"}, {"path_prefix", prefix},
                  {"type", type},      {"service", "s"},        {"attempts", attempts},
                  {"resumable", true}, {"timeout_ms", 9'000},   {"goal_ms", 300},
                  {"public", true}};
    };
    store.Put(
        names::kConfigKind, names::kConfigName,
        {{"version", 1},
         {"routes", json::array({route("/book/", "mutating", 2), route("/once/", "mutating", 1),
                                 route("/chat/", "stream", 2)})},
         {"services", json::array({{{"name", "s"}, {"engine", {{"slots", 4}, {"stride", 1}}}}})}});
    const std::string directory = MakeLogFolder("gateway-response");
    std::ofstream(directory + "/g.yaml")
        << "node: g\nip: 127.0.0.1\nlisten:\n  front: " << gateway.Text() << "\nport_range: ["
        << FindFreePort() << ", " << FindFreePort()
        << "]\nbounds:\n  grace_s: 8\n  retry_ratio: 1\n  retry_slack: 50\nplatform:\n  addr: "
        << store.Listen().Text() << "\n";
    process = Process({std::string(BLUEBELLPASS_BINARY_DIR) + "/bluebellpass", "gateway",
                       "--settings", directory + "/g.yaml"},
                      directory + "/g.log");
  }

  template <class Condition>
  bool RunUntil(Condition condition, Millis timeout = kStepTimeout) {
    const TimePoint end = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < end) loop.RunOnce(Millis{5});
    return condition();
  }
  void RunFor(Millis duration) {
    RunUntil([] { return false; }, duration);
  }

  /// Registers engines and waits until the gateway knows them.
  void AddEngines(int count) {
    for (int i = 0; i < count; ++i) {
      engines.push_back(std::make_unique<RawServer>(loop));
      store.Put(names::kBackendKind, "e" + std::to_string(i),
                {{"service", "s"},
                 {"addr", engines.back()->address.Text()},
                 {"slots", 4},
                 {"state", "ready"},
                 {"born", 1'700'000'000'000}});
    }
    const bool is_serving = RunUntil(
        [&] {
          const auto probe = Send("/unknown/", "probe");
          RunUntil([&] { return probe->result.has_value(); });
          return probe->status == 404;
        },
        kStartTimeout);
    BOOST_REQUIRE(is_serving);
    RunFor(Millis{500});
  }

  std::unique_ptr<Caller> Send(const std::string& path, const std::string& id,
                               const std::string& body = "ok") {
    auto caller = std::make_unique<Caller>();
    Caller& state = *caller;
    PooledCallHandlers handlers;
    handlers.on_head = [&state](const HttpHead& head) {
      state.status = head.status;
      return true;
    };
    handlers.on_body = [&state](std::string_view bytes) { state.body.append(bytes); };
    handlers.on_end = [&state](PooledCallResult result) { state.result = result; };
    const std::string head = SerializeRequest("POST", path,
                                              {{"Host", "engine.test"},
                                               {names::kAttempt, id},
                                               {"Content-Length", std::to_string(body.size())}});
    state.call = pool.StartCall(gateway, head + body, std::move(handlers), true);
    return caller;
  }

  /// @return a connection on which an engine has received a request, or null
  std::shared_ptr<TcpStream> FindReceiver(const std::string& id) {
    for (const auto& engine : engines)
      for (std::size_t i = 0; i < engine->streams.size(); ++i)
        if (engine->received[i].find(std::string(names::kAttempt) + ": " + id + "\r\n") !=
                std::string::npos &&
            engine->streams[i]->IsOpen())
          return engine->streams[i];
    return nullptr;
  }
  std::shared_ptr<TcpStream> WaitForReceiver(const std::string& id) {
    BOOST_REQUIRE(RunUntil([&] { return FindReceiver(id) != nullptr; }));
    return FindReceiver(id);
  }
  /// Answers a request and waits until the caller has the response.
  void Respond(const std::string& id, const std::string& response, const Caller& caller) {
    WaitForReceiver(id)->Write(response);
    BOOST_REQUIRE(RunUntil([&] { return caller.result.has_value(); }));
  }
  /// Sends requests, to which an engine responds with the bytes given and closes its connection,
  /// and checks that their callers get no part of them.
  /// @param bytes `@` stands for the id of the request
  void CheckThatNothingIsPassedOn(const std::string& bytes) {
    for (const char* path : {"/once/x", "/chat/x"}) {
      for (const bool is_reused : {false, true}) {
        BOOST_TEST_CONTEXT(path << " " << is_reused << " " << bytes) {
          const std::string id = "broken" + std::to_string(++broken_count);
          if (is_reused) {
            const auto first = Send("/once/x", "first" + id);
            Respond("first" + id, Success("first" + id), *first);
          }
          const auto caller = Send(path, id);
          const auto connection = WaitForReceiver(id);
          std::string response = bytes;
          response.replace(response.find('@'), 1, id);
          connection->Write(response);
          connection->CloseAfterWrites();
          BOOST_REQUIRE(RunUntil([&] { return caller->result.has_value(); }));
          BOOST_TEST(caller->status == 502);
          BOOST_TEST(caller->body.empty());
        }
      }
    }
  }
  static std::string Success(const std::string& id, const std::string& fields = "") {
    return "HTTP/1.1 200 OK\r\n" + std::string(names::kAttempt) + ": " + id + "\r\n" +
           names::kSignature + ": s\r\n" + fields + "Content-Length: 4\r\n\r\ndone";
  }
};

}  // namespace

// Guards against taking a refusal that an engine repeats on a kept connection for the answer to the
// next request.
BOOST_FIXTURE_TEST_CASE(RepeatedRefusalIsNotTakenForTheNextRequest, Fixture) {
  AddEngines(1);
  const std::string refusals[] = {
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n"};
  // Leaves a kept connection.
  const auto first = Send("/book/x", "first");
  Respond("first", Success("first"), *first);
  int number = 0;
  for (const std::string& refusal : refusals) {
    BOOST_TEST_CONTEXT(refusal) {
      const std::string id = "next" + std::to_string(++number);
      const auto next = Send("/book/x", id);
      const auto connection = WaitForReceiver(id);
      connection->Write(refusal);
      RunFor(Millis{200});
      connection->Write(Success(id));
      BOOST_TEST(RunUntil([&] { return next->result.has_value(); }));
      BOOST_TEST(next->status == 200);
      RunFor(kAvoidTime);
    }
  }
}

// Guards against an error of the engine that continues a stream in the caller's stream, and against
// a stream that looks complete after it.
BOOST_FIXTURE_TEST_CASE(ErrorOnResumptionDoesNotReachTheStream, Fixture) {
  AddEngines(2);
  const std::string event = "id: 1\ndata: x\n\n";
  const auto head = [](const std::string& status, const std::string& id) {
    return "HTTP/1.1 " + status + "\r\n" + names::kAttempt + ": " + id + "\r\n";
  };
  const std::string signature = std::string(names::kSignature) + ": s\r\n";
  const std::string text = "Content-Length: 5\r\n\r\nboom\n";
  int number = 0;
  for (int variant = 0; variant < 8; ++variant) {
    const std::string id = "stream" + std::to_string(++number);
    const std::string errors[] = {head("500 Error", id) + signature + text,
                                  head("500 Error", id) + text,
                                  head("503 Busy", id) + text,
                                  head("200 OK", id) + text,
                                  head("204 None", id) + signature + "\r\n",
                                  head("302 Found", id) + signature + text,
                                  "boom\r\n\r\n",
                                  head("500 Error", id) + signature + "\r\nid: 2\ndata: boom\n\n"};
    BOOST_TEST_CONTEXT(errors[variant]) {
      const auto caller = Send("/chat/x", id);
      const auto started = WaitForReceiver(id);
      started->Write(head("200 OK", id) + signature + "Content-Type: text/event-stream\r\n\r\n" +
                     event + "id: 2\nda");
      BOOST_REQUIRE(RunUntil([&] { return !caller->body.empty(); }));
      started->CloseAfterWrites();
      BOOST_REQUIRE(RunUntil([&] { return !started->IsOpen(); }));
      const auto resumed = WaitForReceiver(id);
      resumed->Write(errors[variant]);
      RunFor(Millis{50});
      resumed->CloseAfterWrites();
      BOOST_REQUIRE(RunUntil([&] { return caller->result.has_value(); }));
      BOOST_TEST(caller->body == event);
      BOOST_TEST((*caller->result == PooledCallResult::kConnectionBroken));
      RunFor(kAvoidTime);
    }
  }
}

// Guards against a response that an engine cuts off in its head and that reaches the caller as a
// success, with an empty or short body.
BOOST_FIXTURE_TEST_CASE(ResponseCutInItsHeadIsNotASuccess, Fixture) {
  AddEngines(1);
  const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: @\r\nInstance-Seal: s\r\n";
  const std::string cuts[] = {"H",
                              "HTTP/1.1 200 OK",
                              "HTTP/1.1 200 OK\r\n",
                              "HTTP/1.1 200 OK\r\nRequest-Id: @",
                              start,
                              start + "Content-Le",
                              start + "Content-Length: 4\r\n\r",
                              start + "Content-Length: 4\r\n\r\ndo",
                              start + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"};
  int number = 0;
  for (const char* path : {"/once/x", "/chat/x"}) {
    for (const bool is_reused : {false, true}) {
      for (std::string cut : cuts) {
        const std::string id = "cut" + std::to_string(++number);
        if (const auto at = cut.find('@'); at != std::string::npos) cut.replace(at, 1, id);
        BOOST_TEST_CONTEXT(path << is_reused << cut) {
          if (is_reused) {
            const auto first = Send("/once/x", "first" + id);
            Respond("first" + id, Success("first" + id), *first);
          }
          const auto caller = Send(path, id);
          const auto connection = WaitForReceiver(id);
          connection->Write(cut);
          connection->CloseAfterWrites();
          BOOST_REQUIRE(RunUntil([&] { return caller->result.has_value(); }));
          BOOST_TEST((caller->status != 200 || caller->result != PooledCallResult::kComplete));
          RunFor(kAvoidTime);
        }
      }
    }
  }
}

// Guards against a response with an invalid status that reaches the caller as an answer.
BOOST_FIXTURE_TEST_CASE(InvalidStatusIsNotAnAnswer, Fixture) {
  AddEngines(1);
  for (const char* status : {"000", "099", "600"})
    CheckThatNothingIsPassedOn(std::string("HTTP/1.1 ") + status +
                               " Odd\r\nRequest-Id: @\r\nInstance-Seal: s\r\n"
                               "Content-Length: 4\r\n\r\ndone");
}

// Guards against a blank or control byte in the name of a field: the line would reach the caller,
// or the length that it states would not be seen, and the caller get more than the body.
BOOST_FIXTURE_TEST_CASE(InvalidFieldNameIsNotAnAnswer, Fixture) {
  AddEngines(1);
  const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: @\r\nInstance-Seal: s\r\n";
  const std::string event = "id: 1\ndata: x\n\n";
  for (const char* line : {" Content-Length: 15\r\n", "\tX-Note: v\r\n", "Content-Length : 15\r\n",
                           "X Note: v\r\n", "X\x01Note: v\r\n"})
    CheckThatNothingIsPassedOn(start + line + "\r\n" + event + event);
}

// Guards against a part of a response that reaches the caller as all of it, because the connection
// was reset while the request was still being written.
BOOST_FIXTURE_TEST_CASE(ResetDuringUploadIsNotAnAnswer, Fixture) {
  AddEngines(1);
  engines[0]->max_received_bytes = 1;
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: @\r\nInstance-Seal: s\r\n\r\n";
  const std::string event = "id: 1\ndata: x\n\n";
  int number = 0;
  for (const char* path : {"/once/x", "/chat/x"}) {
    for (const bool is_reset : {true, false}) {
      BOOST_TEST_CONTEXT(path << " " << is_reset) {
        const std::string id = "upload" + std::to_string(++number);
        const auto caller = Send(path, id, std::string(kUploadBytes, 'x'));
        const auto connection = WaitForReceiver(id);
        std::string response = head;
        response.replace(response.find('@'), 1, id);
        connection->Write(response + event);
        // Until the gateway has read what was sent.
        RunFor(Millis{200});
        if (is_reset) {
          ResetConnection(*connection);
        } else {
          shutdown(connection->Descriptor(), SHUT_WR);
        }
        BOOST_REQUIRE(RunUntil([&] { return caller->result.has_value(); }, kStartTimeout));
        const bool is_answer =
            caller->status == 200 && caller->result == PooledCallResult::kComplete;
        BOOST_TEST(is_answer == !is_reset);
        RunFor(kAvoidTime);
      }
    }
  }
}

// Guards against a request that is run again, or called not run, after its answer was lost.
BOOST_FIXTURE_TEST_CASE(LostAnswerIsNeitherRepeatedNorDenied, Fixture) {
  AddEngines(2);
  const std::string parts[] = {"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"};
  int number = 0;
  for (const std::string& part : parts) {
    BOOST_TEST_CONTEXT(part) {
      const std::string id = "lost" + std::to_string(++number);
      const auto caller = Send("/book/x", id);
      const auto connection = WaitForReceiver(id);
      connection->Write(part);
      connection->CloseAfterWrites();
      BOOST_REQUIRE(RunUntil([&] { return caller->result.has_value(); }));
      // 429 and 503 would promise that it has not run.
      BOOST_TEST((caller->status == 502 || caller->status == 0));
      RunFor(kAvoidTime);
      BOOST_TEST(FindReceiver(id) == nullptr);
    }
  }
}

// Guards against cutting a slow but sound stream, and against a stalled one that never ends because
// its engine sends a byte now and then.
BOOST_FIXTURE_TEST_CASE(SlowStreamIsServedAndTricklingOneEnds, Fixture) {
  AddEngines(1);
  const auto head = [](const std::string& id) {
    return "HTTP/1.1 200 OK\r\n" + std::string(names::kAttempt) + ": " + id + "\r\n" +
           names::kSignature + ": s\r\nContent-Type: text/event-stream\r\n\r\n";
  };
  const auto slow = Send("/chat/x", "slow");
  const auto trickling = Send("/chat/x", "trickling");
  const auto slow_run = WaitForReceiver("slow");
  const auto trickling_run = WaitForReceiver("trickling");
  slow_run->Write(head("slow"));
  trickling_run->Write(head("trickling") + "id: 1\ndata: x\n\n");
  std::string expected;
  for (int i = 1; i <= 7; ++i) {
    const std::string event = "id: " + std::to_string(i) + "\ndata: x\n\n";
    expected += event;
    slow_run->Write(event);
    for (int step = 0; step < 10; ++step) {
      trickling_run->Write("i");
      RunFor(Millis{100});
    }
    BOOST_TEST(!slow->result.has_value());
  }
  slow_run->CloseAfterWrites();
  BOOST_TEST(RunUntil([&] { return slow->result.has_value(); }));
  BOOST_TEST((*slow->result == PooledCallResult::kComplete));
  BOOST_TEST(slow->body == expected);
  // The route's timeout is 9 s.
  BOOST_TEST(RunUntil([&] {
    trickling_run->Write("i");
    RunFor(Millis{100});
    return trickling->result.has_value();
  }));
  BOOST_TEST((*trickling->result == PooledCallResult::kConnectionBroken));
  BOOST_TEST(trickling->body == "id: 1\ndata: x\n\n");
}

// Guards against cutting a stream that breaks off later than its caller would wait for a first
// event, though another engine could continue it.
BOOST_FIXTURE_TEST_CASE(LongStreamIsContinuedByAnotherServer, Fixture) {
  AddEngines(2);
  const auto caller = Send("/chat/x", "long");
  const auto started = WaitForReceiver("long");
  const std::string head = "HTTP/1.1 200 OK\r\n" + std::string(names::kAttempt) + ": long\r\n" +
                           names::kSignature + ": s\r\nContent-Type: text/event-stream\r\n\r\n";
  std::string expected;
  started->Write(head);
  for (int i = 1; i <= 6; ++i) {
    expected += "id: " + std::to_string(i) + "\ndata: x\n\n";
    started->Write("id: " + std::to_string(i) + "\ndata: x\n\n");
    RunFor(Millis{500});
  }
  BOOST_TEST(caller->body == expected);
  // In the middle of an event, so that the stream cannot be taken for complete.
  started->Write("id: 7\nda");
  started->CloseAfterWrites();
  BOOST_REQUIRE(RunUntil([&] { return !started->IsOpen(); }));
  const auto resumed = WaitForReceiver("long");
  expected += "id: 7\ndata: y\n\n";
  resumed->Write(head + "id: 7\ndata: y\n\n");
  RunFor(Millis{50});
  resumed->CloseAfterWrites();
  BOOST_REQUIRE(RunUntil([&] { return caller->result.has_value(); }));
  BOOST_TEST((*caller->result == PooledCallResult::kComplete));
  BOOST_TEST(caller->body == expected);
}

// Guards against requests to a backend server that has said in a response that it is leaving.
BOOST_FIXTURE_TEST_CASE(LeavingServerGetsNoMoreRequests, Fixture) {
  AddEngines(1);
  const auto last = Send("/book/x", "last");
  Respond("last", Success("last", "Server-Leaving: 1\r\n"), *last);
  BOOST_TEST(last->status == 200);
  for (const char* id : {"after1", "after2"}) {
    const auto after = Send("/book/x", id);
    RunFor(kAvoidTime);
    BOOST_TEST(FindReceiver(id) == nullptr);
  }
  // A new start under the same id gets requests again.
  store.Put(names::kBackendKind, "e0",
            {{"service", "s"},
             {"addr", engines[0]->address.Text()},
             {"slots", 4},
             {"state", "ready"},
             {"born", 1'700'000'009'000}});
  RunFor(Millis{500});
  const auto restarted = Send("/book/x", "restarted");
  Respond("restarted", Success("restarted"), *restarted);
  BOOST_TEST(restarted->status == 200);
}

// Guards against requests to a backend server that has asked this instance to wait.
BOOST_FIXTURE_TEST_CASE(BusyServerGetsNoRequestsUntilItsRetryAfter, Fixture) {
  AddEngines(1);
  const auto refused = Send("/once/x", "refused");
  const TimePoint refused_at = std::chrono::steady_clock::now();
  Respond("refused",
          "HTTP/1.1 503 Busy\r\nRequest-Id: refused\r\nNot-Run: 1\r\nRetry-After: 2.5\r\n"
          "Content-Length: 0\r\n\r\n",
          *refused);
  BOOST_TEST(refused->status == 503);
  RunFor(Millis{600});
  while (std::chrono::steady_clock::now() - refused_at < Millis{2'000}) {
    const auto early = Send("/once/x", "early");
    RunFor(Millis{100});
    BOOST_REQUIRE(FindReceiver("early") == nullptr);
  }
  RunFor(Millis{1'000});
  const auto later = Send("/once/x", "later");
  Respond("later", Success("later"), *later);
  BOOST_TEST(later->status == 200);
}

}  // namespace bluebellpass::test
