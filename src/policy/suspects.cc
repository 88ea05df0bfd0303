#include "policy/suspects.h"

#include <algorithm>
#include <set>

namespace bluebellpass {
namespace {

/// Bounds the memory and the size of the message, which must fit into a frame of 2 MiB.
constexpr std::size_t kMaxEntries = 4096;

}  // namespace

std::uint32_t Suspects::Deaths(Fingerprint content, TimePoint now) const {
  const auto place = m_entries.find(content);
  if (place == m_entries.end() || place->second.until <= now) return 0;
  return place->second.deaths;
}

void Suspects::Set(Fingerprint content, std::uint32_t deaths, TimePoint now) {
  if (!m_entries.contains(content)) MakeRoom();
  Entry& entry = m_entries[content];
  // A clock that lags behind another instance's must not make this change look older.
  entry.stamp = std::max(entry.stamp + 1, m_next_stamp());
  entry.deaths = deaths;
  entry.until = now + kQuarantineTime;
  ++m_changes;
}

std::vector<QuarantineEntry> Suspects::OnDeath(const std::vector<Fingerprint>& contents,
                                               TimePoint now) {
  std::vector<QuarantineEntry> result;
  std::set<Fingerprint> seen;
  for (Fingerprint content : contents) {
    if (!seen.insert(content).second) continue;
    Set(content, Deaths(content, now) + 1, now);
    result.push_back({.content = content,
                      .deaths = Deaths(content, now),
                      .remaining = kQuarantineTime,
                      .stamp = m_entries[content].stamp});
  }
  return result;
}

void Suspects::UndoDeath(Fingerprint content, TimePoint now) {
  const std::uint32_t deaths = Deaths(content, now);
  if (deaths > 0) Set(content, deaths - 1, now);
}

bool Suspects::Clear(Fingerprint content, TimePoint now) {
  if (Deaths(content, now) == 0) return false;
  Set(content, 0, now);
  return true;
}

bool Suspects::Merge(const std::vector<QuarantineEntry>& entries, TimePoint now) {
  bool is_changed = false;
  for (const QuarantineEntry& other : entries) {
    if (other.remaining.count() <= 0) continue;
    const auto place = m_entries.find(other.content);
    if (place != m_entries.end() && place->second.stamp > other.stamp) continue;
    // Of equal stamps the stricter entry wins, so that the order of arrival does not matter.
    if (place != m_entries.end() && place->second.stamp == other.stamp &&
        place->second.deaths >= other.deaths) {
      continue;
    }
    if (place == m_entries.end()) MakeRoom();
    m_entries[other.content] = {.deaths = other.deaths,
                                .until = now + std::min(other.remaining, kQuarantineTime),
                                .stamp = other.stamp};
    is_changed = true;
  }
  if (is_changed) ++m_changes;
  return is_changed;
}

std::vector<QuarantineEntry> Suspects::Entries(TimePoint now) const {
  std::vector<QuarantineEntry> result;
  for (const auto& [content, entry] : m_entries) {
    if (entry.until <= now) continue;
    result.push_back({.content = content,
                      .deaths = entry.deaths,
                      .remaining = std::chrono::ceil<Millis>(entry.until - now),
                      .stamp = entry.stamp});
  }
  return result;
}

void Suspects::Expire(TimePoint now) {
  std::erase_if(m_entries, [now](const auto& row) { return row.second.until <= now; });
}

void Suspects::MakeRoom() {
  if (m_entries.size() < kMaxEntries) return;
  const auto oldest = std::min_element(
      m_entries.begin(), m_entries.end(),
      [](const auto& a, const auto& b) { return a.second.until < b.second.until; });
  m_entries.erase(oldest);
}

}  // namespace bluebellpass
