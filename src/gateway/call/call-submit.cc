#include <algorithm>

#include "call.h"
#include "gateway/streams/service-versions.h"
#include "kernel/loop.h"
#include "request-content.h"

namespace bluebellpass::gateway {
namespace {

constexpr std::int64_t kDefaultOutputTokens = 200;

// Callers of streams disconnect after waiting for the longest of a fixed time, a multiple of the
// route's objective and a multiple of its maximum gap between events.
constexpr Millis kMinPatience{2'000};
constexpr int kPatienceObjectiveFactor = 4;
constexpr int kPatienceGapFactor = 8;

/// @return how long a caller waits for the first part of the response
Millis PatienceOf(const Route& route) {
  if (!route.is_stream) return kMaxCallDuration;
  return std::max({kMinPatience, kPatienceObjectiveFactor * route.latency_objective,
                   kPatienceGapFactor * route.max_event_gap});
}

}  // namespace

void Call::Submit() {
  m_state = State::kWaiting;
  RequestInfo request;
  request.id = m_request.id;
  request.service = m_service;
  request.route = m_route->name;
  if (m_organisation != nullptr) request.organisation = m_organisation->id;
  request.rank = m_organisation != nullptr && m_organisation->rank
                     ? std::min(*m_organisation->rank, m_route->rank)
                     : m_route->rank;
  // The caller of a stream that has started waits for its next event, however long ago it came.
  request.arrived = HasResponseStarted() ? m_last_event_at : m_arrived_at;
  if (!HasResponseStarted()) request.caller_age = m_caller_age;
  request.latency_objective = m_route->latency_objective;
  request.deadline = m_deadline;
  request.prompt_tokens = m_request.prompt_tokens.value_or(0);
  if (m_request.prompt_tokens) {
    const std::int64_t max_output_tokens =
        m_request.max_output_tokens > 0 ? m_request.max_output_tokens : kDefaultOutputTokens;
    request.output_tokens = m_request.output_hint.value_or(max_output_tokens);
    // Callers may send a hint far above their own limit.
    if (m_request.max_output_tokens > 0)
      request.output_tokens = std::min(request.output_tokens, max_output_tokens);
  }
  request.max_event_gap = m_route->max_event_gap;
  request.patience = PatienceOf(*m_route);
  request.excluded_backends = m_excluded_backends;
  m_context.backend_notices.AddHeld(m_context.routing_state.Backends(), request.excluded_backends,
                                    m_context.loop.Now());
  if (m_organisation != nullptr)
    request.quota_cost = QuotaLimiter::CostOf(*m_organisation, m_request);
  const RequestContent content(m_exchange->Head(), request.organisation, m_exchange->Body());
  request.fingerprint = content.whole.Value();
  if (content.without_query) request.shared_parts.push_back(*content.without_query);
  // The last part is the request's own, and its content covers it.
  for (std::size_t i = 0; i + 1 < m_request.prompt_parts.size(); ++i)
    request.shared_parts.emplace_back(StableHash(m_request.prompt_parts[i]));
  if (m_route->is_stream && m_route->is_resumable)
    request.stream_lifetime = m_request.deadline.value_or(kMaxStreamLifetime);
  request.stream = StreamId();
  request.is_taken_up = m_request.is_resume && m_route->is_stream;
  request.version = m_stream_version;
  request.is_retry = m_send_count > 0 || m_unsent_retry_count > 0;
  request.is_retryable = m_route->IsRetryable() && m_send_count + 1 < m_route->max_backends;
  m_context.dispatcher.Submit(std::move(request), this);
}

}  // namespace bluebellpass::gateway
