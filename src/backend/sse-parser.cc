#include "sse-parser.h"

namespace bluebellpass {
namespace {

constexpr std::size_t kMaxEventBytes = 4U << 20U;
constexpr std::string_view kDataField = "data:";

}  // namespace

bool SseParser::Feed(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    m_line.append(bytes.substr(0, end));
    if (m_line.size() + m_data.size() > kMaxEventBytes) return false;
    if (end == std::string_view::npos) return true;
    bytes.remove_prefix(end + 1);
    if (!m_line.empty() && m_line.back() == '\r') m_line.pop_back();
    const std::string line = std::move(m_line);
    m_line.clear();
    ParseLine(line);
  }
  return true;
}

void SseParser::ParseLine(std::string_view line) {
  if (line.empty()) {
    if (m_has_data) m_on_data(m_data);
    m_data.clear();
    m_has_data = false;
    return;
  }
  if (!line.starts_with(kDataField)) return;
  line.remove_prefix(kDataField.size());
  if (line.starts_with(' ')) line.remove_prefix(1);
  if (m_has_data) m_data += '\n';
  m_data.append(line);
  m_has_data = true;
}

}  // namespace bluebellpass
