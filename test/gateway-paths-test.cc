#include <boost/test/unit_test.hpp>

#include "gateway/state/backend-paths.h"

namespace bluebellpass::gateway {
namespace {

const TimePoint kStart{Millis{1'000'000}};
constexpr std::size_t kKnown = 20;

TimePoint At(int milliseconds) { return kStart + Millis{milliseconds}; }
BackendId Id(const std::string& name) { return BackendId(name); }

}  // namespace

// Guards against a backend server that is reported because one instance has lost its own path.
BOOST_AUTO_TEST_CASE(FailureIsUnexplainedWithoutAConnection) {
  BackendPaths paths;
  BOOST_TEST(!paths.RecordFailure(Id("a"), At(0), At(1)));
  BOOST_TEST(paths.IsUnexplained(Id("a")));
  BOOST_TEST(!paths.IsStranded(kKnown));
  // A connection that was established before the failed one was tried shows nothing.
  paths.RecordConnected(Id("b"), At(2));
  BOOST_TEST(!paths.RecordFailure(Id("c"), At(3), At(4)));
}

// Guards against a crashed backend server that is not reported.
BOOST_AUTO_TEST_CASE(ConnectionToAnotherExplainsAFailure) {
  BackendPaths paths;
  paths.RecordFailure(Id("a"), At(0), At(1));
  BOOST_TEST((paths.RecordConnected(Id("b"), At(2)) == std::vector{Id("a")}));
  BOOST_TEST(!paths.IsUnexplained(Id("a")));
  BOOST_TEST(paths.RecordFailure(Id("c"), At(1), At(5)));
}

// Guards against a report of a backend server that has been reached again.
BOOST_AUTO_TEST_CASE(ConnectionToTheSameOneExplainsNothing) {
  BackendPaths paths;
  paths.RecordFailure(Id("a"), At(0), At(1));
  BOOST_TEST(paths.RecordConnected(Id("a"), At(2)).empty());
  BOOST_TEST(!paths.IsUnexplained(Id("a")));
}

// Guards against reports of all backend servers at the moment at which the path comes back, and of
// one that failed long ago.
BOOST_AUTO_TEST_CASE(ReturnOfThePathExplainsNothing) {
  BackendPaths paths;
  for (const char* name : {"a", "b", "c"}) paths.RecordFailure(Id(name), At(0), At(1));
  BOOST_TEST(paths.IsStranded(kKnown));
  BOOST_TEST(paths.RecordConnected(Id("d"), At(2)).empty());
  BOOST_TEST(!paths.IsStranded(kKnown));
  paths.RecordFailure(Id("a"), At(3), At(4));
  BOOST_TEST(paths.RecordConnected(Id("d"), At(1'505)).empty());
}

// Guards against an instance that takes a crash of one or two for the loss of its path, and against
// one that never does because fewer are registered.
BOOST_AUTO_TEST_CASE(StrandedInstanceHasReachedNone) {
  BackendPaths paths;
  paths.RecordFailure(Id("a"), At(0), At(1));
  paths.RecordFailure(Id("a"), At(2), At(3));
  BOOST_TEST(!paths.IsStranded(1));
  BOOST_TEST(!paths.IsStranded(2));
  paths.RecordFailure(Id("b"), At(4), At(5));
  BOOST_TEST(paths.IsStranded(2));
  BOOST_TEST(!paths.IsStranded(kKnown));
  paths.RecordFailure(Id("c"), At(4), At(5));
  BOOST_TEST(paths.IsStranded(kKnown));
  paths.Remove(Id("c"));
  BOOST_TEST(!paths.IsStranded(kKnown));
}

// Guards against verdicts over backend servers whose connections an instance loses all at once.
BOOST_AUTO_TEST_CASE(LossesAtTheSameTimeAreNoEvidence) {
  BackendPaths paths;
  BOOST_TEST(paths.RecordLoss(Id("a"), At(0)));
  BOOST_TEST(paths.RecordLoss(Id("a"), At(1)));
  BOOST_TEST(paths.RecordLoss(Id("b"), At(2)));
  BOOST_TEST(!paths.RecordLoss(Id("c"), At(3)));
  BOOST_TEST(!paths.RecordLoss(Id("a"), At(4)));
  BOOST_TEST(paths.RecordLoss(Id("d"), At(400)));
  BOOST_TEST(paths.RecordLoss(Id("a"), At(401)));
  paths.RecordConnected(Id("e"), At(402));
  BOOST_TEST(paths.RecordLoss(Id("b"), At(403)));
}

}  // namespace bluebellpass::gateway
