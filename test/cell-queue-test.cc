#include "policy/cell-queue.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace bluebellpass {
namespace {

constexpr TierRank kUrgent{0};
constexpr TierRank kBatch{1};
constexpr int kItemCount = 100000;
constexpr int kOrganisationCount = 48000;

TimePoint At(int millis) { return TimePoint(Millis{millis}); }
bool CanAlwaysStart(const QueuedReservation& /*item*/) { return true; }

QueuedReservation MakeItem(const std::string& id, TierRank rank, const std::string& organisation,
                           int deadline = 60000, int tokens = 100) {
  return {.reservation = {.id = RequestId(id),
                          .organisation = OrganisationId(organisation),
                          .prompt_tokens = Tokens(tokens),
                          .bytes = 10},
          .rank = rank,
          .deadline = At(deadline)};
}

std::string GrantNext(CellQueue& queue, TimePoint now) {
  const QueuedReservation* item = queue.FindNext(now, CanAlwaysStart);
  return item == nullptr ? "" : queue.Grant(item->reservation.id, now)->reservation.id.Text();
}

// Items are granted by tier rank, then by earliest deadline; a duplicate id is rejected.
BOOST_AUTO_TEST_CASE(GrantsByRankThenDeadline) {
  CellQueue queue;
  queue.Add(MakeItem("batch", kBatch, "o"));
  queue.Add(MakeItem("late", kUrgent, "o", 5000));
  queue.Add(MakeItem("early", kUrgent, "o", 1000));
  BOOST_TEST(!queue.Add(MakeItem("early", kUrgent, "o", 1)));
  BOOST_TEST(GrantNext(queue, At(0)) == "early");
  BOOST_TEST(GrantNext(queue, At(0)) == "late");
  BOOST_TEST(GrantNext(queue, At(0)) == "batch");
  BOOST_TEST(GrantNext(queue, At(0)).empty());
}

// Grants made while a tier had the servers to itself must not count against its minimum share, or
// it starves when an urgent tier overloads them.
BOOST_AUTO_TEST_CASE(UncontestedGrantsDoNotCountAgainstShare) {
  CellQueue queue;
  queue.SetMinShare(kBatch, 0.2);
  for (int i = 0; i < 400; ++i) queue.Add(MakeItem("b" + std::to_string(i), kBatch, "o"));
  for (int i = 0; i < 200; ++i) GrantNext(queue, At(i));
  for (int i = 0; i < 400; ++i) queue.Add(MakeItem("u" + std::to_string(i), kUrgent, "o"));
  int batch = 0;
  for (int i = 0; i < 100; ++i) batch += GrantNext(queue, At(200 + i))[0] == 'b' ? 1 : 0;
  BOOST_TEST(batch == 20);
}

// In a long queue, the earliest deadlines may all need a faster server. The free server must take a
// later deadline of the tier instead of idling or running a lower tier.
BOOST_AUTO_TEST_CASE(TriesLatestDeadlineWhenEarliestCannotStart) {
  CellQueue queue;
  for (int i = 1; i <= 50; ++i) queue.Add(MakeItem(std::to_string(i), kUrgent, "o", 1000 * i));
  queue.Add(MakeItem("batch", kBatch, "o", 60000));
  const auto can_start = [](const QueuedReservation& item) { return item.deadline >= At(30000); };
  const QueuedReservation* item = queue.FindNext(At(0), can_start);
  BOOST_REQUIRE(item != nullptr);
  BOOST_TEST(item->reservation.id.Text() == "50");
}

// An overloaded urgent tier must not starve a lower tier of its minimum share, which ends under a
// shed floor.
BOOST_AUTO_TEST_CASE(MinimumShareHoldsUnlessBelowFloor) {
  CellQueue queue;
  queue.SetMinShare(kBatch, 0.2);
  for (int i = 0; i < 400; ++i) {
    queue.Add(MakeItem("u" + std::to_string(i), kUrgent, "o"));
    queue.Add(MakeItem("b" + std::to_string(i), kBatch, "o"));
  }
  int batch = 0;
  for (int i = 0; i < 200; ++i) batch += GrantNext(queue, At(i))[0] == 'b' ? 1 : 0;
  BOOST_TEST(batch == 40);
  queue.SetShedFloor(kUrgent);
  for (int i = 0; i < 100; ++i) BOOST_TEST(GrantNext(queue, At(200 + i))[0] == 'u');
}

// An organisation must not get more than its weight by sending more requests, nor gain credit while
// idle.
BOOST_AUTO_TEST_CASE(SharesTokensByOrganisationWeight) {
  CellQueue queue;
  for (int i = 0; i < 300; ++i) queue.Add(MakeItem("l" + std::to_string(i), kUrgent, "large"));
  for (int i = 0; i < 50; ++i) GrantNext(queue, At(i));
  for (int i = 0; i < 100; ++i) {
    QueuedReservation item = MakeItem("s" + std::to_string(i), kUrgent, "small");
    item.weight = 2;
    queue.Add(item);
  }
  int small = 0;
  for (int i = 0; i < 90; ++i) small += GrantNext(queue, At(100 + i))[0] == 's' ? 1 : 0;
  BOOST_TEST(small >= 59);
  BOOST_TEST(small <= 61);
}

// An item that cannot start must not block the items behind it.
BOOST_AUTO_TEST_CASE(SkipsItemsThatCannotStart) {
  CellQueue queue;
  queue.Add(MakeItem("large", kUrgent, "o", 1000, 9000));
  queue.Add(MakeItem("small", kUrgent, "o", 2000));
  const QueuedReservation* item = queue.FindNext(
      At(0), [](const QueuedReservation& i) { return i.TotalTokens() < Tokens(1000); });
  BOOST_REQUIRE(item != nullptr);
  BOOST_TEST(item->reservation.id.Text() == "small");
}

// Shedding removes the latest deadline of the largest organisation, and lower tiers before higher
// ones.
BOOST_AUTO_TEST_CASE(ShedsLowestTierAndLatestDeadlineFirst) {
  CellQueue queue;
  queue.Add(MakeItem("a1", kBatch, "a", 100));
  queue.Add(MakeItem("a2", kBatch, "a", 200));
  queue.Add(MakeItem("b1", kBatch, "b", 900));
  queue.Add(MakeItem("c1", TierRank(2), "c", 50));
  queue.Add(MakeItem("u1", kUrgent, "u", 50));
  BOOST_TEST(queue.LeastUrgentWaitingRank()->Value() == 2);
  BOOST_TEST(queue.RemoveFromLargestOrganisation(kBatch)->reservation.id.Text() == "a2");
  std::string ids;
  for (const QueuedReservation& row : queue.RemoveBelow(kUrgent)) ids += row.reservation.id.Text();
  BOOST_TEST(ids == "c1b1a1");
  BOOST_TEST(queue.Size() == 1);
  BOOST_TEST(queue.RemoveExpired(At(49)).empty());
  BOOST_TEST(queue.RemoveExpired(At(50)).size() == 1);
}

// The sizes and byte sums per tier must match the items after many operations, and a large queue
// must stay fast.
BOOST_AUTO_TEST_CASE(LargeQueueKeepsConsistentSums) {
  std::mt19937 random(7);
  CellQueue queue;
  for (int i = 0; i < kItemCount; ++i) {
    const TierRank rank{static_cast<std::uint32_t>(random() % 3)};
    queue.Add(MakeItem(std::to_string(i), rank, std::to_string(random() % kOrganisationCount),
                       static_cast<int>(random() % 100000), static_cast<int>(random() % 1000)));
  }
  for (int i = 0; i < kItemCount / 2; ++i) {
    BOOST_REQUIRE(!GrantNext(queue, At(i / 10)).empty());
    if (i % 10 == 0) queue.Remove(RequestId(std::to_string(random() % kItemCount)));
  }
  std::size_t size = 0;
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    size += queue.Size(TierRank(rank));
    BOOST_TEST(queue.Bytes(TierRank(rank)) ==
               static_cast<std::int64_t>(queue.Size(TierRank(rank))) * 10);
  }
  BOOST_TEST(size == queue.Size());
  queue.RemoveExpired(At(100000));
  BOOST_TEST(queue.Size() == 0);
}

}  // namespace
}  // namespace bluebellpass
