#include <boost/test/unit_test.hpp>

#include "gateway/size-balance.h"

namespace bluebellpass::gateway {
namespace {

const TimePoint kStart{Millis{1'000'000}};
constexpr int kRequests = 20'000;

}  // namespace

// Guards against size groups that are far from the largest tenth and the fifth below it when sizes
// differ a hundredfold.
BOOST_AUTO_TEST_CASE(GroupsFollowWhatArrives) {
  SizeBalance balance;
  std::array<int, kSizeGroupCount> counts{};
  // Powers of the same base spread evenly over the logarithm, from 1 to 1,000.
  for (int i = 0; i < kRequests; ++i)
    ++counts.at(static_cast<std::size_t>(balance.Observe(std::pow(10.0, i * 7 % 100 * 0.03))));
  BOOST_TEST(counts[2] > kRequests * 0.08);
  BOOST_TEST(counts[2] < kRequests * 0.12);
  BOOST_TEST(counts[1] > kRequests * 0.17);
  BOOST_TEST(counts[1] < kRequests * 0.23);
}

// Guards against groups that are wrong for long after a start with an unusual request.
BOOST_AUTO_TEST_CASE(GroupsHoldSoonAfterTheStart) {
  SizeBalance balance;
  balance.Observe(100'000);
  std::array<int, kSizeGroupCount> counts{};
  for (int i = 0; i < 100; ++i)
    ++counts.at(static_cast<std::size_t>(balance.Observe(100 + i * 37 % 100)));
  BOOST_TEST(counts[2] >= 5);
  BOOST_TEST(counts[1] >= 10);
  BOOST_TEST(counts[0] >= 50);
}

// Guards against a size that stays behind its kind for as long as overload lasts.
BOOST_AUTO_TEST_CASE(RefusedSizeIsOwedItsPart) {
  SizeBalance balance;
  for (int i = 0; i < 90; ++i) balance.RecordGrant(SizeGroup::kSmall, kStart);
  for (int i = 0; i < 10; ++i) balance.RecordRefusal(SizeGroup::kLargest, kStart);
  BOOST_TEST(balance.DeficitOf(SizeGroup::kSmall) < 0);
  const double owed = balance.DeficitOf(SizeGroup::kLargest);
  BOOST_TEST(owed >= 10 * 0.9 / 2);
  for (int i = 0; i < 10; ++i) balance.RecordGrant(SizeGroup::kLargest, kStart);
  BOOST_TEST(balance.DeficitOf(SizeGroup::kLargest) < owed);
  for (int i = 0; i < 30; ++i) balance.RecordGrant(SizeGroup::kLargest, kStart);
  BOOST_TEST(balance.DeficitOf(SizeGroup::kLargest) < 0);
}

// Guards against answers that are broken off and still count as served.
BOOST_AUTO_TEST_CASE(BrokenOffAnswersAreOwedAgain) {
  SizeBalance balance;
  for (int i = 0; i < 90; ++i) balance.RecordGrant(SizeGroup::kSmall, kStart);
  for (int i = 0; i < 10; ++i) balance.RecordGrant(SizeGroup::kLargest, kStart);
  BOOST_TEST(balance.DeficitOf(SizeGroup::kLargest) < 0);
  for (int i = 0; i < 10; ++i)
    balance.RecordUnserved(SizeGroup::kLargest, true, kStart, kStart + Millis{3'000});
  BOOST_TEST(balance.DeficitOf(SizeGroup::kLargest) > 0);
}

// Guards against large requests that go first because backend servers failed, which hits all sizes.
BOOST_AUTO_TEST_CASE(FailuresOfBackendsAreNotOwed) {
  SizeBalance balance;
  for (int i = 0; i < 90; ++i) balance.RecordGrant(SizeGroup::kSmall, kStart);
  for (int i = 0; i < 10; ++i) balance.RecordGrant(SizeGroup::kLargest, kStart);
  for (int i = 0; i < 10; ++i)
    balance.RecordUnserved(SizeGroup::kLargest, false, kStart, kStart + Millis{3'000});
  BOOST_TEST(balance.DeficitOf(SizeGroup::kLargest) < 1e-6);
}

// Guards against runs of a lost instance, which end without a time, that void the account.
BOOST_AUTO_TEST_CASE(EndWithoutATimeCountsAsNow) {
  SizeBalance balance;
  for (int i = 0; i < 20; ++i) balance.RecordGrant(SizeGroup::kLargest, kStart);
  for (int i = 0; i < 20; ++i) balance.RecordRefusal(SizeGroup::kLargest, kStart);
  balance.RecordUnserved(SizeGroup::kLargest, false, kStart, TimePoint{});
  for (int i = 0; i < 60; ++i) balance.RecordGrant(SizeGroup::kSmall, kStart);
  BOOST_TEST(balance.DeficitOf(SizeGroup::kLargest) > 0);
}

}  // namespace bluebellpass::gateway
