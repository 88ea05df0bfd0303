#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bluebellpass/store.h"
#include "bluebellpass/timer.h"
#include "ledger/ledger.h"

namespace bluebellpass {

struct StoreLedgerOptions {
  std::size_t shards = 64;  ///< must be the same in all instances
  /// How long a claim is kept. Entries are dropped one hour later, for skewed clocks.
  Millis retention{24LL * 3'600'000};
  /// Bound of a shard's value in bytes; the object API takes values of up to a megabyte. A claim
  /// that does not fit waits until entries of its shard expire or are voided.
  std::size_t max_value_bytes = 900'000;
  Millis first_backoff{50};
  Millis last_backoff{2'000};
};

/// Ledger in the object API: `ledger/<n>` for each shard, written conditionally on the version that
/// was read. At most one call per shard is in flight; claims and voids that arrive meanwhile join
/// the next write.
class StoreLedger : public Ledger {
 public:
  /// @return milliseconds since 1970
  using WallClock = std::function<std::int64_t()>;

  /// @param writer instance id and incarnation; no other process may ever use the same
  /// @param random source of the jitter of retries; must outlive the ledger, as the services must
  StoreLedger(ObjectStore& store, TimerService& timers, std::string writer, WallClock clock,
              std::mt19937_64& random, StoreLedgerOptions options = {});
  /// Pending claims and voids are abandoned; no callback follows.
  ~StoreLedger() override;
  StoreLedger(const StoreLedger&) = delete;
  StoreLedger& operator=(const StoreLedger&) = delete;

  void Claim(const ClaimKey& key, const RequestId& request,
             std::function<void(ClaimOutcome)> done) override;
  void Void(const ClaimKey& key, const RequestId& request) override;
  std::size_t PendingCount() const override;

 private:
  class Shard;

  Shard& ShardAt(std::size_t index) { return *m_shards[index]; }

  ObjectStore& m_store;
  TimerService& m_timers;
  std::string m_writer;
  WallClock m_clock;
  std::mt19937_64& m_random;
  StoreLedgerOptions m_options;
  std::uint64_t m_next_write = 1;
  std::shared_ptr<void> m_alive = std::make_shared<char>();
  std::vector<std::shared_ptr<Shard>> m_shards;
};

}  // namespace bluebellpass
