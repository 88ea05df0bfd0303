#include "measure.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace bluebellpass::bench {
namespace {

using standin::LoadResult;

// The engine stand-in caches prompts in whole blocks of this size.
constexpr std::int64_t kBlockTokens = 16;
// Answers that end earlier after the start of the flood were granted before it.
constexpr double kSettleSeconds = 4;
constexpr std::int64_t kMillisPerSecond = 1000;

const RequestKind* FindKind(const LoadResult& result) {
  if (result.pool == kBookingPool) return nullptr;
  for (const RequestKind& kind : Kinds()) {
    if (kind.tier == result.tier) return &kind;
  }
  return nullptr;
}

std::int64_t TokensOf(const RequestKind& kind) { return kind.prompt_tokens + kind.output_tokens; }

Percentiles PercentilesOf(std::vector<double> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  const auto at = [&](double share) {
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(last * share))];
  };
  return {at(0.5), at(0.95), at(0.99)};
}

double Ratio(double part, double total) { return total > 0 ? part / total : 0; }

/// A span of wall-clock time.
struct TimeSpan {
  std::int64_t from_ms;
  std::int64_t to_ms;

  bool Contains(const LoadResult& result) const {
    return result.due_ms >= from_ms && result.due_ms < to_ms;
  }
};

TimeSpan MakeTimeSpan(const RunRecord& record, double from_s, double to_s) {
  const auto wall_ms = [&](double time_s) {
    return record.started_ms + static_cast<std::int64_t>(time_s * kMillisPerSecond);
  };
  return {wall_ms(from_s), wall_ms(to_s)};
}

void CountResult(TierFigures& tier, const RequestKind& kind, const LoadResult& result) {
  ++tier.asked;
  tier.asked_tokens += TokensOf(kind);
  if (result.outcome != "completed") ++tier.errors[result.error];
  if (result.is_on_time) {
    ++tier.on_time;
    tier.on_time_tokens += TokensOf(kind);
  } else if (result.outcome == "completed" || result.outcome == "abandoned") {
    ++tier.late;
  } else if (result.outcome == "not_run") {
    ++tier.not_run;
  }
}

void MeasureTiers(const RunRecord& record, const TimeSpan& span, RunFigures& figures) {
  std::map<std::string, std::vector<double>> first_token_ms;
  std::map<std::string, std::vector<double>> latency_ms;
  for (const LoadResult& result : record.results) {
    const RequestKind* kind = FindKind(result);
    if (kind == nullptr || !span.Contains(result)) continue;
    CountResult(figures.tiers[kind->tier], *kind, result);
    if (result.outcome != "completed") continue;
    first_token_ms[kind->tier].push_back(static_cast<double>(result.first_byte_ms));
    latency_ms[kind->tier].push_back(static_cast<double>(result.done_ms - result.due_ms));
  }
  for (auto& [name, tier] : figures.tiers) {
    tier.time_to_first_token = PercentilesOf(first_token_ms[name]);
    tier.latency = PercentilesOf(latency_ms[name]);
  }
}

/// Measures each tier's share of the tokens of answers on time that ended in the span. Later
/// answers are left out, since they no longer compete with the flood.
void MeasureTokenShares(const RunRecord& record, const TimeSpan& span, RunFigures& figures) {
  std::map<std::string, double> tokens;
  double total = 0;
  for (const LoadResult& result : record.results) {
    const RequestKind* kind = FindKind(result);
    const bool is_in_span = result.done_ms >= span.from_ms && result.done_ms < span.to_ms;
    if (kind == nullptr || !result.is_on_time || !is_in_span) continue;
    tokens[kind->tier] += static_cast<double>(TokensOf(*kind));
    total += static_cast<double>(TokensOf(*kind));
  }
  for (auto& [name, tier] : figures.tiers) tier.token_share = Ratio(tokens[name], total);
}

