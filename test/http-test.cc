#include <sys/resource.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "client-crowd.h"
#include "kernel/http-client.h"
#include "kernel/http-server.h"
#include "kernel/http1-server.h"
#include "kernel/loop.h"
#include "raw-server.h"

namespace bluebellpass {
namespace {

constexpr int kMaxIterations = 2000;
// A server has sent this much to a caller that keeps everything.
constexpr std::size_t kMaxSentBytes = 64U << 20U;
// More than the buffers of a connection hold whose server does not read.
constexpr std::size_t kUnreadBodyBytes = 16U << 20U;

/// A server with a replaceable handler, and a client on the same loop.
struct Fixture {
  EventLoop loop;
  HttpHandler handler;
  HttpServer server{loop, HttpServerLimits{}, [this](HttpRequest request, auto responder) {
                      handler(std::move(request), std::move(responder));
                    }};
  HttpClient client{loop};
  Address address = std::get<Address>(server.Listen({"127.0.0.1", 0}));

  template <class Condition>
  bool RunUntil(Condition condition) {
    for (int iteration = 0; iteration < kMaxIterations && !condition(); ++iteration)
      loop.RunOnce(Millis{10});
    return condition();
  }
};

}  // namespace

// Guards against body bytes and headers lost between the handler and h2o.
BOOST_FIXTURE_TEST_CASE(ResponseIsComplete, Fixture) {
  handler = [](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
    responder->Send(201, {{"x-query", request.Query("q")}}, request.body + request.path);
  };
  HttpResponse response;
  client.Fetch(
      {.address = address, .method = "POST", .path = "/p?q=a%20b", .headers = {}, .body = "hello"},
      [&](Result<HttpResponse> result) { response = std::get<HttpResponse>(result); });
  BOOST_REQUIRE(RunUntil([&] { return response.status != 0; }));
  BOOST_TEST(response.status == 201);
  BOOST_TEST(response.body == "hello/p");
  BOOST_TEST(response.headers["x-query"] == "a b");
}

// Guards against losing writes made while h2o is still sending an earlier buffer.
BOOST_FIXTURE_TEST_CASE(StreamedResponseIsComplete, Fixture) {
  std::shared_ptr<HttpResponder> open;
  handler = [&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    responder->Start(200, {});
    open = responder;
  };
  std::string body;
  bool is_done = false;
  client.Fetch({.address = address}, [&](Result<HttpResponse> result) {
    body = std::get<HttpResponse>(result).body;
    is_done = true;
  });
  BOOST_REQUIRE(RunUntil([&] { return open != nullptr; }));
  std::string expected;
  for (int i = 0; i < 200; ++i) {
    const std::string piece = std::to_string(i) + std::string(1000, 'x');
    expected += piece;
    open->Write(piece);
    loop.RunOnce(Millis{0});
  }
  open->End();
  BOOST_REQUIRE(RunUntil([&] { return is_done; }));
  BOOST_TEST(body == expected);
}

// Guards against an uncertain result of a call that cannot have sent anything.
BOOST_FIXTURE_TEST_CASE(NothingIsSentOnRefusedConnection, Fixture) {
  server.StopAccepting();
  bool is_done = false;
  client.Fetch({.address = address}, [&](Result<HttpResponse> result) {
    is_done = true;
    BOOST_TEST(!IsOk(result));
    BOOST_TEST((ErrorOf(result).kind == ErrorKind::kStoreUnavailable));
  });
  BOOST_REQUIRE(RunUntil([&] { return is_done; }));
}

// Guards against reporting a truncated response as complete.
BOOST_FIXTURE_TEST_CASE(AbortedResponseIsNotComplete, Fixture) {
  handler = [](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    responder->Start(200, {});
    responder->Write("part");
    responder->Abort();
  };
  bool is_done = false;
  client.Fetch({.address = address}, [&](Result<HttpResponse> result) {
    is_done = true;
    BOOST_TEST(!IsOk(result));
  });
  BOOST_REQUIRE(RunUntil([&] { return is_done; }));
}

// Guards against an abort before the head that the client sees as a complete, empty response.
BOOST_FIXTURE_TEST_CASE(AbortBeforeHeadIsNotAResponse, Fixture) {
  handler = [](HttpRequest, std::shared_ptr<HttpResponder> responder) { responder->Abort(); };
  bool is_done = false;
  client.Fetch({.address = address}, [&](Result<HttpResponse> result) {
    is_done = true;
    BOOST_REQUIRE(!IsOk(result));
    BOOST_TEST((ErrorOf(result).kind == ErrorKind::kStoreUncertain));
  });
  BOOST_REQUIRE(RunUntil([&] { return is_done; }));
}

// Guards against using a connection after its client has disconnected.
BOOST_FIXTURE_TEST_CASE(ClientDisconnectIsDetected, Fixture) {
  std::shared_ptr<HttpResponder> open;
  bool is_closed = false;
  handler = [&](HttpRequest, std::shared_ptr<HttpResponder> responder) {
    responder->OnClosed([&] { is_closed = true; });
    responder->Start(200, {});
    open = responder;
  };
  std::size_t seen = 0;
  auto call = client.StartCall({.address = address},
                               {.on_head = nullptr,
                                .on_data = [&](std::string_view b) { seen += b.size(); },
                                .on_end = nullptr});
  BOOST_REQUIRE(RunUntil([&] { return open != nullptr; }));
  open->Write("x");
  BOOST_REQUIRE(RunUntil([&] { return seen > 0; }));
  call.reset();
  BOOST_REQUIRE(RunUntil([&] {
    open->Write("y");
    return is_closed;
  }));
  BOOST_TEST(!open->IsOpen());
}

// Guards against a server that sends a head or a body without end into the memory of its caller.
BOOST_FIXTURE_TEST_CASE(EndlessResponseEndsTheCall, Fixture) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::pair<std::string, std::string> responses[] = {
      {head + "X-Field: ", "x"},
      {head, "a:b\r\n"},
      {head + "\r\n", "x"},
      {head + "Content-Length: 9999999999\r\n\r\n", "x"},
      {head + "Transfer-Encoding: chunked\r\n\r\n77777777\r\n", "x"},
      {head + "Transfer-Encoding: chunked\r\n\r\n4;name=", "x"},
      {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "a:b\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "x"}};
  for (const auto& response_parts : responses) {
    const std::string& start = response_parts.first;
    const std::string& pattern = response_parts.second;
    BOOST_TEST_CONTEXT(start << pattern) {
      RawServer raw(loop);
      std::string chunk;
      while (chunk.size() < kMaxFetchedBytes / 64) chunk += pattern;
      std::optional<Result<HttpResponse>> response;
      client.Fetch({.address = raw.address},
                   [&](Result<HttpResponse> result) { response = std::move(result); });
      std::size_t sent = 0;
      const bool has_ended = RunUntil([&] {
        if (response || sent >= kMaxSentBytes) return true;
        if (raw.streams.empty() || raw.received[0].empty() || raw.streams[0]->PendingBytes() > 0)
          return false;
        raw.streams[0]->Write(sent == 0 ? start + chunk : chunk);
        sent += chunk.size();
        return false;
      });
      BOOST_TEST(has_ended);
      BOOST_REQUIRE(response.has_value());
      BOOST_REQUIRE(!IsOk(*response));
      BOOST_TEST((ErrorOf(*response).kind == ErrorKind::kStoreUncertain));
    }
  }
}

// Guards against a response with a broken head that is taken for the answer of a store, an engine
// or a service.
BOOST_FIXTURE_TEST_CASE(BrokenHeadIsAnError, Fixture) {
  for (const std::string head :
       {"HTTP/1.1 000 Odd\r\n", "HTTP/1.1 099 Odd\r\n", "HTTP/1.1 600 Odd\r\n",
        "HTTP/1.1 200 OK\r\nX: v\r\n Y: w\r\n", "HTTP/1.1 200 OK\r\nX: v\r\n\tY: w\r\n",
        "HTTP/1.1 200 OK\r\nX Y: w\r\n", "HTTP/1.1 200 OK\r\nX\x01: w\r\n"}) {
    BOOST_TEST_CONTEXT(head) {
      RawServer raw(loop);
      std::optional<Result<HttpResponse>> response;
      client.Fetch({.address = raw.address},
                   [&](Result<HttpResponse> result) { response = std::move(result); });
      BOOST_REQUIRE(RunUntil([&] { return !raw.received.empty() && !raw.received[0].empty(); }));
      raw.streams[0]->Write(head + "Content-Length: 2\r\n\r\nok");
      BOOST_REQUIRE(RunUntil([&] { return response.has_value(); }));
      const Error* error = std::get_if<Error>(&*response);
      BOOST_TEST((error != nullptr && error->kind == ErrorKind::kStoreUncertain));
    }
  }
}

// Guards against a part of a response that is taken for all of it, because the connection was reset
// while the request was still being written.
BOOST_FIXTURE_TEST_CASE(ResetDuringRequestIsAnError, Fixture) {
  RawServer raw(loop);
  raw.max_received_bytes = 1;
  std::string data;
  std::optional<HttpCallResult> end;
  HttpCallHandlers handlers;
  handlers.on_data = [&](std::string_view bytes) { data.append(bytes); };
  handlers.on_end = [&](HttpCallResult result, const std::string&) { end = result; };
  const auto call = client.StartCall(
      {.address = raw.address, .method = "POST", .body = std::string(kUnreadBodyBytes, 'x')},
      std::move(handlers));
  BOOST_REQUIRE(RunUntil([&] { return !raw.received.empty() && !raw.received[0].empty(); }));
  raw.streams[0]->Write("HTTP/1.1 200 OK\r\n\r\nabc");
  BOOST_REQUIRE(RunUntil([&] { return data == "abc"; }));
  ResetConnection(*raw.streams[0]);
  BOOST_REQUIRE(RunUntil([&] { return end.has_value(); }));
  BOOST_TEST((*end == HttpCallResult::kConnectionBroken));
}

// Guards against interim responses that are taken for the answer.
BOOST_FIXTURE_TEST_CASE(InterimResponseIsSkipped, Fixture) {
  RawServer raw(loop);
  std::optional<Result<HttpResponse>> response;
  client.Fetch({.address = raw.address},
               [&](Result<HttpResponse> result) { response = std::move(result); });
  BOOST_REQUIRE(RunUntil([&] { return !raw.received.empty() && !raw.received[0].empty(); }));
  raw.streams[0]->Write(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nok");
  BOOST_REQUIRE(RunUntil([&] { return response.has_value(); }));
  BOOST_TEST(std::get<HttpResponse>(*response).status == 201);
  BOOST_TEST(std::get<HttpResponse>(*response).headers["x-a"] == "1");
  BOOST_TEST(std::get<HttpResponse>(*response).body == "ok");
}

namespace {

/// A server with limits of its own, and what it reports of clients that it turns away.
struct LimitedFixture {
  EventLoop loop;
  std::size_t handled = 0;
  std::vector<ClientRejection> rejections;
  HttpServer server;
  HttpClient client{loop};
  Address address;

  explicit LimitedFixture(std::size_t max_unfinished_bytes)
      : server(loop, {.max_unfinished_bytes = max_unfinished_bytes},
               [this](HttpRequest, std::shared_ptr<HttpResponder> responder) {
                 ++handled;
                 responder->Send(200, {}, "");
               }) {
    server.OnRejection([this](ClientRejection rejection) { rejections.push_back(rejection); });
    address = std::get<Address>(server.Listen({"127.0.0.1", 0}));
  }
  template <class Condition>
  bool RunUntil(Condition condition) {
    for (int iteration = 0; iteration < kMaxIterations && !condition(); ++iteration)
      loop.RunOnce(Millis{10});
    return condition();
  }
  /// @return status of an ordinary request, or 0
  int Ask() {
    std::optional<int> status;
    client.Fetch({.address = address}, [&](Result<HttpResponse> result) {
      status = IsOk(result) ? std::get<HttpResponse>(result).status : 0;
    });
    RunUntil([&] { return status.has_value(); });
    return status.value_or(0);
  }
};

std::string PostHead(std::size_t body_bytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

}  // namespace

// Guards against unbounded memory for unfinished bodies, against closing small ones instead of the
// largest one, and against handling a request of a connection that was closed.
BOOST_AUTO_TEST_CASE(LargestUnfinishedBodyIsClosed) {
  LimitedFixture fixture(1U << 20U);
  constexpr std::size_t large_bytes = 2U << 20U;
  constexpr std::size_t small_bytes = 64U << 10U;
  test::ClientCrowd small(fixture.loop, fixture.address, 1,
                          {PostHead(small_bytes) + std::string(small_bytes - 1, 'x'), "x", 1});
  BOOST_REQUIRE(fixture.RunUntil([&] { return fixture.server.UnfinishedRequestBytes() > 0; }));
  test::ClientCrowd large(fixture.loop, fixture.address, 1,
                          {PostHead(large_bytes), std::string(large_bytes, 'x'), 1});
  BOOST_TEST(fixture.RunUntil([&] {
    large.SendMore();
    return !fixture.rejections.empty();
  }));
  BOOST_TEST((fixture.rejections == std::vector{ClientRejection::kMemory}));
  BOOST_TEST(fixture.Ask() == 200);
  BOOST_TEST(fixture.handled == 1U);
  small.SendMore();
  BOOST_TEST(fixture.RunUntil([&] { return fixture.handled == 2; }));
  BOOST_TEST(fixture.rejections.size() == 1U);
}

// Guards against a limit that callers inside the limits meet, and against counting requests that
// are complete.
BOOST_AUTO_TEST_CASE(LargestBodiesAtOnceAreHandled) {
  LimitedFixture fixture(HttpServerLimits{}.max_unfinished_bytes);
  constexpr std::size_t callers = 15;
  constexpr std::size_t body_bytes = 1U << 20U;
  for (std::size_t round = 1; round <= 4; ++round) {
    test::ClientCrowd crowd(fixture.loop, fixture.address, callers,
                            {PostHead(body_bytes), std::string(body_bytes, 'x'), 1});
    BOOST_TEST(fixture.RunUntil([&] {
      crowd.SendMore();
      return fixture.handled == round * callers;
    }));
  }
  BOOST_TEST(fixture.rejections.empty());
}

// Guards against idle connections that keep all other clients out.
BOOST_AUTO_TEST_CASE(IdleConnectionsMakeWayForNewOnes) {
  rlimit limit{};
  BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
  rlimit low = limit;
  // A quarter is reserved, so clients may take what is left after about 40 connections. Each takes
  // two descriptors, since its client is in this process.
  constexpr std::size_t idle_clients = 50;
  constexpr std::size_t accepted = 40;
  low.rlim_cur = (test::OpenDescriptors(getpid()) + idle_clients + accepted) * 4 / 3;
  BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
  {
    LimitedFixture fixture(HttpServerLimits{}.max_unfinished_bytes);
    test::ClientCrowd idle(fixture.loop, fixture.address, idle_clients, {});
    BOOST_TEST(fixture.RunUntil([&] { return !fixture.rejections.empty(); }));
    BOOST_TEST(fixture.Ask() == 200);
    BOOST_TEST((fixture.rejections.back() == ClientRejection::kConnections));
  }
  BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
}

}  // namespace bluebellpass
