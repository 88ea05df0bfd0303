#include "store-ledger.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <variant>

#include "bluebellpass/event.h"
#include "ledger/document.h"

namespace bluebellpass {
namespace {

// Wall clocks of two instances may differ by this much without an entry being dropped early.
constexpr Millis kClockSkewAllowance{3'600'000};
// Doubling is stopped here so that the shift cannot overflow; the bound on the delay is lower.
constexpr unsigned kMaxDoublings = 16;
// Bound of the bytes of the document around the entries; the mark holds the writer name.
constexpr std::size_t kDocumentBytes = 512;

enum class OpKind { kClaim, kVoid };

struct Absent {};
/// How an operation ends: a void ends with Absent.
using Decision = std::variant<ClaimConfirmed, ClaimTaken, Absent>;

/// A claim or a void that has not been reported to its caller.
struct Op {
  OpKind kind = OpKind::kClaim;
  std::string hash;
  RequestId request;
  std::function<void(ClaimOutcome)> done;  ///< of a claim
  std::optional<Decision> decision;        ///< set when the store has confirmed it
  bool is_sent = false;                    ///< has been part of a write
  bool is_reported_unreadable = false;
};

/// Operations by order of arrival.
using OpId = std::uint64_t;
using Ops = std::map<OpId, Op>;

/// A shard as it was read or written last.
struct Snapshot {
  LedgerEntries entries;
  ObjectVersion version;
  OpId as_of = 0;  ///< operations with a smaller id arrived before the call was made
};

/// What the next write of a shard does, and how operations end once it is confirmed.
struct Plan {
  LedgerEntries entries;
  std::vector<std::pair<OpId, Decision>> decisions;
  bool is_change = false;
};

void LogClaimEvent(EventId id, const Op& op) {
  LogEvent(id, {{"request", op.request.Text()}, {"key_hash", op.hash}});
}

}  // namespace

/// One object of the ledger and the operations that wait for it. Shards are kept by shared
/// pointers so that answers of the store can tell whether their ledger still exists.
class StoreLedger::Shard : public std::enable_shared_from_this<StoreLedger::Shard> {
 public:
  Shard(StoreLedger& ledger, std::size_t index)
      : m_ledger(ledger),
        m_ledger_alive(ledger.m_alive),
        m_key("ledger/" + std::to_string(index)),
        m_timer(ledger.m_timers) {}

  void Claim(const std::string& hash, const RequestId& request,
             std::function<void(ClaimOutcome)> done);
  void Void(const std::string& hash, const RequestId& request);
  std::size_t PendingCount() const { return m_ops.size(); }

 private:
  void Advance();
  void Read();
  void OnRead(OpId as_of, Result<VersionedObject> result);
  void OnUnreadable();
  void Step();
  Plan MakePlan() const;
  void PlanVoids(Plan& plan) const;
  void PlanClaims(Plan& plan) const;
  void DecideByReading(Plan plan);
  void Write(Plan plan);
  void OnWritten(Plan plan, OpId as_of, Result<ObjectVersion> result);
  void OnWriteFailed(const Plan& plan, ObjectVersion expected, ErrorKind kind);
  void Decide(const Plan& plan);
  bool Report();
  void Retry();
  std::string NextMark() {
    return m_ledger.m_writer + "/" + std::to_string(m_ledger.m_next_write++);
  }
  void Settle(ObjectVersion seen);
  bool IsOwn(const LedgerEntry& entry, const RequestId& request) const {
    return entry.request == request && entry.writer == m_ledger.m_writer;
  }

  StoreLedger& m_ledger;
  std::weak_ptr<void> m_ledger_alive;  ///< expires with the ledger, also inside a callback
  std::string m_key;
  Timer m_timer;
  Ops m_ops;
  OpId m_next_op = 1;
  bool m_is_busy = false;  ///< a call is in flight or a retry is due
  unsigned m_attempts = 0;
  std::optional<Snapshot> m_snapshot;

