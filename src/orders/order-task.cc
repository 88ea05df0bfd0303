#include "orders/order-task.h"

#include <algorithm>
#include <utility>

#include "bluebellpass/event.h"
#include "orders/desired-writer.h"

namespace bluebellpass {
namespace {

constexpr Millis kTickPeriod{200};
// Bounds the reads of desired states to one a second for each instance that owns cells, however
// many servers it owns.
constexpr Millis kReadPeriod{1'000};
// Part of a cell's servers that may be held at the same time; at least one.
constexpr std::int64_t kHeldDivisor = 4;
constexpr std::string_view kEngineKind = "engine";

std::int64_t EventNumber(ObjectVersion version) {
  return static_cast<std::int64_t>(version.Value());
}

/// Errors: those of the store; kInternal for a document of an unknown form.
Result<std::optional<VersionedDesired>> ToDesired(const Result<VersionedObject>& result) {
  if (!IsOk(result)) {
    if (ErrorOf(result).kind == ErrorKind::kNotFound) return std::optional<VersionedDesired>();
    return ErrorOf(result);
  }
  const auto& found = std::get<VersionedObject>(result);
  const auto desired = ParseDesired(found.value);
  if (!desired.has_value()) return Error{.kind = ErrorKind::kInternal};
  return std::optional(VersionedDesired{.desired = *desired, .version = found.version});
}

}  // namespace

OrderTask::OrderTask(OrderContext context)
    : m_context(std::move(context)),
      m_rate(m_context.store, m_context.wall_clock),
      m_tick(m_context.timers) {
  m_tick.StartPeriodic(kTickPeriod, [this] { Tick(); });
}

void OrderTask::Load(const LoadCommand& command, std::function<void(Result<ObjectVersion>)> done) {
  const BackendConfig* backend = m_config.FindBackend(command.backend);
  const std::string& name = command.backend.Text();
  if (backend == nullptr) return done(Error{ErrorKind::kNotFound, "unknown backend server", name});
  // The object of a server named "rate" would be the record of loads.
  if (backend->kind != kEngineKind || OrderKey(command.backend) == kRateKey) {
    return done(Error{ErrorKind::kBadCommand, "this backend server takes no orders", name});
  }
  DesiredModel desired{.model = command.model,
                       .version = command.version,
                       .mark = m_context.writer + "/" + std::to_string(++m_last_mark)};
  const auto finish = [this, weak = std::weak_ptr(m_alive), backend_id = command.backend,
                       done = std::move(done)](const Result<ObjectVersion>& result) {
    if (weak.expired()) return;
    const auto found = m_servers.find(backend_id);
    if (IsOk(result) && found != m_servers.end()) found->second.machine.RequestRead();
    done(result);
  };
  DesiredWriter::Start(m_context.store, m_context.timers, command.backend, std::move(desired),
                       finish);
}

OrderState OrderTask::State(const BackendId& backend) const {
  const auto found = m_servers.find(backend);
  return found == m_servers.end() ? OrderState::kNone : found->second.machine.State();
}

void OrderTask::Tick() {
  UpdateServers();
  ReadOne();
  for (auto& [id, server] : m_servers) Step(server);
}

void OrderTask::UpdateServers() {
  std::map<BackendId, Server> kept;
  for (const OwnedBackend& owned : m_context.control.OwnedBackends()) {
    const BackendId& id = owned.config.id;
    const bool takes_orders = owned.config.kind == kEngineKind && OrderKey(id) != kRateKey;
    if (!takes_orders) continue;
    auto node = m_servers.extract(id);
    const bool is_same = !node.empty() && node.mapped().machine.OwnedSince() == owned.owned_since &&
                         node.mapped().owned.config.fencing == owned.config.fencing;
    if (!is_same) {
      if (!node.empty()) m_context.control.SetGrantsPaused(id, false);
      kept.emplace(id, Server(owned, ++m_last_generation));
      continue;
    }
    node.mapped().owned = owned;
    kept.insert(std::move(node));
  }
  // A hold ends with the ownership, but a server whose kind has changed may still be held.
  for (const auto& [id, server] : m_servers) {
    if (server.machine.IsHolding()) m_context.control.SetGrantsPaused(id, false);
  }
  m_servers = std::move(kept);
}

void OrderTask::ReadOne() {
  const TimePoint now = m_context.timers.Now();
  if (now - m_read_at < kReadPeriod) return;
  Server* next = nullptr;
  for (auto& [id, server] : m_servers) {
    if (!server.machine.IsReadDue(now)) continue;
    if (next == nullptr || server.machine.ReadAt() < next->machine.ReadAt()) next = &server;
  }
  if (next == nullptr) return;
  m_read_at = now;
  next->machine.BeginRead();
  ReadDesired(*next);
}

bool OrderTask::MayHold(const CellId& cell) const {
  std::int64_t held = 0;
  std::int64_t servers = 0;
  for (const auto& [id, server] : m_servers) {
    if (server.owned.cell != cell) continue;
    ++servers;
    if (server.machine.IsHolding()) ++held;
  }
  return held < std::max<std::int64_t>(servers / kHeldDivisor, 1);
}

void OrderTask::Step(Server& server) {
  const bool was_holding = server.machine.IsHolding();
  const OrderStep step =
      server.machine.Next(m_context.timers.Now(), server.owned.running, MayHold(server.owned.cell));
  const bool is_holding = server.machine.IsHolding();
  if (is_holding || was_holding)
    m_context.control.SetGrantsPaused(server.owned.config.id, is_holding);
  LogChange(server);
  Perform(server, step);
}

void OrderTask::Perform(Server& server, OrderStep step) {
  switch (step) {
    case OrderStep::kNone:
      return;
    case OrderStep::kReadDesired:
      return ReadDesired(server);
    case OrderStep::kReadLoaded:
      return m_context.engines.ReadLoaded(
          server.owned.config.address,
          Handover<Result<LoadedModels>>(server, &OrderMachine::OnLoaded));
    case OrderStep::kTakeToken:
      return TakeToken(server);
    case OrderStep::kSendOrder:
      return SendOrder(server);
  }
}

template <class Value>
std::function<void(Value)> OrderTask::Handover(const Server& server,
                                               void (OrderMachine::*function)(const Value&,
                                                                              TimePoint)) {
  return [this, weak = std::weak_ptr(m_alive), id = server.owned.config.id,
          generation = server.generation, function](const Value& value) {
    if (weak.expired()) return;
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.generation != generation) return;
    Server& current = found->second;
    const bool was_holding = current.machine.IsHolding();
    (current.machine.*function)(value, m_context.timers.Now());
    if (was_holding && !current.machine.IsHolding()) m_context.control.SetGrantsPaused(id, false);
    LogChange(current);
  };
}

void OrderTask::ReadDesired(Server& server) {
  auto handover =
      Handover<Result<std::optional<VersionedDesired>>>(server, &OrderMachine::OnDesired);
  m_context.store.Get(OrderKey(server.owned.config.id),
                      [handover = std::move(handover)](const Result<VersionedObject>& result) {
                        handover(ToDesired(result));
                      });
}

void OrderTask::TakeToken(Server& server) {
  const OrderMachine& machine = server.machine;
  const std::string id = OrderKey(server.owned.config.id) + "#" +
                         std::to_string(machine.Desired().version.Value()) + "#" +
                         std::to_string(server.generation) + "." +
                         std::to_string(machine.SentCount()) + "/" + m_context.writer;
  m_rate.Take(id, m_config.weight_store_loads_per_minute,
              Handover<std::optional<Millis>>(server, &OrderMachine::OnToken));
}

void OrderTask::SendOrder(Server& server) {
  const VersionedDesired& desired = server.machine.Desired();
  LogEvent(EventId::kOrderIssued, {{"backend", server.owned.config.id.Text()},
                                   {"model", desired.desired.model},
                                   {"version", desired.desired.version},
                                   {"fencing", EventNumber(desired.version)}});
  m_context.engines.Send(server.owned.config.address,
                         {.fencing = desired.version,
                          .model = desired.desired.model,
                          .version = desired.desired.version},
                         Handover<Result<int>>(server, &OrderMachine::OnOrder));
}

void OrderTask::LogChange(Server& server) {
  const OrderState state = server.machine.State();
  if (state == server.logged) return;
  server.logged = state;
  const std::string& backend = server.owned.config.id.Text();
  const std::int64_t fencing = EventNumber(server.machine.Desired().version);
  if (state == OrderState::kDone) {
    LogEvent(EventId::kOrderDone, {{"backend", backend}, {"fencing", fencing}});
  } else if (state == OrderState::kFailed) {
    LogEvent(EventId::kOrderFailed,
             {{"backend", backend}, {"fencing", fencing}, {"reason", server.machine.Reason()}});
  }
}

}  // namespace bluebellpass
