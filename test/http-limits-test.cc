#include <sys/resource.h>

#include <boost/test/unit_test.hpp>
#include <fstream>

#include "cluster/cluster.h"
#include "cluster/raw-caller.h"

/// Sends invalid and excessively large requests to a running daemon.

namespace bluebellpass {
namespace {

using nlohmann::json;
using test::EngineBody;
using test::RawCaller;
using test::RawReply;
using test::RawRequest;

constexpr std::size_t kMaxBodyBytes = 1U << 20U;
constexpr int kConnections = 500;
constexpr int kNestingDepth = 100'000;
// Twice the request timeout of 10 s, since the machine may be loaded.
constexpr Millis kCloseTimeout{20'000};
// Limit on the peak resident memory of the daemon. 24 MiB cover an idle daemon with its libraries
// and 20,000 recorded events of about 300 bytes. Each of 500 connections may hold 64 KiB: its first
// read buffer, a request's memory pool and headers of at most 32 KiB. One body is parsed at a time,
// which takes up to 40 times its length (a JSON array of small arrays), so 40 MiB for 1 MiB.
constexpr std::size_t kMaxMemoryBytes = (24U + 32U + 40U) << 20U;
#ifdef __SANITIZE_ADDRESS__
constexpr bool kHasMemoryLimit = false;  // the sanitizer does not release freed memory
#else
constexpr bool kHasMemoryLimit = true;
#endif

test::ClusterOptions MakeOptions() {
  test::ClusterOptions options;
  options.instances = 1;
  options.backends = {{.prefix = "engine", .kind = "engine", .pool = "assistant", .flags = {}},
                      {.prefix = "desk", .kind = "service", .pool = "booking", .flags = {}}};
  options.daemon_flags = {"--max-body-bytes", std::to_string(kMaxBodyBytes)};
  return options;
}

struct Fixture {
  test::Cluster cluster{MakeOptions()};
  Address address = cluster.CallerAddress(0);

  std::optional<RawReply> SendRequest(const std::string& request) const {
    RawCaller caller(address);
    caller.Send(request);
    return caller.Read();
  }

  /// @return peak resident memory of the daemon, in bytes
  std::size_t PeakMemoryBytes() {
    std::ifstream file("/proc/" + std::to_string(cluster.Daemon(0).Pid()) + "/status");
    std::string word;
    std::size_t kibibytes = 0;
    while (file >> word) {
      if (word == "VmHWM:") file >> kibibytes;
    }
    return kibibytes << 10U;
  }

  /// Checks that the daemon completes a valid request, that no other request has reached a backend
  /// server, and that the memory stayed within its limit.
  void CheckServesNextRequest() {
    BOOST_TEST(cluster.Executions().empty());
    const auto response = cluster.Submit(0, EngineBody("still there"));
    BOOST_TEST(cluster.RunUntil([&] { return response->is_done; }));
    BOOST_TEST(response->outcome == "completed");
    BOOST_TEST(cluster.Executions().size() == 1U);
    BOOST_TEST_MESSAGE("peak memory of the daemon in KiB: " << (PeakMemoryBytes() >> 10U));
    BOOST_TEST(PeakMemoryBytes() > 0U);
    if (kHasMemoryLimit) BOOST_TEST(PeakMemoryBytes() < kMaxMemoryBytes);
  }

  void CheckRejected(const std::string& label, const std::string& request, int status,
                     const std::string& error, const std::string& field) {
    BOOST_TEST_CONTEXT(label) {
      const auto reply = SendRequest(request);
      BOOST_REQUIRE(reply.has_value());
      BOOST_TEST(reply->status == status);
      const json line = json::parse(reply->body, nullptr, false);
      BOOST_REQUIRE_MESSAGE(line.is_object(), "not a JSON object: " + reply->body);
      BOOST_TEST(line.value("error", "") == error);
      BOOST_TEST(line.value("field", "") == field);
      BOOST_TEST(line.value("outcome", "") == "not_run");
      BOOST_TEST(!line.value("message", "").empty());
    }
  }

  void CheckBodyRejected(const std::string& body, const std::string& field, int status = 400,
                         const std::string& error = "bad_request") {
    CheckRejected(body.substr(0, 100), RawRequest("POST", "/v1/requests", body), status, error,
                  field);
  }
};

/// @return a valid body with one member replaced by JSON text
std::string MakeBodyWith(const std::string& member, const std::string& value) {
  json body = EngineBody("a prompt");
  body[member] = "@";
  std::string text = body.dump();
  return text.replace(text.find("\"@\""), 3, value);
}

std::string RepeatText(const std::string& piece, int count) {
  std::string text;
  for (int i = 0; i < count; ++i) text += piece;
  return text;
}

std::string MakeNestedJson(const std::string& open, const std::string& close) {
  return RepeatText(open, kNestingDepth) + "1" + RepeatText(close, kNestingDepth);
}

std::string MakeHeaderLine(const std::string& name, const std::string& value) {
  return name + ": " + value + "\r\n";
}

}  // namespace

// Guards against accepting bodies that are not a valid JSON object, and against a stack overflow by
// deep nesting.
BOOST_FIXTURE_TEST_CASE(InvalidBodiesAreRejected, Fixture) {
  CheckBodyRejected(R"({"organisation":"oficina",)", "body");
  CheckBodyRejected("", "body");
  CheckBodyRejected("[1,2]", "body");
  CheckBodyRejected("\"text\"", "body");
  CheckBodyRejected("null", "body");
  CheckBodyRejected(MakeBodyWith("prompt", "\"\xff\xfe\""), "body");
  CheckBodyRejected(MakeBodyWith("prompt", "\"\xed\xa0\x80\""), "body");
  CheckBodyRejected(MakeBodyWith("prompt", "\"\\ud800\""), "body");
  CheckBodyRejected(MakeNestedJson("[", "]"), "body");
  CheckBodyRejected(MakeBodyWith("prompt", MakeNestedJson("[", "]")), "body");
  CheckBodyRejected(MakeBodyWith("prompt", MakeNestedJson("{\"a\":", "}")), "body");
  CheckServesNextRequest();
}

// Guards against accepting invalid, duplicate or unknown members, and against errors that do not
// name the member.
BOOST_FIXTURE_TEST_CASE(ErrorsNameInvalidMembers, Fixture) {
  CheckBodyRejected(MakeBodyWith("tier", R"("urgent","tier":"batch")"), "tier");
  CheckBodyRejected(MakeBodyWith("prompt", R"({"boxes":1,"boxes":2})"), "boxes");
  CheckBodyRejected(MakeBodyWith("prioritty", "1"), "prioritty");
  for (const char* member : {"organisation", "tier", "pool", "idempotency_key"}) {
    for (const char* value : {"7", "null", "[]", "true"})
      CheckBodyRejected(MakeBodyWith(member, value), member);
  }
  for (const char* value : {"7", "null", "[]", "true"})
    CheckBodyRejected(MakeBodyWith("prompt", value), "prompt");
  for (const char* member : {"deadline_ms", "max_tokens"}) {
    for (const char* value :
         {"\"7\"", "null", "1.5", "1e3", "-1", "0", "86400001", "1e300", "9223372036854775808",
          "18446744073709551615", "-9223372036854775809"}) {
      CheckBodyRejected(MakeBodyWith(member, value), member);
    }
  }
  CheckBodyRejected(MakeBodyWith("idempotent", "0"), "idempotent");
  CheckBodyRejected(MakeBodyWith("organisation", "\"stranger\""), "organisation", 422,
                    "unknown_organisation");
  CheckBodyRejected(MakeBodyWith("tier", "\"vip\""), "tier", 422, "unknown_tier");
  CheckBodyRejected(MakeBodyWith("pool", "\"none\""), "pool", 422, "unknown_pool");
  CheckBodyRejected(MakeBodyWith("idempotent", "false"), "idempotency_key", 422,
                    "missing_idempotency_key");
  CheckBodyRejected(MakeBodyWith("idempotency_key", R"("a\r\nx-header: b")"), "idempotency_key");
  CheckBodyRejected(MakeBodyWith("pool", "\"booking\""), "idempotent");
  json body = EngineBody("x");
  for (const char* member : {"organisation", "tier", "pool", "deadline_ms", "prompt"}) {
    json partial = body;
    partial.erase(member);
    CheckBodyRejected(partial.dump(), member);
  }
  CheckServesNextRequest();
}

// Guards against accepting malformed ids, offsets, tokens and paths.
BOOST_FIXTURE_TEST_CASE(InvalidIdsAndPathsAreRejected, Fixture) {
  const std::string body = EngineBody("x").dump();
  const std::string id = cluster.NewId(0);
  const std::string incarnation = id.substr(3, 16);
  const auto submit = [&](const std::string& text) {
    return RawRequest("POST", "/v1/requests", body,
                      MakeHeaderLine("bluebellpass-request-id", text));
  };
  const std::string field = "bluebellpass-request-id";
  for (const std::string& bad :
       {std::string("x"), std::string("i1.1.0.n"), id + "/", id + std::string(40, 'n'),
        std::string(9000, 'i'), "i1." + incarnation + ".9999999.n",
        "i1." + incarnation + ".-1.n"}) {
    CheckRejected("id " + bad.substr(0, 60), submit(bad), 400, "bad_request_id", field);
  }
  // A ticket of another instance or process: the request is not dispatched, but the
  // outcome is unknown, since only the home instance could confirm that it did not run.
  for (const std::string& foreign :
       {std::string("i9.0123456789abcdef.0.n"), std::string("i1.0123456789abcdef.0.n")}) {
    const auto reply = SendRequest(submit(foreign));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status == 502);
    const json line = json::parse(reply->body, nullptr, false);
    BOOST_TEST(line.value("error", "") == "home_unreachable");
    BOOST_TEST(line.value("outcome", "") == "unknown");
  }
  for (const char* bad : {"-1", "x", "1x", "99999999999999999999", "%00"}) {
    const std::string path = "/v1/requests/" + id + "?offset=" + bad;
    CheckRejected(path, RawRequest("GET", path), 400, "bad_request", "offset");
    const std::string events = std::string("/v1/events?after=") + bad;
    CheckRejected(events, RawRequest("GET", events), 400, "bad_request", "after");
  }
  for (const char* bad : {"", "x", "a~b~c", "engine1~s~00000000000000000000000000000000"}) {
    const std::string path = std::string("/v1/resume?offset=0&token=") + bad;
    CheckRejected(path, RawRequest("GET", path), 400, "bad_request", "token");
  }
  for (const char* path : {"/", "/v1", "/v1/request", "/v1/requestsx", "/%ff"}) {
    CheckRejected(path, RawRequest("GET", path), 400, "bad_request", "path");
  }
  for (const char* method : {"DELETE", "PUT", "BREW", "HEAD2"}) {
    CheckRejected(method, RawRequest(method, "/v1/requests"), 400, "bad_request", "path");
  }
  CheckServesNextRequest();
}

// Guards against buffering bodies above the limit, and against errors that do not name the body.
BOOST_FIXTURE_TEST_CASE(OversizedBodiesAreRejected, Fixture) {
  // The response must not wait for the body.
  const std::string announced = "POST /v1/requests HTTP/1.1\r\nhost: x\r\ncontent-length: " +
                                std::to_string(kMaxBodyBytes + 1) + "\r\n\r\n";
  CheckRejected("announced", announced, 413, "too_large", "body");
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  const std::string chunked =
      "POST /v1/requests HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n" +
      RepeatText(chunk, kMaxBodyBytes / 0x10000) + "1\r\nx\r\n";
  CheckRejected("chunked", chunked, 413, "too_large", "body");
  std::string longest = EngineBody("").dump();
  const std::size_t free_bytes = kMaxBodyBytes - longest.size();
  longest = MakeBodyWith("tier", "\"none\"");
  longest += std::string(kMaxBodyBytes - longest.size(), ' ');
  BOOST_TEST(free_bytes > 0U);
  CheckBodyRejected(longest, "tier", 422, "unknown_tier");
  // Small arrays are the JSON text with the highest memory use per byte.
  CheckBodyRejected(
      MakeBodyWith("max_tokens", "[" + RepeatText("[0],", kMaxBodyBytes / 4 - 100) + "0]"),
      "max_tokens");
  CheckServesNextRequest();
}

// Guards against keeping the prompts of ended requests in memory until the request ids expire.
BOOST_FIXTURE_TEST_CASE(PromptsOfEndedRequestsAreFreed, Fixture) {
  const json body = EngineBody(std::string(kMaxBodyBytes - 1000, 'p'), "urgent", 20, 1);
  const int requests = 100;
  for (int i = 0; i < requests; ++i) {
    const auto reply = SendRequest(RawRequest("POST", "/v1/requests", body.dump()));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status == 504);
  }
  CheckServesNextRequest();
}

