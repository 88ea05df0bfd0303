#pragma once

#include <string>

#include "deployment.h"

namespace review {

struct ListOptions {
  std::size_t body_bytes = 0;        ///< of the answer
  std::size_t bytes_per_second = 0;  ///< at which the client reads; 0: as fast as it can
  Millis deadline{15'000};
};

/// @return the configuration with a mutating route to long lists and a route to short lookups
nlohmann::json MakeListConfig(Millis list_timeout);
/// Adds the engines of both routes.
void AddListEngines(Deployment& deployment, std::size_t body_bytes);

/// Makes a lookup on a new connection, then asks for a list on the same one and reads it.
/// @return true if the whole answer arrived
bool FetchList(Deployment& deployment, std::size_t gateway, const std::string& id,
               const ListOptions& options);

/// Makes clients fetch lists at the same time.
/// @param after_a_second called one second after the lists were asked for; may be null
/// @return number of answers that were cut off
std::size_t FetchLists(Deployment& deployment, std::size_t clients, const ListOptions& options,
                       const std::function<void()>& after_a_second);

}  // namespace review
