#include <boost/test/unit_test.hpp>

#include "kernel/loop.h"
#include "owner/load-poller.h"
#include "policy/backend-load.h"
#include "standins/engine.h"

namespace bluebellpass {
namespace {

const BackendId kBackend{"e"};
const BackendLoad::Demand kDemand{.prompt = Tokens(10)};

struct Fixture {
  BackendLoad load;

  Fixture() {
    load.Configure({{.id = kBackend, .kind = "engine", .slots = 4, .token_capacity = 1'000}});
  }
  void BeginRuns(int runs) {
    for (int i = 0; i < runs; ++i) load.BeginRun(kBackend, Tokens(1), false);
  }
  void EndRuns(int runs) {
    for (int i = 0; i < runs; ++i) load.EndRun(kBackend, Tokens(1), false);
  }
  /// @return the number of further runs that can be granted now
  int FreeRuns() const {
    BackendLoad copy = load;
    int free_runs = 0;
    for (; copy.ChooseBackend(kDemand, BackendId(), TimePoint()).has_value(); ++free_runs) {
      copy.BeginRun(kBackend, Tokens(1), false);
    }
    return free_runs;
  }
};

/// Records the load reports passed on by the poller.
class RecordingControl : public BackendControl {
 public:
  std::vector<OwnedBackend> OwnedBackends() const override { return owned; }
  void SetGrantsPaused(const BackendId& /*backend*/, bool /*is_paused*/) override {}
  void OnLoadReport(const BackendId& /*backend*/,
                    std::optional<std::int64_t> reported_runs) override {
    reports.push_back(reported_runs);
  }

  std::vector<OwnedBackend> owned;
  std::vector<std::optional<std::int64_t>> reports;
};

}  // namespace

// Runs of another owner must be counted, or the engine is overloaded; a single report is not enough
// to occupy slots.
BOOST_FIXTURE_TEST_CASE(ExternalRunsOfTwoReportsOccupySlots, Fixture) {
  BeginRuns(1);
  load.OnLoadReport(kBackend, 3);
  BOOST_TEST(FreeRuns() == 3);
  load.OnLoadReport(kBackend, 4);
  BOOST_TEST(FreeRuns() == 1);
  load.OnLoadReport(kBackend, 1);
  BOOST_TEST(FreeRuns() == 3);
}

// Own runs that have ended but appear in a late report must not be taken for external runs.
BOOST_FIXTURE_TEST_CASE(LateReportOfOwnRunsOccupiesNoSlots, Fixture) {
  BeginRuns(4);
  load.OnLoadReport(kBackend, 0);
  EndRuns(3);
  load.OnLoadReport(kBackend, 4);
  load.OnLoadReport(kBackend, 4);
  BOOST_TEST(FreeRuns() == 3);
}

// Wrong or missing reports must not stop grants for good.
BOOST_FIXTURE_TEST_CASE(WrongOrMissingReportsDoNotStopGrants, Fixture) {
  for (int i = 0; i < 20; ++i) load.OnLoadReport(kBackend, 1'000'000);
  BOOST_TEST(FreeRuns() == 1);
  load.OnLoadReport(kBackend, std::nullopt);
  BOOST_TEST(FreeRuns() == 4);
}

// A malformed report must not yield a number of runs.
BOOST_AUTO_TEST_CASE(RejectsMalformedReports) {
  for (const char* text : {"", "[]", "{}", R"({"active":-1})", R"({"active":"3"})"}) {
    BOOST_TEST(!ParseLoadReport(text).has_value());
  }
  BOOST_TEST(*ParseLoadReport(R"({"active":18446744073709551615})") > 0);
  BOOST_TEST((ParseLoadReport(R"({"active":3,"waiting":1})") == std::optional<std::int64_t>(3)));
}

// The poller must continue after a failed request and must not pass the failure on as a report.
BOOST_AUTO_TEST_CASE(PollerContinuesAfterFailedRequests) {
  EventLoop loop;
  HttpClient http(loop);
  standin::Engine engine(loop, {});
  const auto address = std::get<Address>(engine.Listen({.ip = "127.0.0.1", .port = 0}));
  RecordingControl control;
  control.owned = {{.config = {.id = kBackend, .kind = "engine", .address = address}}};
  LoadPoller poller(http, loop, control);
  const auto run_until = [&](std::size_t count) {
    while (control.reports.size() < count) loop.RunOnce(Millis{50});
  };
  run_until(1);
  BOOST_TEST((control.reports.back() == std::optional<std::int64_t>(0)));
  engine.Crash();
  run_until(3);
  BOOST_TEST(!control.reports.at(1).has_value());
  BOOST_TEST(!control.reports.at(2).has_value());
}

}  // namespace bluebellpass
