#include "gateway/call/event-splitter.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

namespace bluebellpass::gateway {
namespace {

std::string MakeStream(int events, const std::string& line_end) {
  std::string text;
  for (int i = 1; i <= events; ++i)
    text += "id: " + std::to_string(i * 5) + line_end + "data: " + std::string(i % 7, 'x') +
            line_end + line_end;
  return text;
}

}  // namespace

// Guards against events that are split, lost or duplicated when a stream arrives in chunks of any
// size.
BOOST_AUTO_TEST_CASE(ChunkSizeDoesNotChangeTheStream) {
  std::mt19937 random(11);
  for (const char* line_end : {"\n", "\r\n"}) {
    const std::string text = MakeStream(20, line_end);
    for (int round = 0; round < 300; ++round) {
      EventSplitter splitter;
      std::string forwarded;
      std::size_t offset = 0;
      while (offset < text.size()) {
        const std::size_t size = 1 + random() % 30;
        forwarded += splitter.Append(std::string_view{text}.substr(offset, size));
        offset += size;
      }
      BOOST_TEST(forwarded == text);
      BOOST_TEST(splitter.EventCount() == 20U);
      BOOST_TEST(*splitter.LastEventId() == 100U);
      BOOST_TEST(splitter.PartialBytes() == 0U);
    }
  }
}

// Guards against forwarding part of an event before another backend server resumes the stream.
BOOST_AUTO_TEST_CASE(IncompleteEventIsBuffered) {
  EventSplitter splitter;
  BOOST_TEST(splitter.Append("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  BOOST_TEST(splitter.PartialBytes() > 0U);
  BOOST_TEST(*splitter.LastEventId() == 1U);
  splitter.DiscardPartial();
  BOOST_TEST(splitter.Append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(*splitter.LastEventId() == 2U);
}

}  // namespace bluebellpass::gateway
