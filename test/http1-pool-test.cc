#include "kernel/http1-pool.h"

#include <boost/test/unit_test.hpp>

#include "kernel/http1-server.h"
#include "kernel/loop.h"
#include "raw-server.h"

namespace bluebellpass {
namespace {

constexpr int kMaxIterations = 2'000;
// More than the buffers of a connection hold whose server does not read.
constexpr std::size_t kUnreadBodyBytes = 16U << 20U;

struct CallRecord {
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

  /// Starts a call that accepts only responses with the given id.
  void Start(CallRecord& result, const std::string& id, std::size_t body_bytes = 0) {
    PooledCallHandlers handlers;
    handlers.on_sent = [&result] { result.was_sent = true; };
    handlers.on_head = [&result, id](const HttpHead& head) {
      if (head.Value("id") != id) return false;
      result.status = head.status;
      result.id = head.Value("id");
      return true;
    };
    handlers.on_body = [&result](std::string_view bytes) { result.body.append(bytes); };
    handlers.on_end = [&result](PooledCallResult end) { result.end = end; };
    const std::string head =
        "POST /" + id + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) +
        "\r\n\r\n";
    calls.push_back(
        pool.StartCall(server.address, head + std::string(body_bytes, 'x'), std::move(handlers)));
  }

  template <class Condition>
  bool RunUntil(Condition condition) {
    for (int iteration = 0; iteration < kMaxIterations && !condition(); ++iteration)
      loop.RunOnce(Millis{5});
    return condition();
  }

