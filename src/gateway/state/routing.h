#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bluebellpass/gateway/model.h"

namespace bluebellpass::gateway {

/// An immutable configuration with indexes for the lookup of requests. A request keeps the table
/// under which it was admitted.
class RoutingTable {
 public:
  explicit RoutingTable(Config config);

  const Config& SourceConfig() const { return m_config; }
  ConfigVersion Version() const { return m_config.version; }

  /// @return the route of the host with the longest matching path prefix, or null
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// @return the organisation that owns the key, or null
  const Organisation* FindOrganisationByKey(const std::string& key) const;
  /// @return the organisation, or null
  const Organisation* FindOrganisationById(const OrganisationId& id) const;
  /// @return the service, or null
  const Service* FindService(const ServiceName& name) const;

  /// Picks one of a route's services by weight. The choice is a hash of the attempt's id, so an
  /// attempt always gets the same service.
  static const ServiceName& PickService(const Route& route, const AttemptId& attempt);

 private:
  Config m_config;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> m_routes_by_host;
  std::unordered_map<std::string, const Organisation*> m_organisations_by_key;
  std::unordered_map<OrganisationId, const Organisation*> m_organisations_by_id;
  std::unordered_map<ServiceName, const Service*> m_services_by_name;
};

}  // namespace bluebellpass::gateway
