#include <boost/test/unit_test.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "bluebellpass/config.h"

namespace bluebellpass {
namespace {

using Json = nlohmann::json;

/// @return the JSON examples of docs/configuration.md
std::vector<std::string> DocumentationExamples() {
  std::ifstream file(BLUEBELLPASS_SOURCE_DIR "/docs/configuration.md");
  std::vector<std::string> examples;
  bool is_in_example = false;
  for (std::string line; std::getline(file, line);) {
    if (line == "```json") examples.emplace_back();
    if (is_in_example && line != "```") examples.back() += line + "\n";
    is_in_example = line == "```json" || (is_in_example && line != "```");
  }
  return examples;
}

/// Sets one value of the first example and parses the result.
/// @return the path of the first error, or "accepted"
std::string ErrorPathAfter(const std::string& pointer, const Json& value) {
  Json json = Json::parse(DocumentationExamples().front());
  json[Json::json_pointer(pointer)] = value;
  const auto result = ParseClusterConfig(json.dump());
  if (IsOk(result)) return "accepted";
  BOOST_TEST((ErrorOf(result).kind == ErrorKind::kInvalidConfig));
  return ErrorOf(result).field;
}

}  // namespace

// Guards against documented examples that do not parse, and against fields that are lost when a
// configuration is formatted and parsed again.
BOOST_AUTO_TEST_CASE(DocumentationExamplesRoundTrip) {
  const auto examples = DocumentationExamples();
  BOOST_REQUIRE_EQUAL(examples.size(), 2U);
  for (const std::string& example : examples) {
    const auto parsed = ParseClusterConfig(example);
    BOOST_REQUIRE_MESSAGE(IsOk(parsed), example);
    const std::string formatted = FormatClusterConfig(std::get<0>(parsed));
    const auto reparsed = ParseClusterConfig(formatted);
    BOOST_REQUIRE(IsOk(reparsed));
    BOOST_TEST(FormatClusterConfig(std::get<0>(reparsed)) == formatted);
    const BackendConfig* backend = std::get<0>(reparsed).FindBackend(BackendId("assistant-2"));
    BOOST_REQUIRE(backend != nullptr);
    BOOST_TEST(std::get<0>(reparsed).HasPool(PoolName("assistant")));
    BOOST_TEST(!std::get<0>(reparsed).HasPool(PoolName("nothing")));
  }
}

// Guards against invalid fields that are accepted, or reported with the wrong path.
BOOST_AUTO_TEST_CASE(EachErrorIsReportedWithItsPath) {
  const std::vector<std::tuple<std::string, Json, std::string>> cases = {
      {"/tier", 1, "tier"},
      {"/tiers/0/colour", 1, "tiers[0].colour"},
      {"/tiers", "x", "tiers"},
      {"/tiers/1", 3, "tiers[1]"},
      {"/tiers/1/name", "urgent", "tiers[1].name"},
      {"/tiers/1/name", "", "tiers[1].name"},
      {"/tiers/1/name", "a b", "tiers[1].name"},
      {"/tiers/1/name", "\xc3\xa7", "tiers[1].name"},
      {"/tiers/1/name", std::string(65, 'a'), "tiers[1].name"},
      {"/tiers/1/name", std::string(64, 'a'), "accepted"},
      {"/tiers/1/rank", 0, "tiers[1].rank"},
      {"/tiers/1/rank", -1, "tiers[1].rank"},
      {"/tiers/1/rank", 1.5, "tiers[1].rank"},
      {"/tiers/1/rank", 18446744073709551615ULL, "tiers[1].rank"},
      {"/tiers/1/share", 0.91, "tiers[1].share"},
      {"/tiers/1/share", 0.41, "tiers[2].share"},
      {"/tiers/1/share", 0.4, "accepted"},
      {"/organisations/1/name", "camara-lisboa", "organisations[1].name"},
      {"/organisations/1/weight", 0, "organisations[1].weight"},
      {"/organisations/1/weight", "1", "organisations[1].weight"},
      {"/backend_servers/2/address", "localhost:80", "backend_servers[2].address"},
      {"/backend_servers/2/address", "10.0.0.1", "backend_servers[2].address"},
      {"/backend_servers/2/address", "10.0.0.1:0", "backend_servers[2].address"},
      {"/backend_servers/2/address", "10.0.0.1:70000", "backend_servers[2].address"},
      {"/backend_servers/2/kind", "printer", "backend_servers[2].kind"},
      {"/backend_servers/2/state", "gone", "backend_servers[2].state"},
      {"/backend_servers/2/fencing", true, "backend_servers[2].fencing"},
      {"/backend_servers/2/slots", 0, "backend_servers[2].slots"},
      {"/backend_servers/2/name", "assistant-1", "backend_servers[2].name"},
      {"/shifts/0/pool", "nothing", "shifts[0].pool"},
      {"/shifts/0/to", "porto", "shifts[0].to"},
      {"/shifts/0/to", "lisboa-1", "shifts[0].to"},
      {"/shifts/0/percent", 101, "shifts[0].percent"},
      {"/weight_store_loads_per_minute", -1, "weight_store_loads_per_minute"},
      {"/change", "a-1", "accepted"},
      {"/change", 1, "change"},
  };
  for (const auto& [pointer, value, path] : cases) {
    BOOST_TEST_CONTEXT(pointer << " = " << value) {
      BOOST_TEST(ErrorPathAfter(pointer, value) == path);
    }
  }
}

// Guards against crashes on text that is not a configuration document, and against duplicate keys,
// of which the parser would silently keep the last value.
BOOST_AUTO_TEST_CASE(MalformedTextIsRejected) {
  const std::string deep(100'000, '[');
  for (const std::string& text :
       {std::string(), std::string("{"), std::string("[]"), std::string("\xff"),
        std::string(R"({"tiers":[],"tiers":[]})"), deep}) {
    BOOST_TEST(!IsOk(ParseClusterConfig(text)));
  }
}

// Guards against an index that misses an organisation or returns another one for its id.
BOOST_AUTO_TEST_CASE(EveryOrganisationIsFoundByItsId) {
  ClusterConfig config;
  for (const int number : {7, 3, 11, 1, 9}) {
    config.organisations.push_back(
        {.id = OrganisationId("o" + std::to_string(number)), .weight = 1.0 + number});
  }
  const auto parsed = std::get<ClusterConfig>(ParseClusterConfig(FormatClusterConfig(config)));
  for (const OrganisationConfig& organisation : config.organisations) {
    const OrganisationConfig* found = parsed.FindOrganisation(organisation.id);
    BOOST_REQUIRE(found != nullptr);
    BOOST_TEST(found->weight == organisation.weight);
    BOOST_TEST(config.FindOrganisation(organisation.id) != nullptr);
  }
  BOOST_TEST(parsed.FindOrganisation(OrganisationId("o2")) == nullptr);
  BOOST_TEST(parsed.FindOrganisation(OrganisationId("z")) == nullptr);
}

}  // namespace bluebellpass
