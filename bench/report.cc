#include "report.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace bluebellpass::bench {
namespace {

using nlohmann::json;

constexpr char kFair[] = "fair";
constexpr char kFloodLeast[] = "flood-least";
constexpr char kFloodMost[] = "flood-most";
constexpr char kNormal[] = "normal";
constexpr char kOneLarge[] = "one-large";
constexpr char kLoss[] = "loss";

json ToJson(const Percentiles& percentiles) {
  return {{"p50", percentiles.p50}, {"p95", percentiles.p95}, {"p99", percentiles.p99}};
}

json ToJson(const TierFigures& tier) {
  return {{"asked", tier.asked},
          {"on_time", tier.on_time},
          {"late", tier.late},
          {"not_run", tier.not_run},
          {"errors", tier.errors},
          {"asked_tokens", tier.asked_tokens},
          {"on_time_tokens", tier.on_time_tokens},
          {"goodput", tier.Goodput()},
          {"reference_goodput", tier.reference_goodput},
          {"bound", tier.goodput_bound},
          {"token_share", tier.token_share},
          {"first_token_ms", ToJson(tier.time_to_first_token)},
          {"latency_ms", ToJson(tier.latency)}};
}

const TierFigures& TierOf(const PolicyRun& run, std::size_t kind) {
  static const TierFigures empty;
  const auto found = run.figures.tiers.find(Kinds()[kind].tier);
  return found == run.figures.tiers.end() ? empty : found->second;
}

std::string Text(const Percentiles& percentiles) {
  std::ostringstream text;
  text << std::lround(percentiles.p50) << '/' << std::lround(percentiles.p95) << '/'
       << std::lround(percentiles.p99);
  return text.str();
}

void PrintTierRow(std::ostream& out, const std::string& policy, const std::string& name,
                  const TierFigures& tier) {
  out << std::left << std::setw(12) << policy << std::setw(8) << name << std::right << std::setw(7)
      << tier.asked << std::setw(7) << tier.on_time << std::setw(7) << tier.late << std::setw(9)
      << tier.Goodput() << std::setw(8) << tier.reference_goodput << std::setw(8)
      << tier.goodput_bound << std::setw(10) << tier.on_time_tokens << std::setw(8)
      << tier.token_share << std::setw(18) << Text(tier.time_to_first_token) << std::setw(18)
      << Text(tier.latency) << '\n';
}

void PrintTierRows(std::ostream& out, const PolicyRun& run) {
  for (const RequestKind& kind : Kinds()) {
    const auto found = run.figures.tiers.find(kind.tier);
    if (found != run.figures.tiers.end()) PrintTierRow(out, run.policy, kind.tier, found->second);
  }
}

void PrintRunSummary(std::ostream& out, const PolicyRun& run) {
  const RunFigures& figures = run.figures;
  out << std::left << std::setw(12) << run.policy << std::right << "small/large "
      << figures.small_to_large << ", Jain " << figures.jain << ", wasted prefill "
      << figures.wasted_prefill << ", late prefill " << figures.late_prefill << ", prefix hits "
      << figures.prefix_hits << ", unknown " << figures.unknown << ", not sent " << figures.not_sent
      << ", executions above one " << figures.repeated_executions << ", bookings "
      << figures.bookings_on_time << '/' << figures.bookings;
  if (figures.recovery_s >= 0) out << ", recovery " << figures.recovery_s << " s";
  out << '\n';
}

std::vector<std::string> DistinctValues(const std::vector<PolicyRun>& runs,
                                        const std::function<std::string(const PolicyRun&)>& key) {
  std::vector<std::string> names;
  for (const PolicyRun& run : runs) {
    const std::string name = key(run);
    if (std::find(names.begin(), names.end(), name) == names.end()) names.push_back(name);
  }
  return names;
}

double ClampToUnit(double value) { return std::clamp(value, 0.0, 1.0); }

/// @return the fraction of the prefill that was neither wasted nor late
double UsefulPrefill(const PolicyRun& run) {
  return ClampToUnit(1 - run.figures.wasted_prefill - run.figures.late_prefill);
}

/// @return the token share of the tiers that do not flood, relative to the share they were entitled
/// to: the smaller of their minimum share and their share of the asked tokens
double OtherTiersShare(const PolicyRun& run) {
  double asked = 0;
  for (std::size_t kind = 0; kind < Kinds().size(); ++kind) {
    asked += static_cast<double>(TierOf(run, kind).asked_tokens);
  }
  double entitled_share = 0;
  double received_share = 0;
  for (std::size_t kind = 1; kind < Kinds().size(); ++kind) {
    const TierFigures& tier = TierOf(run, kind);
    const double asked_share = asked > 0 ? static_cast<double>(tier.asked_tokens) / asked : 0;
    const double tier_entitlement = std::min(asked_share, Kinds()[kind].minimum_share);
    entitled_share += tier_entitlement;
    received_share += std::min(tier.token_share, tier_entitlement);
  }
  return entitled_share > 0 ? received_share / entitled_share : 0;
}

bool IsFloodWorkload(const PolicyRun& run) {
  return run.workload == kFloodLeast || run.workload == kFloodMost;
}

using ScoreFunction = std::function<double(const PolicyRun&)>;

double AssociacaoScore(const PolicyRun& run) {
  return 0.35 * ClampToUnit(TierOf(run, 2).BoundedGoodput()) +
         0.35 * ClampToUnit(run.figures.small_to_large) +
         0.2 * ClampToUnit(TierOf(run, 0).BoundedGoodput()) + 0.1 * UsefulPrefill(run);
}

double CalentadoresScore(const PolicyRun& run) {
  return 0.5 * ClampToUnit(TierOf(run, 0).BoundedGoodput()) + 0.2 * OtherTiersShare(run) +
         0.2 * ClampToUnit(TierOf(run, 2).BoundedGoodput()) + 0.1 * UsefulPrefill(run);
}

void PrintScore(std::ostream& out, const std::string& name, const std::vector<PolicyRun>& runs,
                const ScoreFunction& score,
                const std::function<bool(const PolicyRun&)>& is_included) {
  out << "score " << name << ":";
  for (const std::string& policy :
       DistinctValues(runs, [](const auto& run) { return run.policy; })) {
    double sum = 0;
    int count = 0;
    for (const PolicyRun& run : runs) {
      if (run.policy != policy || !is_included(run)) continue;
      sum += score(run);
      ++count;
    }
    if (count > 0) out << "  " << policy << ' ' << sum / count;
  }
  out << '\n';
}

void PrintTarget(std::ostream& out, const PolicyRun& run, const std::string& name, double value,
                 double target, bool is_minimum) {
  const double margin = is_minimum ? value - target : target - value;
  out << (margin >= 0 ? "met     " : "MISSED  ") << std::left << std::setw(14) << run.workload
      << std::setw(50) << name << std::right << std::setw(8) << value
      << (is_minimum ? " at least " : " at most ") << target << ", distance " << std::showpos
      << margin << std::noshowpos << '\n';
}

void PrintRunTargets(std::ostream& out, const PolicyRun& run) {
  const RunFigures& figures = run.figures;
  const TierFigures& urgent = TierOf(run, 0);
  const TierFigures& batch = TierOf(run, 2);
  if (run.workload == kFloodLeast) {
    const double retained =
        urgent.reference_goodput > 0 ? urgent.Goodput() / urgent.reference_goodput : 0;
    PrintTarget(out, run, "urgent on time, of the value without the flood", retained, 0.99, true);
  }
  if (run.workload == kFloodMost) {
    PrintTarget(out, run, "token share of the other tiers, of that allowed", OtherTiersShare(run),
                0.5, true);
  } else {
    PrintTarget(out, run, "dossier goodput, of the capacity bound", batch.BoundedGoodput(), 0.98,
                true);
  }
  if (run.workload == kOneLarge || run.workload == kNormal || IsFloodWorkload(run)) {
    PrintTarget(out, run, "goodput ratio small/large", figures.small_to_large, 0.95, true);
    PrintTarget(out, run, "Jain's index over organisations", figures.jain, 0.97, true);
  }
  const double waste_limit = run.workload == kNormal ? 0.02 : 0.05;
  PrintTarget(out, run, "wasted prefill, cancelled, repeated or late",
              figures.wasted_prefill + figures.late_prefill, waste_limit, false);
  PrintTarget(out, run, "prefix hits, of one cache for all", figures.prefix_hits, 0.9, true);
  if (run.workload == kLoss) {
    const double recovery = figures.recovery_s < 0 ? 99 : figures.recovery_s;
    PrintTarget(out, run, "seconds until goodput is back", recovery, 5, false);
  }
  PrintTarget(out, run, "executions above one per id",
              static_cast<double>(figures.repeated_executions), 0, false);
}

}  // namespace

