#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bluebellpass/store.h"
#include "bluebellpass/timer.h"
#include "cli/command.h"
#include "config/config-service.h"
#include "orders/engine-client.h"
#include "orders/order-machine.h"
#include "orders/rate-limiter.h"
#include "owner/backend-control.h"

namespace bluebellpass {

/// Dependencies of the order task, which must outlive it.
struct OrderContext {
  ObjectStore& store;
  TimerService& timers;
  EngineClient& engines;
  BackendControl& control;
  std::string writer;                        ///< instance and incarnation, part of write ids
  std::function<std::int64_t()> wall_clock;  ///< ms since 1970
};

/// Accepts orders from operators by writing them to the store, and brings the engines of the cells
/// that this instance owns to their desired state.
class OrderTask : public ConfigListener {
 public:
  explicit OrderTask(OrderContext context);
  OrderTask(const OrderTask&) = delete;
  OrderTask& operator=(const OrderTask&) = delete;

  /// Accepts an order.
  /// @param done receives the version of the desired state once it is durable. Errors: those of
  /// DesiredWriter, kNotFound for an unknown server, kBadCommand for one that loads no models.
  void AcceptOrder(const LoadCommand& command, std::function<void(Result<ObjectVersion>)> done);

  /// @return the state of a server's order; kNone for a server that this instance does not own
  OrderState OrderStateOf(const BackendId& backend) const;

  void OnConfigApplied(const VersionedConfig& config) override { m_config = config.config; }

 private:
  struct Server {
    Server(const OwnedBackend& backend, std::uint64_t number)
        : owned(backend),
          machine(backend.config.fencing, backend.owned_since),
          generation(number) {}
    OwnedBackend owned;
    OrderMachine machine;
    std::uint64_t generation;  ///< responses from an earlier ownership are dropped
    OrderState logged_state = OrderState::kNone;
  };

  void Tick();
  void UpdateServers();
  void ReadNextDesired();
  bool MayPauseGrants(const CellId& cell) const;
  void AdvanceServer(Server& server);
  void StartStep(Server& server, OrderStep step);
  void ReadDesired(Server& server);
  void AcquirePermit(Server& server);
  void SendOrder(Server& server);
  void LogStateChange(Server& server);

  /// @return a callback that passes a result to the server's machine, unless the server is no
  /// longer owned
  template <class Value>
  std::function<void(Value)> ResultHandler(const Server& server,
                                           void (OrderMachine::*function)(const Value&, TimePoint));

  OrderContext m_context;
  RateLimiter m_rate_limiter;
  ClusterConfig m_config;
  std::map<BackendId, Server> m_servers;
  std::uint64_t m_last_generation = 0;
  std::uint64_t m_last_write_number = 0;
  TimePoint m_read_at;
  Timer m_tick;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass
