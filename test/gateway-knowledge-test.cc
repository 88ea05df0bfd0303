#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "fakes.h"
#include "gateway-fakes.h"
#include "gateway/object-watch.h"
#include "gateway/routing-state.h"

namespace bluebellpass::gateway {
namespace {

Config ConfigOf(std::uint64_t version) {
  Config config;
  config.version = ConfigVersion(version);
  return config;
}

StoredObject Object(const std::string& name, std::uint64_t revision, bool is_deleted = false) {
  return {name, Revision(revision), is_deleted, std::make_shared<const nlohmann::json>()};
}

struct WatchFixture {
  FakeStoreClient feed;
  ManualTimers timers;
  ManualClock clock;
  std::map<std::string, std::uint64_t> view;
  std::optional<BootTime> proved;
  ObjectWatch watch{feed,
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
                     nullptr, [this](BootTime at) { proved = at; }, nullptr}};
};

}  // namespace

// Guards against a configuration that goes back to an older version.
BOOST_AUTO_TEST_CASE(ConfigNeverGoesBack) {
  ManualClock clock;
  RoutingState knowledge(clock, {});
  BOOST_TEST(knowledge.SetConfig(ConfigOf(7)));
  BOOST_TEST(!knowledge.SetConfig(ConfigOf(6)));
  BOOST_TEST(knowledge.Table()->Version().Value() == 7U);
  BOOST_TEST(knowledge.SetConfig(ConfigOf(9)));
}

// Guards against a key that is served after the bound on its revocation by an instance that has
// lost the store, also when the machine was suspended meanwhile.
BOOST_AUTO_TEST_CASE(StaleConfigServesNoKeys) {
  ManualClock clock;
  StalenessBounds bounds;
  bounds.revocation_bound = Millis{5'000};
  bounds.dispatch_margin = Millis{400};
  RoutingState knowledge(clock, bounds);
  BOOST_TEST(!knowledge.MayAcceptKeys());
  knowledge.SetConfig(ConfigOf(1));
  knowledge.ConfirmConfig(clock.Now());
  clock.Advance(Millis{4'599});
  BOOST_TEST(knowledge.MayAcceptKeys());
  clock.Advance(Millis{1});
  BOOST_TEST(!knowledge.MayAcceptKeys());
  // An older proof does not make the knowledge older or younger.
  knowledge.ConfirmConfig(clock.Now());
  knowledge.ConfirmConfig(BootTime{});
  BOOST_TEST(knowledge.MayAcceptKeys());
}

// Guards against denials that rest on a configuration that may have been replaced.
BOOST_AUTO_TEST_CASE(StaleConfigDeniesNothing) {
  ManualClock clock;
  RoutingState knowledge(clock, {});
  knowledge.SetConfig(ConfigOf(1));
  knowledge.ConfirmConfig(clock.Now());
  BOOST_TEST(knowledge.MayDenyRequests());
  clock.Advance(Millis{2'000});
  BOOST_TEST(!knowledge.MayDenyRequests());
}

// Guards against entries that vanish between two lists and are kept for ever.
BOOST_FIXTURE_TEST_CASE(LostHistoryIsListedAgain, WatchFixture) {
  watch.Start();
  feed.Answer(ObjectPage{{Object("a", 3), Object("b", 4)}, false, Revision(5)});
  timers.FireNext();
  BOOST_REQUIRE(feed.calls.back().is_watch);
  BOOST_TEST(feed.calls.back().revision.Value() == 5U);
  feed.Answer(Error{ErrorKind::kNotFound, "the history is gone", ""});
  BOOST_REQUIRE(!feed.calls.back().is_watch);
  feed.Answer(ObjectPage{{Object("b", 9)}, false, Revision(12)});
  BOOST_TEST(view.size() == 1U);
  BOOST_TEST(view["b"] == 9U);
}

// Guards against changes that are missed while a list of several pages is read.
BOOST_FIXTURE_TEST_CASE(PagesAreWatchedFromTheFirst, WatchFixture) {
  watch.Start();
  feed.Answer(ObjectPage{{Object("a", 3)}, true, Revision(5)});
  BOOST_TEST(feed.calls.back().after == "a");
  feed.Answer(ObjectPage{{Object("b", 4)}, false, Revision(8)});
  timers.FireNext();
  BOOST_TEST(feed.calls.back().revision.Value() == 5U);
}

// Guards against large fleets that read a long list from its start again and again after a store
// under load has answered one of its pages too late.
BOOST_FIXTURE_TEST_CASE(FailedPageIsReadAgainAlone, WatchFixture) {
  watch.Start();
  feed.Answer(ObjectPage{{Object("a", 2), Object("b", 3)}, true, Revision(5)});
  BOOST_TEST(feed.calls.back().after == "b");
  feed.Answer(Error{ErrorKind::kStoreUncertain, "no reply in time", ""});
  timers.FireNext();
  BOOST_TEST(!feed.calls.back().is_watch);
  BOOST_TEST(feed.calls.back().after == "b");
  feed.Answer(ObjectPage{{Object("c", 4)}, false, Revision(9)});
  BOOST_TEST(view.size() == 3U);
  // Changes since the first page are still found by the watch.
  timers.FireNext();
  BOOST_TEST(feed.calls.back().is_watch);
  BOOST_TEST((feed.calls.back().revision == Revision(5)));
}

// Guards against an old state that replaces a newer one when answers overlap.
BOOST_FIXTURE_TEST_CASE(OlderStateIsIgnored, WatchFixture) {
  watch.Start();
  feed.Answer(ObjectPage{{Object("a", 9)}, false, Revision(9)});
  timers.FireNext();
  feed.Answer(ObjectPage{{Object("a", 7)}, false, Revision(10)});
  BOOST_TEST(view["a"] == 9U);
  timers.FireNext();
  feed.Answer(ObjectPage{{Object("a", 8, true)}, false, Revision(11)});
  BOOST_TEST(view.contains("a"));
  timers.FireNext();
  feed.Answer(ObjectPage{{Object("a", 12, true)}, false, Revision(12)});
  BOOST_TEST(!view.contains("a"));
}

// Guards against a proof of freshness that is younger than the state it was made from.
BOOST_FIXTURE_TEST_CASE(ProofIsNoYoungerThanTheReply, WatchFixture) {
  watch.Start();
  const BootTime listed = clock.Now();
  clock.Advance(Millis{40});
  feed.Answer(ObjectPage{{}, false, Revision(5)});
  BOOST_TEST((proved == listed));
  timers.FireNext();
  const BootTime sent = clock.Now();
  // An empty reply after the whole wait proves the state at its end, whenever it arrives.
  clock.Advance(Millis{9'000});
  feed.Answer(ObjectPage{{}, false, Revision(5)});
  BOOST_TEST((proved == sent + feed.calls.back().wait));
  timers.FireNext();
  const BootTime again = clock.Now();
  clock.Advance(Millis{700});
  feed.Answer(ObjectPage{{Object("a", 6)}, false, Revision(6)});
  BOOST_TEST((proved == again));
}

// Guards against a tight loop of calls to a store that fails.
BOOST_FIXTURE_TEST_CASE(FailuresBackOff, WatchFixture) {
  watch.Start();
  Millis last{0};
  for (int i = 0; i < 8; ++i) {
    feed.Answer(Error{ErrorKind::kStoreUnavailable, "down", ""});
    const auto delay = timers.FireNext();
    BOOST_REQUIRE(delay.has_value());
    BOOST_TEST((*delay >= last));
    last = *delay;
  }
  BOOST_TEST((last == WatchOptions{}.max_backoff));
}

}  // namespace bluebellpass::gateway
