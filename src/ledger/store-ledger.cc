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

// An entry is never removed early if the instances' wall clocks differ by at most this much.
constexpr Millis kClockSkewAllowance{3'600'000};
// Keeps the shift from overflowing; max_backoff is reached earlier.
constexpr unsigned kMaxBackoffDoublings = 16;
// Upper bound of the size of the document without entries; includes the write id, which names the
// writer.
constexpr std::size_t kDocumentOverheadBytes = 512;

enum class OpKind { kClaim, kVoid };

/// The store does not hold the claim and will not.
struct ClaimVoided {};
using Decision = std::variant<ClaimConfirmed, ClaimTaken, ClaimVoided>;

/// A claim or void whose result has not been reported yet.
struct Op {
  OpKind kind = OpKind::kClaim;
  std::string hash;
  RequestId request;
  std::function<void(ClaimOutcome)> done;  ///< set for claims
  std::optional<Decision> decision;        ///< result, set once the store has confirmed it
  bool is_sent = false;                    ///< was part of a write
  bool is_malformed_logged = false;
};

/// Ascending in order of arrival.
using OpId = std::uint64_t;
using Ops = std::map<OpId, Op>;

/// Content of a shard after the last read or write.
struct Snapshot {
  LedgerEntries entries;
  ObjectVersion version;
  OpId ops_end = 0;  ///< operations with smaller ids arrived before the call was sent
};

/// New entries of a shard, and the results of operations once the store has confirmed the entries.
struct Plan {
  LedgerEntries entries;
  std::vector<std::pair<OpId, Decision>> decisions;
  bool has_changes = false;
};

void LogClaimEvent(EventId id, const Op& op) {
  LogEvent(id, {{"request", op.request.Text()}, {"key_hash", op.hash}});
}

}  // namespace

/// One object of the ledger and its pending operations. Owned by shared_ptr so that store callbacks
/// can detect that the ledger was destroyed.
class StoreLedger::Shard : public std::enable_shared_from_this<StoreLedger::Shard> {
 public:
  Shard(StoreLedger& ledger, std::size_t index)
      : m_ledger(ledger),
        m_ledger_lifetime(ledger.m_lifetime),
        m_object_key("ledger/" + std::to_string(index)),
        m_retry_timer(ledger.m_timers) {}

  void Claim(const std::string& hash, const RequestId& request,
             std::function<void(ClaimOutcome)> done);
  void Void(const std::string& hash, const RequestId& request);
  std::size_t PendingCount() const { return m_ops.size(); }

 private:
  void ProcessOps();
  void ReadObject();
  void OnRead(OpId ops_end, Result<VersionedObject> result);
  void OnMalformedDocument();
  void ExecutePlan();
  Plan MakePlan() const;
  void PlanVoids(Plan& plan) const;
  void PlanClaims(Plan& plan) const;
  void CompleteWithoutWrite(Plan plan);
  void WriteObject(Plan plan);
  void OnWritten(Plan plan, OpId ops_end, Result<ObjectVersion> result);
  void OnWriteFailed(const Plan& plan, ObjectVersion expected, ErrorKind kind);
  void RecordDecisions(const Plan& plan);
  bool ReportDecided();
  void ScheduleRetry();
  std::string NextWriteId() {
    return m_ledger.m_writer + "/" + std::to_string(m_ledger.m_next_write_number++);
  }
  void ClearUncertaintyBelow(ObjectVersion seen);
  bool IsOwnClaim(const LedgerEntry& entry, const RequestId& request) const {
    return entry.request == request && entry.writer == m_ledger.m_writer;
  }

  StoreLedger& m_ledger;
  std::weak_ptr<void> m_ledger_lifetime;  ///< detects callbacks that destroy the ledger
  std::string m_object_key;
  Timer m_retry_timer;
  Ops m_ops;
  OpId m_next_op_id = 1;
  bool m_is_busy = false;          ///< a call is in flight, or a retry is scheduled
  unsigned m_failed_attempts = 0;  ///< since the last successful write
  std::optional<Snapshot> m_snapshot;

