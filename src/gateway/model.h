#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bluebellpass/types.h"

/// What the gateway knows of routes, services, organisations and backend servers. These types are
/// independent of any wire format.

namespace bluebellpass::gateway {

using ServiceName = StrongId<struct ServiceTag>;
/// The id of one attempt of a caller; unique.
using AttemptId = StrongId<struct AttemptTag>;
/// Version of a configuration; higher ones are newer.
using ConfigVersion = StrongNumber<struct ConfigVersionTag, std::uint64_t>;

/// A service with its share of a route's requests.
struct RouteTarget {
  ServiceName service;
  double weight = 1;
};

/// Which requests go where, and what may be done with them.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  std::vector<RouteTarget> targets;
  bool is_stream = false;
  bool is_idempotent = false;  ///< may run more than once
  bool is_resumable = false;   ///< a stream that another backend server may continue
  bool is_public = false;      ///< needs no key
  int rank = 0;                ///< 0 is the most urgent
  int max_backends = 1;        ///< most backend servers that one attempt may be sent to
  Millis timeout{0};           ///< longest time that a caller is kept waiting; 0 means no bound
  Millis latency_objective{
      0};                   ///< time to the answer, or to its first event, that is still on time
  Millis max_event_gap{0};  ///< longest pause between events that is still on time

  /// @return true when a run that failed may be repeated before any part of its answer was passed
  /// on
  bool IsRetryable() const { return is_idempotent || is_resumable; }
};

/// Properties of model engines; other services have none.
struct EngineProperties {
  int slots = 0;                     ///< requests in one batch
  std::int64_t kv_cache_tokens = 0;  ///< KV cache
  int tokens_per_event = 1;
};

struct Service {
  ServiceName name;
  std::string health_path;
  int max_connections = 0;  ///< of one backend server, from all callers; 0 means no bound
  std::optional<EngineProperties> engine;
};

/// A caller's organisation with its keys and its quota.
struct Organisation {
  OrganisationId id;
  std::vector<std::string> keys;
  std::optional<int> rank;  ///< goes before the route's
  bool is_quota_in_tokens = false;
  std::int64_t default_tokens = 0;  ///< counted for a request that states no tokens
  double rate_per_s = 0;            ///< quota; 0 means none
  double burst = 0;
};

/// Bounds on what a client may send.
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

/// A backend server as it has registered itself.
struct Backend {
  BackendId id;
  std::uint64_t started_at = 0;  ///< distinguishes starts under one id; 0 when unknown
  ServiceName service;
  Address address;
  DataCentre data_centre;
  int slots = 0;
  bool is_draining = false;
  Millis warmup_remaining{0};  ///< how much longer it is slow after its start, as of its report
};

/// What a caller says about its request.
struct CallerRequest {
  AttemptId id;
  std::string host;
  std::string path;  ///< without the query
  std::string key;
  std::optional<Millis> deadline;  ///< how long the caller waits, from its sending
  std::optional<std::int64_t> prompt_tokens;
  std::int64_t max_output_tokens = 0;
  std::optional<std::int64_t> output_hint;  ///< the caller's estimate of the output, often far off
  std::vector<std::string> prompt_parts;    ///< ids of the prompt's parts; the last one is its own
  std::uint64_t last_event_id = 0;          ///< the stream is resumed behind this event; 0: not
  bool is_resume = false;
};

/// What the gateway tells a backend server beside the caller's own fields.
struct DispatchFields {
  BackendId expected_backend;
  std::optional<Millis> deadline;
  std::optional<OrganisationId> organisation;
  std::optional<std::uint64_t> last_event_id;  ///< continue behind this event
};

/// What a backend server's response says.
struct ResponseFields {
  bool has_id = false;
  bool is_not_run = false;        ///< the request was not run, and never will be by this send
  bool is_wrong_backend = false;  ///< the address belongs to another backend server
  bool has_signature = false;     ///< the answer is signed by the backend server
  struct Load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
  };
  std::optional<Load> load;
  AttemptId id;
};

}  // namespace bluebellpass::gateway
