#include <CLI/CLI.hpp>
#include <iostream>

#include "soak.h"

/// Randomized fault-injection test of the gateway; see soak.h.
int main(int argc, char** argv) {
  using bluebellpass::test::RunSoak;
  using bluebellpass::test::SoakOptions;
  CLI::App app("Runs gateways under random faults and checks what callers and engines see.");
  SoakOptions options;
  options.gateway_binary = std::string(BLUEBELLPASS_BINARY_DIR) + "/bluebellpass";
  std::vector<std::uint64_t> seeds = {1};
  app.add_option("--seeds", seeds, "seeds, one run each");
  app.add_option("--seconds", options.fault_duration_s, "time with faults")
      ->check(CLI::Range(1, 600));
  app.add_option("--gateways", options.gateways)->check(CLI::Range(1, 60));
  bool shows_faults = false;
  app.add_flag("--faults", shows_faults, "show the faults of seeds that passed, too");
  CLI11_PARSE(app, argc, argv);
  int failed = 0;
  for (const std::uint64_t seed : seeds) {
    options.seed = seed;
    const auto report = RunSoak(options);
    std::cout << "seed " << seed << ": asked " << report.requests << ", served " << report.served
              << ", refused " << report.refused << ", failed " << report.failed
              << "; streams taken up " << report.taken_up << ", joined " << report.joined
              << ", continued runs " << report.continued_runs << "; after " << report.faults.size()
              << " faults served " << report.served_after_recovery << " of "
              << report.requests_after_recovery << "; breaches " << report.violations.size()
              << std::endl;
    if (shows_faults || !report.violations.empty())
      for (const std::string& fault : report.faults) std::cout << "  fault: " << fault << '\n';
    if (report.violations.empty()) continue;
    ++failed;
    for (const std::string& violation : report.violations)
      std::cout << "  BREACH: " << violation << '\n';
    std::cout << "  logs: " << report.log_folder << std::endl;
  }
  std::cout << seeds.size() - static_cast<std::size_t>(failed) << " passed, " << failed << " failed"
            << std::endl;
  return failed == 0 ? 0 : 1;
}
