#include <boost/test/unit_test.hpp>

#include "bluebellpass/event.h"
#include "kernel/http-client.h"
#include "kernel/http-server.h"
#include "kernel/loop.h"
#include "store/http-store.h"

namespace bluebellpass {
namespace {

constexpr int kMaxTurns = 2000;
constexpr Millis kTimeout{200};

/// The client under test and a server whose answers the test gives.
struct Fixture {
  Fixture() { SetLogLevel(Severity::kError); }

  EventLoop loop;
  HttpHandler handler;
  HttpRequest seen;
  HttpServer server{loop, HttpServerLimits{}, [this](HttpRequest request, auto responder) {
                      seen = request;
                      handler(std::move(request), std::move(responder));
                    }};
  HttpClient client{loop};
  Address address = std::get<Address>(server.Listen({"127.0.0.1", 0}));
  HttpObjectStore store{client, loop, address, kTimeout};

  void AnswerWith(int status, const HttpHeaders& headers, const std::string& body) {
    handler = [=](HttpRequest, const std::shared_ptr<HttpResponder>& responder) {
      responder->Send(status, headers, body);
    };
  }

  /// Runs the loop until a call has ended.
  template <class Value, class Call>
  Result<Value> Await(Call call) {
    std::optional<Result<Value>> result;
    call([&](Result<Value> value) { result = std::move(value); });
    BOOST_REQUIRE(!result);
    for (int turn = 0; turn < kMaxTurns && !result; ++turn) loop.RunOnce(Millis{10});
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
std::string KindOf(const Result<T>& result) {
  return IsOk(result) ? "ok" : std::string(GetErrorInfo(ErrorOf(result).kind).name);
}

std::size_t CountEvents(const std::string& name) {
  const std::string events = RecordedEvents(0, 20'000);
  std::size_t count = 0;
  for (auto at = events.find(name); at != std::string::npos; at = events.find(name, at + 1))
    ++count;
  return count;
}

}  // namespace

// Guards against a request that the object API does not understand, and lost values or versions.
BOOST_FIXTURE_TEST_CASE(RequestsFollowTheProtocol, Fixture) {
  AnswerWith(200, {{"etag", "\"7\""}}, "value");
  const auto object = std::get<VersionedObject>(Get("a/b c"));
  BOOST_TEST(object.value == "value");
  BOOST_TEST(object.version == ObjectVersion{7});
  BOOST_TEST(seen.path == "/objects/a/b%20c");

  BOOST_TEST(std::get<ObjectVersion>(Put(ObjectVersion{6})) == ObjectVersion{7});
  BOOST_TEST(seen.method == "PUT");
  BOOST_TEST(seen.Header("if-match") == "\"6\"");
  BOOST_TEST(seen.body == "text");
  Put(ObjectVersion{});
  BOOST_TEST(seen.Header("if-none-match") == "*");
  BOOST_TEST(seen.Header("if-match").empty());

  const auto changed = std::get<std::optional<VersionedObject>>(Watch());
  BOOST_TEST(changed.value().version == ObjectVersion{7});
  BOOST_TEST(seen.Query("after") == "4");
  BOOST_TEST(seen.Query("wait_ms") == "50");
  AnswerWith(304, {}, "");
  BOOST_TEST(!std::get<std::optional<VersionedObject>>(Watch()));

  AnswerWith(204, {}, "");
  BOOST_TEST(KindOf(Delete()) == "ok");
  BOOST_TEST(seen.method == "DELETE");
  BOOST_TEST(seen.Header("if-match") == "\"3\"");

  AnswerWith(200, {}, R"({"objects":[{"key":"instances/a","version":3}]})");
  const auto rows = std::get<0>(
      Await<std::vector<ObjectEntry>>([&](auto done) { store.List("instances/", done); }));
  BOOST_REQUIRE(rows.size() == 1);
  BOOST_TEST(rows[0].key == "instances/a");
  BOOST_TEST(seen.Query("prefix") == "instances/");
  const StoreStats& stats = store.Stats();
  BOOST_TEST((stats.gets == 1 && stats.puts == 2 && stats.deletes == 1 && stats.lists == 1 &&
              stats.watches == 2));
}

// Guards against reporting a write as absent that may have taken effect, or the reverse.
BOOST_FIXTURE_TEST_CASE(FailuresMapToErrorKinds, Fixture) {
  struct Row {
    int status;
    const char* read;
    const char* write;
  };
  for (const Row& row : {Row{404, "not_found", "not_found"}, Row{412, "conflict", "conflict"},
                         Row{400, "store_unavailable", "store_unavailable"},
                         Row{429, "store_unavailable", "store_uncertain"},
                         Row{500, "store_unavailable", "store_uncertain"},
                         Row{503, "store_unavailable", "store_uncertain"},
                         // Without an etag a success cannot be used.
                         Row{200, "store_uncertain", "store_uncertain"}}) {
    AnswerWith(row.status, {}, "");
    BOOST_TEST_CONTEXT("status " << row.status) {
      BOOST_TEST(KindOf(Get("k")) == row.read);
      BOOST_TEST(KindOf(Put(ObjectVersion{1})) == row.write);
      if (row.status != 200) BOOST_TEST(KindOf(Delete()) == row.write);
    }
  }
  handler = [](HttpRequest, const std::shared_ptr<HttpResponder>& responder) {
    responder->Abort();
  };
  BOOST_TEST(KindOf(Put(ObjectVersion{1})) == "store_uncertain");
  server.StopAccepting();
  BOOST_TEST(KindOf(Put(ObjectVersion{1})) == "store_unavailable");
  BOOST_TEST(KindOf(Get("k")) == "store_unavailable");
}

// Guards against calls that never end: no answer at all, and an answer that trickles without end.
BOOST_FIXTURE_TEST_CASE(WholeCallIsBounded, Fixture) {
  std::shared_ptr<HttpResponder> open;
  handler = [&](HttpRequest, std::shared_ptr<HttpResponder> responder) { open = responder; };
  BOOST_TEST(KindOf(Get("k")) == "store_uncertain");
  BOOST_TEST(KindOf(Put(ObjectVersion{1})) == "store_uncertain");
  BOOST_TEST(KindOf(Watch()) == "store_uncertain");
  Timer trickle(loop);
  handler = [&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    open = responder;
    open->Start(200, {{"etag", "\"1\""}});
    trickle.StartPeriodic(Millis{20}, [&] { open->Write("x"); });
  };
  BOOST_TEST(KindOf(Get("k")) == "store_uncertain");
  trickle.Stop();
}

// Guards against one event for each call of an outage.
BOOST_FIXTURE_TEST_CASE(ChangesAreLoggedOnce, Fixture) {
  const std::size_t down = CountEvents("\"store_down\"");
  const std::size_t up = CountEvents("\"store_up\"");
  AnswerWith(503, {}, "");
  Get("k");
  Get("k");
  BOOST_TEST(CountEvents("\"store_down\"") == down + 1);
  BOOST_TEST(CountEvents("\"store_up\"") == up);
  AnswerWith(404, {}, "");
  Get("k");
  Get("k");
  BOOST_TEST(CountEvents("\"store_down\"") == down + 1);
  BOOST_TEST(CountEvents("\"store_up\"") == up + 1);
}

// Guards against callbacks into parts that are gone.
BOOST_FIXTURE_TEST_CASE(DestructionEndsCalls, Fixture) {
  AnswerWith(200, {{"etag", "\"1\""}}, "");
  bool is_called = false;
  {
    HttpObjectStore short_lived(client, loop, address, kTimeout);
    short_lived.Get("k", [&](auto) { is_called = true; });
    loop.RunOnce(Millis{0});
  }
  BOOST_TEST(KindOf(Get("k")) == "ok");
  BOOST_TEST(!is_called);
}

}  // namespace bluebellpass
