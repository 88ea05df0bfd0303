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

/// One begun run, as the checker needs it.
struct SoakRun {
  std::string request;
  std::string engine;
  std::string organisation;
  std::string key;  ///< must be empty: keys are never passed on
  std::string target;
  TimePoint began;
};

/// Stand-in of the platform's engines: answers bookings, lookups and event streams.
class EngineStandin {
 public:
  EngineStandin(EventLoop& loop, std::string id, int slots,
                std::function<void(const SoakRun&)> on_run);

  Address Listen() { return std::get<Address>(m_server->Listen({"127.0.0.1", 0})); }
  const std::string& Id() const { return m_id; }
  /// Begins anew under another id on the same address, as after a crash; what runs is broken off.
  void Restart(std::string id);
  /// Sets how long requests that are no streams take from now on.
  void SetWork(Millis work) { m_work = work; }
  /// Fails this part of all requests after it has begun to run them, in percent.
  void SetFailures(int percent) { m_failures = percent; }

  /// @return the answer to a request that is no stream
  static std::string AnswerTo(const std::string& request) { return "answer to " + request; }
  /// @return number of events in the stream that answers a request
  static int EventsOf(const std::string& request);
  static std::string EventText(const std::string& request, int number);
  static std::string SealOf(const std::string& engine, const std::string& request) {
    return engine + "." + request;
  }

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  void Stream(const std::shared_ptr<HttpExchange>& exchange, const std::string& request,
              int number);

  EventLoop& m_loop;
  std::string m_id;
  int m_slots;
  std::function<void(const SoakRun&)> m_on_run;
  std::unique_ptr<Http1Server> m_server;
  std::set<std::shared_ptr<HttpExchange>> m_open;
  int m_failures = 0;
  Millis m_work{25};
  std::uint64_t m_counter = 0;
};

}  // namespace bluebellpass::test
