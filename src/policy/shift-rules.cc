#include "policy/shift-rules.h"

#include <map>

namespace bluebellpass {
namespace {

constexpr std::uint64_t kPercentBuckets = 100;

}  // namespace

std::vector<const ShiftRule*> MatchShiftRules(const std::vector<ShiftRule>& rules,
                                              const RequestId& id) {
  std::vector<const ShiftRule*> matching;
  std::map<DataCentre, std::uint64_t> range_begins;  // first percentage not yet assigned
  for (const ShiftRule& rule : rules) {
    // Hashing the source as well makes the selections of different sources independent.
    const std::uint64_t bucket =
        StableHash(id.Text(), StableHash(rule.from.Text())) % kPercentBuckets;
    std::uint64_t& begin = range_begins[rule.from];
    const std::uint64_t end = begin + rule.percent;
    if (bucket >= begin && bucket < end) matching.push_back(&rule);
    begin = end;
  }
  return matching;
}

}  // namespace bluebellpass
