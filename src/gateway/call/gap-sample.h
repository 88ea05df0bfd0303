#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>

namespace bluebellpass::gateway {

/// The first gaps between the events of a stream. The shorter ones show the decode speed of the
/// backend server; longer ones are caused by the prefill of other requests.
class GapSample {
 public:
  using Duration = std::chrono::microseconds;

  void Add(std::chrono::nanoseconds gap) {
    if (m_count < m_gaps.size()) m_gaps.at(m_count++) = std::chrono::duration_cast<Duration>(gap);
  }
  std::size_t Count() const { return m_count; }
  /// @return the gap that a third of the sample is shorter than; 0 for an empty sample
  Duration LowerTercile() const {
    if (m_count == 0) return Duration{0};
    auto sorted = m_gaps;
    const auto tercile = sorted.begin() + static_cast<std::ptrdiff_t>(m_count / 3);
    std::nth_element(sorted.begin(), tercile,
                     sorted.begin() + static_cast<std::ptrdiff_t>(m_count));
    return *tercile;
  }

 private:
  std::array<Duration, 24> m_gaps{};
  std::size_t m_count = 0;
};

}  // namespace bluebellpass::gateway
