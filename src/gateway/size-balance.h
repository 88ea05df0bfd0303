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

/// Requests of a kind by their size.
enum class SizeGroup : std::uint8_t {
  kSmall,
  kLarge,    ///< the fifth below the largest
  kLargest,  ///< the largest tenth
};
inline constexpr std::size_t kSizeGroupCount = 3;
inline constexpr std::array<std::string_view, kSizeGroupCount> kSizeGroupNames = {"small", "large",
                                                                                  "largest"};

/// @return the group's stable name in logs and metrics
constexpr std::string_view NameOf(SizeGroup group) {
  return kSizeGroupNames.at(static_cast<std::size_t>(group));
}

/// How many requests of one kind and size came to each result, since the start.
using ResultCounts = std::map<std::string_view, std::uint64_t>;
// Results besides the reasons of refusals and the outcomes of runs.
inline constexpr std::string_view kOffered = "offered";
inline constexpr std::string_view kGranted = "granted";

/// Keeps account of how often the requests of each size of a kind are served, so that large ones
/// are not put off for good by small ones, which are worth more for the time that they take. Sizes
/// are told apart by quantiles that follow what arrives.
///
/// A granted request counts as served until its run ends without a whole answer. What is owed to a
/// size is a number of requests, not a weight: a weight would have to outdo the difference in
/// value, which varies with the load.
class SizeBalance {
 public:
  /// Takes in the size of a request that arrives.
  /// @param size in tokens; 1 or more
  /// @return its group
  SizeGroup Observe(double size) {
    m_mean += (m_mean == 0 ? 1 : kMeanRate) * (size - m_mean);
    if (m_first.size() < kFirstSizes) {
      m_first.insert(std::upper_bound(m_first.begin(), m_first.end(), size), size);
      const auto count = static_cast<double>(m_first.size());
      for (std::size_t i = 0; i < m_bounds.size(); ++i) {
        const auto below = static_cast<std::size_t>(count * kBelow.at(i));
        m_bounds.at(i) = m_first.at(std::max<std::size_t>(below, 1) - 1);
      }
      return GroupOf(size);
    }
    const SizeGroup group = GroupOf(size);
    // Moves each bound up or down so that the right part of all requests lies above it. In
    // proportion, since sizes differ a hundredfold.
    for (std::size_t i = 0; i < m_bounds.size(); ++i)
      m_bounds.at(i) *= 1 + kBoundRate * (size > m_bounds.at(i) ? kBelow.at(i) : kBelow.at(i) - 1);
    return group;
  }
  double MeanSize() const { return m_mean; }

  void RecordGrant(SizeGroup group, TimePoint now) { Add(group, 1, 1, now); }
  void RecordRefusal(SizeGroup group, TimePoint now) { Add(group, 1, 0, now); }
  /// A granted request has ended without a whole answer.
  /// @param is_decided false when a backend server failed it, which says nothing about its size
  void RecordUnserved(SizeGroup group, bool is_decided, TimePoint granted, TimePoint now) {
    const double weight = WeightAfter(std::max(now, m_at) - granted);
    Add(group, is_decided ? 0 : -weight, -weight, now);
  }
  /// @return requests of the group that must be granted before others of the kind; 0 or less while
  /// the group is served often enough
  double DeficitOf(SizeGroup group) const {
    Account all;
    for (const Account& account : m_accounts) {
      all.decided += account.decided;
      all.served += account.served;
    }
    if (all.decided <= 0) return 0;
    const Account& own = m_accounts.at(static_cast<std::size_t>(group));
    return kOwedPart * all.served / all.decided * own.decided - own.served;
  }

  /// Counts a result for metrics.
  /// @param result static text
  void CountResult(SizeGroup group, std::string_view result) {
    ++m_counts.at(static_cast<std::size_t>(group))[result];
  }
  const ResultCounts& Counts(SizeGroup group) const {
    return m_counts.at(static_cast<std::size_t>(group));
  }

 private:
  /// Requests lately, those further back counting less.
  struct Account {
    double decided = 0;  ///< granted or refused
    double served = 0;   ///< running or answered whole
  };

  SizeGroup GroupOf(double size) const {
    if (size <= m_bounds[0]) return SizeGroup::kSmall;
    return size <= m_bounds[1] ? SizeGroup::kLarge : SizeGroup::kLargest;
  }
  static double WeightAfter(TimePoint::duration age) {
    return std::exp2(-std::chrono::duration<double>(age).count() / kHalfLifeS);
  }
  void Add(SizeGroup group, double decided, double served, TimePoint now) {
    const double factor = now > m_at ? WeightAfter(now - m_at) : 1;
    m_at = std::max(m_at, now);
    for (Account& account : m_accounts) {
      account.decided *= factor;
      account.served *= factor;
    }
    Account& own = m_accounts.at(static_cast<std::size_t>(group));
    own.decided = std::max(own.decided + decided, 0.0);
    own.served = std::max(own.served + served, 0.0);
  }

  static constexpr std::array<double, 2> kBelow = {0.7, 0.9};
  // Weights of one request in the moving estimates.
  static constexpr double kMeanRate = 0.05;
  static constexpr double kBoundRate = 0.05;
  // The bounds are exact over so many requests and follow from there.
  static constexpr std::size_t kFirstSizes = 50;
  // The platform asks that each size is served half as often as its kind. The sizes are estimates
  // and some answers are broken off later, so more is owed.
  static constexpr double kOwedPart = 0.7;
  // Seconds after which a request counts half; the longest answers last about as long.
  static constexpr double kHalfLifeS = 10;

  double m_mean = 0;
  std::array<double, 2> m_bounds{};
  std::vector<double> m_first;  ///< ordered
  std::array<Account, kSizeGroupCount> m_accounts{};
  TimePoint m_at{};
  std::array<ResultCounts, kSizeGroupCount> m_counts;
};

}  // namespace bluebellpass::gateway
