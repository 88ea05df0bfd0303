#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "client-crowd.h"
#include "gateway-process.h"
#include "platform/names.h"
#include "soak/engine-standin.h"
#include "soak/store-standin.h"

/// A gateway process beside clients that exceed the limits: it must live, stay within the memory
/// and the descriptors that its settings state, and still answer an ordinary request.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr char kHost[] = "crowd.test";
constexpr Millis kStartTimeout{20'000};
constexpr Millis kAnswerTimeout{20'000};
// The crowd sends until everything is taken, or for this long if the process reads no more.
constexpr Millis kPlayTime{6'000};
// The process may still read what is in the buffers of the system then.
constexpr Millis kSettleTime{500};
// Limits of the process, in its settings and in the configuration.
constexpr std::size_t kMemoryMegabytes = 48;
constexpr std::size_t kMaxDescriptors = 300;
constexpr std::size_t kMaxBodyBytes = 1U << 20U;
constexpr std::size_t kMaxHeaderBytes = 16'384;
// Connections of the crowds. Their bodies together take more than the memory.
constexpr std::size_t kBodyClients = 100;
constexpr std::size_t kIdleClients = 400;
constexpr std::size_t kChunkBytes = 64U << 10U;
constexpr std::size_t kBytesOverLimit = 16U << 20U;

std::string Head(const std::string& framing, const std::string& attempt = "crowd") {
  return "POST /sound-mutating/x HTTP/1.1\r\nHost: " + std::string(kHost) + "\r\n" +
         names::kAttempt + ": " + attempt + "\r\n" + framing + "\r\n\r\n";
}

std::string Chunk(std::size_t bytes) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
  return size + std::string(bytes, 'x') + "\r\n";
}

/// Limits of the process, in its settings and in the configuration.
struct FixtureLimits {
  std::size_t memory_megabytes = kMemoryMegabytes;
  std::size_t max_descriptors = kMaxDescriptors;
  std::size_t max_body_bytes = kMaxBodyBytes;
};

/// A request that has been sent, and its response.
struct Caller {
  std::shared_ptr<void> call;
  int status = 0;
  bool is_done = false;
};

struct Fixture : ClientFixture {
  StoreStandin store{loop, 1};
  EngineStandin engine{loop, "sound", 4, [](const SoakRun&) {}};
  GatewayProcess gateway{MakeLogFolder("untrusted-clients"), "g", store.Listen()};
  int request_count = 0;

  explicit Fixture(const FixtureLimits& limits = {}) {
    std::ofstream(gateway.settings_path, std::ios::app)
        << "limits:\n  ram_mb: " << limits.memory_megabytes
        << "\n  max_fds: " << limits.max_descriptors << "\n";
    store.Put(names::kConfigKind, names::kConfigName,
              {{"version", 1},
               {"limits",
                {{"max_header_bytes", kMaxHeaderBytes},
                 {"max_body_bytes", limits.max_body_bytes},
                 {"header_timeout_ms", 3'000},
                 {"idle_timeout_ms", 15'000}}},
               {"routes", json::array({{{"name", "r"},
                                        {"host", kHost},
                                        {"path_prefix", "/sound-mutating/"},
                                        {"type", "mutating"},
                                        {"service", "sound"},
                                        {"attempts", 1},
                                        {"timeout_ms", 9'000},
                                        {"goal_ms", 300},
                                        {"public", true}}})},
               {"services", json::array({{{"name", "sound"}}})}});
    store.Put(
        names::kBackendKind, "sound",
        {{"service", "sound"}, {"addr", engine.Listen().Text()}, {"slots", 4}, {"state", "ready"}});
    gateway.Start();
    BOOST_REQUIRE(RunUntil([&] { return Ask(Millis{1'000}) == 200; }, kStartTimeout));
  }

  /// Sends an ordinary request on a connection of its own.
  int Ask(Millis timeout) {
    HttpConnectionPool fresh_pool(loop, ConnectionPoolOptions{});
    std::optional<PooledCallResult> result;
    int status = 0;
    PooledCallHandlers handlers;
    handlers.on_head = [&](const HttpHead& head) {
      status = head.status;
      return true;
    };
    handlers.on_end = [&](PooledCallResult end) { result = end; };
    const auto call = fresh_pool.StartCall(
        gateway.front,
        SerializeRequest(
            "GET", "/sound-mutating/x",
            {{"Host", kHost}, {names::kAttempt, "q" + std::to_string(++request_count)}}),
        std::move(handlers), true);
    RunUntil([&] { return result.has_value(); }, timeout);
    return result == PooledCallResult::kComplete ? status : 0;
  }

  /// Lets a crowd send, and checks the process while the crowd stays connected.
  void Play(std::size_t clients, CrowdRequest request) {
    ClientCrowd crowd(loop, gateway.front, clients, std::move(request));
    const int pid = gateway.process.Pid();
    std::size_t most_bytes = 0;
    std::size_t most_descriptors = 0;
    const auto observe = [&] {
      crowd.SendMore();
      most_bytes = std::max(most_bytes, ResidentBytes(pid));
      most_descriptors = std::max(most_descriptors, OpenDescriptors(pid));
      return crowd.IsDone();
    };
    RunUntil(observe, kPlayTime);
    RunUntil([&] { return observe() && false; }, kSettleTime);
    BOOST_TEST_MESSAGE("peak of resident memory " << (most_bytes >> 20U) << " MB, "
                                                  << most_descriptors << " descriptors");
    BOOST_TEST(most_bytes < kMemoryMegabytes << 20U);
    BOOST_TEST(most_descriptors < kMaxDescriptors);
    BOOST_TEST(Ask(kAnswerTimeout) == 200);
    BOOST_TEST(!gateway.process.HasExited(nullptr));
  }
};

}  // namespace

// Guards against chunked bodies that stop short of their end, each inside the limit.
BOOST_FIXTURE_TEST_CASE(LargeChunksStopShortOfTheEnd, Fixture) {
  Play(kBodyClients, {Head("Transfer-Encoding: chunked"), Chunk(kChunkBytes),
                      (kMaxBodyBytes - kChunkBytes) / kChunkBytes});
}

// Guards against bodies of an announced length that lack their last byte.
BOOST_FIXTURE_TEST_CASE(AnnouncedBodiesLackOneByte, Fixture) {
  Play(kBodyClients, {Head("Content-Length: " + std::to_string(kMaxBodyBytes)),
                      std::string(kMaxBodyBytes - 1, 'x'), 1});
}

// Guards against reading bodies on that are announced as far too large.
BOOST_FIXTURE_TEST_CASE(AnnouncedBodiesOverTheLimit, Fixture) {
  Play(kBodyClients, {Head("Content-Length: 900000000"), std::string(kChunkBytes, 'x'),
                      kBytesOverLimit / kChunkBytes});
}

// Guards against reading chunked bodies on beyond the limit.
BOOST_FIXTURE_TEST_CASE(ChunkedBodiesWithoutEnd, Fixture) {
  Play(kBodyClients,
       {Head("Transfer-Encoding: chunked"), Chunk(kChunkBytes), kBytesOverLimit / kChunkBytes});
}

// Guards against chunks whose framing takes more memory than their bytes.
BOOST_FIXTURE_TEST_CASE(ChunksOfOneByte, Fixture) {
  Play(kBodyClients, {Head("Transfer-Encoding: chunked"), Chunk(1), 200'000});
}

// Guards against chunk lines, trailers and heads without end.
BOOST_FIXTURE_TEST_CASE(FramingWithoutEnd, Fixture) {
  const std::string block(kChunkBytes, 'x');
  const std::size_t blocks = kBytesOverLimit / kChunkBytes;
  Play(kBodyClients, {Head("Transfer-Encoding: chunked") + "4;name=", block, blocks});
  Play(kBodyClients, {Head("Transfer-Encoding: chunked") + "0\r\nField: ", block, blocks});
  Play(kBodyClients, {"GET / HTTP/1.1\r\nField: ", block, blocks});
}

// Guards against idle connections, and unfinished heads, that take all descriptors.
BOOST_FIXTURE_TEST_CASE(IdleConnections, Fixture) {
  Play(kIdleClients, {});
  Play(kIdleClients, {"GET / HTTP/1.1\r\nHost: ", "", 0});
}

// Guards against refusing several of the largest requests allowed at once on the smallest machine.
BOOST_AUTO_TEST_CASE(LargestRequestsAtOnceAreAnswered) {
  constexpr std::size_t largest_body_bytes = 4U << 20U;
  constexpr std::size_t caller_count = 5;
  Fixture fixture({160, 4'100, largest_body_bytes});
  HttpConnectionPool pool(fixture.loop, ConnectionPoolOptions{});
  const auto send = [&](const std::string& head, const std::string& body) {
    auto caller = std::make_shared<Caller>();
    PooledCallHandlers handlers;
    handlers.on_head = [caller](const HttpHead& response) {
      caller->status = response.status;
      return true;
    };
    handlers.on_end = [caller](PooledCallResult) { caller->is_done = true; };
    caller->call = pool.StartCall(fixture.gateway.front, head + body, std::move(handlers), true);
    return caller;
  };
  const std::string body(largest_body_bytes, 'x');
  std::vector<std::shared_ptr<Caller>> callers;
  for (std::size_t i = 0; i < caller_count; ++i)
    callers.push_back(send(
        Head("Content-Length: " + std::to_string(body.size()), "a" + std::to_string(i)), body));
  const auto is_done = [](const auto& caller) { return caller->is_done; };
  BOOST_TEST(fixture.RunUntil([&] { return std::all_of(callers.begin(), callers.end(), is_done); },
                              kAnswerTimeout));
  for (const auto& caller : callers) BOOST_TEST(caller->status == 200);
  const auto refused =
      send(Head("Content-Length: " + std::to_string(largest_body_bytes + 1), "refused"), "");
  BOOST_TEST(fixture.RunUntil([&] { return refused->is_done; }, kAnswerTimeout));
  BOOST_TEST(refused->status == 413);
}

}  // namespace bluebellpass::test
