#include <array>
#include <boost/test/unit_test.hpp>

#include "bluebellpass/error.h"
#include "page-table.h"

namespace bluebellpass {
namespace {

const std::string kSourceFolder = BLUEBELLPASS_SOURCE_DIR;
constexpr std::array<const char*, 3> kRetryAdviceNames = {"never", "later", "elsewhere"};

}  // namespace

// Guards against documented errors whose status, outcome or retry advice differs from that of the
// program.
BOOST_AUTO_TEST_CASE(PageAgreesWithErrorTable) {
  const auto page =
      test::ReadPageTable(test::ReadSource(kSourceFolder + "/docs/api.md"), "| error |");
  const auto rows = ErrorTable();
  BOOST_REQUIRE(page.size() == rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    BOOST_REQUIRE(page[i].size() == 5U);
    BOOST_TEST(page[i][0] == rows[i].name);
    BOOST_TEST(page[i][1] == std::to_string(rows[i].http_status));
    BOOST_TEST(page[i][2] == OutcomeName(rows[i].outcome));
    BOOST_TEST(page[i][3] == kRetryAdviceNames.at(static_cast<std::size_t>(rows[i].retry)));
    BOOST_TEST(!page[i][4].empty());
  }
}

// Guards against a route that the page does not describe, or that the program no longer has.
BOOST_AUTO_TEST_CASE(PageNamesEveryRoute) {
  const std::string page = test::ReadSource(kSourceFolder + "/docs/api.md");
  const std::string source = test::ReadSource(kSourceFolder + "/src/front/http-front.cc");
  for (const char* path : {"/v1/instances", "/v1/requests", "/v1/requests/", "/v1/resume",
                           "/v1/command", "/v1/events", "/metrics", "/healthz"}) {
    BOOST_TEST(source.find("\"" + std::string(path) + "\"") != std::string::npos, path);
    BOOST_TEST(page.find(std::string(" ") + path) != std::string::npos, path);
  }
}

}  // namespace bluebellpass
