#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "bluebellpass/store.h"
#include "orders/order-document.h"

namespace bluebellpass {

/// Limits the rate of loads of the whole system by means of the load record in the object API.
class RateLimiter {
 public:
  /// Receives nullopt when the permit is acquired, else the time until the next attempt. If a
  /// response was lost, an attempt with the same id finds the permit in the record.
  using Done = std::function<void(std::optional<Millis> wait)>;

  /// @param wall_clock ms since 1970
  RateLimiter(ObjectStore& store, std::function<std::int64_t()> wall_clock)
      : m_store(store), m_wall_clock(std::move(wall_clock)) {}

  /// Requests the permit for a load.
  /// @param id unique id of the load in the whole system
  /// @param per_minute limit on the loads that start per minute
  void Acquire(const std::string& id, double per_minute, Done done);

 private:
  void OnRead(const Result<VersionedObject>& result, const std::string& id, double per_minute,
              const Done& done);

  ObjectStore& m_store;
  std::function<std::int64_t()> m_wall_clock;
  bool m_is_busy = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass
