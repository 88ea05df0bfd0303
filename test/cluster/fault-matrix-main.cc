#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <random>

#include "fault-matrix.h"
#include "matrix-page.h"

/// Runs the cells of the fault matrix, or random pairs of faults, and prints a line for each.

namespace bluebellpass::test {
namespace {

struct Options {
  int shard = 0;
  int shards = 1;
  int pairs = 0;  ///< number of random pairs of faults; 0 runs the matrix
  std::uint32_t seed = 1;
  std::string step;                    ///< runs only steps whose names contain this text
  std::string fault;                   ///< runs only faults whose names contain this text
  std::vector<std::string> page_logs;  ///< logs to make the page from; empty for a run
};

struct Totals {
  int passed = 0;
  int failed = 0;
  int answers = 0;
  int unknown = 0;
};

void RunAndPrint(const Step& step, const std::vector<const Fault*>& faults, Totals& totals) {
  std::string name = step.name + " x " + faults.front()->name;
  if (faults.size() > 1) name += " + " + faults.back()->name;
  CellResult result;
  try {
    result = RunCell(step, faults);
  } catch (const std::exception& error) {
    result.violations = {std::string("the cell could not be run: ") + error.what()};
  }
  const bool is_passed = result.violations.empty();
  (is_passed ? totals.passed : totals.failed)++;
  totals.answers += result.answers;
  totals.unknown += result.unknown;
  std::cout << (is_passed ? "passed: " : "FAILED: ") << name << std::endl;
  for (const std::string& violation : result.violations) {
    std::cout << "    " << violation << std::endl;
  }
}

bool MatchesFilter(const std::string& name, const std::string& filter) {
  return filter.empty() || name.find(filter) != std::string::npos;
}

void RunMatrix(const Options& options, Totals& totals) {
  int index = 0;
  for (const Step& step : Steps()) {
    for (const Fault& fault : Faults()) {
      if (!MatchesFilter(step.name, options.step) || !MatchesFilter(fault.name, options.fault))
        continue;
      if (index++ % options.shards == options.shard) RunAndPrint(step, {&fault}, totals);
    }
  }
}

void RunPairs(const Options& options, Totals& totals) {
  std::mt19937 random(options.seed);
  for (int index = 0; index < options.pairs; ++index) {
    const Step& step = Steps()[random() % Steps().size()];
    const Fault& first = Faults()[random() % Faults().size()];
    const Fault& second = Faults()[random() % Faults().size()];
    if (index % options.shards == options.shard) RunAndPrint(step, {&first, &second}, totals);
  }
}

int Main(int argc, char** argv) {
  CLI::App app("Runs the cells of the fault matrix.");
  Options options;
  app.add_option("--shard", options.shard, "which part of the cells to run");
  app.add_option("--shards", options.shards, "number of parts");
  app.add_option("--pairs", options.pairs, "run this many pairs of faults instead");
  app.add_option("--seed", options.seed, "seed of the pairs");
  app.add_option("--step", options.step, "only steps with this text in their name");
  app.add_option("--fault", options.fault, "only faults with this text in their name");
  app.add_option("--page", options.page_logs, "print docs/fault-matrix.md, made from these logs");
  CLI11_PARSE(app, argc, argv);
  if (!options.page_logs.empty()) {
    std::cout << MakeMatrixPage(options.page_logs);
    return 0;
  }
  Totals totals;
  if (options.pairs > 0) {
    std::cout << "seed " << options.seed << std::endl;
    RunPairs(options, totals);
  } else {
    RunMatrix(options, totals);
  }
  std::cout << "unknown outcomes: " << totals.unknown << " of " << totals.answers << " answers"
            << std::endl;
  std::cout << totals.passed << " passed, " << totals.failed << " failed" << std::endl;
  return totals.failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace bluebellpass::test

int main(int argc, char** argv) { return bluebellpass::test::Main(argc, argv); }
