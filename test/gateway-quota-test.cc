#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

#include "gateway/coordinator.h"
#include "gateway/quota.h"

namespace bluebellpass::gateway {
namespace {

constexpr QuotaTolerance kTolerance{Millis{8'000}, 0.1, 140'000};
constexpr double kRate = 56'000;

TimePoint At(std::int64_t ms) { return TimePoint(Millis{ms}); }

Organisation Limited() {
  Organisation organisation;
  organisation.id = OrganisationId("o");
  organisation.is_quota_in_tokens = true;
  organisation.rate_per_s = kRate;
  organisation.burst = kRate;
  return organisation;
}

double AllowedInWindow() {
  return (kRate * 8 + kRate) * (1 + kTolerance.excess_ratio) + kTolerance.slack;
}

/// Largest sum of what started in any window.
double LargestWindow(const std::vector<std::pair<TimePoint, double>>& starts) {
  double largest = 0;
  double sum = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < starts.size(); ++i) {
    sum += starts[i].second;
    while (starts[i].first - starts[first].first > kTolerance.window) sum -= starts[first++].second;
    largest = std::max(largest, sum);
  }
  return largest;
}

Config ConfigWithOneEngine() {
  Config config;
  config.version = ConfigVersion(1);
  config.organisations.push_back(Limited());
  Service service;
  service.name = ServiceName("s");
  service.engine = EngineProperties{4, 0, 5};
  config.services.push_back(service);
  return config;
}

Backend EngineWith(int slots) {
  Backend backend;
  backend.id = BackendId("b");
  backend.service = ServiceName("s");
  backend.slots = slots;
  return backend;
}

}  // namespace

// Guards against large requests of an organisation above its quota that are neither started nor
// refused: smaller ones took each token that flowed in, until the callers of the large ones left.
BOOST_AUTO_TEST_CASE(RequestsAboveTheQuotaAreDecidedSoon) {
  Coordinator coordinator;
  coordinator.SetQuotaTolerance({Millis{8'000}, 0, 0});
  const auto table = std::make_shared<const RoutingTable>(ConfigWithOneEngine());
  coordinator.SetRoutingTable(table);
  coordinator.RequestScheduler().SetBackend(EngineWith(50), table->FindService(ServiceName("s")));
  std::map<AttemptId, TimePoint> undecided;
  Millis longest{0};
  const Millis objective{1'000};
  int next = 0;
  const auto decide = [&](const AttemptId& id, TimePoint now) {
    longest = std::max(longest, std::chrono::duration_cast<Millis>(now - undecided.at(id)));
    undecided.erase(id);
  };
  for (std::int64_t ms = 0; ms < 20'000; ms += 5) {
    const TimePoint now = At(ms);
    // Three times the quota, in small requests and a few large ones.
    if (ms % 10 == 0) {
      RequestInfo work;
      work.id = AttemptId("w" + std::to_string(next++));
      work.service = ServiceName("s");
      work.organisation = OrganisationId("o");
      work.arrived = now;
      work.latency_objective = objective;
      work.patience = Millis{60'000};
      work.deadline = now + Millis{60'000};
      work.prompt_tokens = 100;
      work.quota_cost = next % 20 == 0 ? 12'000 : 1'300;
      undecided[work.id] = now;
      coordinator.Submit(std::move(work), now);
    }
    const Decisions decisions = coordinator.Decide(now);
    for (const Grant& grant : decisions.grants) {
      decide(grant.id, now);
      coordinator.Release(grant.id, {RunOutcome::kCompleted, {}, {}}, now);
    }
    for (const Refusal& refusal : decisions.refusals) decide(refusal.id, now);
  }
  for (const auto& [id, since] : undecided)
    longest = std::max(longest, std::chrono::duration_cast<Millis>(At(20'000) - since));
  // A decision that takes longer than half of the objective leaves no time for the answer.
  BOOST_TEST(longest <= objective / 2);
}

// Guards against a quota that is exceeded in some window by requests that wait for seconds and are
// then dropped: what they give back must not be spent on top of what has flowed in since.
BOOST_AUTO_TEST_CASE(DroppedWorkDoesNotRaiseTheQuota) {
  std::mt19937 random(7);
  for (int round = 0; round < 20; ++round) {
    Coordinator coordinator;
    coordinator.SetQuotaTolerance(kTolerance);
    const auto table = std::make_shared<const RoutingTable>(ConfigWithOneEngine());
    coordinator.SetRoutingTable(table);
    coordinator.RequestScheduler().SetBackend(EngineWith(4), table->FindService(ServiceName("s")));
    std::vector<std::pair<TimePoint, double>> starts;
    std::map<AttemptId, double> costs;
    std::deque<AttemptId> waiting;
    std::deque<AttemptId> running;
    int next = 0;
    for (std::int64_t ms = 0; ms < 40'000; ms += 5) {
      const TimePoint now = At(ms);
      // Demand of several times the quota.
      if (random() % 4 == 0) {
        RequestInfo work;
        work.id = AttemptId("w" + std::to_string(next++));
        work.service = ServiceName("s");
        work.organisation = OrganisationId("o");
        work.arrived = now;
        work.latency_objective = Millis{1'000};
        work.patience = Millis{60'000};
        work.deadline = now + Millis{60'000};
        work.prompt_tokens = 100;
        work.quota_cost = 2'000 + static_cast<double>(random() % 20'000);
        costs[work.id] = work.quota_cost;
        waiting.push_back(work.id);
        coordinator.Submit(std::move(work), now);
      }
      // Callers leave the queue after waits of any length.
      if (!waiting.empty() && random() % 12 == 0) {
        coordinator.Withdraw(waiting.front());
        waiting.pop_front();
      }
      if (!running.empty() && random() % 6 == 0) {
        coordinator.Release(running.front(), {}, now);
        running.pop_front();
      }
      for (const Grant& grant : coordinator.Decide(now).grants) {
        starts.emplace_back(now, costs[grant.id]);
        running.push_back(grant.id);
        std::erase(waiting, grant.id);
      }
    }
    BOOST_TEST(starts.size() > 50U);
    BOOST_TEST(LargestWindow(starts) <= AllowedInWindow());
  }
}

// Guards against a quota that is spent twice, once under each of two successive coordinators.
BOOST_AUTO_TEST_CASE(TakeoverStartsEmpty) {
  const Organisation organisation = Limited();
  std::vector<std::pair<TimePoint, double>> starts;
  for (std::int64_t takeover = 0; takeover < 4; ++takeover) {
    QuotaLimiter ledger;
    ledger.SetTolerance(kTolerance);
    ledger.Reset(At(takeover * 2'000));
    for (std::int64_t ms = takeover * 2'000; ms < (takeover + 1) * 2'000; ++ms)
      if (ledger.TryTake(organisation, 1'000, At(ms))) starts.emplace_back(At(ms), 1'000);
  }
  BOOST_TEST(LargestWindow(starts) <= kRate * 8 * 1.01);
}

// Guards against callers that are refused although their organisation is within its limits.
BOOST_AUTO_TEST_CASE(DemandBelowTheRateIsNeverRefused) {
  QuotaLimiter ledger;
  ledger.SetTolerance(kTolerance);
  const Organisation organisation = Limited();
  std::mt19937 random(3);
  for (std::int64_t ms = 0; ms < 60'000; ms += 100) {
    // Bursts of half a second at three times the rate, then nothing.
    const bool is_burst = ms % 2'000 < 600;
    if (is_burst) BOOST_TEST(ledger.TryTake(organisation, kRate * 0.3, At(ms)));
  }
}

// Guards against requests that can never run because they are larger than the bucket.
BOOST_AUTO_TEST_CASE(RequestLargerThanTheBucketRuns) {
  QuotaLimiter ledger;
  ledger.SetTolerance(kTolerance);
  BOOST_TEST(ledger.TryTake(Limited(), 10e6, At(0)));
  BOOST_TEST(!ledger.TryTake(Limited(), 1, At(1)));
}

// Guards against a share of the quota that isolated instances exceed together.
BOOST_AUTO_TEST_CASE(SharesAddUpToTheWhole) {
  double taken = 0;
  for (int instance = 0; instance < 9; ++instance) {
    QuotaLimiter ledger;
    ledger.SetTolerance(kTolerance);
    ledger.SetShare(1.0 / 9);
    for (std::int64_t ms = 0; ms < 8'000; ms += 10)
      while (ledger.TryTake(Limited(), 500, At(ms))) taken += 500;
  }
  BOOST_TEST(taken <= AllowedInWindow());
}

// Guards against repeats that exceed the fleet's budget in a window of any position.
BOOST_AUTO_TEST_CASE(RepeatsStayWithinTheBudget) {
  RetryBudget budget({0.16, 5, Millis{10'000}});
  std::mt19937 random(5);
  std::vector<std::int64_t> requests;
  std::vector<std::int64_t> repeats;
  for (std::int64_t ms = 0; ms < 60'000; ms += 10) {
    if (random() % 3 == 0) {
      budget.RecordRequest(At(ms));
      requests.push_back(ms);
    }
    if (random() % 2 == 0 && budget.TryRetry(At(ms))) repeats.push_back(ms);
  }
  const auto count = [](const std::vector<std::int64_t>& times, std::int64_t from) {
    return std::count_if(times.begin(), times.end(),
                         [&](auto ms) { return ms >= from && ms < from + 10'000; });
  };
  for (std::int64_t from = 0; from < 50'000; from += 500) {
    // The bound takes the requests of this window or of the one before.
    const auto most = std::max(count(requests, from), count(requests, from - 10'000));
    BOOST_TEST(static_cast<double>(count(repeats, from)) <= 0.2 * static_cast<double>(most) + 6);
  }
}

}  // namespace bluebellpass::gateway
