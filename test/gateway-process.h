#pragma once

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>

#include "cluster/process.h"
#include "kernel/http1-pool.h"
#include "kernel/loop.h"
#include "platform/names.h"

/// Gateway processes for tests, and calls to them.

namespace bluebellpass::test {

constexpr Millis kGatewayStartTimeout{10'000};

/// A response that may still arrive.
struct PendingCall {
  std::unique_ptr<PooledCall> call;
  HttpHead head;
  std::string body;
  std::optional<PooledCallResult> result;

  /// @return the status of a complete response, else 0
  int Status() const { return result == PooledCallResult::kComplete ? head.status : 0; }
};

/// A gateway process with a settings file and a log of its own.
struct GatewayProcess {
  /// @param bounds further lines of the map `bounds`, indented by two spaces
  /// @param contracts parts of the platform's rules in force, separated by commas
  GatewayProcess(const std::string& folder, const std::string& id, const Address& store,
                 const std::string& bounds = "", const std::string& contracts = "")
      : name(id), settings_path(folder + "/" + id + ".yaml"), log_path(folder + "/" + id + ".log") {
    std::ofstream(settings_path) << "node: " << id
                                 << "\nip: 127.0.0.1\nlisten:\n  front: " << front.Text()
                                 << "\n  ready: " << ready.Text()
                                 << "\n  directory: " << directory.Text() << "\nport_range: ["
                                 << peer_port << ", " << metrics.port
                                 << "]\nbounds:\n  grace_s: 8\n  retry_ratio: 1\n  retry_slack: "
                                    "50\n"
                                 << bounds << "contracts: [" << contracts
                                 << "]\nplatform:\n  addr: " << store.Text() << "\n";
  }
  void Start() {
    process = Process({std::string(BLUEBELLPASS_BINARY_DIR) + "/bluebellpass", "gateway",
                       "--settings", settings_path},
                      log_path);
  }
  std::string Log() const {
    std::ostringstream text;
    text << std::ifstream(log_path).rdbuf();
    return text.str();
  }
  /// @return resident memory of the process
  std::size_t MemoryBytes() const {
    std::ifstream status("/proc/" + std::to_string(process.Pid()) + "/status");
    for (std::string word; status >> word;) {
      std::size_t kilobytes = 0;
      if (word == "VmRSS:" && status >> kilobytes) return kilobytes << 10U;
    }
    return 0;
  }

  std::string name;
  std::string settings_path;
  std::string log_path;
  Address front{"127.0.0.1", FindFreePort()};
  Address ready{"127.0.0.1", FindFreePort()};
  Address directory{"127.0.0.1", FindFreePort()};
  std::uint16_t peer_port = FindFreePort();
  Address metrics{"127.0.0.1", FindFreePort()};
  Process process;
};

/// An event loop with a client.
struct ClientFixture {
  EventLoop loop;
  HttpConnectionPool pool{loop, ConnectionPoolOptions{}};

  template <class Condition>
  bool RunUntil(Condition condition, Millis timeout) {
    const TimePoint end = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < end) loop.RunOnce(Millis{5});
    return condition();
  }
  void RunFor(Millis duration) {
    RunUntil([] { return false; }, duration);
  }
  /// Starts a gateway and waits until it is ready.
  void StartGateway(GatewayProcess& gateway) {
    gateway.Start();
    BOOST_REQUIRE(
        RunUntil([&] { return Get(gateway.ready, platform::names::kReadyPath)->Status() == 200; },
                 kGatewayStartTimeout));
  }
  std::unique_ptr<PendingCall> Send(const Address& address, const std::string& method,
                                    const std::string& target, std::vector<HttpField> fields,
                                    bool use_new_connection = true) {
    auto pending = std::make_unique<PendingCall>();
    PendingCall& state = *pending;
    PooledCallHandlers handlers;
    handlers.on_head = [&state](const HttpHead& head) {
      state.head = head;
      return true;
    };
    handlers.on_body = [&state](std::string_view bytes) { state.body.append(bytes); };
    handlers.on_end = [&state](PooledCallResult end) { state.result = end; };
    state.call = pool.StartCall(address, SerializeRequest(method, target, fields),
                                std::move(handlers), use_new_connection);
    return pending;
  }
  std::unique_ptr<PendingCall> Get(const Address& address, const std::string& target,
                                   std::vector<HttpField> fields = {{"Host", "h"}}) {
    auto pending = Send(address, "GET", target, std::move(fields));
    RunUntil([&] { return pending->result.has_value(); }, Millis{5'000});
    return pending;
  }
};

}  // namespace bluebellpass::test
