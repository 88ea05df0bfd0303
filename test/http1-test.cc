#include "kernel/http1.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace bluebellpass {
namespace {

/// A parser and the messages that it has reported.
struct ParsedMessages {
  std::vector<HttpHead> heads;
  std::string body;
  HttpParser parser;

  explicit ParsedMessages(HttpParser::Kind kind, std::uint32_t limit = 16'384)
      : parser(kind, limit,
               {[this](HttpHead head) { heads.push_back(std::move(head)); },
                [this](std::string_view bytes) { body.append(bytes); }}) {}
};

constexpr char kChunked[] =
    "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-Mixed: v\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n3\r\n wo\r\n0\r\n\r\n";

}  // namespace

// Guards against lost or duplicated bytes when a message arrives in pieces of any size.
BOOST_AUTO_TEST_CASE(ChunkedRequestIsParsedFromPieces) {
  const std::string text(kChunked);
  for (std::size_t size = 1; size <= text.size(); ++size) {
    ParsedMessages parsed(HttpParser::Kind::kRequest);
    ParseStatus status = ParseStatus::kNeedMore;
    for (std::size_t at = 0; at < text.size(); at += size)
      status = parsed.parser.Parse(std::string_view{text}.substr(at, size));
    BOOST_TEST((status == ParseStatus::kMessageEnd));
    BOOST_REQUIRE(parsed.heads.size() == 1);
    BOOST_TEST(parsed.heads[0].method == "POST");
    BOOST_TEST(parsed.heads[0].target == "/a/b?c=1");
    BOOST_TEST(parsed.heads[0].fields[1].name == "X-Mixed");
    BOOST_TEST(parsed.body == "hello wo");
  }
}

// Guards against a client that waits for an answer to its head (Expect: 100-continue, or a body
// that is announced as too large), while the server waits for the body.
BOOST_AUTO_TEST_CASE(HeadIsReportedBeforeTheBody) {
  for (const char* framing : {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
    ParsedMessages parsed(HttpParser::Kind::kRequest);
    const std::string head = std::string("POST / HTTP/1.1\r\nHost: h\r\n") + framing + "\r\n";
    BOOST_TEST((parsed.parser.Parse(head) == ParseStatus::kNeedMore));
    BOOST_TEST(parsed.heads.size() == 1U, framing);
  }
}

// Guards against losing the second of two requests in one packet, or reading it as part of the
// first.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreParsedSeparately) {
  ParsedMessages parsed(HttpParser::Kind::kRequest);
  const std::string text = std::string(kChunked) + "GET /second HTTP/1.1\r\nHost: h\r\n\r\n";
  BOOST_TEST((parsed.parser.Parse(text) == ParseStatus::kMessageEnd));
  BOOST_TEST(parsed.heads.size() == 1U);
  BOOST_TEST(parsed.parser.BufferedBytes() > 0U);
  parsed.parser.Restart();
  BOOST_TEST((parsed.parser.Parse({}) == ParseStatus::kMessageEnd));
  BOOST_REQUIRE(parsed.heads.size() == 2);
  BOOST_TEST(parsed.heads[1].target == "/second");
}

// Guards against request smuggling, which uses a body length that two servers interpret
// differently.
BOOST_AUTO_TEST_CASE(AmbiguousLengthIsRejected) {
  for (const char* fields :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n", "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: identity, chunked\r\n", "Content-Length: -1\r\n",
        "Content-Length: 1, 2\r\n"}) {
    ParsedMessages parsed(HttpParser::Kind::kRequest);
    const std::string text =
        std::string("POST / HTTP/1.1\r\nHost: h\r\n") + fields + "\r\n0\r\n\r\nGET / HTTP/1.1\r\n";
    BOOST_TEST((parsed.parser.Parse(text) == ParseStatus::kFailed), fields);
  }
}

// Guards against headers of unbounded length, which would exhaust the memory.
BOOST_AUTO_TEST_CASE(LongHeaderIsRejected) {
  ParsedMessages parsed(HttpParser::Kind::kRequest, 512);
  const std::string text = "GET / HTTP/1.1\r\nA: " + std::string(2'000, 'x') + "\r\n\r\n";
  BOOST_TEST((parsed.parser.Parse(text) == ParseStatus::kFailed));
  BOOST_TEST(parsed.parser.IsHeaderTooLong());
}

// Guards against a truncated response that is reported as complete: a closed connection completes
// only a body without a stated length.
BOOST_AUTO_TEST_CASE(ConnectionCloseEndsOnlyBodiesWithoutLength) {
  ParsedMessages unbounded(HttpParser::Kind::kResponse);
  BOOST_TEST((unbounded.parser.Parse("HTTP/1.1 200 OK\r\n\r\nabc") == ParseStatus::kNeedMore));
  BOOST_TEST((unbounded.parser.ParseEnd() == ParseStatus::kMessageEnd));
  BOOST_TEST(unbounded.body == "abc");
  ParsedMessages truncated(HttpParser::Kind::kResponse);
  truncated.parser.Parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  BOOST_TEST((truncated.parser.ParseEnd() == ParseStatus::kFailed));
  ParsedMessages chunked(HttpParser::Kind::kResponse);
  chunked.parser.Parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  BOOST_TEST((chunked.parser.ParseEnd() == ParseStatus::kFailed));
}

// Guards against a response whose head is cut off and that is reported as complete, with an empty
// or short body.
BOOST_AUTO_TEST_CASE(HeadCutAtAnyByteIsNotComplete) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nInstance-Seal: s\r\nContent-Type: text/plain\r\n"
      "Content-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\n";
  for (const bool is_fed_in_bytes : {false, true}) {
    for (std::size_t size = 0; size < head.size(); ++size) {
      ParsedMessages cut(HttpParser::Kind::kResponse);
      const std::string bytes = head.substr(0, size);
      ParseStatus status = ParseStatus::kNeedMore;
      if (is_fed_in_bytes) {
        for (const char byte : bytes) status = cut.parser.Parse({&byte, 1});
      } else {
        status = cut.parser.Parse(bytes);
      }
      BOOST_TEST((status == ParseStatus::kNeedMore), bytes);
      BOOST_TEST((cut.parser.ParseEnd() != ParseStatus::kMessageEnd), bytes);
      BOOST_TEST(cut.heads.empty(), bytes);
    }
  }
}

