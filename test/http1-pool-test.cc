#include "kernel/http1-pool.h"

#include <boost/test/unit_test.hpp>

#include "kernel/http1-server.h"
#include "kernel/loop.h"
#include "raw-server.h"

namespace bluebellpass {
namespace {

constexpr int kMaxTurns = 2'000;

struct CallResult {
  int status = 0;
  std::string id;
  std::string body;
  std::optional<PooledCallResult> end;
  bool was_sent = false;
};

struct Fixture {
  EventLoop loop;
  RawServer server{loop};
  HttpConnectionPool pool{loop, ConnectionPoolOptions{}};
  std::vector<std::unique_ptr<PooledCall>> calls;

  /// Starts a call that accepts only responses with its id.
  void Start(CallResult& result, const std::string& id) {
    PooledCallHandlers events;
    events.on_sent = [&result] { result.was_sent = true; };
    events.on_head = [&result, id](const HttpHead& head) {
      if (head.Value("id") != id) return false;
      result.status = head.status;
      result.id = head.Value("id");
      return true;
    };
    events.on_body = [&result](std::string_view bytes) { result.body.append(bytes); };
    events.on_end = [&result](PooledCallResult end) { result.end = end; };
    calls.push_back(pool.Start(server.address, "GET /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n",
                               std::move(events)));
  }

  template <class Condition>
  bool RunUntil(Condition condition) {
    for (int turn = 0; turn < kMaxTurns && !condition(); ++turn) loop.RunOnce(Millis{5});
    return condition();
  }

