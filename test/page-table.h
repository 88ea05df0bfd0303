#pragma once

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellpass::test {

/// @return the contents of a text file; throws if it cannot be opened
inline std::string ReadSource(const std::string& path) {
  const std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Reads the first Markdown table with a given header row.
/// @param heading start of the header row, such as "| number |"
/// @return the cells of each row below the header, without surrounding spaces and back quotes; no
/// rows if there is no such table
inline std::vector<std::vector<std::string>> ReadPageTable(const std::string& page,
                                                           std::string_view heading) {
  std::vector<std::vector<std::string>> rows;
  const std::size_t start = page.find("\n" + std::string(heading));
  if (start == std::string::npos) return rows;
  std::istringstream lines(page.substr(start + 1));
  std::string line;
  std::getline(lines, line);  // header row
  std::getline(lines, line);  // delimiter row
  while (std::getline(lines, line) && line.starts_with('|')) {
    std::vector<std::string> cells;
    std::string cell;
    for (const char c : line.substr(1)) {
      if (c == '`') continue;
      if (c != '|') {
        cell += c;
        continue;
      }
      const std::size_t first = cell.find_first_not_of(' ');
      const std::size_t last = cell.find_last_not_of(' ');
      cells.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
      cell.clear();
    }
    rows.push_back(std::move(cells));
  }
  return rows;
}

}  // namespace bluebellpass::test
