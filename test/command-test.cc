#include "cli/command.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "cli/apply.h"
#include "cli/table.h"

namespace bluebellpass {
namespace {

constexpr int kFuzzIterations = 20'000;

/// Parses a command, which must be of the given type.
template <class Type>
Type ParseAs(std::string_view text) {
  const auto result = ParseCommand(text);
  BOOST_REQUIRE_MESSAGE(IsOk(result), text);
  BOOST_REQUIRE(std::holds_alternative<Type>(std::get<0>(result)));
  return std::get<Type>(std::get<0>(result));
}

ClusterConfig MakeConfig() {
  const auto result = ParseClusterConfig(R"({
    "tiers": [{"name": "t", "rank": 0, "share": 0.5}, {"name": "u", "rank": 1}],
    "organisations": [{"name": "o"}],
    "backend_servers": [
      {"name": "b1", "kind": "engine", "address": "10.0.0.1:1", "pool": "p", "data_centre": "x",
       "region": "r"},
      {"name": "b2", "kind": "engine", "address": "10.0.0.2:1", "pool": "p", "data_centre": "y",
       "region": "r"}]})");
  return std::get<0>(result);
}

Result<ClusterConfig> ApplyText(const ClusterConfig& config, std::string_view text) {
  return ApplyCommand(config, std::get<0>(ParseCommand(text)));
}

}  // namespace

// Guards against a command that is parsed as another one, or without one of its values.
BOOST_AUTO_TEST_CASE(EachCommandIsParsed) {
  for (const char* topic : {"waiting", "running", "refused", "backends", "instances", "config",
                            "quarantine", "rollouts"}) {
    BOOST_TEST(ShowTopicName(ParseAs<ShowCommand>("show " + std::string(topic)).topic) == topic);
  }
  const auto show = ParseAs<ShowCommand>(
      " show\twaiting where tier = urgent and id=a.1f.2.x and organisation=\"a b\"\n");
  const std::vector<Condition> conditions = {
      {"tier", "urgent"}, {"id", "a.1f.2.x"}, {"organisation", "a b"}};
  BOOST_TEST((show.conditions == conditions));
  BOOST_TEST(ParseAs<SetTierRankCommand>("set tier t rank 3").rank.Value() == 3U);
  BOOST_TEST(ParseAs<SetTierShareCommand>("set tier rank share 0.25").share == 0.25);
  const auto weight = ParseAs<SetOrganisationWeightCommand>("set organisation o-1 weight 2.5");
  BOOST_TEST(weight.organisation.Text() == "o-1");
  BOOST_TEST(weight.weight == 2.5);
  BOOST_TEST(ParseAs<DrainBackendCommand>("drain  backend b1").backend.Text() == "b1");
  BOOST_TEST(ParseAs<ActivateBackendCommand>("activate backend b_1").backend.Text() == "b_1");
  const auto shift = ParseAs<ShiftPoolCommand>("shift pool p from x to y percent 100");
  BOOST_TEST(shift.pool.Text() + shift.from.Text() + shift.to.Text() == "pxy");
  BOOST_TEST(shift.percent == 100U);
  const auto content = ParseAs<ReleaseCommand>("release 00fF").content;
  BOOST_TEST(content.Value() == 255U);
  BOOST_TEST(FormatFingerprint(content) == "00000000000000ff");
  const auto load = ParseAs<LoadCommand>("load backend b model m version 1.2");
  BOOST_TEST(load.model + load.version == "m1.2");
  BOOST_TEST(ParseAs<LoadCommand>("load backend b model m").version.empty());
}

// Guards against accepting an incomplete command or one with further words, and against errors that
// name the wrong word or column.
BOOST_AUTO_TEST_CASE(ErrorsPointAtTheOffendingWord) {
  const std::vector<std::tuple<std::string, std::size_t, std::string, std::string>> cases = {
      {"", 1, "", "show, set"},
      {"  shows waiting", 3, "shows", "show, set"},
      {"Show waiting", 1, "Show", "show, set"},
      {"show wating", 6, "wating", "waiting, running"},
      {"show waiting now", 14, "now", "the end"},
      {"show waiting where", 19, "", "a field"},
      {"show waiting where tier urgent", 25, "urgent", "'='"},
      {"show waiting where tier=", 25, "", "a value"},
      {"show waiting where tier=\"a", 25, "\"a", "a value"},
      {"show waiting where a=b and", 27, "", "a field"},
      {"set tier t", 11, "", "rank or share"},
      {"set tier t rank -1", 17, "-1", "a whole number"},
      {"set tier t rank 1x", 17, "1x", "a whole number"},
      {"set tier t share nan", 18, "nan", "a number"},
      {"set organisation o weight 0", 27, "0", "above 0"},
      {"drain b1", 7, "b1", "backend"},
      {"shift pool p from x to y percent 101", 34, "101", "0 to 100"},
      {"release xyz", 9, "xyz", "hexadecimal"},
      {"release 11112222333344445", 9, "11112222333344445", "hexadecimal"},
      {"load backend b model m version", 31, "", "a version"},
      {"drain backend " + std::string(65, 'a'), 15, std::string(40, 'a') + "...", "name"},
  };
  for (const auto& [text, column, word, expected] : cases) {
    BOOST_TEST_CONTEXT(text) {
      std::size_t found = 0;
      const auto result = ParseCommand(text, &found);
      BOOST_REQUIRE(!IsOk(result));
      const Error& error = ErrorOf(result);
      BOOST_TEST((error.kind == ErrorKind::kBadCommand));
      BOOST_TEST(found == column);
      BOOST_TEST(error.field == word);
      BOOST_TEST(error.message.starts_with("column " + std::to_string(column) + ": expected "));
      BOOST_TEST(error.message.find(expected) != std::string::npos, error.message);
    }
  }
  BOOST_TEST(CaretLines("drain b1", 7) == "drain b1\n      ^\n");
}

