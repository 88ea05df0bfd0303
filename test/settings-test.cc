#include "config/settings.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

namespace bluebellpass {
namespace {

const std::vector<std::string> kRequired = {
    "--instance", "a",           "--data-centre", "dc1",         "--region",     "r1",
    "--listen",   "10.0.0.1:80", "--peer-listen", "10.0.0.1:81", "--object-api", "10.0.0.9:90"};
const Environment kKey = {{"BLUEBELLPASS_PEER_KEY", "0123456789abcdef"}};

/// Reads the required settings together with other flags and variables.
Result<Settings> Read(std::vector<std::string> more, Environment environment = {}) {
  CLI::App app;
  const SettingsParser parser(app);
  std::vector<std::string> args = kRequired;
  args.insert(args.end(), more.begin(), more.end());
  std::ostringstream out;
  if (ParseArguments(app, args, out, out)) return Error{ErrorKind::kBadRequest, out.str(), "usage"};
  environment.insert(kKey.begin(), kKey.end());
  return parser.Read(environment);
}

std::string ErrorFieldOf(std::vector<std::string> more, Environment environment = {}) {
  const auto result = Read(std::move(more), std::move(environment));
  return IsOk(result) ? "accepted" : ErrorOf(result).field;
}

}  // namespace

// Guards against wrong defaults, and against a variable that takes precedence over its flag.
BOOST_AUTO_TEST_CASE(FlagsVariablesAndDefaultsCombine) {
  const auto result = Read({"--seed", "10.0.0.2:81", "--seed", "10.0.0.3:81", "--policy", "static"},
                           {{"BLUEBELLPASS_POLICY", "fair"}, {"BLUEBELLPASS_STOP_TIMEOUT_S", "5"}});
  BOOST_REQUIRE(IsOk(result));
  const auto& settings = std::get<0>(result);
  BOOST_TEST((settings.policy == PolicyKind::kStatic));
  BOOST_TEST(settings.stop_timeout.count() == 5000);
  BOOST_TEST(settings.advertise.Text() == "10.0.0.1:80");
  BOOST_TEST(settings.peer_advertise.Text() == "10.0.0.1:81");
  BOOST_TEST(settings.seeds.size() == 2U);
  BOOST_TEST(settings.max_body_bytes == 1U << 20U);
  BOOST_TEST(std::get<0>(Read({"--check"})).is_check);
  const auto keys = Read({}, {{"BLUEBELLPASS_PEER_KEY", "0123456789abcdef,fedcba9876543210"}});
  BOOST_TEST(std::get<0>(keys).peer_keys.size() == 2U);
}

// Guards against a daemon that starts although a setting is invalid or unknown.
BOOST_AUTO_TEST_CASE(InvalidAndUnknownSettingsAreRejected) {
  BOOST_TEST(ErrorFieldOf({"--policy", "best"}) == "--policy");
  BOOST_TEST(ErrorFieldOf({"--max-body-bytes", "1023"}) == "--max-body-bytes");
  BOOST_TEST(ErrorFieldOf({"--max-body-bytes", "2000000"}) == "accepted");
  BOOST_TEST(ErrorFieldOf({"--max-body-bytes", "2000001"}) == "--max-body-bytes");
  BOOST_TEST(ErrorFieldOf({"--stop-timeout-s", "1s"}) == "--stop-timeout-s");
  BOOST_TEST(ErrorFieldOf({"--seed", "seed.example:81"}) == "--seed");
  BOOST_TEST(ErrorFieldOf({"--advertise", "0.0.0.0:80"}) == "--advertise");
  BOOST_TEST(ErrorFieldOf({"--policy", "fair", "--policy", "static"}) == "--policy");
  BOOST_TEST(ErrorFieldOf({"--colour", "red"}) == "usage");
  BOOST_TEST(ErrorFieldOf({"stray"}) == "usage");
  BOOST_TEST(ErrorFieldOf({}, {{"BLUEBELLPASS_LOG_LEVEL", "loud"}}) == "BLUEBELLPASS_LOG_LEVEL");
  BOOST_TEST(ErrorFieldOf({}, {{"BLUEBELLPASS_COLOUR", "red"}}) == "BLUEBELLPASS_COLOUR");
  BOOST_TEST(ErrorFieldOf({}, {{"BLUEBELLPASS_ENTRY", "10.0.0.1:80"}}) == "accepted");
  const std::string message = ErrorOf(Read({"--policy", "best"})).message;
  BOOST_TEST(message == "--policy is \"best\"; it must be fair, round-robin or static");
}

// Guards against starting without a required setting, and against a usage error with an exit code
// other than 2.
BOOST_AUTO_TEST_CASE(MissingSettingsAndExitCodes) {
  CLI::App app;
  const SettingsParser parser(app);
  BOOST_TEST(ErrorOf(parser.Read({})).field == "--instance");
  std::ostringstream out;
  BOOST_TEST(ParseArguments(app, {"--colour"}, out, out).value() == 2);
  BOOST_TEST(ParseArguments(app, {"--help"}, out, out).value() == 0);
}

// Guards against peer keys in error messages or in the output of --check.
BOOST_AUTO_TEST_CASE(SecretsAreNeverPrinted) {
  const auto refused = Read({}, {{"BLUEBELLPASS_PEER_KEY", "shortsecret"}});
  BOOST_TEST(ErrorOf(refused).field == "BLUEBELLPASS_PEER_KEY");
  BOOST_TEST(ErrorOf(refused).message.find("shortsecret") == std::string::npos);
  const std::string text = DescribeSettings(std::get<0>(Read({})));
  BOOST_TEST(text.find("0123456789abcdef") == std::string::npos);
  for (const SettingInfo& info : SettingsTable())
    BOOST_TEST(text.find(std::string(info.flag) + " ") != std::string::npos, info.flag);
}

// Guards against a table in docs/settings.md that differs from the flags.
BOOST_AUTO_TEST_CASE(DocumentationMatchesFlags) {
  std::ifstream file(BLUEBELLPASS_SOURCE_DIR "/docs/settings.md");
  std::vector<std::string> rows;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("| `--")) rows.push_back(line);
  }
  std::vector<std::string> expected;
  for (const SettingInfo& info : SettingsTable()) {
    std::ostringstream row;
    row << "| `" << info.flag << "` | `" << EnvironmentName(info.flag) << "` | "
        << info.default_value << " | " << info.allowed << " | " << info.meaning
        << (info.is_repeatable ? "; repeatable" : "") << " |";
    expected.push_back(row.str());
  }
  BOOST_TEST(rows == expected, boost::test_tools::per_element());
}

}  // namespace bluebellpass
