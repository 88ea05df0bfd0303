#include "stream-origins.h"

#include <algorithm>

namespace bluebellpass::gateway {
namespace {

constexpr Millis kRemovalPeriod{1'000};
// About 8 MB. More streams than that do not last at the same time at any planned size.
constexpr std::size_t kMaxStreams = 100'000;

}  // namespace

void StreamOrigins::Record(const AttemptId& stream, const StreamOrigin& origin, TimePoint until) {
  const Fingerprint key = KeyOf(stream);
  if (m_streams.size() >= kMaxStreams && !m_streams.contains(key)) return;
  m_streams.insert_or_assign(key, Entry{origin, until, true});
  m_changes[origin].push_back({key, until});
}

void StreamOrigins::Merge(const StreamRecords& records) {
  for (const auto& [origin, streams] : records) {
    for (const StreamRecord& record : streams) {
      if (m_streams.size() >= kMaxStreams && !m_streams.contains(record.stream)) return;
      Entry& entry = m_streams[record.stream];
      if (!entry.is_own) entry = {origin, record.until, false};
    }
  }
}

std::optional<StreamOrigin> StreamOrigins::Find(const AttemptId& stream, TimePoint now) const {
  const auto found = m_streams.find(KeyOf(stream));
  if (found == m_streams.end() || found->second.until <= now) return std::nullopt;
  return found->second.origin;
}

StreamRecords StreamOrigins::Snapshot(TimePoint now) const {
  StreamRecords records;
  for (const auto& [key, entry] : m_streams)
    if (entry.until > now) records[entry.origin].push_back({key, entry.until});
  return records;
}

StreamRecords StreamOrigins::HandOver(TimePoint now) {
  const bool has_decided = std::any_of(m_streams.begin(), m_streams.end(),
                                       [](const auto& entry) { return entry.second.is_own; });
  if (!has_decided) return {};
  for (auto& [key, entry] : m_streams) entry.is_own = false;
  return Snapshot(now);
}

void StreamOrigins::RemoveExpired(TimePoint now) {
  if (now < m_next_removal) return;
  m_next_removal = now + kRemovalPeriod;
  std::erase_if(m_streams, [now](const auto& entry) { return entry.second.until <= now; });
}

}  // namespace bluebellpass::gateway