// Guards against crashes, hangs and columns outside the text on arbitrary input.
BOOST_AUTO_TEST_CASE(RandomTextNeverCrashes) {
  const std::vector<std::string> words = {
      "show",  "waiting",      "where",   "and",     "=",        "set",     "tier",    "rank",
      "share", "organisation", "weight",  "drain",   "activate", "backend", "shift",   "pool",
      "from",  "to",           "percent", "release", "load",     "model",   "version", "a",
      "1",     "0.5",          "\"",      "-",       "ff"};
  std::mt19937 random(20'231);
  int accepted = 0;
  for (int i = 0; i < kFuzzIterations; ++i) {
    std::string text;
    const unsigned length = random() % 12;
    for (unsigned n = 0; n < length; ++n) {
      if (random() % 8 == 0) text += static_cast<char>(random() % 256);
      text += words[random() % words.size()] + (random() % 8 == 0 ? "" : " ");
    }
    std::size_t column = 0;
    const auto result = ParseCommand(text, &column);
    if (IsOk(result)) ++accepted;
    if (!IsOk(result) && (column == 0 || column > text.size() + 1)) BOOST_ERROR(text);
  }
  BOOST_TEST(accepted > 0);
  BOOST_TEST(!IsOk(ParseCommand(std::string(100'000, 'a'))));
}

// Guards against commands that change a wrong part of the configuration, and against a shift that
// is added beside an earlier one of the same pool and data centres instead of replacing it.
BOOST_AUTO_TEST_CASE(CommandsChangeTheConfiguration) {
  ClusterConfig config = MakeConfig();
  for (const char* text :
       {"set tier u rank 7", "set tier u share 0.4", "set organisation o weight 3",
        "drain backend b1", "shift pool p from x to y percent 30",
        "shift pool p from x to y percent 40"}) {
    BOOST_TEST(IsConfigChange(std::get<0>(ParseCommand(text))));
    auto changed = ApplyText(config, text);
    BOOST_REQUIRE_MESSAGE(IsOk(changed), text);
    config = std::get<0>(changed);
  }
  BOOST_TEST(config.FindTier(TierName("u"))->rank.Value() == 7U);
  BOOST_TEST(config.FindTier(TierName("u"))->share == 0.4);
  BOOST_TEST(config.FindOrganisation(OrganisationId("o"))->weight == 3);
  BOOST_TEST((config.FindBackend(BackendId("b1"))->state == BackendState::kLeaving));
  BOOST_TEST((config.FindBackend(BackendId("b2"))->state == BackendState::kActive));
  BOOST_REQUIRE_EQUAL(config.shifts.size(), 1U);
  BOOST_TEST(config.shifts[0].percent == 40U);
  BOOST_TEST(std::get<0>(ApplyText(config, "shift pool p from x to y percent 0")).shifts.empty());
  config = std::get<0>(ApplyText(config, "activate backend b1"));
  BOOST_TEST((config.FindBackend(BackendId("b1"))->state == BackendState::kActive));
}

// Guards against accepting a command that has no effect or makes the configuration invalid, and
// against errors that do not name the cause.
BOOST_AUTO_TEST_CASE(ImpossibleChangesAreRefused) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"set tier x rank 1", "x"},
      {"set tier u rank 0", "tiers[1].rank"},
      {"set tier u share 0.41", "tiers[1].share"},
      {"set organisation x weight 1", "x"},
      {"drain backend x", "x"},
      {"shift pool x from x to y percent 1", "x"},
      {"shift pool p from x to z percent 1", "z"},
      {"shift pool p from x to x percent 1", "shifts[0].to"},
      {"show config", ""},
      {"release ff", ""},
  };
  for (const auto& [text, field] : cases) {
    BOOST_TEST_CONTEXT(text) {
      const auto result = ApplyText(MakeConfig(), text);
      BOOST_REQUIRE(!IsOk(result));
      BOOST_TEST(ErrorOf(result).field == field);
    }
  }
}

// Guards against misaligned columns, and against control characters that reach a terminal.
BOOST_AUTO_TEST_CASE(TablesAreAligned) {
  const auto rows = nlohmann::ordered_json::parse(
      R"([{"id":"a","n":5},{"id":"l\u00e1pis\u001b","n":123,"z":true},{"id":null}])");
  BOOST_TEST(FormatTable(rows) ==
             "id        n  z\n"
             "a         5  -\n"
             "l\xc3\xa1pis?  123  true\n"
             "-         -  -\n");
  BOOST_TEST(FormatTable(nlohmann::ordered_json::array()) == "no rows\n");
}

}  // namespace bluebellpass
