#include "crash-records.h"

#include <algorithm>
#include <utility>

namespace bluebellpass::gateway {
namespace {

// A backend server that lost connections has crashed if a new connection to it fails within this
// time.
constexpr Millis kConfirmationTime{3'000};
constexpr Millis kRecordLifetime{3'600'000};
// Bounds the memory and the size of the messages that hold all records.
constexpr std::size_t kMaxRecords = 1'024;

}  // namespace

void CrashRecords::OnRunLost(const BackendStart& backend, const AttemptId& request,
                             TimePoint started, const std::vector<Fingerprint>& contents,
                             TimePoint now) {
  RemoveExpired(now);
  auto record = std::find_if(m_records.begin(), m_records.end(), [&](const CrashRecord& known) {
    return known.backend == backend && started <= known.at;
  });
  if (record == m_records.end()) {
    if (m_records.size() >= kMaxRecords) m_records.erase(m_records.begin());
    record = m_records.insert(m_records.end(), CrashRecord{backend, now});
  }
  record->requests.insert(request);
  record->suspects.insert(contents.begin(), contents.end());
  if (!record->is_confirmed) return;
  record->is_reported = false;
  Recount();
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
    if (CrashCount(content) == 0) continue;
    m_cleared_at[content] = now;
    is_changed = true;
  }
  if (is_changed) Recount();
}

std::uint32_t CrashRecords::CrashCount(Fingerprint content) const {
  const auto found = m_crash_counts.find(content);
  return found == m_crash_counts.end() ? 0 : found->second;
}

void CrashRecords::Recount() {
  m_crash_counts.clear();
  for (const CrashRecord& record : m_records)
    if (record.is_confirmed) CountCrash(record);
}

void CrashRecords::CountCrash(const CrashRecord& record) {
  for (const Fingerprint content : record.suspects) {
    const auto cleared = m_cleared_at.find(content);
    if (cleared == m_cleared_at.end() || record.at > cleared->second) ++m_crash_counts[content];
  }
}

void CrashRecords::RemoveExpired(TimePoint now) {
  const std::size_t removed = std::erase_if(m_records, [&](const CrashRecord& record) {
    return now - record.at >= (record.is_confirmed ? kRecordLifetime : kConfirmationTime);
  });
  std::erase_if(m_cleared_at,
                [&](const auto& entry) { return now - entry.second >= kRecordLifetime; });
  if (removed > 0) Recount();
}

std::vector<CrashRecord> CrashRecords::TakeChanges() {
  std::vector<CrashRecord> changes;
  for (CrashRecord& record : m_records)
    if (!std::exchange(record.is_reported, true)) changes.push_back(record);
  return changes;
}

}  // namespace bluebellpass::gateway
