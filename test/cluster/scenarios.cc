#include "scenarios.h"

#include <map>
#include <utility>

#include "standins/standin.h"

namespace bluebellpass::test {
namespace {

// The lower bits of a hybrid time hold the counter, the others the milliseconds.
constexpr unsigned kHybridCounterBits = 16;

void Append(std::vector<Scenario>& all, std::vector<Scenario> added) {
  for (Scenario& scenario : added) all.push_back(std::move(scenario));
}

}  // namespace

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> scenarios = [] {
    std::vector<Scenario> all;
    Append(all, DrainScenarios());
    Append(all, ConfigScenarios());
    Append(all, StopScenarios());
    Append(all, ShedScenarios());
    Append(all, CrashScenarios());
    Append(all, SilenceScenarios());
    return all;
  }();
  return scenarios;
}

SteadyLoad::SteadyLoad(Cluster& cluster, Millis period,
                       std::function<nlohmann::json(int)> make_body)
    : m_cluster(cluster),
      m_period(period),
      m_make_body(std::move(make_body)),
      m_next_ms(standin::WallMillis()) {}

void SteadyLoad::SendIfDue() {
  const std::int64_t now = standin::WallMillis();
  if (now < m_next_ms) return;
  m_next_ms += m_period.count();
  const int number = m_next_number++;
  for (int tries = 0; tries < m_cluster.InstanceCount(); ++tries) {
    const int instance = (number + tries) % m_cluster.InstanceCount();
    if (!m_cluster.Daemon(instance).IsRunning()) continue;
    m_sent_requests.push_back({instance, now, m_cluster.Submit(instance, m_make_body(number))});
    return;
  }
}

bool SteadyLoad::RunUntil(const std::function<bool()>& condition, Millis timeout) {
  return m_cluster.RunUntil(
      [&] {
        SendIfDue();
        return condition();
      },
      timeout);
}

void SteadyLoad::RunFor(Millis time) {
  RunUntil([] { return false; }, time);
}

bool SteadyLoad::WaitUntilAllDone(Millis timeout) {
  return m_cluster.RunUntil(
      [&] {
        for (const SentRequest& request : m_sent_requests) {
          if (!request.response->is_done) return false;
        }
        return true;
      },
      timeout);
}

std::int64_t WallMillisOf(const TimelineEvent& event) {
  return static_cast<std::int64_t>(event.time >> kHybridCounterBits);
}

void CheckRanAtMostOnce(Cluster& cluster, std::vector<std::string>& violations) {
  std::map<std::string, int> runs;
  for (const Execution& execution : cluster.Executions()) ++runs[execution.request_id];
  for (const auto& [id, count] : runs) {
    if (count > 1) violations.push_back(id + " ran " + std::to_string(count) + " times");
  }
}

}  // namespace bluebellpass::test