  /// Expected version of writes whose response was lost and that may still take effect.
  ///
  /// A read that returns this version without the entry proves nothing, since the write may be
  /// applied after the read. Once the object's version is higher, the write can no longer be
  /// applied, because versions only increase (the ledger never deletes its objects). No operation
  /// is therefore decided at this version. The shard is written again at this version, even without
  /// a change: either that raises the version, or it conflicts because the lost write or another
  /// instance has raised it. Content at a higher version shows whether the lost write was applied.
  std::optional<ObjectVersion> m_uncertain_version;
};

void StoreLedger::Shard::Claim(const std::string& hash, const RequestId& request,
                               std::function<void(ClaimOutcome)> done) {
  m_ops[m_next_op_id++] =
      Op{.kind = OpKind::kClaim, .hash = hash, .request = request, .done = std::move(done)};
  ProcessOps();
}

void StoreLedger::Shard::Void(const std::string& hash, const RequestId& request) {
  // A write with the removed claim may be in flight. The void is not decided until that write has
  // completed or can no longer take effect.
  std::erase_if(m_ops, [&](const auto& item) {
    return item.second.hash == hash && item.second.request == request;
  });
  m_ops[m_next_op_id++] = Op{.kind = OpKind::kVoid, .hash = hash, .request = request};
  ProcessOps();
}

void StoreLedger::Shard::ProcessOps() {
  if (m_is_busy) return;
  if (m_ops.empty()) {
    // Other instances write the shard in the meantime, so writing from an old copy would conflict.
    m_snapshot.reset();
    return;
  }
  if (m_snapshot) {
    ExecutePlan();
  } else {
    ReadObject();
  }
}

void StoreLedger::Shard::ReadObject() {
  m_is_busy = true;
  m_ledger.m_store.Get(m_object_key,
                       [weak = weak_from_this(), ops_end = m_next_op_id](auto result) {
                         if (auto shard = weak.lock()) shard->OnRead(ops_end, std::move(result));
                       });
}

void StoreLedger::Shard::OnRead(OpId ops_end, Result<VersionedObject> result) {
  m_is_busy = false;
  Snapshot snapshot{.ops_end = ops_end};
  if (IsOk(result)) {
    const auto& object = std::get<VersionedObject>(result);
    auto entries = ParseLedgerDocument(object.value);
    if (!entries) return OnMalformedDocument();
    snapshot.entries = std::move(*entries);
    snapshot.version = object.version;
  } else if (ErrorOf(result).kind != ErrorKind::kNotFound) {
    return ScheduleRetry();
  }
  ClearUncertaintyBelow(snapshot.version);
  m_snapshot = std::move(snapshot);
  ProcessOps();
}

void StoreLedger::Shard::OnMalformedDocument() {
  for (auto& [id, op] : m_ops) {
    if (op.kind != OpKind::kClaim || std::exchange(op.is_malformed_logged, true)) continue;
    LogEvent(EventId::kClaimUncertain, {{"request", op.request.Text()},
                                        {"key_hash", op.hash},
                                        {"reason", m_object_key + " is not a ledger document"}});
  }
  ScheduleRetry();
}

void StoreLedger::Shard::ClearUncertaintyBelow(ObjectVersion seen) {
  if (m_uncertain_version && seen.Value() > m_uncertain_version->Value())
    m_uncertain_version.reset();
}

void StoreLedger::Shard::ExecutePlan() {
  Plan plan = MakePlan();
  if (plan.has_changes || m_uncertain_version) {
    WriteObject(std::move(plan));
  } else {
    CompleteWithoutWrite(std::move(plan));
  }
}

Plan StoreLedger::Shard::MakePlan() const {
  Plan plan{.entries = m_snapshot->entries};
  RemoveExpired(plan.entries, m_ledger.m_clock(),
                m_ledger.m_options.retention + kClockSkewAllowance);
  PlanVoids(plan);
  PlanClaims(plan);
  return plan;
}

