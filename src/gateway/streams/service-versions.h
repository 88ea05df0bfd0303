#pragma once

#include <map>
#include <optional>
#include <set>

#include "bluebellpass/gateway/model.h"

namespace bluebellpass::gateway {

/// Longest time for which a caller may take a stream up again.
inline constexpr Millis kMaxStreamLifetime{60'000};

/// The software versions of a service that may have begun streams which callers can still take up.
using VersionsByService = std::map<ServiceName, std::set<SoftwareVersion>>;

/// Knows which versions have served each service within kMaxStreamLifetime. Performs no I/O and
/// reads no clock.
class ServiceVersions {
 public:
  void SetBackend(const Backend& backend, TimePoint now);
  void RemoveBackend(const BackendId& id, TimePoint now);
  /// Adds versions that have served until now at the latest, from the record of another instance.
  void AddRecorded(const VersionsByService& versions, TimePoint now);
  /// Records that the backend servers were all known at a time.
  void SetConfirmed(TimePoint at);

  /// @return true if the backend servers were all known at a time. Streams that had begun by then
  /// are of versions that this instance knows, since a backend server registers before it serves.
  bool IsConfirmedSince(TimePoint at) const { return m_confirmed_at && *m_confirmed_at >= at; }
  /// @return the only known version that streams of the service can be of, or nullopt
  std::optional<SoftwareVersion> OnlyVersion(const ServiceName& service, TimePoint now) const;
  VersionsByService All(TimePoint now) const;

 private:
  struct Versions {
    std::map<BackendId, SoftwareVersion> by_backend;
    std::map<SoftwareVersion, TimePoint> last_served;  ///< when one of its backend servers left
  };
  static void SetLastServed(Versions& versions, const SoftwareVersion& version, TimePoint at);
  static std::set<SoftwareVersion> VersionsOf(const Versions& versions, TimePoint now);

  std::map<ServiceName, Versions> m_services;
  std::map<BackendId, ServiceName> m_service_of;
  std::optional<TimePoint> m_confirmed_at;
};

}  // namespace bluebellpass::gateway
