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

/// What the order task works with; all of it outlives the task.
struct OrderContext {
  ObjectStore& store;
  TimerService& timers;
  EngineClient& engines;
  BackendControl& control;
  std::string writer;                        ///< instance and incarnation
  std::function<std::int64_t()> wall_clock;  ///< ms since 1970
};

/// Carries out orders to engines: accepts them from operators by a durable write, and, for the
/// servers of the cells that this instance owns, brings the engines to the desired state.
class OrderTask : public ConfigListener {
 public:
  explicit OrderTask(OrderContext context);
  OrderTask(const OrderTask&) = delete;
  OrderTask& operator=(const OrderTask&) = delete;

  /// Accepts an order.
  /// @param done gets the version of the desired state when it is durably written. Errors: those of
  /// DesiredWriter, kNotFound for an unknown server, kBadCommand for one that loads no models.
  void Load(const LoadCommand& command, std::function<void(Result<ObjectVersion>)> done);

  /// @return the state of the order of a server that is owned here, else kNone
  OrderState State(const BackendId& backend) const;

  void OnConfigApplied(const VersionedConfig& config) override { m_config = config.config; }

 private:
  struct Server {
    Server(const OwnedBackend& backend, std::uint64_t number)
        : owned(backend),
          machine(backend.config.fencing, backend.owned_since),
          generation(number) {}
    OwnedBackend owned;
    OrderMachine machine;
    std::uint64_t generation;  ///< answers to calls of an earlier ownership are dropped
    OrderState logged = OrderState::kNone;
  };

  void Tick();
  void UpdateServers();
  void ReadOne();
  bool MayHold(const CellId& cell) const;
  void Step(Server& server);
  void Perform(Server& server, OrderStep step);
  void ReadDesired(Server& server);
  void TakeToken(Server& server);
  void SendOrder(Server& server);
  void LogChange(Server& server);

  /// @return a function that hands a result to the machine, unless the server is no longer owned
  template <class Value>
  std::function<void(Value)> Handover(const Server& server,
                                      void (OrderMachine::*function)(const Value&, TimePoint));

  OrderContext m_context;
  RateLimiter m_rate;
  ClusterConfig m_config;
  std::map<BackendId, Server> m_servers;
  std::uint64_t m_last_generation = 0;
  std::uint64_t m_last_mark = 0;
  TimePoint m_read_at;
  Timer m_tick;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass
