// A request crashes each engine that begins to run it, and its client sends it again and again,
// while sound requests for the same path with other queries complete. The fleet must stop to send
// it.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../standins/deployment.h"

namespace bluebellpass::review {
namespace {

constexpr int kGateways = 3;
constexpr int kEngines = 6;
constexpr int kSoundClients = 6;
constexpr Millis kSoundPeriod{100};
constexpr Millis kDeadline{1'500};
constexpr Millis kCrashingPeriod{1'500};
constexpr int kCrashingRequests = 16;
// `stable_window_ms`.
constexpr Millis kStableWindow{3'000};
constexpr int kCrashesBefore = 3;
constexpr int kMaxRetries = 3;
constexpr char kCrashingTarget[] = "/lookup/item?id=666";

int Run(const std::string& folder, const std::string& record) {
  Journal journal(record);
  Deployment deployment(journal, folder, kGateways);
  Store& store = deployment.PlatformStore();
  store.Put("config", "main", MakeConfig(1, 0, 0));
  std::mutex mutex;
  std::vector<EngineRun> crashing_runs;
  std::vector<std::unique_ptr<Engine>> engines;
  engines.reserve(kEngines);
  Engine::Options options{"balcao"};
  options.crashing_target = kCrashingTarget;
  for (int i = 0; i < kEngines; ++i)
    engines.push_back(std::make_unique<Engine>(store, journal, deployment.EngineIp(),
                                               deployment.EnginePort(i), "i-" + std::to_string(i),
                                               options, [&](const EngineRun& run) {
                                                 const std::scoped_lock lock(mutex);
                                                 if (run.path == kCrashingTarget)
                                                   crashing_runs.push_back(run);
                                               }));
  if (!deployment.Start()) return kExitCannotRun;

  std::atomic<bool> is_over{false};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  clients.reserve(kSoundClients);
  for (int i = 0; i < kSoundClients; ++i) {
    clients.emplace_back([&, i] {
      Client client(deployment, i);
      for (int n = 0; !is_over; ++n) {
        const std::string path = "/lookup/item?id=" + std::to_string(n % 500);
        const Exchange exchange = client.Send("GET", path, {}, kDeadline);
        if (exchange.response.Status() == 200) ++served;
        journal.Write("client " + exchange.id + " GET " + path + " to " + exchange.gateway + ": " +
                      std::to_string(exchange.response.Status()) + " " + Describe(exchange.result));
        std::this_thread::sleep_for(kSoundPeriod);
      }
    });
  }
  Client client(deployment, kSoundClients);
  std::vector<Exchange> crashing;
  for (int n = 0; n < kCrashingRequests; ++n) {
    if (HasTrouble()) {
      crashing.push_back(client.Send("GET", kCrashingTarget, {}, kDeadline));
      const Exchange& exchange = crashing.back();
      journal.Write("client " + exchange.id + " GET " + kCrashingTarget + " to " +
                    exchange.gateway + ": " + std::to_string(exchange.response.Status()) + " " +
                    Describe(exchange.result));
    }
    std::this_thread::sleep_for(kCrashingPeriod);
  }
  is_over = true;
  for (std::thread& thread : clients) thread.join();
  if (served == 0) return kExitCannotRun;

  const std::scoped_lock lock(mutex);
  long retries = 0;
  if (crashing_runs.size() >= kCrashesBefore) {
    const auto from = crashing_runs[kCrashesBefore - 1].at + kStableWindow;
    retries = std::count_if(crashing.begin(), crashing.end(), [&](const Exchange& exchange) {
      return exchange.sent > from &&
             std::any_of(crashing_runs.begin(), crashing_runs.end(),
                         [&](const EngineRun& run) { return run.request == exchange.id; });
    });
  }
  const std::string verdict = "the request crashed " + std::to_string(crashing_runs.size()) +
                              " engines; " + std::to_string(retries) +
                              " retries reached engines later than 3 s after the third crash; " +
                              std::to_string(served) + " sound requests were served; BUDGET is " +
                              (retries > kMaxRetries ? "broken" : "kept");
  journal.Write(verdict);
  std::puts(verdict.c_str());
  return retries > kMaxRetries ? kExitBroken : kExitHeld;
}

}  // namespace
}  // namespace bluebellpass::review

int main(int argc, char** argv) {
  if (argc != 3) return bluebellpass::review::kExitCannotRun;
  return bluebellpass::review::Run(argv[1], argv[2]);
}
