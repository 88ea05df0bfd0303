#include <csignal>
#include <cstdio>
#include <thread>

#include "../standins-2/tenant.h"

/// The gateway that coordinates stands still for three seconds while a tenant sends more than its
/// quota to it and to another gateway.

namespace {

using namespace std::chrono_literals;

constexpr review::Quota kQuota{5'000, 10'000};
constexpr std::size_t kRequests = 40;
constexpr std::size_t kEngines = 9;

int Play(const review::Arguments& arguments) {
  static review::Record record(arguments.record);
  static review::Deployment deployment({arguments.root, arguments.folder, review::MakeCauEnrutado(),
                                        3, review::Tenant::MakeTenantConfig(kQuota)},
                                       record);
  for (std::size_t i = 0; i < kEngines; ++i)
    deployment.AddEngine({"i-llm-" + std::to_string(i), "modelo-asistente", 10, 54, 400ms, 20});
  deployment.AddEngine({"i-desk", "pedidos-app", 6, 24, 10ms});
  if (!deployment.StartAll()) return 2;
  // After the first start, buckets fill up from empty.
  std::this_thread::sleep_for(32s);

  static review::Tenant tenant(deployment, kQuota);
  tenant.Open(0, kRequests);
  tenant.Open(1, kRequests);
  // The first gateway has the oldest registration.
  if (arguments.has_trouble) deployment.Signal(0, SIGSTOP);
  std::this_thread::sleep_for(1'500ms);
  tenant.Send(1);
  tenant.Send(0);
  std::this_thread::sleep_for(1'500ms);
  if (arguments.has_trouble) deployment.Signal(0, SIGCONT);
  tenant.Join();
  std::this_thread::sleep_for(1s);
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
