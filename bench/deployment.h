#pragma once

#include <string>
#include <vector>

#include "cluster/cluster.h"

namespace bluebellpass::bench {

/// A kind of request.
struct RequestKind {
  std::string tier;
  int prompt_tokens = 0;
  int shared_tokens = 0;  ///< prefix of the prompt, shared by an organisation's requests of a day
  int output_tokens = 0;
  double deadline_s = 0;     ///< before division by the scale
  double minimum_share = 0;  ///< of granted tokens, as configured for the tier
};

/// @return all kinds, the most urgent tier first: questions, labels and dossiers
const std::vector<RequestKind>& Kinds();

struct Organisation {
  std::string name;
  bool is_large = false;
};

/// A group of engines with the same speed.
struct EngineGroup {
  std::string prefix;
  int count = 0;
  double speed = 1;  ///< relative to an engine of medium speed
};

struct Deployment {
  std::string name;
  int instances = 6;
  int data_centres = 0;
  Millis peer_delay{0};  ///< one way, between instances
  std::vector<EngineGroup> engines;
  std::string service_prefix;
  int services = 0;
  std::vector<Organisation> organisations;

  /// @return the number of slots, weighted by their speed relative to an engine of medium speed
  double Capacity() const;
};

const std::vector<Deployment>& Deployments();

/// @return duration of a run on an otherwise idle engine of medium speed, in seconds before
/// division by the scale
/// @param has_prefix true if the shared prefix of the prompt is in the engine's cache
double RunSeconds(const RequestKind& kind, bool has_prefix);

/// @return options for a cluster of a deployment under a policy
/// @param scale factor by which engines are faster than real ones
test::ClusterOptions MakeClusterOptions(const Deployment& deployment, const std::string& policy,
                                        double scale);

}  // namespace bluebellpass::bench
