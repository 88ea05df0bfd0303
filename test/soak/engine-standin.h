#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
  std::string version;        ///< of the engine's software
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
  /// Sets the software version, which the events of subsequent streams state.
  void SetVersion(std::string version) { m_version = std::move(version); }
  const std::string& Version() const { return m_version; }
  /// Sets the response time of subsequent calls that are not streams.
  void SetResponseDelay(Millis delay) { m_response_delay = delay; }
  /// Has the engine fall over when it turns away more requests in a second, and say so in its
  /// responses. It is back after kDownTime, with no runs.
  void SetBrittle(std::optional<int> rejections_per_s) { m_brittle = rejections_per_s; }
  /// Whether runs go on when their connections close.
  void SetKeepsRuns(bool keeps_runs) { m_keeps_runs = keeps_runs; }
  void SetSlots(int slots) { m_slots = slots; }
  int FallCount() const { return m_fall_count; }
  std::uint64_t RejectionCount() const { return m_rejection_count; }

  static constexpr Millis kDownTime{2'000};

  /// Sets the percentage of requests that fail after they have started to run.
  void SetFailurePercent(int percent) { m_failure_percent = percent; }

  /// @return the response body of a call that is not a stream
  static std::string ResponseBodyOf(const std::string& request_id) {
    return "answer to " + request_id;
  }
  /// @return the target of a request for a stream that may take several attempts
  static std::string TargetOf(const std::string& path, const std::string& stream_id);
  /// @param stream_id the id in the target, or the id of the request without one
  /// @return number of events in a response stream
  static int EventCountOf(const std::string& stream_id);
  static std::string EventText(const std::string& stream_id, int number,
                               const std::string& version = "");
  static std::string SignatureOf(const std::string& engine, const std::string& request_id) {
    return engine + "." + request_id;
  }

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  /// Turns a request away for want of room.
  void Reject(const std::shared_ptr<HttpExchange>& exchange, const std::string& request_id);
  /// @return the fields with those that each response has
  std::vector<HttpField> WithNotices(std::vector<HttpField> fields) const;
  bool HasEnded(const std::shared_ptr<HttpExchange>& exchange) const {
    return !exchange->IsOpen() && !m_keeps_runs;
  }
  void SendEvents(const std::shared_ptr<HttpExchange>& exchange, const std::string& stream_id,
                  const std::string& version, int number);

  EventLoop& m_loop;
  std::string m_id;
  std::string m_version;
  int m_slots;
  std::function<void(const SoakRun&)> m_on_run;
  std::unique_ptr<Http1Server> m_server;
  std::set<std::shared_ptr<HttpExchange>> m_open_exchanges;
  int m_failure_percent = 0;
  Millis m_response_delay{25};
  std::uint64_t m_run_count = 0;
  std::optional<int> m_brittle;
  bool m_keeps_runs = false;
  std::deque<TimePoint> m_rejections;  ///< of the last second
  std::uint64_t m_rejection_count = 0;
  int m_fall_count = 0;
  TimePoint m_down_until{};
};

}  // namespace bluebellpass::test
