#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bluebellpass/gateway/model.h"
#include "version-result.h"

namespace bluebellpass::gateway {

/// The two groups of backend servers that an evaluation compares.
enum class VersionGroup : std::uint8_t { kOld, kTarget };

/// Counts of results by group.
struct VersionCounts {
  std::uint64_t results = 0;
  std::uint64_t failures = 0;

  VersionCounts& operator+=(const VersionCounts& other) {
    results += other.results;
    failures += other.failures;
    return *this;
  }
  /// @return failures per result; 0 without results
  double FailureRate() const {
    return results == 0 ? 0 : static_cast<double>(failures) / static_cast<double>(results);
  }
};

/// How much evidence a finding takes.
enum class Evidence : std::uint8_t {
  kStrong,     ///< reverts a roll-out at once
  kSuspicion,  ///< keeps the target from taking over
};

/// Evaluates whether the target of a roll-out is worse than the old version, from the results of
/// runs at both. Pure.
///
/// - Failures: the rate of the target is compared with the rate of the old version in the same time
///   slices, so that a fault that affects both does not count against the target. The worst fifth
///   of the backend servers of each group is left out, so that a single broken one does not either.
///   The rates are compared for each route, and for requests that began under load.
/// - Slowness of most responses: geometric means over backend servers are compared. They weigh
///   equally, since they differ several times in speed and the scheduler prefers the fast ones.
/// - Slowness of some responses: the share of responses that take much longer than the median of
///   their backend server is compared.
class VersionEvaluation {
 public:
  /// @param slice results are compared within time slices of this length
  explicit VersionEvaluation(Millis slice) : m_slice(slice) {}

  void Record(VersionGroup group, const VersionResult& result, TimePoint now);

  /// @return why the target is bad, for operators, or nullopt while nothing shows that it is
  std::optional<std::string> FindFault(Evidence evidence) const;
  /// @return true when there are enough results of the target, on all frequent routes
  bool HasEnoughResults() const;
  VersionCounts CountsOf(VersionGroup group) const;

 private:
  enum Measure : std::size_t { kFirstEvent, kEventGap, kDuration, kMeasureCount };
  static constexpr std::array<const char*, kMeasureCount> kMeasureNames = {
      "time to first event", "time between events", "duration"};
  /// Latest values of a measure.
  struct Samples {
    std::vector<float> values;
    std::size_t next = 0;  ///< the oldest one, once there are as many as are kept

    void Add(double value);
    double Mean() const;
    double Median() const;
  };
  using Measures = std::array<Samples, kMeasureCount>;
  using SliceIndex = std::int64_t;
  /// Results of one backend server.
  struct BackendResults {
    std::map<std::pair<std::string, SliceIndex>, VersionCounts> counts;  ///< by route and slice
    std::map<SliceIndex, VersionCounts> counts_under_load;               ///< of these
    std::map<std::string, Measures> measures;                            ///< by route
    VersionCounts total;
  };
  using Group = std::map<BackendId, BackendResults>;
  using SliceCounts = std::map<SliceIndex, VersionCounts>;

  const Group& GroupOf(VersionGroup group) const {
    return m_groups.at(static_cast<std::size_t>(group));
  }
  struct GroupCounts {
    std::map<std::string, SliceCounts> by_route;
    SliceCounts under_load;
    SliceCounts all;
  };
  /// @return the counts without those of the worst backend servers
  static GroupCounts CountsWithoutWorst(const Group& group);
  static bool IsFailing(const SliceCounts& target, const SliceCounts& old, Evidence evidence);
  std::optional<std::string> FindFailures(Evidence evidence) const;
  std::vector<std::string> MeasuredRoutes() const;
  /// @return the ratio of the target's values to those of the old version, if it is too large
  std::optional<double> FindSlowMean(const std::string& route, Measure measure,
                                     Evidence evidence) const;
  /// @return true when some of the target's responses are slow
  bool HasSlowResponses(Measure measure, Evidence evidence) const;
  std::optional<std::string> FindSlowness(Evidence evidence) const;

  Millis m_slice;
  std::array<Group, 2> m_groups;
};

}  // namespace bluebellpass::gateway
