#include "rollout-play.h"

#include <algorithm>
#include <map>
#include <queue>

namespace bluebellpass::test {
namespace {

using namespace gateway;  // NOLINT(google-build-using-namespace)

constexpr double kExposureRatio = 0.1;
constexpr double kExposureSlack = 50;
constexpr double kRollbackS = 5;
constexpr std::uint64_t kBadResponsesUntilRollback = 50;
constexpr int kSlots = 6;
constexpr double kStoreDelayS = 0.005;
const ServiceName kService("s");
const SoftwareVersion kOld("v1");
const SoftwareVersion kTarget("v2");
const std::string kRoutes[] = {"ask", "book"};
// A route whose callers make mistakes, which all versions answer with an error.
constexpr double kCallerErrorRate = 0.05;

struct Server {
  Backend backend;
  double duration_factor = 1;
  int running = 0;
  std::uint64_t granted = 0;
  bool IsAffected(const CommonFault& fault, std::size_t index, std::size_t count) const {
    return static_cast<double>(index) < fault.backend_share * static_cast<double>(count);
  }
};

struct Run {
  double end_s = 0;
  std::size_t server = 0;
  std::size_t coordinator = 0;
  VersionResult result;
  bool is_bad = false;
  bool operator<(const Run& other) const { return end_s > other.end_s; }
};

struct PendingWrite {
  double at_s = 0;
  std::size_t coordinator = 0;
  RolloutStatusWrite write;
  bool is_lost = false;
};

class RolloutPlayer {
 public:
  explicit RolloutPlayer(const RolloutPlayOptions& options)
      : m_options(options), m_random(options.seed) {
    m_entry.order = {kService, kTarget,
                     Millis(static_cast<std::int64_t>(options.deadline_s * 1000)), 7};
    m_entry.revision = Revision(m_revision);
    for (std::size_t i = 0; i < 2 * options.backends; ++i) {
      Server server;
      server.backend.id = BackendId("b" + std::to_string(i));
      server.backend.service = kService;
      server.backend.version = i < options.backends ? kOld : kTarget;
      server.backend.slots = kSlots;
      server.duration_factor = i % 3 == 2 ? 4 : 1;
      m_servers.push_back(server);
    }
    AddCoordinator(0);
  }

  RolloutPlayResult Run() {
    const double end_s = m_options.length_s > 0 ? m_options.length_s : m_options.deadline_s + 3;
    std::size_t next_takeover = 0;
    for (m_now_s = 0; m_now_s < end_s; m_now_s += 0.005) {
      if (m_now_s >= m_options.target_start_s) RegisterTarget();
      while (next_takeover < m_options.takeovers_s.size() &&
             m_now_s >= m_options.takeovers_s[next_takeover]) {
        ++next_takeover;
        AddCoordinator(m_coordinators.size());
      }
      CompleteWrites();
      CompleteRuns();
      const double expected = m_options.requests_per_s * 0.005;
      for (int count = std::poisson_distribution<int>(expected)(m_random); count > 0; --count)
        SendRequest();
      DecideAll();
    }
    return m_result;
  }

 private:
  TimePoint Now() const {
    return TimePoint(Millis(1'000'000 + static_cast<std::int64_t>(m_now_s * 1000)));
  }
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
  bool IsStoreDown() const {
    return m_now_s >= m_options.store_down_from_s && m_now_s < m_options.store_down_to_s;
  }
  /// The coordinators that decide at present.
  std::vector<std::size_t> ActiveCoordinators() const {
    if (!m_options.has_split_brain) return {m_coordinators.size() - 1};
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < m_coordinators.size(); ++i) all.push_back(i);
    return all;
  }

  void AddCoordinator(std::size_t) {
    auto controller = std::make_unique<RolloutController>();
    controller->SetBounds(RolloutBounds{kExposureRatio, kExposureSlack});
    controller->SetSeenRevision(Revision(m_revision));
    for (const Server& server : m_servers)
      if (server.backend.version == kOld || m_is_target_registered)
        controller->SetBackend(server.backend, Now());
    controller->SetEntry(m_entry, Now());
    controller->SetRole(true, true, Now());
    m_coordinators.push_back(std::move(controller));
  }

