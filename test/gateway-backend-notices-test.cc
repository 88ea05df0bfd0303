#include <boost/test/unit_test.hpp>

#include "gateway/state/backend-notices.h"

namespace bluebellpass::gateway {
namespace {

const TimePoint kStart{Millis{1'000'000}};

TimePoint At(int milliseconds) { return kStart + Millis{milliseconds}; }

struct Fixture {
  BackendNotices notices;
  BackendStart backend{BackendId("a"), 1};

  /// @return true if the response changes the limit
  bool Respond(std::optional<int> limit, int sent_ms, int responded_ms) {
    return notices.SetRejectionLimit(backend, limit, At(sent_ms), At(responded_ms));
  }
};

}  // namespace

// Guards against a limit that is withdrawn by a response that was begun before it was stated.
BOOST_FIXTURE_TEST_CASE(LateResponseDoesNotWithdrawTheRejectionLimit, Fixture) {
  BOOST_TEST(Respond(3, 100, 200));
  BOOST_TEST(!Respond({}, 0, 300));
  BOOST_TEST(!Respond({}, 199, 300));
  BOOST_TEST((notices.RejectionLimit(backend) == 3));
  // A repetition does not make the responses in between older.
  BOOST_TEST(!Respond(3, 200, 400));
  BOOST_TEST(Respond({}, 201, 500));
  BOOST_TEST(!notices.RejectionLimit(backend));
  // Stated again after it was withdrawn.
  BOOST_TEST(Respond(3, 500, 600));
  BOOST_TEST(!Respond({}, 550, 700));
  BOOST_TEST(Respond({}, 601, 700));
}

// Guards against a lowered limit that a late response raises again.
BOOST_FIXTURE_TEST_CASE(LateResponseDoesNotRaiseTheRejectionLimit, Fixture) {
  BOOST_TEST(Respond(5, 0, 100));
  BOOST_TEST(Respond(1, 200, 300));
  BOOST_TEST(!Respond(5, 150, 400));
  BOOST_TEST((notices.RejectionLimit(backend) == 1));
  BOOST_TEST(Respond(5, 301, 400));
  // Less is believed at once.
  BOOST_TEST(Respond(2, 0, 500));
  BOOST_TEST((notices.RejectionLimit(backend) == 2));
}

// Guards against a limit that holds for another backend server or another start, and against one
// that is not reported to a new coordinator.
BOOST_FIXTURE_TEST_CASE(RejectionLimitsAreKeptByStart, Fixture) {
  const BackendStart other{BackendId("b"), 1};
  BOOST_TEST(Respond(3, 0, 100));
  BOOST_TEST(notices.SetRejectionLimit(other, 5, At(0), At(100)));
  BOOST_TEST(Respond({}, 200, 300));
  BOOST_TEST((notices.RejectionLimit(other) == 5));
  const BackendStart next{BackendId("b"), 2};
  BOOST_TEST(!notices.RejectionLimit(next));
  BOOST_TEST(notices.SetRejectionLimit(next, 5, At(300), At(400)));
  BOOST_TEST(!notices.RejectionLimit(other));
  notices.ForgetRejectionLimits();
  BOOST_TEST(notices.SetRejectionLimit(next, 5, At(500), At(600)));
}

}  // namespace bluebellpass::gateway
