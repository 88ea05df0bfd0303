#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace bluebellpass {

/// Renders a JSON array of flat objects as a table with aligned columns: one column for each field
/// name, in order of first appearance in the rows. Numbers are aligned to the right. Control
/// characters are shown as '?', since values may come from callers.
/// @return the table, or "no rows\n" for an empty array
std::string FormatTable(const nlohmann::ordered_json& rows);

}  // namespace bluebellpass
