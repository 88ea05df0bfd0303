#include <csignal>
#include <cstdio>
#include <thread>

#include "../standins-2/tenant.h"

/// The gateway that coordinates is killed after a tenant's client has used up the quota on its one
/// connection to it. The client goes on at another gateway.

namespace {

using namespace std::chrono_literals;
using review::Clock;

constexpr review::Quota kQuota{36'000, 36'000};
constexpr std::size_t kEngines = 4;

int Play(const review::Arguments& arguments) {
  static review::Record record(arguments.record);
  static review::Deployment deployment({arguments.root, arguments.folder, review::MakeCauEnrutado(),
                                        3, review::Tenant::MakeTenantConfig(kQuota)},
                                       record);
  for (std::size_t i = 0; i < kEngines; ++i)
    deployment.AddEngine({"i-llm-" + std::to_string(i), "modelo-asistente", 10, 54, 50ms, 5});
  if (!deployment.StartAll()) return 2;
  // Longer than the window of quotas.
  std::this_thread::sleep_for(10s);

  static review::Tenant tenant(deployment, kQuota);
  // The first gateway has the oldest registration.
  std::thread killer([&] {
    std::this_thread::sleep_for(2'500ms);
    if (arguments.has_trouble) deployment.Signal(0, SIGKILL);
  });
  tenant.SendInTurn(0, Clock::now() + (arguments.has_trouble ? 3s : 2'500ms));
  tenant.SendInTurn(1, Clock::now() + 5s);
  killer.join();
  deployment.KillAll();

  const double most = tenant.MostTokensInWindow();
  record.Add("most tokens in a window " + std::to_string(most) + ", allowed " +
             std::to_string(kQuota.Allowed()));
  std::printf("%.0f tokens in a window, %.0f are allowed\n", most, kQuota.Allowed());
  if (deployment.Runs().empty()) return 2;
  return most > kQuota.Allowed() ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { review::RunCase(argc, argv, Play); }
