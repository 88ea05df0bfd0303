#include "bluebellpass/event.h"
#include "call.h"
#include "kernel/loop.h"

namespace bluebellpass::gateway {

void Call::Finish(const char* outcome, int status, const char* reason) {
  // The end of the response may have closed the connection, which ends the call as well.
  if (m_state == State::kEnded) return;
  m_state = State::kEnded;
  m_timer.Stop();
  m_backpressure_timer.Stop();
  DropPooledCall();
  m_response_body = std::string();
  m_held.Release();
  m_exchange->OnClosed(nullptr);
  const auto duration = m_context.loop.Now() - m_arrived_at;
  const std::string route = m_route == nullptr ? "" : m_route->name;
  LogEvent(EventId::kAnswered,
           {{"request", m_request.id.Text()},
            {"route", route},
            {"outcome", outcome},
            {"reason", reason},
            {"status", std::int64_t{status}},
            {"backend", m_backend_id.Text()},
            {"sends", std::int64_t{m_send_count}},
            {"ms", duration / Millis{1}},
            {"first_event_ms", m_first_event_at ? (*m_first_event_at - m_sent_at) / Millis{1} : -1},
            {"slowdown_percent", m_response.load && m_response.load->slowdown
                                     ? static_cast<std::int64_t>(*m_response.load->slowdown * 100)
                                     : -1},
            {"gap_us", static_cast<std::int64_t>(m_event_gaps.LowerTercile().count())},
            {"events", static_cast<std::int64_t>(m_run_event_count)},
            {"prompt_tokens", m_request.prompt_tokens.value_or(0)},
            {"most_output_tokens", m_request.max_output_tokens},
            {"output_hint", m_request.output_hint.value_or(-1)},
            {"config",
             static_cast<std::int64_t>(m_routing_table ? m_routing_table->Version().Value() : 0)}});
  m_context.metrics.ObserveLatency("gateway_request_ms",
                                   duration / std::chrono::duration<double, std::milli>(1),
                                   "outcome=\"" + std::string(outcome) + "\"");
  if (m_first_event_at)
    m_context.metrics.ObserveLatency(
        "gateway_first_event_ms",
        (*m_first_event_at - m_arrived_at) / std::chrono::duration<double, std::milli>(1));
  m_context.metrics.IncrementCounter(
      "gateway_requests", "outcome=\"" + std::string(outcome) + "\",reason=\"" + reason + "\"");
  if (const auto on_end = std::exchange(m_on_end, nullptr)) on_end();
}

}  // namespace bluebellpass::gateway
