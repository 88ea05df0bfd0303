#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cctype>
#include <filesystem>
#include <regex>

#include "bluebellpass/event.h"
#include "page-table.h"

namespace bluebellpass {
namespace {

const std::string kSourceFolder = BLUEBELLPASS_SOURCE_DIR;
constexpr std::array<const char*, 4> kSeverities = {"debug", "info", "warning", "error"};

/// @return the event name of an enumerator, for example "claim_sent" for "kClaimSent"
std::string CatalogueName(const std::string& enumerator) {
  std::string name;
  for (const char c : enumerator.substr(1)) {
    if (std::isupper(static_cast<unsigned char>(c)) != 0 && !name.empty()) name += '_';
    name += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return name;
}

bool IsInCatalogue(const std::string& name) {
  const auto rows = EventCatalogue();
  return std::any_of(rows.begin(), rows.end(), [&](const auto& row) { return row.name == name; });
}

}  // namespace

// Guards against an unsorted catalogue, in which the binary search by number finds the wrong row.
BOOST_AUTO_TEST_CASE(CatalogueIsInAscendingOrder) {
  const auto rows = EventCatalogue();
  const auto is_unordered = [](const auto& a, const auto& b) { return a.id >= b.id; };
  BOOST_TEST((std::adjacent_find(rows.begin(), rows.end(), is_unordered) == rows.end()));
}

// Guards against documentation that differs from the catalogue in a number, name, severity or
// meaning.
BOOST_AUTO_TEST_CASE(DocumentationMatchesCatalogue) {
  const auto page =
      test::ReadPageTable(test::ReadSource(kSourceFolder + "/docs/events.md"), "| number |");
  const auto rows = EventCatalogue();
  BOOST_REQUIRE(page.size() == rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    BOOST_REQUIRE(page[i].size() == 6U);
    BOOST_TEST(page[i][0] == std::to_string(static_cast<int>(rows[i].id)));
    BOOST_TEST(page[i][1] == rows[i].name);
    BOOST_TEST(page[i][2] == kSeverities.at(static_cast<std::size_t>(rows[i].severity)));
    BOOST_TEST(!page[i][3].empty());
    BOOST_TEST(page[i][4] == rows[i].meaning);
    BOOST_TEST(!page[i][5].empty());
  }
}

// Guards against an event without a row in the catalogue, for which LogEvent would read the wrong
// row or past the end.
BOOST_AUTO_TEST_CASE(EveryEventIsInTheCatalogue) {
  std::size_t uses = 0;
  const std::regex use("EventId::(k[A-Za-z]+)");
  for (const auto& entry : std::filesystem::recursive_directory_iterator(kSourceFolder + "/src")) {
    if (!entry.is_regular_file()) continue;
    const std::string text = test::ReadSource(entry.path().string());
    for (std::sregex_iterator at(text.begin(), text.end(), use), end; at != end; ++at, ++uses) {
      BOOST_TEST(IsInCatalogue(CatalogueName((*at)[1])), at->str());
    }
  }
  BOOST_TEST(uses > 30U);
  const std::string header = test::ReadSource(kSourceFolder + "/include/bluebellpass/event.h");
  const std::regex declared("(k[A-Za-z]+) = ([0-9]+),");
  std::size_t count = 0;
  for (std::sregex_iterator at(header.begin(), header.end(), declared), end; at != end; ++at) {
    BOOST_TEST(IsInCatalogue(CatalogueName((*at)[1])), at->str());
    ++count;
  }
  BOOST_TEST(count == EventCatalogue().size());
}

}  // namespace bluebellpass
