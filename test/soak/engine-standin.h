#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kernel/http1-server.h"
#include "kernel/loop.h"

namespace bluebellpass::test {

/// A run that an engine has started.
struct SoakRun {
  std::string request_id;
  std::string engine;
  std::string organisation;
  std::string key;  ///< API key; must be empty, since gateways do not forward keys
  std::string target;
  TimePoint started;
  std::string last_event_id;  ///< after which the stream goes on; empty if it begins
};

/// Stand-in for the platform's backend servers, which serve calls and event streams.
class EngineStandin {
 public:
  EngineStandin(EventLoop& loop, std::string id, int slots,
                std::function<void(const SoakRun&)> on_run);

  Address Listen() { return std::get<Address>(m_server->Listen({"127.0.0.1", 0})); }
  const std::string& Id() const { return m_id; }
  /// Simulates a crash and restart: aborts the running requests and changes the id. The address
  /// stays the same.
  void Restart(std::string id);
  /// Sets the response time of subsequent calls that are not streams.
  void SetResponseDelay(Millis delay) { m_response_delay = delay; }
  /// Sets the percentage of requests that fail after they have started to run.
  void SetFailurePercent(int percent) { m_failure_percent = percent; }

  /// @return the response body of a call that is not a stream
  static std::string ResponseBodyOf(const std::string& request_id) {
    return "answer to " + request_id;
  }
  /// @return number of events in the response stream of a request
  static int EventCountOf(const std::string& request_id);
  static std::string EventText(const std::string& request_id, int number);
  static std::string SignatureOf(const std::string& engine, const std::string& request_id) {
    return engine + "." + request_id;
  }

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  void SendEvents(const std::shared_ptr<HttpExchange>& exchange, const std::string& request_id,
                  int number);

  EventLoop& m_loop;
  std::string m_id;
  int m_slots;
  std::function<void(const SoakRun&)> m_on_run;
  std::unique_ptr<Http1Server> m_server;
  std::set<std::shared_ptr<HttpExchange>> m_open_exchanges;
  int m_failure_percent = 0;
  Millis m_response_delay{25};
  std::uint64_t m_run_count = 0;
};

}  // namespace bluebellpass::test
