#pragma once

#include <string>
#include <vector>

#include "cluster/cluster.h"

namespace bluebellpass::bench {

/// A kind of request. Sizes are in tokens.
struct RequestKind {
  std::string tier;
  int prompt_tokens = 0;
  int shared_tokens = 0;  ///< first part of the prompt, the same for an organisation on a day
  int output_tokens = 0;
  double deadline_s = 0;     ///< before scaling
  double minimum_share = 0;  ///< of granted tokens, as configured
};

/// Questions, labels and dossiers, the most urgent first.
const std::vector<RequestKind>& Kinds();

struct Organisation {
  std::string name;
  bool is_large = false;
};

/// A group of engines of one speed.
struct EngineGroup {
  std::string prefix;
  int count = 0;
  double speed = 1;  ///< factor on the rates of the engine of middle speed
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

  /// @return capacity in seconds of a slot of the engine of middle speed, per second, before
  /// scaling
  double Capacity() const;
};

const std::vector<Deployment>& Deployments();

/// @return time that a request takes on an otherwise empty engine of middle speed, in seconds
/// before scaling
/// @param has_prefix the shared part of the prompt is in the engine's cache
double WorkSeconds(const RequestKind& kind, bool has_prefix);

/// @return the processes to start for a deployment under a policy
/// @param scale factor on the engines' rates
test::ClusterOptions MakeClusterOptions(const Deployment& deployment, const std::string& policy,
                                        double scale);

}  // namespace bluebellpass::bench
