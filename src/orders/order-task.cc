#include "orders/order-task.h"

#include <algorithm>
#include <utility>

#include "bluebellpass/event.h"
#include "orders/desired-writer.h"

namespace bluebellpass {
namespace {

constexpr Millis kTickPeriod{200};
// Limits the reads of desired states to one per second and owner, however many servers it owns.
constexpr Millis kReadPeriod{1'000};
// Grants may be paused for one in this many servers of a cell at the same time; at least for one.
constexpr std::int64_t kPausedDivisor = 4;
constexpr std::string_view kEngineKind = "engine";

std::int64_t EventNumber(ObjectVersion version) {
  return static_cast<std::int64_t>(version.Value());
}

/// @return nullopt when there is no object. Errors: those of the store, kInternal for a document of
/// unknown format.
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
      m_rate_limiter(m_context.store, m_context.wall_clock),
      m_tick(m_context.timers) {
  m_tick.StartPeriodic(kTickPeriod, [this] { Tick(); });
}

void OrderTask::AcceptOrder(const LoadCommand& command,
                            std::function<void(Result<ObjectVersion>)> done) {
  const BackendConfig* backend = m_config.FindBackend(command.backend);
  const std::string& name = command.backend.Text();
  if (backend == nullptr) return done(Error{ErrorKind::kNotFound, "unknown backend server", name});
  // A server named "rate" has the same key as the load record.
  if (backend->kind != kEngineKind || OrderKey(command.backend) == kLoadRecordKey) {
    return done(Error{ErrorKind::kBadCommand, "this backend server does not accept orders", name});
  }
  DesiredModel desired{.model = command.model,
                       .version = command.version,
                       .write_id = m_context.writer + "/" + std::to_string(++m_last_write_number)};
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

OrderState OrderTask::OrderStateOf(const BackendId& backend) const {
  const auto found = m_servers.find(backend);
  return found == m_servers.end() ? OrderState::kNone : found->second.machine.State();
}

void OrderTask::Tick() {
  UpdateServers();
  ReadNextDesired();
  for (auto& [id, server] : m_servers) AdvanceServer(server);
}

void OrderTask::UpdateServers() {
  std::map<BackendId, Server> kept;
  for (const OwnedBackend& owned : m_context.control.OwnedBackends()) {
    const BackendId& id = owned.config.id;
    const bool takes_orders = owned.config.kind == kEngineKind && OrderKey(id) != kLoadRecordKey;
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
  // A pause ends with the ownership, but a server whose kind has changed may still be paused.
  for (const auto& [id, server] : m_servers) {
    if (server.machine.IsPausingGrants()) m_context.control.SetGrantsPaused(id, false);
  }
  m_servers = std::move(kept);
}

void OrderTask::ReadNextDesired() {
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

bool OrderTask::MayPauseGrants(const CellId& cell) const {
  std::int64_t paused = 0;
  std::int64_t servers = 0;
  for (const auto& [id, server] : m_servers) {
    if (server.owned.cell != cell) continue;
    ++servers;
    if (server.machine.IsPausingGrants()) ++paused;
  }
  return paused < std::max<std::int64_t>(servers / kPausedDivisor, 1);
}

void OrderTask::AdvanceServer(Server& server) {
  const bool was_pausing = server.machine.IsPausingGrants();
  const OrderStep step = server.machine.Next(m_context.timers.Now(), server.owned.running,
                                             MayPauseGrants(server.owned.cell));
  const bool is_pausing = server.machine.IsPausingGrants();
  if (is_pausing || was_pausing)
    m_context.control.SetGrantsPaused(server.owned.config.id, is_pausing);
  LogStateChange(server);
  StartStep(server, step);
}

void OrderTask::StartStep(Server& server, OrderStep step) {
  switch (step) {
    case OrderStep::kNone:
      return;
    case OrderStep::kReadDesired:
      return ReadDesired(server);
    case OrderStep::kReadLoaded:
      return m_context.engines.ReadLoaded(
          server.owned.config.address,
          ResultHandler<Result<LoadedModels>>(server, &OrderMachine::OnLoaded));
    case OrderStep::kAcquirePermit:
      return AcquirePermit(server);
    case OrderStep::kSendOrder:
      return SendOrder(server);
  }
}

template <class Value>
std::function<void(Value)> OrderTask::ResultHandler(const Server& server,
                                                    void (OrderMachine::*function)(const Value&,
                                                                                   TimePoint)) {
  return [this, weak = std::weak_ptr(m_alive), id = server.owned.config.id,
          generation = server.generation, function](const Value& value) {
    if (weak.expired()) return;
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.generation != generation) return;
    Server& current = found->second;
    const bool was_pausing = current.machine.IsPausingGrants();
    (current.machine.*function)(value, m_context.timers.Now());
    if (was_pausing && !current.machine.IsPausingGrants())
      m_context.control.SetGrantsPaused(id, false);
    LogStateChange(current);
  };
}

void OrderTask::ReadDesired(Server& server) {
  auto handler =
      ResultHandler<Result<std::optional<VersionedDesired>>>(server, &OrderMachine::OnDesired);
  m_context.store.Get(OrderKey(server.owned.config.id),
                      [handler = std::move(handler)](const Result<VersionedObject>& result) {
                        handler(ToDesired(result));
                      });
}

void OrderTask::AcquirePermit(Server& server) {
  const OrderMachine& machine = server.machine;
  const std::string id = OrderKey(server.owned.config.id) + "#" +
                         std::to_string(machine.Desired().version.Value()) + "#" +
                         std::to_string(server.generation) + "." +
                         std::to_string(machine.SentCount()) + "/" + m_context.writer;
  m_rate_limiter.Acquire(id, m_config.weight_store_loads_per_minute,
                         ResultHandler<std::optional<Millis>>(server, &OrderMachine::OnPermit));
}

void OrderTask::SendOrder(Server& server) {
  const VersionedDesired& desired = server.machine.Desired();
  LogEvent(EventId::kOrderIssued, {{"backend", server.owned.config.id.Text()},
                                   {"model", desired.desired.model},
                                   {"version", desired.desired.version},
                                   {"fencing", EventNumber(desired.version)}});
  m_context.engines.Send(server.owned.config.address,
                         {.fencing_token = desired.version,
                          .model = desired.desired.model,
                          .version = desired.desired.version},
                         ResultHandler<Result<int>>(server, &OrderMachine::OnOrder));
}

void OrderTask::LogStateChange(Server& server) {
  const OrderState state = server.machine.State();
  if (state == server.logged_state) return;
  server.logged_state = state;
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
