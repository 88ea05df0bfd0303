#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "gateway/decisions/scheduler.h"
#include "gateway/rollout/rollout-controller.h"
#include "gateway/rollout/rollout-report.h"
#include "standins/rollout-play.h"

/// Roll-outs without a network: their exposure, verdicts and ends.

namespace bluebellpass::test {
namespace {

using gateway::Backend;
using gateway::RolloutBounds;
using gateway::RolloutController;
using gateway::RolloutEntry;
using gateway::RolloutPhase;
using gateway::RolloutState;
using gateway::RolloutStatus;
using gateway::RolloutVerdict;
using gateway::ServiceName;
using gateway::SoftwareVersion;
using gateway::VersionUse;

constexpr std::uint64_t kSeeds = 6;
constexpr double kExposureRatio = 0.1;
constexpr double kExposureSlack = 50;

struct Outcomes {
  int done = 0;
  int reverted = 0;
  double most_over_budget = 0;  ///< requests to the target above the bound
  std::uint64_t late_target_requests = 0;
  std::uint64_t old_requests_after_done = 0;
  double latest_end_s = 0;
};

Outcomes PlaySeeds(RolloutPlayOptions options) {
  Outcomes outcomes;
  for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
    const RolloutPlayResult result = PlayRollout(options);
    if (result.state == RolloutState::kDone) ++outcomes.done;
    if (result.state == RolloutState::kReverted) ++outcomes.reverted;
    const double bound =
        kExposureRatio * static_cast<double>(result.total_requests) + kExposureSlack;
    outcomes.most_over_budget =
        std::max(outcomes.most_over_budget, static_cast<double>(result.target_requests) - bound);
    outcomes.late_target_requests += result.late_target_requests;
    outcomes.old_requests_after_done += result.old_requests_after_done;
    outcomes.latest_end_s = std::max(outcomes.latest_end_s, result.ended_s);
  }
  return outcomes;
}

void CheckGood(const RolloutPlayOptions& options) {
  const Outcomes outcomes = PlaySeeds(options);
  BOOST_TEST(outcomes.done == static_cast<int>(kSeeds));
  BOOST_TEST(outcomes.latest_end_s <= options.deadline_s);
  BOOST_TEST(outcomes.old_requests_after_done == 0U);
}

void CheckBad(const RolloutPlayOptions& options) {
  const Outcomes outcomes = PlaySeeds(options);
  BOOST_TEST(outcomes.reverted == static_cast<int>(kSeeds));
  BOOST_TEST(outcomes.latest_end_s <= options.deadline_s);
  BOOST_TEST(outcomes.most_over_budget <= 0);
  BOOST_TEST(outcomes.late_target_requests == 0U);
}

const ServiceName kService("s");
const SoftwareVersion kOld("v1");
const SoftwareVersion kTarget("v2");

Backend MakeBackend(const std::string& id, const SoftwareVersion& version,
                    std::uint64_t revision = 1) {
  Backend backend;
  backend.id = BackendId(id);
  backend.service = kService;
  backend.version = version;
  backend.revision = revision;
  backend.slots = 4;
  return backend;
}

/// A controller that knows an old backend server, and what it is told by the test.
struct ControllerFixture {
  RolloutController controller;
  TimePoint now{Millis(1'000'000)};
  Backend old = MakeBackend("old", kOld);
  Backend target = MakeBackend("new", kTarget, 20);
  RolloutEntry entry;