// Guards against a status that is none: valid ones are 100 to 599 (RFC 9110, section 15).
BOOST_AUTO_TEST_CASE(InvalidStatusIsRejected) {
  const auto response = [](const char* status) {
    return std::string("HTTP/1.1 ") + status + " Odd\r\nContent-Length: 4\r\n\r\ndone";
  };
  for (const char* status : {"000", "001", "099", "600", "999", "20", "2000", "-20", "2 0"}) {
    ParsedMessages parsed(HttpParser::Kind::kResponse);
    BOOST_TEST((parsed.parser.Parse(response(status)) == ParseStatus::kFailed), status);
    BOOST_TEST(parsed.heads.empty(), status);
    BOOST_TEST(parsed.body.empty(), status);
  }
  for (const char* status : {"100", "200", "299", "500", "599"}) {
    ParsedMessages parsed(HttpParser::Kind::kResponse);
    BOOST_TEST((parsed.parser.Parse(response(status)) == ParseStatus::kMessageEnd), status);
  }
}

// Guards against a head with a blank or a control byte in the name of a field. Such a line would
// be passed on, as a field or as a part of the one before it, or the length that it states would
// be ignored.
BOOST_AUTO_TEST_CASE(BlankOrControlByteInFieldNameIsRejected) {
  const std::string fields[] = {"Request-Id: r\r\n", "Content-Length: 4\r\n", "X-Last: v\r\n"};
  for (int byte = 0; byte < 256; ++byte) {
    if (byte > ' ' && byte < 0x7f) continue;
    for (std::size_t field = 0; field < std::size(fields); ++field) {
      const std::size_t name_size = fields[field].find(':');
      for (const std::size_t at : {std::size_t{0}, name_size / 2, name_size}) {
        std::string text = "HTTP/1.1 200 OK\r\n";
        for (std::size_t i = 0; i < std::size(fields); ++i) {
          std::string line = fields[i];
          if (i == field) line.insert(at, 1, static_cast<char>(byte));
          text += line;
        }
        text += "\r\ndone";
        for (const std::size_t step : {text.size(), std::size_t{1}}) {
          ParsedMessages parsed(HttpParser::Kind::kResponse);
          ParseStatus status = ParseStatus::kNeedMore;
          for (std::size_t i = 0; i < text.size() && status == ParseStatus::kNeedMore; i += step)
            status = parsed.parser.Parse(std::string_view{text}.substr(i, step));
          BOOST_TEST_CONTEXT("byte " << byte << " at " << at << " of field " << field) {
            BOOST_TEST((status == ParseStatus::kFailed));
            BOOST_TEST(parsed.heads.empty());
          }
        }
      }
    }
  }
}

// Guards against crashes and endless loops on malformed input.
BOOST_AUTO_TEST_CASE(RandomBytesNeitherCrashNorHang) {
  std::mt19937 random(20261204);
  const std::string seed(kChunked);
  for (int round = 0; round < 20'000; ++round) {
    std::string text = seed;
    const int mutations = 1 + static_cast<int>(random() % 4);
    for (int i = 0; i < mutations; ++i)
      text[random() % text.size()] = static_cast<char>(random() % 256);
    ParsedMessages parsed(round % 2 == 0 ? HttpParser::Kind::kRequest
                                         : HttpParser::Kind::kResponse);
    ParseStatus status = ParseStatus::kNeedMore;
    std::size_t at = 0;
    while (at < text.size() && status == ParseStatus::kNeedMore) {
      const std::size_t size = 1 + random() % 40;
      status = parsed.parser.Parse(std::string_view{text}.substr(at, size));
      at += size;
    }
    BOOST_TEST(parsed.body.size() <= text.size());
  }
}

// Guards against forwarding fields that apply to one connection only.
BOOST_AUTO_TEST_CASE(HopByHopFieldsAreDetected) {
  HttpHead head;
  head.fields = {{"Connection", "close, X-Own"}, {"X-Own", "1"}, {"X-Other", "2"}};
  BOOST_TEST(IsHopByHop(head, "connection"));
  BOOST_TEST(IsHopByHop(head, "x-own"));
  BOOST_TEST(IsHopByHop(head, "Content-Length"));
  BOOST_TEST(!IsHopByHop(head, "X-Other"));
}

}  // namespace bluebellpass