void MeasureReference(const RunRecord& record, const TimeSpan& span, RunFigures& figures) {
  std::map<std::string, TierFigures> before;
  for (const LoadResult& result : record.results) {
    const RequestKind* kind = FindKind(result);
    if (kind != nullptr && span.Contains(result)) CountResult(before[kind->tier], *kind, result);
  }
  for (auto& [name, tier] : figures.tiers) tier.reference_goodput = before[name].Goodput();
}

/// Measures the work that the engines could do for each tier if more urgent tiers were served first
/// except for the minimum shares, and all shared prefixes were cached.
void MeasureBounds(const Deployment& deployment, const Workload& workload, double scale,
                   RunFigures& figures) {
  const double span_s = workload.end_s - workload.measured_from_s;
  double used = 0;
  for (const RequestKind& kind : Kinds()) {
    TierFigures& tier = figures.tiers[kind.tier];
    const double asked = static_cast<double>(tier.asked) * RunSeconds(kind, true);
    // Requests near the end may be answered until their deadline, after the measured part.
    const double total = deployment.Capacity() * (scale * span_s + kind.deadline_s);
    const double remaining = std::max(total - used, kind.minimum_share * total);
    tier.goodput_bound = asked > 0 ? std::min(remaining / asked, 1.0) : 1;
    used += asked;
  }
}

/// Measures the part of its fair share that each organisation received, over all tiers.
void MeasureFairness(const Deployment& deployment, const RunRecord& record, const TimeSpan& span,
                     RunFigures& figures) {
  const std::size_t count = deployment.organisations.size();
  std::vector<double> fair_sum(count);
  std::vector<double> received_sum(count);
  for (const RequestKind& kind : Kinds()) {
    std::vector<double> asked(count);
    std::vector<double> received(count);
    for (const LoadResult& result : record.results) {
      if (FindKind(result) != &kind || !span.Contains(result)) continue;
      for (std::size_t i = 0; i < count; ++i) {
        if (deployment.organisations[i].name != result.organisation) continue;
        asked[i] += static_cast<double>(TokensOf(kind));
        if (result.is_on_time) received[i] += static_cast<double>(TokensOf(kind));
      }
    }
    const std::vector<double> fair =
        MaxMinFairShares(asked, std::accumulate(received.begin(), received.end(), 0.0));
    for (std::size_t i = 0; i < count; ++i) {
      fair_sum[i] += fair[i];
      received_sum[i] += received[i];
    }
  }
  std::vector<double> shares;
  std::vector<double> small;
  std::vector<double> large;
  for (std::size_t i = 0; i < count; ++i) {
    if (fair_sum[i] <= 0) continue;
    shares.push_back(received_sum[i] / fair_sum[i]);
    (deployment.organisations[i].is_large ? large : small).push_back(shares.back());
  }
  const auto mean = [](const std::vector<double>& values) {
    return Ratio(std::accumulate(values.begin(), values.end(), 0.0),
                 static_cast<double>(values.size()));
  };
  figures.jain = JainIndex(shares);
  figures.small_to_large = Ratio(mean(small), mean(large));
}

/// Measures the prefill of all executions of the run, since a cancelled one cannot be assigned to
/// the reference or the measured part.
void MeasurePrefill(const RunRecord& record, RunFigures& figures) {
  std::map<std::string, const LoadResult*> by_id;
  for (const LoadResult& result : record.results) by_id[result.id] = &result;
  std::set<std::string> seen;
  std::set<std::string> prefixes;
  double total = 0;
  double wasted = 0;
  double late = 0;
  double hits = 0;
  double possible_hits = 0;
  for (const test::Execution& execution : record.executions) {
    if (!execution.key.empty()) {
      if (!seen.insert("key " + execution.key).second) ++figures.repeated_executions;
      continue;
    }
    const auto uncached = static_cast<double>(execution.input_tokens - execution.cached_tokens);
    total += uncached;
    const bool is_repeated = !seen.insert(execution.request_id).second;
    if (is_repeated) ++figures.repeated_executions;
    const auto found = by_id.find(execution.request_id);
    const LoadResult* result = found == by_id.end() ? nullptr : found->second;
    if (execution.is_cancelled || is_repeated) {
      wasted += uncached;
    } else if (result != nullptr && !result->is_on_time) {
      late += uncached;
    }
    const RequestKind* kind = result == nullptr ? nullptr : FindKind(*result);
    if (kind == nullptr || kind->shared_tokens == 0) continue;
    hits += static_cast<double>(execution.cached_tokens);
    const bool is_first = prefixes.insert(result->organisation + "/" + kind->tier).second;
    if (!is_first) {
      const std::int64_t blocks = kind->shared_tokens / kBlockTokens;
      possible_hits += static_cast<double>(blocks * kBlockTokens);
    }
  }
  figures.wasted_prefill = Ratio(wasted, total);
  figures.late_prefill = Ratio(late, total);
  figures.prefix_hits = Ratio(hits, possible_hits);
}