  ControllerFixture() {
    controller.SetBounds(RolloutBounds{kExposureRatio, kExposureSlack});
    controller.SetSeenRevision(gateway::Revision(10));
    controller.SetBackend(old, now);
    controller.SetRole(true, true, now);
    entry.order = {kService, kTarget, Millis{12'000}, 11};
    entry.revision = gateway::Revision(11);
  }
  void Order() { controller.SetEntry(entry, now); }
  void AddTarget() { controller.SetBackend(target, now); }
  VersionUse UseOfTarget() const { return controller.UseOf(target, now); }
  VersionUse UseOfOld() const { return controller.UseOf(old, now); }
  void Advance(Millis span) {
    now += span;
    controller.Decide(now);
  }
  RolloutState State() const { return controller.Summaries(now).at(0).state; }
  std::string Reason() const { return controller.Summaries(now).at(0).reason; }
  /// Executes the status writes that are due, as the store does.
  void Store() {
    for (const auto& write : controller.TakeStatusWrites(now)) {
      entry.status = write.status;
      entry.revision = gateway::Revision(entry.revision.Value() + 1);
      controller.OnStatusWritten(kService, entry.revision, now);
    }
  }
  bool TakeExposure(const std::string& id) {
    return controller.TakeExposure(kService, gateway::AttemptId(id), now);
  }
};

/// A scheduler that follows the roll-out of a ControllerFixture.
struct SchedulerFixture : ControllerFixture, gateway::AdmissionControl {
  gateway::Scheduler scheduler;
  bool is_admitting = true;
  int request_count = 0;

  SchedulerFixture() {
    scheduler.SetRollouts(&controller);
    for (const auto& [id, version] : {std::pair("old", kOld), std::pair("new", kTarget)}) {
      Backend backend = MakeBackend(id, version, 20);
      backend.slots = 1'000;
      controller.SetBackend(backend, now);
      scheduler.SetBackend(backend, nullptr);
    }
    Order();
    Advance(Millis{100});
    Store();
  }
  bool TryAdmit(const gateway::RequestInfo&, TimePoint) override { return is_admitting; }
  void Submit(int count, bool is_retry) {
    for (int i = 0; i < count; ++i) {
      gateway::RequestInfo request;
      request.id = gateway::AttemptId("q" + std::to_string(++request_count));
      request.service = kService;
      request.arrived = now;
      request.latency_objective = Millis{1'000};
      request.patience = Millis{10'000};
      request.deadline = now + Millis{10'000};
      request.is_retry = is_retry;
      scheduler.AddRequest(request);
    }
  }
  std::vector<gateway::Grant> Decide() { return scheduler.Decide(now, *this).grants; }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(Play)

// Guards against reverting a good version, or finishing it after its deadline.
BOOST_AUTO_TEST_CASE(GoodVersionIsDoneInTime) {
  RolloutPlayOptions options;
  CheckGood(options);
  options.deadline_s = 5;
  CheckGood(options);
  options.deadline_s = 30;
  CheckGood(options);
}

// Guards against a roll-out of a quiet service that waits for more results than will come.
BOOST_AUTO_TEST_CASE(QuietServiceIsNotStarved) {
  RolloutPlayOptions options;
  options.requests_per_s = 2;
  CheckGood(options);
}

// Guards against blaming the version for faults of the machines, which affect both versions.
BOOST_AUTO_TEST_CASE(FaultsOfBothVersionsDoNotRevert) {
  RolloutPlayOptions options;
  options.common_faults = {{0.4, 1, 0.5, 2, 6}};
  CheckGood(options);
  options.common_faults = {{0, 4, 0.15, 1, 12}};
  CheckGood(options);
  options.common_faults = {{1, 1, 0.15, 3, 7}};
  CheckGood(options);
}

// Guards against exceeding the exposure of a version that fails, at once or later.
BOOST_AUTO_TEST_CASE(FailingVersionIsReverted) {
  RolloutPlayOptions options;
  for (const double rate : {0.3, 1.0}) {
    options.fault.failure_rate = rate;
    CheckBad(options);
  }
  options.fault.failure_rate = 0.4;
  options.fault.from_s = 4;
  CheckBad(options);
}

// Guards against averages that hide a fault on one route.
BOOST_AUTO_TEST_CASE(FaultOnOneRouteIsFound) {
  RolloutPlayOptions options;
  options.fault.failure_rate = 0.4;
  options.fault.route = "book";
  CheckBad(options);
  options.fault = {};
  options.fault.slow_factor = 3;
  options.fault.route = "ask";
  CheckBad(options);
}

// Guards against a version that is several times slower but fails nothing.
BOOST_AUTO_TEST_CASE(SlowVersionIsReverted) {
  RolloutPlayOptions options;
  options.fault.slow_factor = 4;
  CheckBad(options);
}

// Guards against requests that come one by one, which do not show a fault under load.
BOOST_AUTO_TEST_CASE(FaultUnderLoadIsReverted) {
  RolloutPlayOptions options;
  options.fault.failure_rate = 0.5;
  options.fault.min_running = 3;
  const Outcomes outcomes = PlaySeeds(options);
  BOOST_TEST(outcomes.reverted == static_cast<int>(kSeeds));
}

// Guards against a new exposure budget for each coordinator, and for each of two that act at the
// same time. The target is never judged, so only the leases bound its requests.
BOOST_AUTO_TEST_CASE(SuccessorsShareOneBudget) {
  RolloutPlayOptions options;
  options.loses_results = true;
  options.length_s = 25;
  options.takeovers_s = {0.7, 0.9, 1.1, 1.3, 1.5, 1.7, 2, 2.5, 3, 3.5, 4, 4.5, 5, 6, 7};
  for (const bool has_split_brain : {false, true}) {
    options.has_split_brain = has_split_brain;
    const Outcomes outcomes = PlaySeeds(options);
    BOOST_TEST(outcomes.most_over_budget <= 0);
    BOOST_TEST(outcomes.done == 0);
  }
}

// Guards against a roll-out that starts over with each coordinator and never ends.
BOOST_AUTO_TEST_CASE(SuccessorsGoOn) {
  RolloutPlayOptions options;
  options.takeovers_s = {1, 2, 3, 4, 5, 7};
  const Outcomes outcomes = PlaySeeds(options);
  BOOST_TEST(outcomes.done == static_cast<int>(kSeeds));
}

// Guards against a store that is down for a while and loses responses.
BOOST_AUTO_TEST_CASE(StoreFaultsDoNotExceedTheBudget) {
  RolloutPlayOptions options;
  options.store_down_from_s = 2;
  options.store_down_to_s = 6;
  options.lost_response_rate = 0.3;
  CheckGood(options);
  options.fault.failure_rate = 0.3;
  options.store_down_from_s = 0.2;
  CheckBad(options);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against using a version before an order that names it has been read.
BOOST_FIXTURE_TEST_CASE(UnknownVersionWaitsForItsOrder, ControllerFixture) {
  AddTarget();
  BOOST_TEST((UseOfOld() == VersionUse::kAllowed));
  BOOST_TEST((UseOfTarget() == VersionUse::kExcluded));
  Order();
  BOOST_TEST((UseOfTarget() == VersionUse::kProbe));
  BOOST_TEST(!TakeExposure("before-the-first-write"));
}

// Guards against a release of a new version without an order that gets no requests.
BOOST_FIXTURE_TEST_CASE(VersionWithoutOrderIsUsed, ControllerFixture) {
  AddTarget();
  controller.SetSeenRevision(gateway::Revision(20));
  BOOST_TEST((UseOfTarget() == VersionUse::kAllowed));
}

// Guards against exposure by an instance that does not know what others have sent.
BOOST_FIXTURE_TEST_CASE(LoneInstanceUsesOldVersionOnly, ControllerFixture) {
  Order();
  AddTarget();
  controller.SetRole(true, false, now);
  BOOST_TEST((UseOfTarget() == VersionUse::kExcluded));
  BOOST_TEST((UseOfOld() == VersionUse::kAllowed));
  // A follower sends what the coordinator has granted.
  controller.SetRole(false, false, now);
  BOOST_TEST((UseOfTarget() == VersionUse::kProbe));
  BOOST_TEST(controller.TakeStatusWrites(now).empty());
}

// Guards against requests above the limit that is in the store.
BOOST_FIXTURE_TEST_CASE(ExposureNeedsStoredLimit, ControllerFixture) {
  Order();
  AddTarget();
  BOOST_TEST(!TakeExposure("a"));
  Store();
  BOOST_REQUIRE(entry.status.has_value());
  const std::uint64_t limit = entry.status->exposure_limit;
  BOOST_TEST(limit > 0U);
  BOOST_TEST(static_cast<double>(limit) <= kExposureSlack);
  std::uint64_t taken = 0;
  for (int i = 0; i < 1'000; ++i)
    if (TakeExposure("r" + std::to_string(i))) ++taken;
  BOOST_TEST(taken <= limit);
  BOOST_TEST(taken > 0U);
}

// Guards against a verdict that waits for the store: instances must follow it at once.
BOOST_FIXTURE_TEST_CASE(VerdictIsFollowedBeforeItIsStored, ControllerFixture) {
  Order();
  AddTarget();
  controller.MergeVerdict({kService, kTarget, 11, RolloutState::kReverted}, now);
  BOOST_TEST((UseOfTarget() == VersionUse::kExcluded));
  BOOST_REQUIRE_EQUAL(controller.Verdicts().size(), 1U);
  Store();
  BOOST_TEST((entry.status->state == RolloutState::kReverted));
  BOOST_TEST(controller.Verdicts().empty());
}

// Guards against a verdict that arrives before its order, from an instance that has read it.
BOOST_FIXTURE_TEST_CASE(EarlyVerdictIsKept, ControllerFixture) {
  const RolloutVerdict verdict{kService, kTarget, 11, RolloutState::kReverted};
  controller.MergeVerdict(verdict, now);
  Order();
  AddTarget();
  BOOST_TEST((State() == RolloutState::kReverted));
  BOOST_TEST((UseOfTarget() == VersionUse::kExcluded));
}

// Guards against orders without an end: nobody runs the target, or its deadline has passed.
BOOST_FIXTURE_TEST_CASE(OrderThatCannotBeDoneIsReverted, ControllerFixture) {
  Order();
  Advance(Millis{100});
  BOOST_TEST((State() == RolloutState::kRunning));
  Advance(Millis{11'900});
  BOOST_TEST((State() == RolloutState::kReverted));
  BOOST_TEST(Reason() == "no backend server runs the target");
  entry.order.created = 30;
  entry.order.deadline = Millis{0};
  entry.revision = gateway::Revision(30);
  entry.status.reset();
  Order();
  Advance(Millis{100});
  BOOST_TEST((State() == RolloutState::kReverted));
}

// Guards against traffic to a target whose order was withdrawn or replaced.
BOOST_FIXTURE_TEST_CASE(WithdrawnTargetIsExcluded, ControllerFixture) {
  Order();
  AddTarget();
  controller.RemoveEntry(kService, now);
  BOOST_TEST((UseOfTarget() == VersionUse::kExcluded));
  BOOST_TEST((UseOfOld() == VersionUse::kAllowed));
  // Its backend servers stop; another one of this version may come with a new order only.
  controller.RemoveBackend(target.id, now);
  entry.order.created = 40;
  entry.revision = gateway::Revision(40);
  Order();
  AddTarget();
  BOOST_TEST((UseOfTarget() == VersionUse::kProbe));
  entry.order.target = SoftwareVersion("v3");
  entry.revision = gateway::Revision(41);
  Order();
  BOOST_TEST((UseOfTarget() == VersionUse::kExcluded));
}

// Guards against confusing the orders of two services.
BOOST_FIXTURE_TEST_CASE(OrdersOfTwoServicesAreSeparate, ControllerFixture) {
  Order();
  AddTarget();
  Backend other = target;
  other.id = BackendId("other");
  other.service = ServiceName("t");
  controller.SetBackend(other, now);
  RolloutEntry second = entry;
  second.order.service = other.service;
  controller.SetEntry(second, now);
  controller.MergeVerdict({kService, kTarget, 11, RolloutState::kReverted}, now);
  BOOST_TEST((UseOfTarget() == VersionUse::kExcluded));
  BOOST_TEST((controller.UseOf(other, now) == VersionUse::kProbe));
  BOOST_TEST(controller.Summaries(now).size() == 2U);
}

// Guards against old backend servers that get requests after they were told to stop.
BOOST_FIXTURE_TEST_CASE(OldVersionIsExcludedWhenDone, ControllerFixture) {
  Order();
  AddTarget();
  entry.status = RolloutStatus{
      kTarget, RolloutState::kDone, RolloutPhase::kSwitching, Millis{9'000}, 0, 0, ""};
  entry.revision = gateway::Revision(50);
  Order();
  BOOST_TEST((UseOfTarget() == VersionUse::kAllowed));
  BOOST_TEST((UseOfOld() == VersionUse::kExcluded));
}

// Guards against a switch that begins while the store is down: no instance could see it.
BOOST_FIXTURE_TEST_CASE(SwitchWaitsForTheStore, ControllerFixture) {
  Order();
  AddTarget();
  Store();
  for (int i = 0; i < 70; ++i) {
    gateway::VersionResult result;
    result.route = "r";
    for (const Backend& backend : {old, target}) {
      result.backend = backend.id;
      controller.RecordResult(kService, result, now);
    }
  }
  Advance(Millis{7'500});
  BOOST_REQUIRE((controller.Summaries(now).at(0).phase == RolloutPhase::kSwitching));
  Advance(Millis{1'000});
  BOOST_TEST(!TakeExposure("not-stored-yet"));
  BOOST_TEST((UseOfOld() == VersionUse::kAllowed));
  Store();
  Advance(Millis{100});
  BOOST_TEST(TakeExposure("stored"));
}

// Guards against the end of an order that the operator never sees, because the store has come back
// from a copy without the status.
BOOST_FIXTURE_TEST_CASE(LostFinalStatusIsWrittenAgain, ControllerFixture) {
  Order();
  AddTarget();
  entry.status = RolloutStatus{
      kTarget, RolloutState::kDone, RolloutPhase::kSwitching, Millis{9'000}, 0, 0, ""};
  entry.revision = gateway::Revision(50);
  Order();
  entry.status.reset();
  entry.revision = gateway::MakeRevision(gateway::StoreEra(2), 5);
  Order();
  Advance(Millis{1'000});
  Store();
  BOOST_REQUIRE(entry.status.has_value());
  BOOST_TEST((entry.status->state == RolloutState::kDone));
}

// Guards against `done` while runs at old backend servers could still end in time.
BOOST_FIXTURE_TEST_CASE(DoneWaitsForOldRuns, ControllerFixture) {
  Order();
  AddTarget();
  entry.status = RolloutStatus{
      kTarget, RolloutState::kRunning, RolloutPhase::kSwitching, Millis{7'000}, 0, 0, ""};
  entry.revision = gateway::Revision(50);
  Order();
  controller.SetOldRuns(kService, 1);
  Advance(Millis{3'000});
  Store();
  BOOST_TEST((entry.status->state == RolloutState::kRunning));
  BOOST_TEST((UseOfOld() == VersionUse::kStreamsOnly));
  controller.SetOldRuns(kService, 0);
  Advance(Millis{100});
  Store();
  BOOST_TEST((entry.status->state == RolloutState::kDone));
}

// Guards against rows that a condition should leave out, and against commands that an instance of
// the gateway accepts without executing them.
BOOST_AUTO_TEST_CASE(OnlyShowRolloutsIsAnswered) {
  gateway::RolloutSummary running;
  running.order.service = kService;
  running.share = 0.125;
  gateway::RolloutSummary reverted = running;
  reverted.state = RolloutState::kReverted;
  const auto answer = [&](const std::string& text) {
    const auto reply = gateway::AnswerCommand(text, {running, reverted});
    return nlohmann::json::parse(reply.body);
  };
  BOOST_TEST(answer("show rollouts")["rows"].size() == 2U);
  const auto rows = answer("show rollouts where state=reverted")["rows"];
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST(rows[0]["service"] == kService.Text());
  BOOST_TEST(rows[0]["share_percent"] == 13);
  for (const char* text : {"show rollouts where colour=blue", "show waiting", "drain backend b",
                           "show rollout", "", "release 1f"})
    BOOST_TEST(answer(text)["error"]["kind"] == "bad_command", text);
}

// Guards against series of earlier states and orders, and against names that break the format.
BOOST_AUTO_TEST_CASE(MetricsShowThePresentRolloutsOnly) {
  Metrics metrics;
  gateway::RolloutSummary rollout;
  rollout.order.service = ServiceName("a\"b");
  rollout.order.target = kTarget;
  gateway::SetRolloutMetrics(metrics, {rollout});
  rollout.state = RolloutState::kDone;
  gateway::SetRolloutMetrics(metrics, {rollout});
  const std::string labels = R"({service="a\"b",target=")" + kTarget.Text() + "\"";
  const std::string text = metrics.Render();
  BOOST_TEST(text.find("gateway_rollout_state" + labels + ",state=\"done\"} 1\n") !=
             std::string::npos);
  BOOST_TEST(text.find("running") == std::string::npos);
  BOOST_TEST(text.find("gateway_rollout_exposure_limit" + labels + "} 0\n") != std::string::npos);
  gateway::SetRolloutMetrics(metrics, {});
  BOOST_TEST(metrics.Render().find("rollout") == std::string::npos);
}

// Guards against retries that count as requests of callers, so that failures raise the budget.
BOOST_FIXTURE_TEST_CASE(RetriesDoNotRaiseTheBudget, SchedulerFixture) {
  Submit(5, true);
  Submit(3, false);
  BOOST_TEST(Decide().size() == 8U);
  BOOST_TEST(controller.Summaries(now)[0].total_requests == 3U);
}

// Guards against requests that use up the budget while they stay queued for their quota.
BOOST_FIXTURE_TEST_CASE(QueuedRequestsUseNoBudget, SchedulerFixture) {
  is_admitting = false;
  Submit(20, false);
  for (int i = 0; i < 20; ++i) BOOST_TEST(Decide().empty());
  is_admitting = true;
  const auto grants = Decide();
  BOOST_TEST(grants.size() == 20U);
  BOOST_TEST(std::any_of(grants.begin(), grants.end(),
                         [](const auto& grant) { return grant.backend.Text() == "new"; }));
}

// Guards against a deployment without roll-outs that is served differently.
BOOST_AUTO_TEST_CASE(DisabledControllerAllowsEverything) {
  RolloutController controller;
  const Backend backend = MakeBackend("b", kTarget, 99);
  controller.SetBackend(backend, TimePoint{});
  BOOST_TEST((controller.UseOf(backend, TimePoint{}) == VersionUse::kAllowed));
  BOOST_TEST(!controller.IsRestricted(kService));
}

}  // namespace bluebellpass::test
