#pragma once

#include <vector>

#include "bluebellpass/config.h"

namespace bluebellpass {

/// Tells which shift rules apply to a request. The choice depends on the request's id only, so it
/// is the same for each attempt. Rules with the same source add up, to 100 percent at most.
/// @param rules of one pool
/// @return the rules whose percentage the request falls into
std::vector<const ShiftRule*> MatchShiftRules(const std::vector<ShiftRule>& rules,
                                              const RequestId& id);

}  // namespace bluebellpass
