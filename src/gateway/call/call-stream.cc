#include "call.h"

/// Where a response stream began, and where it may be continued.

namespace bluebellpass::gateway {

std::optional<std::uint64_t> Call::ContinuedAfter() const {
  if (m_event_splitter.LastEventId()) return m_event_splitter.LastEventId();
  return m_request.is_resume ? std::optional(m_request.last_event_id) : std::nullopt;
}

}  // namespace bluebellpass::gateway
