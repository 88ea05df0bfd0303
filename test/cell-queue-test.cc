#include "policy/cell-queue.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace bluebellpass {
namespace {

constexpr TierRank kUrgent{0};
constexpr TierRank kBatch{1};
constexpr int kItems = 100000;
constexpr int kOrganisations = 48000;

TimePoint At(int millis) { return TimePoint(Millis{millis}); }
bool Always(const QueuedReservation& /*item*/) { return true; }

QueuedReservation Item(const std::string& id, TierRank rank, const std::string& organisation,
                       int deadline = 60000, int tokens = 100) {
  return {.reservation = {.id = RequestId(id),
                          .organisation = OrganisationId(organisation),
                          .prompt_tokens = Tokens(tokens),
                          .bytes = 10},
          .rank = rank,
          .deadline = At(deadline)};
}

std::string GrantNext(CellQueue& queue, TimePoint now) {
  const QueuedReservation* item = queue.FindNext(now, Always);
  return item == nullptr ? "" : queue.Grant(item->reservation.id, now)->reservation.id.Text();
}

// Guards against work of a lower tier that goes first, and against late deadlines that do.
BOOST_AUTO_TEST_CASE(RankThenDeadline) {
  CellQueue queue;
  queue.Add(Item("batch", kBatch, "o"));
  queue.Add(Item("late", kUrgent, "o", 5000));
  queue.Add(Item("early", kUrgent, "o", 1000));
  BOOST_TEST(!queue.Add(Item("early", kUrgent, "o", 1)));
  BOOST_TEST(GrantNext(queue, At(0)) == "early");
  BOOST_TEST(GrantNext(queue, At(0)) == "late");
  BOOST_TEST(GrantNext(queue, At(0)) == "batch");
  BOOST_TEST(GrantNext(queue, At(0)).empty());
}

// Guards against a lower tier that starves in a flood because it had the servers to itself before.
BOOST_AUTO_TEST_CASE(NoDebtForUncontestedWork) {
  CellQueue queue;
  queue.SetMinShare(kBatch, 0.2);
  for (int i = 0; i < 400; ++i) queue.Add(Item("b" + std::to_string(i), kBatch, "o"));
  for (int i = 0; i < 200; ++i) GrantNext(queue, At(i));
  for (int i = 0; i < 400; ++i) queue.Add(Item("u" + std::to_string(i), kUrgent, "o"));
  int batch = 0;
  for (int i = 0; i < 100; ++i) batch += GrantNext(queue, At(200 + i))[0] == 'b' ? 1 : 0;
  BOOST_TEST(batch == 20);
}

// Guards against a server that idles, or runs a lower tier, because the earliest deadlines in a
// long queue need a faster one.
BOOST_AUTO_TEST_CASE(LatestDeadlineWhenTheEarliestDoNotFit) {
  CellQueue queue;
  for (int i = 1; i <= 50; ++i) queue.Add(Item(std::to_string(i), kUrgent, "o", 1000 * i));
  queue.Add(Item("batch", kBatch, "o", 60000));
  const auto fits = [](const QueuedReservation& item) { return item.deadline >= At(30000); };
  const QueuedReservation* item = queue.FindNext(At(0), fits);
  BOOST_REQUIRE(item != nullptr);
  BOOST_TEST(item->reservation.id.Text() == "50");
}

// Guards against starvation of a lower tier by an urgent flood, and a share that a floor keeps up.
BOOST_AUTO_TEST_CASE(MinimumShare) {
  CellQueue queue;
  queue.SetMinShare(kBatch, 0.2);
  for (int i = 0; i < 400; ++i) {
    queue.Add(Item("u" + std::to_string(i), kUrgent, "o"));
    queue.Add(Item("b" + std::to_string(i), kBatch, "o"));
  }
  int batch = 0;
  for (int i = 0; i < 200; ++i) batch += GrantNext(queue, At(i))[0] == 'b' ? 1 : 0;
  BOOST_TEST(batch == 40);
  queue.SetShedFloor(kUrgent);
  for (int i = 0; i < 100; ++i) BOOST_TEST(GrantNext(queue, At(200 + i))[0] == 'u');
}

// Guards against a caller with many requests that gets more than its weight, and against one that
// saves up credit while idle.
BOOST_AUTO_TEST_CASE(FairOverOrganisations) {
  CellQueue queue;
  for (int i = 0; i < 300; ++i) queue.Add(Item("l" + std::to_string(i), kUrgent, "large"));
  for (int i = 0; i < 50; ++i) GrantNext(queue, At(i));
  for (int i = 0; i < 100; ++i) {
    QueuedReservation item = Item("s" + std::to_string(i), kUrgent, "small");
    item.weight = 2;
    queue.Add(item);
  }
  int small = 0;
  for (int i = 0; i < 90; ++i) small += GrantNext(queue, At(100 + i))[0] == 's' ? 1 : 0;
  BOOST_TEST(small >= 59);
  BOOST_TEST(small <= 61);
}

// Guards against an item without room that blocks those behind it.
BOOST_AUTO_TEST_CASE(SkipsWhatDoesNotFit) {
  CellQueue queue;
  queue.Add(Item("large", kUrgent, "o", 1000, 9000));
  queue.Add(Item("small", kUrgent, "o", 2000));
  const QueuedReservation* item = queue.FindNext(
      At(0), [](const QueuedReservation& i) { return i.TotalTokens() < Tokens(1000); });
  BOOST_REQUIRE(item != nullptr);
  BOOST_TEST(item->reservation.id.Text() == "small");
}

// Guards against the wrong victim, and against shedding order that drops a higher tier first.
BOOST_AUTO_TEST_CASE(SheddingOrder) {
  CellQueue queue;
  queue.Add(Item("a1", kBatch, "a", 100));
  queue.Add(Item("a2", kBatch, "a", 200));
  queue.Add(Item("b1", kBatch, "b", 900));
  queue.Add(Item("c1", TierRank(2), "c", 50));
  queue.Add(Item("u1", kUrgent, "u", 50));
  BOOST_TEST(queue.LeastUrgentWaitingRank()->Value() == 2);
  BOOST_TEST(queue.RemoveFromLargestOrganisation(kBatch)->reservation.id.Text() == "a2");
  std::string ids;
  for (const QueuedReservation& row : queue.RemoveBelow(kUrgent)) ids += row.reservation.id.Text();
  BOOST_TEST(ids == "c1b1a1");
  BOOST_TEST(queue.Size() == 1);
  BOOST_TEST(queue.RemoveExpired(At(49)).empty());
  BOOST_TEST(queue.RemoveExpired(At(50)).size() == 1);
}

// Guards against sums that drift from the items, and against a size that makes it unusable.
BOOST_AUTO_TEST_CASE(LargeQueueKeepsItsSums) {
  std::mt19937 random(7);
  CellQueue queue;
  for (int i = 0; i < kItems; ++i) {
    const TierRank rank{static_cast<std::uint32_t>(random() % 3)};
    queue.Add(Item(std::to_string(i), rank, std::to_string(random() % kOrganisations),
                   static_cast<int>(random() % 100000), static_cast<int>(random() % 1000)));
  }
  for (int i = 0; i < kItems / 2; ++i) {
    BOOST_REQUIRE(!GrantNext(queue, At(i / 10)).empty());
    if (i % 10 == 0) queue.Remove(RequestId(std::to_string(random() % kItems)));
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
