#include "gateway/call/request-content.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace bluebellpass::gateway {
namespace {

RequestContent ContentOf(const std::string& method, const std::string& host,
                         const std::string& target, const std::string& organisation,
                         const std::string& body) {
  HttpHead head;
  head.method = method;
  head.target = target;
  head.fields = {{"Host", host}};
  return RequestContent(head, OrganisationId(organisation), body);
}

}  // namespace

// Guards against different requests with one fingerprint, so that a sound one clears the crashes of
// another or is held back with it.
BOOST_AUTO_TEST_CASE(DifferentRequestsHaveDifferentFingerprints) {
  const RequestContent contents[] = {
      ContentOf("GET", "h", "/a?x=1", "o", ""),   ContentOf("GET", "h", "/a?x=2", "o", ""),
      ContentOf("GET", "h", "/a", "o", ""),       ContentOf("HEAD", "h", "/a", "o", ""),
      ContentOf("GET", "i", "/a", "o", ""),       ContentOf("GET", "h", "/a", "p", ""),
      ContentOf("GET", "h", "/a", "o", "b"),      ContentOf("GET", "h", "/ao", "", ""),
      ContentOf("GET", "h", "/a?x=1&y", "o", ""), ContentOf("GET", "h", "/a?", "o", "")};
  std::set<std::uint64_t> fingerprints;
  for (const RequestContent& content : contents) fingerprints.insert(content.whole.Value());
  BOOST_TEST(fingerprints.size() == std::size(contents));
  BOOST_TEST((ContentOf("GET", "h", "/a?x=1", "o", "b").whole ==
              ContentOf("GET", "h", "/a?x=1", "o", "b").whole));
}

// Guards against a request that crashes engines and escapes its record by another query each time.
BOOST_AUTO_TEST_CASE(RequestsThatDifferInTheQueryShareAPart) {
  const RequestContent one = ContentOf("GET", "h", "/a?x=1", "o", "b");
  const RequestContent other = ContentOf("GET", "h", "/a?x=2", "o", "b");
  BOOST_REQUIRE(one.without_query.has_value());
  BOOST_TEST((one.without_query == other.without_query));
  BOOST_TEST((one.without_query != ContentOf("GET", "h", "/c?x=1", "o", "b").without_query));
  BOOST_TEST(!ContentOf("GET", "h", "/a", "o", "b").without_query.has_value());
  BOOST_TEST((one.without_query != ContentOf("GET", "h", "/a", "o", "b").whole));
}

}  // namespace bluebellpass::gateway
