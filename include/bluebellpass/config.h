#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

/// The cluster's configuration: one JSON document in the object API, shared by all instances. Its
/// schema is described in docs/configuration.md.

namespace bluebellpass {

struct TierConfig {
  TierName name;
  TierRank rank;     ///< 0 is the most urgent; ranks are unique
  double share = 0;  ///< minimum share of granted tokens, 0 to 0.9; sum over tiers at most 0.9
  std::int64_t max_waiting_bytes = 64LL << 20U;  ///< limit of the tier's queue in one cell
};

struct OrganisationConfig {
  OrganisationId id;
  double weight = 1;                             ///< weight in fair queueing, above 0
  std::int64_t max_waiting_bytes = 16LL << 20U;  ///< limit of the organisation's queue in one cell
};

enum class BackendState {
  kActive,
  kLeaving,  ///< receives no new requests
};

/// Whether a backend server checks the fencing number of an order.
enum class FencingSupport { kChecks, kIgnores };

struct BackendConfig {
  BackendId id;
  std::string kind;  ///< name of a registered driver: "engine" or "service"
  Address address;
  PoolName pool;
  DataCentre data_centre;
  Region region;
  BackendState state = BackendState::kActive;
  FencingSupport fencing = FencingSupport::kChecks;
  std::int64_t slots = 8;                   ///< concurrent requests
  std::int64_t token_capacity = 32768;      ///< prompt and output tokens of all concurrent requests
  double tokens_per_second = 100;           ///< initial estimate for one stream, then learned
  double prefill_tokens_per_second = 2000;  ///< initial estimate, then learned
};

/// Moves a share of a pool's new requests from one data centre to another.
struct ShiftRule {
  PoolName pool;
  DataCentre from;
  DataCentre to;
  std::uint32_t percent = 0;  ///< 0 to 100
};

struct ClusterConfig {
  std::vector<TierConfig> tiers;
  std::vector<OrganisationConfig> organisations;
  std::vector<BackendConfig> backends;
  std::vector<ShiftRule> shifts;
  /// Model loads that may be started per minute, which limits the traffic to the weight store.
  double weight_store_loads_per_minute = 6;
  /// Indices into `organisations`, sorted by id. Filled by ParseClusterConfig; without it
  /// FindOrganisation searches the list linearly.
  std::vector<std::uint32_t> organisations_by_id;

  const TierConfig* FindTier(const TierName& name) const;
  const OrganisationConfig* FindOrganisation(const OrganisationId& id) const;
  const BackendConfig* FindBackend(const BackendId& id) const;
  /// @return true if at least one backend server belongs to the pool
  bool HasPool(const PoolName& pool) const;
};

/// A configuration and its version in the object API.
struct VersionedConfig {
  ClusterConfig config;
  ObjectVersion version;
  std::string document;  ///< the JSON text, as stored
};

/// Parses and validates a configuration document. One invalid field rejects the whole document.
/// @return the configuration, or kInvalidConfig with the path of the first invalid field in
/// Error::field
Result<ClusterConfig> ParseClusterConfig(std::string_view document);

/// @return a JSON document that parses to the same configuration
std::string FormatClusterConfig(const ClusterConfig& config);

}  // namespace bluebellpass
