#include "service.h"

#include <cmath>

namespace bluebellpass::standin {

std::string ExpectedConfirmation(const std::string& body, const std::string& key) {
  return "confirmed-" + ToHex(StableHash(body, StableHash(key)));
}

Service::Service(EventLoop& loop, ServiceOptions options)
    : m_options(options), m_server(loop, [this](HttpRequest request, ResponderPtr responder) {
        Handle(request, responder);
      }) {}

Json Service::Executions() const {
  Json executions = Json::array();
  for (const Execution& execution : m_executions) {
    executions.push_back({{"request_id", execution.request_id},
                          {"key", execution.key},
                          {"started_ms", execution.started_ms},
                          {"ended_ms", execution.ended_ms}});
  }
  return executions;
}

void Service::Handle(const HttpRequest& request, const ResponderPtr& responder) {
  if (request.path == "/control/executions") return SendJson(*responder, 200, Executions());
  if (request.method == "POST" && request.path == "/control") {
    const Json body = Json::parse(request.body);
    m_slowdown = body.value("slowdown", m_slowdown);
    m_is_rejecting = body.value("reject", m_is_rejecting);
    return SendJson(*responder, 200, Json::object());
  }
  if (request.method != "POST" || request.path != "/v1/calls") {
    return SendJson(*responder, 404, {{"error", "no such path"}});
  }
  if (m_is_rejecting) return SendJson(*responder, 503, {{"error", "rejecting"}});
  if (!Json::accept(request.body)) return SendJson(*responder, 400, {{"error", "not JSON"}});
  m_waiting.push_back(
      {request.Header("x-request-id"), request.Header("idempotency-key"), request.body, responder});
  StartWaitingCalls();
}

void Service::StartWaitingCalls() {
  while (m_running < m_options.slots && !m_waiting.empty()) {
    Call call = std::move(m_waiting.front());
    m_waiting.pop_front();
    ++m_running;
    const std::int64_t execution_count = ++m_execution_counts[call.key];
    const std::size_t execution_index = m_executions.size();
    m_executions.push_back({call.request_id, call.key, WallMillis(), 0});
    const double delay = static_cast<double>(m_options.delay.count()) * m_slowdown;
    m_server.RunAfter(Millis{std::llround(delay)},
                      [this, call = std::move(call), execution_index, execution_count] {
                        FinishCall(call, execution_index, execution_count);
                      });
  }
}

void Service::FinishCall(const Call& call, std::size_t execution_index,
                         std::int64_t execution_count) {
  m_executions[execution_index].ended_ms = WallMillis();
  --m_running;
  SendJson(*call.responder, 200,
           {{"confirmation", ExpectedConfirmation(call.body, call.key)},
            {"executions", execution_count}});
  StartWaitingCalls();
}

}  // namespace bluebellpass::standin
