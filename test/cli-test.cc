#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

#include "cluster/cluster.h"

/// Runs the program as a process and checks its output and exit codes.

namespace bluebellpass {
namespace {

using nlohmann::json;
using Strings = std::vector<std::string>;

constexpr int kMaxIterations = 3000;

/// Sets an environment variable, inherited by the processes started during its lifetime.
class ScopedVariable {
 public:
  ScopedVariable(std::string name, const std::string& value) : m_name(std::move(name)) {
    setenv(m_name.c_str(), value.c_str(), 1);
  }
  ~ScopedVariable() { unsetenv(m_name.c_str()); }
  ScopedVariable(const ScopedVariable&) = delete;
  ScopedVariable& operator=(const ScopedVariable&) = delete;

 private:
  std::string m_name;
};

struct RunResult {
  int code = -1;
  std::string text;  ///< standard output and standard error, interleaved
};

/// Runs the program until it exits.
RunResult RunProgram(Strings arguments) {
  static const std::string folder = test::MakeLogFolder("bluebellpass-cli");
  static int number = 0;
  const std::string log = folder + "/" + std::to_string(number++) + ".log";
  arguments.insert(arguments.begin(), std::string(BLUEBELLPASS_BINARY_DIR) + "/bluebellpass");
  test::Process process(std::move(arguments), log);
  RunResult result;
  EventLoop loop;
  for (int iteration = 0; iteration < kMaxIterations && !process.HasExited(&result.code);
       ++iteration) {
    loop.RunOnce(Millis{10});
  }
  std::ostringstream text;
  text << std::ifstream(log).rdbuf();
  result.text = text.str();
  return result;
}

Strings MakeServeArguments(const Strings& extra_arguments) {
  Strings arguments = {
      "serve",       "--instance",   "a",           "--data-centre", "dc1",
      "--region",    "r1",           "--listen",    "127.0.0.1:1",   "--peer-listen",
      "127.0.0.1:2", "--object-api", "127.0.0.1:3", "--peer-key",    "a-secret-of-the-tests"};
  arguments.insert(arguments.end(), extra_arguments.begin(), extra_arguments.end());
  return arguments;
}

void CheckUsageError(const RunResult& result, const Strings& expected_texts) {
  BOOST_TEST(result.code == 2);
  for (const std::string& expected_text : expected_texts) {
    BOOST_TEST((result.text.find(expected_text) != std::string::npos),
               expected_text << " is not in " << result.text);
  }
}

struct Fixture {
  test::Cluster cluster{
      {.instances = 2,
       .backends = {{.prefix = "engine", .kind = "engine", .pool = "assistant", .flags = {}}}}};
  std::string first = cluster.CallerAddress(0).Text();
  std::string second = cluster.CallerAddress(1).Text();
  std::string closed_entry = "127.0.0.1:" + std::to_string(test::FindFreePort());