void StoreLedger::Shard::PlanVoids(Plan& plan) const {
  for (const auto& [id, op] : m_ops) {
    if (op.kind != OpKind::kVoid) continue;
    // Searches the stored entries, since an entry that has just expired must be removed as well.
    const auto found = m_snapshot->entries.find(op.hash);
    if (found != m_snapshot->entries.end() && IsOwnClaim(found->second, op.request)) {
      plan.entries.erase(op.hash);
      plan.has_changes = true;
    }
    plan.decisions.emplace_back(id, ClaimVoided{});
  }
}

void StoreLedger::Shard::PlanClaims(Plan& plan) const {
  std::size_t bytes = kDocumentOverheadBytes;
  for (const auto& [hash, entry] : plan.entries) bytes += MaxEntryBytes(hash, entry);
  for (const auto& [id, op] : m_ops) {
    if (op.kind != OpKind::kClaim) continue;
    if (const auto found = plan.entries.find(op.hash); found != plan.entries.end()) {
      const bool is_own = IsOwnClaim(found->second, op.request);
      plan.decisions.emplace_back(
          id, is_own ? Decision{ClaimConfirmed{}} : Decision{ClaimTaken{found->second.request}});
      continue;
    }
    LedgerEntry entry{
        .request = op.request, .writer = m_ledger.m_writer, .claimed_at_ms = m_ledger.m_clock()};
    const std::size_t entry_bytes = MaxEntryBytes(op.hash, entry);
    if (bytes + entry_bytes > m_ledger.m_options.max_value_bytes) continue;
    bytes += entry_bytes;
    plan.entries.emplace(op.hash, std::move(entry));
    plan.has_changes = true;
    plan.decisions.emplace_back(id, ClaimConfirmed{});
  }
}

/// Completes the operations that need no write. Operations that arrived after the snapshot's call
/// was sent wait for the next read, since the holder in the snapshot may have been voided by then.
void StoreLedger::Shard::CompleteWithoutWrite(Plan plan) {
  const OpId ops_end = m_snapshot->ops_end;
  std::erase_if(plan.decisions, [&](const auto& item) { return item.first >= ops_end; });
  RecordDecisions(plan);
  const auto eligible = std::distance(m_ops.begin(), m_ops.lower_bound(ops_end));
  m_snapshot.reset();
  // The remaining claims do not fit into the shard.
  if (std::cmp_less(plan.decisions.size(), eligible)) ScheduleRetry();
  if (ReportDecided()) ProcessOps();
}

void StoreLedger::Shard::WriteObject(Plan plan) {
  m_is_busy = true;
  for (const auto& [id, decision] : plan.decisions) {
    Op& op = m_ops.at(id);
    if (op.kind == OpKind::kVoid || std::exchange(op.is_sent, true)) continue;
    LogClaimEvent(EventId::kClaimSent, op);
  }
  std::string value = FormatLedgerDocument(plan.entries, NextWriteId());
  const ObjectVersion expected = m_snapshot->version;
  m_ledger.m_store.Put(m_object_key, std::move(value), expected,
                       [weak = weak_from_this(), plan = std::move(plan),
                        ops_end = m_next_op_id](auto result) mutable {
                         if (auto shard = weak.lock())
                           shard->OnWritten(std::move(plan), ops_end, std::move(result));
                       });
}

void StoreLedger::Shard::OnWritten(Plan plan, OpId ops_end, Result<ObjectVersion> result) {
  m_is_busy = false;
  const ObjectVersion expected = m_snapshot->version;
  m_snapshot.reset();
  if (!IsOk(result)) return OnWriteFailed(plan, expected, ErrorOf(result).kind);
  const ObjectVersion version = std::get<ObjectVersion>(result);
  ClearUncertaintyBelow(version);
  // Only possible if the object was deleted by hand, which restarts its versions.
  if (m_uncertain_version) return ScheduleRetry();
  m_failed_attempts = 0;
  RecordDecisions(plan);
  m_snapshot = Snapshot{.entries = std::move(plan.entries), .version = version, .ops_end = ops_end};
  if (ReportDecided()) ProcessOps();
}