  /// Completes a first call, which leaves an idle connection in the pool.
  void AddIdleConnection() {
    CallRecord first;
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

// Guards against a new connection for each call: backend servers limit connections, and connecting
// adds latency.
BOOST_FIXTURE_TEST_CASE(IdleConnectionIsReused, Fixture) {
  AddIdleConnection();
  BOOST_TEST(pool.HasIdleConnection(server.address));
  CallRecord second;
  Start(second, "second");
  BOOST_REQUIRE(RunUntil([&] { return server.received[0].find("/second") != std::string::npos; }));
  server.streams[0]->Write("HTTP/1.1 200 OK\r\nid: second\r\nContent-Length: 0\r\n\r\n");
  BOOST_REQUIRE(RunUntil([&] { return second.end.has_value(); }));
  BOOST_TEST((*second.end == PooledCallResult::kComplete));
  BOOST_TEST(server.streams.size() == 1U);
  BOOST_TEST(pool.Stats().reused_connections == 1U);
}

// Guards against delivering a second response to an earlier request as the response to the next.
BOOST_FIXTURE_TEST_CASE(ResponseToAnotherRequestIsSkipped, Fixture) {
  AddIdleConnection();
  CallRecord second;
  Start(second, "second");
  BOOST_REQUIRE(RunUntil([&] { return server.received[0].find("/second") != std::string::npos; }));
  server.streams[0]->Write(
      "HTTP/1.1 200 OK\r\nid: first\r\nContent-Length: 4\r\n\r\nlate"
      "HTTP/1.1 200 OK\r\nid: second\r\nContent-Length: 3\r\n\r\nown");
  BOOST_REQUIRE(RunUntil([&] { return second.end.has_value(); }));
  BOOST_TEST((*second.end == PooledCallResult::kComplete));
  BOOST_TEST(second.body == "own");
}

// Guards against reading unexpected bytes on an idle connection as the response to the next
// request.
BOOST_FIXTURE_TEST_CASE(IdleConnectionWithUnexpectedBytesIsClosed, Fixture) {
  AddIdleConnection();
  server.streams[0]->Write("HTTP/1.1 200 OK\r\nid: first\r\nContent-Length: 0\r\n\r\n");
  BOOST_REQUIRE(RunUntil([&] { return !pool.HasIdleConnection(server.address); }));
  BOOST_TEST(pool.Stats().unexpected_bytes == 1U);
}

// Guards against reusing a connection that the server has closed while it was idle.
BOOST_FIXTURE_TEST_CASE(ClosedIdleConnectionIsRemoved, Fixture) {
  AddIdleConnection();
  server.streams[0]->Close();
  BOOST_REQUIRE(RunUntil([&] { return !pool.HasIdleConnection(server.address); }));
}

// Guards against losing a request on a connection that was closed just before, which the event loop
// has not detected yet.
BOOST_FIXTURE_TEST_CASE(UndetectedClosedConnectionIsNotUsed, Fixture) {
  AddIdleConnection();
  // The shutdown takes effect before the loop runs again.
  shutdown(server.streams[0]->Descriptor(), SHUT_RDWR);
  BOOST_TEST(pool.HasIdleConnection(server.address));
  CallRecord second;
  Start(second, "second");
  BOOST_REQUIRE(
      RunUntil([&] { return server.received.size() == 2 && !server.received[1].empty(); }));
  server.streams[1]->Write("HTTP/1.1 200 OK\r\nid: second\r\nContent-Length: 0\r\n\r\n");
  BOOST_REQUIRE(RunUntil([&] { return second.end.has_value(); }));
  BOOST_TEST((*second.end == PooledCallResult::kComplete));
}

// Guards against reporting a response without a length as complete after a reset, and as broken
// after an orderly close.
BOOST_FIXTURE_TEST_CASE(OnlyOrderlyCloseEndsResponsesWithoutLength, Fixture) {
  CallRecord complete;
  Start(complete, "a");
  // Closing with unread bytes would reset the connection.
  BOOST_REQUIRE(
      RunUntil([&] { return server.received.size() == 1 && !server.received[0].empty(); }));
  server.streams[0]->Write("HTTP/1.1 200 OK\r\nid: a\r\n\r\nabc");
  server.streams[0]->CloseAfterWrites();
  BOOST_REQUIRE(RunUntil([&] { return complete.end.has_value(); }));
  BOOST_TEST((*complete.end == PooledCallResult::kComplete));

  CallRecord reset;
  Start(reset, "b");
  BOOST_REQUIRE(
      RunUntil([&] { return server.received.size() == 2 && !server.received[1].empty(); }));
  server.streams[1]->Write("HTTP/1.1 200 OK\r\nid: b\r\n\r\nabc");
  BOOST_REQUIRE(RunUntil([&] { return reset.body == "abc"; }));
  ResetConnection(*server.streams[1]);
  BOOST_REQUIRE(RunUntil([&] { return reset.end.has_value(); }));
  BOOST_TEST((*reset.end == PooledCallResult::kConnectionBroken));
}

// Guards against taking a part of a response for all of it when the server resets the connection
// while the request is still being written: the write takes the error of the connection, after
// which the system reports an orderly end.
BOOST_FIXTURE_TEST_CASE(ResetDuringRequestDoesNotEndAResponse, Fixture) {
  server.max_received_bytes = 1;
  for (const bool is_part_read : {false, true}) {
    for (const std::size_t part_bytes : {3U, 200U << 10U}) {
      BOOST_TEST_CONTEXT(is_part_read << " " << part_bytes) {
        CallRecord record;
        Start(record, "a", kUnreadBodyBytes);
        const std::size_t index = server.streams.size();
        BOOST_REQUIRE(RunUntil(
            [&] { return server.received.size() > index && !server.received[index].empty(); }));
        server.streams[index]->Write("HTTP/1.1 200 OK\r\nid: a\r\n\r\n" +
                                     std::string(part_bytes, 'y'));
        if (is_part_read) BOOST_REQUIRE(RunUntil([&] { return record.body.size() == part_bytes; }));
        ResetConnection(*server.streams[index]);
        BOOST_REQUIRE(RunUntil([&] { return record.end.has_value(); }));
        BOOST_TEST((*record.end == PooledCallResult::kConnectionBroken));
      }
    }
  }
}

// Guards against losing a response that has ended in an orderly way before the request was written,
// also if the server then resets the connection.
BOOST_FIXTURE_TEST_CASE(ResponseMayEndBeforeItsRequest, Fixture) {
  server.max_received_bytes = 1;
  for (const bool is_reset : {false, true}) {
    BOOST_TEST_CONTEXT(is_reset) {
      CallRecord record;
      Start(record, "a", kUnreadBodyBytes);
      const std::size_t index = server.streams.size();
      BOOST_REQUIRE(RunUntil(
          [&] { return server.received.size() > index && !server.received[index].empty(); }));
      server.streams[index]->Write("HTTP/1.1 200 OK\r\nid: a\r\n\r\nabc");
      BOOST_REQUIRE(RunUntil([&] { return record.body == "abc"; }));
      shutdown(server.streams[index]->Descriptor(), SHUT_WR);
      if (is_reset) ResetConnection(*server.streams[index]);
      BOOST_REQUIRE(RunUntil([&] { return record.end.has_value(); }));
      BOOST_TEST((*record.end == PooledCallResult::kComplete));
    }
  }
}

// Guards against treating a refused connection as a request that may have run.
BOOST_FIXTURE_TEST_CASE(NothingIsSentOnRefusedConnection, Fixture) {
  CallRecord result;
  PooledCallHandlers handlers;
  handlers.on_sent = [&] { result.was_sent = true; };
  handlers.on_end = [&](PooledCallResult end) { result.end = end; };
  const ListeningSocket closed = OpenListeningSocket(loop, {"127.0.0.1", 0}, 1);
  h2o_socket_close(closed.socket);
  calls.push_back(pool.StartCall(closed.address, "GET / HTTP/1.1\r\n\r\n", std::move(handlers)));
  BOOST_REQUIRE(RunUntil([&] { return result.end.has_value(); }));
  BOOST_TEST((*result.end == PooledCallResult::kConnectFailed));
  BOOST_TEST(!result.was_sent);
}

// Guards against running a request for a client that has disconnected: the server must detect it
// while the response is pending.
BOOST_AUTO_TEST_CASE(ServerDetectsClientDisconnect) {
  EventLoop loop;
  std::shared_ptr<HttpExchange> open;
  bool is_closed = false;
  Http1Server server(loop, {}, [&](std::shared_ptr<HttpExchange> exchange) {
    open = std::move(exchange);
    open->OnClosed([&] { is_closed = true; });
  });
  const auto address = std::get<Address>(server.Listen({"127.0.0.1", 0}));
  HttpConnectionPool pool(loop, ConnectionPoolOptions{});
  PooledCallHandlers handlers;
  handlers.on_end = [](PooledCallResult) {};
  auto call = pool.StartCall(address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", std::move(handlers));
  for (int i = 0; i < kMaxIterations && !open; ++i) loop.RunOnce(Millis{5});
  BOOST_REQUIRE(open);
  call.reset();
  for (int i = 0; i < kMaxIterations && !is_closed; ++i) loop.RunOnce(Millis{5});
  BOOST_TEST(is_closed);
  BOOST_TEST(!open->IsOpen());
}

// Guards against an aborted response that looks complete to the client.
BOOST_AUTO_TEST_CASE(AbortedResponseIsNotComplete) {
  EventLoop loop;
  std::shared_ptr<HttpExchange> open;
  Http1Server server(loop, {},
                     [&](std::shared_ptr<HttpExchange> exchange) { open = std::move(exchange); });
  const auto address = std::get<Address>(server.Listen({"127.0.0.1", 0}));
  HttpConnectionPool pool(loop, ConnectionPoolOptions{});
  std::optional<PooledCallResult> end;
  std::string body;
  PooledCallHandlers handlers;
  handlers.on_head = [](const HttpHead&) { return true; };
  handlers.on_body = [&](std::string_view bytes) { body.append(bytes); };
  handlers.on_end = [&](PooledCallResult result) { end = result; };
  const auto call =
      pool.StartCall(address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", std::move(handlers));
  for (int i = 0; i < kMaxIterations && !open; ++i) loop.RunOnce(Millis{5});
  BOOST_REQUIRE(open);
  open->Start(200, {});
  open->Write("part");
  for (int i = 0; i < kMaxIterations && body.empty(); ++i) loop.RunOnce(Millis{5});
  open->Abort();
  for (int i = 0; i < kMaxIterations && !end; ++i) loop.RunOnce(Millis{5});
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST((*end == PooledCallResult::kConnectionBroken));
}

// Guards against a probe that misses a server that is gone, or wastes the connection it has opened.
BOOST_FIXTURE_TEST_CASE(ProbeReportsFailureAndKeepsConnection, Fixture) {
  bool has_failed = false;
  pool.Probe(server.address, [&](bool is_connected) { has_failed = !is_connected; });
  BOOST_TEST(RunUntil([&] { return pool.HasIdleConnection(server.address); }));
  BOOST_TEST(!has_failed);
  const Address closed{"127.0.0.1", 1};
  pool.Probe(closed, [&](bool is_connected) { has_failed = !is_connected; });
  BOOST_TEST(RunUntil([&] { return has_failed; }));
  BOOST_TEST(!pool.HasIdleConnection(closed));
  BOOST_TEST(pool.Stats().connect_failures == 1U);
}

}  // namespace bluebellpass
