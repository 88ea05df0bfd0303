#pragma once

#include <map>
#include <string>
#include <vector>

#include "cli/timeline.h"

namespace bluebellpass::test {

/// Checks invariant 2 on a merged time line: when a request is refused as `overloaded`, no instance
/// still keeps, undispatched, a request of a lower tier of the same pool that it has received
/// before and that it dispatches later. A request that never is dispatched was not kept in favour
/// of the refused one.
/// @param events in the order of SortTimeline; hybrid times put causes before their effects
/// @param ranks rank of each tier by its name; larger is less urgent
/// @return one line for each refused request that comes with a violation
std::vector<std::string> CheckSheds(const std::vector<TimelineEvent>& events,
                                    const std::map<std::string, int>& ranks);

}  // namespace bluebellpass::test
