#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

#include "cluster/cluster.h"

/// The command line as scripts and people see it: processes, their output and exit codes.

namespace bluebellpass {
namespace {

using nlohmann::json;
using Words = std::vector<std::string>;

constexpr int kMaxTurns = 3000;

/// Sets an environment variable for the processes started in its lifetime.
class Variable {
 public:
  Variable(std::string name, const std::string& value) : m_name(std::move(name)) {
    setenv(m_name.c_str(), value.c_str(), 1);
  }
  ~Variable() { unsetenv(m_name.c_str()); }
  Variable(const Variable&) = delete;
  Variable& operator=(const Variable&) = delete;

 private:
  std::string m_name;
};

struct Output {
  int code = -1;
  std::string text;  ///< standard output and standard error, as they came
};

/// Runs the program to its end.
Output Run(Words words) {
  static const std::string folder = test::MakeLogFolder("bluebellpass-cli");
  static int number = 0;
  const std::string log = folder + "/" + std::to_string(number++) + ".log";
  words.insert(words.begin(), std::string(BLUEBELLPASS_BINARY_DIR) + "/bluebellpass");
  test::Process process(std::move(words), log);
  Output output;
  EventLoop loop;
  for (int turn = 0; turn < kMaxTurns && !process.HasExited(&output.code); ++turn) {
    loop.RunOnce(Millis{10});
  }
  std::ostringstream text;
  text << std::ifstream(log).rdbuf();
  output.text = text.str();
  return output;
}

Words Serve(const Words& more) {
  Words words = {
      "serve",       "--instance",   "a",           "--data-centre", "dc1",
      "--region",    "r1",           "--listen",    "127.0.0.1:1",   "--peer-listen",
      "127.0.0.1:2", "--object-api", "127.0.0.1:3", "--peer-key",    "a-secret-of-the-tests"};
  words.insert(words.end(), more.begin(), more.end());
  return words;
}

void CheckUsage(const Output& output, const Words& parts) {
  BOOST_TEST(output.code == 2);
  for (const std::string& part : parts) {
    BOOST_TEST((output.text.find(part) != std::string::npos), part << " is not in " << output.text);
  }
}

struct Fixture {
  test::Cluster cluster{
      {.instances = 2,
       .backends = {{.prefix = "engine", .kind = "engine", .pool = "assistant", .flags = {}}}}};
  std::string first = cluster.CallerAddress(0).Text();
  std::string second = cluster.CallerAddress(1).Text();
  std::string nobody = "127.0.0.1:" + std::to_string(test::FreePort());

