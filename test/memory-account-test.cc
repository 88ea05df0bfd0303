#include "kernel/memory-account.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

namespace bluebellpass {

// Guards against memory that grows beyond the limit, and against small holders that have to give
// way to a large one.
BOOST_AUTO_TEST_CASE(LargestHoldersReleaseTheirBytes) {
  MemoryAccount account(1'000);
  int small_evictions = 0;
  int large_evictions = 0;
  std::vector<std::unique_ptr<MemoryAccount::Holder>> small;
  for (int i = 0; i < 10; ++i) {
    small.push_back(std::make_unique<MemoryAccount::Holder>(&account, [&] { ++small_evictions; }));
    small.back()->Set(50);
  }
  MemoryAccount::Holder large(&account, [&] { ++large_evictions; });
  large.Set(500);
  BOOST_TEST(account.Used() == 1'000U);
  BOOST_TEST(account.IsScarce());
  small[0]->Set(51);
  BOOST_TEST(large_evictions == 1);
  BOOST_TEST(small_evictions == 0);
  BOOST_TEST(large.Bytes() == 0U);
  BOOST_TEST(account.Used() == 501U);
  BOOST_TEST(account.EvictionCount() == 1U);
  small.clear();
  BOOST_TEST(account.Used() == 0U);
  BOOST_TEST(!account.IsScarce());
}

// Guards against bytes that are counted after their holder has gone, or has gone in its callback.
BOOST_AUTO_TEST_CASE(HolderMayBeDestroyedByItsEviction) {
  MemoryAccount account(100);
  auto first = std::make_unique<MemoryAccount::Holder>(&account, nullptr);
  first->Set(60);
  std::unique_ptr<MemoryAccount::Holder> second;
  second = std::make_unique<MemoryAccount::Holder>(&account, [&] { second.reset(); });
  second->Set(90);
  BOOST_TEST(second == nullptr);
  BOOST_TEST(account.Used() == 60U);
  // Bytes that cannot be released are counted, also above the limit.
  first->Set(150);
  BOOST_TEST(account.Used() == 150U);
  first.reset();
  BOOST_TEST(account.Used() == 0U);
  MemoryAccount::Holder unlimited(nullptr, nullptr);
  unlimited.Set(1'000);
}

}  // namespace bluebellpass
