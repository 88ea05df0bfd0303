#include <boost/test/unit_test.hpp>

#include "kernel/http-client.h"
#include "standins/engine.h"
#include "standins/load-driver.h"
#include "standins/object-api.h"
#include "standins/proxy.h"
#include "standins/service.h"

namespace bluebellpass {
namespace {

constexpr std::string_view kData = "data: ";
using standin::Json;

constexpr int kMaxIterations = 2000;

struct Fixture {
  EventLoop loop;
  HttpClient client{loop};

  template <class Condition>
  bool RunUntil(Condition condition) {
    for (int iteration = 0; iteration < kMaxIterations && !condition(); ++iteration)
      loop.RunOnce(Millis{10});
    return condition();
  }

  /// Makes a call and waits for its end.
  /// @return the response, with status 0 if it was lost
  HttpResponse Call(HttpClientRequest request) {
    HttpResponse reply;
    bool is_done = false;
    client.Fetch(std::move(request), [&](Result<HttpResponse> result) {
      is_done = true;
      if (IsOk(result)) reply = std::get<HttpResponse>(result);
    });
    BOOST_REQUIRE(RunUntil([&] { return is_done; }));
    return reply;
  }

  template <class Standin>
  static Address Open(Standin& standin) {
    return std::get<Address>(standin.Listen({"127.0.0.1", 0}));
  }
};

/// Concatenates the deltas of an event stream and checks their numbers.
struct Transcript {
  std::string text;
  std::int64_t last = -1;
  bool is_completed = false;

