#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

#include "gateway/decisions/coordinator.h"
#include "gateway/decisions/quota.h"

namespace bluebellpass::gateway {
namespace {

constexpr QuotaTolerance kTolerance{Millis{8'000}, 0.1, 140'000};
constexpr double kTokensPerSecond = 56'000;

TimePoint At(std::int64_t ms) { return TimePoint(Millis{ms}); }

Organisation TokenLimitedOrganisation() {
  Organisation organisation;
  organisation.id = OrganisationId("o");
  organisation.is_quota_in_tokens = true;
  organisation.rate_per_s = kTokensPerSecond;
  organisation.burst = kTokensPerSecond;
  return organisation;
}

double AllowedCostPerWindow() {
  return (kTokensPerSecond * 8 + kTokensPerSecond) * (1 + kTolerance.excess_ratio) +
         kTolerance.slack;
}

/// @param started costs of requests by start time
/// @return largest sum of costs that started within one tolerance window
double MaxCostInAnyWindow(const std::vector<std::pair<TimePoint, double>>& started) {
  double max_sum = 0;
  double sum = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < started.size(); ++i) {
    sum += started[i].second;
    while (started[i].first - started[first].first > kTolerance.window)
      sum -= started[first++].second;
    max_sum = std::max(max_sum, sum);
  }
  return max_sum;
}

Config ConfigWithOneEngine() {
  Config config;
  config.version = ConfigVersion(1);
  config.organisations.push_back(TokenLimitedOrganisation());
  Service service;
  service.name = ServiceName("s");
  service.engine = EngineProperties{4, 0, 5};
  config.services.push_back(service);
  return config;
}

Backend EngineWithSlots(int slots) {
  Backend backend;
  backend.id = BackendId("b");
  backend.service = ServiceName("s");
  backend.slots = slots;
  return backend;
}

}  // namespace

// Guards against large requests of an organisation above its quota being neither started nor
// refused: smaller requests take each token that refills the bucket, until the callers of the large
// ones disconnect.
BOOST_AUTO_TEST_CASE(RequestsAboveTheQuotaAreDecidedSoon) {
  Coordinator coordinator;
  coordinator.SetQuotaTolerance({Millis{8'000}, 0, 0});
  const auto table = std::make_shared<const RoutingTable>(ConfigWithOneEngine());
  coordinator.SetRoutingTable(table);
  coordinator.RequestScheduler().SetBackend(EngineWithSlots(50),
                                            table->FindService(ServiceName("s")));
  std::map<AttemptId, TimePoint> submitted;
  Millis max_delay{0};
  const Millis objective{1'000};
  int next = 0;
  const auto record_decision = [&](const AttemptId& id, TimePoint now) {
    max_delay = std::max(max_delay, std::chrono::duration_cast<Millis>(now - submitted.at(id)));
    submitted.erase(id);
  };
  for (std::int64_t ms = 0; ms < 20'000; ms += 5) {
    const TimePoint now = At(ms);
    // Demand of three times the quota, in small requests and a few large ones.
    if (ms % 10 == 0) {
      RequestInfo request;
      request.id = AttemptId("w" + std::to_string(next++));
      request.service = ServiceName("s");
      request.organisation = OrganisationId("o");
      request.arrived = now;
      request.latency_objective = objective;
      request.patience = Millis{60'000};
      request.deadline = now + Millis{60'000};
      request.prompt_tokens = 100;
      request.quota_cost = next % 20 == 0 ? 12'000 : 1'300;
      submitted[request.id] = now;
      coordinator.Submit(std::move(request), now);
    }
    const Decisions decisions = coordinator.Decide(now);
    for (const Grant& grant : decisions.grants) {
      record_decision(grant.id, now);
      coordinator.ReleaseRun(grant.id, {RunOutcome::kCompleted, {}, {}}, now);
    }
    for (const Refusal& refusal : decisions.refusals) record_decision(refusal.id, now);
  }
  for (const auto& [id, submitted_at] : submitted)
    max_delay = std::max(max_delay, std::chrono::duration_cast<Millis>(At(20'000) - submitted_at));
  // A decision after more than half of the objective leaves too little time for the response.
  BOOST_TEST(max_delay <= objective / 2);
}

// Guards against exceeding a quota in some window after requests wait for seconds and are then
// dropped: tokens that they give back must not be spent on top of the refill since then.
BOOST_AUTO_TEST_CASE(DroppedRequestsDoNotRaiseTheQuota) {
  std::mt19937 random(7);
  for (int round = 0; round < 20; ++round) {
    Coordinator coordinator;
    coordinator.SetQuotaTolerance(kTolerance);
    const auto table = std::make_shared<const RoutingTable>(ConfigWithOneEngine());
    coordinator.SetRoutingTable(table);
    coordinator.RequestScheduler().SetBackend(EngineWithSlots(4),
                                              table->FindService(ServiceName("s")));
    std::vector<std::pair<TimePoint, double>> started;
    std::map<AttemptId, double> costs;
    std::deque<AttemptId> waiting;
    std::deque<AttemptId> running;
    int next = 0;
    for (std::int64_t ms = 0; ms < 40'000; ms += 5) {
      const TimePoint now = At(ms);
      // Demand of several times the quota.
      if (random() % 4 == 0) {
        RequestInfo request;
        request.id = AttemptId("w" + std::to_string(next++));
        request.service = ServiceName("s");
        request.organisation = OrganisationId("o");
        request.arrived = now;
        request.latency_objective = Millis{1'000};
        request.patience = Millis{60'000};
        request.deadline = now + Millis{60'000};
        request.prompt_tokens = 100;
        request.quota_cost = 2'000 + static_cast<double>(random() % 20'000);
        costs[request.id] = request.quota_cost;
        waiting.push_back(request.id);
        coordinator.Submit(std::move(request), now);
      }
      // Callers disconnect after waits of any length.
      if (!waiting.empty() && random() % 12 == 0) {
        coordinator.Withdraw(waiting.front());
        waiting.pop_front();
      }
      if (!running.empty() && random() % 6 == 0) {
        coordinator.ReleaseRun(running.front(), {}, now);
        running.pop_front();
      }
      for (const Grant& grant : coordinator.Decide(now).grants) {
        started.emplace_back(now, costs[grant.id]);
        running.push_back(grant.id);
        std::erase(waiting, grant.id);
      }
    }
    BOOST_TEST(started.size() > 50U);
    BOOST_TEST(MaxCostInAnyWindow(started) <= AllowedCostPerWindow());
  }
}

// Guards against spending a quota twice, once under each of two successive coordinators.
BOOST_AUTO_TEST_CASE(BucketsAreEmptyAfterTakeover) {
  const Organisation organisation = TokenLimitedOrganisation();
  std::vector<std::pair<TimePoint, double>> started;
  for (std::int64_t takeover = 0; takeover < 4; ++takeover) {
    QuotaLimiter limiter;
    limiter.SetTolerance(kTolerance);
    limiter.Reset(At(takeover * 2'000));
    for (std::int64_t ms = takeover * 2'000; ms < (takeover + 1) * 2'000; ++ms)
      if (limiter.TryTake(organisation, 1'000, At(ms))) started.emplace_back(At(ms), 1'000);
  }
  BOOST_TEST(MaxCostInAnyWindow(started) <= kTokensPerSecond * 8 * 1.01);
}

// Guards against memory and reports that grow with the number of organisations, and against a
// successor that grants whole quotas to the ones that no report names.
BOOST_AUTO_TEST_CASE(GrantHistoryIsBoundedAndExpires) {
  GrantHistory history;
  history.SetWindow(kTolerance.window);
  history.Start(At(0));
  Organisation organisation = TokenLimitedOrganisation();
  for (int i = 0; i < 48'000; ++i) {
    organisation.id = OrganisationId("o" + std::to_string(i));
    history.Record(organisation, 1 + i % 500, At(10'000 + i / 10));
  }
  BOOST_TEST(history.Size() == GrantHistory::kMaxOrganisations);
  const QuotaReport report = history.Report(At(14'800));
  BOOST_TEST(report.granted.size() <= 2 * GrantHistory::kMaxOrganisations);
  BOOST_TEST(report.max_omitted_ratio >= 480 / (kTokensPerSecond * 9));
  BOOST_TEST(report.max_omitted_ratio <= 500 / (kTokensPerSecond * 9));
  QuotaLimiter limiter;
  limiter.SetTolerance({kTolerance.window, 0, 0});
  limiter.Reset(At(14'800));
  limiter.AddReport(InstanceId("i"), report, At(14'800));
  organisation.id = OrganisationId("unnamed");
  BOOST_TEST(!limiter.TryTake(organisation, kTokensPerSecond * 0.9999, At(14'800)));
  BOOST_TEST(limiter.TryTake(organisation, kTokensPerSecond * 0.99, At(14'800)));
  BOOST_TEST(history.Report(At(30'000)).granted.empty());
  BOOST_TEST(history.Size() == 0U);
}

// Guards against refusing requests of an organisation that stays within its quota.
BOOST_AUTO_TEST_CASE(DemandBelowTheRateIsNeverRefused) {
  QuotaLimiter limiter;
  limiter.SetTolerance(kTolerance);
  const Organisation organisation = TokenLimitedOrganisation();
  std::mt19937 random(3);
  for (std::int64_t ms = 0; ms < 60'000; ms += 100) {
    // Bursts of 600 ms at three times the rate, every 2 s.
    const bool is_burst = ms % 2'000 < 600;
    if (is_burst) BOOST_TEST(limiter.TryTake(organisation, kTokensPerSecond * 0.3, At(ms)));
  }
}

// Guards against requests that can never run because they exceed the capacity of the bucket.
BOOST_AUTO_TEST_CASE(RequestLargerThanTheBucketRuns) {
  QuotaLimiter limiter;
  limiter.SetTolerance(kTolerance);
  BOOST_TEST(limiter.TryTake(TokenLimitedOrganisation(), 10e6, At(0)));
  BOOST_TEST(!limiter.TryTake(TokenLimitedOrganisation(), 1, At(1)));
}

// Guards against isolated instances that together exceed the quota.
BOOST_AUTO_TEST_CASE(SharesAddUpToTheWhole) {
  double taken = 0;
  for (int instance = 0; instance < 9; ++instance) {
    QuotaLimiter limiter;
    limiter.SetTolerance(kTolerance);
    limiter.SetShare({0, 9, 1.0 / 9});
    for (std::int64_t ms = 0; ms < 8'000; ms += 10)
      while (limiter.TryTake(TokenLimitedOrganisation(), 500, At(ms))) taken += 500;
  }
  BOOST_TEST(taken <= AllowedCostPerWindow());
}

// Guards against retries that exceed the fleet's budget in any window.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget) {
  RetryBudget budget({0.16, 5, Millis{10'000}});
  std::mt19937 random(5);
  std::vector<std::int64_t> requests;
  std::vector<std::int64_t> retries;
  for (std::int64_t ms = 0; ms < 60'000; ms += 10) {
    if (random() % 3 == 0) {
      budget.RecordRequest(At(ms));
      requests.push_back(ms);
    }
    if (random() % 2 == 0 && budget.TryRetry(At(ms))) retries.push_back(ms);
  }
  const auto count_in_window = [](const std::vector<std::int64_t>& times,
                                  std::int64_t window_start) {
    return std::count_if(times.begin(), times.end(),
                         [&](auto ms) { return ms >= window_start && ms < window_start + 10'000; });
  };
  for (std::int64_t window_start = 0; window_start < 50'000; window_start += 500) {
    // The bound follows from the requests of this window or of the one before.
    const auto max_requests = std::max(count_in_window(requests, window_start),
                                       count_in_window(requests, window_start - 10'000));
    BOOST_TEST(static_cast<double>(count_in_window(retries, window_start)) <=
               0.2 * static_cast<double>(max_requests) + 6);
  }
}

}  // namespace bluebellpass::gateway
