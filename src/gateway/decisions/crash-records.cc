#include "crash-records.h"

#include <algorithm>
#include <utility>

namespace bluebellpass::gateway {
namespace {

// A backend server that lost connections has crashed if a new connection to it fails within this
// time.
constexpr Millis kConfirmationTime{3'000};
constexpr Millis kRecordLifetime{3'600'000};
// Instances notice a crash at slightly different times. A server takes longer to start again.
constexpr Millis kMaxNoticeDelay{1'000};
// The loss of a rack ends many backend servers within this time.
constexpr Millis kCommonCauseWindow{200};
// Bounds the memory and the size of the messages that hold all records.
constexpr std::size_t kMaxRecords = 1'024;

}  // namespace

void CrashRecords::OnRunLost(const BackendStart& backend, const AttemptId& request,
                             TimePoint started, const std::vector<Fingerprint>& contents,
                             TimePoint now) {
  RemoveExpired(now);
  auto record = std::find_if(m_records.begin(), m_records.end(), [&](const CrashRecord& known) {
    return known.backend == backend && started <= known.at + kMaxNoticeDelay;
  });
  CrashRecord& crash = record == m_records.end() ? Add(backend, now) : *record;
  crash.requests.insert(request);
  crash.suspects.insert(contents.begin(), contents.end());
  if (crash.is_confirmed) crash.is_reported = false;
  Recount();
}

CrashRecord& CrashRecords::Add(const BackendStart& backend, TimePoint at) {
  if (m_records.size() >= kMaxRecords) m_records.erase(m_records.begin());
  const auto later = std::find_if(m_records.begin(), m_records.end(),
                                  [&](const CrashRecord& record) { return record.at > at; });
  return *m_records.insert(later, CrashRecord{backend, at});
}

void CrashRecords::OnBackendUnreachable(const BackendStart& backend, TimePoint now) {
  RemoveExpired(now);
  bool is_changed = false;
  for (CrashRecord& record : m_records) {
    if (record.is_confirmed || record.backend != backend) continue;
    record.is_confirmed = true;
    record.confirmed_at = now;
    record.is_reported = false;
    is_changed = true;
  }
  if (is_changed) Recount();
}

void CrashRecords::OnRunCompleted(const std::vector<Fingerprint>& contents, TimePoint now) {
  bool is_changed = false;
  for (const Fingerprint content : contents) {
    if (!m_crash_counts.contains(content)) continue;
    Clear(content, now);
    is_changed = true;
  }
  if (is_changed) Recount();
}

void CrashRecords::Clear(Fingerprint content, TimePoint at) {
  const auto [found, is_new] = m_cleared.try_emplace(content, Cleared{at, false});
  if (!is_new && found->second.at < at) found->second = {at, false};
}

std::uint32_t CrashRecords::CrashCount(Fingerprint content) const {
  const auto found = m_crash_counts.find(content);
  return found == m_crash_counts.end() ? 0 : found->second.count;
}

void CrashRecords::Recount() {
  m_crash_counts.clear();
  for (CrashRecord& record : m_records) {
    std::erase_if(record.suspects, [&](Fingerprint content) {
      const auto cleared = m_cleared.find(content);
      return cleared != m_cleared.end() && record.at <= cleared->second.at;
    });
    for (const Fingerprint content : record.suspects) {
      CrashCounter& counter = m_crash_counts[content];
      if (!record.is_confirmed) continue;
      if (counter.count > 0 && record.at - counter.last_counted_at < kCommonCauseWindow) continue;
      ++counter.count;
      counter.last_counted_at = record.at;
    }
  }
}

void CrashRecords::RemoveExpired(TimePoint now) {
  const std::size_t removed = std::erase_if(m_records, [&](const CrashRecord& record) {
    return now - record.at >= (record.is_confirmed ? kRecordLifetime : kConfirmationTime);
  });
  std::erase_if(m_cleared,
                [&](const auto& entry) { return now - entry.second.at >= kRecordLifetime; });
  if (removed > 0) Recount();
}

CrashUpdate CrashRecords::TakeChanges() {
  CrashUpdate update;
  for (CrashRecord& record : m_records)
    if (!std::exchange(record.is_reported, true)) update.records.push_back(record);
  for (auto& [content, cleared] : m_cleared)
    if (!std::exchange(cleared.is_reported, true)) update.cleared.push_back({content, cleared.at});
  return update;
}

CrashUpdate CrashRecords::Snapshot() const {
  CrashUpdate update{m_records, {}};
  for (const auto& [content, cleared] : m_cleared) update.cleared.push_back({content, cleared.at});
  return update;
}

CrashRecord& CrashRecords::FindOrAdd(const CrashRecord& other) {
  for (CrashRecord& known : m_records) {
    if (known.backend != other.backend) continue;
    const auto difference = std::max(known.at, other.at) - std::min(known.at, other.at);
    // A stated start crashes only once, though a suspended instance may have noticed it late.
    if (known.backend.started_at != 0 || difference < kMaxNoticeDelay) return known;
  }
  return Add(other.backend, other.at);
}

void CrashRecords::Merge(const CrashUpdate& update, TimePoint now) {
  RemoveExpired(now);
  for (const ClearedContent& cleared : update.cleared) Clear(cleared.content, cleared.at);
  for (const CrashRecord& other : update.records) {
    CrashRecord& record = FindOrAdd(other);
    const std::size_t suspects = record.suspects.size();
    record.suspects.insert(other.suspects.begin(), other.suspects.end());
    const bool is_confirmed_now = other.is_confirmed && !record.is_confirmed;
    if (is_confirmed_now) {
      record.is_confirmed = true;
      record.confirmed_at = now;
    }
    if (record.is_confirmed && (is_confirmed_now || record.suspects.size() != suspects))
      record.is_reported = false;
  }
  Recount();
}

}  // namespace bluebellpass::gateway
