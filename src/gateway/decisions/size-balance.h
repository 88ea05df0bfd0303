#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Size of a request relative to the others of its kind.
enum class SizeGroup : std::uint8_t {
  kSmall,
  kLarge,    ///< 70th to 90th percentile
  kLargest,  ///< above the 90th percentile
};
inline constexpr std::size_t kSizeGroupCount = 3;
inline constexpr std::array<std::string_view, kSizeGroupCount> kSizeGroupNames = {"small", "large",
                                                                                  "largest"};

/// @return the group's stable name in logs and metrics
constexpr std::string_view NameOf(SizeGroup group) {
  return kSizeGroupNames.at(static_cast<std::size_t>(group));
}

/// Number of requests of one kind and size group by result, since the start.
using ResultCounts = std::map<std::string_view, std::uint64_t>;
// Results besides refusal reasons and run outcomes.
inline constexpr std::string_view kOffered = "offered";
inline constexpr std::string_view kGranted = "granted";

/// Tracks how often the requests of each size group of a kind are served, so that large requests
/// are not starved by small ones, whose value per slot time is higher. The bounds between the
/// groups are estimated quantiles of the sizes that arrive.
///
/// A granted request counts as served unless its run ends without a complete response. The deficit
/// of a group is a number of requests rather than a weight, because a weight would have to exceed
/// the difference in value, which varies with the load.
class SizeBalance {
 public:
  /// Updates the mean size and the bounds with a request that arrived.
  /// @param size in tokens; 1 or more
  /// @return the size group of the request
  SizeGroup Observe(double size) {
    m_mean += (m_mean == 0 ? 1 : kMeanSmoothing) * (size - m_mean);
    if (m_initial_sizes.size() < kInitialSizes) {
      m_initial_sizes.insert(std::upper_bound(m_initial_sizes.begin(), m_initial_sizes.end(), size),
                             size);
      const auto count = static_cast<double>(m_initial_sizes.size());
      for (std::size_t i = 0; i < m_bounds.size(); ++i) {
        const auto below = static_cast<std::size_t>(count * kQuantiles.at(i));
        m_bounds.at(i) = m_initial_sizes.at(std::max<std::size_t>(below, 1) - 1);
      }
      return GroupOf(size);
    }
    const SizeGroup group = GroupOf(size);
    // Steps towards the quantile. The steps are relative, since sizes differ a hundredfold.
    for (std::size_t i = 0; i < m_bounds.size(); ++i)
      m_bounds.at(i) *=
          1 + kBoundStep * (size > m_bounds.at(i) ? kQuantiles.at(i) : kQuantiles.at(i) - 1);
    return group;
  }
  double MeanSize() const { return m_mean; }

  void RecordGrant(SizeGroup group, TimePoint now) { Add(group, 1, 1, now); }
  void RecordRefusal(SizeGroup group, TimePoint now) { Add(group, 1, 0, now); }
  /// Records that a granted request ended without a complete response.
  /// @param counts_as_refused false when a backend server failed, which says nothing about the
  /// group
  void RecordUnserved(SizeGroup group, bool counts_as_refused, TimePoint granted, TimePoint now) {
    const double weight = WeightAfter(std::max(now, m_updated_at) - granted);
    Add(group, counts_as_refused ? 0 : -weight, -weight, now);
  }
  /// @return number of the group's requests that must be granted before others of the kind; 0 or
  /// less when the group is served often enough
  double DeficitOf(SizeGroup group) const {
    RecentRequests all;
    for (const RecentRequests& recent : m_recent) {
      all.decided += recent.decided;
      all.served += recent.served;
    }
    if (all.decided <= 0) return 0;
    const RecentRequests& own = m_recent.at(static_cast<std::size_t>(group));
    return kMinRelativeServiceRate * all.served / all.decided * own.decided - own.served;
  }

  /// Counts a result for metrics.
  /// @param result text with static storage duration
  void CountResult(SizeGroup group, std::string_view result) {
    ++m_counts.at(static_cast<std::size_t>(group))[result];
  }
  const ResultCounts& Counts(SizeGroup group) const {
    return m_counts.at(static_cast<std::size_t>(group));
  }

 private:
  /// Exponentially decaying request counts.
  struct RecentRequests {
    double decided = 0;  ///< granted or refused
    double served = 0;   ///< running or completed
  };

  SizeGroup GroupOf(double size) const {
    if (size <= m_bounds[0]) return SizeGroup::kSmall;
    return size <= m_bounds[1] ? SizeGroup::kLarge : SizeGroup::kLargest;
  }
  static double WeightAfter(TimePoint::duration age) {
    return std::exp2(-std::chrono::duration<double>(age).count() / kHalfLifeS);
  }
  void Add(SizeGroup group, double decided, double served, TimePoint now) {
    const double decay = now > m_updated_at ? WeightAfter(now - m_updated_at) : 1;
    m_updated_at = std::max(m_updated_at, now);
    for (RecentRequests& recent : m_recent) {
      recent.decided *= decay;
      recent.served *= decay;
    }
    RecentRequests& own = m_recent.at(static_cast<std::size_t>(group));
    own.decided = std::max(own.decided + decided, 0.0);
    own.served = std::max(own.served + served, 0.0);
  }

  static constexpr std::array<double, 2> kQuantiles = {0.7, 0.9};
  // Weight of one request in the mean and relative step of the bounds.
  static constexpr double kMeanSmoothing = 0.05;
  static constexpr double kBoundStep = 0.05;
  // The bounds are exact quantiles over this many sizes and estimates from then on.
  static constexpr std::size_t kInitialSizes = 50;
  // The platform requires each size group to be served half as often as its kind. The margin covers
  // errors in the estimated sizes and responses that are cut off later.
  static constexpr double kMinRelativeServiceRate = 0.7;
  // About the duration of the longest responses.
  static constexpr double kHalfLifeS = 10;

  double m_mean = 0;
  std::array<double, 2> m_bounds{};
  std::vector<double> m_initial_sizes;  ///< sorted
  std::array<RecentRequests, kSizeGroupCount> m_recent{};
  TimePoint m_updated_at{};
  std::array<ResultCounts, kSizeGroupCount> m_counts;
};

}  // namespace bluebellpass::gateway
