#include <CLI/CLI.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <set>

#include "scenarios.h"

/// Runs the scenarios and prints a line for each.

namespace bluebellpass::test {
namespace {

struct Options {
  int shard = 0;
  int shards = 1;
  std::uint32_t seed = 1;
  std::string only;            ///< runs only scenarios whose names contain this text
  std::string known_red_path;  ///< path of a list of scenarios to skip; empty for none
};

/// @return names of scenarios that are known to fail, from lines "test: scenarios, NAME" of a file
std::set<std::string> ReadKnownRed(const std::string& path) {
  const std::string prefix = "test: scenarios, ";
  std::set<std::string> names;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(prefix)) names.insert(line.substr(prefix.size()));
  }
  return names;
}

bool RunAndPrint(const Scenario& scenario, std::uint32_t seed) {
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
  app.add_option("--known-red", options.known_red_path,
                 "pass over the scenarios that this file lists");
  CLI11_PARSE(app, argc, argv);
  const std::set<std::string> known_red = ReadKnownRed(options.known_red_path);
  int passed = 0;
  int failed = 0;
  int number = 0;
  for (const Scenario& scenario : Scenarios()) {
    if (scenario.name.find(options.only) == std::string::npos) continue;
    if (number++ % options.shards != options.shard) continue;
    if (known_red.contains(scenario.name)) {
      std::cout << "known red, passed over: " << scenario.name << std::endl;
      continue;
    }
    (RunAndPrint(scenario, options.seed) ? passed : failed)++;
  }
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  // A misspelt name in --only selects no scenario and must not count as a pass.
  return failed == 0 && (passed > 0 || options.only.empty()) ? 0 : 1;
}

}  // namespace
}  // namespace bluebellpass::test

int main(int argc, char** argv) { return bluebellpass::test::Main(argc, argv); }
