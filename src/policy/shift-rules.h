#pragma once

#include <vector>

#include "bluebellpass/config.h"

namespace bluebellpass {

/// Selects the shift rules that apply to a request by hashing its id, so that the result is the
/// same for every attempt. The percentages of rules with the same source add up, to 100 at most.
/// @param rules rules of one pool
/// @return the rules whose percentage range contains the request
std::vector<const ShiftRule*> MatchShiftRules(const std::vector<ShiftRule>& rules,
                                              const RequestId& id);

}  // namespace bluebellpass
