#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace bluebellpass {

/// Splits a text/event-stream into the data of its events.
class SseParser {
 public:
  /// @param on_data gets the data of one event, its lines joined by '\n'
  explicit SseParser(std::function<void(const std::string& data)> on_data)
      : m_on_data(std::move(on_data)) {}

  /// Takes the next bytes of the stream, which may end anywhere.
  /// @return false when a line is longer than 4 MiB; the stream must then be given up
  bool Feed(std::string_view bytes);

 private:
  void TakeLine(std::string_view line);

  std::function<void(const std::string&)> m_on_data;
  std::string m_line;
  std::string m_data;
  bool m_has_data = false;
};

}  // namespace bluebellpass
