#include "load-play.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <memory>
#include <optional>
#include <queue>
#include <random>

namespace bluebellpass::test {
namespace {

using gateway::Backend;
using gateway::Decisions;
using gateway::RequestInfo;
using gateway::RunOutcome;
using gateway::RunReport;
using gateway::Scheduler;

constexpr Millis kTick{1};
constexpr Millis kMinPatience{2'000};
// Engines in QuestionBurst, a third of the fleet.
constexpr std::size_t kBurstEngines = 20;
// A failing engine resets a connection after one round trip.
constexpr Millis kRoundTripTime{3};

struct AdmitAll : gateway::AdmissionControl {
  bool TryAdmit(const RequestInfo&, TimePoint) override { return true; }
};

/// One attempt of a caller to get a response.
struct Attempt {
  const RequestKind* kind = nullptr;
  std::int64_t prompt = 0;  ///< tokens
  std::int64_t output = 0;  ///< tokens
  std::int64_t output_estimate = 0;
  TimePoint first_sent;  ///< time of the caller's first attempt
  TimePoint sent;
  TimePoint deadline;
  std::size_t size_group = 0;
  bool is_retry = false;  ///< the second attempt, after a refusal
  std::optional<std::size_t> engine;
  TimePoint granted;
  std::optional<TimePoint> last_event;
  bool is_late = false;
  std::vector<double> gaps_ms;
  int events = 0;
};

double LogNormal(std::mt19937_64& random, double mean, double spread, double max_value) {
  std::normal_distribution<double> normal(std::log(mean) - spread * spread / 2, spread);
  return std::clamp(std::exp(normal(random)), 1.0, max_value);
}

class LoadSimulator {
 public:
  LoadSimulator(const SimulationOptions& options, bool is_scheduled)
      : m_options(options), m_is_scheduled(is_scheduled), m_random(options.seed) {
    m_service.name = gateway::ServiceName("s");
    m_service.engine =
        gateway::EngineProperties{options.engine.slots, 0, options.engine.tokens_per_event};
    for (std::size_t i = 0; i < options.duration_factors.size(); ++i) {
      EngineModelOptions engine = options.engine;
      engine.step_ms *= options.duration_factors[i];
      engine.prefill_ms_per_token *= options.duration_factors[i];
      m_engines.emplace_back(engine);
      Backend backend;
      backend.id = BackendId("e" + std::to_string(i));
      backend.service = m_service.name;
      backend.slots = options.engine.slots;
      m_scheduler.SetBackend(backend, &m_service);
      m_backends.push_back(backend);
    }
  }

  SimulationResults Run() {
    GenerateArrivals();
    const TimePoint end = TimeAt(m_options.length_s) + Millis{16'000};
    for (TimePoint now{}; now < end; now += kTick) SimulateTick(now);
    return m_results;
  }

 private:
  static TimePoint TimeAt(double seconds) {
    return TimePoint(Millis(static_cast<std::int64_t>(seconds * 1000)));
  }

  void GenerateArrivals() {
    for (const RequestKind& kind : m_options.kinds) {
      std::vector<std::pair<std::string, Attempt>> attempts;
      for (double arrival_s = 0; arrival_s < m_options.length_s;) {
        double rate = kind.arrivals_per_s;
        for (const ArrivalBurst& burst : m_options.bursts)
          if (burst.kind == kind.name && arrival_s >= burst.start_s &&
              arrival_s < burst.start_s + burst.duration_s)
            rate *= burst.factor;
        arrival_s += std::exponential_distribution<double>(rate)(m_random);
        Attempt attempt;
        attempt.kind = &kind;
        attempt.prompt = static_cast<std::int64_t>(
            LogNormal(m_random, kind.prompt_mean, kind.prompt_spread, kind.prompt_max));
        attempt.output = static_cast<std::int64_t>(
            LogNormal(m_random, kind.output_mean, kind.output_spread, kind.output_max));
        // The median of the estimates is right, but many are far off.
        const double factor = std::exp(std::normal_distribution<double>(0, 0.5)(m_random));
        attempt.output_estimate = static_cast<std::int64_t>(
            std::min(static_cast<double>(attempt.output) * factor, kind.output_max));
        attempt.sent = attempt.first_sent = TimeAt(arrival_s);
        attempt.deadline = attempt.sent + kind.deadline;
        attempts.emplace_back(kind.name + "-" + std::to_string(attempts.size()), attempt);
      }
      AssignSizeGroups(attempts);
      for (auto& [id, attempt] : attempts) {
        KindResult& result = m_results[kind.name];
        ++result.offered;
        ++result.sizes.at(attempt.size_group).offered;
        result.max_value += ValueOf(attempt, false);
        m_arrivals.emplace(attempt.sent, id);
        m_attempts.emplace(id, attempt);
      }
    }
  }

  static std::int64_t SizeOf(const Attempt& attempt) {
    return attempt.prompt + 10 * attempt.output;
  }
  static void AssignSizeGroups(std::vector<std::pair<std::string, Attempt>>& attempts) {
    std::vector<std::int64_t> sizes;
    sizes.reserve(attempts.size());
    for (const auto& [id, attempt] : attempts) sizes.push_back(SizeOf(attempt));
    std::sort(sizes.begin(), sizes.end());
    if (sizes.empty()) return;
    const std::array<std::int64_t, 2> bounds = {sizes[sizes.size() * 7 / 10],
                                                sizes[sizes.size() * 9 / 10]};
    for (auto& [id, attempt] : attempts)
      for (const std::int64_t bound : bounds) attempt.size_group += SizeOf(attempt) >= bound;
  }
  SizeGroupCounts& SizeGroupOf(const Attempt& attempt) {
    return m_results[attempt.kind->name].sizes.at(attempt.size_group);
  }
  double ValueOf(const Attempt& attempt, bool is_late) const {
    const RequestKind& kind = *attempt.kind;
    const double mean = kind.prompt_mean + 10 * kind.output_mean;
    const double size = std::min(0.3 + 0.7 * static_cast<double>(SizeOf(attempt)) / mean, 4.0);
    return (is_late ? kind.late_value : kind.value) * size;
  }
  static Millis PatienceOf(const RequestKind& kind) {
    return std::max({kMinPatience, 4 * kind.latency_objective, 8 * kind.max_event_gap});
  }

  void SimulateTick(TimePoint now) {
    // The scheduler decides again after each change.
    bool is_changed = false;
    while (!m_arrivals.empty() && m_arrivals.begin()->first <= now) {
      const std::string id = m_arrivals.begin()->second;
      m_arrivals.erase(m_arrivals.begin());
      SubmitAttempt(id, now);
      is_changed = true;
    }
    for (std::size_t i = 0; i < m_engines.size(); ++i)
      for (const EngineModel::Event& event : m_engines[i].RunUntil(now))
        is_changed = HandleEvent(event) || is_changed;
    is_changed = UpdateLostEngines(now) || is_changed;
    is_changed = FailResetRequests(now) || is_changed;
    is_changed = DisconnectImpatientCallers(now) || is_changed;
    if (!m_is_scheduled) return;
    const auto next_decision = m_scheduler.NextDecision();
    if (is_changed || (next_decision && *next_decision <= now))
      ApplyDecisions(m_scheduler.Decide(now, m_admission), now);
  }

  void SubmitAttempt(const std::string& id, TimePoint now) {
    Attempt& attempt = m_attempts.at(id);
    m_active.insert(id);
    if (!m_is_scheduled) {
      const auto least_loaded = std::min_element(
          m_engines.begin(), m_engines.end(),
          [](const auto& a, const auto& b) { return a.RequestCount() < b.RequestCount(); });
      return SendToEngine(id, static_cast<std::size_t>(least_loaded - m_engines.begin()), now);
    }
    const RequestKind& kind = *attempt.kind;
    RequestInfo request;
    request.id = gateway::AttemptId(id);
    request.service = gateway::ServiceName("s");
    request.route = kind.name;
    request.rank = kind.rank;
    request.arrived = now;
    request.latency_objective = kind.latency_objective;
    request.max_event_gap = kind.max_event_gap;
    request.patience = PatienceOf(kind);
    request.deadline = attempt.deadline;
    request.prompt_tokens = attempt.prompt;
    request.output_tokens = attempt.output_estimate;
    m_scheduler.AddRequest(std::move(request));
  }

  void SendToEngine(const std::string& id, std::size_t engine, TimePoint now) {
    Attempt& attempt = m_attempts.at(id);
    attempt.engine = engine;
    attempt.granted = now;
    if (const EngineFault* fault = FaultOf(engine, now)) {
      if (fault->mode == EngineFault::Mode::kReset)
        m_pending_resets.emplace(now + kRoundTripTime, id);
      return;
    }
    m_engines[engine].Admit(id, attempt.prompt, attempt.output, now);
  }

  const EngineFault* FaultOf(std::size_t engine, TimePoint now) const {
    for (const EngineFault& fault : m_options.faults)
      if (engine >= fault.first && engine < fault.first + fault.count &&
          now >= TimeAt(fault.start_s) && now < TimeAt(fault.start_s + fault.duration_s))
        return &fault;
    return nullptr;
  }

  bool UpdateLostEngines(TimePoint now) {
    bool is_changed = false;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
      const EngineFault* fault = FaultOf(i, now);
      const bool is_lost = fault != nullptr && fault->mode == EngineFault::Mode::kLost;
      if (is_lost == m_lost_engines.contains(i)) continue;
      is_changed = true;
      if (!is_lost) {
        m_lost_engines.erase(i);
        m_scheduler.SetBackend(m_backends[i], &m_service);
        continue;
      }
      m_lost_engines.insert(i);
      m_scheduler.RemoveBackend(m_backends[i].id);
      for (const std::string& id : m_active)
        if (m_attempts.at(id).engine == i) m_pending_resets.emplace(now, id);
    }
    return is_changed;
  }

  bool FailResetRequests(TimePoint now) {
    bool is_changed = false;
    while (!m_pending_resets.empty() && m_pending_resets.begin()->first <= now) {
      const std::string id = m_pending_resets.begin()->second;
      m_pending_resets.erase(m_pending_resets.begin());
      if (m_active.erase(id) == 0) continue;
      const Attempt& attempt = m_attempts.at(id);
      ++m_results[attempt.kind->name].failed;
      ++SizeGroupOf(attempt).failed;
      m_engines[*attempt.engine].Cancel(id);
      EndRun(id, RunOutcome::kLost, now);
      is_changed = true;
    }
    return is_changed;
  }

  void ApplyDecisions(const Decisions& decisions, TimePoint now) {
    for (const auto& grant : decisions.grants)
      SendToEngine(grant.id.Text(), std::stoul(grant.backend.Text().substr(1)), now);
    for (const auto& refusal : decisions.refusals)
      HandleRefusal(refusal.id.Text(), refusal.retry_after, now);
  }

  void HandleRefusal(const std::string& id, Millis retry_after, TimePoint now) {
    Attempt& attempt = m_attempts.at(id);
    m_active.erase(id);
    KindResult& result = m_results[attempt.kind->name];
    const auto time_left = std::chrono::duration_cast<Millis>(attempt.deadline - now);
    if (attempt.is_retry || time_left < Millis{50}) {
      ++result.refused;
      ++SizeGroupOf(attempt).refused;
      result.refusal_ms += std::chrono::duration<double, std::milli>(now - attempt.sent).count();
      return;
    }
    // Callers retry once, after the advised delay or a third of the time left, if that is shorter.
    Attempt retry = attempt;
    retry.is_retry = true;
    retry.sent = now + std::min(retry_after, time_left / 3);
    retry.is_late = retry.sent - retry.first_sent > attempt.kind->latency_objective;
    const std::string retry_id = id + "+";
    m_attempts.emplace(retry_id, retry);
    m_arrivals.emplace(retry.sent, retry_id);
  }

  bool HandleEvent(const EngineModel::Event& event) {
    const auto found = m_attempts.find(event.id);
    if (found == m_attempts.end() || !m_active.contains(event.id)) return false;
    Attempt& attempt = found->second;
    const RequestKind& kind = *attempt.kind;
    if (!attempt.last_event) {
      if (event.at - attempt.first_sent > kind.latency_objective) attempt.is_late = true;
      if (m_is_scheduled)
        m_scheduler.RecordFirstEvent(gateway::AttemptId(event.id),
                                     std::chrono::duration_cast<Millis>(event.at - attempt.granted),
                                     event.at);
    } else {
      const double gap =
          std::chrono::duration<double, std::milli>(event.at - *attempt.last_event).count();
      attempt.gaps_ms.push_back(gap);
      if (gap > static_cast<double>(kind.max_event_gap.count())) attempt.is_late = true;
    }
    attempt.last_event = event.at;
    if (!event.is_end) return true;
    KindResult& result = m_results[kind.name];
    ++(attempt.is_late ? result.late : result.on_time);
    ++SizeGroupOf(attempt).served;
    result.value += ValueOf(attempt, attempt.is_late);
    m_active.erase(event.id);
    EndRun(event.id, RunOutcome::kCompleted, event.at);
    return true;
  }

  void EndRun(const std::string& id, RunOutcome outcome, TimePoint now) {
    if (!m_is_scheduled) return;
    Attempt& attempt = m_attempts.at(id);
    RunReport report;
    report.outcome = outcome;
    auto& gaps = attempt.gaps_ms;
    if (gaps.size() >= 4) {
      std::nth_element(gaps.begin(), gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 3),
                       gaps.end());
      report.event_gap_ms = gaps[gaps.size() / 3];
    }
    m_scheduler.ReleaseRun(gateway::AttemptId(id), report, now);
  }

  bool DisconnectImpatientCallers(TimePoint now) {
    std::vector<std::string> impatient;
    for (const std::string& id : m_active) {
      const Attempt& attempt = m_attempts.at(id);
      const TimePoint last_activity = attempt.last_event.value_or(attempt.sent);
      if (now - last_activity > PatienceOf(*attempt.kind) || now > attempt.deadline)
        impatient.push_back(id);
    }
    for (const std::string& id : impatient) {
      const Attempt& attempt = m_attempts.at(id);
      KindResult& result = m_results[attempt.kind->name];
      const bool is_failed = attempt.engine && FaultOf(*attempt.engine, attempt.granted);
      ++(is_failed ? result.failed : result.abandoned);
      ++(is_failed ? SizeGroupOf(attempt).failed : SizeGroupOf(attempt).abandoned);
      m_active.erase(id);
      if (attempt.engine) {
        m_engines[*attempt.engine].Cancel(id);
        EndRun(id, RunOutcome::kCancelled, now);
      } else if (m_is_scheduled) {
        m_scheduler.Withdraw(gateway::AttemptId(id));
      }
    }
    return !impatient.empty();
  }

  const SimulationOptions& m_options;
  bool m_is_scheduled;
  std::mt19937_64 m_random;
  Scheduler m_scheduler;
  AdmitAll m_admission;
  gateway::Service m_service;
  std::vector<Backend> m_backends;
  std::vector<EngineModel> m_engines;
  std::set<std::size_t> m_lost_engines;  ///< by index
  std::map<std::string, Attempt> m_attempts;
  std::set<std::string> m_active;
  std::multimap<TimePoint, std::string> m_arrivals;
  std::multimap<TimePoint, std::string> m_pending_resets;
  SimulationResults m_results;
};

}  // namespace

SimulationResults Simulate(const SimulationOptions& options) {
  return LoadSimulator(options, true).Run();
}
SimulationResults SimulateUnscheduled(const SimulationOptions& options) {
  return LoadSimulator(options, false).Run();
}

std::string FormatTable(const SimulationResults& results) {
  std::string text =
      "kind          asked on time   late refused   left failed  worth  small medium large\n";
  for (const auto& [name, result] : results) {
    char line[160];
    std::snprintf(line, sizeof(line), "%-12s %6d %7d %6d %7d %6d %6d  %.3f  %.3f  %.3f %.3f\n",
                  name.c_str(), result.offered, result.on_time, result.late, result.refused,
                  result.abandoned, result.failed, result.value / result.max_value,
                  result.sizes[0].Served(), result.sizes[1].Served(), result.sizes[2].Served());
    text += line;
  }
  return text;
}

SimulationOptions HeavyDay(std::uint64_t seed, double load) {
  SimulationOptions options;
  options.seed = seed;
  RequestKind dossier{"dossier", 0,   29.5, 9.5,   2.9,           6'610,       1.4,
                      54'600,    382, 1.5,  3'800, Millis{1'000}, Millis{250}, Millis{15'000}};
  RequestKind question{"question", 1,   50,  1.4,   0.43,        628,         1.0,
                       3'310,      291, 1.5, 2'900, Millis{300}, Millis{250}, Millis{15'000}};
  RequestKind label{"label", 2,  51,  0.38, 0.11,        1'800,       1.3,
                    6'870,   22, 1.5, 225,  Millis{400}, Millis{250}, Millis{3'000}};
  options.kinds = {dossier, question, label};
  for (RequestKind& kind : options.kinds) kind.arrivals_per_s *= load;
  options.bursts = {{"label", 2.4, 4, 6}, {"dossier", 1.7, 13, 3.4}};
  for (int i = 0; i < 18; ++i) options.duration_factors.push_back(i % 3 == 2 ? 5.0 : 1.0);
  return options;
}

SimulationOptions QuestionBurst(std::uint64_t seed, double lost_share) {
  SimulationOptions options;
  options.seed = seed;
  options.engine.tokens_per_event = 7;
  // A third of the load of the fleet.
  options.kinds = {{"dossier", 0, 49, 7, 2, 6'610, 1.0, 54'600, 385, 1.5, 3'800, Millis{800},
                    Millis{250}, Millis{15'000}},
                   {"question", 1, 47, 1.7, 0.52, 628, 0.8, 3'310, 291, 1.5, 2'940, Millis{300},
                    Millis{250}, Millis{12'000}},
                   {"label", 2, 72, 0.32, 0.096, 1'800, 1.0, 6'870, 22, 1.5, 224, Millis{400},
                    Millis{250}, Millis{3'000}}};
  options.bursts = {{"question", 4, 4, 14}};
  for (std::size_t i = 0; i < kBurstEngines; ++i)
    options.duration_factors.push_back(i % 3 == 2 ? 4.6 : 1.0);
  const auto lost = static_cast<std::size_t>(std::lround(lost_share * kBurstEngines));
  if (lost > 0) options.faults = {{EngineFault::Mode::kLost, 0, lost, 5, 12}};
  return options;
}

}  // namespace bluebellpass::test
