#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "client-crowd.h"
#include "cluster/cluster.h"
#include "cluster/raw-caller.h"
#include "http2-crowd.h"

/// An entry daemon (serve) beside callers that exceed its limits, over HTTP/1.1 and HTTP/2.

namespace bluebellpass {
namespace {

using test::ClientCrowd;
using test::CrowdRequest;
using test::EngineBody;
using test::Http2Crowd;

constexpr std::size_t kMaxBodyBytes = 1U << 20U;
constexpr Millis kPlayTime{6'000};
constexpr Millis kSettleTime{500};
// The same limit as in http-limits-test: an idle daemon, 500 connections and one parsed body.
constexpr std::size_t kMaxMemoryBytes = (24U + 32U + 40U) << 20U;
// Bodies of the crowd, which together take more than the limit.
constexpr std::size_t kClients = 150;
constexpr std::size_t kHttp2Connections = 15;
constexpr std::size_t kHttp2Streams = 10;
constexpr std::size_t kChunkBytes = 64U << 10U;

test::ClusterOptions MakeOptions() {
  test::ClusterOptions options;
  options.instances = 1;
  options.backends = {{.prefix = "engine", .kind = "engine", .pool = "assistant", .flags = {}}};
  options.daemon_flags = {"--max-body-bytes", std::to_string(kMaxBodyBytes)};
  return options;
}

struct Fixture {
  test::Cluster cluster{MakeOptions()};
  Address address = cluster.CallerAddress(0);
  EventLoop loop;

  template <class Crowd>
  void Play(Crowd& crowd) {
    const int pid = cluster.Daemon(0).Pid();
    std::size_t most_bytes = 0;
    const auto play_until = [&](Millis duration, bool ends_when_done) {
      const TimePoint end = std::chrono::steady_clock::now() + duration;
      while (std::chrono::steady_clock::now() < end && !(ends_when_done && crowd.IsDone())) {
        crowd.SendMore();
        loop.RunOnce(Millis{5});
        most_bytes = std::max(most_bytes, test::ResidentBytes(pid));
      }
    };
    play_until(kPlayTime, true);
    play_until(kSettleTime, false);
    BOOST_TEST_MESSAGE("peak of resident memory " << (most_bytes >> 20U) << " MB");
    BOOST_TEST(most_bytes < kMaxMemoryBytes);
    const auto response = cluster.Submit(0, EngineBody("still there"));
    BOOST_TEST(cluster.RunUntil([&] { return response->is_done; }));
    BOOST_TEST(response->outcome == "completed");
    BOOST_TEST(cluster.Daemon(0).IsRunning());
  }
  static std::string Head(const std::string& framing) {
    return "POST /v1/requests HTTP/1.1\r\nHost: crowd\r\n" + framing + "\r\n\r\n";
  }
};

}  // namespace

// Guards against chunked bodies that stop short of their end, each inside the limit.
BOOST_FIXTURE_TEST_CASE(LargeChunksStopShortOfTheEnd, Fixture) {
  const std::string chunk = "10000\r\n" + std::string(kChunkBytes, 'x') + "\r\n";
  ClientCrowd crowd(
      loop, address, kClients,
      {Head("Transfer-Encoding: chunked"), chunk, (kMaxBodyBytes - kChunkBytes) / kChunkBytes});
  Play(crowd);
}

// Guards against bodies of an announced length that lack their last byte.
BOOST_FIXTURE_TEST_CASE(AnnouncedBodiesLackOneByte, Fixture) {
  ClientCrowd crowd(loop, address, kClients,
                    {Head("Content-Length: " + std::to_string(kMaxBodyBytes)),
                     std::string(kMaxBodyBytes - 1, 'x'), 1});
  Play(crowd);
}

// Guards against unfinished bodies on many streams of few connections.
BOOST_FIXTURE_TEST_CASE(Http2BodiesWithoutEnd, Fixture) {
  Http2Crowd crowd(loop, address, kHttp2Connections, kHttp2Streams, kMaxBodyBytes - 1);
  Play(crowd);
}

}  // namespace bluebellpass
