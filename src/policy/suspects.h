#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "bluebellpass/peer.h"

namespace bluebellpass {

/// Time after which the entry of a suspect or quarantined content expires.
constexpr Millis kQuarantineDuration{3600000};
/// Number of deaths at which a content is quarantined.
constexpr std::uint32_t kDeathsToQuarantine = 2;

/// Fleet-wide record of the request contents that were running when backend servers died. A content
/// is a suspect after one death and quarantined after two.
class Suspects {
 public:
  /// @param next_stamp returns stamps that increase over all instances, such as hybrid time
  explicit Suspects(std::function<std::uint64_t()> next_stamp)
      : m_next_stamp(std::move(next_stamp)) {}

  /// Records the death of a backend server that was running these contents. A repeated content is
  /// counted once.
  /// @return the updated entry of each distinct content, in the order given
  std::vector<QuarantineEntry> OnBackendDeath(const std::vector<Fingerprint>& contents,
                                              TimePoint now);

  /// Subtracts a death that was counted for a content whose run did not end by the server's death.
  void UndoDeath(Fingerprint content, TimePoint now);

  /// Clears a content of which a run completed, since it is not the cause of the deaths.
  void OnRunCompleted(Fingerprint content, TimePoint now) { Clear(content, now); }

  /// Clears a content by an operator's command.
  /// @return false when no deaths are recorded for it
  bool ReleaseContent(Fingerprint content, TimePoint now) { return Clear(content, now); }

  /// @return true when the content must be the only run on its server
  bool IsSuspect(Fingerprint content, TimePoint now) const { return DeathCount(content, now) == 1; }
  /// @return true when the content must not run
  bool IsQuarantined(Fingerprint content, TimePoint now) const {
    return DeathCount(content, now) >= kDeathsToQuarantine;
  }

  /// Merges the entries of another instance; newer entries win.
  /// @return true when an entry changed
  bool Merge(const std::vector<QuarantineEntry>& entries, TimePoint now);

  /// @return all unexpired entries, including those cleared, for other instances
  std::vector<QuarantineEntry> Entries(TimePoint now) const;

  /// Removes expired entries.
  void RemoveExpired(TimePoint now);

  /// @return number of changes so far
  std::uint64_t ChangeCount() const { return m_change_count; }

 private:
  struct Entry {
    std::uint32_t deaths = 0;
    TimePoint expires_at;
    std::uint64_t stamp = 0;
  };

  std::uint32_t DeathCount(Fingerprint content, TimePoint now) const;
  bool Clear(Fingerprint content, TimePoint now);
  void SetDeaths(Fingerprint content, std::uint32_t deaths, TimePoint now);
  void EvictOldestIfFull();

  std::function<std::uint64_t()> m_next_stamp;
  std::unordered_map<Fingerprint, Entry> m_entries;
  std::uint64_t m_change_count = 0;
};

}  // namespace bluebellpass
