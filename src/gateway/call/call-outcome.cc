#include "bluebellpass/event.h"
#include "call.h"
#include "kernel/loop.h"

namespace bluebellpass::gateway {
namespace {

// How long a leaving backend server gets no work from any instance, unless it starts again.
constexpr Millis kLeavingAvoidDuration{60'000};
// A process that is killed closes all its sockets within this time.
constexpr Millis kExitDuration{20};

}  // namespace

void Call::RecordNotices() {
  const ResponseFields& response = m_response;
  const TimePoint now = m_context.loop.Now();
  if (response.is_leaving && m_context.backend_notices.SetLeaving(m_backend_start, now)) {
    LogEvent(EventId::kBackendChanged, {{"backend", m_backend_id.Text()}, {"state", "leaving"}});
    m_context.dispatcher.AvoidBackend(m_backend_id, kLeavingAvoidDuration, false);
  }
  if (response.retry_after &&
      m_context.backend_notices.SetBusy(m_backend_start, *response.retry_after, now))
    LogEvent(EventId::kBackendChanged, {{"backend", m_backend_id.Text()}, {"state", "busy"}});
  const bool was_rejected = response.is_not_run && !response.is_wrong_backend;
  // Another backend server says nothing about this one.
  const bool is_changed = !response.is_wrong_backend &&
                          m_context.backend_notices.SetRejectionLimit(
                              m_backend_start, response.rejection_limit_per_s, m_sent_at, now);
  const auto limit = m_context.backend_notices.RejectionLimit(m_backend_start);
  if (is_changed || (was_rejected && limit))
    m_context.dispatcher.ReportRejections(m_backend_id, {limit, was_rejected});
  if (!response.has_invalid_load) return;
  m_context.metrics.IncrementCounter("gateway_invalid_load_reports", "");
  if (m_context.backend_notices.SetInvalidLoad(m_backend_start))
    LogEvent(EventId::kObjectRejected,
             {{"object", m_backend_id.Text()}, {"reason", "its load report cannot be read"}});
}

void Call::ConfirmEnd() {
  const bool may_repeat = m_route->is_stream || (m_route->IsRetryable() && !HasResponseStarted());
  const Backend* backend = m_context.routing_state.FindBackend(m_backend_id);
  // One that leaves may accept no connections while its last responses end.
  const bool is_leaving = backend == nullptr || backend->is_draining ||
                          m_context.backend_notices.IsLeaving(m_backend_start);
  if (!may_repeat || is_leaving) return DeliverResponse();
  const auto probe = [self = shared_from_this(), run = m_run_number, address = backend->address] {
    if (!self->IsRunning(run)) return;
    self->m_context.pool.Probe(address, [self, run](bool is_connected) {
      if (!self->IsRunning(run)) return;
      if (!is_connected) return self->OnRunFailed("unconfirmed_end");
      self->DeliverResponse();
    });
  };
  m_context.loop.RunAfter(kExitDuration, probe);
}

bool Call::IsRunning(int run) const {
  return run == m_run_number && (m_state == State::kSent || m_state == State::kResponding);
}

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
