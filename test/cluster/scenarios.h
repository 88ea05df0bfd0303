#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster.h"

namespace bluebellpass::test {

/// A test of one property of daemons that run as processes, with or without injected faults.
struct Scenario {
  std::string name;
  /// @param seed of the random choices
  /// @return violations; empty if the scenario has passed
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

/// A submitted request and its response.
struct SentRequest {
  int instance = 0;
  std::int64_t sent_ms = 0;  ///< wall clock
  std::shared_ptr<CallerResponse> response;
};

/// Submits requests at a fixed rate, to the running instances in turn.
class SteadyLoad {
 public:
  /// @param period time between two requests
  /// @param make_body returns the body of a request, given its index
  SteadyLoad(Cluster& cluster, Millis period, std::function<nlohmann::json(int)> make_body);

  void RunFor(Millis time);
  /// Submits requests until the condition holds.
  /// @return false if the timeout expired first
  bool RunUntil(const std::function<bool()>& condition, Millis timeout);
  /// Waits until all responses are done, without submitting more requests.
  /// @return false if the timeout expired first
  bool WaitUntilAllDone(Millis timeout);
  const std::vector<SentRequest>& SentRequests() const { return m_sent_requests; }

 private:
  void SendIfDue();

  Cluster& m_cluster;
  Millis m_period;
  std::function<nlohmann::json(int)> m_make_body;
  std::int64_t m_next_ms;
  int m_next_number = 0;
  std::vector<SentRequest> m_sent_requests;
};

/// @return the wall-clock time of an event in milliseconds since 1970
std::int64_t WallMillisOf(const TimelineEvent& event);

/// Adds a violation for each request id that was executed more than once.
void CheckRanAtMostOnce(Cluster& cluster, std::vector<std::string>& violations);

}  // namespace bluebellpass::test
