#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "standin.h"

namespace bluebellpass::standin {

struct ServiceOptions {
  Millis delay{20};        ///< duration of a call
  std::size_t slots = 16;  ///< maximum concurrent calls; others wait
};

/// @return the confirmation text in a call's response
std::string ExpectedConfirmation(const std::string& body, const std::string& key);

/// Stand-in for a plain service whose calls are not idempotent: it executes and records repeated
/// calls with the same key again.
class Service {
 public:
  Service(EventLoop& loop, ServiceOptions options);

  /// @return the bound address, or kInternal
  Result<Address> Listen(const Address& address) { return m_server.Listen(address); }

  void SetSlowdown(double factor) { m_slowdown = factor; }
  /// While set, calls are rejected with 503 and not executed.
  void SetReject(bool is_rejecting) { m_is_rejecting = is_rejecting; }

  /// @return all executions, in the format of GET /control/executions
  Json Executions() const;

 private:
  struct Execution {
    std::string request_id;
    std::string key;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0;
  };
  struct Call {
    std::string request_id;
    std::string key;
    std::string body;
    ResponderPtr responder;
  };

  void Handle(const HttpRequest& request, const ResponderPtr& responder);
  void StartWaitingCalls();
  void FinishCall(const Call& call, std::size_t execution_index, std::int64_t execution_count);

  ServiceOptions m_options;
  double m_slowdown = 1;
  bool m_is_rejecting = false;
  std::size_t m_running = 0;
  std::deque<Call> m_waiting;
  std::vector<Execution> m_executions;
  std::map<std::string, std::int64_t> m_execution_counts;
  Server m_server;
};

}  // namespace bluebellpass::standin
