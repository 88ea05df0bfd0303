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
    std::array<char, 65'536> part{};
    for (ssize_t n = 0; (n = read(ends[0], part.data(), part.size())) > 0;)
      text.append(part.data(), static_cast<std::size_t>(n));
    return text;
  }
};

TimePoint At(int ms) { return TimePoint(Millis{ms}); }

}  // namespace

// Guards against a process that stands still because nobody reads its log.
BOOST_AUTO_TEST_CASE(SlowReaderNeitherBlocksNorFillsTheMemory) {
  Pipe pipe;
  // A blocking descriptor, as standard output mostly is.
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
  // What was written is whole lines, and the drop is told once there is room.
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

// Guards against a flood of lines that costs more than the work it tells of.
BOOST_AUTO_TEST_CASE(RateIsBounded) {
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
