#include "cli/table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace bluebellpass {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kColumnSpacing = 2;  ///< spaces between columns

struct Column {
  std::string name;
  std::size_t width = 0;
  bool is_numeric = true;
};

std::string CellText(const Json& row, const std::string& name) {
  const auto found = row.is_object() ? row.find(name) : row.end();
  if (!row.is_object() || found == row.end() || found->is_null()) return "-";
  std::string text = found->is_string()
                         ? found->get<std::string>()
                         : found->dump(-1, ' ', false, Json::error_handler_t::replace);
  std::replace_if(
      text.begin(), text.end(), [](char c) { return (c >= 0 && c < ' ') || c == '\x7f'; }, '?');
  return text.empty() ? "-" : text;
}

/// @return the number of characters of UTF-8 text
std::size_t CountCharacters(const std::string& text) {
  return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) {
    return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U;
  }));
}

std::vector<Column> FindColumns(const Json& rows) {
  std::vector<Column> columns;
  for (const Json& row : rows) {
    if (!row.is_object()) continue;
    for (const auto& item : row.items()) {
      const auto found = std::find_if(columns.begin(), columns.end(), [&](const Column& column) {
        return column.name == item.key();
      });
      Column& column = found == columns.end()
                           ? columns.emplace_back(Column{item.key(), CountCharacters(item.key())})
                           : *found;
      column.width = std::max(column.width, CountCharacters(CellText(row, column.name)));
      column.is_numeric = column.is_numeric && (item.value().is_number() || item.value().is_null());
    }
  }
  return columns;
}

void AppendCell(std::string& line, const std::string& text, const Column& column) {
  if (!line.empty()) line += std::string(kColumnSpacing, ' ');
  const std::string padding(column.width - std::min(column.width, CountCharacters(text)), ' ');
  line += column.is_numeric ? padding + text : text + padding;
}

std::string FinishLine(std::string line) {
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

}  // namespace

std::string FormatTable(const Json& rows) {
  if (!rows.is_array() || rows.empty()) return "no rows\n";
  const std::vector<Column> columns = FindColumns(rows);
  std::string header;
  for (const Column& column : columns) AppendCell(header, column.name, column);
  std::string table = FinishLine(header);
  for (const Json& row : rows) {
    std::string line;
    for (const Column& column : columns) AppendCell(line, CellText(row, column.name), column);
    table += FinishLine(line);
  }
  return table;
}

}  // namespace bluebellpass
