#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

/// The cluster's configuration: one JSON document in the object API, the same for all instances.
/// docs/configuration.md is its schema for people.

namespace bluebellpass {

struct TierConfig {
  TierName name;
  TierRank rank;     ///< 0 is the most urgent; ranks are unique
  double share = 0;  ///< minimum share of granted tokens, 0 to 0.9; the sum is at most 0.9
  std::int64_t max_waiting_bytes = 64LL << 20U;  ///< bound of the tier's queue in one cell
};

struct OrganisationConfig {
  OrganisationId id;
  double weight = 1;                             ///< for fair queueing, above 0
  std::int64_t max_waiting_bytes = 16LL << 20U;  ///< bound of one organisation's queue in one cell
};

enum class BackendState {
  kActive,
  kLeaving,  ///< gets no new work
};

/// What a backend server does with the fencing number of an order.
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
  std::int64_t slots = 8;                   ///< requests run at the same time
  std::int64_t token_capacity = 32768;      ///< prompt and output tokens held at the same time
  double tokens_per_second = 100;           ///< first guess of one stream's speed, then learned
  double prefill_tokens_per_second = 2000;  ///< first guess, then learned
};

/// Moves part of a pool's new work between data centres.
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
  double weight_store_loads_per_minute = 6;  ///< model loads that may begin in a minute
  /// Places in `organisations` in the order of their ids. Filled by ParseClusterConfig; a
  /// configuration without it works too, but searches the whole list.
  std::vector<std::uint32_t> organisations_by_id;

  const TierConfig* FindTier(const TierName& name) const;
  const OrganisationConfig* FindOrganisation(const OrganisationId& id) const;
  const BackendConfig* FindBackend(const BackendId& id) const;
  /// @return true when at least one backend server belongs to the pool
  bool HasPool(const PoolName& pool) const;
};

/// A configuration with its version in the object API.
struct VersionedConfig {
  ClusterConfig config;
  ObjectVersion version;
  std::string document;  ///< the JSON text, as stored
};

/// Parses and validates a configuration document. The document is taken or refused as a whole.
/// @return the configuration, or kInvalidConfig with the path of the first fault in Error::field
Result<ClusterConfig> ParseClusterConfig(std::string_view document);

/// @return the document of a configuration, such that parsing it gives the same configuration
std::string FormatClusterConfig(const ClusterConfig& config);

}  // namespace bluebellpass
