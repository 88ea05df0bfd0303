#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "gateway-process.h"
#include "platform/names.h"
#include "raw-server.h"
#include "soak/engine-standin.h"
#include "soak/store-standin.h"

/// Memory of a gateway process while a backend server sends without end to many callers at once.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr char kHost[] = "memory.test";
constexpr Millis kStartTimeout{10'000};
constexpr Millis kPlayTime{2'500};
constexpr std::size_t kCallers = 300;
constexpr std::size_t kChunkBytes = 64U << 10U;
// The smallest machine of the deployments. The process must fit into it with all it holds.
constexpr std::size_t kMaxMemoryBytes = 160U << 20U;
// Part of it that bytes of responses may take; see platform/settings-file.cc.
constexpr std::size_t kResponseMemoryBytes = 40U << 20U;
// Heads and buffers of the calls themselves, which are there with sound responses, too.
constexpr std::size_t kMemoryPerCall = 64U << 10U;

/// Responds to each request with the start of a response and then a pattern without end.
class EndlessServer {
 public:
  EndlessServer(EventLoop& loop, std::string start, std::string pattern)
      : m_server(loop), m_start(std::move(start)) {
    while (m_chunk.size() < kChunkBytes) m_chunk += pattern;
  }
  Address ListenAddress() const { return m_server.address; }
  void SendMore() {
    for (std::size_t i = 0; i < m_server.streams.size(); ++i) {
      const auto& stream = m_server.streams[i];
      if (!stream->IsOpen() || stream->PendingBytes() > 0 || m_server.received[i].empty()) continue;
      if (m_started.insert(i).second) stream->Write(StartFor(m_server.received[i]));
      stream->Write(m_chunk);
    }
  }
  std::size_t StartedCount() const { return m_started.size(); }

 private:
  /// @return the start of the response, with the id of the request in place of '@'
  std::string StartFor(const std::string& request) const {
    const std::string field = std::string(names::kAttempt) + ": ";
    const std::size_t begin = request.find(field) + field.size();
    const std::string id = request.substr(begin, request.find('\r', begin) - begin);
    std::string start = m_start;
    if (const auto at = start.find('@'); at != std::string::npos) start.replace(at, 1, id);
    return start;
  }

  RawServer m_server;
  std::string m_start;
  std::string m_chunk;
  std::set<std::size_t> m_started;
};

enum class Reading { kAll, kNothing };

struct Fixture : ClientFixture {
  StoreStandin store{loop, 1};
  EngineStandin engine{loop, "sound", 4, [](const SoakRun&) {}};
  GatewayProcess gateway{MakeLogFolder("gateway-memory"), "g", store.Listen()};
  int request_count = 0;

  Fixture() {
    const auto route = [](const std::string& service, const std::string& type) {
      return json{{"name", service + type},
                  {"host", kHost},
                  {"path_prefix", "/" + service + "-" + type + "/"},
                  {"type", type},
                  {"service", service},
                  {"attempts", 1},
                  {"timeout_ms", 9'000},
                  {"goal_ms", 300},
                  {"public", true}};
    };
    store.Put(names::kConfigKind, names::kConfigName,
              {{"version", 1},
               {"routes", json::array({route("sound", "mutating"), route("faulty", "mutating"),
                                       route("faulty", "stream")})},
               {"services", json::array({{{"name", "sound"}}, {{"name", "faulty"}}})}});
    store.Put(
        names::kBackendKind, "sound",
        {{"service", "sound"}, {"addr", engine.Listen().Text()}, {"slots", 4}, {"state", "ready"}});
    gateway.Start();
    BOOST_REQUIRE(RunUntil([&] { return AskSound() == 200; }, kStartTimeout));
  }

  std::vector<HttpField> Fields() {
    return {{"Host", kHost}, {names::kAttempt, "q" + std::to_string(++request_count)}};
  }
  int AskSound() { return Get(gateway.front, "/sound-mutating/x", Fields())->Status(); }

  /// Plays a faulty server and checks the memory of the gateway, and that it serves other callers.
  void Play(const std::string& start, const std::string& pattern, const std::string& type,
            std::size_t callers, Reading reading) {
    EndlessServer faulty(loop, start, pattern);
    store.Put(names::kBackendKind, "faulty",
              {{"service", "faulty"},
               {"addr", faulty.ListenAddress().Text()},
               {"slots", kCallers},
               {"state", "ready"}});
    RunFor(Millis{300});
    const std::size_t before = gateway.MemoryBytes();
    std::vector<std::unique_ptr<PooledCall>> calls;
    PooledCallHandlers handlers;
    handlers.on_head = [](const HttpHead&) { return true; };
    for (std::size_t i = 0; i < callers; ++i) {
      calls.push_back(pool.StartCall(gateway.front,
                                     SerializeRequest("GET", "/faulty-" + type + "/x", Fields()),
                                     handlers, true));
      if (reading == Reading::kNothing) calls.back()->SetPaused(true);
    }
    std::size_t most = 0;
    std::unique_ptr<PendingCall> sound;
    std::size_t sound_count = 0;
    RunUntil(
        [&] {
          faulty.SendMore();
          most = std::max(most, gateway.MemoryBytes());
          if (!sound) sound = Send(gateway.front, "GET", "/sound-mutating/x", Fields());
          if (sound->result.has_value()) {
            BOOST_TEST(sound->Status() == 200);
            sound.reset();
            ++sound_count;
          }
          return false;
        },
        kPlayTime);
    BOOST_TEST(faulty.StartedCount() > 0U);
    BOOST_TEST(sound_count > 0U);
    BOOST_TEST(most < kMaxMemoryBytes);
    BOOST_TEST(most < before + kResponseMemoryBytes + callers * kMemoryPerCall);
    calls.clear();
    BOOST_TEST(RunUntil([&] { return AskSound() == 200; }, Millis{5'000}));
    BOOST_TEST(!gateway.process.HasExited(nullptr));
  }
};

const std::string kHead = "HTTP/1.1 200 OK\r\nRequest-Id: @\r\n";
const std::string kSignedHead = kHead + "Instance-Seal: s\r\n";

}  // namespace

// Guards against a body without end that fills the memory though its caller takes all of it.
BOOST_FIXTURE_TEST_CASE(EndlessSignedBodyOfOneCaller, Fixture) {
  Play(kSignedHead + "\r\n", "x", "mutating", 1, Reading::kAll);
}

// Guards against many callers that do not take the responses they are sent.
BOOST_FIXTURE_TEST_CASE(EndlessSignedBodiesOfSlowCallers, Fixture) {
  Play(kSignedHead + "\r\n", "x", "mutating", kCallers, Reading::kNothing);
}

BOOST_FIXTURE_TEST_CASE(EndlessSignedBodiesOfManyCallers, Fixture) {
  Play(kSignedHead + "\r\n", "x", "mutating", kCallers, Reading::kAll);
}

// Guards against bodies that are kept though they can never be passed on.
BOOST_FIXTURE_TEST_CASE(EndlessUnsignedBodies, Fixture) {
  Play(kHead + "\r\n", "x", "mutating", kCallers, Reading::kAll);
}

// Guards against errors without end, which are kept until their request may be repeated or not.
BOOST_FIXTURE_TEST_CASE(EndlessErrors, Fixture) {
  Play("HTTP/1.1 500 Error\r\nRequest-Id: @\r\n\r\n", "x", "mutating", kCallers, Reading::kAll);
}

// Guards against events without end, which are kept until they are complete.
BOOST_FIXTURE_TEST_CASE(EndlessEvents, Fixture) {
  Play(kSignedHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x", "stream",
       kCallers, Reading::kAll);
}

// Guards against streams of complete events that their callers do not read.
BOOST_FIXTURE_TEST_CASE(EndlessStreamsOfSlowCallers, Fixture) {
  Play(kSignedHead + "Content-Type: text/event-stream\r\n\r\n", "id: 1\ndata: x\n\n", "stream",
       kCallers, Reading::kNothing);
}

// Guards against heads without end, of one field and of many.
BOOST_FIXTURE_TEST_CASE(EndlessHeads, Fixture) {
  Play(kHead + "X-Field: ", "x", "mutating", kCallers, Reading::kAll);
  Play(kHead, "a:b\r\n", "mutating", kCallers, Reading::kAll);
}

// Guards against chunk sizes and trailers without end.
BOOST_FIXTURE_TEST_CASE(EndlessChunkHeadsAndTrailers, Fixture) {
  const std::string chunked = kSignedHead + "Transfer-Encoding: chunked\r\n\r\n";
  Play(chunked + "4;name=", "x", "mutating", kCallers, Reading::kAll);
  Play(chunked + "4\r\ndone\r\n0\r\n", "a:b\r\n", "mutating", kCallers, Reading::kAll);
}

// Guards against responses to other requests, which are skipped.
BOOST_FIXTURE_TEST_CASE(EndlessForeignResponses, Fixture) {
  Play("", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 4\r\n\r\nnone", "mutating",
       kCallers, Reading::kAll);
}

}  // namespace bluebellpass::test
