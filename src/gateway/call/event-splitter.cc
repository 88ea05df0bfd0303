#include "event-splitter.h"

#include <charconv>

namespace bluebellpass::gateway {
namespace {

constexpr std::string_view kIdField = "id:";

/// @return the position after the first blank line at or after `from`, or npos
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  for (std::size_t i = from; i < text.size(); ++i) {
    if (text[i] != '\n') continue;
    if (i + 1 < text.size() && text[i + 1] == '\n') return i + 2;
    if (i + 2 < text.size() && text[i + 1] == '\r' && text[i + 2] == '\n') return i + 3;
  }
  return std::string_view::npos;
}

}  // namespace

std::string_view EventSplitter::Append(std::string_view bytes) {
  // A blank line may start in the buffered bytes.
  const std::size_t buffered_bytes = m_partial.size();
  m_partial.append(bytes);
  m_complete.clear();
  std::size_t begin = 0;
  std::size_t search_from = buffered_bytes >= 2 ? buffered_bytes - 2 : 0;
  while (true) {
    const std::size_t end = FindEventEnd(m_partial, search_from);
    if (end == std::string_view::npos) break;
    RecordEvent(std::string_view{m_partial}.substr(begin, end - begin));
    begin = search_from = end;
  }
  m_complete.assign(m_partial, 0, begin);
  m_partial.erase(0, begin);
  return m_complete;
}

void EventSplitter::RecordEvent(std::string_view event) {
  ++m_event_count;
  std::size_t line_begin = 0;
  while (line_begin < event.size()) {
    const std::size_t end = std::min(event.find('\n', line_begin), event.size());
    std::string_view line = event.substr(line_begin, end - line_begin);
    line_begin = end + 1;
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    std::uint64_t id = 0;
    if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc{})
      m_last_event_id = id;
  }
}

}  // namespace bluebellpass::gateway
