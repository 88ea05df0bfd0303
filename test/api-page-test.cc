#include <array>
#include <boost/test/unit_test.hpp>

#include "bluebellpass/error.h"
#include "page-table.h"

namespace bluebellpass {
namespace {

const std::string kSource = BLUEBELLPASS_SOURCE_DIR;
constexpr std::array<const char*, 3> kAdvice = {"never", "later", "elsewhere"};

}  // namespace

// Guards against callers who read another status, outcome or advice than the program gives.
BOOST_AUTO_TEST_CASE(PageAgreesWithErrorTable) {
  const auto page = test::ReadPageTable(test::ReadSource(kSource + "/docs/api.md"), "| error |");
  const auto rows = ErrorTable();
  BOOST_REQUIRE(page.size() == rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    BOOST_REQUIRE(page[i].size() == 5U);
    BOOST_TEST(page[i][0] == rows[i].name);
    BOOST_TEST(page[i][1] == std::to_string(rows[i].http_status));
    BOOST_TEST(page[i][2] == OutcomeName(rows[i].outcome));
    BOOST_TEST(page[i][3] == kAdvice.at(static_cast<std::size_t>(rows[i].retry)));
    BOOST_TEST(!page[i][4].empty());
  }
}

// Guards against a route that the program has and the page does not describe.
BOOST_AUTO_TEST_CASE(PageNamesEveryRoute) {
  const std::string page = test::ReadSource(kSource + "/docs/api.md");
  const std::string source = test::ReadSource(kSource + "/src/front/http-front.cc");
  for (const char* path : {"/v1/instances", "/v1/requests", "/v1/requests/", "/v1/resume",
                           "/v1/command", "/v1/events", "/metrics", "/healthz"}) {
    BOOST_TEST(source.find("\"" + std::string(path) + "\"") != std::string::npos, path);
    BOOST_TEST(page.find(std::string(" ") + path) != std::string::npos, path);
  }
}

}  // namespace bluebellpass
