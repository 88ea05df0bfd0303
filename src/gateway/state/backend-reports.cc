#include "backend-reports.h"

namespace bluebellpass::gateway {
namespace {

// Removed servers that are remembered. A copy of the store is some seconds old.
constexpr std::size_t kMaxRemovals = 4'096;

}  // namespace

bool BackendReports::IsOutdated(const Backend& backend, Revision revision) const {
  const auto found = m_reports.find(backend.id);
  if (found == m_reports.end()) return false;
  const Report& known = found->second;
  // Within an era the store itself orders the reports.
  if (EraOf(revision) == EraOf(known.revision)) return false;
  // Without a start or a number, reports cannot be told apart.
  if (known.start != backend.Start() || backend.started_at == 0 || backend.report_number == 0)
    return false;
  return known.is_removed ? backend.report_number <= known.number
                          : backend.report_number < known.number;
}

void BackendReports::Record(const Backend& backend, Revision revision) {
  Report& report = m_reports[backend.id];
  if (report.is_removed) m_removals.erase({report.revision, backend.id});
  report = {backend.Start(), backend.report_number, revision, false};
}

void BackendReports::RecordRemoval(const BackendId& id, Revision revision) {
  const auto found = m_reports.find(id);
  if (found == m_reports.end() || found->second.is_removed) return;
  found->second.is_removed = true;
  found->second.revision = revision;
  m_removals.emplace(revision, id);
  if (m_removals.size() > kMaxRemovals) ForgetOldestRemoval();
}

void BackendReports::ForgetOldestRemoval() {
  m_reports.erase(m_removals.begin()->second);
  m_removals.erase(m_removals.begin());
}

}  // namespace bluebellpass::gateway
