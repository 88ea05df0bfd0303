#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "bluebellpass/types.h"

/// The gateway's data model: routes, services, organisations, backend servers and requests. The
/// types are independent of wire formats.

namespace bluebellpass::gateway {

using ServiceName = StrongId<struct ServiceTag>;
/// Unique id of one attempt of a caller.
using AttemptId = StrongId<struct AttemptTag>;
/// Version of a configuration; newer configurations have higher versions.
using ConfigVersion = StrongNumber<struct ConfigVersionTag, std::uint64_t>;

/// Version of the software of a backend server.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;

/// A service and its share of a route's requests.
struct RouteTarget {
  ServiceName service;
  double weight = 1;
};

/// Selects requests by host and path, and states where and how they are run.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< starts and ends with a slash
  std::vector<RouteTarget> targets;
  bool is_stream = false;
  bool is_idempotent = false;  ///< may run more than once
  bool is_resumable = false;   ///< another backend server may continue the stream
  bool is_public = false;      ///< requires no API key
  int rank = 0;                ///< 0 is the most urgent
  int max_backends = 1;        ///< number of backend servers that one attempt may be sent to
  Millis timeout{0};           ///< longest time that a caller waits; 0 means no limit
  /// Time within which the response, or the first event of a stream, counts as on time.
  Millis latency_objective{0};
  /// Longest pause between events that counts as on time.
  Millis max_event_gap{0};

  /// @return true if a failed run may be retried as long as no part of its response was sent to
  /// the caller
  bool IsRetryable() const { return is_idempotent || is_resumable; }
};

/// Capacity of a model engine and the size of its stream events.
struct EngineProperties {
  int slots = 0;                     ///< concurrent requests in a batch
  std::int64_t kv_cache_tokens = 0;  ///< capacity of the KV cache
  int tokens_per_event = 1;
};

struct Service {
  ServiceName name;
  std::string health_path;
  int max_connections = 0;  ///< per backend server, from all callers; 0 means no limit
  std::optional<EngineProperties> engine;  ///< set for model engines only
};

/// An organisation of callers with its API keys and quota.
struct Organisation {
  OrganisationId id;
  std::vector<std::string> keys;    ///< API keys
  std::optional<int> rank;          ///< overrides the route's rank
  bool is_quota_in_tokens = false;  ///< false: the quota counts requests
  std::int64_t default_tokens = 0;  ///< counted for a request that states no token count
  double rate_per_s = 0;            ///< rate of the quota; 0 means no quota
  double burst = 0;
};

/// Limits on callers' requests and connections.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  Millis header_timeout{3'000};
  Millis idle_timeout{15'000};
};

struct Config {
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Organisation> organisations;
  CallerLimits limits;
};

/// A backend server between two starts, as far as it states them.
struct BackendStart {
  BackendId id;
  std::uint64_t started_at = 0;  ///< 0 if unknown

  bool operator==(const BackendStart&) const = default;
  bool operator<(const BackendStart& other) const {
    return std::tie(id, started_at) < std::tie(other.id, other.started_at);
  }
};

/// A backend server, as registered by itself.
struct Backend {
  BackendId id;
  std::uint64_t started_at = 0;  ///< distinguishes starts with the same id; 0 if unknown
  ServiceName service;
  Address address;
  DataCentre data_centre;
  SoftwareVersion version;
  std::uint64_t report_number = 0;  ///< counts the server's reports since its start; 0 if unknown
  /// Revision of the store at the last change of the entry; 0 if unknown.
  std::uint64_t revision = 0;
  int slots = 0;
  bool is_draining = false;
  Millis warmup_remaining{0};  ///< time until its warm-up ends, at the time of its report

  BackendStart Start() const { return {id, started_at}; }
};

/// A caller's request, as parsed from its HTTP head.
struct CallerRequest {
  AttemptId id;
  std::string host;
  std::string path;  ///< without the query
  std::string api_key;
  std::optional<Millis> deadline;  ///< time that the caller waits, from when it sent the request
  std::optional<std::int64_t> prompt_tokens;
  std::int64_t max_output_tokens = 0;
  /// The caller's estimate of the output tokens, often inaccurate.
  std::optional<std::int64_t> output_hint;
  /// Ids of the prompt's parts; the last part is unique to this prompt.
  std::vector<std::string> prompt_parts;
  /// The stream is resumed after this event; 0 if it starts at the beginning.
  std::uint64_t last_event_id = 0;
  bool is_resume = false;
  /// The attempt that brought the first event of the stream that is resumed; empty if not stated.
  AttemptId resumed_attempt;
  bool is_forwarded = false;  ///< another instance received it, which reaches no backend server
};

/// Fields that the gateway adds to the request it sends to a backend server.
struct DispatchFields {
  BackendId expected_backend;
  std::optional<Millis> deadline;
  std::optional<OrganisationId> organisation;
  std::optional<std::uint64_t> last_event_id;  ///< the stream continues after this event
};

/// What a backend server has said of the requests that it turns away for want of room.
struct RejectionReport {
  /// It fails if it has to turn away more in a second; nullopt if it states no number.
  std::optional<int> limit_per_s;
  bool was_rejected = false;  ///< it has turned away a request
};

/// Fields of a backend server's response.
struct ResponseFields {
  bool has_id = false;
  bool is_not_run = false;  ///< the backend server has not run the request and will not run it
  bool is_wrong_backend = false;  ///< another backend server uses the address
  bool has_signature = false;     ///< the backend server has signed the response
  bool is_leaving = false;        ///< the backend server will exit soon and wants no requests
  /// With a refusal: the backend server wants no requests from this instance for so long.
  std::optional<Millis> retry_after;
  /// The backend server fails if it has to turn away more requests in a second.
  std::optional<int> rejection_limit_per_s;
  struct Load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// Duration of work at present relative to the usual one; unknown for most backend servers.
    std::optional<double> slowdown;
  };
  std::optional<Load> load;
  bool has_invalid_load = false;  ///< a part of the reported load could not be read
  AttemptId id;
};

}  // namespace bluebellpass::gateway
