#include <boost/test/unit_test.hpp>
#include <set>

#include "gateway/decisions/coordinator.h"

namespace bluebellpass::gateway {
namespace {

const TimePoint kStart{Millis{1'000'000}};

struct AdmitAll : AdmissionControl {
  bool TryAdmit(const RequestInfo&, TimePoint) override { return true; }
};

Service EngineService() {
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

RequestInfo RequestOf(const std::string& id, int rank = 0, std::int64_t prompt = 500,
                      std::int64_t output = 100) {
  RequestInfo request;
  request.id = AttemptId(id);
  request.home = InstanceId("home");
  request.service = ServiceName("chat");
  request.rank = rank;
  request.arrived = kStart;
  request.latency_objective = Millis{1'000};
  request.max_event_gap = Millis{250};
  request.patience = Millis{4'000};
  request.deadline = kStart + Millis{15'000};
  request.prompt_tokens = prompt;
  request.output_tokens = output;
  request.fingerprint = StableHash(id);
  return request;
}

struct Fixture {
  Scheduler scheduler;
  AdmitAll admission;
  Service engine_service = EngineService();

  /// Lets the scheduler decide.
  /// @return ids of the granted requests
  std::vector<std::string> Decide(TimePoint now = kStart) {
    std::vector<std::string> ids;
    decisions = scheduler.Decide(now, admission);
    for (const Grant& grant : decisions.grants) ids.push_back(grant.id.Text());
    return ids;
  }
  Decisions decisions;
};

}  // namespace

// Guards against granting an engine more requests than it runs at once: the rest would queue inside
// the engine, where it can neither be reordered nor withdrawn.
BOOST_FIXTURE_TEST_CASE(GrantsAreLimitedBySlots, Fixture) {
  scheduler.SetBackend(BackendOf("a"), &engine_service);
  for (int i = 0; i < 5; ++i) scheduler.AddRequest(RequestOf("w" + std::to_string(i)));
  BOOST_TEST(Decide().size() == 2U);
  BOOST_TEST(scheduler.RunningOn(BackendId("a")) == 2);
  scheduler.ReleaseRun(decisions.grants[0].id, {}, kStart);
  BOOST_TEST(Decide().size() == 1U);
}

// Guards against granting a less urgent request of the same size first.
BOOST_FIXTURE_TEST_CASE(UrgentRequestGoesFirst, Fixture) {
  scheduler.SetBackend(BackendOf("a", "chat", 1), &engine_service);
  scheduler.AddRequest(RequestOf("low", 2));
  scheduler.AddRequest(RequestOf("high", 0));
  BOOST_TEST(Decide() == std::vector<std::string>{"high"});
}

// Guards against granting requests to backend servers that are draining or avoided, or that have
// failed the same request.
BOOST_FIXTURE_TEST_CASE(UnavailableBackendsGetNoRequests, Fixture) {
  Backend draining = BackendOf("a");
  draining.is_draining = true;
  scheduler.SetBackend(draining, &engine_service);
  scheduler.SetBackend(BackendOf("b"), &engine_service);
  scheduler.SetBackend(BackendOf("c"), &engine_service);
  scheduler.AvoidBackend(BackendId("c"), kStart + Millis{500});
  RequestInfo request = RequestOf("w");
  request.excluded_backends = {BackendId("b")};
  scheduler.AddRequest(request);
  BOOST_TEST(Decide().empty());
  BOOST_TEST(decisions.refusals.empty());
  BOOST_TEST(Decide(kStart + Millis{600}).size() == 1U);
  BOOST_TEST(decisions.grants[0].backend.Text() == "c");
}

// Guards against callers waiting for a service without backend servers.
BOOST_FIXTURE_TEST_CASE(RequestWithoutBackendIsRefusedAtOnce, Fixture) {
  scheduler.AddRequest(RequestOf("w"));
  Decide();
  BOOST_REQUIRE(decisions.refusals.size() == 1);
  BOOST_TEST((decisions.refusals[0].reason == RefusalReason::kNoBackend));
  BOOST_TEST(scheduler.WaitingCount() == 0U);
}

// Guards against requests that stay queued until their callers disconnect.
BOOST_FIXTURE_TEST_CASE(RequestIsRefusedBeforeItsCallerDisconnects, Fixture) {
  scheduler.SetBackend(BackendOf("a", "chat", 1), &engine_service);
  scheduler.AddRequest(RequestOf("running"));
  BOOST_TEST(Decide().size() == 1U);
  scheduler.AddRequest(RequestOf("waiting"));
  Decide();
  TimePoint now = kStart;
  while (scheduler.WaitingCount() != 0) {
    const auto next = scheduler.NextDecision();
    BOOST_REQUIRE(next.has_value());
    now = *next;
    BOOST_REQUIRE((now < kStart + Millis{4'000}));
    Decide(now);
  }
  BOOST_REQUIRE(decisions.refusals.size() == 1);
  BOOST_TEST(decisions.refusals[0].retry_after.count() > 0);
}

// Guards against starting a long prompt on a slow engine, where its prefill would stretch the event
// gaps of running streams over their bound.
BOOST_FIXTURE_TEST_CASE(LongPromptDoesNotStretchEventGaps, Fixture) {
  scheduler.SetBackend(BackendOf("slow"), &engine_service);
  scheduler.AddRequest(RequestOf("stream"));
  BOOST_TEST(Decide().size() == 1U);
  scheduler.RecordFirstEvent(AttemptId("stream"), Millis{40}, kStart);
  // Event gaps of 75 ms: five times slower than the other engines.
  for (int i = 0; i < 40; ++i) {
    const std::string id = "probe" + std::to_string(i);
    scheduler.AddRequest(RequestOf(id, 0, 10, 5));
    Decide();
    RunReport report;
    report.outcome = RunOutcome::kCompleted;
    report.event_gap_ms = 75;
    scheduler.ReleaseRun(AttemptId(id), report, kStart);
  }
  scheduler.AddRequest(RequestOf("long", 0, 20'000, 100));
  BOOST_TEST(Decide().empty());
  scheduler.ReleaseRun(AttemptId("stream"), {}, kStart);
  scheduler.Withdraw(AttemptId("long"));
}

// Guards against a backend server that passes its health check while it fails requests, and keeps
// getting its full share of them.
BOOST_FIXTURE_TEST_CASE(FailingBackendGetsFewRequests, Fixture) {
  Service plain_service;
  plain_service.name = ServiceName("desk");
  for (const char* id : {"bad", "good"})
    scheduler.SetBackend(BackendOf(id, "desk", 10), &plain_service);
  std::map<std::string, int> grants;
  for (int i = 0; i < 200; ++i) {
    RequestInfo request = RequestOf("w" + std::to_string(i));
    request.service = ServiceName("desk");
    scheduler.AddRequest(request);
    const TimePoint now = kStart + Millis{i * 5};
    Decide(now);
    BOOST_REQUIRE(decisions.grants.size() == 1);
    const std::string backend = decisions.grants[0].backend.Text();
    ++grants[backend];
    RunReport report;
    report.outcome = backend == "bad" ? RunOutcome::kFailed : RunOutcome::kCompleted;
    scheduler.ReleaseRun(request.id, report, now);
  }
  BOOST_TEST(grants["bad"] < 20);
}

// Guards against changes of failure limits that are missing from the log or logged repeatedly.
BOOST_FIXTURE_TEST_CASE(FailureLimitChangesAreReportedOnce, Fixture) {
  Service plain_service;
  plain_service.name = ServiceName("desk");
  for (const char* id : {"bad", "good", "other"})
    scheduler.SetBackend(BackendOf(id, "desk", 10), &plain_service);
  std::vector<FailureLimitChange> changes;
  TimePoint now = kStart;
  const auto run_request = [&](int index) {
    RequestInfo request = RequestOf("w" + std::to_string(index));
    request.service = ServiceName("desk");
    // The first requests can only run on the failing backend server.
    if (index < 8) request.excluded_backends = {BackendId("good"), BackendId("other")};
    request.is_retryable = true;
    request.arrived = now;
    request.deadline = now + Millis{15'000};
    scheduler.AddRequest(request);
    Decide(now);
    changes.insert(changes.end(), decisions.limit_changes.begin(), decisions.limit_changes.end());
    for (const Grant& grant : decisions.grants) {
      RunReport report;
      report.outcome = grant.backend.Text() == "bad" ? RunOutcome::kFailed : RunOutcome::kCompleted;
      scheduler.ReleaseRun(grant.id, report, now);
    }
    scheduler.Withdraw(request.id);
  };
  for (int i = 0; i < 8; ++i) {
    run_request(i);
    now += Millis{100};
  }
  BOOST_REQUIRE(!changes.empty());
  BOOST_TEST(changes.size() <= 2U);
  BOOST_TEST(changes.back().backend.Text() == "bad");
  BOOST_TEST((changes.back().limit != FailureLimit::kNone));
  BOOST_TEST(changes.back().failure_rate > changes.back().mean_failure_rate);
  // The failure rate decays without new failures, and the limit is lifted.
  now += Millis{30'000};
  run_request(8);
  BOOST_TEST((changes.back().limit == FailureLimit::kNone));
}

// Guards against slots that stay occupied after an instance is lost, and against counting a run
// twice when it is reported to a new coordinator.
BOOST_FIXTURE_TEST_CASE(RunsOfALostInstanceAreRemoved, Fixture) {
  scheduler.SetBackend(BackendOf("a"), &engine_service);
  scheduler.AdoptRun(RequestOf("r"), BackendId("a"), false, kStart);
  scheduler.AdoptRun(RequestOf("r"), BackendId("a"), false, kStart);
  BOOST_TEST(scheduler.RunningOn(BackendId("a")) == 1);
  scheduler.AddRequest(RequestOf("w"));
  const auto waiting = scheduler.RemoveHome(InstanceId("home"));
  BOOST_TEST(waiting.size() == 1U);
  BOOST_TEST(scheduler.RunningOn(BackendId("a")) == 0);
  BOOST_TEST(scheduler.RunningCount() == 0U);
}

// Guards against isolated instances that together grant more slots than a backend server has.
BOOST_AUTO_TEST_CASE(SharesDoNotExceedTheSlots) {
  const Service engine_service = EngineService();
  for (std::size_t count = 1; count <= 12; ++count) {
    std::size_t granted = 0;
    for (std::size_t index = 0; index < count; ++index) {
      Scheduler scheduler;
      AdmitAll admission;
      scheduler.SetShare(index, count);
      scheduler.SetBackend(BackendOf("a", "chat", 9), &engine_service);
      for (int i = 0; i < 20; ++i) scheduler.AddRequest(RequestOf("w" + std::to_string(i)));
      granted += scheduler.Decide(kStart, admission).grants.size();
    }
    BOOST_TEST(granted <= 9U);
  }
}

// Guards against a request that crashes one engine after another, and against quarantining a
// request whose connections were lost without a crash.
BOOST_AUTO_TEST_CASE(RequestThatCrashesEnginesIsQuarantined) {
  Coordinator coordinator;
  const Service engine_service = EngineService();
  for (int i = 0; i < 4; ++i)
    coordinator.RequestScheduler().SetBackend(BackendOf("e" + std::to_string(i), "chat", 1),
                                              &engine_service);
  TimePoint now = kStart;
  std::size_t granted_count = 0;
  bool is_refused = false;
  for (int attempt = 0; attempt < 6; ++attempt) {
    now += Millis{4'000};
    RequestInfo crasher = RequestOf("poison" + std::to_string(attempt));
    crasher.arrived = now;
    crasher.deadline = now + Millis{10'000};
    crasher.fingerprint = 99;
    coordinator.Submit(crasher, now);
    const Decisions decisions = coordinator.Decide(now);
    if (!decisions.refusals.empty()) {
      is_refused = decisions.refusals[0].reason == RefusalReason::kQuarantined;
      break;
    }
    BOOST_REQUIRE(decisions.grants.size() == 1);
    ++granted_count;
    RunReport report;
    report.outcome = RunOutcome::kLost;
    coordinator.ReleaseRun(crasher.id, report, now + Millis{100});
    coordinator.OnBackendUnreachable(decisions.grants[0].backend, now + Millis{700});
  }
  BOOST_TEST(is_refused);
  BOOST_TEST(granted_count <= 3U);
  // A lost connection alone does not count as a death.
  for (int attempt = 0; attempt < 6; ++attempt) {
    now += Millis{4'000};
    RequestInfo innocent = RequestOf("innocent" + std::to_string(attempt));
    innocent.arrived = now;
    innocent.deadline = now + Millis{10'000};
    innocent.fingerprint = 7;
    coordinator.Submit(innocent, now);
    const Decisions decisions = coordinator.Decide(now);
    BOOST_REQUIRE(decisions.grants.size() == 1);
    RunReport report;
    report.outcome = RunOutcome::kLost;
    coordinator.ReleaseRun(innocent.id, report, now + Millis{100});
  }
}

// Guards against requests missing from the results by size, which would hide a starved size group.
BOOST_FIXTURE_TEST_CASE(EachRequestIsCountedByItsSize, Fixture) {
  scheduler.SetBackend(BackendOf("a"), &engine_service);
  for (int i = 0; i < 40; ++i)
    scheduler.AddRequest(RequestOf("w" + std::to_string(i), 0, 500, i % 10 == 0 ? 2'000 : 50));
  Decide();
  scheduler.ReleaseRun(decisions.grants[0].id, RunReport{RunOutcome::kCompleted, {}, {}}, kStart);
  Decide(kStart + Millis{4'000});
  ResultCounts totals;
  for (const SizeGroupResults& report : scheduler.ResultsBySize())
    for (const auto& [result, count] : report.counts) totals[result] += count;
  BOOST_TEST(totals["offered"] == 40U);
  BOOST_TEST(totals["granted"] + totals["too_late"] + totals["overloaded"] == 40U);
  BOOST_TEST(totals["completed"] == 1U);
}

// Guards against a stalled backend server that keeps getting requests until each of its runs has
// exceeded the stall timeout on its own.
BOOST_FIXTURE_TEST_CASE(StalledBackendIsDetectedByItsFirstStalledRun, Fixture) {
  const auto grant_on_a = [&](const std::string& id, TimePoint now) {
    RequestInfo request = RequestOf(id);
    request.arrived = now;
    request.deadline = now + Millis{15'000};
    for (const char* other : {"b", "c", "d", "e", "f"})
      request.excluded_backends.insert(BackendId(other));
    scheduler.AddRequest(request);
    BOOST_TEST(Decide(now).size() == 1U);
  };
  for (const char* id : {"a", "b", "c", "d", "e", "f"})
    scheduler.SetBackend(BackendOf(id, "chat", 8), &engine_service);
  grant_on_a("first", kStart);
  for (int i = 0; i < 3; ++i) grant_on_a("w" + std::to_string(i), kStart + Millis{900});
  scheduler.AddRequest(RequestOf("next"));
  Decide(kStart + Millis{1'200});
  BOOST_REQUIRE(decisions.limit_changes.size() == 1);
  BOOST_TEST(decisions.limit_changes[0].backend.Text() == "a");
  BOOST_TEST((decisions.limit_changes[0].limit == FailureLimit::kTrialsOnly));
}

// Guards against a sound backend server that pauses for a second and then gets hardly any requests,
// and against one that stays silent and keeps its standing.
BOOST_FIXTURE_TEST_CASE(PausedBackendKeepsItsStanding, Fixture) {
  const std::vector<std::string> backends = {"a", "b", "c", "d", "e", "f"};
  for (const std::string& id : backends)
    scheduler.SetBackend(BackendOf(id, "chat", 8), &engine_service);
  std::vector<AttemptId> paused;
  for (int i = 0; i < 4; ++i) {
    RequestInfo request = RequestOf("w" + std::to_string(i));
    for (const std::string& other : backends)
      if (other != "a") request.excluded_backends.insert(BackendId(other));
    scheduler.AddRequest(request);
    BOOST_TEST(Decide().size() == 1U);
    paused.push_back(request.id);
  }
  scheduler.AddRequest(RequestOf("during"));
  Decide(kStart + Millis{1'200});
  BOOST_REQUIRE(decisions.limit_changes.size() == 1U);
  BOOST_TEST((decisions.limit_changes[0].limit == FailureLimit::kTrialsOnly));
  const TimePoint resumed = kStart + Millis{1'400};
  for (const AttemptId& id : paused) scheduler.RecordFirstEvent(id, Millis{1'400}, resumed);
  scheduler.AddRequest(RequestOf("after"));
  Decide(resumed);
  BOOST_REQUIRE(decisions.limit_changes.size() == 1U);
  BOOST_TEST((decisions.limit_changes[0].limit == FailureLimit::kNone));
}

// Guards against backend servers that lose their standing because one instance has lost its path to
// all of them.
BOOST_FIXTURE_TEST_CASE(SilenceToOneInstanceIsNoFaultOfTheBackends, Fixture) {
  const std::vector<std::string> backends = {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"};
  for (const std::string& id : backends)
    scheduler.SetBackend(BackendOf(id, "chat", 8), &engine_service);
  const auto grant_on = [&](const std::string& backend, const std::string& home, int number) {
    RequestInfo request = RequestOf(home + backend + std::to_string(number));
    request.home = InstanceId(home);
    for (const std::string& other : backends)
      if (other != backend) request.excluded_backends.insert(BackendId(other));
    scheduler.AddRequest(request);
    BOOST_TEST(Decide().size() == 1U);
    return request.id;
  };
  std::vector<AttemptId> silent;
  for (const char* backend : {"a", "b", "c"})
    for (int i = 0; i < 3; ++i) silent.push_back(grant_on(backend, "stranded", i));
  for (const std::string& backend : backends)
    scheduler.RecordFirstEvent(grant_on(backend, "sound", 0), Millis{10}, kStart + Millis{900});
  scheduler.AddRequest(RequestOf("next"));
  const TimePoint later = kStart + Millis{1'500};
  Decide(later);
  BOOST_TEST(decisions.limit_changes.empty());
  for (const AttemptId& id : silent)
    scheduler.ReleaseRun(id, RunReport{RunOutcome::kCancelled, {}, {}}, later);
  scheduler.AddRequest(RequestOf("after"));
  Decide(later + Millis{300});
  BOOST_TEST(decisions.limit_changes.empty());
}

// Guards against a backend server that fails because it has to turn away all that it is granted at
// once, and against one that gets nothing once it has accepted what it was sent.
BOOST_FIXTURE_TEST_CASE(UnconfirmedRequestsStayBelowTheRejectionLimit, Fixture) {
  const BackendId id("a");
  scheduler.SetBackend(BackendOf("a", "chat", 8), &engine_service);
  scheduler.RecordRejections(id, {3, false}, kStart);
  for (int i = 0; i < 8; ++i) scheduler.AddRequest(RequestOf("w" + std::to_string(i)));
  BOOST_TEST(Decide().size() == 3U);
  scheduler.RecordFirstEvent(decisions.grants[0].id, Millis{10}, kStart);
  scheduler.ReleaseRun(decisions.grants[1].id, {}, kStart);
  scheduler.RecordRejections(id, {3, true}, kStart);
  BOOST_TEST(Decide().size() == 1U);
  // All but the rejected one count as accepted, since a refusal would be known by now.
  TimePoint now = kStart + RejectionGuard::kConfirmTime;
  BOOST_TEST(Decide(now).size() == 2U);
  // A caller who leaves before the response does not see a refusal.
  const AttemptId silent = decisions.grants[1].id;
  scheduler.ReleaseRun(decisions.grants[0].id, RunReport{RunOutcome::kCancelled, {}, {}}, now);
  BOOST_TEST(Decide(now).empty());
  // A silent backend server has not accepted what it was sent.
  now = kStart + Millis{1'600};
  scheduler.RecordRejections(id, {1, false}, now);
  BOOST_TEST(Decide(now).empty());
  scheduler.RecordFirstEvent(silent, Millis{1'300}, now);
  scheduler.RecordRejections(id, {0, false}, now);
  BOOST_TEST(Decide(now).size() == 1U);
  scheduler.RecordRejections(id, {std::nullopt, false}, now);
  BOOST_TEST(Decide(now).size() == 1U);
}

// Guards against schedulers that each use the whole limit.
BOOST_FIXTURE_TEST_CASE(RejectionLimitIsShared, Fixture) {
  std::size_t granted = 0;
  for (std::size_t index = 0; index < 3; ++index) {
    Scheduler part;
    part.SetShare(index, 3);
    part.SetBackend(BackendOf("a", "chat", 9), &engine_service);
    part.RecordRejections(BackendId("a"), {4, false}, kStart);
    for (int i = 0; i < 5; ++i) part.AddRequest(RequestOf("w" + std::to_string(i)));
    granted += part.Decide(kStart, admission).grants.size();
  }
  BOOST_TEST(granted == 4U);
}

// Guards against a limit that holds for another backend server of the service, at any time.
BOOST_FIXTURE_TEST_CASE(RejectionLimitsOfBackendsAreKeptApart, Fixture) {
  const std::vector<BackendId> ids{BackendId("a"), BackendId("b"), BackendId("c"), BackendId("d")};
  for (const BackendId& id : ids)
    scheduler.SetBackend(BackendOf(id.Text(), "chat", 8), &engine_service);
  int request_count = 0;
  std::vector<Grant> grants;
  // Numbers of runs by backend server, after a decision about more requests than slots.
  const auto running_after_decision = [&](TimePoint now) {
    for (int i = 0; i < 40; ++i) {
      RequestInfo request = RequestOf("w" + std::to_string(++request_count), 0, 10, 10);
      request.arrived = now;
      request.deadline = now + Millis{15'000};
      scheduler.AddRequest(request);
    }
    Decide(now);
    grants.insert(grants.end(), decisions.grants.begin(), decisions.grants.end());
    std::vector<int> running;
    running.reserve(ids.size());
    for (const BackendId& id : ids) running.push_back(scheduler.RunningOn(id));
    return running;
  };
  // Ends runs that were granted until now.
  const auto finish_all = [&](TimePoint now) {
    for (const Grant& grant : grants) {
      scheduler.RecordFirstEvent(grant.id, Millis{10}, now);
      scheduler.ReleaseRun(grant.id, RunReport{RunOutcome::kCompleted, {}, {}}, now);
    }
    grants.clear();
  };
  scheduler.RecordRejections(ids[0], {1, false}, kStart);
  scheduler.RecordRejections(ids[1], {5, false}, kStart);
  scheduler.RecordRejections(ids[2], {2, false}, kStart);
  BOOST_TEST((running_after_decision(kStart) == std::vector{1, 5, 2, 8}));
  // The third withdraws its limit.
  scheduler.RecordRejections(ids[2], {std::nullopt, false}, kStart);
  BOOST_TEST((running_after_decision(kStart) == std::vector{1, 5, 8, 8}));
  // The fourth states one while it has more runs than that, and gets no more until they end.
  scheduler.RecordRejections(ids[3], {3, false}, kStart);
  BOOST_TEST((running_after_decision(kStart) == std::vector{1, 5, 8, 8}));
  TimePoint now = kStart + Millis{100};
  finish_all(now);
  BOOST_TEST((running_after_decision(now) == std::vector{1, 5, 8, 3}));
  // What one turns away counts for that one alone.
  finish_all(now);
  scheduler.RecordRejections(ids[1], {5, true}, now);
  scheduler.RecordRejections(ids[1], {5, true}, now);
  scheduler.RecordRejections(ids[3], {3, true}, now);
  BOOST_TEST((running_after_decision(now) == std::vector{1, 3, 8, 2}));
  // A limit ends with the start of the backend server that stated it.
  finish_all(now);
  Backend next_start = BackendOf("b", "chat", 8);
  next_start.started_at = 1;
  scheduler.SetBackend(next_start, &engine_service);
  BOOST_TEST((running_after_decision(now) == std::vector{1, 8, 8, 2}));
}

// Guards against occupying scarce slots with runs that will be cut off at their deadline.
BOOST_FIXTURE_TEST_CASE(RequestThatWouldMissItsDeadlineGetsNoScarceSlot, Fixture) {
  scheduler.SetBackend(BackendOf("a", "chat", 1), &engine_service);
  scheduler.AddRequest(RequestOf("running"));
  BOOST_TEST(Decide().size() == 1U);
  scheduler.ReleaseRun(AttemptId("running"), RunReport{RunOutcome::kCompleted, {}, {}}, kStart);
  // 4,000 tokens take 18 s and the deadline is in 15 s, but a free slot is granted nevertheless.
  scheduler.AddRequest(RequestOf("long", 0, 500, 4'000));
  BOOST_TEST(Decide() == std::vector<std::string>{"long"});
  scheduler.AddRequest(RequestOf("next long", 0, 500, 4'000));
  scheduler.AddRequest(RequestOf("short"));
  RequestInfo resumed = RequestOf("resumed", 0, 500, 4'000);
  resumed.is_retry = true;
  scheduler.AddRequest(resumed);
  BOOST_TEST(Decide().empty());
  BOOST_REQUIRE(decisions.refusals.size() == 1);
  BOOST_TEST(decisions.refusals[0].id.Text() == "next long");
  BOOST_TEST((decisions.refusals[0].reason == RefusalReason::kTooLate));
}

// Guards against size groups shared by routes of the same rank and objective: all of the large
// requests could belong to one route.
BOOST_FIXTURE_TEST_CASE(SizeGroupsAreDeterminedByRoute, Fixture) {
  scheduler.SetBackend(BackendOf("a"), &engine_service);
  for (int i = 0; i < 200; ++i) {
    RequestInfo request = RequestOf("w" + std::to_string(i), 0, 500, i % 20 < 2 ? 40 : 10);
    request.route = "labels";
    if (i % 2 == 0) {
      request.route = "reports";
      request.output_tokens *= 100;
    }
    scheduler.AddRequest(request);
  }
  std::map<std::string, std::uint64_t> largest;
  for (const SizeGroupResults& report : scheduler.ResultsBySize())
    if (report.size == SizeGroup::kLargest) largest[report.route] = report.counts.at("offered");
  BOOST_TEST(largest["labels"] > 5U);
  BOOST_TEST(largest["reports"] > 5U);
}

// Guards against requests of an instance that are left behind when it goes, and against removing
// those of others.
BOOST_FIXTURE_TEST_CASE(RemovedHomeLeavesNothingBehind, Fixture) {
  scheduler.SetBackend(BackendOf("a", "chat", 4), &engine_service);
  for (const char* home : {"x", "y"}) {
    for (int i = 0; i < 4; ++i) {
      RequestInfo request = RequestOf(home + std::to_string(i));
      request.home = InstanceId(home);
      scheduler.AddRequest(std::move(request));
    }
  }
  BOOST_TEST(Decide().size() == 4U);
  RequestInfo adopted = RequestOf("adopted");
  adopted.home = InstanceId("x");
  scheduler.AdoptRun(adopted, BackendId("a"), true, kStart);
  scheduler.Withdraw(AttemptId("y3"));
  const std::size_t waiting = scheduler.WaitingCount();
  const std::size_t removed = scheduler.RemoveHome(InstanceId("x")).size();
  BOOST_TEST(scheduler.WaitingCount() == waiting - removed);
  BOOST_TEST(scheduler.FindRunning(AttemptId("adopted")) == nullptr);
  BOOST_TEST(scheduler.RemoveHome(InstanceId("x")).empty());
  for (int i = 0; i < 4; ++i) {
    const AttemptId id("x" + std::to_string(i));
    BOOST_TEST(scheduler.FindWaiting(id) == nullptr);
    BOOST_TEST(scheduler.FindRunning(id) == nullptr);
  }
  scheduler.RemoveHome(InstanceId("y"));
  BOOST_TEST(scheduler.WaitingCount() == 0U);
  BOOST_TEST(scheduler.RunningCount() == 0U);
  BOOST_TEST(scheduler.RunningOn(BackendId("a")) == 0);
}

}  // namespace bluebellpass::gateway
