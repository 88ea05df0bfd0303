#include "service-versions.h"

#include <algorithm>
#include <utility>

namespace bluebellpass::gateway {

void ServiceVersions::SetBackend(const Backend& backend, TimePoint now) {
  const auto service = m_service_of.find(backend.id);
  if (service != m_service_of.end()) {
    const auto& known = m_services[service->second].by_backend;
    const auto found = known.find(backend.id);
    if (service->second == backend.service && found != known.end() &&
        found->second == backend.version)
      return;
    RemoveBackend(backend.id, now);
  }
  m_service_of.insert_or_assign(backend.id, backend.service);
  m_services[backend.service].by_backend.insert_or_assign(backend.id, backend.version);
}

void ServiceVersions::RemoveBackend(const BackendId& id, TimePoint now) {
  const auto service = m_service_of.extract(id);
  if (service.empty()) return;
  Versions& versions = m_services[service.mapped()];
  const auto removed = versions.by_backend.extract(id);
  if (!removed.empty()) SetLastServed(versions, removed.mapped(), now);
}

void ServiceVersions::SetLastServed(Versions& versions, const SoftwareVersion& version,
                                    TimePoint at) {
  TimePoint& last_served = versions.last_served[version];
  last_served = std::max(last_served, at);
  std::erase_if(versions.last_served,
                [at](const auto& entry) { return entry.second + kMaxStreamLifetime <= at; });
}

void ServiceVersions::AddRecorded(const VersionsByService& versions, TimePoint now) {
  for (const auto& [service, recorded] : versions)
    for (const SoftwareVersion& version : recorded)
      SetLastServed(m_services[service], version, now);
}

void ServiceVersions::SetConfirmed(TimePoint at) {
  m_confirmed_at = std::max(m_confirmed_at.value_or(at), at);
}

std::set<SoftwareVersion> ServiceVersions::VersionsOf(const Versions& versions, TimePoint now) {
  std::set<SoftwareVersion> result;
  for (const auto& [id, version] : versions.by_backend) result.insert(version);
  for (const auto& [version, at] : versions.last_served)
    if (now < at + kMaxStreamLifetime) result.insert(version);
  return result;
}

std::optional<SoftwareVersion> ServiceVersions::OnlyVersion(const ServiceName& service,
                                                            TimePoint now) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) return std::nullopt;
  const std::set<SoftwareVersion> versions = VersionsOf(found->second, now);
  return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

VersionsByService ServiceVersions::All(TimePoint now) const {
  VersionsByService all;
  for (const auto& [service, versions] : m_services)
    if (auto names = VersionsOf(versions, now); !names.empty())
      all.emplace(service, std::move(names));
  return all;
}

}  // namespace bluebellpass::gateway
