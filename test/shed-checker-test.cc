#include "cluster/shed-checker.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace bluebellpass {
namespace {

using test::CheckSheds;

const std::map<std::string, int> kRanks = {{"urgent", 0}, {"normal", 1}, {"batch", 2}};

TimelineEvent Event(HybridTime time, const std::string& name, const std::string& request,
                    const std::string& tier, const std::string& pool = "assistant",
                    const std::string& error = "") {
  TimelineEvent event;
  event.time = time;
  event.instance = "i" + request.substr(0, 1);
  event.name = name;
  event.request = request;
  event.json = nlohmann::json{{"tier", tier}, {"pool", pool}, {"error", error}}.dump();
  return event;
}

TimelineEvent Refused(HybridTime time, const std::string& request, const std::string& tier,
                      const std::string& error = "overloaded") {
  return Event(time, "not_run", request, tier, "assistant", error);
}

}  // namespace

// Guards against a checker that finds no violation: a batch request waits while an urgent one is
// refused, and is dispatched afterwards.
BOOST_AUTO_TEST_CASE(LowerWorkKeptAndDispatchedLaterIsFound) {
  const auto violations = CheckSheds(
      {Event(1, "received", "2.batch", "batch"), Event(2, "received", "1.urgent", "urgent"),
       Refused(3, "1.urgent", "urgent"), Event(4, "dispatched", "2.batch", "batch")},
      kRanks);
  BOOST_REQUIRE_EQUAL(violations.size(), 1U);
  BOOST_TEST(violations[0] == "1.urgent of rank 0 was refused while i2 kept 2.batch of rank 2");
}

// Guards against a checker that considers only refusals of the most urgent tier.
BOOST_AUTO_TEST_CASE(MiddleTiersAreCheckedAgainstThoseBelowThem) {
  BOOST_TEST(CheckSheds({Event(1, "received", "2.batch", "batch"), Refused(3, "1.n", "normal"),
                         Event(4, "dispatched", "2.batch", "batch")},
                        kRanks)
                 .size() == 1U);
}

// Guards against false violations, which would hide real ones.
BOOST_AUTO_TEST_CASE(AllowedTimeLinesPass) {
  const auto batch = Event(1, "received", "2.batch", "batch");
  const auto refused = Refused(3, "1.urgent", "urgent");
  const std::vector<std::vector<TimelineEvent>> allowed = {
      // dispatched before the refusal
      {batch, Event(2, "dispatched", "2.batch", "batch"), refused},
      // received after the refusal
      {refused, Event(4, "received", "2.batch", "batch"),
       Event(5, "dispatched", "2.batch", "batch")},
      // refused as well
      {batch, refused, Refused(4, "2.batch", "batch")},
      // of the same or a more urgent tier
      {Event(1, "received", "2.u", "urgent"), refused, Event(4, "dispatched", "2.u", "urgent")},
      {Event(1, "received", "2.u", "urgent"), Refused(3, "1.batch", "batch"),
       Event(4, "dispatched", "2.u", "urgent")},
      // in another pool
      {Event(1, "received", "2.batch", "batch", "booking"), refused,
       Event(4, "dispatched", "2.batch", "batch", "booking")},
      // refused for another reason than overload
      {batch, Refused(3, "1.urgent", "urgent", "deadline_exceeded"),
       Event(4, "dispatched", "2.batch", "batch")},
  };
  for (const auto& events : allowed) BOOST_TEST(CheckSheds(events, kRanks).empty());
}

}  // namespace bluebellpass
