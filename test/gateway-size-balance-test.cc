#include <boost/test/unit_test.hpp>

#include "gateway/decisions/size-balance.h"

namespace bluebellpass::gateway {
namespace {

const TimePoint kStart{Millis{1'000'000}};
constexpr int kRequestCount = 20'000;

}  // namespace

// Guards against size groups that are far from the largest tenth and the fifth below it when sizes
// differ a hundredfold.
BOOST_AUTO_TEST_CASE(GroupBoundsFollowTheQuantiles) {
  SizeBalance balance;
  std::array<int, kSizeGroupCount> counts{};
  // Sizes from 1 to 1,000, spread evenly over the logarithm.
  for (int i = 0; i < kRequestCount; ++i)
    ++counts.at(static_cast<std::size_t>(balance.Observe(std::pow(10.0, i * 7 % 100 * 0.03))));
  BOOST_TEST(counts[2] > kRequestCount * 0.08);
  BOOST_TEST(counts[2] < kRequestCount * 0.12);
  BOOST_TEST(counts[1] > kRequestCount * 0.17);
  BOOST_TEST(counts[1] < kRequestCount * 0.23);
}

// Guards against bounds that stay wrong for long when the first request has an unusual size.
BOOST_AUTO_TEST_CASE(GroupBoundsRecoverFromAnUnusualFirstSize) {
  SizeBalance balance;
  balance.Observe(100'000);
  std::array<int, kSizeGroupCount> counts{};
  for (int i = 0; i < 100; ++i)
    ++counts.at(static_cast<std::size_t>(balance.Observe(100 + i * 37 % 100)));
  BOOST_TEST(counts[2] >= 5);
  BOOST_TEST(counts[1] >= 10);
  BOOST_TEST(counts[0] >= 50);
}

// Guards against a size group that is served less often than its kind while overload lasts.
BOOST_AUTO_TEST_CASE(RefusedGroupHasADeficit) {
  SizeBalance balance;
  for (int i = 0; i < 90; ++i) balance.RecordGrant(SizeGroup::kSmall, kStart);
  for (int i = 0; i < 10; ++i) balance.RecordRefusal(SizeGroup::kLargest, kStart);
  BOOST_TEST(balance.DeficitOf(SizeGroup::kSmall) < 0);
  const double deficit = balance.DeficitOf(SizeGroup::kLargest);
  BOOST_TEST(deficit >= 10 * 0.9 / 2);
  for (int i = 0; i < 10; ++i) balance.RecordGrant(SizeGroup::kLargest, kStart);
  BOOST_TEST(balance.DeficitOf(SizeGroup::kLargest) < deficit);
  for (int i = 0; i < 30; ++i) balance.RecordGrant(SizeGroup::kLargest, kStart);
  BOOST_TEST(balance.DeficitOf(SizeGroup::kLargest) < 0);
}

// Guards against counting requests as served whose responses were cut off.
BOOST_AUTO_TEST_CASE(IncompleteResponsesAddToTheDeficit) {
  SizeBalance balance;
  for (int i = 0; i < 90; ++i) balance.RecordGrant(SizeGroup::kSmall, kStart);
  for (int i = 0; i < 10; ++i) balance.RecordGrant(SizeGroup::kLargest, kStart);
  BOOST_TEST(balance.DeficitOf(SizeGroup::kLargest) < 0);
  for (int i = 0; i < 10; ++i)
    balance.RecordUnserved(SizeGroup::kLargest, true, kStart, kStart + Millis{3'000});
  BOOST_TEST(balance.DeficitOf(SizeGroup::kLargest) > 0);
}

// Guards against preferring large requests after backend servers failed, which affects all sizes.
BOOST_AUTO_TEST_CASE(BackendFailuresDoNotAddToTheDeficit) {
  SizeBalance balance;
  for (int i = 0; i < 90; ++i) balance.RecordGrant(SizeGroup::kSmall, kStart);
  for (int i = 0; i < 10; ++i) balance.RecordGrant(SizeGroup::kLargest, kStart);
  for (int i = 0; i < 10; ++i)
    balance.RecordUnserved(SizeGroup::kLargest, false, kStart, kStart + Millis{3'000});
  BOOST_TEST(balance.DeficitOf(SizeGroup::kLargest) < 1e-6);
}

// Guards against losing the recent counts when the runs of a lost instance end without a time.
BOOST_AUTO_TEST_CASE(EndWithoutATimeCountsAsNow) {
  SizeBalance balance;
  for (int i = 0; i < 20; ++i) balance.RecordGrant(SizeGroup::kLargest, kStart);
  for (int i = 0; i < 20; ++i) balance.RecordRefusal(SizeGroup::kLargest, kStart);
  balance.RecordUnserved(SizeGroup::kLargest, false, kStart, TimePoint{});
  for (int i = 0; i < 60; ++i) balance.RecordGrant(SizeGroup::kSmall, kStart);
  BOOST_TEST(balance.DeficitOf(SizeGroup::kLargest) > 0);
}

}  // namespace bluebellpass::gateway
