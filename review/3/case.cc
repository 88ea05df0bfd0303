// Three of six instances are killed and start again while a tenant sends beyond its quota. The
// answer to the registration of one of them is lost. The fleet must keep to the quota in every
// window.

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../standins/deployment.h"

namespace bluebellpass::review {
namespace {

constexpr std::size_t kGateways = 6;
constexpr int kEngines = 4;
constexpr int kEngineSlots = 9;
constexpr int kClients = 120;
constexpr std::size_t kKilled = 3;
constexpr double kRatePerS = 60'000;
constexpr double kBurst = 60'000;
constexpr int kTokens = 2'000;
// Usually a tenant sends its quota / 1.8; one that is hot sends 6 times as much for 11 s.
constexpr double kUsualPerS = kRatePerS / 1.8;
constexpr double kHotFactor = 6.0;
constexpr Millis kUsualTime{13'000};
constexpr Millis kHotTime{11'000};
constexpr Millis kKillAfter{500};
constexpr Millis kDownTime{500};
constexpr Millis kDeadline{1'500};
constexpr char kRegistrationKind[] = "bluebellpass-instances";

/// The requests that clients sent and engines ran.
class Tally {
 public:
  void Sent(const std::string& id, Clock::time_point at) {
    const std::scoped_lock lock(m_mutex);
    m_sent[id] = at;
  }
  void Ran(const EngineRun& run) {
    const std::scoped_lock lock(m_mutex);
    m_runs.push_back(run);
  }
  /// @return the most tokens that were both sent and run in a window, and its start
  std::pair<double, Clock::time_point> Most(Clock::duration window) {
    const std::scoped_lock lock(m_mutex);
    std::pair<double, Clock::time_point> most{0, {}};
    for (const auto& [id, start] : m_sent) {
      double sum = 0;
      for (const EngineRun& run : m_runs) {
        const auto sent = m_sent.find(run.request);
        if (sent != m_sent.end() && sent->second >= start && run.at < start + window)
          sum += run.tokens;
      }
      if (sum > most.first) most = {sum, start};
    }
    return most;
  }

 private:
  std::mutex m_mutex;
  std::map<std::string, Clock::time_point> m_sent;
  std::vector<EngineRun> m_runs;
};

/// Sends requests at random times with the usual rate, and with the higher one while the tenant is
/// hot.
void SendRequests(const Deployment& deployment, Journal& journal, Tally& tally, int number,
                  Clock::time_point hot_from, Clock::time_point hot_until) {
  Client client(deployment, number);
  client.UseDirectory(static_cast<std::size_t>(number) % kGateways);
  std::mt19937 random(static_cast<unsigned>(number));
  while (Clock::now() < hot_until) {
    const bool is_hot = Clock::now() >= hot_from;
    const double per_s = kUsualPerS / kTokens / kClients * (is_hot ? kHotFactor : 1);
    const std::chrono::duration<double> pause(std::exponential_distribution<>(per_s)(random));
    const auto next = Clock::now() + std::chrono::duration_cast<Clock::duration>(pause);
    if (!is_hot && next > hot_from) {
      std::this_thread::sleep_until(hot_from);
      continue;
    }
    std::this_thread::sleep_until(std::min(next, hot_until));
    const Exchange exchange =
        client.Send("GET", "/lookup/stock", {{"Token-Count", "1900,100"}}, kDeadline);
    tally.Sent(exchange.id, exchange.sent);
    journal.Write("client " + exchange.id + " to " + exchange.gateway + " sent at " +
                  std::to_string(journal.Seconds(exchange.sent)) + ": " +
                  std::to_string(exchange.response.Status()) + " " + Describe(exchange.result));
  }
}

int Run(const std::string& folder, const std::string& record) {
  Journal journal(record);
  Tally tally;
  Deployment deployment(journal, folder, kGateways);
  Store& store = deployment.PlatformStore();
  store.Put("config", "main", MakeConfig(1, kRatePerS, kBurst));
  std::vector<std::unique_ptr<Engine>> engines;
  engines.reserve(kEngines);
  for (int i = 0; i < kEngines; ++i)
    engines.push_back(std::make_unique<Engine>(
        store, journal, deployment.EngineIp(), deployment.EnginePort(i), "i-" + std::to_string(i),
        Engine::Options{"balcao", kEngineSlots}, [&](const EngineRun& run) { tally.Ran(run); }));
  if (!deployment.Start()) return kExitCannotRun;

  const auto hot_from = Clock::now() + kUsualTime;
  const auto hot_until = hot_from + kHotTime;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back(
        [&, i] { SendRequests(deployment, journal, tally, i, hot_from, hot_until); });
  std::this_thread::sleep_until(hot_from + kKillAfter);
  // The coordinator is spared, so that one disruption is seen at a time.
  std::vector<std::size_t> killed;
  for (std::size_t i = 0; i < kGateways; ++i) {
    const auto is_coordinator =
        deployment.Metric(deployment.Gateways()[i], "bluebellpass_gateway_is_coordinator");
    if (is_coordinator == 0.0 && killed.size() < kKilled) killed.push_back(i);
  }
  if (HasTrouble() && killed.size() == kKilled) {
    for (const std::size_t i : killed) deployment.Kill(i);
    std::this_thread::sleep_for(kDownTime);
    store.LoseAnswer(kRegistrationKind, deployment.Gateways()[killed.front()].name);
    journal.Write("the store will lose its answer to the registration of " +
                  deployment.Gateways()[killed.front()].name);
    for (const std::size_t i : killed) deployment.Restart(i);
  }
  for (std::thread& client : clients) client.join();
  if (killed.size() != kKilled) return kExitCannotRun;
  const auto [most, start] = tally.Most(std::chrono::seconds(kQuotaWindowS));
  const double allowed = (kRatePerS * kQuotaWindowS + kBurst) * (1 + kQuotaOver) + kQuotaSlack;
  const std::string verdict = std::to_string(static_cast<long>(most)) +
                              " tokens were sent and run in 8 s from " +
                              std::to_string(journal.Seconds(start)) + "; allowed " +
                              std::to_string(static_cast<long>(allowed)) + "; QUOTA is " +
                              (most > allowed ? "broken" : "kept");
  journal.Write(verdict);
  std::puts(verdict.c_str());
  return most > allowed ? kExitBroken : kExitHeld;
}

}  // namespace
}  // namespace bluebellpass::review

int main(int argc, char** argv) {
  if (argc != 3) return bluebellpass::review::kExitCannotRun;
  return bluebellpass::review::Run(argv[1], argv[2]);
}
