#include <boost/test/unit_test.hpp>

#include "bluebellpass/event.h"
#include "kernel/http-client.h"
#include "kernel/http-server.h"
#include "kernel/loop.h"
#include "store/http-store.h"

namespace bluebellpass {
namespace {

constexpr int kMaxIterations = 2000;
constexpr Millis kTimeout{200};

/// The client under test and a server that responds as the test specifies.
struct Fixture {
  Fixture() { SetLogLevel(Severity::kError); }

  EventLoop loop;
  HttpHandler handler;
  HttpRequest last_request;
  HttpServer server{loop, HttpServerLimits{}, [this](HttpRequest request, auto responder) {
                      last_request = request;
                      handler(std::move(request), std::move(responder));
                    }};
  HttpClient client{loop};
  Address address = std::get<Address>(server.Listen({"127.0.0.1", 0}));
  HttpObjectStore store{client, loop, address, kTimeout};

  void RespondWith(int status, const HttpHeaders& headers, const std::string& body) {
    handler = [=](HttpRequest, const std::shared_ptr<HttpResponder>& responder) {
      responder->Send(status, headers, body);
    };
  }

  /// Runs the event loop until a call has ended.
  template <class Value, class Call>
  Result<Value> Await(Call call) {
    std::optional<Result<Value>> result;
    call([&](Result<Value> value) { result = std::move(value); });
    BOOST_REQUIRE(!result);
    for (int iteration = 0; iteration < kMaxIterations && !result; ++iteration)
      loop.RunOnce(Millis{10});
    BOOST_REQUIRE(result);
    return *result;
  }
  Result<VersionedObject> Get(const std::string& key) {
    return Await<VersionedObject>([&](auto done) { store.Get(key, done); });
  }
  Result<ObjectVersion> Put(ObjectVersion expected) {
    return Await<ObjectVersion>([&](auto done) { store.Put("ledger/1", "text", expected, done); });
  }
  Result<Ok> Delete() {
    return Await<Ok>([&](auto done) { store.Delete("k", ObjectVersion{3}, done); });
  }
  Result<std::optional<VersionedObject>> Watch() {
    return Await<std::optional<VersionedObject>>(
        [&](auto done) { store.Watch("k", ObjectVersion{4}, Millis{50}, done); });
  }
};

template <class T>
std::string ErrorNameOf(const Result<T>& result) {
  return IsOk(result) ? "ok" : std::string(GetErrorInfo(ErrorOf(result).kind).name);
}

std::size_t CountEvents(const std::string& name) {
  const std::string events = RecordedEvents(0, 20'000);
  std::size_t count = 0;
  for (auto position = events.find(name); position != std::string::npos;
       position = events.find(name, position + 1))
    ++count;
  return count;
}

}  // namespace

// Guards against requests that differ from the protocol of the object API, and against losing
// values or versions of its responses.
BOOST_FIXTURE_TEST_CASE(RequestsFollowTheProtocol, Fixture) {
  RespondWith(200, {{"etag", "\"7\""}}, "value");
  const auto object = std::get<VersionedObject>(Get("a/b c"));
  BOOST_TEST(object.value == "value");
  BOOST_TEST(object.version == ObjectVersion{7});
  BOOST_TEST(last_request.path == "/objects/a/b%20c");

  BOOST_TEST(std::get<ObjectVersion>(Put(ObjectVersion{6})) == ObjectVersion{7});
  BOOST_TEST(last_request.method == "PUT");
  BOOST_TEST(last_request.Header("if-match") == "\"6\"");
  BOOST_TEST(last_request.body == "text");
  Put(ObjectVersion{});
  BOOST_TEST(last_request.Header("if-none-match") == "*");
  BOOST_TEST(last_request.Header("if-match").empty());

  const auto changed = std::get<std::optional<VersionedObject>>(Watch());
  BOOST_TEST(changed.value().version == ObjectVersion{7});
  BOOST_TEST(last_request.Query("after") == "4");
  BOOST_TEST(last_request.Query("wait_ms") == "50");
  RespondWith(304, {}, "");
  BOOST_TEST(!std::get<std::optional<VersionedObject>>(Watch()));

  RespondWith(204, {}, "");
  BOOST_TEST(ErrorNameOf(Delete()) == "ok");
  BOOST_TEST(last_request.method == "DELETE");
  BOOST_TEST(last_request.Header("if-match") == "\"3\"");

  RespondWith(200, {}, R"({"objects":[{"key":"instances/a","version":3}]})");
  const auto entries = std::get<0>(
      Await<std::vector<ObjectEntry>>([&](auto done) { store.List("instances/", done); }));
  BOOST_REQUIRE(entries.size() == 1);
  BOOST_TEST(entries[0].key == "instances/a");
  BOOST_TEST(last_request.Query("prefix") == "instances/");
  const StoreStats& stats = store.Stats();
  BOOST_TEST((stats.gets == 1 && stats.puts == 2 && stats.deletes == 1 && stats.lists == 1 &&
              stats.watches == 2));
}

// Guards against an error that means "not written" for a write that may have taken effect, and
// against kStoreUncertain for a request that was not sent.
BOOST_FIXTURE_TEST_CASE(FailuresMapToErrorKinds, Fixture) {
  struct StatusCase {
    int status;
    const char* read;
    const char* write;
  };
  for (const StatusCase& test_case :
       {StatusCase{404, "not_found", "not_found"}, StatusCase{412, "conflict", "conflict"},
        StatusCase{400, "store_unavailable", "store_unavailable"},
        StatusCase{429, "store_unavailable", "store_uncertain"},
        StatusCase{500, "store_unavailable", "store_uncertain"},
        StatusCase{503, "store_unavailable", "store_uncertain"},
        // A success without an etag is malformed.
        StatusCase{200, "store_uncertain", "store_uncertain"}}) {
    RespondWith(test_case.status, {}, "");
    BOOST_TEST_CONTEXT("status " << test_case.status) {
      BOOST_TEST(ErrorNameOf(Get("k")) == test_case.read);
      BOOST_TEST(ErrorNameOf(Put(ObjectVersion{1})) == test_case.write);
      if (test_case.status != 200) BOOST_TEST(ErrorNameOf(Delete()) == test_case.write);
    }
  }
  handler = [](HttpRequest, const std::shared_ptr<HttpResponder>& responder) {
    responder->Abort();
  };
  BOOST_TEST(ErrorNameOf(Put(ObjectVersion{1})) == "store_uncertain");
  server.StopAccepting();
  BOOST_TEST(ErrorNameOf(Put(ObjectVersion{1})) == "store_unavailable");
  BOOST_TEST(ErrorNameOf(Get("k")) == "store_unavailable");
}

// Guards against calls that never end: without any response, or with a response whose data arrives
// slowly without end.
BOOST_FIXTURE_TEST_CASE(EachCallTimesOut, Fixture) {
  std::shared_ptr<HttpResponder> pending_response;
  handler = [&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    pending_response = responder;
  };
  BOOST_TEST(ErrorNameOf(Get("k")) == "store_uncertain");
  BOOST_TEST(ErrorNameOf(Put(ObjectVersion{1})) == "store_uncertain");
  BOOST_TEST(ErrorNameOf(Watch()) == "store_uncertain");
  Timer trickle_timer(loop);
  handler = [&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    pending_response = responder;
    pending_response->Start(200, {{"etag", "\"1\""}});
    trickle_timer.StartPeriodic(Millis{20}, [&] { pending_response->Write("x"); });
  };
  BOOST_TEST(ErrorNameOf(Get("k")) == "store_uncertain");
  trickle_timer.Stop();
}

// Guards against logging an event for each failed call during an outage.
BOOST_FIXTURE_TEST_CASE(ReachabilityChangesAreLoggedOnce, Fixture) {
  const std::size_t down = CountEvents("\"store_down\"");
  const std::size_t up = CountEvents("\"store_up\"");
  RespondWith(503, {}, "");
  Get("k");
  Get("k");
  BOOST_TEST(CountEvents("\"store_down\"") == down + 1);
  BOOST_TEST(CountEvents("\"store_up\"") == up);
  RespondWith(404, {}, "");
  Get("k");
  Get("k");
  BOOST_TEST(CountEvents("\"store_down\"") == down + 1);
  BOOST_TEST(CountEvents("\"store_up\"") == up + 1);
}

// Guards against callbacks after the client was destroyed.
BOOST_FIXTURE_TEST_CASE(DestructionCancelsCalls, Fixture) {
  RespondWith(200, {{"etag", "\"1\""}}, "");
  bool is_called = false;
  {
    HttpObjectStore short_lived(client, loop, address, kTimeout);
    short_lived.Get("k", [&](auto) { is_called = true; });
    loop.RunOnce(Millis{0});
  }
  BOOST_TEST(ErrorNameOf(Get("k")) == "ok");
  BOOST_TEST(!is_called);
}

}  // namespace bluebellpass
