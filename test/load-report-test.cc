#include <boost/test/unit_test.hpp>

#include "kernel/loop.h"
#include "owner/load-poller.h"
#include "policy/backend-load.h"
#include "standins/engine.h"

namespace bluebellpass {
namespace {

const BackendId kServer{"e"};
const BackendLoad::Demand kDemand{.prompt = Tokens(10)};

struct Fixture {
  BackendLoad load;

  Fixture() {
    load.Configure({{.id = kServer, .kind = "engine", .slots = 4, .token_capacity = 1'000}});
  }
  void Begin(int runs) {
    for (int i = 0; i < runs; ++i) load.BeginRun(kServer, Tokens(1), false);
  }
  void End(int runs) {
    for (int i = 0; i < runs; ++i) load.EndRun(kServer, Tokens(1), false);
  }
  /// @return the number of further runs that the server gets now
  int Room() const {
    BackendLoad copy = load;
    int room = 0;
    for (; copy.ChooseBackend(kDemand, BackendId(), TimePoint()).has_value(); ++room) {
      copy.BeginRun(kServer, Tokens(1), false);
    }
    return room;
  }
};

/// Notes the reports that the poller hands over.
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

// Guards against an engine that is overfilled because another owner's work there is not counted,
// and against a single report that takes slots away.
BOOST_FIXTURE_TEST_CASE(SurplusOfTwoReportsTakesSlots, Fixture) {
  Begin(1);
  load.OnLoadReport(kServer, 3);
  BOOST_TEST(Room() == 3);
  load.OnLoadReport(kServer, 4);
  BOOST_TEST(Room() == 1);
  load.OnLoadReport(kServer, 1);
  BOOST_TEST(Room() == 3);
}

// Guards against own runs that have ended and are taken for work of others by a late report.
BOOST_FIXTURE_TEST_CASE(LateReportOfOwnRunsTakesNothing, Fixture) {
  Begin(4);
  load.OnLoadReport(kServer, 0);
  End(3);
  load.OnLoadReport(kServer, 4);
  load.OnLoadReport(kServer, 4);
  BOOST_TEST(Room() == 3);
}

// Guards against grants that stop for good by reports that are wrong or no longer come.
BOOST_FIXTURE_TEST_CASE(WrongOrMissingReportsDoNotStopGrants, Fixture) {
  for (int i = 0; i < 20; ++i) load.OnLoadReport(kServer, 1'000'000);
  BOOST_TEST(Room() == 1);
  load.OnLoadReport(kServer, std::nullopt);
  BOOST_TEST(Room() == 4);
}

// Guards against malformed reports that are taken for numbers.
BOOST_AUTO_TEST_CASE(MalformedReportsAreNone) {
  for (const char* text : {"", "[]", "{}", R"({"active":-1})", R"({"active":"3"})"}) {
    BOOST_TEST(!ParseLoadReport(text).has_value());
  }
  BOOST_TEST(*ParseLoadReport(R"({"active":18446744073709551615})") > 0);
  BOOST_TEST((ParseLoadReport(R"({"active":3,"waiting":1})") == std::optional<std::int64_t>(3)));
}

// Guards against a poller that stops at a failed call, and that takes a failure for a report.
BOOST_AUTO_TEST_CASE(PollerReadsReportsAndFailures) {
  Loop loop;
  HttpClient http(loop);
  standin::Engine engine(loop, {});
  const auto address = std::get<Address>(engine.Listen({.ip = "127.0.0.1", .port = 0}));
  RecordingControl control;
  control.owned = {{.config = {.id = kServer, .kind = "engine", .address = address}}};
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
