#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bluebellpass::test {

struct SoakOptions {
  std::uint64_t seed = 1;
  int gateways = 4;
  int engines = 4;              ///< backend servers for event streams
  int service_backends = 2;     ///< backend servers for mutating and idempotent calls
  double fault_duration_s = 8;  ///< a period without faults follows
  std::string gateway_binary;
};

struct SoakReport {
  int requests = 0;
  int served = 0;
  int refused = 0;
  int failed = 0;
  int taken_up = 0;                     ///< attempts to continue a stream at another gateway
  int joined = 0;                       ///< complete streams of several attempts
  int continued_runs = 0;               ///< runs that continue a stream
  int requests_after_recovery = 0;      ///< sent after the faults and the recovery time
  int served_after_recovery = 0;        ///< of those
  std::vector<std::string> faults;      ///< injected, and requests not served after them
  std::vector<std::string> violations;  ///< of the guarantees
  std::string log_folder;
};

/// Runs gateway processes against stand-ins for the store and the backend servers while injecting
/// faults: signals, network faults, store faults, a store that comes back from a copy, failing,
/// draining and restarting backend servers of several software versions. Callers continue streams
/// that broke off.
///
/// Checks, by what callers and backend servers observe, that
/// - a request that must not be repeated runs at most once,
/// - such a request has not run if it was refused,
/// - responses are complete and belong to their requests, and streams have no gaps,
/// - each stream is written by one software version, over all attempts to receive it,
/// - requests with an API key do not run once its revocation is longer ago than the bound,
/// - routes are served, and removed ones are not, once the change is longer ago than the bound and
///   the time that the store was disturbed,
/// - draining backend servers get no requests after the bound and the time that the store was
///   disturbed,
/// - the system recovers after the faults.
SoakReport RunSoak(const SoakOptions& options);

}  // namespace bluebellpass::test
