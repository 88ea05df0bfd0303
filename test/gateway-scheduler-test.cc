#include <boost/test/unit_test.hpp>
#include <set>

#include "gateway/coordinator.h"

namespace bluebellpass::gateway {
namespace {

const TimePoint kStart{Millis{1'000'000}};

struct OpenGate : AdmissionControl {
  bool TryAdmit(const RequestInfo&, TimePoint) override { return true; }
};

Service Engines() {
  Service service;
  service.name = ServiceName("chat");
  service.engine = EngineProperties{2, 0, 5};
  return service;
}

Backend BackendOf(const std::string& id, const std::string& service = "chat", int slots = 2) {
  Backend backend;
  backend.id = BackendId(id);
  backend.service = ServiceName(service);
  backend.slots = slots;
  return backend;
}

RequestInfo WorkOf(const std::string& id, int rank = 0, std::int64_t prompt = 500,
                   std::int64_t output = 100) {
  RequestInfo work;
  work.id = AttemptId(id);
  work.home = InstanceId("home");
  work.service = ServiceName("chat");
  work.rank = rank;
  work.arrived = kStart;
  work.latency_objective = Millis{1'000};
  work.max_event_gap = Millis{250};
  work.patience = Millis{4'000};
  work.deadline = kStart + Millis{15'000};
  work.prompt_tokens = prompt;
  work.output_tokens = output;
  work.fingerprint = StableHash(id);
  return work;
}

struct Fixture {
  Scheduler scheduler;
  OpenGate gate;
  Service engines = Engines();

  std::vector<std::string> Granted(TimePoint now = kStart) {
    std::vector<std::string> ids;
    last = scheduler.Decide(now, gate);
    for (const Grant& grant : last.grants) ids.push_back(grant.id.Text());
    return ids;
  }
  Decisions last;
};

}  // namespace

// Guards against engines that get more than they run at once: the rest would queue inside them,
// where nothing can be ordered or taken back.
BOOST_FIXTURE_TEST_CASE(NoMoreThanTheSlots, Fixture) {
  scheduler.SetBackend(BackendOf("a"), &engines);
  for (int i = 0; i < 5; ++i) scheduler.AddRequest(WorkOf("w" + std::to_string(i)));
  BOOST_TEST(Granted().size() == 2U);
  BOOST_TEST(scheduler.RunningOn(BackendId("a")) == 2);
  scheduler.Release(last.grants[0].id, {}, kStart);
  BOOST_TEST(Granted().size() == 1U);
}

// Guards against less urgent work of the same size that goes first.
BOOST_FIXTURE_TEST_CASE(UrgentWorkGoesFirst, Fixture) {
  scheduler.SetBackend(BackendOf("a", "chat", 1), &engines);
  scheduler.AddRequest(WorkOf("low", 2));
  scheduler.AddRequest(WorkOf("high", 0));
  BOOST_TEST(Granted() == std::vector<std::string>{"high"});
}

// Guards against new work for backend servers that are leaving, gone, avoided or have failed it.
BOOST_FIXTURE_TEST_CASE(LeavingBackendsGetNothing, Fixture) {
  Backend leaving = BackendOf("a");
  leaving.is_draining = true;
  scheduler.SetBackend(leaving, &engines);
  scheduler.SetBackend(BackendOf("b"), &engines);
  scheduler.SetBackend(BackendOf("c"), &engines);
  scheduler.AvoidBackend(BackendId("c"), kStart + Millis{500});
  RequestInfo work = WorkOf("w");
  work.excluded_backends = {BackendId("b")};
  scheduler.AddRequest(work);
  BOOST_TEST(Granted().empty());
  BOOST_TEST(last.refusals.empty());
  BOOST_TEST(Granted(kStart + Millis{600}).size() == 1U);
  BOOST_TEST(last.grants[0].backend.Text() == "c");
}

// Guards against callers that wait for a service that has no backend server left.
BOOST_FIXTURE_TEST_CASE(NoBackendIsToldAtOnce, Fixture) {
  scheduler.AddRequest(WorkOf("w"));
  Granted();
  BOOST_REQUIRE(last.refusals.size() == 1);
  BOOST_TEST((last.refusals[0].reason == RefusalReason::kNoBackend));
  BOOST_TEST(scheduler.WaitingCount() == 0U);
}

// Guards against requests that are kept until their callers have left.
BOOST_FIXTURE_TEST_CASE(HopelessWorkIsRefusedBeforeTheCallerLeaves, Fixture) {
  scheduler.SetBackend(BackendOf("a", "chat", 1), &engines);
  scheduler.AddRequest(WorkOf("running"));
  BOOST_TEST(Granted().size() == 1U);
  scheduler.AddRequest(WorkOf("waiting"));
  Granted();
  TimePoint now = kStart;
  while (scheduler.WaitingCount() != 0) {
    const auto next = scheduler.NextDecision();
    BOOST_REQUIRE(next.has_value());
    now = *next;
    BOOST_REQUIRE((now < kStart + Millis{4'000}));
    Granted(now);
  }
  BOOST_REQUIRE(last.refusals.size() == 1);
  BOOST_TEST(last.refusals[0].retry_after.count() > 0);
}

// Guards against long prompts beside running streams on slow engines, whose pauses they would
// stretch over the bound.
BOOST_FIXTURE_TEST_CASE(LongPromptsDoNotStretchRunningStreams, Fixture) {
  scheduler.SetBackend(BackendOf("slow"), &engines);
  scheduler.AddRequest(WorkOf("stream"));
  BOOST_TEST(Granted().size() == 1U);
  scheduler.RecordFirstEvent(AttemptId("stream"), Millis{40}, kStart);
  // 75 ms between events, five times slower than others.
  for (int i = 0; i < 40; ++i) {
    const std::string id = "probe" + std::to_string(i);
    scheduler.AddRequest(WorkOf(id, 0, 10, 5));
    Granted();
    RunReport report;
    report.outcome = RunOutcome::kCompleted;
    report.event_gap_ms = 75;
    scheduler.Release(AttemptId(id), report, kStart);
  }
  scheduler.AddRequest(WorkOf("long", 0, 20'000, 100));
  BOOST_TEST(Granted().empty());
  scheduler.Release(AttemptId("stream"), {}, kStart);
  scheduler.RemoveWaiting(AttemptId("long"));
}

// Guards against a backend server that fails requests while its health is good and goes on getting
// its full part of them.
BOOST_FIXTURE_TEST_CASE(FailingBackendsAreLast, Fixture) {
  Service desk;
  desk.name = ServiceName("desk");
  for (const char* id : {"bad", "good"}) scheduler.SetBackend(BackendOf(id, "desk", 10), &desk);
  std::map<std::string, int> grants;
  for (int i = 0; i < 200; ++i) {
    RequestInfo work = WorkOf("w" + std::to_string(i));
    work.service = ServiceName("desk");
    scheduler.AddRequest(work);
    const TimePoint now = kStart + Millis{i * 5};
    Granted(now);
    BOOST_REQUIRE(last.grants.size() == 1);
    const std::string backend = last.grants[0].backend.Text();
    ++grants[backend];
    RunReport report;
    report.outcome = backend == "bad" ? RunOutcome::kFailed : RunOutcome::kCompleted;
    scheduler.Release(work.id, report, now);
  }
  BOOST_TEST(grants["bad"] < 20);
}

// Guards against a change of what the coordinator believes of a backend server that no log tells.
BOOST_FIXTURE_TEST_CASE(LimitsAreReportedOnce, Fixture) {
  Service desk;
  desk.name = ServiceName("desk");
  for (const char* id : {"bad", "good", "other"})
    scheduler.SetBackend(BackendOf(id, "desk", 10), &desk);
  std::vector<FailureLimitChange> changes;
  TimePoint now = kStart;
  const auto pass = [&](int index) {
    RequestInfo work = WorkOf("w" + std::to_string(index));
    work.service = ServiceName("desk");
    // Only the failing one is free of the others.
    if (index < 8) work.excluded_backends = {BackendId("good"), BackendId("other")};
    work.is_retryable = true;
    work.arrived = now;
    work.deadline = now + Millis{15'000};
    scheduler.AddRequest(work);
    Granted(now);
    changes.insert(changes.end(), last.limit_changes.begin(), last.limit_changes.end());
    for (const Grant& grant : last.grants) {
      RunReport report;
      report.outcome = grant.backend.Text() == "bad" ? RunOutcome::kFailed : RunOutcome::kCompleted;
      scheduler.Release(grant.id, report, now);
    }
    scheduler.RemoveWaiting(work.id);
  };
  for (int i = 0; i < 8; ++i) {
    pass(i);
    now += Millis{100};
  }
  BOOST_REQUIRE(!changes.empty());
  BOOST_TEST(changes.size() <= 2U);
  BOOST_TEST(changes.back().backend.Text() == "bad");
  BOOST_TEST((changes.back().limit != FailureLimit::kNone));
  BOOST_TEST(changes.back().failure_rate > changes.back().mean_failure_rate);
  // It is forgotten when nothing has failed for long.
  now += Millis{30'000};
  pass(8);
  BOOST_TEST((changes.back().limit == FailureLimit::kNone));
}

// Guards against places that stay taken after an instance is gone, and against a run that is
// counted twice when it is reported to a new coordinator.
BOOST_FIXTURE_TEST_CASE(RunsOfALostInstanceAreForgotten, Fixture) {
  scheduler.SetBackend(BackendOf("a"), &engines);
  scheduler.AdoptRun(WorkOf("r"), BackendId("a"), false, kStart);
  scheduler.AdoptRun(WorkOf("r"), BackendId("a"), false, kStart);
  BOOST_TEST(scheduler.RunningOn(BackendId("a")) == 1);
  scheduler.AddRequest(WorkOf("w"));
  const auto waiting = scheduler.RemoveHome(InstanceId("home"));
  BOOST_TEST(waiting.size() == 1U);
  BOOST_TEST(scheduler.RunningOn(BackendId("a")) == 0);
  BOOST_TEST(scheduler.RunningCount() == 0U);
}

// Guards against isolated instances that together grant more places than a backend server has.
BOOST_AUTO_TEST_CASE(SharesDoNotExceedThePlaces) {
  const Service engines = Engines();
  for (std::size_t count = 1; count <= 12; ++count) {
    std::size_t granted = 0;
    for (std::size_t index = 0; index < count; ++index) {
      Scheduler scheduler;
      OpenGate gate;
      scheduler.SetShare(index, count);
      scheduler.SetBackend(BackendOf("a", "chat", 9), &engines);
      for (int i = 0; i < 20; ++i) scheduler.AddRequest(WorkOf("w" + std::to_string(i)));
      granted += scheduler.Decide(kStart, gate).grants.size();
    }
    BOOST_TEST(granted <= 9U);
  }
}

// Guards against a request that crashes one engine after the other, and against innocent requests
// that are held to be the cause because they ran beside it.
BOOST_AUTO_TEST_CASE(RequestThatCrashesEnginesIsQuarantined) {
  Coordinator coordinator;
  const Service engines = Engines();
  for (int i = 0; i < 4; ++i)
    coordinator.RequestScheduler().SetBackend(BackendOf("e" + std::to_string(i), "chat", 1),
                                              &engines);
  TimePoint now = kStart;
  std::size_t sent = 0;
  bool is_refused = false;
  for (int attempt = 0; attempt < 6; ++attempt) {
    now += Millis{4'000};
    RequestInfo poison = WorkOf("poison" + std::to_string(attempt));
    poison.arrived = now;
    poison.deadline = now + Millis{10'000};
    poison.fingerprint = 99;
    coordinator.Submit(poison, now);
    const Decisions decisions = coordinator.Decide(now);
    if (!decisions.refusals.empty()) {
      is_refused = decisions.refusals[0].reason == RefusalReason::kQuarantined;
      break;
    }
    BOOST_REQUIRE(decisions.grants.size() == 1);
    ++sent;
    RunReport report;
    report.outcome = RunOutcome::kLost;
    coordinator.Release(poison.id, report, now + Millis{100});
    coordinator.OnBackendUnreachable(decisions.grants[0].backend, now + Millis{700});
  }
  BOOST_TEST(is_refused);
  BOOST_TEST(sent <= 3U);
  // A lost answer alone is no death.
  for (int attempt = 0; attempt < 6; ++attempt) {
    now += Millis{4'000};
    RequestInfo innocent = WorkOf("innocent" + std::to_string(attempt));
    innocent.arrived = now;
    innocent.deadline = now + Millis{10'000};
    innocent.fingerprint = 7;
    coordinator.Submit(innocent, now);
    const Decisions decisions = coordinator.Decide(now);
    BOOST_REQUIRE(decisions.grants.size() == 1);
    RunReport report;
    report.outcome = RunOutcome::kLost;
    coordinator.Release(innocent.id, report, now + Millis{100});
  }
}

// Guards against sums by size that lose requests, so that a size that starves cannot be seen.
BOOST_FIXTURE_TEST_CASE(EachRequestIsCountedByItsSize, Fixture) {
  scheduler.SetBackend(BackendOf("a"), &engines);
  for (int i = 0; i < 40; ++i)
    scheduler.AddRequest(WorkOf("w" + std::to_string(i), 0, 500, i % 10 == 0 ? 2'000 : 50));
  Granted();
  scheduler.Release(last.grants[0].id, RunReport{RunOutcome::kCompleted, {}, {}}, kStart);
  Granted(kStart + Millis{4'000});
  ResultCounts sums;
  for (const SizeGroupResults& report : scheduler.ResultsBySize())
    for (const auto& [result, count] : report.counts) sums[result] += count;
  BOOST_TEST(sums["offered"] == 40U);
  BOOST_TEST(sums["granted"] + sums["too_late"] + sums["overloaded"] == 40U);
  BOOST_TEST(sums["completed"] == 1U);
}

// Guards against a silent backend server that goes on getting work until each of its runs has been
// silent for long by itself.
BOOST_FIXTURE_TEST_CASE(SilentBackendIsKnownByItsFirstSilentRun, Fixture) {
  const auto add_for_a = [&](const std::string& id, TimePoint now) {
    RequestInfo work = WorkOf(id);
    work.arrived = now;
    work.deadline = now + Millis{15'000};
    for (const char* other : {"b", "c", "d", "e", "f"})
      work.excluded_backends.insert(BackendId(other));
    scheduler.AddRequest(work);
    BOOST_TEST(Granted(now).size() == 1U);
  };
  for (const char* id : {"a", "b", "c", "d", "e", "f"})
    scheduler.SetBackend(BackendOf(id, "chat", 8), &engines);
  add_for_a("first", kStart);
  for (int i = 0; i < 3; ++i) add_for_a("w" + std::to_string(i), kStart + Millis{900});
  scheduler.AddRequest(WorkOf("next"));
  Granted(kStart + Millis{1'200});
  BOOST_REQUIRE(last.limit_changes.size() == 1);
  BOOST_TEST(last.limit_changes[0].backend.Text() == "a");
  BOOST_TEST((last.limit_changes[0].limit == FailureLimit::kTrialsOnly));
}

// Guards against places that are taken until the deadline by answers that cannot be whole by then.
BOOST_FIXTURE_TEST_CASE(WorkThatCannotEndInTimeGetsNoScarcePlace, Fixture) {
  scheduler.SetBackend(BackendOf("a", "chat", 1), &engines);
  scheduler.AddRequest(WorkOf("running"));
  BOOST_TEST(Granted().size() == 1U);
  scheduler.Release(AttemptId("running"), RunReport{RunOutcome::kCompleted, {}, {}}, kStart);
  // 4,000 tokens take 18 s, and the deadline is in 15 s. With the place free, that is tried.
  scheduler.AddRequest(WorkOf("long", 0, 500, 4'000));
  BOOST_TEST(Granted() == std::vector<std::string>{"long"});
  scheduler.AddRequest(WorkOf("next long", 0, 500, 4'000));
  scheduler.AddRequest(WorkOf("short"));
  RequestInfo resumed = WorkOf("resumed", 0, 500, 4'000);
  resumed.is_retry = true;
  scheduler.AddRequest(resumed);
  BOOST_TEST(Granted().empty());
  BOOST_REQUIRE(last.refusals.size() == 1);
  BOOST_TEST(last.refusals[0].id.Text() == "next long");
  BOOST_TEST((last.refusals[0].reason == RefusalReason::kTooLate));
}

// Guards against routes of the same rank and objective that share size groups, in which one of them
// has all of the large requests.
BOOST_FIXTURE_TEST_CASE(SizesAreToldApartByRoute, Fixture) {
  scheduler.SetBackend(BackendOf("a"), &engines);
  for (int i = 0; i < 200; ++i) {
    RequestInfo work = WorkOf("w" + std::to_string(i), 0, 500, i % 20 < 2 ? 40 : 10);
    work.route = "labels";
    if (i % 2 == 0) {
      work.route = "reports";
      work.output_tokens *= 100;
    }
    scheduler.AddRequest(work);
  }
  std::map<std::string, std::uint64_t> largest;
  for (const SizeGroupResults& report : scheduler.ResultsBySize())
    if (report.size == SizeGroup::kLargest) largest[report.route] = report.counts.at("offered");
  BOOST_TEST(largest["labels"] > 5U);
  BOOST_TEST(largest["reports"] > 5U);
}

}  // namespace bluebellpass::gateway
