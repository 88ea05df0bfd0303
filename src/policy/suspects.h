#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "bluebellpass/peer.h"

namespace bluebellpass {

/// For how long a suspect or quarantined content is remembered.
constexpr Millis kQuarantineDuration{3600000};
/// Deaths after which a content is quarantined.
constexpr std::uint32_t kDeathsToQuarantine = 2;

/// Contents during whose runs backend servers died, in the whole fleet.
class Suspects {
 public:
  /// @param next_stamp gives stamps that grow over all instances, such as hybrid time
  explicit Suspects(std::function<std::uint64_t()> next_stamp)
      : m_next_stamp(std::move(next_stamp)) {}

  /// A backend server died while running these contents. Each is counted once.
  /// @return deaths of each content after this one, in the order given and without repetition
  std::vector<QuarantineEntry> OnBackendDeath(const std::vector<Fingerprint>& contents,
                                              TimePoint now);

  /// A run counted by OnBackendDeath turned out not to have been running.
  void UndoDeath(Fingerprint content, TimePoint now);

  /// A run of the content completed: it is no cause of death.
  void OnRunCompleted(Fingerprint content, TimePoint now) { Clear(content, now); }

  /// An operator releases a content.
  /// @return false when nothing was held against it
  bool ReleaseContent(Fingerprint content, TimePoint now) { return Clear(content, now); }

  /// @return true when the content may only run alone
  bool IsSuspect(Fingerprint content, TimePoint now) const { return DeathCount(content, now) == 1; }
  /// @return true when the content must not run
  bool IsQuarantined(Fingerprint content, TimePoint now) const {
    return DeathCount(content, now) >= kDeathsToQuarantine;
  }

  /// Takes over newer entries of another instance.
  /// @return true when something changed
  bool Merge(const std::vector<QuarantineEntry>& entries, TimePoint now);

  /// @return all entries, including recent releases, for other instances
  std::vector<QuarantineEntry> Entries(TimePoint now) const;

  /// Drops the entries that have expired.
  void RemoveExpired(TimePoint now);

  /// @return number that grows with each change
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
