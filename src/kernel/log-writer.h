#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "bluebellpass/types.h"

namespace bluebellpass {

struct LogWriterOptions {
  /// Limit on lines buffered while the reader is slow.
  std::size_t max_buffered_bytes = 256U << 10U;
  /// Limit on lines per second, with a burst of the same number; bounds the log volume under load.
  double max_lines_per_s = 400;
};

/// Writes lines to a file descriptor without blocking. Lines beyond the buffer or the rate limit
/// are dropped, and a later line reports their number.
class LogWriter {
 public:
  explicit LogWriter(int descriptor, LogWriterOptions options = {});

  /// Queues a line, or drops it if a limit is exceeded.
  void QueueLine(std::string_view line, TimePoint now);
  /// Writes buffered lines as far as the reader accepts them.
  void Flush();
  std::uint64_t DroppedLines() const { return m_dropped_lines; }
  std::size_t BufferedBytes() const { return m_buffer.size(); }

 private:
  bool TakeRateToken(TimePoint now);
  bool Fits(std::size_t bytes) const;

  int m_descriptor;
  LogWriterOptions m_options;
  std::string m_buffer;
  double m_rate_tokens;
  TimePoint m_last_refill{};
  std::uint64_t m_dropped_lines = 0;
  std::uint64_t m_reported_lines = 0;
  TimePoint m_last_report{};
};

}  // namespace bluebellpass
