#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "scenarios.h"

/// Runs the scenarios and prints one line for each.

namespace bluebellpass::test {
namespace {

struct Options {
  int shard = 0;
  int shards = 1;
  std::uint32_t seed = 1;
  std::string only;  ///< only scenarios with this text in their name
};

bool RunOne(const Scenario& scenario, std::uint32_t seed) {
  std::vector<std::string> violations;
  try {
    violations = scenario.run(seed);
  } catch (const std::exception& error) {
    violations.push_back(std::string("the scenario could not be run: ") + error.what());
  }
  std::cout << (violations.empty() ? "passed: " : "FAILED: ") << scenario.name << std::endl;
  for (const std::string& violation : violations) std::cout << "    " << violation << std::endl;
  return violations.empty();
}

int Main(int argc, char** argv) {
  CLI::App app("Runs scenarios with real processes and faults.");
  Options options;
  app.add_option("--shard", options.shard, "which part of the scenarios to run");
  app.add_option("--shards", options.shards, "number of parts");
  app.add_option("--seed", options.seed, "seed of random choices");
  app.add_option("--only", options.only, "only scenarios with this text in their name");
  CLI11_PARSE(app, argc, argv);
  int passed = 0;
  int failed = 0;
  int number = 0;
  for (const Scenario& scenario : Scenarios()) {
    if (scenario.name.find(options.only) == std::string::npos) continue;
    if (number++ % options.shards != options.shard) continue;
    (RunOne(scenario, options.seed) ? passed : failed)++;
  }
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  // A misspelt name must not look like a pass.
  return failed == 0 && (passed > 0 || options.only.empty()) ? 0 : 1;
}

}  // namespace
}  // namespace bluebellpass::test

int main(int argc, char** argv) { return bluebellpass::test::Main(argc, argv); }
