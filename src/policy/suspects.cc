#include "policy/suspects.h"

#include <algorithm>
#include <set>

namespace bluebellpass {
namespace {

/// Bounds the memory and the size of the quarantine message, which must fit into a 2 MiB frame.
constexpr std::size_t kMaxEntries = 4096;

}  // namespace

std::uint32_t Suspects::DeathCount(Fingerprint content, TimePoint now) const {
  const auto it = m_entries.find(content);
  if (it == m_entries.end() || it->second.expires_at <= now) return 0;
  return it->second.deaths;
}

void Suspects::SetDeaths(Fingerprint content, std::uint32_t deaths, TimePoint now) {
  if (!m_entries.contains(content)) EvictOldestIfFull();
  Entry& entry = m_entries[content];
  // The change must be newer than the entry even if this clock lags behind another instance's.
  entry.stamp = std::max(entry.stamp + 1, m_next_stamp());
  entry.deaths = deaths;
  entry.expires_at = now + kQuarantineDuration;
  ++m_change_count;
}

std::vector<QuarantineEntry> Suspects::OnBackendDeath(const std::vector<Fingerprint>& contents,
                                                      TimePoint now) {
  std::vector<QuarantineEntry> result;
  std::set<Fingerprint> seen;
  for (Fingerprint content : contents) {
    if (!seen.insert(content).second) continue;
    SetDeaths(content, DeathCount(content, now) + 1, now);
    result.push_back({.content = content,
                      .deaths = DeathCount(content, now),
                      .remaining = kQuarantineDuration,
                      .stamp = m_entries[content].stamp});
  }
  return result;
}

void Suspects::UndoDeath(Fingerprint content, TimePoint now) {
  const std::uint32_t deaths = DeathCount(content, now);
  if (deaths > 0) SetDeaths(content, deaths - 1, now);
}

bool Suspects::Clear(Fingerprint content, TimePoint now) {
  if (DeathCount(content, now) == 0) return false;
  SetDeaths(content, 0, now);
  return true;
}

bool Suspects::Merge(const std::vector<QuarantineEntry>& entries, TimePoint now) {
  bool is_changed = false;
  for (const QuarantineEntry& other : entries) {
    if (other.remaining.count() <= 0) continue;
    const auto it = m_entries.find(other.content);
    if (it != m_entries.end() && it->second.stamp > other.stamp) continue;
    // With equal stamps the higher death count wins, so that the merge order does not matter.
    if (it != m_entries.end() && it->second.stamp == other.stamp &&
        it->second.deaths >= other.deaths) {
      continue;
    }
    if (it == m_entries.end()) EvictOldestIfFull();
    m_entries[other.content] = {.deaths = other.deaths,
                                .expires_at = now + std::min(other.remaining, kQuarantineDuration),
                                .stamp = other.stamp};
    is_changed = true;
  }
  if (is_changed) ++m_change_count;
  return is_changed;
}

std::vector<QuarantineEntry> Suspects::Entries(TimePoint now) const {
  std::vector<QuarantineEntry> result;
  for (const auto& [content, entry] : m_entries) {
    if (entry.expires_at <= now) continue;
    result.push_back({.content = content,
                      .deaths = entry.deaths,
                      .remaining = std::chrono::ceil<Millis>(entry.expires_at - now),
                      .stamp = entry.stamp});
  }
  return result;
}

void Suspects::RemoveExpired(TimePoint now) {
  std::erase_if(m_entries, [now](const auto& entry) { return entry.second.expires_at <= now; });
}

void Suspects::EvictOldestIfFull() {
  if (m_entries.size() < kMaxEntries) return;
  const auto oldest = std::min_element(
      m_entries.begin(), m_entries.end(),
      [](const auto& a, const auto& b) { return a.second.expires_at < b.second.expires_at; });
  m_entries.erase(oldest);
}

}  // namespace bluebellpass
