#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace bluebellpass {

/// Parser for text/event-stream that delivers the data of each event.
class SseParser {
 public:
  /// @param on_data receives the data of one event, with its lines joined by '\n'
  explicit SseParser(std::function<void(const std::string& data)> on_data)
      : m_on_data(std::move(on_data)) {}

  /// Parses the next bytes of the stream, which may end anywhere in a line.
  /// @return false when an event is longer than 4 MiB; the stream must then be abandoned
  bool Feed(std::string_view bytes);

 private:
  void ParseLine(std::string_view line);

  std::function<void(const std::string&)> m_on_data;
  std::string m_line;
  std::string m_data;
  bool m_has_data = false;
};

}  // namespace bluebellpass
