#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cli/command.h"

namespace bluebellpass::detail {

/// Where a text departs from the grammar.
struct Fault {
  std::size_t position = 0;  ///< offset of the first byte that does not fit
  std::string expected;
};

/// Parses with the Spirit grammar, which is in a source file of its own since it compiles slowly.
std::optional<Command> ParseGrammar(std::string_view text, Fault& fault);

}  // namespace bluebellpass::detail
