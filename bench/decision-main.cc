#include <cstdio>

#include "gateway/decisions/scheduler.h"

/// Measures how long a coordinator's decision takes, by backend servers and waiting requests. Not a
/// test.

namespace bluebellpass::gateway {
namespace {

constexpr int kSlots = 5;
constexpr int kDecisions = 200;
// Runs that end, and requests that arrive, between two decisions.
constexpr int kTurnover = 5;
constexpr Millis kDecisionPeriod{5};

struct AdmitAll : AdmissionControl {
  bool TryAdmit(const RequestInfo&, TimePoint) override { return true; }
};

class Load {
 public:
  explicit Load(int servers) {
    m_service.name = ServiceName("chat");
    m_service.engine = EngineProperties{2, 0, 5};
    for (int i = 0; i < servers; ++i) {
      Backend backend;
      backend.id = BackendId("backend-" + std::to_string(100'000 + i));
      backend.service = m_service.name;
      backend.slots = kSlots;
      m_scheduler.SetBackend(backend, &m_service);
    }
  }
  void Add(int count) {
    for (int i = 0; i < count; ++i) {
      const int number = m_next++;
      RequestInfo request;
      request.id = AttemptId(std::to_string(number * 7'919LL) + "f3a91c2d47be");
      request.home = InstanceId("edge-" + std::to_string(number % 300));
      request.service = m_service.name;
      request.route = "route-" + std::to_string(number % 3);
      request.rank = number % 3;
      request.arrived = m_now;
      request.latency_objective = Millis{1'000};
      request.max_event_gap = Millis{400};
      // Nothing is refused, so that the queue keeps its length.
      request.patience = std::chrono::hours(10);
      request.deadline = m_now + std::chrono::hours(20);
      request.prompt_tokens = 100 + number % 6'000;
      request.output_tokens = 20 + number % 300;
      m_scheduler.AddRequest(std::move(request));
    }
  }
  /// @return time of a decision in microseconds
  double Decide() {
    m_now += kDecisionPeriod;
    const auto started = std::chrono::steady_clock::now();
    const Decisions decisions = m_scheduler.Decide(m_now, m_admission);
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - started;
    for (const Grant& grant : decisions.grants) m_running.push_back(grant.id);
    return elapsed.count();
  }
  /// @return mean time of a decision in microseconds
  double Measure() {
    double total = 0;
    for (int i = 0; i < kDecisions; ++i) {
      for (int j = 0; j < kTurnover && !m_running.empty(); ++j) {
        m_scheduler.ReleaseRun(m_running.front(), {RunOutcome::kCompleted, {}, {}}, m_now);
        m_running.erase(m_running.begin());
      }
      Add(kTurnover);
      total += Decide();
    }
    return total / kDecisions;
  }

 private:
  Service m_service;
  Scheduler m_scheduler;
  AdmitAll m_admission;
  TimePoint m_now{std::chrono::hours(1)};
  std::vector<AttemptId> m_running;
  int m_next = 1;
};

}  // namespace
}  // namespace bluebellpass::gateway

int main() {
  std::printf("%8s %8s %12s\n", "servers", "waiting", "decision us");
  for (const int servers : {9, 64, 250, 1'000}) {
    for (const int waiting : {0, 500, 5'000}) {
      bluebellpass::gateway::Load load(servers);
      load.Add(servers * bluebellpass::gateway::kSlots + waiting);
      load.Decide();
      std::printf("%8d %8d %12.1f\n", servers, waiting, load.Measure());
    }
  }
  return 0;
}
