#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster.h"

namespace bluebellpass::test {

/// A proof of one invariant of the design with real processes and one fault.
struct Scenario {
  std::string name;
  /// @param seed of whatever the scenario chooses at random
  /// @return what was violated; empty when the scenario has passed
  std::function<std::vector<std::string>(std::uint32_t seed)> run;
};

/// @return all scenarios, in a fixed order
const std::vector<Scenario>& Scenarios();

std::vector<Scenario> DrainScenarios();
std::vector<Scenario> ConfigScenarios();
std::vector<Scenario> StopScenarios();
std::vector<Scenario> ShedScenarios();
std::vector<Scenario> CrashScenarios();
std::vector<Scenario> SilenceScenarios();

/// A request of a steady load.
struct SentRequest {
  int instance = 0;
  std::int64_t sent_ms = 0;  ///< wall clock
  std::shared_ptr<CallerView> view;
};

/// Callers that send requests at a fixed rate through all running instances in turn.
class SteadyLoad {
 public:
  /// @param period time between two requests
  /// @param body makes the body of the request with a number
  SteadyLoad(Cluster& cluster, Millis period, std::function<nlohmann::json(int)> body);

  void RunFor(Millis time);
  /// Goes on sending until the condition holds.
  /// @return false when it did not hold within the limit
  bool RunUntil(const std::function<bool()>& condition, Millis limit);
  /// Waits, without sending, until every request has ended.
  /// @return false when one had not within the limit
  bool Finish(Millis limit);
  const std::vector<SentRequest>& Sent() const { return m_sent; }

 private:
  void SendIfDue();

  Cluster& m_cluster;
  Millis m_period;
  std::function<nlohmann::json(int)> m_body;
  std::int64_t m_next_ms;
  int m_number = 0;
  std::vector<SentRequest> m_sent;
};

/// @return the wall-clock time of an event in milliseconds since 1970
std::int64_t WallMillisOf(const TimelineEvent& event);

/// Adds a violation for each request id that the backend servers have run more than once.
void CheckRanOnce(Cluster& cluster, std::vector<std::string>& violations);

}  // namespace bluebellpass::test
