#include "policy/shift-rules.h"

#include <map>

namespace bluebellpass {
namespace {

constexpr std::uint64_t kPercent = 100;

}  // namespace

std::vector<const ShiftRule*> MatchShiftRules(const std::vector<ShiftRule>& rules,
                                              const RequestId& id) {
  std::vector<const ShiftRule*> found;
  std::map<DataCentre, std::uint64_t> begins;  // of the percentages not yet given to a rule
  for (const ShiftRule& rule : rules) {
    // The source is part of the hash, so that requests moved from one are moved from another with
    // the other's own percentage.
    const std::uint64_t bucket = StableHash(id.Text(), StableHash(rule.from.Text())) % kPercent;
    std::uint64_t& begin = begins[rule.from];
    const std::uint64_t end = begin + rule.percent;
    if (bucket >= begin && bucket < end) found.push_back(&rule);
    begin = end;
  }
  return found;
}

}  // namespace bluebellpass