  /// Expected version of writes whose answer was lost and that have not been ruled out or found.
  ///
  /// Such a write may still be on its way. Reading the shard back at the same version and without
  /// the entry therefore proves nothing: the write can take effect after the read. It cannot once
  /// the version has risen above its condition, since versions only rise (the ledger never deletes
  /// its objects). So nothing is decided while the version is still this one. The shard is written
  /// again instead, at that version and even if nothing has to change: either this raises the
  /// version, or it conflicts because the lost write, or one of another instance, has raised it.
  /// The content read above this version is then final for the lost write.
  std::optional<ObjectVersion> m_uncertain;
};

void StoreLedger::Shard::Claim(const std::string& hash, const RequestId& request,
                               std::function<void(ClaimOutcome)> done) {
  m_ops[m_next_op++] =
      Op{.kind = OpKind::kClaim, .hash = hash, .request = request, .done = std::move(done)};
  Advance();
}

void StoreLedger::Shard::Void(const std::string& hash, const RequestId& request) {
  // Claims of the request are forgotten here, but not their effects: a write that contains one may
  // be in flight, and the operation that replaces them is decided only after that write is settled.
  std::erase_if(m_ops, [&](const auto& item) {
    return item.second.hash == hash && item.second.request == request;
  });
  m_ops[m_next_op++] = Op{.kind = OpKind::kVoid, .hash = hash, .request = request};
  Advance();
}

void StoreLedger::Shard::Advance() {
  if (m_is_busy) return;
  if (m_ops.empty()) {
    // Other instances write the shard meanwhile, so an old copy would only cause a conflict.
    m_snapshot.reset();
    return;
  }
  if (m_snapshot) {
    Step();
  } else {
    Read();
  }
}

void StoreLedger::Shard::Read() {
  m_is_busy = true;
  m_ledger.m_store.Get(m_key, [weak = weak_from_this(), as_of = m_next_op](auto result) {
    if (auto shard = weak.lock()) shard->OnRead(as_of, std::move(result));
  });
}

void StoreLedger::Shard::OnRead(OpId as_of, Result<VersionedObject> result) {
  m_is_busy = false;
  Snapshot snapshot{.as_of = as_of};
  if (IsOk(result)) {
    const auto& object = std::get<VersionedObject>(result);
    auto entries = ParseLedgerDocument(object.value);
    if (!entries) return OnUnreadable();
    snapshot.entries = std::move(*entries);
    snapshot.version = object.version;
  } else if (ErrorOf(result).kind != ErrorKind::kNotFound) {
    return Retry();
  }
  Settle(snapshot.version);
  m_snapshot = std::move(snapshot);
  Advance();
}

void StoreLedger::Shard::OnUnreadable() {
  for (auto& [id, op] : m_ops) {
    if (op.kind != OpKind::kClaim || std::exchange(op.is_reported_unreadable, true)) continue;
    LogEvent(EventId::kClaimUncertain, {{"request", op.request.Text()},
                                        {"key_hash", op.hash},
                                        {"reason", m_key + " is not a ledger document"}});
  }
  Retry();
}

void StoreLedger::Shard::Settle(ObjectVersion seen) {
  if (m_uncertain && seen.Value() > m_uncertain->Value()) m_uncertain.reset();
}

void StoreLedger::Shard::Step() {
  Plan plan = MakePlan();
  if (plan.is_change || m_uncertain) {
    Write(std::move(plan));
  } else {
    DecideByReading(std::move(plan));
  }
}

Plan StoreLedger::Shard::MakePlan() const {
  Plan plan{.entries = m_snapshot->entries};
  DropExpired(plan.entries, m_ledger.m_clock(), m_ledger.m_options.retention + kClockSkewAllowance);
  PlanVoids(plan);
  PlanClaims(plan);
  return plan;
}

void StoreLedger::Shard::PlanVoids(Plan& plan) const {
  for (const auto& [id, op] : m_ops) {
    if (op.kind != OpKind::kVoid) continue;
    // The entry is looked up as stored: one that has just expired must be removed as well.
    const auto found = m_snapshot->entries.find(op.hash);
    if (found != m_snapshot->entries.end() && IsOwn(found->second, op.request)) {
      plan.entries.erase(op.hash);
      plan.is_change = true;
    }
    plan.decisions.emplace_back(id, Absent{});
  }
}

void StoreLedger::Shard::PlanClaims(Plan& plan) const {
  std::size_t bytes = kDocumentBytes;
  for (const auto& [hash, entry] : plan.entries) bytes += LedgerEntryBytes(hash, entry);
  for (const auto& [id, op] : m_ops) {
    if (op.kind != OpKind::kClaim) continue;
    if (const auto found = plan.entries.find(op.hash); found != plan.entries.end()) {
      const bool is_own = IsOwn(found->second, op.request);
      plan.decisions.emplace_back(
          id, is_own ? Decision{ClaimConfirmed{}} : Decision{ClaimTaken{found->second.request}});
      continue;
    }
    LedgerEntry entry{.request = op.request, .writer = m_ledger.m_writer, .at = m_ledger.m_clock()};
    const std::size_t added = LedgerEntryBytes(op.hash, entry);
    if (bytes + added > m_ledger.m_options.max_value_bytes) continue;
    bytes += added;
    plan.entries.emplace(op.hash, std::move(entry));
    plan.is_change = true;
    plan.decisions.emplace_back(id, ClaimConfirmed{});
  }
}

/// Ends the operations that need no write. An older copy of the shard may name a holder that has
/// been voided since, so this concerns only those that arrived before the read began; the others
/// wait for the next read.
void StoreLedger::Shard::DecideByReading(Plan plan) {
  const OpId as_of = m_snapshot->as_of;
  std::erase_if(plan.decisions, [&](const auto& item) { return item.first >= as_of; });
  Decide(plan);
  const auto waiting = std::distance(m_ops.begin(), m_ops.lower_bound(as_of));
  m_snapshot.reset();
  // Claims are left over when they do not fit into the shard.
  if (std::cmp_less(plan.decisions.size(), waiting)) Retry();
  if (Report()) Advance();
}

void StoreLedger::Shard::Write(Plan plan) {
  m_is_busy = true;
  for (const auto& [id, decision] : plan.decisions) {
    Op& op = m_ops.at(id);
    if (op.kind == OpKind::kVoid || std::exchange(op.is_sent, true)) continue;
    LogClaimEvent(EventId::kClaimSent, op);
  }
  std::string value = FormatLedgerDocument(plan.entries, NextMark());
  const ObjectVersion expected = m_snapshot->version;
  m_ledger.m_store.Put(
      m_key, std::move(value), expected,
      [weak = weak_from_this(), plan = std::move(plan), as_of = m_next_op](auto result) mutable {
        if (auto shard = weak.lock()) shard->OnWritten(std::move(plan), as_of, std::move(result));
      });
}

void StoreLedger::Shard::OnWritten(Plan plan, OpId as_of, Result<ObjectVersion> result) {
  m_is_busy = false;
  const ObjectVersion expected = m_snapshot->version;
  m_snapshot.reset();
  if (!IsOk(result)) return OnWriteFailed(plan, expected, ErrorOf(result).kind);
  const ObjectVersion version = std::get<ObjectVersion>(result);
  Settle(version);
  // Only possible if the object was deleted by hand, which lets its versions begin anew.
  if (m_uncertain) return Retry();
  m_attempts = 0;
  Decide(plan);
  m_snapshot = Snapshot{.entries = std::move(plan.entries), .version = version, .as_of = as_of};
  if (Report()) Advance();
}

void StoreLedger::Shard::OnWriteFailed(const Plan& plan, ObjectVersion expected, ErrorKind kind) {
  if (kind != ErrorKind::kConflict && kind != ErrorKind::kStoreUnavailable) {
    // Any other failure may come after the write has taken effect.
    if (!m_uncertain || expected.Value() > m_uncertain->Value()) m_uncertain = expected;
    for (const auto& [id, decision] : plan.decisions) {
      const auto found = m_ops.find(id);
      if (found == m_ops.end() || found->second.kind == OpKind::kVoid) continue;
      LogClaimEvent(EventId::kClaimUncertain, found->second);
    }
  }
  const bool is_first_conflict = kind == ErrorKind::kConflict && m_attempts == 0;
  if (!is_first_conflict) return Retry();
  ++m_attempts;
  Advance();
}

/// Notes how operations end. One that was withdrawn meanwhile has another id and is not concerned.
void StoreLedger::Shard::Decide(const Plan& plan) {
  for (const auto& [id, decision] : plan.decisions) {
    const auto found = m_ops.find(id);
    if (found != m_ops.end()) found->second.decision = decision;
  }
}

/// Tells the callers of all decided operations. They may claim, void or destroy the ledger in their
/// callbacks; a void withdraws a claim that is decided but not yet reported.
/// @return false when the ledger is gone
bool StoreLedger::Shard::Report() {
  const bool was_busy = std::exchange(m_is_busy, true);
  while (true) {
    const auto found = std::find_if(m_ops.begin(), m_ops.end(),
                                    [](const auto& item) { return item.second.decision; });
    if (found == m_ops.end()) break;
    const Op op = std::move(m_ops.extract(found).mapped());
    if (std::holds_alternative<Absent>(*op.decision)) {
      LogClaimEvent(EventId::kClaimVoided, op);
    } else if (const auto* taken = std::get_if<ClaimTaken>(&*op.decision)) {
      LogEvent(EventId::kClaimTaken, {{"request", op.request.Text()},
                                      {"key_hash", op.hash},
                                      {"holder", taken->holder.Text()}});
      op.done(*taken);
    } else {
      LogClaimEvent(EventId::kClaimConfirmed, op);
      op.done(ClaimConfirmed{});
    }
    if (m_ledger_alive.expired()) return false;
  }
  m_is_busy = was_busy;
  return true;
}

/// Reads the shard again after a delay that doubles with each attempt. The jitter keeps instances
/// that failed together from retrying together.
void StoreLedger::Shard::Retry() {
  const auto& options = m_ledger.m_options;
  const Millis doubled{options.first_backoff.count() << std::min(m_attempts, kMaxDoublings)};
  const Millis longest = std::min(options.last_backoff, doubled);
  ++m_attempts;
  std::uniform_int_distribution<std::int64_t> jitter(longest.count() / 2, longest.count());
  m_is_busy = true;
  m_snapshot.reset();
  m_timer.Start(Millis{jitter(m_ledger.m_random)}, [this] {
    m_is_busy = false;
    Advance();
  });
}

StoreLedger::StoreLedger(ObjectStore& store, TimerService& timers, std::string writer,
                         WallClock clock, std::mt19937_64& random, StoreLedgerOptions options)
    : m_store(store),
      m_timers(timers),
      m_writer(std::move(writer)),
      m_clock(std::move(clock)),
      m_random(random),
      m_options(options) {
  for (std::size_t i = 0; i < m_options.shards; ++i) {
    m_shards.push_back(std::make_shared<Shard>(*this, i));
  }
}

StoreLedger::~StoreLedger() = default;

void StoreLedger::Claim(const ClaimKey& key, const RequestId& request,
                        std::function<void(ClaimOutcome)> done) {
  const KeyHash hash = HashClaimKey(key, m_options.shards);
  ShardAt(hash.shard).Claim(hash.text, request, std::move(done));
}

void StoreLedger::Void(const ClaimKey& key, const RequestId& request) {
  const KeyHash hash = HashClaimKey(key, m_options.shards);
  ShardAt(hash.shard).Void(hash.text, request);
}

std::size_t StoreLedger::PendingCount() const {
  std::size_t count = 0;
  for (const auto& shard : m_shards) count += shard->PendingCount();
  return count;
}

}  // namespace bluebellpass
