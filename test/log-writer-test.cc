#include "kernel/log-writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>

namespace bluebellpass {
namespace {

struct Pipe {
  std::array<int, 2> ends{};
  Pipe() { BOOST_REQUIRE(pipe2(ends.data(), O_NONBLOCK) == 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  std::string ReadAll() const {
    std::string text;
    std::array<char, 65'536> buffer{};
    for (ssize_t n = 0; (n = read(ends[0], buffer.data(), buffer.size())) > 0;)
      text.append(buffer.data(), static_cast<std::size_t>(n));
    return text;
  }
};

TimePoint At(int ms) { return TimePoint(Millis{ms}); }

}  // namespace

// Guards against a process that blocks, or buffers without bound, because its log is not read.
BOOST_AUTO_TEST_CASE(SlowReaderNeitherBlocksNorExhaustsMemory) {
  Pipe pipe;
  // Blocking, as standard output usually is.
  fcntl(pipe.ends[1], F_SETFL, 0);
  LogWriterOptions options;
  options.max_lines_per_s = 1e9;
  LogWriter writer(pipe.ends[1], options);
  const std::string line(200, 'x');
  for (int i = 0; i < 20'000; ++i) {
    writer.QueueLine(line, At(i));
    if (i % 100 == 0) writer.Flush();
  }
  BOOST_TEST(writer.BufferedBytes() <= options.max_buffered_bytes);
  BOOST_TEST(writer.DroppedLines() > 0U);
  // Only complete lines are written, and the drops are reported once there is room.
  std::string text;
  for (int i = 0; i < 100; ++i) {
    writer.Flush();
    text += pipe.ReadAll();
  }
  writer.QueueLine("last", At(30'000));
  writer.Flush();
  text += pipe.ReadAll();
  BOOST_TEST(text.find("log_dropped") != std::string::npos);
  BOOST_TEST(text.ends_with("last\n"));
}

// Guards against logging that costs more than the requests it reports.
BOOST_AUTO_TEST_CASE(LineRateIsLimited) {
  Pipe pipe;
  LogWriterOptions options;
  options.max_lines_per_s = 100;
  LogWriter writer(pipe.ends[1], options);
  for (int ms = 0; ms < 2'000; ++ms) writer.QueueLine("line", At(ms));
  writer.Flush();
  const std::string text = pipe.ReadAll();
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') <= 320);
  BOOST_TEST(writer.DroppedLines() >= 1'600U);
}

}  // namespace bluebellpass