  /// Runs a first call to its end, so that the pool keeps its connection.
  void Warm() {
    CallResult first;
    Start(first, "first");
    BOOST_REQUIRE(
        RunUntil([&] { return !server.received.empty() && !server.received[0].empty(); }));
    server.streams[0]->Write("HTTP/1.1 200 OK\r\nid: first\r\nContent-Length: 2\r\n\r\nok");
    BOOST_REQUIRE(RunUntil([&] { return first.end.has_value(); }));
    BOOST_TEST((*first.end == PooledCallResult::kComplete));
    BOOST_TEST(first.body == "ok");
    calls.clear();
  }
};

}  // namespace

// Guards against a connection for each call, which backend servers bound and delay.
BOOST_FIXTURE_TEST_CASE(ConnectionIsUsedAgain, Fixture) {
  Warm();
  BOOST_TEST(pool.HasIdleConnection(server.address));
  CallResult second;
  Start(second, "second");
  BOOST_REQUIRE(RunUntil([&] { return server.received[0].find("/second") != std::string::npos; }));
  server.streams[0]->Write("HTTP/1.1 200 OK\r\nid: second\r\nContent-Length: 0\r\n\r\n");
  BOOST_REQUIRE(RunUntil([&] { return second.end.has_value(); }));
  BOOST_TEST((*second.end == PooledCallResult::kComplete));
  BOOST_TEST(server.streams.size() == 1U);
  BOOST_TEST(pool.Stats().reused_connections == 1U);
}

// Guards against a second answer to an earlier request being given to the next one.
BOOST_FIXTURE_TEST_CASE(LateResponseOfAnotherRequestIsSkipped, Fixture) {
  Warm();
  CallResult second;
  Start(second, "second");
  BOOST_REQUIRE(RunUntil([&] { return server.received[0].find("/second") != std::string::npos; }));
  server.streams[0]->Write(
      "HTTP/1.1 200 OK\r\nid: first\r\nContent-Length: 4\r\n\r\nlate"
      "HTTP/1.1 200 OK\r\nid: second\r\nContent-Length: 3\r\n\r\nown");
  BOOST_REQUIRE(RunUntil([&] { return second.end.has_value(); }));
  BOOST_TEST((*second.end == PooledCallResult::kComplete));
  BOOST_TEST(second.body == "own");
}

// Guards against bytes on an idle connection being taken for the answer to the next request.
BOOST_FIXTURE_TEST_CASE(IdleConnectionWithBytesIsDropped, Fixture) {
  Warm();
  server.streams[0]->Write("HTTP/1.1 200 OK\r\nid: first\r\nContent-Length: 0\r\n\r\n");
  BOOST_REQUIRE(RunUntil([&] { return !pool.HasIdleConnection(server.address); }));
  BOOST_TEST(pool.Stats().unexpected_bytes == 1U);
}

// Guards against use of a connection that the server has closed while it was idle.
BOOST_FIXTURE_TEST_CASE(ClosedIdleConnectionIsNotUsed, Fixture) {
  Warm();
  server.streams[0]->Close();
  BOOST_REQUIRE(RunUntil([&] { return !pool.HasIdleConnection(server.address); }));
}

// Guards against a request that is lost because its connection was closed just before, when the
// loop has not yet noticed it.
BOOST_FIXTURE_TEST_CASE(JustClosedConnectionIsNotUsed, Fixture) {
  Warm();
  // Closed by the system at once, while the loop does not run.
  shutdown(server.streams[0]->Descriptor(), SHUT_RDWR);
  BOOST_TEST(pool.HasIdleConnection(server.address));
  CallResult second;
  Start(second, "second");
  BOOST_REQUIRE(
      RunUntil([&] { return server.received.size() == 2 && !server.received[1].empty(); }));
  server.streams[1]->Write("HTTP/1.1 200 OK\r\nid: second\r\nContent-Length: 0\r\n\r\n");
  BOOST_REQUIRE(RunUntil([&] { return second.end.has_value(); }));
  BOOST_TEST((*second.end == PooledCallResult::kComplete));
}

// Guards against a broken answer that counts as whole, and against one without a length that ends
// in order and does not.
BOOST_FIXTURE_TEST_CASE(EndOfAnswersWithoutLength, Fixture) {
  CallResult whole;
  Start(whole, "a");
  // A server that closes with unread bytes resets the connection.
  BOOST_REQUIRE(
      RunUntil([&] { return server.received.size() == 1 && !server.received[0].empty(); }));
  server.streams[0]->Write("HTTP/1.1 200 OK\r\nid: a\r\n\r\nabc");
  server.streams[0]->CloseAfterWrites();
  BOOST_REQUIRE(RunUntil([&] { return whole.end.has_value(); }));
  BOOST_TEST((*whole.end == PooledCallResult::kComplete));

  CallResult reset;
  Start(reset, "b");
  BOOST_REQUIRE(
      RunUntil([&] { return server.received.size() == 2 && !server.received[1].empty(); }));
  server.streams[1]->Write("HTTP/1.1 200 OK\r\nid: b\r\n\r\nabc");
  BOOST_REQUIRE(RunUntil([&] { return reset.body == "abc"; }));
  const linger abort{1, 0};
  setsockopt(server.streams[1]->Descriptor(), SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  server.streams[1]->Close();
  BOOST_REQUIRE(RunUntil([&] { return reset.end.has_value(); }));
  BOOST_TEST((*reset.end == PooledCallResult::kConnectionBroken));
}

// Guards against a refused connection that is taken for a request that may have run.
BOOST_FIXTURE_TEST_CASE(RefusedConnectionHasSentNothing, Fixture) {
  CallResult result;
  PooledCallHandlers events;
  events.on_sent = [&] { result.was_sent = true; };
  events.on_end = [&](PooledCallResult end) { result.end = end; };
  const Listener closed = OpenListener(loop, {"127.0.0.1", 0}, 1);
  h2o_socket_close(closed.socket);
  calls.push_back(pool.Start(closed.address, "GET / HTTP/1.1\r\n\r\n", std::move(events)));
  BOOST_REQUIRE(RunUntil([&] { return result.end.has_value(); }));
  BOOST_TEST((*result.end == PooledCallResult::kConnectFailed));
  BOOST_TEST(!result.was_sent);
}

// Guards against work that goes on for a client that has left: the server must notice it while the
// response is still being made.
BOOST_AUTO_TEST_CASE(ServerNoticesThatAClientLeaves) {
  EventLoop loop;
  std::shared_ptr<HttpExchange> open;
  bool is_closed = false;
  Http1Server server(loop, {}, [&](std::shared_ptr<HttpExchange> exchange) {
    open = std::move(exchange);
    open->OnClosed([&] { is_closed = true; });
  });
  const auto address = std::get<Address>(server.Listen({"127.0.0.1", 0}));
  HttpConnectionPool pool(loop, ConnectionPoolOptions{});
  PooledCallHandlers events;
  events.on_end = [](PooledCallResult) {};
  auto call = pool.Start(address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", std::move(events));
  for (int i = 0; i < kMaxTurns && !open; ++i) loop.RunOnce(Millis{5});
  BOOST_REQUIRE(open);
  call.reset();
  for (int i = 0; i < kMaxTurns && !is_closed; ++i) loop.RunOnce(Millis{5});
  BOOST_TEST(is_closed);
  BOOST_TEST(!open->IsOpen());
}

// Guards against a cut answer that looks complete to its client.
BOOST_AUTO_TEST_CASE(CutAnswerIsNotWhole) {
  EventLoop loop;
  std::shared_ptr<HttpExchange> open;
  Http1Server server(loop, {},
                     [&](std::shared_ptr<HttpExchange> exchange) { open = std::move(exchange); });
  const auto address = std::get<Address>(server.Listen({"127.0.0.1", 0}));
  HttpConnectionPool pool(loop, ConnectionPoolOptions{});
  std::optional<PooledCallResult> end;
  std::string body;
  PooledCallHandlers events;
  events.on_head = [](const HttpHead&) { return true; };
  events.on_body = [&](std::string_view bytes) { body.append(bytes); };
  events.on_end = [&](PooledCallResult how) { end = how; };
  const auto call = pool.Start(address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", std::move(events));
  for (int i = 0; i < kMaxTurns && !open; ++i) loop.RunOnce(Millis{5});
  BOOST_REQUIRE(open);
  open->Start(200, {});
  open->Write("part");
  for (int i = 0; i < kMaxTurns && body.empty(); ++i) loop.RunOnce(Millis{5});
  open->Abort();
  for (int i = 0; i < kMaxTurns && !end; ++i) loop.RunOnce(Millis{5});
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST((*end == PooledCallResult::kConnectionBroken));
}

}  // namespace bluebellpass
