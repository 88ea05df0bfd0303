#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace bluebellpass {

/// Counters, gauges, summaries and histograms of the process.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds to a counter.
  /// @param name metric name without the prefix "bluebellpass_"
  /// @param labels for example `tier="urgent"`; may be empty
  void IncrementCounter(const std::string& name, const std::string& labels = "",
                        std::int64_t amount = 1);

  /// Sets a gauge.
  void SetGauge(const std::string& name, double value, const std::string& labels = "");

  /// Removes all values of a gauge, so that labels that no longer occur are not rendered.
  void ClearGauge(const std::string& name);

  /// Adds an observation to a summary with the quantiles 0.5, 0.95 and 0.99.
  void ObserveSummary(const std::string& name, double value, const std::string& labels = "");

  /// Adds a latency to a histogram.
  /// @param ms latency in milliseconds
  void ObserveLatency(const std::string& name, double ms, const std::string& labels = "");

  /// @return all metrics in the Prometheus text format
  std::string Render() const;

 private:
  std::string RenderHistograms() const;

  struct Summary;
  /// Upper bounds of the histogram buckets.
  static constexpr std::array<double, 14> kLatencyBoundsMs = {
      1, 2, 5, 10, 25, 50, 100, 250, 500, 1'000, 2'500, 5'000, 10'000, 30'000};
  struct Histogram {
    std::array<std::uint64_t, kLatencyBoundsMs.size() + 1> counts{};
    double sum_ms = 0;
  };
  using ValuesByLabels = std::map<std::string, double>;

  std::map<std::string, ValuesByLabels> m_counters;
  std::map<std::string, ValuesByLabels> m_gauges;
  std::map<std::string, std::map<std::string, std::unique_ptr<Summary>>> m_summaries;
  std::map<std::string, std::map<std::string, Histogram>> m_histograms;
};

}  // namespace bluebellpass