  void WaitForMembers() {
    const bool is_complete = cluster.RunUntil([&] {
      return cluster.Command(0, "show waiting").value("missing", json{1}).empty() &&
             cluster.Command(0, "show instances").value("rows", json()).size() == 2;
    });
    BOOST_REQUIRE(is_complete);
  }
};

}  // namespace

// Guards against a daemon that starts with a setting it does not understand, and against messages
// that leave an operator guessing.
BOOST_AUTO_TEST_CASE(InvalidSettingsEndWithCodeTwo) {
  CheckUsage(Run(Serve({"--max-body-bytes", "1023"})),
             {"--max-body-bytes", "1023", "1024 to 2000000"});
  CheckUsage(Run(Serve({"--colour", "blue"})), {"--colour"});
  {
    const Variable policy("BLUEBELLPASS_POLICY", "best");
    CheckUsage(Run(Serve({})), {"BLUEBELLPASS_POLICY", "best", "fair, round-robin or static"});
  }
  {
    const Variable colour("BLUEBELLPASS_COLOUR", "blue");
    CheckUsage(Run(Serve({})),
               {"BLUEBELLPASS_COLOUR is not a known setting", "BLUEBELLPASS_POLICY"});
  }
  CheckUsage(Run({"serve"}), {"--instance", "BLUEBELLPASS_INSTANCE"});
}

// Guards against a check that starts the daemon or shows a secret.
BOOST_AUTO_TEST_CASE(CheckPrintsSettingsAndEnds) {
  const Variable level("BLUEBELLPASS_LOG_LEVEL", "warning");
  const Output output = Run(Serve({"--check"}));
  BOOST_TEST(output.code == 0);
  BOOST_TEST(output.text.find("--log-level warning\n") != std::string::npos);
  BOOST_TEST(output.text.find("a-secret-of-the-tests") == std::string::npos);
  BOOST_TEST(Run(Serve({"--check", "--policy", "best"})).code == 2);
}

// Guards against usage errors that look like failures of the fleet, and carets at other words.
BOOST_AUTO_TEST_CASE(UsageErrorsEndWithCodeTwo) {
  BOOST_TEST(Run({}).code == 2);
  BOOST_TEST(Run({"--help"}).code == 0);
  BOOST_TEST(Run({"--version"}).text == "bluebellpass 0.1.0\n");
  CheckUsage(Run({"show", "waitng"}), {"show waitng\n     ^\n"});
  CheckUsage(Run({"set", "tier", "urgent", "rank", "high"}),
             {"set tier urgent rank high\n                     ^\n"});
  CheckUsage(Run({"show", "waiting"}), {"--entry", "BLUEBELLPASS_ENTRY"});
  CheckUsage(Run({"show", "waiting", "--entry", "localhost"}), {"localhost"});
  CheckUsage(Run({"timeline", "--entry", "localhost"}), {"--entry", "localhost"});
  CheckUsage(Run({"timeline"}), {"--entry"});
  const json refusal = json::parse(Run({"show", "waitng", "--json"}).text, nullptr, false);
  BOOST_REQUIRE(refusal.is_object());
  BOOST_TEST(refusal["error"]["kind"] == "bad_command");
}

// Guards against scripts that take a refusal for a success, or a partial answer for a whole one.
BOOST_FIXTURE_TEST_CASE(ExitCodesTellTheOutcome, Fixture) {
  WaitForMembers();
  BOOST_TEST(Run({"show", "backends", "--entry", first}).code == 0);
  BOOST_TEST(Run({"drain", "backend", "engine1", "--entry", first}).code == 0);
  const Output refused = Run({"drain", "backend", "engine9", "--entry", first});
  BOOST_TEST(refused.code == 1);
  BOOST_TEST(refused.text.find("engine9") != std::string::npos);
  const Output unreachable = Run({"show", "waiting", "--entry", nobody});
  BOOST_TEST(unreachable.code == 1);
  BOOST_TEST(unreachable.text.find("was not sent") != std::string::npos);
  const Output rows = Run({"show", "backends", "--json", "--entry", first});
  BOOST_TEST(rows.code == 0);
  const json reply = json::parse(rows.text, nullptr, false);
  BOOST_REQUIRE(reply.is_object());
  BOOST_TEST(reply["rows"].at(0)["backend"] == "engine1");
  BOOST_TEST(reply["missing"].empty());

  cluster.Daemon(1).Signal(SIGSTOP);
  const Output partial = Run({"show", "waiting", "--entry", first});
  cluster.Daemon(1).Signal(SIGCONT);
  BOOST_TEST(partial.code == 3);
  BOOST_TEST(partial.text.find("no reply from: i2") != std::string::npos);
}

// Guards against a client that gives up at the first instance that is gone.
BOOST_FIXTURE_TEST_CASE(EntriesAreTriedInTurn, Fixture) {
  BOOST_TEST(Run({"show", "config", "--entry", nobody, "--entry", first}).code == 0);
  const Variable entries("BLUEBELLPASS_ENTRY", nobody + "," + second);
  BOOST_TEST(Run({"show", "config"}).code == 0);
  BOOST_TEST(Run({"show", "config", "--entry", nobody}).code == 1);
  BOOST_TEST(Run({"timeline"}).code == 3);
}

// Guards against traces that Chrome's viewer cannot read or that lack requests.
BOOST_FIXTURE_TEST_CASE(ChromeTraceHasASpanForEachRequest, Fixture) {
  std::set<std::string> expected;
  for (int i = 0; i < 4; ++i) {
    const auto view = cluster.Submit(i % 2, test::EngineBody("prompt " + std::to_string(i)));
    BOOST_REQUIRE(cluster.RunUntil([&] { return view->is_done; }));
    expected.insert(view->id);
  }
  const Output output = Run({"timeline", "--chrome", "--entry", first, "--entry", second});
  BOOST_TEST(output.code == 0);
  const json trace = json::parse(output.text, nullptr, false);
  BOOST_REQUIRE(trace.is_object());
  std::multiset<std::string> begun;
  std::multiset<std::string> ended;
  for (const json& event : trace["traceEvents"]) {
    if (event["ph"] == "b") begun.insert(event["id"].get<std::string>());
    if (event["ph"] == "e") ended.insert(event["id"].get<std::string>());
  }
  const std::multiset<std::string> all(expected.begin(), expected.end());
  BOOST_TEST((begun == all));
  BOOST_TEST((ended == all));
  const Output one =
      Run({"timeline", "--request", *expected.begin(), "--entry", first, "--entry", second});
  BOOST_TEST(one.code == 0);
  BOOST_TEST(one.text.find("completed") != std::string::npos);
  BOOST_TEST(one.text.find(*expected.rbegin()) == std::string::npos);
  BOOST_TEST(Run({"timeline", "--entry", first, "--entry", nobody}).code == 3);
  BOOST_TEST(Run({"timeline", "--entry", nobody}).code == 1);
}

}  // namespace bluebellpass