  void WaitForMembers() {
    const bool is_complete = cluster.RunUntil([&] {
      return cluster.RunCommand(0, "show waiting").value("missing", json{1}).empty() &&
             cluster.RunCommand(0, "show instances").value("rows", json()).size() == 2;
    });
    BOOST_REQUIRE(is_complete);
  }
};

}  // namespace

// Guards against a daemon that starts with an invalid or unknown setting, and against messages that
// do not name the setting and its valid values.
BOOST_AUTO_TEST_CASE(InvalidSettingsEndWithCodeTwo) {
  CheckUsageError(RunProgram(MakeServeArguments({"--max-body-bytes", "1023"})),
                  {"--max-body-bytes", "1023", "1024 to 2000000"});
  CheckUsageError(RunProgram(MakeServeArguments({"--colour", "blue"})), {"--colour"});
  {
    const ScopedVariable policy("BLUEBELLPASS_POLICY", "best");
    CheckUsageError(RunProgram(MakeServeArguments({})),
                    {"BLUEBELLPASS_POLICY", "best", "fair, round-robin or static"});
  }
  {
    const ScopedVariable colour("BLUEBELLPASS_COLOUR", "blue");
    CheckUsageError(RunProgram(MakeServeArguments({})),
                    {"BLUEBELLPASS_COLOUR is not a known setting", "BLUEBELLPASS_POLICY"});
  }
  CheckUsageError(RunProgram({"serve"}), {"--instance", "BLUEBELLPASS_INSTANCE"});
}

// Guards against a --check that starts the daemon or prints a secret.
BOOST_AUTO_TEST_CASE(CheckPrintsSettingsAndEnds) {
  const ScopedVariable log_level("BLUEBELLPASS_LOG_LEVEL", "warning");
  const RunResult result = RunProgram(MakeServeArguments({"--check"}));
  BOOST_TEST(result.code == 0);
  BOOST_TEST(result.text.find("--log-level warning\n") != std::string::npos);
  BOOST_TEST(result.text.find("a-secret-of-the-tests") == std::string::npos);
  BOOST_TEST(RunProgram(MakeServeArguments({"--check", "--policy", "best"})).code == 2);
}

// Guards against usage errors that have the exit code of a failed command, and against carets under
// the wrong word.
BOOST_AUTO_TEST_CASE(UsageErrorsEndWithCodeTwo) {
  BOOST_TEST(RunProgram({}).code == 2);
  BOOST_TEST(RunProgram({"--help"}).code == 0);
  BOOST_TEST(RunProgram({"--version"}).text == "bluebellpass 0.1.0\n");
  CheckUsageError(RunProgram({"show", "waitng"}), {"show waitng\n     ^\n"});
  CheckUsageError(RunProgram({"set", "tier", "urgent", "rank", "high"}),
                  {"set tier urgent rank high\n                     ^\n"});
  CheckUsageError(RunProgram({"show", "waiting"}), {"--entry", "BLUEBELLPASS_ENTRY"});
  CheckUsageError(RunProgram({"show", "waiting", "--entry", "localhost"}), {"localhost"});
  CheckUsageError(RunProgram({"timeline", "--entry", "localhost"}), {"--entry", "localhost"});
  CheckUsageError(RunProgram({"timeline"}), {"--entry"});
  const json error_reply =
      json::parse(RunProgram({"show", "waitng", "--json"}).text, nullptr, false);
  BOOST_REQUIRE(error_reply.is_object());
  BOOST_TEST(error_reply["error"]["kind"] == "bad_command");
}

// Guards against exit codes by which scripts take an error for a success, or a partial reply for a
// complete one.
BOOST_FIXTURE_TEST_CASE(ExitCodesTellTheOutcome, Fixture) {
  WaitForMembers();
  BOOST_TEST(RunProgram({"show", "backends", "--entry", first}).code == 0);
  const RunResult rollouts = RunProgram({"show", "rollouts", "--entry", first});
  BOOST_TEST(rollouts.code == 1);
  BOOST_TEST(rollouts.text.find("roll-outs belong to the gateway") != std::string::npos);
  BOOST_TEST(RunProgram({"drain", "backend", "engine1", "--entry", first}).code == 0);
  const RunResult refused = RunProgram({"drain", "backend", "engine9", "--entry", first});
  BOOST_TEST(refused.code == 1);
  BOOST_TEST(refused.text.find("engine9") != std::string::npos);
  const RunResult unreachable = RunProgram({"show", "waiting", "--entry", closed_entry});
  BOOST_TEST(unreachable.code == 1);
  BOOST_TEST(unreachable.text.find("was not sent") != std::string::npos);
  const RunResult rows = RunProgram({"show", "backends", "--json", "--entry", first});
  BOOST_TEST(rows.code == 0);
  const json reply = json::parse(rows.text, nullptr, false);
  BOOST_REQUIRE(reply.is_object());
  BOOST_TEST(reply["rows"].at(0)["backend"] == "engine1");
  BOOST_TEST(reply["missing"].empty());

  cluster.Daemon(1).Signal(SIGSTOP);
  const RunResult partial = RunProgram({"show", "waiting", "--entry", first});
  cluster.Daemon(1).Signal(SIGCONT);
  BOOST_TEST(partial.code == 3);
  BOOST_TEST(partial.text.find("no reply from: i2") != std::string::npos);
}

// Guards against a client that fails if the first entry cannot be reached.
BOOST_FIXTURE_TEST_CASE(EntriesAreTriedInTurn, Fixture) {
  BOOST_TEST(RunProgram({"show", "config", "--entry", closed_entry, "--entry", first}).code == 0);
  const ScopedVariable entries("BLUEBELLPASS_ENTRY", closed_entry + "," + second);
  BOOST_TEST(RunProgram({"show", "config"}).code == 0);
  BOOST_TEST(RunProgram({"show", "config", "--entry", closed_entry}).code == 1);
  BOOST_TEST(RunProgram({"timeline"}).code == 3);
}

// Guards against traces that are not valid JSON or lack the span of a request, and against events
// of other requests when one is selected.
BOOST_FIXTURE_TEST_CASE(ChromeTraceHasASpanForEachRequest, Fixture) {
  std::set<std::string> expected;
  for (int i = 0; i < 4; ++i) {
    const auto response = cluster.Submit(i % 2, test::EngineBody("prompt " + std::to_string(i)));
    BOOST_REQUIRE(cluster.RunUntil([&] { return response->is_done; }));
    expected.insert(response->id);
  }
  const RunResult result =
      RunProgram({"timeline", "--chrome", "--entry", first, "--entry", second});
  BOOST_TEST(result.code == 0);
  const json trace = json::parse(result.text, nullptr, false);
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
  const RunResult one =
      RunProgram({"timeline", "--request", *expected.begin(), "--entry", first, "--entry", second});
  BOOST_TEST(one.code == 0);
  BOOST_TEST(one.text.find("completed") != std::string::npos);
  BOOST_TEST(one.text.find(*expected.rbegin()) == std::string::npos);
  BOOST_TEST(RunProgram({"timeline", "--entry", first, "--entry", closed_entry}).code == 3);
  BOOST_TEST(RunProgram({"timeline", "--entry", closed_entry}).code == 1);
}

}  // namespace bluebellpass
