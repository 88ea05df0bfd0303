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
  std::size_t shard_count = 64;  ///< must be the same in all instances
  /// Lifetime of a claim. Entries are removed one hour later, to allow for clock skew.
  Millis retention{24LL * 3'600'000};
  /// Size limit of a shard's document; the object API accepts values of up to one megabyte. A claim
  /// that does not fit waits until claims in its shard expire or are voided.
  std::size_t max_value_bytes = 900'000;
  Millis min_backoff{50};
  Millis max_backoff{2'000};
};

/// Ledger with one object `ledger/<n>` per shard, updated by conditional writes. Each shard has at
/// most one call in flight; claims and voids that arrive meanwhile are batched into the next write.
class StoreLedger : public Ledger {
 public:
  /// @return milliseconds since 1970
  using WallClock = std::function<std::int64_t()>;

  /// @param writer instance id and incarnation; no other process may ever use the same
  /// @param random source of the retry jitter; must outlive the ledger, like store and timers
  StoreLedger(ObjectStore& store, TimerService& timers, std::string writer, WallClock clock,
              std::mt19937_64& random, StoreLedgerOptions options = {});
  /// Abandons pending claims and voids without calling their callbacks.
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
  std::uint64_t m_next_write_number = 1;
  std::shared_ptr<void> m_lifetime = std::make_shared<char>();  ///< observed by the shards
  std::vector<std::shared_ptr<Shard>> m_shards;
};

}  // namespace bluebellpass
