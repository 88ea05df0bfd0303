#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "backend/sse-parser.h"
#include "home/request-id.h"
#include "home/resume-token.h"
#include "home/submission.h"

/// Passes seeded random mutations of valid inputs to the parsers of callers' and engines' data.

namespace bluebellpass {
namespace {

using nlohmann::json;
using Random = std::mt19937;

constexpr int kIterations = 20'000;
constexpr std::uint32_t kSeed = 20261204;

std::size_t RandomIndex(Random& random, std::size_t count) {
  return count == 0 ? 0 : random() % count;
}

ClusterConfig MakeConfig() {
  ClusterConfig config;
  config.tiers = {{.name = TierName("urgent"), .rank = TierRank(0)},
                  {.name = TierName("batch"), .rank = TierRank(1)}};
  config.organisations = {{.id = OrganisationId("oficina")}};
  config.backends = {{.id = BackendId("e1"), .kind = "engine", .pool = PoolName("assistant")},
                     {.id = BackendId("s1"), .kind = "service", .pool = PoolName("booking")}};
  return config;
}

/// @return the text after 1 to 4 random edits
std::string Mutate(Random& random, std::string text) {
  static const std::vector<std::string> pieces = {
      "\"",      "{",       "}",     "[",     "]",  ":",        ",",    "\\",
      "\\u0000", "\\ud800", "null",  "1e999", "-1", "\xff",     "\xc3", "\xed\xa0\x80",
      "\r\n",    "\n\n",    "data:", "~",     ".",  "\"tier\":"};
  const std::size_t edits = 1 + RandomIndex(random, 4);
  for (std::size_t i = 0; i < edits; ++i) {
    const std::size_t at = RandomIndex(random, text.size() + 1);
    switch (random() % 6) {
      case 0:
        if (at < text.size()) text[at] = static_cast<char>(random());
        break;
      case 1:
        text.insert(at, pieces[RandomIndex(random, pieces.size())]);
        break;
      case 2:
        text.erase(at, 1 + RandomIndex(random, 8));
        break;
      case 3:
        text.insert(at, text.substr(RandomIndex(random, text.size() + 1), RandomIndex(random, 40)));
        break;
      case 4:
        text.resize(at);
        break;
      default:
        if (at < text.size()) text[at] = static_cast<char>(text[at] ^ (1U << random() % 8));
    }
  }
  return text;
}

json MakeValidSubmission(Random& random) {
  json body = {{"organisation", "oficina"},
               {"tier", random() % 2 == 0 ? "urgent" : "batch"},
               {"deadline_ms", 1 + random() % 86'400'000}};
  if (random() % 2 == 0) {
    body["pool"] = "assistant";
    body["prompt"] = std::string(random() % 2000, 'p') + "\xc3\xa9";
    body["max_tokens"] = 1 + random() % 1'000'000;
  } else {
    body["pool"] = "booking";
    body["prompt"] = {{"boxes", random() % 9}, {"notes", {{"a", {1, 2, 3}}}}};
    body["idempotent"] = random() % 2 == 0;
    body["idempotency_key"] = "key-" + std::to_string(random());
  }
  return body;
}

template <class T>
void CheckError(const Result<T>& result, const std::string& input) {
  if (IsOk(result)) return;
  const Error& error = ErrorOf(result);
  BOOST_TEST(!(error.field.empty() && error.message.empty()), "no message for " << input);
  BOOST_TEST((GetErrorInfo(error.kind).outcome == Outcome::kNotRun), "may have run: " << input);
}

/// Feeds a stream in random pieces.
/// @return the data of its events, or nullopt when the parser failed
std::optional<std::vector<std::string>> FeedInPieces(Random& random, std::string_view stream) {
  std::vector<std::string> events;
  SseParser parser([&](const std::string& data) { events.push_back(data); });
  while (!stream.empty()) {
    const std::size_t size = std::min(stream.size(), 1 + RandomIndex(random, 40));
    if (!parser.Feed(stream.substr(0, size))) return std::nullopt;
    stream.remove_prefix(size);
  }
  return events;
}

}  // namespace

// Guards against bodies that crash the parser, are refused without a reason, or are accepted with
// values out of range.
BOOST_AUTO_TEST_CASE(SubmissionsSurviveMutation) {
  const ClusterConfig config = MakeConfig();
  Random random(kSeed);
  int accepted = 0;
  for (int i = 0; i < kIterations; ++i) {
    const std::string valid = MakeValidSubmission(random).dump();
    BOOST_REQUIRE_MESSAGE(IsOk(ParseSubmission(valid, config)), "refused: " << valid);
    const std::string input = Mutate(random, valid);
    const auto result = ParseSubmission(input, config);
    CheckError(result, input);
    if (!IsOk(result)) continue;
    ++accepted;
    const auto& submission = std::get<Submission>(result);
    BOOST_TEST(submission.deadline.count() >= 1);
    BOOST_TEST((submission.deadline <= kMaxDeadline));
    BOOST_TEST((submission.is_idempotent || !submission.idempotency_key.empty()));
    BOOST_TEST(config.HasPool(submission.pool));
  }
  BOOST_TEST(accepted > 0);
}

// Guards against accepting an id that does not parse again after it is formatted, since two texts
// could then name the same request.
BOOST_AUTO_TEST_CASE(RequestIdsSurviveMutation) {
  Random random(kSeed);
  for (int i = 0; i < kIterations; ++i) {
    const Ticket ticket{InstanceId("i" + std::to_string(random() % 400)),
                        Incarnation((std::uint64_t{random()} << 32U) + random()), random()};
    const std::string valid = ticket.Text() + ".n" + std::to_string(random());
    BOOST_REQUIRE_MESSAGE(IsOk(ParseRequestId(valid)), "refused: " << valid);
    const std::string input = Mutate(random, valid);
    const auto result = ParseRequestId(input);
    CheckError(result, input);
    if (!IsOk(result)) continue;
    const auto& id = std::get<ParsedRequestId>(result);
    BOOST_TEST(id.nonce.size() <= 40U);
    BOOST_TEST(ParseRequestId(id.ticket.Text() + "." + id.nonce).index() == 0U);
  }
}

// Guards against tokens that are accepted after a change of any byte.
BOOST_AUTO_TEST_CASE(ResumeTokensSurviveMutation) {
  const ResumeTokenSigner token_signer({"0123456789abcdef", "an-older-key-of-tests"});
  const ResumeTokenSigner older_key_signer({"an-older-key-of-tests"});
  Random random(kSeed);
  for (int i = 0; i < kIterations; ++i) {
    const StreamLocation location{BackendId("engine" + std::to_string(random() % 99)),
                                  "stream-" + std::to_string(random())};
    const std::string valid =
        random() % 2 == 0 ? token_signer.Sign(location) : older_key_signer.Sign(location);
    const auto checked = token_signer.Verify(valid);
    BOOST_REQUIRE_MESSAGE(IsOk(checked), "refused: " << valid);
    BOOST_TEST(std::get<StreamLocation>(checked).stream_id == location.stream_id);
    const std::string input = Mutate(random, valid);
    const auto result = token_signer.Verify(input);
    CheckError(result, input);
    BOOST_TEST((input == valid || !IsOk(result)), "accepted: " << input);
  }
}

// Guards against events that depend on how the network splits the stream.
BOOST_AUTO_TEST_CASE(EventStreamsSurviveMutation) {
  Random random(kSeed);
  for (int i = 0; i < kIterations; ++i) {
    std::string stream;
    std::vector<std::string> expected;
    const std::size_t count = 1 + RandomIndex(random, 5);
    for (std::size_t event = 0; event < count; ++event) {
      expected.push_back("{\"n\":" + std::to_string(random()) + "}");
      stream += "id: " + std::to_string(event) + "\r\ndata: " + expected.back() + "\r\n\r\n";
    }
    const auto events = FeedInPieces(random, stream);
    BOOST_REQUIRE(events.has_value());
    BOOST_TEST((*events == expected), "lost events of " << stream);
    const std::string input = Mutate(random, stream);
    const auto first = FeedInPieces(random, input);
    BOOST_TEST((first == FeedInPieces(random, input)), "depends on the splits: " << input);
  }
}

// Guards against an event without end, of one line or of many, that fills the memory.
BOOST_AUTO_TEST_CASE(EndlessEventIsRefused) {
  for (const std::string line : {"x", "data: x\n"}) {
    std::string chunk;
    while (chunk.size() < 64U << 10U) chunk += line;
    SseParser parser([](const std::string&) {});
    std::size_t fed = 0;
    while (fed < 64U << 20U && parser.Feed(chunk)) fed += chunk.size();
    BOOST_TEST(fed < 32U << 20U, line);
  }
}

}  // namespace bluebellpass