void StoreLedger::Shard::OnWriteFailed(const Plan& plan, ObjectVersion expected, ErrorKind kind) {
  if (kind != ErrorKind::kConflict && kind != ErrorKind::kStoreUnavailable) {
    // After any other error the write may have taken effect.
    if (!m_uncertain_version || expected.Value() > m_uncertain_version->Value())
      m_uncertain_version = expected;
    for (const auto& [id, decision] : plan.decisions) {
      const auto found = m_ops.find(id);
      if (found == m_ops.end() || found->second.kind == OpKind::kVoid) continue;
      LogClaimEvent(EventId::kClaimUncertain, found->second);
    }
  }
  const bool is_first_conflict = kind == ErrorKind::kConflict && m_failed_attempts == 0;
  if (!is_first_conflict) return ScheduleRetry();
  ++m_failed_attempts;
  ProcessOps();
}

/// Records the results of operations. Skips operations that were voided in the meantime.
void StoreLedger::Shard::RecordDecisions(const Plan& plan) {
  for (const auto& [id, decision] : plan.decisions) {
    const auto found = m_ops.find(id);
    if (found != m_ops.end()) found->second.decision = decision;
  }
}

/// Reports all decided operations. Callbacks may claim, void or destroy the ledger; a void
/// withdraws a claim that is decided but not yet reported.
/// @return false when a callback has destroyed the ledger
bool StoreLedger::Shard::ReportDecided() {
  const bool was_busy = std::exchange(m_is_busy, true);
  while (true) {
    const auto found = std::find_if(m_ops.begin(), m_ops.end(),
                                    [](const auto& item) { return item.second.decision; });
    if (found == m_ops.end()) break;
    const Op op = std::move(m_ops.extract(found).mapped());
    if (std::holds_alternative<ClaimVoided>(*op.decision)) {
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
    if (m_ledger_lifetime.expired()) return false;
  }
  m_is_busy = was_busy;
  return true;
}

/// Schedules a new read of the shard with exponential backoff. The jitter keeps instances that
/// failed at the same time from retrying at the same time.
void StoreLedger::Shard::ScheduleRetry() {
  const auto& options = m_ledger.m_options;
  const Millis exponential{options.min_backoff.count()
                           << std::min(m_failed_attempts, kMaxBackoffDoublings)};
  const Millis max_delay = std::min(options.max_backoff, exponential);
  ++m_failed_attempts;
  std::uniform_int_distribution<std::int64_t> delay(max_delay.count() / 2, max_delay.count());
  m_is_busy = true;
  m_snapshot.reset();
  m_retry_timer.Start(Millis{delay(m_ledger.m_random)}, [this] {
    m_is_busy = false;
    ProcessOps();
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
  for (std::size_t i = 0; i < m_options.shard_count; ++i) {
    m_shards.push_back(std::make_shared<Shard>(*this, i));
  }
}

StoreLedger::~StoreLedger() = default;

void StoreLedger::Claim(const ClaimKey& key, const RequestId& request,
                        std::function<void(ClaimOutcome)> done) {
  const KeyHash hash = HashClaimKey(key, m_options.shard_count);
  ShardAt(hash.shard).Claim(hash.text, request, std::move(done));
}

void StoreLedger::Void(const ClaimKey& key, const RequestId& request) {
  const KeyHash hash = HashClaimKey(key, m_options.shard_count);
  ShardAt(hash.shard).Void(hash.text, request);
}

std::size_t StoreLedger::PendingCount() const {
  std::size_t count = 0;
  for (const auto& shard : m_shards) count += shard->PendingCount();
  return count;
}

}  // namespace bluebellpass
