#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>

#include "kernel/http1-server.h"
#include "kernel/loop.h"
#include "platform/store.h"
#include "standins/proxy.h"

/// The client of the store behind a network that loses connections.

namespace bluebellpass::platform {
namespace {

constexpr char kEmptyList[] = R"({"items":[],"has_more":false,"current_rev":1})";
constexpr std::size_t kCallsAtOnce = 4;
constexpr Millis kTimeout{5'000};

using Page = std::optional<Result<gateway::ObjectPage>>;

struct Fixture {
  void StartList(Page& page) {
    store.List(gateway::ObjectKind::kConfig, "", gateway::ReadConsistency::kCurrent,
               [&page](Result<gateway::ObjectPage> result) { page = std::move(result); });
  }
  void AwaitResult(const Page& page) {
    const TimePoint end = std::chrono::steady_clock::now() + kTimeout;
    while (!page && std::chrono::steady_clock::now() < end) loop.RunOnce(Millis{5});
    BOOST_REQUIRE(page.has_value());
  }
  bool IsListed() {
    Page page;
    StartList(page);
    AwaitResult(page);
    return IsOk(*page);
  }

  EventLoop loop;
  Http1Server server{
      loop, {}, [](const std::shared_ptr<HttpExchange>& call) { call->Send(200, {}, kEmptyList); }};
  standin::Proxy proxy{loop, std::get<Address>(server.Listen({"127.0.0.1", 0}))};
  PlatformStore store{loop, std::get<Address>(proxy.Listen({"127.0.0.1", 0}))};
};

}  // namespace

// Guards against calls that time out one after the other, each on another connection that the
// network has lost.
BOOST_FIXTURE_TEST_CASE(LostConnectionsCostOneCall, Fixture) {
  std::array<Page, kCallsAtOnce> pages;
  for (Page& page : pages) StartList(page);
  for (const Page& page : pages) AwaitResult(page);
  BOOST_REQUIRE(proxy.ConnectionCount() == kCallsAtOnce);
  proxy.SetMode(standin::ProxyMode::kSilentExisting);
  BOOST_TEST(!IsListed());
  BOOST_TEST(IsListed());
}

}  // namespace bluebellpass::platform
