#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "bluebellpass/store.h"
#include "orders/order-document.h"

namespace bluebellpass {

/// Takes tokens of the rate of loads over the whole system from the record in the object API.
class RateLimiter {
 public:
  /// Gets nullopt when the token is taken and confirmed, else the time until the next attempt. An
  /// attempt with the same id finds a token whose confirmation was lost.
  using Done = std::function<void(std::optional<Millis> wait)>;

  /// @param wall_clock ms since 1970
  RateLimiter(ObjectStore& store, std::function<std::int64_t()> wall_clock)
      : m_store(store), m_wall_clock(std::move(wall_clock)) {}

  /// @param id names the load over the whole system
  /// @param per_minute loads that may begin in a minute
  void Take(const std::string& id, double per_minute, Done done);

 private:
  void OnRead(const Result<VersionedObject>& result, const std::string& id, double per_minute,
              const Done& done);

  ObjectStore& m_store;
  std::function<std::int64_t()> m_wall_clock;
  bool m_is_busy = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass
