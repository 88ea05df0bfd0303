#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

/// Longest name in the configuration and in settings, in characters.
inline constexpr std::size_t kMaxNameLength = 64;

/// Reads "ip:port" with an IPv4 address; names are never looked up.
/// @return the address, or kBadRequest. Port 0 is accepted; callers that need a port check it.
Result<Address> ParseAddress(std::string_view text);

/// @return true for 1 to 64 letters, digits, '-' and '_'
bool IsValidName(std::string_view text);

/// @return the parts of a list, at least one; parts may be empty
std::vector<std::string> SplitAtCommas(const std::string& text);

}  // namespace bluebellpass