/// Measures the time from the incident until the end of the last second in which less than 95% of
/// the requests were on time.
void MeasureRecovery(const Workload& workload, const RunRecord& record, RunFigures& figures) {
  if (workload.incidents.empty()) return;
  const double at = workload.incidents.front().at_s;
  figures.recovery_s = 0;
  for (int second = 0; at + second < workload.end_s; ++second) {
    const TimeSpan span = MakeTimeSpan(record, at + second, at + second + 1);
    double asked = 0;
    double on_time = 0;
    for (const LoadResult& result : record.results) {
      if (FindKind(result) == nullptr || !span.Contains(result)) continue;
      asked += 1;
      on_time += result.is_on_time ? 1 : 0;
    }
    if (on_time < 0.95 * asked) figures.recovery_s = second + 1;
  }
  if (at + figures.recovery_s >= workload.end_s) figures.recovery_s = -1;
}

void MeasureOutcomes(const RunRecord& record, RunFigures& figures) {
  for (const LoadResult& result : record.results) {
    if (result.outcome == "unknown") ++figures.unknown;
    if (result.outcome == "not_sent") ++figures.not_sent;
    if (result.pool != kBookingPool) continue;
    ++figures.bookings;
    if (result.is_on_time) ++figures.bookings_on_time;
    if (result.outcome != "completed") ++figures.booking_errors[result.error];
  }
}

}  // namespace

double TierFigures::Goodput() const {
  return asked == 0 ? 0 : static_cast<double>(on_time) / static_cast<double>(asked);
}

double TierFigures::BoundedGoodput() const {
  return goodput_bound > 0 ? Goodput() / goodput_bound : 0;
}

std::vector<double> MaxMinFairShares(const std::vector<double>& asked, double total) {
  std::vector<std::size_t> order(asked.size());
  std::iota(order.begin(), order.end(), 0U);
  std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b) { return asked[a] < asked[b]; });
  std::vector<double> shares(asked.size());
  std::size_t remaining = asked.size();
  for (const std::size_t i : order) {
    shares[i] = std::min(asked[i], total / static_cast<double>(remaining--));
    total -= shares[i];
  }
  return shares;
}

double JainIndex(const std::vector<double>& values) {
  double sum = 0;
  double squares = 0;
  for (const double value : values) {
    sum += value;
    squares += value * value;
  }
  return squares > 0 ? sum * sum / (static_cast<double>(values.size()) * squares) : 0;
}

RunFigures Measure(const Deployment& deployment, const Workload& workload, double scale,
                   const RunRecord& record) {
  RunFigures figures;
  const TimeSpan measured = MakeTimeSpan(record, workload.measured_from_s, workload.end_s);
  MeasureTiers(record, measured, figures);
  MeasureTokenShares(
      record, MakeTimeSpan(record, workload.measured_from_s + kSettleSeconds, workload.end_s),
      figures);
  MeasureReference(
      record, MakeTimeSpan(record, workload.reference_from_s, workload.measured_from_s), figures);
  MeasureBounds(deployment, workload, scale, figures);
  MeasureFairness(deployment, record, measured, figures);
  MeasurePrefill(record, figures);
  MeasureRecovery(workload, record, figures);
  MeasureOutcomes(record, figures);
  return figures;
}

}  // namespace bluebellpass::bench
