#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace bluebellpass {

/// Formats a JSON array of flat objects as a table. It has one column per field name, in order of
/// first appearance in the rows. Columns of numbers are aligned to the right. Control characters
/// are replaced by '?', since values may come from callers.
/// @return the table, or "no rows\n" for an empty array
std::string FormatTable(const nlohmann::ordered_json& rows);

}  // namespace bluebellpass
