#pragma once

#include <map>
#include <string>
#include <vector>

#include "cli/timeline.h"

namespace bluebellpass::test {

/// Checks invariant 2 on the events of all instances: a request may be refused as `overloaded` only
/// if no less urgent request of the same pool, received earlier, is dispatched later. A waiting
/// request that is never dispatched is no violation, since it was not preferred to the refused one.
/// @param events in the order of SortTimeline, where causes come before their effects
/// @param ranks rank of each tier by its name; larger is less urgent
/// @return one message for each request that was refused in violation of the invariant
std::vector<std::string> CheckSheds(const std::vector<TimelineEvent>& events,
                                    const std::map<std::string, int>& ranks);

}  // namespace bluebellpass::test
