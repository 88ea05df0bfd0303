#include "version-evaluation.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <vector>

namespace bluebellpass::gateway {
namespace {

/// Thresholds of a finding.
struct Thresholds {
  double failure_quantile = 0;  ///< of the bounds on failure rates
  double failure_margin = 0;    ///< of the failure rate above that of the old version
  double mean_quantile = 0;     ///< of the bounds on the mean of a measure
  double mean_ratio = 0;        ///< of the mean to that of the old version
};

// Strong evidence is looked for with each decision, so a bound that chance exceeds once in 20 times
// would revert most good versions. Suspicion is looked for a few times only.
constexpr Thresholds kStrong{3.3, 0.05, 2.5, 1.6};
constexpr Thresholds kSuspicion{1.6, 0.04, 1.3, 1.4};

constexpr const Thresholds& ThresholdsOf(Evidence evidence) {
  return evidence == Evidence::kStrong ? kStrong : kSuspicion;
}

// Fewer results are not compared, since one lost connection may fail several runs at once.
constexpr double kMinComparedResults = 12;
// Part of the backend servers of a group that is left out, those with most failures.
constexpr double kLeftOutFraction = 0.2;
constexpr std::size_t kMinBackendsToLeaveOut = 3;
// Fewer values of a measure are not compared.
constexpr std::uint64_t kMinMeasuredResults = 20;
constexpr std::size_t kMinMeasuredBackends = 3;
// A response is slow when it takes this many times the median of its backend server, which has at
// least so many values.
constexpr double kSlowResponseFactor = 2.5;
constexpr std::size_t kMinMedianValues = 3;
// A part of slow responses is compared like failures, with this margin.
constexpr double kSlowResponseMargin = 0.1;
// Lower bound of a value, of which the logarithm is taken.
constexpr double kMinMeasure = 1e-3;
// Values that are kept for a backend server, route and measure.
constexpr std::size_t kMaxSamples = 32;
// Added to the prompt tokens, since a short prompt takes some time as well.
constexpr double kFixedPrefillTokens = 500;
constexpr std::uint64_t kMinResults = 60;
constexpr std::uint64_t kMinRouteResults = 25;
// A route with at least this fraction of the results is frequent.
constexpr double kFrequentRouteFraction = 0.1;

/// Wilson score bound of a proportion.
/// @param direction 1 for the upper bound, -1 for the lower one
double WilsonBound(double rate, double count, double quantile, double direction) {
  if (count <= 0) return direction > 0 ? 1 : 0;
  const double z = quantile;
  const double centre = rate + z * z / (2 * count);
  const double spread = z * std::sqrt(rate * (1 - rate) / count + z * z / (4 * count * count));
  return std::clamp((centre + direction * spread) / (1 + z * z / count), 0.0, 1.0);
}

/// A proportion of the target's results, and the one that the old version shows.
struct Proportions {
  double target_count = 0;
  double target_rate = 0;
  double old_count = 0;
  double old_rate = 0;
};

/// @return true when the target's proportion exceeds that of the old version by the margin
bool IsLarger(const Proportions& proportions, double quantile, double margin) {
  if (proportions.target_count < kMinComparedResults) return false;
  // Without old results nothing is expected to fail.
  const double old_bound =
      proportions.old_count > 0
          ? WilsonBound(proportions.old_rate, proportions.old_count, quantile, 1)
          : 0;
  return WilsonBound(proportions.target_rate, proportions.target_count, quantile, -1) >
         old_bound + margin;
}

/// Mean of a measure over backend servers, and its standard error.
struct MeanOfBackends {
  double mean = 0;
  double error = 0;
};

MeanOfBackends MeanOf(const std::vector<double>& values) {
  MeanOfBackends result;
  const auto count = static_cast<double>(values.size());
  for (const double value : values) result.mean += value / count;
  double variance = 0;
  for (const double value : values)
    variance += (value - result.mean) * (value - result.mean) / (count - 1);
  result.error = std::sqrt(variance / count);
  return result;
}

}  // namespace

void VersionEvaluation::Samples::Add(double value) {
  if (values.size() < kMaxSamples) return values.push_back(static_cast<float>(value));
  values[next] = static_cast<float>(value);
  next = (next + 1) % kMaxSamples;
}

double VersionEvaluation::Samples::Mean() const {
  double sum = 0;
  for (const float value : values) sum += value;
  return sum / static_cast<double>(values.size());
}

double VersionEvaluation::Samples::Median() const {
  std::vector<float> sorted = values;
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>((sorted.size() - 1) / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

void VersionEvaluation::Record(VersionGroup group, const VersionResult& result, TimePoint now) {
  BackendResults& backend = m_groups.at(static_cast<std::size_t>(group))[result.backend];
  const SliceIndex slice = now.time_since_epoch() / m_slice;
  for (VersionCounts* counts : {&backend.total, &backend.counts[{result.route, slice}]}) {
    ++counts->results;
    if (result.is_failure) ++counts->failures;
  }
  if (result.is_under_load) {
    VersionCounts& counts = backend.counts_under_load[slice];
    ++counts.results;
    if (result.is_failure) ++counts.failures;
  }
  if (result.is_failure) return;
  Measures& measures = backend.measures[result.route];
  if (result.time_to_first_event) {
    const double tokens = static_cast<double>(result.prefill_tokens) + kFixedPrefillTokens;
    measures[kFirstEvent].Add(static_cast<double>(result.time_to_first_event->count()) / tokens);
    if (result.event_gap_ms) measures[kEventGap].Add(*result.event_gap_ms);
  } else {
    measures[kDuration].Add(static_cast<double>(result.duration.count()));
  }
}

VersionCounts VersionEvaluation::CountsOf(VersionGroup group) const {
  VersionCounts sum;
  for (const auto& [id, backend] : GroupOf(group)) sum += backend.total;
  return sum;
}

VersionEvaluation::GroupCounts VersionEvaluation::CountsWithoutWorst(const Group& group) {
  std::vector<std::pair<std::uint64_t, BackendId>> by_failures;
  for (const auto& [id, backend] : group) by_failures.emplace_back(backend.total.failures, id);
  std::sort(by_failures.rbegin(), by_failures.rend());
  std::set<BackendId> left_out;
  if (by_failures.size() >= kMinBackendsToLeaveOut) {
    const auto count = static_cast<std::size_t>(
        std::ceil(static_cast<double>(by_failures.size()) * kLeftOutFraction));
    for (std::size_t i = 0; i < count; ++i) left_out.insert(by_failures[i].second);
  }
  GroupCounts sums;
  for (const auto& [id, backend] : group) {
    if (left_out.contains(id)) continue;
    for (const auto& [key, counts] : backend.counts) {
      sums.by_route[key.first][key.second] += counts;
      sums.all[key.second] += counts;
    }
    for (const auto& [slice, counts] : backend.counts_under_load) sums.under_load[slice] += counts;
  }
  return sums;
}

bool VersionEvaluation::IsFailing(const SliceCounts& target, const SliceCounts& old,
                                  Evidence evidence) {
  VersionCounts all_old;
  for (const auto& [slice, counts] : old) all_old += counts;
  const double mean_old_rate = all_old.FailureRate();
  VersionCounts all_target;
  double expected_failures = 0;
  for (const auto& [slice, counts] : target) {
    all_target += counts;
    const auto found = old.find(slice);
    const double old_rate = found == old.end() ? mean_old_rate : found->second.FailureRate();
    expected_failures += static_cast<double>(counts.results) * old_rate;
  }
  if (all_target.results == 0) return false;
  const auto results = static_cast<double>(all_target.results);
  const Thresholds& thresholds = ThresholdsOf(evidence);
  return IsLarger({results, all_target.FailureRate(), static_cast<double>(all_old.results),
                   expected_failures / results},
                  thresholds.failure_quantile, thresholds.failure_margin);
}

std::optional<std::string> VersionEvaluation::FindFailures(Evidence evidence) const {
  const GroupCounts target = CountsWithoutWorst(GroupOf(VersionGroup::kTarget));
  const GroupCounts old = CountsWithoutWorst(GroupOf(VersionGroup::kOld));
  for (const auto& [route, counts] : target.by_route) {
    const auto found = old.by_route.find(route);
    if (IsFailing(counts, found == old.by_route.end() ? SliceCounts{} : found->second, evidence))
      return "failures on route " + route;
  }
  // Old backend servers may never be under load; then all of their results are the comparison.
  if (IsFailing(target.under_load, old.under_load.empty() ? old.all : old.under_load, evidence))
    return "failures under load";
  if (IsFailing(target.all, old.all, evidence)) return "failures";
  return std::nullopt;
}

std::vector<std::string> VersionEvaluation::MeasuredRoutes() const {
  std::set<std::string> routes;
  for (const auto& [id, backend] : GroupOf(VersionGroup::kTarget))
    for (const auto& [route, measures] : backend.measures) routes.insert(route);
  return {routes.begin(), routes.end()};
}

std::optional<double> VersionEvaluation::FindSlowMean(const std::string& route, Measure measure,
                                                      Evidence evidence) const {
  std::array<MeanOfBackends, 2> means;
  for (std::size_t group = 0; group < m_groups.size(); ++group) {
    std::vector<double> logarithms;
    std::uint64_t count = 0;
    for (const auto& [id, backend] : m_groups.at(group)) {
      const auto found = backend.measures.find(route);
      if (found == backend.measures.end()) continue;
      const Samples& samples = found->second.at(measure);
      if (samples.values.empty()) continue;
      logarithms.push_back(std::log(std::max(samples.Mean(), kMinMeasure)));
      count += samples.values.size();
    }
    if (count < kMinMeasuredResults || logarithms.size() < kMinMeasuredBackends)
      return std::nullopt;
    means.at(group) = MeanOf(logarithms);
  }
  const auto& [old, target] = means;
  const Thresholds& thresholds = ThresholdsOf(evidence);
  const double error = std::hypot(old.error, target.error);
  const double difference = target.mean - old.mean;
  if (difference - thresholds.mean_quantile * error <= std::log(thresholds.mean_ratio))
    return std::nullopt;
  return std::exp(difference);
}

bool VersionEvaluation::HasSlowResponses(Measure measure, Evidence evidence) const {
  std::array<VersionCounts, 2> counts;  // slow ones as failures
  for (std::size_t group = 0; group < m_groups.size(); ++group) {
    for (const auto& [id, backend] : m_groups.at(group)) {
      for (const auto& [route, measures] : backend.measures) {
        const Samples& samples = measures.at(measure);
        if (samples.values.size() < kMinMedianValues) continue;
        const double bound = samples.Median() * kSlowResponseFactor;
        counts.at(group).results += samples.values.size();
        counts.at(group).failures += static_cast<std::uint64_t>(
            std::count_if(samples.values.begin(), samples.values.end(),
                          [bound](float value) { return value > bound; }));
      }
    }
  }
  const auto& [old, target] = counts;
  return IsLarger({static_cast<double>(target.results), target.FailureRate(),
                   static_cast<double>(old.results), old.FailureRate()},
                  ThresholdsOf(evidence).failure_quantile, kSlowResponseMargin);
}

std::optional<std::string> VersionEvaluation::FindSlowness(Evidence evidence) const {
  const std::vector<std::string> routes = MeasuredRoutes();
  for (std::size_t i = 0; i < kMeasureCount; ++i) {
    const auto measure = static_cast<Measure>(i);
    const std::string name = kMeasureNames.at(i);
    if (HasSlowResponses(measure, evidence)) return name + " is high for some responses";
    for (const std::string& route : routes) {
      const auto ratio = FindSlowMean(route, measure, evidence);
      if (!ratio) continue;
      std::array<char, 32> text{};
      std::snprintf(text.data(), text.size(), "%.1f", *ratio);
      return name + " on route " + route + " is " + text.data() + " times that of the old version";
    }
  }
  return std::nullopt;
}

std::optional<std::string> VersionEvaluation::FindFault(Evidence evidence) const {
  if (auto failures = FindFailures(evidence)) return failures;
  return FindSlowness(evidence);
}

bool VersionEvaluation::HasEnoughResults() const {
  std::map<std::string, std::array<std::uint64_t, 2>> by_route;
  std::uint64_t all = 0;
  for (std::size_t group = 0; group < m_groups.size(); ++group) {
    for (const auto& [id, backend] : m_groups.at(group)) {
      for (const auto& [key, counts] : backend.counts) {
        by_route[key.first].at(group) += counts.results;
        all += counts.results;
      }
    }
  }
  if (CountsOf(VersionGroup::kTarget).results < kMinResults) return false;
  return std::all_of(by_route.begin(), by_route.end(), [all](const auto& entry) {
    const auto& [old, target] = entry.second;
    const bool is_frequent =
        static_cast<double>(old + target) >= kFrequentRouteFraction * static_cast<double>(all);
    return !is_frequent || target >= kMinRouteResults;
  });
}

}  // namespace bluebellpass::gateway
