// A new configuration adds a route with the prefix "/api/". Its requests must be answered by the
// engines of its service, like those of the other routes.

#include <algorithm>
#include <cstdio>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../standins/deployment.h"

namespace bluebellpass::review {
namespace {

constexpr int kGateways = 3;
constexpr int kEngines = 2;
constexpr int kRounds = 5;
constexpr Millis kDeadline{1'500};
// After the acknowledgement a configuration is in force within `config_ms`.
constexpr Millis kSettleTime{kConfigMs + 1'000};
const std::vector<std::string> kPaths = {"orders", "readyz", "resolve?name=school"};

nlohmann::json WithRoute(nlohmann::json config, const std::string& name,
                         const std::string& prefix) {
  nlohmann::json route = config["routes"][0];
  route["name"] = name;
  route["path_prefix"] = prefix;
  config["routes"].push_back(route);
  return config;
}

int Run(const std::string& folder, const std::string& record) {
  Journal journal(record);
  Deployment deployment(journal, folder, kGateways);
  Store& store = deployment.PlatformStore();
  std::vector<std::string> prefixes = {"/lookup/", "/stock/"};
  store.Put("config", "main", WithRoute(MakeConfig(1, 0, 0), "r-stock", "/stock/"));
  std::mutex mutex;
  std::set<std::string> run_ids;
  std::vector<std::unique_ptr<Engine>> engines;
  engines.reserve(kEngines);
  for (int i = 0; i < kEngines; ++i)
    engines.push_back(std::make_unique<Engine>(
        store, journal, deployment.EngineIp(), deployment.EnginePort(i), "i-" + std::to_string(i),
        Engine::Options{"balcao"}, [&](const EngineRun& run) {
          const std::scoped_lock lock(mutex);
          run_ids.insert(run.request);
        }));
  if (!deployment.Start()) return kExitCannotRun;
  if (HasTrouble()) {
    prefixes.emplace_back("/api/");
    store.Put("config", "main",
              WithRoute(WithRoute(MakeConfig(4, 0, 0), "r-stock", "/stock/"), "r-api", "/api/"));
    journal.Write("configuration 4, which adds the route /api/, is acknowledged");
    std::this_thread::sleep_for(kSettleTime);
  }

  int successes = 0;
  int foreign = 0;
  int others = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < deployment.Gateways().size(); ++i) {
      Client client(deployment, static_cast<int>(i) + round * kGateways);
      if (!client.ConnectTo(deployment.Gateways()[i])) return kExitCannotRun;
      for (const std::string& prefix : prefixes) {
        for (const std::string& path : kPaths) {
          const Exchange exchange = client.Send("GET", prefix + path, {}, kDeadline);
          const int status = exchange.response.Status();
          const std::string seal = exchange.response.Value("Instance-Seal");
          const std::scoped_lock lock(mutex);
          journal.Write("client " + exchange.id + " GET " + prefix + path + " to " +
                        exchange.gateway + ": " + std::to_string(status) + ", seal '" + seal +
                        "', " + (run_ids.contains(exchange.id) ? "was run" : "was not run") +
                        ", body " + exchange.response.body.substr(0, 60));
          const bool is_success = status >= 200 && status < 300;
          if (is_success && seal.empty()) ++foreign;
          if (is_success && !seal.empty()) ++successes;
          if (!is_success) ++others;
        }
      }
    }
  }
  const std::string verdict = std::to_string(foreign) + " successes without a seal, " +
                              std::to_string(successes) + " with one, " + std::to_string(others) +
                              " other answers; MIXED is " + (foreign > 0 ? "broken" : "kept");
  journal.Write(verdict);
  std::puts(verdict.c_str());
  if (successes == 0) return kExitCannotRun;
  return foreign > 0 ? kExitBroken : kExitHeld;
}

}  // namespace
}  // namespace bluebellpass::review

int main(int argc, char** argv) {
  if (argc != 3) return bluebellpass::review::kExitCannotRun;
  return bluebellpass::review::Run(argv[1], argv[2]);
}