  void Append(const std::string& body) {
    for (std::size_t at = body.find(kData); at != std::string::npos; at = body.find(kData, at)) {
      at += kData.size();
      const std::size_t end = body.find("\n\n", at);
      if (end == std::string::npos) return;
      const Json event = Json::parse(body.substr(at, end - at));
      BOOST_TEST(event["sequence_number"].get<std::int64_t>() == last + 1);
      last = event["sequence_number"].get<std::int64_t>();
      if (event.contains("delta")) text += event["delta"].get<std::string>();
      if (event["type"] == "response.completed") is_completed = true;
    }
  }
};

HttpClientRequest Create(const Address& address, const std::string& input, int tokens) {
  const Json body = {{"model", "m"},   {"input", input},     {"max_output_tokens", tokens},
                     {"stream", true}, {"background", true}, {"metadata", {{"request_id", "r"}}}};
  return {.address = address, .method = "POST", .path = "/v1/responses", .body = body.dump()};
}

}  // namespace

// Guards against an update that overwrites a newer version, and against versions that are reused
// after a deletion.
BOOST_FIXTURE_TEST_CASE(ConditionalUpdate, Fixture) {
  standin::ObjectApi api(loop);
  const Address address = Open(api);
  const auto put = [&](const std::string& header, const std::string& value) {
    return Call({.address = address,
                 .method = "PUT",
                 .path = "/objects/a/b",
                 .headers = {{header, value}},
                 .body = "x" + value});
  };
  BOOST_TEST(put("if-none-match", "*").headers["etag"] == "\"1\"");
  BOOST_TEST(put("if-none-match", "*").status == 412);
  BOOST_TEST(put("if-match", "\"1\"").headers["etag"] == "\"2\"");
  const HttpResponse stale = put("if-match", "\"1\"");
  BOOST_TEST(stale.status == 412);
  BOOST_TEST(stale.headers.at("etag") == "\"2\"");
  const HttpClientRequest remove{.address = address,
                                 .method = "DELETE",
                                 .path = "/objects/a/b",
                                 .headers = {{"if-match", "\"2\""}}};
  BOOST_TEST(Call(remove).status == 204);
  BOOST_TEST(Call(remove).status == 404);
  BOOST_TEST(put("if-none-match", "*").headers["etag"] == "\"4\"");
  const HttpResponse read = Call({.address = address, .path = "/objects/a/b"});
  BOOST_TEST(read.body == "x*");
  const HttpResponse list = Call({.address = address, .path = "/objects?prefix=a/"});
  BOOST_TEST(list.body == R"({"objects":[{"key":"a/b","version":4}]})");
}

// Guards against a write that has no effect when its response is lost, and against a fault that
// affects more calls than its count.
BOOST_FIXTURE_TEST_CASE(LostAnswerTakesEffect, Fixture) {
  standin::ObjectApi api(loop);
  const Address address = Open(api);
  const Json fault = {{"mode", "lose_answers"}, {"prefix", "ledger/"}, {"count", 1}};
  BOOST_TEST(Call({.address = address, .method = "POST", .path = "/control", .body = fault.dump()})
                 .status == 200);
  const auto put = [&](const std::string& key) {
    return Call({.address = address,
                 .method = "PUT",
                 .path = "/objects/" + key,
                 .headers = {{"if-none-match", "*"}},
                 .body = "claim"});
  };
  BOOST_TEST(put("config/main").status == 200);
  BOOST_TEST(put("ledger/1").status == 0);
  BOOST_TEST(Call({.address = address, .path = "/objects/ledger/1"}).body == "claim");
  BOOST_TEST(put("ledger/2").status == 200);
  BOOST_TEST(api.Log().size() == 3);
}

// Guards against calls that take effect or get a response while the store is down.
BOOST_FIXTURE_TEST_CASE(DownHasNoEffect, Fixture) {
  standin::ObjectApi api(loop);
  const Address address = Open(api);
  api.SetFault({.mode = standin::ObjectApiFault::Mode::kDown});
  const HttpResponse lost = Call({.address = address,
                                  .method = "PUT",
                                  .path = "/objects/a",
                                  .headers = {{"if-none-match", "*"}},
                                  .body = "x"});
  BOOST_TEST(lost.status == 0);
  BOOST_TEST(api.Log().empty());
}

// Guards against a watch that misses a write, and against one that outlasts its wait time.
BOOST_FIXTURE_TEST_CASE(WatchSeesWrite, Fixture) {
  standin::ObjectApi api(loop);
  const Address address = Open(api);
  HttpResponse seen;
  client.Fetch({.address = address, .path = "/objects/a?after=0&wait_ms=60000"},
               [&](Result<HttpResponse> result) { seen = std::get<HttpResponse>(result); });
  BOOST_REQUIRE(RunUntil([&] { return api.Stats()["watches"] == 1; }));
  api.Put("a", "new");
  BOOST_REQUIRE(RunUntil([&] { return seen.status != 0; }));
  BOOST_TEST(seen.body == "new");
  BOOST_TEST(Call({.address = address, .path = "/objects/a?after=1&wait_ms=1"}).status == 304);
}

// Guards against repeated or missing output in a stream that is resumed after a lost connection.
BOOST_FIXTURE_TEST_CASE(ResumedStreamIsWhole, Fixture) {
  standin::Engine engine(loop, {.decode_rate = 2'000});
  const Address address = Open(engine);
  std::string first;
  auto call = client.StartCall(
      Create(address, "dossier", 400),
      {.on_head = nullptr, .on_data = [&](auto bytes) { first += bytes; }, .on_end = nullptr});
  BOOST_REQUIRE(RunUntil([&] { return first.find("delta") != std::string::npos; }));
  call.reset();
  Transcript transcript;
  transcript.Append(first);
  const std::string id = engine.Executions()[0]["id"];
  const HttpResponse rest = Call({.address = address,
                                  .path = "/v1/responses/" + id + "?stream=true&starting_after=" +
                                          std::to_string(transcript.last)});
  transcript.Append(rest.body);
  BOOST_TEST(transcript.is_completed);
  BOOST_TEST(transcript.text == standin::ExpectedAnswer("dossier", "r", 400));
  BOOST_TEST(engine.Executions().size() == 1);
  BOOST_TEST(engine.Executions()[0]["state"] == "done");
}

// Guards against a prefix cache that loses blocks below its memory limit or exceeds the limit.
BOOST_FIXTURE_TEST_CASE(PrefixIsCachedWithinLimit, Fixture) {
  standin::Engine engine(loop, {.prefill_rate = 1e9, .decode_rate = 1e9, .cache_tokens = 256});
  const Address address = Open(engine);
  for (const char letter : {'a', 'a', 'b', 'a'}) {
    BOOST_TEST(Call(Create(address, std::string(1000, letter), 4)).status == 200);
  }
  const Json executions = engine.Executions();
  std::vector<std::int64_t> cached;
  for (const Json& execution : executions) cached.push_back(execution["cached_tokens"]);
  BOOST_TEST(cached == (std::vector<std::int64_t>{0, 192, 0, 64}),
             boost::test_tools::per_element());
}

// Guards against an engine that still responds after the request that crashes it.
BOOST_FIXTURE_TEST_CASE(CrashDropsConnections, Fixture) {
  standin::Engine engine(loop, {});
  const Address address = Open(engine);
  BOOST_TEST(Call(Create(address, "CRASH-ENGINE", 4)).status == 0);
  BOOST_TEST(Call({.address = address, .path = "/load"}).status == 0);
}

// Guards against an engine that executes an order of a former owner.
BOOST_FIXTURE_TEST_CASE(StaleOrderIsRefused, Fixture) {
  standin::Engine engine(loop, {.is_checking_fencing = true});
  const Address address = Open(engine);
  const auto order = [&](int fencing) {
    const Json body = {{"fencing", fencing}, {"order", "load_model"}, {"model", "m"}};
    return Call({.address = address, .method = "POST", .path = "/v1/orders", .body = body.dump()});
  };
  BOOST_TEST(order(7).status == 200);
  BOOST_TEST(order(6).status == 409);
  BOOST_TEST(order(7).status == 200);
}

// Guards against a service that deduplicates or does not record the second call with a key.
BOOST_FIXTURE_TEST_CASE(ServiceCountsExecutions, Fixture) {
  standin::Service service(loop, {.delay = Millis{1}, .slots = 1});
  const Address address = Open(service);
  Json last;
  for (int i = 0; i < 2; ++i) {
    last = Json::parse(Call({.address = address,
                             .method = "POST",
                             .path = "/v1/calls",
                             .headers = {{"idempotency-key", "k"}, {"x-request-id", "r"}},
                             .body = "{}"})
                           .body);
  }
  BOOST_TEST(last["executions"] == 2);
  BOOST_TEST(last["confirmation"] == standin::ExpectedConfirmation("{}", "k"));
  BOOST_TEST(service.Executions().size() == 2);
}

// Guards against a silenced connection that still forwards bytes or a close, and against new
// connections that do not work.
BOOST_FIXTURE_TEST_CASE(SilentExistingSparesNewConnections, Fixture) {
  standin::Engine engine(loop, {.decode_rate = 500});
  standin::Proxy proxy(loop, Open(engine));
  const Address address = Open(proxy);
  std::string seen;
  bool is_ended = false;
  auto call = client.StartCall(Create(address, "dossier", 200),
                               {.on_head = nullptr,
                                .on_data = [&](auto bytes) { seen += bytes; },
                                .on_end = [&](auto, const auto&) { is_ended = true; }});
  BOOST_REQUIRE(RunUntil([&] { return seen.find("delta") != std::string::npos; }));
  proxy.SetMode(standin::ProxyMode::kSilentExisting);
  loop.RunOnce(Millis{0});
  const std::size_t length = seen.size();
  const std::string id = engine.Executions()[0]["id"];
  const HttpResponse whole =
      Call({.address = address, .path = "/v1/responses/" + id + "?stream=true"});
  Transcript transcript;
  transcript.Append(whole.body);
  BOOST_TEST(transcript.text == standin::ExpectedAnswer("dossier", "r", 200));
  BOOST_TEST(seen.size() == length);
  BOOST_TEST(!is_ended);
  call.reset();
}

// Guards against forwarding bytes beyond the limit, and against a delay that reorders or loses
// bytes.
BOOST_FIXTURE_TEST_CASE(DropAfterBytesResets, Fixture) {
  standin::ObjectApi api(loop);
  standin::Proxy proxy(loop, Open(api));
  const Address address = Open(proxy);
  api.Put("a", std::string(300'000, 'x') + "end");
  proxy.SetDelay(Millis{2});
  const HttpResponse whole = Call({.address = address, .path = "/objects/a"});
  BOOST_TEST(whole.body == std::string(300'000, 'x') + "end");
  proxy.SetDropAfterBytes(1'000);
  BOOST_TEST(Call({.address = address, .path = "/objects/a"}).status == 0);
  proxy.SetDropAfterBytes(0);
  proxy.SetMode(standin::ProxyMode::kCut);
  BOOST_TEST(Call({.address = address, .path = "/objects/a"}).status == 0);
  BOOST_TEST(proxy.ConnectionCount() == 0);
}

// Guards against a load driver that submits a request twice, loses part of an answer whose
// connection is lost, or counts a refusal as a completed request.
BOOST_FIXTURE_TEST_CASE(LoadResumesAnswers, Fixture) {
  Address address;
  std::map<std::string, std::string> prompts;
  int submitted = 0;
  const auto answer = [&](const std::string& id) {
    return standin::ExpectedAnswer(prompts[id], id, 8);
  };
  HttpServer daemon(loop, {}, [&](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
    if (request.path == "/v1/instances") {
      const Json instance = {{"id", "a"}, {"address", address.Text()}, {"ticket", "a.1.1"}};
      return standin::SendJson(*responder, 200,
                               {{"valid_s", 5}, {"instances", Json::array({instance})}});
    }
    if (request.method == "GET") {
      const std::string id = request.path.substr(std::string("/v1/requests/").size());
      const std::size_t offset = std::stoul(request.Query("offset"));
      const Json data = {{"offset", offset}, {"data", answer(id).substr(offset)}};
      const Json end = {{"end", true}, {"outcome", "completed"}, {"length", 32}};
      return responder->Send(200, {}, data.dump() + "\n" + end.dump() + "\n");
    }
    if (++submitted % 4 == 0) {
      return standin::SendJson(*responder, 503,
                               {{"end", true}, {"outcome", "not_run"}, {"error", "overloaded"}});
    }
    const std::string id = request.Header("bluebellpass-request-id");
    BOOST_TEST(!prompts.contains(id));
    prompts[id] = Json::parse(request.body)["prompt"];
    responder->Start(200, {});
    responder->Write(Json{{"offset", 0}, {"data", answer(id).substr(0, 10)}}.dump() + "\n");
    loop.RunAfter(Millis{5}, [responder] { responder->Abort(); });
  });
  address = std::get<Address>(daemon.Listen({"127.0.0.1", 0}));
  const auto experiment = standin::ParseExperiment(
      R"({"verify": true, "max_requests": 8, "max_connections": 3, "streams": [{"organisation": "o",
          "tier": "t", "pool": "p", "rate": 1000, "prompt_bytes": 50, "shared_prefix_bytes": 20,
          "max_tokens": 8, "deadline_ms": 60000, "duration_s": 10}]})");
  standin::LoadDriver driver(loop, std::get<standin::LoadExperiment>(experiment), {address});
  driver.Start();
  BOOST_REQUIRE(RunUntil([&] { return driver.IsDone(); }));
  const Json total = driver.Summary()["tiers"]["t"]["organisations"]["o"];
  BOOST_TEST(submitted == 8);
  BOOST_TEST(total["sent"] == 8);
  BOOST_TEST(total["completed"] == 6);
  BOOST_TEST(total["not_run"]["overloaded"] == 2);
  BOOST_TEST(total["wrong_answer"] == 0);
}

}  // namespace bluebellpass
