#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <random>

#include "fault-matrix.h"
#include "matrix-page.h"

/// Runs the cells of the fault matrix, or seeded pairs of faults, and prints one line for each.

namespace bluebellpass::test {
namespace {

struct Options {
  int shard = 0;
  int shards = 1;
  int pairs = 0;  ///< number of pair cases; 0 runs the matrix
  std::uint32_t seed = 1;
  std::string step;               ///< only steps with this text in their name
  std::string fault;              ///< only faults with this text in their name
  std::vector<std::string> page;  ///< logs to make the page from, instead of running
};

struct Count {
  int passed = 0;
  int failed = 0;
  int answers = 0;
  int unknown = 0;
};

void RunOne(const Step& step, const std::vector<const Fault*>& faults, Count& count) {
  std::string name = step.name + " x " + faults.front()->name;
  if (faults.size() > 1) name += " + " + faults.back()->name;
  CellResult result;
  try {
    result = RunCell(step, faults);
  } catch (const std::exception& error) {
    result.violations = {std::string("the harness failed: ") + error.what()};
  }
  const bool is_passed = result.violations.empty();
  (is_passed ? count.passed : count.failed)++;
  count.answers += result.answers;
  count.unknown += result.unknown;
  std::cout << (is_passed ? "passed: " : "FAILED: ") << name << std::endl;
  for (const std::string& violation : result.violations) {
    std::cout << "    " << violation << std::endl;
  }
}

bool IsChosen(const std::string& name, const std::string& filter) {
  return filter.empty() || name.find(filter) != std::string::npos;
}

void RunMatrix(const Options& options, Count& count) {
  int number = 0;
  for (const Step& step : Steps()) {
    for (const Fault& fault : Faults()) {
      if (!IsChosen(step.name, options.step) || !IsChosen(fault.name, options.fault)) continue;
      if (number++ % options.shards == options.shard) RunOne(step, {&fault}, count);
    }
  }
}

void RunPairs(const Options& options, Count& count) {
  std::mt19937 random(options.seed);
  for (int number = 0; number < options.pairs; ++number) {
    const Step& step = Steps()[random() % Steps().size()];
    const Fault& first = Faults()[random() % Faults().size()];
    const Fault& second = Faults()[random() % Faults().size()];
    if (number % options.shards == options.shard) RunOne(step, {&first, &second}, count);
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
  app.add_option("--page", options.page, "print docs/fault-matrix.md, made from these logs");
  CLI11_PARSE(app, argc, argv);
  if (!options.page.empty()) {
    std::cout << MakeMatrixPage(options.page);
    return 0;
  }
  Count count;
  if (options.pairs > 0) {
    std::cout << "seed " << options.seed << std::endl;
    RunPairs(options, count);
  } else {
    RunMatrix(options, count);
  }
  std::cout << "unknown outcomes: " << count.unknown << " of " << count.answers << " answers"
            << std::endl;
  std::cout << count.passed << " passed, " << count.failed << " failed" << std::endl;
  return count.failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace bluebellpass::test

int main(int argc, char** argv) { return bluebellpass::test::Main(argc, argv); }
