#include "policy/suspects.h"

#include <boost/test/unit_test.hpp>

namespace bluebellpass {
namespace {

constexpr Fingerprint kOne{1};
constexpr Fingerprint kTwo{2};

TimePoint At(int millis) { return TimePoint(Millis{millis}); }

struct Fixture {
  std::uint64_t stamp = 0;
  Suspects here{[this] { return ++stamp; }};
  Suspects there{[this] { return ++stamp; }};
};

}  // namespace

// Guards against a content that costs a third server, and against quarantine of the innocent.
BOOST_FIXTURE_TEST_CASE(SecondDeathQuarantines, Fixture) {
  here.OnBackendDeath({kOne, kTwo, kOne}, At(0));
  BOOST_TEST(here.IsSuspect(kOne, At(0)));
  BOOST_TEST(here.IsSuspect(kTwo, At(0)));
  here.OnRunCompleted(kTwo, At(1));
  BOOST_TEST(!here.IsSuspect(kTwo, At(1)));
  here.OnBackendDeath({kOne}, At(2));
  BOOST_TEST(here.IsQuarantined(kOne, At(2)));
  BOOST_TEST(!here.IsQuarantined(kTwo, At(2)));
  const TimePoint end = At(2) + kQuarantineDuration;
  BOOST_TEST(here.IsQuarantined(kOne, end - Millis{1}));
  BOOST_TEST(!here.IsQuarantined(kOne, end));
}

// Guards against an old list that undoes a release, and a release that does not spread.
BOOST_FIXTURE_TEST_CASE(NewerEntryWins, Fixture) {
  here.OnBackendDeath({kOne}, At(0));
  here.OnBackendDeath({kOne}, At(0));
  const std::vector<QuarantineEntry> old_list = here.Entries(At(0));
  BOOST_TEST(there.Merge(old_list, At(0)));
  BOOST_TEST(!there.Merge(old_list, At(0)));
  BOOST_TEST(there.IsQuarantined(kOne, At(0)));
  BOOST_TEST(there.ReleaseContent(kOne, At(1)));
  BOOST_TEST(!there.ReleaseContent(kOne, At(1)));
  BOOST_TEST(here.Merge(there.Entries(At(1)), At(1)));
  BOOST_TEST(!here.IsQuarantined(kOne, At(1)));
  BOOST_TEST(!there.Merge(old_list, At(2)));
  BOOST_TEST(!there.IsQuarantined(kOne, At(2)));
}

// Guards against a release with a clock that lags, which other instances would ignore.
BOOST_AUTO_TEST_CASE(ReleaseIsNewerInSpiteOfClock) {
  Suspects slow{[] { return 5ULL; }};
  slow.Merge({{.content = kOne, .deaths = 2, .remaining = Millis{1000}, .stamp = 100}}, At(0));
  slow.ReleaseContent(kOne, At(1));
  BOOST_TEST(slow.Entries(At(1)).front().stamp == 101);
}

// Guards against a death that stays counted for a run that was never dispatched.
BOOST_FIXTURE_TEST_CASE(DeathCanBeUndone, Fixture) {
  here.OnBackendDeath({kOne}, At(0));
  here.UndoDeath(kOne, At(1));
  BOOST_TEST(!here.IsSuspect(kOne, At(1)));
}

}  // namespace bluebellpass