  void RegisterTarget() {
    if (std::exchange(m_is_target_registered, true)) return;
    for (Server& server : m_servers) {
      if (server.backend.version != kTarget) continue;
      server.backend.revision = ++m_revision;
      for (auto& controller : m_coordinators) controller->SetBackend(server.backend, Now());
    }
    for (auto& controller : m_coordinators) controller->SetSeenRevision(Revision(m_revision));
  }

  /// @return the order in which the scheduler prefers backend servers
  static std::pair<double, std::uint64_t> RankOf(const Server& server, bool wants_target,
                                                 bool is_packed) {
    if (is_packed) return {-server.running, server.granted};
    return {wants_target ? 0 : server.running * server.duration_factor, server.granted};
  }

  /// @return the index of a server for the request, or nullopt
  std::optional<std::size_t> Choose(RolloutController& controller, const AttemptId& id,
                                    bool wants_target) {
    std::optional<std::size_t> best;
    const bool is_packed = wants_target && RolloutController::IsPacked(id);
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
      const Server& server = m_servers[i];
      if (server.backend.version == kTarget && !m_is_target_registered) continue;
      const VersionUse use = controller.UseOf(server.backend, Now());
      if (use == VersionUse::kExcluded || server.running >= kSlots) continue;
      if ((use == VersionUse::kProbe) != wants_target) continue;
      if (!best) {
        best = i;
        continue;
      }
      const Server& other = m_servers[*best];
      if (RankOf(server, wants_target, is_packed) < RankOf(other, wants_target, is_packed))
        best = i;
    }
    return best;
  }

  void SendRequest() {
    const auto active = ActiveCoordinators();
    const std::size_t index = active[m_request_count % active.size()];
    RolloutController& controller = *m_coordinators[index];
    const AttemptId id("r" + std::to_string(m_options.seed) + "-" +
                       std::to_string(m_request_count++));
    if (m_now_s <= m_options.deadline_s) ++m_result.total_requests;
    std::optional<std::size_t> chosen;
    if (controller.WantsTarget(kService, id, Now())) {
      chosen = Choose(controller, id, true);
      if (chosen && !controller.TakeExposure(kService, id, Now())) chosen.reset();
    }
    if (!chosen) chosen = Choose(controller, id, false);
    if (!chosen) {
      ++m_result.refused;
      return;
    }
    Start(*chosen, index, kRoutes[m_request_count % 2]);
  }

  void Start(std::size_t chosen, std::size_t coordinator, const std::string& route) {
    Server& server = m_servers[chosen];
    const bool is_target = server.backend.version == kTarget;
    m_coordinators[coordinator]->RecordGrant(server.backend);
    if (is_target) {
      if (m_now_s <= m_options.deadline_s) ++m_result.target_requests;
      if (m_rollback_due_s && m_now_s > *m_rollback_due_s) ++m_result.late_target_requests;
    } else if (m_result.state == RolloutState::kDone) {
      ++m_result.old_requests_after_done;
    }
    struct Run run;
    run.server = chosen;
    run.coordinator = coordinator;
    run.result.backend = server.backend.id;
    run.result.route = route;
    run.result.is_under_load = 2 * (server.running + 1) > kSlots;
    double factor = server.duration_factor;
    bool is_failure = route == kRoutes[1] && Uniform() < kCallerErrorRate;
    for (const CommonFault& fault : m_options.common_faults) {
      if (m_now_s < fault.from_s || m_now_s >= fault.to_s) continue;
      if (!server.IsAffected(fault, chosen % m_options.backends, m_options.backends)) continue;
      factor *= fault.slow_factor;
      is_failure = is_failure || Uniform() < fault.failure_rate;
    }
    const VersionFault& fault = m_options.fault;
    const bool is_faulty = is_target && m_now_s >= fault.from_s &&
                           (fault.route.empty() || fault.route == route) &&
                           server.running >= fault.min_running;
    if (is_faulty) {
      if (Uniform() < fault.failure_rate) is_failure = run.is_bad = true;
      if (fault.slow_factor > 1 && Uniform() < fault.slow_share) {
        factor *= fault.slow_factor;
        run.is_bad = true;
      }
    }
    ++server.running;
    ++server.granted;
    const double noise = std::exp(std::normal_distribution<double>(0, 0.4)(m_random));
    const double first_event_ms = 40 * factor * noise;
    const double gap_ms = 8 * factor * noise;
    run.result.is_failure = is_failure;
    run.result.prefill_tokens = 600;
    run.result.time_to_first_event = Millis(static_cast<std::int64_t>(first_event_ms));
    run.result.event_gap_ms = gap_ms;
    run.end_s = m_now_s + (first_event_ms + (is_failure ? 0 : 20 * gap_ms)) / 1000;
    m_runs.push(run);
  }

