#include <cstdio>
#include <thread>

#include "../standins-2/tenant.h"

/// The store turns away the gateway that coordinates, and some time later the one that has taken
/// over from it. Half a minute later a tenant sends more than its quota.

namespace {

using namespace std::chrono_literals;
using review::Clock;

constexpr review::Quota kQuota{36'000, 36'000};
constexpr std::size_t kEngines = 4;
constexpr std::size_t kClients = 3;
constexpr review::Millis kRejection{6'000};

void TurnAway(review::Deployment& deployment, std::size_t gateway) {
  deployment.Log().Add("the store turns away gateway " + std::to_string(gateway + 1));
  deployment.ObjectStore().SetRejected(gateway, true);
  std::this_thread::sleep_for(kRejection);
  deployment.ObjectStore().SetRejected(gateway, false);
  deployment.Log().Add("the store serves gateway " + std::to_string(gateway + 1));
}

int Play(const review::Arguments& arguments) {
  static review::Record record(arguments.record);
  static review::Deployment deployment({arguments.root, arguments.folder, review::MakeCauEnrutado(),
                                        3, review::Tenant::MakeTenantConfig(kQuota)},
                                       record);
  for (std::size_t i = 0; i < kEngines; ++i)
    deployment.AddEngine({"i-llm-" + std::to_string(i), "modelo-asistente", 10, 54, 50ms, 5});
  if (!deployment.StartAll()) return 2;
  std::this_thread::sleep_for(10s);

  // The first gateway has the oldest registration.
  if (arguments.has_trouble) TurnAway(deployment, 0);
  std::this_thread::sleep_for(10s);
  if (arguments.has_trouble) TurnAway(deployment, 1);
  std::this_thread::sleep_for(28s);

  static review::Tenant tenant(deployment, kQuota);
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < kClients * 3; ++i)
    clients.emplace_back([i] { tenant.SendInTurn(i % 3, Clock::now() + 9s); });
  for (std::thread& client : clients) client.join();
  const std::size_t registered = deployment.ObjectStore().Count("bluebellpass-instances");
  deployment.KillAll();

  const double most = tenant.MostTokensInWindow();
  record.Add("most tokens in a window " + std::to_string(most) + ", allowed " +
             std::to_string(kQuota.Allowed()) + "; gateways in the store " +
             std::to_string(registered));
  std::printf("%.0f tokens in a window, %.0f are allowed\n", most, kQuota.Allowed());
  if (deployment.Runs().empty()) return 2;
  return most > kQuota.Allowed() ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { review::RunCase(argc, argv, Play); }