// Guards against accepting headers of unbounded number or size, and invalid framing headers.
BOOST_FIXTURE_TEST_CASE(InvalidHeadersAreRejected, Fixture) {
  const std::string body = EngineBody("x").dump();
  std::string many;
  for (int i = 0; i < 200; ++i) many += MakeHeaderLine("x-" + std::to_string(i), "v");
  const auto reply = SendRequest(RawRequest("POST", "/v1/requests", body, many));
  BOOST_REQUIRE(reply.has_value());
  // h2o responds to requests that it cannot parse with its own text, as documented in docs/api.md.
  BOOST_TEST(reply->status == 400);
  BOOST_TEST(reply->body == "Bad Request");
  CheckRejected(
      "100 kB",
      RawRequest("POST", "/v1/requests", body, MakeHeaderLine("x", std::string(100'000, 'v'))), 413,
      "too_large", "headers");
  for (const char* framing : {"content-length: x\r\n", "content-length: -5\r\n",
                              "transfer-encoding: gzip\r\n", "transfer-encoding: chunked\r\n"}) {
    const std::string request = "POST /v1/requests HTTP/1.1\r\nhost: x\r\n" + std::string(framing);
    CheckRejected(framing, request + "\r\nzz\r\n", 400, "bad_request", "headers");
  }
  CheckRejected("100 kB of path", RawRequest("GET", "/" + std::string(100'000, 'p')), 413,
                "too_large", "headers");
  CheckServesNextRequest();
}

// Guards against connections that stay open indefinitely because the caller never finishes its
// request, whether it sends nothing more or a byte at a time.
BOOST_FIXTURE_TEST_CASE(ConnectionsOfSlowSendersAreClosed, Fixture) {
  const std::string head = "POST /v1/requests HTTP/1.1\r\nhost: x\r\n";
  const std::string partial_body = head + "content-length: 1000\r\n\r\n{";
  std::vector<RawCaller> silent_callers;
  for (const std::string& start : {std::string(), head, partial_body}) {
    silent_callers.emplace_back(address);
    silent_callers.back().Send(start);
  }
  std::vector<RawCaller> trickling_callers;
  for (const std::string& start : {head + "x: ", partial_body}) {
    trickling_callers.emplace_back(address);
    trickling_callers.back().Send(start);
  }
  const auto begin = std::chrono::steady_clock::now();
  std::vector<bool> is_open(trickling_callers.size(), true);
  const auto elapsed = [&] {
    return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - begin);
  };
  while ((is_open[0] || is_open[1]) && elapsed() < kCloseTimeout) {
    const auto response = cluster.Submit(0, EngineBody("meanwhile"));
    BOOST_TEST(cluster.RunUntil([&] { return response->is_done; }));
    BOOST_TEST(response->outcome == "completed");
    for (std::size_t i = 0; i < trickling_callers.size(); ++i) {
      trickling_callers[i].Send("a");
      if (!is_open[i] || !trickling_callers[i].IsClosedWithin(Millis{1})) continue;
      is_open[i] = false;
      BOOST_TEST_MESSAGE("trickling sender " << i << " closed after ms " << elapsed().count());
    }
    cluster.RunFor(Millis{300});
  }
  BOOST_TEST(!is_open[0]);
  BOOST_TEST(!is_open[1]);
  for (RawCaller& caller : silent_callers)
    BOOST_TEST(caller.IsClosedWithin(kCloseTimeout - elapsed()));
  const std::size_t served = cluster.Executions().size();
  const auto reply = SendRequest(RawRequest("GET", "/healthz"));
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST(reply->status == 200);
  BOOST_TEST(cluster.Executions().size() == served);
}

// Guards against a daemon that stalls under many connections or mixes up their responses.
BOOST_FIXTURE_TEST_CASE(ManyConnectionsAreServed, Fixture) {
  std::vector<RawCaller> callers;
  callers.reserve(kConnections);
  for (int i = 0; i < kConnections; ++i) callers.emplace_back(address);
  for (int i = 0; i < kConnections; ++i) {
    const std::string member = "m" + std::to_string(i);
    callers[static_cast<std::size_t>(i)].Send(
        RawRequest("POST", "/v1/requests", MakeBodyWith(member, "1")));
  }
  for (int i = 0; i < kConnections; ++i) {
    const auto reply = callers[static_cast<std::size_t>(i)].Read();
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status == 400);
    const json line = json::parse(reply->body, nullptr, false);
    BOOST_TEST(line.value("field", "") == "m" + std::to_string(i));
  }
  // All connections are still open.
  CheckServesNextRequest();
}

// Guards against callers' connections that use up the file descriptors needed for the object API,
// peers and backend servers, and against a busy loop of failing accepts.
BOOST_AUTO_TEST_CASE(ConnectionFloodsLeaveReservedDescriptors) {
  const rlim_t descriptors = 128;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  const rlimit lowered{descriptors, limit.rlim_max};
  setrlimit(RLIMIT_NOFILE, &lowered);
  Fixture fixture;
  setrlimit(RLIMIT_NOFILE, &limit);
  {
    std::vector<RawCaller> callers;
    callers.reserve(2 * descriptors);
    for (rlim_t i = 0; i < 2 * descriptors; ++i) callers.emplace_back(fixture.address);
    // The instance reads its configuration from the object API every second.
    fixture.cluster.RunFor(Millis{4'000});
    std::size_t closed = 0;
    for (RawCaller& caller : callers) closed += caller.IsClosedWithin(Millis{0}) ? 1 : 0;
    BOOST_TEST(closed >= descriptors);
    BOOST_TEST(closed < 2 * descriptors);
  }
  fixture.CheckServesNextRequest();
  for (const auto& event : fixture.cluster.Timeline()) BOOST_TEST(event.name != "store_down");
}

// Guards against lost or reordered responses to pipelined requests.
BOOST_FIXTURE_TEST_CASE(PipelinedRequestsAreAnsweredInOrder, Fixture) {
  RawCaller caller(address);
  caller.Send(RawRequest("POST", "/v1/requests", "{") + RawRequest("GET", "/healthz") +
              RawRequest("POST", "/v1/requests", EngineBody("third").dump()) +
              RawRequest("GET", "/nowhere"));
  for (const int status : {400, 200, 200, 400}) {
    const auto reply = caller.Read();
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status == status);
    if (status == 200 && reply->headers.contains("bluebellpass-request-id")) {
      BOOST_TEST(reply->body.find("\"completed\"") != std::string::npos);
    }
  }
  BOOST_TEST(cluster.Executions().size() == 1U);
}

}  // namespace bluebellpass
