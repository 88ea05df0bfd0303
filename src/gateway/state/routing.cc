#include "routing.h"

#include <algorithm>

namespace bluebellpass::gateway {
namespace {

constexpr std::uint64_t kWeightSteps = 1'000'000;

}  // namespace

RoutingTable::RoutingTable(Config config) : m_config(std::move(config)) {
  for (const Route& route : m_config.routes) m_routes_by_host[route.host].push_back(&route);
  for (auto& [host, routes] : m_routes_by_host) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
  for (const Organisation& organisation : m_config.organisations) {
    m_organisations_by_id[organisation.id] = &organisation;
    for (const std::string& key : organisation.keys) m_organisations_by_key[key] = &organisation;
  }
  for (const Service& service : m_config.services) m_services_by_name[service.name] = &service;
}

const Route* RoutingTable::FindRoute(std::string_view host, std::string_view path) const {
  const auto found = m_routes_by_host.find(std::string(host));
  if (found == m_routes_by_host.end()) return nullptr;
  for (const Route* route : found->second)
    if (path.starts_with(route->path_prefix)) return route;
  return nullptr;
}

const Organisation* RoutingTable::FindOrganisationByKey(const std::string& key) const {
  const auto found = m_organisations_by_key.find(key);
  return found == m_organisations_by_key.end() ? nullptr : found->second;
}

const Organisation* RoutingTable::FindOrganisationById(const OrganisationId& id) const {
  const auto found = m_organisations_by_id.find(id);
  return found == m_organisations_by_id.end() ? nullptr : found->second;
}

const Service* RoutingTable::FindService(const ServiceName& name) const {
  const auto found = m_services_by_name.find(name);
  return found == m_services_by_name.end() ? nullptr : found->second;
}

const ServiceName& RoutingTable::PickService(const Route& route, const AttemptId& attempt) {
  double total = 0;
  for (const RouteTarget& target : route.targets) total += target.weight;
  double point =
      static_cast<double>(StableHash(attempt.Text()) % kWeightSteps) / kWeightSteps * total;
  for (const RouteTarget& target : route.targets) {
    if (point < target.weight) return target.service;
    point -= target.weight;
  }
  return route.targets.back().service;
}

}  // namespace bluebellpass::gateway
