#include "cli/client.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

#include "kernel/http-server.h"
#include "kernel/loop.h"

namespace bluebellpass {
namespace {

/// An instance that gives one reply, and a client on the same loop.
struct Fixture {
  EventLoop loop;
  std::vector<std::string> received;
  std::string reply = R"({"rows":[{"id":"a"}],"missing":[]})";
  bool is_cut = false;  ///< the connection is closed instead of a reply
  HttpServer server{loop, HttpServerLimits{},
                    [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                      received.push_back(request.method + " " + request.path + " " + request.body);
                      if (!is_cut) return responder->Send(200, {}, reply);
                      responder->Start(200, {});
                      responder->Abort();
                    }};
  std::string entry = std::get<Address>(server.Listen({"127.0.0.1", 0})).Text();
  std::ostringstream out;
  std::ostringstream err;

  ClientExit Run(std::vector<std::string> args, const Environment& environment = {}) {
    out.str("");
    err.str("");
    received.clear();
    return RunClient(loop, args, environment, out, err);
  }
};

/// @return an address on which nothing listens
std::string ClosedEntry() {
  EventLoop loop;
  HttpServer server(loop, HttpServerLimits{}, [](auto, auto) {});
  std::string entry = std::get<Address>(server.Listen({"127.0.0.1", 0})).Text();
  server.StopAccepting();
  return entry;
}

}  // namespace

// Guards against exit codes that scripts would misread.
BOOST_FIXTURE_TEST_CASE(RepliesDecideTheExitCode, Fixture) {
  BOOST_TEST((Run({"--entry", entry, "show", "waiting", "where", "id=a b"}) == ClientExit::kDone));
  BOOST_TEST(out.str() == "id\na\n");
  BOOST_TEST(received.at(0) == "POST /v1/command show waiting where id=\"a b\"");
  reply = R"({"rows":[{"id":"a"}],"missing":["b","c"]})";
  BOOST_TEST((Run({"show", "waiting"}, {{"BLUEBELLPASS_ENTRY", entry}}) == ClientExit::kPartial));
  BOOST_TEST(err.str() == "no reply from: b c\n");
  reply = R"({"accepted":12})";
  BOOST_TEST((Run({"drain", "backend", "b", "--entry", entry}) == ClientExit::kDone));
  BOOST_TEST(out.str() == "accepted: version 12\n");
  reply = R"({"error":{"kind":"conflict","message":"m","field":"","outcome":"not_run"}})";
  BOOST_TEST((Run({"drain", "backend", "b", "--entry", entry}) == ClientExit::kFailed));
  BOOST_TEST(err.str() == "conflict: m (outcome: not_run)\n");
  BOOST_TEST((Run({"drain", "backend", "b", "--entry", entry, "--json"}) == ClientExit::kFailed));
  BOOST_TEST(out.str() == reply + "\n");
  for (const char* text : {"", "[]", "{}", "{\"rows\":1}", "{\"error\":1}", "not JSON"}) {
    reply = text;
    BOOST_TEST((Run({"show", "config", "--entry", entry}) == ClientExit::kFailed), text);
  }
}

// Guards against usage errors that reach an instance.
BOOST_FIXTURE_TEST_CASE(UsageErrorsAreNotSent, Fixture) {
  BOOST_TEST((Run({"--entry", entry, "show", "wating"}) == ClientExit::kUsage));
  BOOST_TEST(err.str().starts_with("show wating\n     ^\ncolumn 6: expected "));
  BOOST_TEST((Run({"--entry", entry}) == ClientExit::kUsage));
  BOOST_TEST((Run({"show", "waiting"}) == ClientExit::kUsage));
  BOOST_TEST((Run({"show", "waiting", "--entry", "host:1"}) == ClientExit::kUsage));
  BOOST_TEST((Run({"--colour", "show", "waiting"}) == ClientExit::kUsage));
  BOOST_TEST(received.empty());
}

// Guards against a command sent twice, and against giving up while another entry can be reached.
BOOST_FIXTURE_TEST_CASE(TheNextEntryIsTriedOnlyWhenNothingWasSent, Fixture) {
  const std::string closed = ClosedEntry();
  BOOST_TEST((Run({"--entry", closed, "--entry", entry, "show", "config"}) == ClientExit::kDone));
  BOOST_TEST(received.size() == 1U);
  is_cut = true;
  BOOST_TEST((Run({"--entry", entry, "--entry", entry, "drain", "backend", "b", "--json"}) ==
              ClientExit::kFailed));
  BOOST_TEST(received.size() == 1U);
  BOOST_TEST(out.str().find("\"outcome\":\"unknown\"") != std::string::npos);
  BOOST_TEST((Run({"--entry", closed, "show", "config", "--json"}) == ClientExit::kFailed));
  BOOST_TEST(out.str().find("\"outcome\":\"not_run\"") != std::string::npos);
}

}  // namespace bluebellpass
