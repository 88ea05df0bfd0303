#include "cli/client.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

#include "kernel/http-server.h"
#include "kernel/loop.h"

namespace bluebellpass {
namespace {

/// A server that sends a fixed reply to each request, and a client on the same loop.
struct Fixture {
  EventLoop loop;
  std::vector<std::string> received_requests;
  std::string reply = R"({"rows":[{"id":"a"}],"missing":[]})";
  bool is_aborted = false;  ///< if true, the server closes the connection instead of replying
  HttpServer server{
      loop, HttpServerLimits{},
      [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
        received_requests.push_back(request.method + " " + request.path + " " + request.body);
        if (!is_aborted) return responder->Send(200, {}, reply);
        responder->Start(200, {});
        responder->Abort();
      }};
  std::string entry = std::get<Address>(server.Listen({"127.0.0.1", 0})).Text();
  std::ostringstream out;
  std::ostringstream err;

  ClientExit RunWithArguments(std::vector<std::string> args, const Environment& environment = {}) {
    out.str("");
    err.str("");
    received_requests.clear();
    return RunClient(loop, args, environment, out, err);
  }
};

/// @return an address on which no server listens
std::string MakeClosedEntry() {
  EventLoop loop;
  HttpServer server(loop, HttpServerLimits{}, [](auto, auto) {});
  std::string entry = std::get<Address>(server.Listen({"127.0.0.1", 0})).Text();
  server.StopAccepting();
  return entry;
}

}  // namespace

// Guards against exit codes that do not match the reply, so that scripts take a failure for a
// success.
BOOST_FIXTURE_TEST_CASE(RepliesDecideTheExitCode, Fixture) {
  BOOST_TEST((RunWithArguments({"--entry", entry, "show", "waiting", "where", "id=a b"}) ==
              ClientExit::kSuccess));
  BOOST_TEST(out.str() == "id\na\n");
  BOOST_TEST(received_requests.at(0) == "POST /v1/command show waiting where id=\"a b\"");
  reply = R"({"rows":[{"id":"a"}],"missing":["b","c"]})";
  BOOST_TEST((RunWithArguments({"show", "waiting"}, {{"BLUEBELLPASS_ENTRY", entry}}) ==
              ClientExit::kPartialReply));
  BOOST_TEST(err.str() == "no reply from: b c\n");
  reply = R"({"accepted":12})";
  BOOST_TEST(
      (RunWithArguments({"drain", "backend", "b", "--entry", entry}) == ClientExit::kSuccess));
  BOOST_TEST(out.str() == "accepted: version 12\n");
  reply = R"({"error":{"kind":"conflict","message":"m","field":"","outcome":"not_run"}})";
  BOOST_TEST(
      (RunWithArguments({"drain", "backend", "b", "--entry", entry}) == ClientExit::kFailed));
  BOOST_TEST(err.str() == "conflict: m (outcome: not_run)\n");
  BOOST_TEST((RunWithArguments({"drain", "backend", "b", "--entry", entry, "--json"}) ==
              ClientExit::kFailed));
  BOOST_TEST(out.str() == reply + "\n");
  for (const char* text : {"", "[]", "{}", "{\"rows\":1}", "{\"error\":1}", "not JSON"}) {
    reply = text;
    BOOST_TEST((RunWithArguments({"show", "config", "--entry", entry}) == ClientExit::kFailed),
               text);
  }
}

// Guards against invalid commands or options that are detected only after a request was sent.
BOOST_FIXTURE_TEST_CASE(UsageErrorsAreNotSent, Fixture) {
  BOOST_TEST((RunWithArguments({"--entry", entry, "show", "wating"}) == ClientExit::kUsageError));
  BOOST_TEST(err.str().starts_with("show wating\n     ^\ncolumn 6: expected "));
  BOOST_TEST((RunWithArguments({"--entry", entry}) == ClientExit::kUsageError));
  BOOST_TEST((RunWithArguments({"show", "waiting"}) == ClientExit::kUsageError));
  BOOST_TEST(
      (RunWithArguments({"show", "waiting", "--entry", "host:1"}) == ClientExit::kUsageError));
  BOOST_TEST((RunWithArguments({"--colour", "show", "waiting"}) == ClientExit::kUsageError));
  BOOST_TEST(received_requests.empty());
}

// Guards against sending a command twice, and against failing while another entry can be reached.
BOOST_FIXTURE_TEST_CASE(TheNextEntryIsTriedOnlyWhenNothingWasSent, Fixture) {
  const std::string closed_entry = MakeClosedEntry();
  BOOST_TEST((RunWithArguments({"--entry", closed_entry, "--entry", entry, "show", "config"}) ==
              ClientExit::kSuccess));
  BOOST_TEST(received_requests.size() == 1U);
  is_aborted = true;
  BOOST_TEST((RunWithArguments({"--entry", entry, "--entry", entry, "drain", "backend", "b",
                                "--json"}) == ClientExit::kFailed));
  BOOST_TEST(received_requests.size() == 1U);
  BOOST_TEST(out.str().find("\"outcome\":\"unknown\"") != std::string::npos);
  BOOST_TEST((RunWithArguments({"--entry", closed_entry, "show", "config", "--json"}) ==
              ClientExit::kFailed));
  BOOST_TEST(out.str().find("\"outcome\":\"not_run\"") != std::string::npos);
}

}  // namespace bluebellpass