json ToJson(const PolicyRun& run) {
  const RunFigures& figures = run.figures;
  json tiers = json::object();
  for (const auto& [name, tier] : figures.tiers) tiers[name] = ToJson(tier);
  return {{"workload", run.workload},
          {"policy", run.policy},
          {"tiers", tiers},
          {"small_to_large", figures.small_to_large},
          {"jain", figures.jain},
          {"wasted_prefill", figures.wasted_prefill},
          {"late_prefill", figures.late_prefill},
          {"prefix_hits", figures.prefix_hits},
          {"recovery_s", figures.recovery_s},
          {"unknown", figures.unknown},
          {"not_sent", figures.not_sent},
          {"executions_above_one", figures.repeated_executions},
          {"bookings", figures.bookings},
          {"booking_errors", figures.booking_errors},
          {"bookings_on_time", figures.bookings_on_time}};
}

void PrintTables(std::ostream& out, const std::vector<PolicyRun>& runs) {
  out << std::fixed << std::setprecision(3);
  for (const std::string& name :
       DistinctValues(runs, [](const auto& run) { return run.workload; })) {
    out << "\n"
        << name << " (times in ms at 50/95/99 percent)\n"
        << std::left << std::setw(12) << "policy" << std::setw(8) << "tier" << std::right
        << std::setw(7) << "asked" << std::setw(7) << "ontime" << std::setw(7) << "late"
        << std::setw(9) << "goodput" << std::setw(8) << "before" << std::setw(8) << "bound"
        << std::setw(10) << "tokens" << std::setw(8) << "share" << std::setw(18) << "first token"
        << std::setw(18) << "latency" << '\n';
    for (const PolicyRun& run : runs) {
      if (run.workload == name) PrintTierRows(out, run);
    }
    for (const PolicyRun& run : runs) {
      if (run.workload == name) PrintRunSummary(out, run);
    }
  }
}

void PrintScores(std::ostream& out, const std::vector<PolicyRun>& runs) {
  out << '\n';
  PrintScore(out, "Associacao", runs, AssociacaoScore, [](const PolicyRun&) { return true; });
  PrintScore(out, "Calentadores Andinos", runs, CalentadoresScore, IsFloodWorkload);
}

void PrintTargets(std::ostream& out, const std::vector<PolicyRun>& runs) {
  out << "\ntargets under " << kFair << "\n";
  for (const PolicyRun& run : runs) {
    if (run.policy == kFair) PrintRunTargets(out, run);
  }
}

}  // namespace bluebellpass::bench
