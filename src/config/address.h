#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

/// Maximum length of names in the configuration and the settings.
inline constexpr std::size_t kMaxNameLength = 64;

/// Parses "ip:port" with an IPv4 address. Does not resolve host names.
/// @return the address, or kBadRequest. Port 0 is valid here; callers must check it if needed.
Result<Address> ParseAddress(std::string_view text);

/// @return true for 1 to 64 ASCII letters, digits, '-' and '_'
bool IsValidName(std::string_view text);

/// @return the parts of a comma-separated list: at least one, possibly empty
std::vector<std::string> SplitAtCommas(const std::string& text);

}  // namespace bluebellpass
