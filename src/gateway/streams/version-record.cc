#include "version-record.h"

#include <nlohmann/json.hpp>
#include <string>

#include "bluebellpass/event.h"

namespace bluebellpass::gateway {
namespace {

using nlohmann::json;

constexpr char kServices[] = "services";

json Encode(const VersionsByService& versions) {
  json services = json::object();
  for (const auto& [service, names] : versions)
    for (const SoftwareVersion& version : names) services[service.Text()].push_back(version.Text());
  return {{kServices, std::move(services)}};
}

}  // namespace

VersionRecord::VersionRecord(TimerService& timers, StoreClient& store)
    : m_store(store), m_task(timers, [this] { Write(); }) {}

VersionsByService VersionRecord::Decode(const json& spec) {
  VersionsByService versions;
  if (!spec.is_object() || !spec.contains(kServices) || !spec[kServices].is_object())
    return versions;
  for (const auto& [service, names] : spec[kServices].items())
    for (const json& name : names)
      if (name.is_string())
        versions[ServiceName(service)].insert(SoftwareVersion(name.get<std::string>()));
  return versions;
}

void VersionRecord::Update(const VersionsByService& versions) {
  m_wanted = versions;
  if (m_is_writing || m_stored == m_wanted) return;
  m_is_writing = true;
  Write();
}

void VersionRecord::Reset() {
  ++m_reset_count;
  m_task.Stop();
  m_is_writing = false;
  m_stored.reset();
}

void VersionRecord::Write() {
  m_store.Put(ObjectKind::kFleet, kVersionRecordObject, Encode(m_wanted),
              [this, alive = m_alive, written = m_wanted,
               reset_count = m_reset_count](const Result<Revision>& result) {
                if (!*alive || reset_count != m_reset_count) return;
                if (!IsOk(result)) {
                  LogEvent(EventId::kObjectRejected,
                           {{"object", kVersionRecordObject}, {"reason", ErrorOf(result).message}});
                  return m_task.RetryLater();
                }
                m_task.Stop();
                m_is_writing = false;
                m_stored = written;
              });
}

}  // namespace bluebellpass::gateway
