#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace bluebellpass {

/// Counters, gauges and summaries of the process, in the Prometheus text format.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds to a counter.
  /// @param name metric name without the prefix "bluebellpass_"
  /// @param labels such as `tier="urgent"`; may be empty
  void Count(const std::string& name, const std::string& labels = "", std::int64_t amount = 1);

  /// Sets a gauge.
  void Set(const std::string& name, double value, const std::string& labels = "");

  /// Adds an observation to a summary with the quantiles 0.5, 0.95 and 0.99.
  void Observe(const std::string& name, double value, const std::string& labels = "");

  /// @return all metrics in the Prometheus text format
  std::string Render() const;

 private:
  struct Summary;
  using Labelled = std::map<std::string, double>;

  std::map<std::string, Labelled> m_counters;
  std::map<std::string, Labelled> m_gauges;
  std::map<std::string, std::map<std::string, std::unique_ptr<Summary>>> m_summaries;
};

}  // namespace bluebellpass
