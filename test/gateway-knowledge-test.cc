#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "fakes.h"
#include "gateway-fakes.h"
#include "gateway/state/backend-reports.h"
#include "gateway/state/object-watch.h"
#include "gateway/state/routing-state.h"

namespace bluebellpass::gateway {
namespace {

Config MakeConfig(std::uint64_t version) {
  Config config;
  config.version = ConfigVersion(version);
  return config;
}

StoredObject MakeObject(const std::string& name, std::uint64_t revision, bool is_deleted = false) {
  return {name, Revision(revision), is_deleted, std::make_shared<const nlohmann::json>()};
}

struct WatchFixture {
  FakeStoreClient store;
  ManualTimers timers;
  ManualClock clock;
  std::map<std::string, std::uint64_t> view;
  std::optional<BootTime> confirmed_at;
  ObjectWatch watch{store,
                    timers,
                    clock,
                    ObjectKind::kBackends,
                    WatchOptions{},
                    {[this](const StoredObject& object) {
                       if (object.is_deleted) {
                         view.erase(object.name);
                       } else {
                         view[object.name] = object.revision.Value();
                       }
                     },
                     nullptr, [this](BootTime at) { confirmed_at = at; }, nullptr}};
};

}  // namespace

// Guards against a configuration that is replaced by an older version.
BOOST_AUTO_TEST_CASE(OlderConfigIsRejected) {
  ManualClock clock;
  RoutingState state(clock, {});
  BOOST_TEST(state.SetConfig(MakeConfig(7)));
  BOOST_TEST(!state.SetConfig(MakeConfig(6)));
  BOOST_TEST(state.Table()->Version().Value() == 7U);
  BOOST_TEST(state.SetConfig(MakeConfig(9)));
}

// Guards against an instance without the store that accepts a key for longer than the bound on its
// revocation, even if the machine was suspended in between.
BOOST_AUTO_TEST_CASE(StaleConfigAcceptsNoKeys) {
  ManualClock clock;
  StalenessBounds bounds;
  bounds.revocation_bound = Millis{5'000};
  bounds.dispatch_margin = Millis{400};
  RoutingState state(clock, bounds);
  BOOST_TEST(!state.MayAcceptKeys());
  state.SetConfig(MakeConfig(1));
  state.ConfirmConfig(clock.Now());
  clock.Advance(Millis{4'599});
  BOOST_TEST(state.MayAcceptKeys());
  clock.Advance(Millis{1});
  BOOST_TEST(!state.MayAcceptKeys());
  // An older confirmation does not change the age.
  state.ConfirmConfig(clock.Now());
  state.ConfirmConfig(BootTime{});
  BOOST_TEST(state.MayAcceptKeys());
}

// Guards against denials by a configuration that may have been replaced.
BOOST_AUTO_TEST_CASE(StaleConfigDeniesNothing) {
  ManualClock clock;
  RoutingState state(clock, {});
  state.SetConfig(MakeConfig(1));
  state.ConfirmConfig(clock.Now());
  BOOST_TEST(state.MayDenyRequests());
  clock.Advance(Millis{2'000});
  BOOST_TEST(!state.MayDenyRequests());
}

// Guards against a view that is confirmed only when a long call ends, and against a refresh that
// confirms a time after it was sent, or is repeated at once when it fails.
BOOST_FIXTURE_TEST_CASE(RefreshConfirmsTheViewAtOnce, WatchFixture) {
  watch.Refresh();
  BOOST_TEST(store.calls.empty());
  watch.Start();
  store.AnswerLastCall(ObjectPage{{MakeObject("a", 3)}, false, Revision(5)});
  timers.AdvanceToNextTimer();
  const std::size_t calls = store.calls.size();
  clock.Advance(Millis{700});
  const BootTime sent_at = clock.Now();
  watch.Refresh();
  watch.Refresh();
  BOOST_REQUIRE(store.calls.size() == calls + 1);
  BOOST_TEST(store.calls.back().revision.Value() == 5U);
  clock.Advance(Millis{20});
  store.AnswerLastCall(ObjectPage{{MakeObject("b", 6)}, false, Revision(6)});
  BOOST_TEST(view.size() == 2U);
  BOOST_REQUIRE(confirmed_at.has_value());
  BOOST_TEST((*confirmed_at == sent_at));
  watch.Refresh();
  store.AnswerLastCall(Error{ErrorKind::kStoreUnavailable, "", ""});
  watch.Refresh();
  BOOST_TEST(store.calls.size() == calls + 2);
}

// Guards against entries that are deleted while the history is lost and stay in the view for ever.
BOOST_FIXTURE_TEST_CASE(LostHistoryCausesNewList, WatchFixture) {
  watch.Start();
  store.AnswerLastCall(ObjectPage{{MakeObject("a", 3), MakeObject("b", 4)}, false, Revision(5)});
  timers.AdvanceToNextTimer();
  BOOST_REQUIRE(store.calls.back().is_watch);
  BOOST_TEST(store.calls.back().revision.Value() == 5U);
  store.AnswerLastCall(Error{ErrorKind::kNotFound, "the history is gone", ""});
  BOOST_REQUIRE(!store.calls.back().is_watch);
  store.AnswerLastCall(ObjectPage{{MakeObject("b", 9)}, false, Revision(12)});
  BOOST_TEST(view.size() == 1U);
  BOOST_TEST(view["b"] == 9U);
}

// Guards against objects that stay as they were because a restored store gives revisions out again.
BOOST_FIXTURE_TEST_CASE(RestoredStoreReplacesTheView, WatchFixture) {
  const auto later = [](std::uint64_t number) { return MakeRevision(StoreEra(2), number); };
  watch.Start();
  store.AnswerLastCall(ObjectPage{{MakeObject("a", 9), MakeObject("b", 4)}, false, Revision(9)});
  timers.AdvanceToNextTimer();
  store.AnswerLastCall(Error{ErrorKind::kNotFound, "the store has been restored", ""});
  BOOST_REQUIRE(!store.calls.back().is_watch);
  StoredObject changed = MakeObject("a", 0);
  changed.revision = later(5);
  store.AnswerLastCall(ObjectPage{{changed}, false, later(6)});
  BOOST_TEST(view.size() == 1U);
  BOOST_TEST(view["a"] == later(5).Value());
  timers.AdvanceToNextTimer();
  BOOST_TEST((store.calls.back().revision == later(6)));
}

// Guards against a view that joins pages from before and after the store was restored.
BOOST_FIXTURE_TEST_CASE(RestoreBetweenPagesStartsTheListAnew, WatchFixture) {
  watch.Start();
  store.AnswerLastCall(ObjectPage{{MakeObject("a", 9)}, true, Revision(9)});
  store.AnswerLastCall(ObjectPage{{}, false, MakeRevision(StoreEra(2), 6)});
  BOOST_TEST(!store.calls.back().is_watch);
  BOOST_TEST(store.calls.back().after.empty());
  store.AnswerLastCall(ObjectPage{{}, false, MakeRevision(StoreEra(2), 6)});
  BOOST_TEST(view.empty());
}

// Guards against a server that is taken for ready, or for present, because an older copy says so.
BOOST_AUTO_TEST_CASE(ReportsOfACopyAreOutdated) {
  Backend backend;
  backend.id = BackendId("e");
  backend.started_at = 1'000;
  const auto report = [&](std::uint64_t number) {
    backend.report_number = number;
    return backend;
  };
  const Revision before(9);
  const Revision after = MakeRevision(StoreEra(2), 5);
  BackendReports reports;
  reports.Record(report(4), before);
  BOOST_TEST(!reports.IsOutdated(report(3), Revision(10)));
  BOOST_TEST(reports.IsOutdated(report(3), after));
  BOOST_TEST(!reports.IsOutdated(report(4), after));
  reports.RecordRemoval(backend.id, Revision(11));
  BOOST_TEST(reports.IsOutdated(report(4), after));
  BOOST_TEST(!reports.IsOutdated(report(5), after));
  backend.started_at = 2'000;
  BOOST_TEST(!reports.IsOutdated(report(1), after));
}

// Guards against missing changes that are made while a list of several pages is read.
BOOST_FIXTURE_TEST_CASE(WatchStartsAtRevisionOfFirstPage, WatchFixture) {
  watch.Start();
  store.AnswerLastCall(ObjectPage{{MakeObject("a", 3)}, true, Revision(5)});
  BOOST_TEST(store.calls.back().after == "a");
  store.AnswerLastCall(ObjectPage{{MakeObject("b", 4)}, false, Revision(8)});
  timers.AdvanceToNextTimer();
  BOOST_TEST(store.calls.back().revision.Value() == 5U);
}

// Guards against large fleets that restart a long list from its first page whenever a store under
// load has answered one of its pages too late.
BOOST_FIXTURE_TEST_CASE(OnlyFailedPageIsRetried, WatchFixture) {
  watch.Start();
  store.AnswerLastCall(ObjectPage{{MakeObject("a", 2), MakeObject("b", 3)}, true, Revision(5)});
  BOOST_TEST(store.calls.back().after == "b");
  store.AnswerLastCall(Error{ErrorKind::kStoreUncertain, "no reply in time", ""});
  timers.AdvanceToNextTimer();
  BOOST_TEST(!store.calls.back().is_watch);
  BOOST_TEST(store.calls.back().after == "b");
  store.AnswerLastCall(ObjectPage{{MakeObject("c", 4)}, false, Revision(9)});
  BOOST_TEST(view.size() == 3U);
  // The watch still sees the changes since the first page.
  timers.AdvanceToNextTimer();
  BOOST_TEST(store.calls.back().is_watch);
  BOOST_TEST((store.calls.back().revision == Revision(5)));
}

// Guards against an older object that replaces a newer one when responses overlap.
BOOST_FIXTURE_TEST_CASE(OlderRevisionIsIgnored, WatchFixture) {
  watch.Start();
  store.AnswerLastCall(ObjectPage{{MakeObject("a", 9)}, false, Revision(9)});
  timers.AdvanceToNextTimer();
  store.AnswerLastCall(ObjectPage{{MakeObject("a", 7)}, false, Revision(10)});
  BOOST_TEST(view["a"] == 9U);
  timers.AdvanceToNextTimer();
  store.AnswerLastCall(ObjectPage{{MakeObject("a", 8, true)}, false, Revision(11)});
  BOOST_TEST(view.contains("a"));
  timers.AdvanceToNextTimer();
  store.AnswerLastCall(ObjectPage{{MakeObject("a", 12, true)}, false, Revision(12)});
  BOOST_TEST(!view.contains("a"));
}

// Guards against a confirmation with a later time than the state that it confirms.
BOOST_FIXTURE_TEST_CASE(ConfirmationIsNoYoungerThanItsState, WatchFixture) {
  watch.Start();
  const BootTime listed = clock.Now();
  clock.Advance(Millis{40});
  store.AnswerLastCall(ObjectPage{{}, false, Revision(5)});
  BOOST_TEST((confirmed_at == listed));
  timers.AdvanceToNextTimer();
  const BootTime sent = clock.Now();
  // An empty response after the whole wait confirms the state at its end, whenever it arrives.
  clock.Advance(Millis{9'000});
  store.AnswerLastCall(ObjectPage{{}, false, Revision(5)});
  BOOST_TEST((confirmed_at == sent + store.calls.back().wait));
  timers.AdvanceToNextTimer();
  const BootTime second_sent = clock.Now();
  clock.Advance(Millis{700});
  store.AnswerLastCall(ObjectPage{{MakeObject("a", 6)}, false, Revision(6)});
  BOOST_TEST((confirmed_at == second_sent));
}

// Guards against a tight loop of calls to a failing store.
BOOST_FIXTURE_TEST_CASE(FailuresIncreaseBackoff, WatchFixture) {
  watch.Start();
  Millis last{0};
  for (int i = 0; i < 8; ++i) {
    store.AnswerLastCall(Error{ErrorKind::kStoreUnavailable, "down", ""});
    const auto delay = timers.AdvanceToNextTimer();
    BOOST_REQUIRE(delay.has_value());
    BOOST_TEST((*delay >= last));
    last = *delay;
  }
  BOOST_TEST((last == WatchOptions{}.max_backoff));
}

}  // namespace bluebellpass::gateway
