#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "gateway-process.h"
#include "platform/names.h"
#include "raw-server.h"
#include "soak/store-standin.h"

/// Responses without a length, which end with the connections of their backend servers.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr Millis kStepTimeout{5'000};
// Until a change of the registrations is read.
constexpr Millis kReadTime{400};

struct Fixture : ClientFixture {
  StoreStandin store{loop, 1};
  GatewayProcess gateway{MakeLogFolder("gateway-response-end"), "g", store.Listen()};
  std::unique_ptr<RawServer> first = std::make_unique<RawServer>(loop);
  RawServer second{loop};
  std::unique_ptr<PendingCall> call;

  Fixture() {
    store.Put(names::kConfigKind, names::kConfigName,
              {{"version", 1},
               {"routes", {Route("stream"), Route("idempotent"), Route("mutating")}},
               {"services", {{{"name", "s"}}}}});
    Register("first", first->address, "ready");
    StartGateway(gateway);
  }

  static json Route(const std::string& type) {
    return {{"name", type},
            {"host", "h"},
            {"path_prefix", "/" + type + "/"},
            {"type", type},
            {"resumable", type == "stream"},
            {"service", "s"},
            {"attempts", 3},
            {"goal_ms", 1'000},
            {"public", true}};
  }
  void Register(const std::string& id, const Address& address, const std::string& state) {
    store.Put(names::kBackendKind, id,
              {{"service", "s"}, {"addr", address.Text()}, {"slots", 4}, {"state", state}});
  }

  /// Waits for a request at a backend server and responds to it, without a length unless it is one
  /// of the fields.
  /// @return the connection of the response, or null if there was no request
  std::shared_ptr<TcpStream> Respond(RawServer& server, const std::string& body,
                                     const std::string& fields = "") {
    const auto request = [&] {
      return std::find_if(server.received.begin(), server.received.end(),
                          [](const std::string& bytes) { return !bytes.empty(); });
    };
    if (!RunUntil([&] { return request() != server.received.end(); }, kStepTimeout)) return nullptr;
    auto stream = server.streams[request() - server.received.begin()];
    stream->Write(std::string("HTTP/1.1 200 OK\r\n") + names::kAttempt + ": q\r\n" +
                  names::kSignature + ": s\r\n" + fields + "\r\n" + body);
    return stream;
  }

  /// Begins a stream at the first backend server and registers the second one.
  std::shared_ptr<TcpStream> BeginStream() {
    call = Send(gateway.front, "GET", "/stream/x", {{"Host", "h"}, {names::kAttempt, "q"}});
    auto stream = Respond(*first, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_REQUIRE(stream != nullptr);
    BOOST_REQUIRE(
        RunUntil([&] { return call->body.find("id: 2") != std::string::npos; }, kStepTimeout));
    Register("second", second.address, "ready");
    RunFor(kReadTime);
    return stream;
  }
  /// Ends the first backend server after a part of its response to a request.
  void KillDuringResponse(const std::string& route) {
    call = Send(gateway.front, "GET", "/" + route + "/x", {{"Host", "h"}, {names::kAttempt, "q"}});
    const auto stream = Respond(*first, "part");
    BOOST_REQUIRE(stream != nullptr);
    Register("second", second.address, "ready");
    RunFor(kReadTime);
    first.reset();
    stream->Close();
  }
  bool IsComplete() {
    RunUntil([&] { return call->result.has_value(); }, kStepTimeout);
    return call->Status() == 200;
  }
};

}  // namespace

// Guards against a stream that ends as complete before its last event because its backend server
// was killed between two events.
BOOST_FIXTURE_TEST_CASE(StreamOfKilledServerGoesOnElsewhere, Fixture) {
  const auto stream = BeginStream();
  // An exiting process may close its connections first.
  stream->Close();
  RunFor(Millis{5});
  first.reset();
  const auto resumed = Respond(second, "id: 3\ndata: c\n\n");
  BOOST_REQUIRE(resumed != nullptr);
  BOOST_TEST(second.received[0].find(std::string(names::kLastEventId) + ": 2\r\n") !=
             std::string::npos);
  resumed->Close();
  BOOST_TEST(IsComplete());
  BOOST_TEST(call->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

// Guards against streams that do not end because their end is taken for a crash.
BOOST_FIXTURE_TEST_CASE(StreamEndsWithItsConnection, Fixture) {
  BeginStream()->Close();
  BOOST_TEST(IsComplete());
  BOOST_TEST(second.received.empty());
}

BOOST_FIXTURE_TEST_CASE(StreamOfLeavingServerEndsWithItsConnection, Fixture) {
  const auto stream = BeginStream();
  Register("first", first->address, "draining");
  RunFor(kReadTime);
  first.reset();
  stream->Close();
  BOOST_TEST(IsComplete());
  BOOST_TEST(second.received.empty());
}

// Guards against empty responses that are repeated because their end is not seen in their heads.
BOOST_FIXTURE_TEST_CASE(ResponseOfLengthZeroNeedsNoConfirmation, Fixture) {
  call = Send(gateway.front, "GET", "/idempotent/x", {{"Host", "h"}, {names::kAttempt, "q"}});
  const std::size_t connections = first->streams.size();
  BOOST_REQUIRE(Respond(*first, "", "Content-Length: 0\r\n") != nullptr);
  BOOST_TEST(IsComplete());
  RunFor(kReadTime);
  BOOST_TEST(first->streams.size() <= connections + 1);
}

// Guards against a part of a response that is delivered as the whole.
BOOST_FIXTURE_TEST_CASE(IdempotentRequestOfKilledServerRunsElsewhere, Fixture) {
  KillDuringResponse("idempotent");
  const auto repeated = Respond(second, "whole");
  BOOST_REQUIRE(repeated != nullptr);
  repeated->Close();
  BOOST_TEST(IsComplete());
  BOOST_TEST(call->body == "whole");
}

// Guards against a request that may not run again and whose response, perhaps whole, is lost.
BOOST_FIXTURE_TEST_CASE(ResponseToMutatingRequestIsDelivered, Fixture) {
  KillDuringResponse("mutating");
  BOOST_TEST(IsComplete());
  BOOST_TEST(second.received.empty());
}

}  // namespace bluebellpass::test
