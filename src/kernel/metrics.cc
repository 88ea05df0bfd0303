#include "metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdio>

namespace bluebellpass {
namespace {

namespace acc = boost::accumulators;

constexpr std::array kQuantiles = {0.5, 0.95, 0.99};
// The P-square estimate has 5 markers and needs as many observations.
constexpr std::size_t kMinObservationsForQuantiles = 5;

std::string FormatNumber(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.10g", value);
  return text.data();
}

std::string FormatSample(const std::string& name, const std::string& labels, double value) {
  std::string line = "bluebellpass_" + name;
  if (!labels.empty()) line += "{" + labels + "}";
  return line + " " + FormatNumber(value) + "\n";
}

std::string FormatType(const std::string& name, const char* type) {
  return "# TYPE bluebellpass_" + name + " " + type + "\n";
}

std::string JoinLabels(const std::string& labels, const std::string& label) {
  return labels.empty() ? label : labels + "," + label;
}

}  // namespace

struct Metrics::Summary {
  using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

  void Add(double value) {
    totals(value);
    for (Quantile& quantile : quantiles) quantile(value);
  }

  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>> totals;
  std::array<Quantile, kQuantiles.size()> quantiles = {
      Quantile(acc::quantile_probability = kQuantiles[0]),
      Quantile(acc::quantile_probability = kQuantiles[1]),
      Quantile(acc::quantile_probability = kQuantiles[2])};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::IncrementCounter(const std::string& name, const std::string& labels,
                               std::int64_t amount) {
  m_counters[name][labels] += static_cast<double>(amount);
}

void Metrics::SetGauge(const std::string& name, double value, const std::string& labels) {
  m_gauges[name][labels] = value;
}

void Metrics::ClearGauge(const std::string& name) { m_gauges.erase(name); }

void Metrics::ObserveSummary(const std::string& name, double value, const std::string& labels) {
  auto& summary = m_summaries[name][labels];
  if (!summary) summary = std::make_unique<Summary>();
  summary->Add(value);
}

void Metrics::ObserveLatency(const std::string& name, double ms, const std::string& labels) {
  Histogram& histogram = m_histograms[name][labels];
  const auto* bound = std::lower_bound(kLatencyBoundsMs.begin(), kLatencyBoundsMs.end(), ms);
  ++histogram.counts.at(static_cast<std::size_t>(bound - kLatencyBoundsMs.begin()));
  histogram.sum_ms += ms;
}

std::string Metrics::RenderHistograms() const {
  std::string text;
  for (const auto& [name, series] : m_histograms) {
    text += FormatType(name, "histogram");
    for (const auto& [labels, histogram] : series) {
      std::uint64_t total = 0;
      for (std::size_t i = 0; i < histogram.counts.size(); ++i) {
        total += histogram.counts.at(i);
        const std::string bound = i < kLatencyBoundsMs.size() ? FormatNumber(kLatencyBoundsMs.at(i))
                                                              : std::string("+Inf");
        text += FormatSample(name + "_bucket", JoinLabels(labels, "le=\"" + bound + "\""),
                             static_cast<double>(total));
      }
      text += FormatSample(name + "_sum", labels, histogram.sum_ms);
      text += FormatSample(name + "_count", labels, static_cast<double>(total));
    }
  }
  return text;
}

std::string Metrics::Render() const {
  std::string text;
  for (const auto& [name, series] : m_counters) {
    text += FormatType(name, "counter");
    for (const auto& [labels, value] : series) text += FormatSample(name, labels, value);
  }
  for (const auto& [name, series] : m_gauges) {
    text += FormatType(name, "gauge");
    for (const auto& [labels, value] : series) text += FormatSample(name, labels, value);
  }
  for (const auto& [name, series] : m_summaries) {
    text += FormatType(name, "summary");
    for (const auto& [labels, summary] : series) {
      const auto count = acc::count(summary->totals);
      for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
        if (count < kMinObservationsForQuantiles) break;
        const double value = acc::p_square_quantile(summary->quantiles[i]);
        text += FormatSample(
            name, JoinLabels(labels, "quantile=\"" + FormatNumber(kQuantiles[i]) + "\""), value);
      }
      text += FormatSample(name + "_sum", labels, acc::sum(summary->totals));
      text += FormatSample(name + "_count", labels, static_cast<double>(count));
    }
  }
  return text + RenderHistograms();
}

}  // namespace bluebellpass