  void CompleteRuns() {
    while (!m_runs.empty() && m_runs.top().end_s <= m_now_s) {
      const struct Run run = m_runs.top();
      m_runs.pop();
      --m_servers[run.server].running;
      if (!m_options.loses_results)
        m_coordinators[run.coordinator]->RecordResult(kService, run.result, Now());
      if (run.is_bad && ++m_bad_responses == kBadResponsesUntilRollback)
        m_rollback_due_s = m_now_s + kRollbackS;
    }
  }

  std::size_t OldRuns() const {
    std::size_t count = 0;
    for (const Server& server : m_servers)
      if (server.backend.version == kOld) count += static_cast<std::size_t>(server.running);
    return count;
  }

  void DecideAll() {
    for (const std::size_t i : ActiveCoordinators()) {
      RolloutController& controller = *m_coordinators[i];
      controller.SetOldRuns(kService, OldRuns());
      controller.Decide(Now());
      for (RolloutStatusWrite& write : controller.TakeStatusWrites(Now()))
        m_writes.push_back({m_now_s + kStoreDelayS, i, std::move(write),
                            Uniform() < m_options.lost_response_rate});
    }
  }

  void CompleteWrites() {
    std::vector<PendingWrite> due;
    std::erase_if(m_writes, [&](PendingWrite& write) {
      if (write.at_s > m_now_s) return false;
      due.push_back(std::move(write));
      return true;
    });
    for (const PendingWrite& pending : due) {
      RolloutController& writer = *m_coordinators[pending.coordinator];
      if (IsStoreDown()) {
        writer.OnStatusWritten(kService, Error{ErrorKind::kStoreUnavailable, "down", ""}, Now());
        continue;
      }
      if (pending.write.expected != m_entry.revision) {
        writer.OnStatusWritten(kService, Error{ErrorKind::kConflict, "changed", ""}, Now());
        writer.SetEntry(m_entry, Now());
        continue;
      }
      m_entry.revision = Revision(++m_revision);
      m_entry.status = pending.write.status;
      if (m_result.state == RolloutState::kRunning &&
          pending.write.status.state != RolloutState::kRunning) {
        m_result.state = pending.write.status.state;
        m_result.reason = pending.write.status.reason;
        m_result.ended_s = m_now_s;
        m_result.old_runs_at_done = OldRuns();
      }
      if (pending.is_lost) {
        writer.OnStatusWritten(kService, Error{ErrorKind::kStoreUncertain, "no reply", ""}, Now());
      } else {
        writer.OnStatusWritten(kService, m_entry.revision, Now());
      }
      // The watches of all coordinators show the change.
      for (auto& controller : m_coordinators) controller->SetEntry(m_entry, Now());
    }
  }

  RolloutPlayOptions m_options;
  std::mt19937_64 m_random;
  double m_now_s = 0;
  std::uint64_t m_revision = 100;
  bool m_is_target_registered = false;
  RolloutEntry m_entry;
  std::vector<Server> m_servers;
  std::vector<std::unique_ptr<RolloutController>> m_coordinators;
  std::priority_queue<struct Run> m_runs;
  std::vector<PendingWrite> m_writes;
  std::uint64_t m_request_count = 0;
  std::uint64_t m_bad_responses = 0;
  std::optional<double> m_rollback_due_s;
  RolloutPlayResult m_result;
};

}  // namespace

RolloutPlayResult PlayRollout(const RolloutPlayOptions& options) {
  return RolloutPlayer(options).Run();
}

}  // namespace bluebellpass::test
