#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "store-standin.h"

namespace bluebellpass::test {

inline constexpr char kPermanentKey[] = "lasting-key";
/// Valid until a fault revokes it.
inline constexpr char kRevokedKey[] = "short-key";
inline constexpr int kEngineSlots = 30;
/// Time within which gateways must apply a change that is not the revocation of a key.
inline constexpr Millis kChangeBound{2'000};

/// Periods in which something was disturbed. They may overlap.
class Disturbances {
 public:
  void Add(TimePoint from, TimePoint to) { m_periods.emplace_back(from, to); }
  /// @return the disturbed time between two points in time
  Millis TimeBetween(TimePoint from, TimePoint to) const;
  bool IsAnyBetween(TimePoint from, TimePoint to) const {
    return TimeBetween(from, to) > Millis{0};
  }

 private:
  std::vector<std::pair<TimePoint, TimePoint>> m_periods;
};

/// The operator's configuration. Each version adds a route of its own and removes an older one.
class SoakConfig {
 public:
  explicit SoakConfig(StoreStandin& store) : m_store(store) {}

  /// Writes the next version.
  void Change(TimePoint now);
  /// Writes the newest version again.
  void Rewrite();
  void RevokeKey(TimePoint now) { m_revoked_at = now; }
  void MakeCopy(TimePoint now) { m_copied_at = now; }
  /// @param rewritten_at when the newest version is written again
  void Restore(TimePoint now, TimePoint rewritten_at) {
    m_restores.push_back({m_copied_at, now, rewritten_at});
    m_restore_periods.Add(now, rewritten_at);
  }

  int Version() const { return m_version; }
  static std::string PathOf(int version) { return "/v" + std::to_string(version) + "/x"; }
  const std::optional<TimePoint>& RevokedAt() const { return m_revoked_at; }
  /// @return the time of all restores within a period until the configuration was written again
  Millis RestoreTimeBetween(TimePoint from, TimePoint to) const {
    return m_restore_periods.TimeBetween(from, to);
  }
  /// @return when the route of a version was added, as far as a gateway can know that was started
  /// at the given time; none if it is removed
  std::optional<TimePoint> AddedAt(const std::string& path, TimePoint gateway_started) const;
  /// @return the same of its removal; none if it has not been removed
  std::optional<TimePoint> RemovedAt(const std::string& path, TimePoint gateway_started) const;
  /// @return when a change was confirmed. A change that the store has lost counts as confirmed
  /// when it is written again, for gateways that were not ready before the loss.
  TimePoint ConfirmedAt(TimePoint changed, TimePoint gateway_started) const;

 private:
  struct Route {
    TimePoint added;
    std::optional<TimePoint> removed;
  };
  struct RestoreTimes {
    TimePoint copied;
    TimePoint restored;
    TimePoint rewritten;
  };

  StoreStandin& m_store;
  nlohmann::json m_document;
  int m_version = 0;
  std::map<std::string, Route> m_routes;  ///< by path
  std::optional<TimePoint> m_revoked_at;
  TimePoint m_copied_at;
  std::vector<RestoreTimes> m_restores;
  Disturbances m_restore_periods;
};

}  // namespace bluebellpass::test
