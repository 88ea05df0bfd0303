#include "log-writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace bluebellpass {
namespace {

// A pipe that poll reports as writable accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t kMaxWriteBytes = 4'096;
// Minimum time between two reports of dropped lines.
constexpr Millis kReportPeriod{1'000};

bool IsWritable(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

LogWriter::LogWriter(int descriptor, LogWriterOptions options)
    : m_descriptor(descriptor), m_options(options), m_rate_tokens(options.max_lines_per_s) {}

bool LogWriter::TakeRateToken(TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - m_last_refill).count();
  m_last_refill = now;
  m_rate_tokens = std::min(m_options.max_lines_per_s,
                           m_rate_tokens + std::max(seconds, 0.0) * m_options.max_lines_per_s);
  if (m_rate_tokens < 1) return false;
  m_rate_tokens -= 1;
  return true;
}

bool LogWriter::Fits(std::size_t bytes) const {
  return m_buffer.size() + bytes <= m_options.max_buffered_bytes;
}

void LogWriter::QueueLine(std::string_view line, TimePoint now) {
  if (!TakeRateToken(now) || !Fits(line.size() + 1)) {
    ++m_dropped_lines;
    return;
  }
  if (m_reported_lines != m_dropped_lines && now - m_last_report >= kReportPeriod) {
    const std::string report = "{\"name\":\"log_dropped\",\"severity\":\"warning\",\"lines\":" +
                               std::to_string(m_dropped_lines - m_reported_lines) + "}\n";
    if (Fits(line.size() + 1 + report.size())) {
      m_buffer += report;
      m_reported_lines = m_dropped_lines;
      m_last_report = now;
    }
  }
  m_buffer.append(line).push_back('\n');
}

void LogWriter::Flush() {
  std::size_t written = 0;
  while (written < m_buffer.size() && IsWritable(m_descriptor)) {
    const std::size_t size = std::min(kMaxWriteBytes, m_buffer.size() - written);
    const ssize_t count = write(m_descriptor, m_buffer.data() + written, size);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;
    written += static_cast<std::size_t>(count);
  }
  m_buffer.erase(0, written);
}

}  // namespace bluebellpass
