#include "policy/suspects.h"

#include <boost/test/unit_test.hpp>

namespace bluebellpass {
namespace {

constexpr Fingerprint kContent{1};
constexpr Fingerprint kOtherContent{2};

TimePoint At(int millis) { return TimePoint(Millis{millis}); }

struct Fixture {
  std::uint64_t stamp = 0;
  Suspects local{[this] { return ++stamp; }};
  Suspects remote{[this] { return ++stamp; }};
};

}  // namespace

// Two deaths quarantine a content, so that it does not crash a third server. A content that has
// since completed is cleared.
BOOST_FIXTURE_TEST_CASE(SecondDeathQuarantines, Fixture) {
  local.OnBackendDeath({kContent, kOtherContent, kContent}, At(0));
  BOOST_TEST(local.IsSuspect(kContent, At(0)));
  BOOST_TEST(local.IsSuspect(kOtherContent, At(0)));
  local.OnRunCompleted(kOtherContent, At(1));
  BOOST_TEST(!local.IsSuspect(kOtherContent, At(1)));
  local.OnBackendDeath({kContent}, At(2));
  BOOST_TEST(local.IsQuarantined(kContent, At(2)));
  BOOST_TEST(!local.IsQuarantined(kOtherContent, At(2)));
  const TimePoint end = At(2) + kQuarantineDuration;
  BOOST_TEST(local.IsQuarantined(kContent, end - Millis{1}));
  BOOST_TEST(!local.IsQuarantined(kContent, end));
}

// An outdated list must not undo a release, and a release must reach other instances.
BOOST_FIXTURE_TEST_CASE(NewerEntryWins, Fixture) {
  local.OnBackendDeath({kContent}, At(0));
  local.OnBackendDeath({kContent}, At(0));
  const std::vector<QuarantineEntry> old_entries = local.Entries(At(0));
  BOOST_TEST(remote.Merge(old_entries, At(0)));
  BOOST_TEST(!remote.Merge(old_entries, At(0)));
  BOOST_TEST(remote.IsQuarantined(kContent, At(0)));
  BOOST_TEST(remote.ReleaseContent(kContent, At(1)));
  BOOST_TEST(!remote.ReleaseContent(kContent, At(1)));
  BOOST_TEST(local.Merge(remote.Entries(At(1)), At(1)));
  BOOST_TEST(!local.IsQuarantined(kContent, At(1)));
  BOOST_TEST(!remote.Merge(old_entries, At(2)));
  BOOST_TEST(!remote.IsQuarantined(kContent, At(2)));
}

// With a stamp from a lagging clock, other instances would ignore a release.
BOOST_AUTO_TEST_CASE(ReleaseIsNewerDespiteLaggingClock) {
  Suspects lagging{[] { return 5ULL; }};
  lagging.Merge({{.content = kContent, .deaths = 2, .remaining = Millis{1000}, .stamp = 100}},
                At(0));
  lagging.ReleaseContent(kContent, At(1));
  BOOST_TEST(lagging.Entries(At(1)).front().stamp == 101);
}

// A death must not stay counted for a run that was never dispatched.
BOOST_FIXTURE_TEST_CASE(DeathCanBeUndone, Fixture) {
  local.OnBackendDeath({kContent}, At(0));
  local.UndoDeath(kContent, At(1));
  BOOST_TEST(!local.IsSuspect(kContent, At(1)));
}

}  // namespace bluebellpass
