#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"

namespace review {

/// A tenant's quota and the bounds of the platform's rule on it.
struct Quota {
  double rate_per_s = 0;
  double burst = 0;
  double window_s = 8;
  double over = 0.1;
  double slack = 140'000;

  double Allowed() const { return (rate_per_s * window_s + burst) * (1 + over) + slack; }
};

/// A tenant whose clients ask for long summaries.
class Tenant {
 public:
  Tenant(Deployment& deployment, Quota quota);

  /// @return the operator's configuration with the tenant
  static nlohmann::json MakeTenantConfig(const Quota& quota);
  /// Opens connections to a gateway, which are kept, and makes a lookup on each.
  void Open(std::size_t gateway, std::size_t count);
  /// Sends a request on each kept connection to a gateway, at once.
  void Send(std::size_t gateway);
  /// Sends requests to a gateway on one connection, each after the answer to the one before and the
  /// time of its Retry-After, until a time or until the connection ends.
  void SendInTurn(std::size_t gateway, TimePoint until);
  /// Waits for all clients.
  void Join();
  /// @return the most tokens of requests that were both sent and run within one window
  double MostTokensInWindow();

 private:
  std::string NextRequest(std::string& id);
  /// @return the answer, or nullopt if the connection has ended
  std::optional<Message> Exchange(int fd);

  Deployment& m_deployment;
  Quota m_quota;
  std::mutex m_mutex;
  std::map<std::string, TimePoint> m_sent;
  std::map<std::size_t, std::vector<Descriptor>> m_connections;
  std::vector<std::thread> m_clients;
};

}  // namespace review
