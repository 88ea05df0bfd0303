#include <boost/test/unit_test.hpp>

#include "platform/protocol.h"

/// What the fields of backend servers' responses mean.

namespace bluebellpass::platform {
namespace {

const PlatformProtocol kProtocol;

}  // namespace

// Guards against treating a request as not run, and so repeating it, when it may have run.
BOOST_AUTO_TEST_CASE(OnlyExplicitResponsesMeanNotRun) {
  const auto decode = [](int status, std::vector<HttpField> fields) {
    HttpHead head;
    head.status = status;
    head.fields = std::move(fields);
    return kProtocol.DecodeResponse(head);
  };
  BOOST_TEST(decode(503, {{"Not-Run", "1"}}).is_not_run);
  BOOST_TEST(!decode(503, {{"Request-Id", "r"}}).is_not_run);
  BOOST_TEST(decode(421, {{"Instance", "other"}}).is_wrong_backend);
  BOOST_TEST(decode(400, {}).is_not_run);
  BOOST_TEST(!decode(400, {{"Request-Id", "r"}}).is_not_run);
  BOOST_TEST(!decode(500, {{"Request-Id", "r"}}).is_not_run);
  const auto response =
      decode(200, {{"Request-Id", "r"}, {"Instance-Seal", "s"}, {"Instance-Load", "3,1,8"}});
  BOOST_TEST(response.has_signature);
  BOOST_TEST(response.load.value().waiting == 1);
  BOOST_TEST(!response.is_leaving);
  BOOST_TEST(decode(200, {{"Server-Leaving", "1"}}).is_leaving);
  BOOST_TEST(!decode(200, {{"Server-Leaving", "0"}}).is_leaving);
  BOOST_TEST((decode(200, {{"Server-Brittle", "4"}}).rejection_limit_per_s == 4));
  BOOST_TEST((decode(503, {{"Server-Brittle", "0"}}).rejection_limit_per_s == 0));
  for (const char* value : {"-1", "x", "", "1.5"})
    BOOST_TEST(!decode(200, {{"Server-Brittle", value}}).rejection_limit_per_s.has_value(), value);
  BOOST_TEST((decode(503, {{"Retry-After", "1.25"}}).retry_after == Millis{1'250}));
  BOOST_TEST((decode(503, {{"Retry-After", "3"}}).retry_after == Millis{3'000}));
  for (const char* value : {"", "-1", "soon", "1e300", "nan", "inf"})
    BOOST_TEST(!decode(503, {{"Retry-After", value}}).retry_after.has_value(), value);
}

// Guards against load reports whose extension hides them, and against numbers that are no hint.
BOOST_AUTO_TEST_CASE(LoadReportsAreDecodedLeniently) {
  const auto decode = [](const std::string& load) {
    HttpHead head;
    head.status = 200;
    head.fields = {{"Request-Id", "r"}, {"Instance-Seal", "s"}, {"Instance-Load", load}};
    return kProtocol.DecodeResponse(head);
  };
  BOOST_TEST(decode("3,1,8").load.value().running == 3);
  BOOST_TEST(!decode("3,1,8").load.value().slowdown.has_value());
  BOOST_TEST(!decode("3,1,8").has_invalid_load);
  BOOST_TEST(decode("3, 1, 8, 250").load.value().slots == 8);
  BOOST_TEST(decode("3,1,8,250").load.value().slowdown.value() == 2.5);
  BOOST_TEST(decode("3,1,8,90,x,,7,8,9,10").load.value().slowdown.value() == 0.9);
  BOOST_TEST(!decode("3,1,8,90,x,,7,8,9,10").has_invalid_load);
  for (const char* load : {"", "3", "3,1", "busy", "-1,0,8", "3,1,x", "99999999999,0,8", "3,,8"}) {
    BOOST_TEST(!decode(load).load.has_value(), load);
    BOOST_TEST(decode(load).has_invalid_load, load);
  }
  for (const char* load : {"3,1,8,", "3,1,8,x", "3,1,8,-5", "3,1,8,0", "3,1,8,1e9", "3,1,8,nan",
                           "3,1,8,99999999999999999999"}) {
    BOOST_TEST(decode(load).load.value().waiting == 1, load);
    BOOST_TEST(!decode(load).load.value().slowdown.has_value(), load);
  }
  BOOST_TEST(decode("3,1,8,x").has_invalid_load);
  // The rest of the response does not depend on it.
  BOOST_TEST(decode("x").has_signature);
  BOOST_TEST(!decode("x").is_not_run);
}

}  // namespace bluebellpass::platform
