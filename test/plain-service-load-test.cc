#include <boost/test/unit_test.hpp>
#include <map>
#include <queue>
#include <random>

#include "gateway/decisions/caller-deadlines.h"
#include "gateway/decisions/scheduler.h"

/// A plain service, whose requests state no size, under more load than it can serve.

namespace bluebellpass::gateway {
namespace {

constexpr int kServers = 3;
constexpr int kSlots = 6;
constexpr double kServiceTimeMs = 30;
constexpr Millis kObjective{150};
constexpr Millis kDeadline{1'000};
constexpr double kLengthS = 20;
constexpr double kCapacityPerS = kServers * kSlots * 1000 / kServiceTimeMs;
const std::string kRoutes[] = {"book", "look"};
const std::string kOrganisations[] = {"large", "small"};
constexpr double kLargeShare = 0.8;

struct AdmitAll : AdmissionControl {
  bool TryAdmit(const RequestInfo&, TimePoint) override { return true; }
};

/// A period in which the service has no backend server that takes requests.
struct Stall {
  double from_s = 0;
  double to_s = 0;
};

struct Counts {
  int offered = 0;
  int on_time = 0;
  int late = 0;
  int refused = 0;
  int held = 0;  ///< neither served nor refused at the deadline
  int refused_with_free_slots = 0;

  double ServedShare() const { return static_cast<double>(on_time + late) / std::max(offered, 1); }
};

struct Results {
  Counts all;
  std::map<std::string, Counts> by_route;
  std::map<std::string, Counts> by_organisation;
};

/// Callers of two routes and organisations send requests, and come back once when they are refused.
class PlainServicePlay {
 public:
  PlainServicePlay(double load, std::uint64_t seed, Stall stall = {})
      : m_load(load), m_random(seed), m_stall(stall) {
    m_service.name = ServiceName("s");
    for (int i = 0; i < kServers; ++i) m_scheduler.SetBackend(MakeBackend(i), &m_service);
  }

  Results Run() {
    double next_arrival_ms = 0;
    for (double now_ms = 0; now_ms < kLengthS * 1000 + 1'500; ++now_ms) {
      const TimePoint now = TimeAt(now_ms);
      if (m_stall.to_s > 0 && now_ms >= m_stall.from_s * 1000 && now_ms < m_stall.to_s * 1000)
        for (int i = 0; i < kServers; ++i)
          m_scheduler.AvoidBackend(MakeBackend(i).id, TimeAt(m_stall.to_s * 1000));
      while (next_arrival_ms <= now_ms && next_arrival_ms < kLengthS * 1000) {
        Arrive(now);
        next_arrival_ms +=
            std::exponential_distribution<double>(m_load * kCapacityPerS / 1000)(m_random);
      }
      while (!m_returns.empty() && m_returns.begin()->first <= now) {
        const Caller caller = m_returns.begin()->second;
        m_returns.erase(m_returns.begin());
        Send(caller, now);
      }
      CompleteRuns(now);
      DropExpired(now);
      Decide(now);
    }
    return m_results;
  }

 private:
  struct Caller {
    std::string route;
    std::string organisation;
    TimePoint first_sent;
    bool has_returned = false;
  };
  struct Running {
    TimePoint ends;
    AttemptId id;
    bool operator<(const Running& other) const { return ends > other.ends; }
  };

  static TimePoint TimeAt(double ms) {
    return TimePoint(Millis(1'000'000 + static_cast<std::int64_t>(ms)));
  }
  Backend MakeBackend(int index) const {
    Backend backend;
    backend.id = BackendId("b" + std::to_string(index));
    backend.service = m_service.name;
    backend.slots = kSlots;
    return backend;
  }
  std::array<Counts*, 3> CountsOf(const Caller& caller) {
    return {&m_results.all, &m_results.by_route[caller.route],
            &m_results.by_organisation[caller.organisation]};
  }

  void Arrive(TimePoint now) {
    Caller caller;
    caller.route = kRoutes[m_random() % 2];
    const bool is_large = std::uniform_real_distribution<double>(0, 1)(m_random) < kLargeShare;
    caller.organisation = kOrganisations[is_large ? 0 : 1];
    caller.first_sent = now;
    for (Counts* counts : CountsOf(caller)) ++counts->offered;
    Send(caller, now);
  }
  void Send(const Caller& caller, TimePoint now) {
    RequestInfo request;
    request.id = AttemptId("r" + std::to_string(m_next_id++));
    request.service = m_service.name;
    request.route = caller.route;
    request.organisation = OrganisationId(caller.organisation);
    request.arrived = now;
    request.latency_objective = kObjective;
    const Millis left = std::chrono::duration_cast<Millis>(caller.first_sent + kDeadline - now);
    request.caller_age = m_deadlines.AgeOf(caller.route, left);
    request.patience = Millis{60'000};
    request.deadline = caller.first_sent + kDeadline;
    m_callers[request.id] = caller;
    m_scheduler.AddRequest(request);
  }
  void CompleteRuns(TimePoint now) {
    while (!m_running.empty() && m_running.top().ends <= now) {
      const AttemptId id = m_running.top().id;
      m_running.pop();
      RunReport report;
      report.outcome = RunOutcome::kCompleted;
      m_scheduler.ReleaseRun(id, report, now);
      const auto caller = m_callers.extract(id);
      if (caller.empty()) continue;
      const auto took = now - caller.mapped().first_sent;
      for (Counts* counts : CountsOf(caller.mapped()))
        ++(took <= kObjective ? counts->on_time : counts->late);
    }
  }
  void DropExpired(TimePoint now) {
    std::erase_if(m_callers, [&](const auto& entry) {
      if (now < entry.second.first_sent + kDeadline) return false;
      if (!m_scheduler.Withdraw(entry.first)) return true;
      for (Counts* counts : CountsOf(entry.second)) ++counts->held;
      return true;
    });
  }
  void Decide(TimePoint now) {
    AdmitAll admission;
    const Decisions decisions = m_scheduler.Decide(now, admission);
    for (const Grant& grant : decisions.grants) {
      const double ms =
          std::exp(std::normal_distribution<double>(-0.125, 0.5)(m_random)) * kServiceTimeMs;
      m_running.push({now + Millis(static_cast<std::int64_t>(ms) + 1), grant.id});
    }
    for (const Refusal& refusal : decisions.refusals) Refuse(refusal, now);
  }
  void Refuse(const Refusal& refusal, TimePoint now) {
    auto node = m_callers.extract(refusal.id);
    if (node.empty()) return;
    Caller caller = node.mapped();
    if (refusal.inputs.free_slots > 0 && refusal.inputs.waiting <= 1)
      ++m_results.all.refused_with_free_slots;
    const Millis left = std::chrono::duration_cast<Millis>(caller.first_sent + kDeadline - now);
    if (!std::exchange(caller.has_returned, true) && left > Millis{100}) {
      m_returns.emplace(now + std::min(refusal.retry_after, left / 3), caller);
      return;
    }
    for (Counts* counts : CountsOf(caller)) ++counts->refused;
  }

  double m_load;
  std::mt19937_64 m_random;
  Stall m_stall;
  Service m_service;
  Scheduler m_scheduler;
  CallerDeadlines m_deadlines;
  std::uint64_t m_next_id = 0;
  std::map<AttemptId, Caller> m_callers;
  std::multimap<TimePoint, Caller> m_returns;
  std::priority_queue<Running> m_running;
  Results m_results;
};

void CheckNobodyStarves(const std::map<std::string, Counts>& groups, const Counts& all) {
  for (const auto& [name, counts] : groups)
    BOOST_TEST(counts.ServedShare() >= all.ServedShare() / 4, name);
}

}  // namespace

// Guards against requests that are held until their time is over instead of being refused, and
// against a queue in which all requests become late before they are served.
BOOST_AUTO_TEST_CASE(OverloadIsRefusedEarly) {
  for (const double load : {1.5, 3.0}) {
    const Results results = PlainServicePlay(load, 1).Run();
    const double capacity = kCapacityPerS * kLengthS;
    BOOST_TEST_MESSAGE("load " << load << ": of " << results.all.offered << " on time "
                               << results.all.on_time << ", late " << results.all.late
                               << ", refused " << results.all.refused << ", held "
                               << results.all.held);
    BOOST_TEST(results.all.held == 0);
    // Most of what the service can do is done on time.
    BOOST_TEST(results.all.on_time >= capacity * 0.75);
    CheckNobodyStarves(results.by_route, results.all);
    CheckNobodyStarves(results.by_organisation, results.all);
  }
}

// Guards against refusals while the service keeps up.
BOOST_AUTO_TEST_CASE(OrdinaryLoadIsServedOnTime) {
  const Results results = PlainServicePlay(0.7, 2).Run();
  BOOST_TEST(results.all.refused == 0);
  BOOST_TEST(results.all.held == 0);
  BOOST_TEST(results.all.on_time >= results.all.offered * 0.98);
}

// Guards against a backlog of late requests that makes new ones late as well after a stall.
BOOST_AUTO_TEST_CASE(NewRequestsGoFirstAfterStall) {
  const Results results = PlainServicePlay(0.8, 3, {5, 5.7}).Run();
  BOOST_TEST_MESSAGE("of " << results.all.offered << " on time " << results.all.on_time << ", late "
                           << results.all.late << ", refused " << results.all.refused);
  BOOST_TEST(results.all.held == 0);
  // The stall lasts 0.7 of 20 s.
  BOOST_TEST(results.all.on_time >= results.all.offered * 0.92);
}

// Guards against callers with a shorter deadline than others that count as returning ones, and
// against returning ones that count as new.
BOOST_AUTO_TEST_CASE(AgeFollowsFromRecurringDeadlines) {
  CallerDeadlines deadlines;
  BOOST_TEST(deadlines.AgeOf("r", Millis{690}).count() == 0);
  for (int i = 0; i < 100; ++i) {
    deadlines.AgeOf("r", Millis{1'000});
    deadlines.AgeOf("r", Millis{500});
  }
  BOOST_TEST(deadlines.AgeOf("r", Millis{1'000}).count() == 0);
  BOOST_TEST(deadlines.AgeOf("r", Millis{500}).count() == 0);
  BOOST_TEST(deadlines.AgeOf("r", Millis{691}).count() == 309);
  BOOST_TEST(deadlines.AgeOf("r", Millis{40}).count() == 460);
  BOOST_TEST(deadlines.AgeOf("r", Millis{1'200}).count() == 0);
  BOOST_TEST(deadlines.AgeOf("other", Millis{691}).count() == 0);
}

// Guards against a request that is refused though a slot is free for it.
BOOST_AUTO_TEST_CASE(FreeSlotsAreUsed) {
  for (const double load : {0.7, 1.5, 3.0})
    BOOST_TEST(PlainServicePlay(load, 4).Run().all.refused_with_free_slots == 0);
}

}  // namespace bluebellpass::gateway
