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
  std::size_t slots = 16;  ///< calls that run at a time; others wait
};

/// @return the confirmation text that a call is answered with
std::string ExpectedConfirmation(const std::string& body, const std::string& key);

/// Stand-in for a plain service whose calls may not be repeated: it never de-duplicates, and
/// records each execution.
class Service {
 public:
  Service(EventLoop& loop, ServiceOptions options);

  /// @return the address in use, or kInternal
  Result<Address> Listen(const Address& address) { return m_server.Listen(address); }

  void SetSlowdown(double factor) { m_slowdown = factor; }
  /// While set, calls are refused with 503 and not executed.
  void SetReject(bool is_rejecting) { m_is_rejecting = is_rejecting; }

  /// @return all executions as GET /control/executions answers them
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
  void StartWaiting();
  void Finish(const Call& call, std::size_t execution, std::int64_t count);

  ServiceOptions m_options;
  double m_slowdown = 1;
  bool m_is_rejecting = false;
  std::size_t m_running = 0;
  std::deque<Call> m_waiting;
  std::vector<Execution> m_executions;
  std::map<std::string, std::int64_t> m_counts;
  Server m_server;
};

}  // namespace bluebellpass::standin
