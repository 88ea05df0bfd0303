#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cli/command.h"

namespace bluebellpass::detail {

/// The position of a syntax error in a command, and what was expected there.
struct SyntaxError {
  std::size_t position = 0;  ///< offset of the first byte that does not match the grammar
  std::string expected;      ///< for the error message, such as "a value"
};

/// Parses a command with a Boost Spirit grammar. It is in a separate source file because it is slow
/// to compile.
/// @param error set if the command does not match the grammar
/// @return the command, or nullopt if it does not match the grammar
std::optional<Command> ParseGrammar(std::string_view text, SyntaxError& error);

}  // namespace bluebellpass::detail
