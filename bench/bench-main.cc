#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>

#include "report.h"
#include "standins/load-driver.h"

/// Compares scheduling policies: runs each workload under one policy after the other, with the same
/// seed, against daemons and stand-ins that run as processes.

namespace bluebellpass::bench {
namespace {

struct Options {
  std::string deployment = "associacao";
  std::vector<std::string> workloads;
  std::vector<std::string> policies;
  double scale = 4;
  std::uint64_t seed = 1;
  std::string results = "results";
};

// Longer than the longest deadline, so that requests without an answer after this time are late.
constexpr Millis kDrainTime{7'000};
constexpr std::size_t kMaxConnections = 6'000;

std::int64_t WallClockMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

/// A load driver per data centre, which fetches the list of instances first from an instance of its
/// data centre.
class LoadDrivers {
 public:
  LoadDrivers(test::Cluster& cluster, const Deployment& deployment, const Workload& workload,
              double scale, std::uint64_t seed, std::vector<standin::LoadResult>& results) {
    for (int centre = 0; centre < deployment.data_centres; ++centre) {
      standin::LoadExperiment experiment;
      experiment.streams = MakeStreams(deployment, workload, centre, scale, seed);
      experiment.max_connections = kMaxConnections;
      std::vector<Address> entry_addresses;
      entry_addresses.reserve(static_cast<std::size_t>(deployment.instances));
      for (int i = 0; i < deployment.instances; ++i) {
        entry_addresses.push_back(cluster.CallerAddress((centre + i) % deployment.instances));
      }
      m_drivers.push_back(std::make_unique<standin::LoadDriver>(
          cluster.Loop(), std::move(experiment), std::move(entry_addresses)));
      m_drivers.back()->OnResult(
          [&results](const standin::LoadResult& result) { results.push_back(result); });
    }
  }

  void Start() {
    for (const auto& driver : m_drivers) driver->Start();
  }

  void AbandonRequests() {
    for (const auto& driver : m_drivers) driver->AbandonRequests();
  }

  bool IsDone() const {
    return std::all_of(m_drivers.begin(), m_drivers.end(),
                       [](const auto& driver) { return driver->IsDone(); });
  }

 private:
  std::vector<std::unique_ptr<standin::LoadDriver>> m_drivers;
};

void InjectIncidents(test::Cluster& cluster, const Workload& workload, TimePoint start) {
  for (const Incident& incident : workload.incidents) {
    const auto at = start + std::chrono::duration_cast<TimePoint::duration>(
                                std::chrono::duration<double>(incident.at_s));
    const auto now = std::chrono::steady_clock::now();
    cluster.RunFor(std::chrono::duration_cast<Millis>(std::max(at - now, TimePoint::duration{})));
    incident.apply(cluster);
  }
}

RunRecord RunWorkload(const Deployment& deployment, const Workload& workload,
                      const std::string& policy, const Options& options) {
  test::Cluster cluster(MakeClusterOptions(deployment, policy, options.scale));
  for (int i = 0; i < deployment.instances; ++i) {
    cluster.ControlPeerProxy(i, {{"mode", "pass"}, {"delay_ms", deployment.peer_delay.count()}});
  }
  if (!cluster.WaitForMembers()) std::cerr << "not all instances know each other\n";
  RunRecord record;
  {
    LoadDrivers load_drivers(cluster, deployment, workload, options.scale, options.seed,
                             record.results);
    record.started_ms = WallClockMillis();
    const TimePoint start = std::chrono::steady_clock::now();
    load_drivers.Start();
    InjectIncidents(cluster, workload, start);
    const auto total_time = Millis{static_cast<std::int64_t>(workload.end_s * 1000)} + kDrainTime;
    const auto remaining_time =
        total_time - std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - start);
    cluster.RunUntil([&] { return load_drivers.IsDone(); }, remaining_time);
    load_drivers.AbandonRequests();
    record.executions = cluster.Executions();
  }
  return record;
}

bool IsSelected(const std::vector<std::string>& selected, const std::string& name) {
  return selected.empty() || std::find(selected.begin(), selected.end(), name) != selected.end();
}

void WriteResults(const Options& options, const std::vector<PolicyRun>& runs) {
  nlohmann::json document = {{"deployment", options.deployment},
                             {"scale", options.scale},
                             {"seed", options.seed},
                             {"started_ms", WallClockMillis()},
                             {"runs", nlohmann::json::array()}};
  for (const PolicyRun& run : runs) document["runs"].push_back(ToJson(run));
  std::filesystem::create_directories(options.results);
  const std::string path =
      options.results + "/bench-" + std::to_string(WallClockMillis()) + ".json";
  std::ofstream(path) << document.dump(2) << '\n';
  std::cout << "\nwritten to " << path << std::endl;
}

int Run(const Options& options) {
  const auto deployment = std::find_if(
      Deployments().begin(), Deployments().end(),
      [&](const Deployment& candidate) { return candidate.name == options.deployment; });
  if (deployment == Deployments().end()) {
    std::cerr << "unknown deployment " << options.deployment << '\n';
    return 2;
  }
  std::cout << "deployment " << deployment->name << ", seed " << options.seed
            << ", engines and deadlines " << options.scale
            << " times as fast as real ones, network delays as they are\n";
  std::vector<PolicyRun> runs;
  for (const Workload& workload : Workloads()) {
    if (!IsSelected(options.workloads, workload.name)) continue;
    for (const std::string policy : {"round-robin", "static", "fair"}) {
      if (!IsSelected(options.policies, policy)) continue;
      std::cerr << workload.name << ", " << policy << std::endl;
      const RunRecord record = RunWorkload(*deployment, workload, policy, options);
      runs.push_back(
          {workload.name, policy, Measure(*deployment, workload, options.scale, record)});
    }
  }
  PrintTables(std::cout, runs);
  PrintScores(std::cout, runs);
  PrintTargets(std::cout, runs);
  WriteResults(options, runs);
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Compares scheduling policies with real daemons and stand-ins.");
  Options options;
  app.add_option("--deployment", options.deployment, "associacao or calentadores");
  app.add_option("--workload", options.workloads, "run only these; repeatable");
  app.add_option("--policy", options.policies, "run only these; repeatable");
  app.add_option("--scale", options.scale, "factor on the engines' rates");
  app.add_option("--seed", options.seed, "seed of the arrivals");
  app.add_option("--results", options.results, "folder for the figures");
  CLI11_PARSE(app, argc, argv);
  return Run(options);
}

}  // namespace
}  // namespace bluebellpass::bench

int main(int argc, char** argv) { return bluebellpass::bench::Main(argc, argv); }
