#include "bluebellpass/event.h"
#include "gateway.h"

/// What an instance does with the registrations of backend servers.

namespace bluebellpass::gateway {
namespace {

// Longer than the store keeps the entry of a server that does not report.
constexpr Millis kOutdatedEntryTime{6'000};
constexpr Millis kOutdatedEntryCheckPeriod{1'000};

}  // namespace

void Gateway::UpdateSchedulerBackends() {
  const auto& table = m_routing_state.Table();
  if (!table) return;
  for (const auto& [id, backend] : m_routing_state.Backends()) SetSchedulerBackend(backend);
  m_fleet.ScheduleDecision();
}

void Gateway::SetSchedulerBackend(const Backend& backend) {
  const auto& table = m_routing_state.Table();
  m_coordinator.Rollouts().SetBackend(backend, m_loop.Now());
  m_coordinator.Versions().SetBackend(backend, m_loop.Now());
  m_coordinator.RequestScheduler().SetBackend(
      backend, table ? table->FindService(backend.service) : nullptr);
}

void Gateway::OnBackendBatch() {
  if (!std::exchange(m_has_listed_backends, true))
    LogEvent(EventId::kBackendsListed,
             {{"count", static_cast<std::int64_t>(m_routing_state.Backends().size())},
              {"revision", static_cast<std::int64_t>(NumberOf(m_backend_watch->SeenRevision()))}});
  m_coordinator.RequestScheduler().SetListing(false);
  m_fleet.ScheduleDecision();
}

void Gateway::SetBackend(const Backend& backend, Revision revision) {
  m_backend_reports.Record(backend, revision);
  // The initial list of a large fleet would flood the log.
  if (m_has_listed_backends)
    LogEvent(EventId::kBackendChanged,
             {{"backend", backend.id.Text()},
              {"address", backend.address.Text()},
              {"service", backend.service.Text()},
              {"state", backend.is_draining ? "draining" : "ready"},
              {"revision", static_cast<std::int64_t>(NumberOf(revision))}});
  m_routing_state.SetBackend(backend);
  SetSchedulerBackend(backend);
}

void Gateway::UseRemainingEntry(const StoredObject& object, BootTime expires_at) {
  m_loop.RunAfter(kOutdatedEntryCheckPeriod, [this, object, expires_at] {
    const auto& revisions = m_backend_watch->ObjectRevisions();
    const auto found = revisions.find(object.name);
    if (found == revisions.end() || found->second != object.revision) return;
    // What the store has removed by then may be unknown here.
    if (m_backend_watch->ConfirmedAt() < expires_at) return UseRemainingEntry(object, expires_at);
    Result<Backend> backend = m_platform.protocol->DecodeBackend(object.name, *object.spec);
    if (!IsOk(backend)) return;
    std::get<Backend>(backend).revision = object.revision.Value();
    SetBackend(std::get<Backend>(backend), object.revision);
    m_fleet.ScheduleDecision();
  });
}

void Gateway::OnBackendObject(const StoredObject& object) {
  const BackendId id(object.name);
  if (!object.is_deleted && object.spec) {
    Result<Backend> backend = m_platform.protocol->DecodeBackend(object.name, *object.spec);
    if (IsOk(backend)) {
      Backend& changed = std::get<Backend>(backend);
      changed.revision = object.revision.Value();
      if (!m_backend_reports.IsOutdated(changed, object.revision))
        return SetBackend(changed, object.revision);
      UseRemainingEntry(object, m_clock.Now() + kOutdatedEntryTime);
      return LogEvent(EventId::kChangeIgnored,
                      {{"kind", std::string(NameOf(ObjectKind::kBackends))},
                       {"object", object.name},
                       {"version", static_cast<std::int64_t>(changed.report_number)},
                       {"reason", "report"}});
    }
    LogEvent(EventId::kObjectRejected,
             {{"object", object.name}, {"reason", ErrorOf(backend).message}});
  }
  m_backend_reports.RecordRemoval(id, object.revision);
  if (const Backend* known = m_routing_state.FindBackend(id)) m_pool.CloseIdle(known->address);
  LogEvent(EventId::kBackendChanged,
           {{"backend", object.name},
            {"state", "gone"},
            {"revision", static_cast<std::int64_t>(NumberOf(object.revision))}});
  m_routing_state.RemoveBackend(id);
  m_path_monitor.Remove(id);
  m_coordinator.RequestScheduler().RemoveBackend(id);
  m_coordinator.Rollouts().RemoveBackend(id, m_loop.Now());
  m_coordinator.Versions().RemoveBackend(id, m_loop.Now());
}

}  // namespace bluebellpass::gateway
