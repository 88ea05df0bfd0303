#include "backend-paths.h"

#include <algorithm>

namespace bluebellpass::gateway {
namespace {

// A connection says nothing about failures longer ago: the path may have been lost meanwhile.
constexpr Millis kMaxExplainedAge{1'500};
// Connections that break within this time may have broken together.
constexpr Millis kLossWindow{300};

}  // namespace

bool BackendPaths::IsStranded(std::size_t known) const {
  return known > 1 && m_unexplained.size() >= std::min(kStrandedFailures, known);
}

std::vector<BackendId> BackendPaths::RecordConnected(const BackendId& id, TimePoint now) {
  std::vector<BackendId> at_fault;
  // When the path comes back, its loss explains all failures.
  const bool was_lost = m_unexplained.size() >= kStrandedFailures;
  for (const auto& [failed, at] : m_unexplained)
    if (!was_lost && failed != id && now - at <= kMaxExplainedAge) at_fault.push_back(failed);
  m_unexplained.clear();
  m_losses.clear();
  m_connected_at = now;
  return at_fault;
}

bool BackendPaths::RecordFailure(const BackendId& id, TimePoint dialled_at, TimePoint now) {
  if (m_connected_at && *m_connected_at >= dialled_at) return true;
  m_unexplained.insert_or_assign(id, now);
  return false;
}

bool BackendPaths::RecordLoss(const BackendId& id, TimePoint now) {
  std::erase_if(m_losses, [now](const auto& entry) { return now - entry.second > kLossWindow; });
  m_losses.insert_or_assign(id, now);
  return m_losses.size() < kStrandedFailures;
}

}  // namespace bluebellpass::gateway
