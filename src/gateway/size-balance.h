#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace bluebellpass::gateway {

/// Requests of a kind by their size.
enum class SizeGroup : std::uint8_t {
  kSmall,
  kLarge,    ///< the fifth below the largest
  kLargest,  ///< the largest tenth
};
inline constexpr std::size_t kSizeGroups = 3;

/// @return the group's stable name in logs and metrics
constexpr std::string_view NameOf(SizeGroup group) {
  constexpr std::array<std::string_view, kSizeGroups> kNames = {"small", "large", "largest"};
  return kNames.at(static_cast<std::size_t>(group));
}

/// How many requests of one kind and size came to each result, since the start.
using SizeCounts = std::map<std::string_view, std::uint64_t>;

/// Keeps the large requests of a kind from being put off for ever by its small ones. Requests are
/// told apart by their size: the largest tenth, the fifth below it, and the rest. A group that is
/// granted much less often than the kind as a whole is raised.
class SizeBalance {
 public:
  /// Takes in the size of a request that arrives.
  void Observe(double size) {
    m_mean = m_is_empty ? size : m_mean + kSizeRate * (size - m_mean);
    if (m_is_empty) m_bounds = {size, size * 2};
    m_is_empty = false;
    // Moves each bound up or down so that the right part of all requests lies above it.
    for (std::size_t i = 0; i < m_bounds.size(); ++i) {
      const double step = kBoundRate * m_mean;
      m_bounds.at(i) += size > m_bounds.at(i) ? step * kBelow.at(i) : -step * (1 - kBelow.at(i));
    }
  }
  double Mean() const { return m_mean; }

  /// Notes whether a request was granted in the end.
  void Note(double size, bool is_granted) {
    const double value = is_granted ? 1 : 0;
    m_all += kGrantRate * (value - m_all);
    double& group = GrantedPart(size);
    group += kGrantRate * (value - group);
  }
  /// Counts a result for metrics.
  /// @param result static text
  void Count(SizeGroup group, std::string_view result) {
    ++m_counts.at(static_cast<std::size_t>(group))[result];
  }
  const SizeCounts& Counts(SizeGroup group) const {
    return m_counts.at(static_cast<std::size_t>(group));
  }
  SizeGroup GroupOf(double size) const {
    if (size <= m_bounds[0]) return SizeGroup::kSmall;
    return size <= m_bounds[1] ? SizeGroup::kLarge : SizeGroup::kLargest;
  }
  /// @return factor on the value of a request, 1 to kLargestBoost
  double Boost(double size) const {
    const double wanted = kWantedPart * m_all;
    const double granted = m_groups.at(static_cast<std::size_t>(GroupOf(size)));
    if (granted >= wanted) return 1;
    // Steep, since a group that is granted rarely must pass before many others at once.
    const double missing = wanted / std::max(granted, 1e-3);
    return std::min(missing * missing * missing, kLargestBoost);
  }

 private:
  double& GrantedPart(double size) { return m_groups.at(static_cast<std::size_t>(GroupOf(size))); }

  static constexpr std::array<double, 2> kBelow = {0.7, 0.9};
  // Weights of one request in the moving estimates.
  static constexpr double kSizeRate = 0.05;
  static constexpr double kBoundRate = 0.05;
  static constexpr double kGrantRate = 0.05;
  // The platform asks for half; the estimates vary.
  static constexpr double kWantedPart = 0.65;
  static constexpr double kLargestBoost = 30;

  bool m_is_empty = true;
  double m_mean = 0;
  std::array<double, 2> m_bounds{};
  double m_all = 1;
  std::array<double, kSizeGroups> m_groups{1, 1, 1};
  std::array<SizeCounts, kSizeGroups> m_counts;
};

}  // namespace bluebellpass::gateway
