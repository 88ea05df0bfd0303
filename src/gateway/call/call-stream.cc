#include "call.h"
#include "kernel/loop.h"

/// Where a response stream began, and where it may be continued.

namespace bluebellpass::gateway {

const AttemptId& Call::StreamId() const {
  return m_request.resumed_attempt.IsEmpty() ? m_request.id : m_request.resumed_attempt;
}

std::optional<std::uint64_t> Call::ContinuedAfter() const {
  if (m_event_splitter.LastEventId()) return m_event_splitter.LastEventId();
  return m_request.is_resume ? std::optional(m_request.last_event_id) : std::nullopt;
}

bool Call::MaySendTo(const Backend& backend) const {
  const TimePoint now = m_context.loop.Now();
  if (backend.is_draining || backend.service != m_service) return false;
  // The request may have been queued before the backend server asked for no more.
  if (!m_context.backend_notices.MaySendTo(backend.Start(), now)) return false;
  const bool is_taken_up = m_route->is_stream && m_request.is_resume;
  if (m_stream_version ? backend.version != *m_stream_version : is_taken_up) return false;
  // The version may have been judged since the decision.
  const VersionUse use = m_context.rollouts.UseOf(backend, now);
  return use != VersionUse::kExcluded && (use != VersionUse::kStreamsOnly || m_stream_version);
}

}  // namespace bluebellpass::gateway
