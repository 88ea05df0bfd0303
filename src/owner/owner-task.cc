#include "owner/owner-task.h"

#include <algorithm>
#include <utility>

#include "bluebellpass/event.h"

namespace bluebellpass {
namespace {

/// Period of the deadline and shed-floor checks.
constexpr Millis kTickPeriod{100};
/// Bits for the grant and round numbers of one cell; the higher bits number the cells.
constexpr unsigned kCellNumberBits = 32;
/// Bounds the memory used before the first configuration. Further messages are dropped, and their
/// requests end by their deadlines.
constexpr std::size_t kMaxDeferredMessages = 10000;

void AddCounters(CellCounters& sum, const CellCounters& counters) {
  for (const auto& [tier, tokens] : counters.granted_tokens) sum.granted_tokens[tier] += tokens;
  for (const auto& [tier, count] : counters.shed_requests) sum.shed_requests[tier] += count;
  sum.wasted_prefill_tokens += counters.wasted_prefill_tokens;
}

std::int64_t ToEventValue(std::uint64_t number) { return static_cast<std::int64_t>(number); }

bool IsCellMessage(const PeerMessage& message) {
  return std::holds_alternative<ReserveMessage>(message) ||
         std::holds_alternative<CancelMessage>(message) ||
         std::holds_alternative<SyncMessage>(message) ||
         std::holds_alternative<ReleaseMessage>(message);
}

}  // namespace

OwnerTask::OwnerTask(PeerNetwork& network, TimerService& timers, const Ownership& ownership,
                     QueuePolicy policy)
    : m_network(network),
      m_timers(timers),
      m_ownership(ownership),
      m_policy(policy),
      m_suspects([] { return TickHybridClock(); }),
      m_tick_timer(timers) {
  m_network.AddListener(this);
  m_tick_timer.StartPeriodic(kTickPeriod, [this] { Tick(); });
}

void OwnerTask::OnPeerMessage(const InstanceId& from, const PeerMessage& message) {
  if (!m_config.has_value() && IsCellMessage(message)) {
    if (m_deferred_messages.size() < kMaxDeferredMessages)
      m_deferred_messages.emplace_back(from, message);
    return;
  }
  std::visit([&](const auto& body) { Handle(from, body); }, message);
}

void OwnerTask::Handle(const InstanceId& from, const ReserveMessage& message) {
  const Reservation& reservation = message.reservation;
  Cell& cell = FindOrCreateCell({.pool = reservation.pool, .region = reservation.region});
  cell.OnReserve(from, reservation, m_timers.Now());
  FinishUpdate(cell);
}

void OwnerTask::Handle(const InstanceId& from, const CancelMessage& message) {
  Cell* cell = FindCell(message.cell);
  if (cell == nullptr) return;
  cell->OnCancel(from, message.id, m_timers.Now());
  FinishUpdate(*cell);
}

void OwnerTask::Handle(const InstanceId& from, const SyncMessage& message) {
  Cell& cell = FindOrCreateCell(message.cell);
  cell.OnSync(from, message, m_timers.Now());
  FinishUpdate(cell);
}

void OwnerTask::Handle(const InstanceId& from, const ReleaseMessage& message) {
  // A death counts even if this instance no longer owns the cell.
  const bool is_death = message.reason == ReleaseReason::kBackendLost;
  Cell* cell = is_death ? &FindOrCreateCell(message.cell) : FindCell(message.cell);
  if (cell == nullptr) return;
  cell->OnRelease(from, message, m_timers.Now());
  FinishUpdate(*cell);
}

void OwnerTask::Handle(const InstanceId& from, const FloorAckMessage& message) {
  for (auto& [id, entry] : m_cells) {
    // Rounds are unique among the cells of an instance, which may own several cells of a pool.
    if (id.pool != message.pool || entry.cell->Floor().Round() != message.round) continue;
    entry.cell->OnFloorAck(from, message, m_timers.Now());
    FinishUpdate(*entry.cell);
    return;
  }
}

void OwnerTask::Handle(const InstanceId& /*from*/, const QuarantineMessage& message) {
  // Not forwarded: the instance that counts a death sends it to all its links, and a new link gets
  // the whole list.
  if (m_suspects.Merge(message.entries, m_timers.Now()))
    m_sent_change_count = m_suspects.ChangeCount();
}

void OwnerTask::OnLinkUp(const InstanceId& peer, Incarnation /*incarnation*/) {
  std::vector<QuarantineEntry> entries = QuarantineEntries();
  if (!entries.empty()) m_network.Send(peer, QuarantineMessage{.entries = std::move(entries)});
}

void OwnerTask::OnLinkDown(const InstanceId& peer) {
  std::erase_if(m_deferred_messages, [&](const auto& row) { return row.first == peer; });
  m_unreachable_homes.insert(peer);
  RemoveUnreachableHomes();
}

void OwnerTask::OnMembersChanged() {
  UpdateOwnership();
  const std::vector<Member> members = m_network.Members();
  const bool is_capacity_changed = UpdateOwnedConfig();
  for (auto& [id, entry] : m_cells) {
    entry.cell->OnMembersChanged(members, m_timers.Now());
    if (is_capacity_changed) entry.cell->OnConfig(*m_owned_config, m_organisations, m_timers.Now());
    FinishUpdate(*entry.cell);
  }
}

bool OwnerTask::UpdateOwnedConfig() {
  if (!m_config.has_value()) return false;
  ClusterConfig owned_config = m_ownership.OwnedConfig(*m_config, m_network.Members());
  const auto has_same_capacity = [](const BackendConfig& a, const BackendConfig& b) {
    return a.slots == b.slots && a.token_capacity == b.token_capacity;
  };
  const bool is_changed = !m_owned_config.has_value() ||
                          !std::equal(owned_config.backends.begin(), owned_config.backends.end(),
                                      m_owned_config->backends.begin(),
                                      m_owned_config->backends.end(), has_same_capacity);
  m_owned_config = std::move(owned_config);
  return is_changed;
}

void OwnerTask::OnPeerStatus(const InstanceId& /*peer*/, const PeerStatus& /*status*/) {}

void OwnerTask::OnConfigApplied(const VersionedConfig& config) {
  m_config = config.config;
  // Cells get the organisations as a shared map, because there may be many.
  m_config->organisations.clear();
  m_config->organisations_by_id.clear();
  UpdateOwnedConfig();
  m_organisations = MakeOrganisationMap(config.config);
  UpdateOwnership();
  for (auto& [id, entry] : m_cells) {
    entry.cell->OnConfig(*m_owned_config, m_organisations, m_timers.Now());
    FinishUpdate(*entry.cell);
  }
  for (const auto& [from, message] : std::exchange(m_deferred_messages, {}))
    OnPeerMessage(from, message);
}

bool OwnerTask::OwnsCell(const CellId& id) const {
  return m_ownership.FindOwner(id, m_network.Members()) == m_network.Self().id;
}

Cell* OwnerTask::FindCell(const CellId& id) {
  const auto it = m_cells.find(id);
  return it == m_cells.end() ? nullptr : it->second.cell.get();
}

Cell& OwnerTask::FindOrCreateCell(const CellId& id) {
  const auto [it, is_new] = m_cells.try_emplace(id);
  CellEntry& entry = it->second;
  if (!is_new) return *entry.cell;
  const std::uint64_t first_number = (++m_cells_created << kCellNumberBits) + 1;
  entry.cell = std::make_unique<Cell>(id, m_policy, first_number, m_suspects);
  entry.SetOwned(OwnsCell(id), m_timers.Now());
  entry.cell->OnMembersChanged(m_network.Members(), m_timers.Now());
  if (m_owned_config.has_value()) {
    entry.cell->OnConfig(*m_owned_config, m_organisations, m_timers.Now());
  }
  LogEvent(EventId::kOwnerTaken, {{"pool", id.pool.Text()}, {"region", id.region.Text()}});
  return *entry.cell;
}

void OwnerTask::UpdateOwnership() {
  const std::vector<Member> members = m_network.Members();
  const InstanceId& self = m_network.Self().id;
  for (auto it = m_cells.begin(); it != m_cells.end();) {
    const auto current = it++;
    const bool was_owned = current->second.is_owned;
    current->second.SetOwned(m_ownership.FindOwner(current->first, members) == self,
                             m_timers.Now());
    if (!was_owned || current->second.is_owned) continue;
    // Refusals are not needed: the homes reserve again with the new owner. They are notified,
    // because by their own views the owner may not have changed.
    const std::set<InstanceId> homes = current->second.cell->Homes();
    const CellId cell = current->first;
    DropCell(current);
    for (const InstanceId& home : homes) m_network.Send(home, ResyncMessage{cell});
  }
  if (!m_config.has_value()) return;
  std::set<CellId> configured;
  for (const BackendConfig& backend : m_config->backends) {
    configured.insert({.pool = backend.pool, .region = backend.region});
  }
  for (const CellId& id : configured) {
    if (m_ownership.FindOwner(id, members) == self) FindOrCreateCell(id);
  }
}

void OwnerTask::DropCell(std::map<CellId, CellEntry>::iterator it) {
  const CellId& id = it->first;
  LogEvent(EventId::kOwnerYielded, {{"pool", id.pool.Text()}, {"region", id.region.Text()}});
  AddCounters(m_dropped_cell_counters, it->second.cell->Counters());
  m_cells.erase(it);
}

void OwnerTask::Tick() {
  const TimePoint now = m_timers.Now();
  m_suspects.RemoveExpired(now);
  for (auto it = m_cells.begin(); it != m_cells.end();) {
    const auto current = it++;
    CellEntry& entry = current->second;
    entry.cell->Tick(now);
    FinishUpdate(*entry.cell);
    if (!entry.is_owned && entry.cell->IsIdle()) DropCell(current);
  }
}

void OwnerTask::FinishUpdate(Cell& cell) {
  PerformActions(cell);
  BroadcastQuarantine();
  RemoveUnreachableHomes();
}

void OwnerTask::PerformActions(Cell& cell) {
  for (const CellAction& action : cell.TakeActions()) {
    std::visit([&](const auto& body) { Perform(cell, body); }, action);
  }
}

void OwnerTask::RemoveUnreachableHomes() {
  while (!m_unreachable_homes.empty()) {
    const InstanceId home = *m_unreachable_homes.begin();
    m_unreachable_homes.erase(m_unreachable_homes.begin());
    for (auto& [id, entry] : m_cells) {
      entry.cell->OnHomeDisconnected(home, m_timers.Now());
      PerformActions(*entry.cell);
    }
  }
}

void OwnerTask::SendToHome(const InstanceId& home, const PeerMessage& message) {
  if (!m_network.Send(home, message)) m_unreachable_homes.insert(home);
}

void OwnerTask::Perform(const Cell& cell, const GrantAction& action) {
  LogEvent(EventId::kGranted, {{"request", action.message.id.Text()},
                               {"tier", action.reservation.tier.Text()},
                               {"pool", cell.Id().pool.Text()},
                               {"organisation", action.reservation.organisation.Text()},
                               {"grant", ToEventValue(action.message.grant)},
                               {"backend", action.message.backend.Text()}});
  SendToHome(action.home, action.message);
}

void OwnerTask::Perform(const Cell& cell, const RefuseAction& action) {
  const ErrorKind kind = action.message.kind;
  if (kind == ErrorKind::kOverloaded || kind == ErrorKind::kOrganisationLimit) {
    LogEvent(EventId::kShed, {{"request", action.message.id.Text()},
                              {"tier", action.tier.Text()},
                              {"pool", cell.Id().pool.Text()},
                              {"organisation", action.organisation.Text()},
                              {"error", std::string(GetErrorInfo(kind).name)}});
  }
  SendToHome(action.home, action.message);
}

void OwnerTask::Perform(const Cell& cell, const AskFloorAction& action) {
  LogEvent(EventId::kFloorAsked,
           {{"pool", cell.Id().pool.Text()},
            {"rank", static_cast<std::int64_t>(action.message.rank.Value())},
            {"round", ToEventValue(action.message.round)},
            {"instances", static_cast<std::int64_t>(action.instances.size())}});
  // The cell repeats the ask for an instance without a link, and sheds nothing until it answers.
  for (const InstanceId& instance : action.instances) m_network.Send(instance, action.message);
}

void OwnerTask::Perform(const Cell& cell, const FloorHeldAction& action) {
  LogEvent(EventId::kFloorHeld, {{"pool", cell.Id().pool.Text()},
                                 {"rank", static_cast<std::int64_t>(action.rank.Value())}});
}

void OwnerTask::Perform(const Cell& cell, const SuspectAction& action) {
  const bool is_quarantined = action.deaths >= kDeathsToQuarantine;
  LogEvent(is_quarantined ? EventId::kQuarantined : EventId::kSuspect,
           {{"pool", cell.Id().pool.Text()},
            {"fingerprint", std::to_string(action.content.Value())},
            {"deaths", static_cast<std::int64_t>(action.deaths)},
            {"backend", action.backend.Text()}});
}

void OwnerTask::BroadcastQuarantine() {
  if (m_suspects.ChangeCount() == m_sent_change_count) return;
  m_sent_change_count = m_suspects.ChangeCount();
  const QuarantineMessage message{.entries = QuarantineEntries()};
  for (const Member& member : m_network.Members()) {
    const InstanceId& id = member.info.id;
    if (id != m_network.Self().id && m_network.IsLinked(id)) m_network.Send(id, message);
  }
}

std::vector<WaitingRequest> OwnerTask::WaitingRequests() const {
  const TimePoint now = m_timers.Now();
  std::vector<WaitingRequest> requests;
  for (const auto& [cell_id, entry] : m_cells) {
    entry.cell->Queue().ForEach([&, id = cell_id](const QueuedReservation& item) {
      requests.push_back({.id = item.reservation.id,
                          .home = item.home,
                          .cell = id,
                          .tier = item.reservation.tier,
                          .organisation = item.reservation.organisation,
                          .bytes = item.reservation.bytes,
                          .tokens = item.TotalTokens(),
                          .waited = std::chrono::duration_cast<Millis>(now - item.enqueued_at),
                          .remaining = std::chrono::duration_cast<Millis>(item.deadline - now)});
    });
  }
  return requests;
}

std::vector<CellBackendStats> OwnerTask::CellBackends() const {
  std::vector<CellBackendStats> result;
  for (const auto& [id, entry] : m_cells) {
    for (BackendStats& stats : entry.cell->Load().Stats()) {
      result.push_back({.cell = id, .backend = std::move(stats)});
    }
  }
  return result;
}

std::vector<OwnedBackend> OwnerTask::OwnedBackends() const {
  std::vector<OwnedBackend> result;
  if (!m_config.has_value()) return result;
  std::map<CellId, std::map<BackendId, std::int64_t>> runs;
  for (const auto& [id, entry] : m_cells) {
    if (!entry.is_owned) continue;
    for (const BackendStats& row : entry.cell->Load().Stats()) runs[id][row.id] = row.slots_used;
  }
  for (const BackendConfig& config : m_config->backends) {
    const CellId cell{.pool = config.pool, .region = config.region};
    const auto counts = runs.find(cell);
    if (counts == runs.end()) continue;
    result.push_back({.config = config,
                      .cell = cell,
                      .running = counts->second[config.id],
                      .owned_since = m_cells.at(cell).owned_since});
  }
  return result;
}

Cell* OwnerTask::FindBackendCell(const BackendId& backend) {
  const BackendConfig* config = m_config.has_value() ? m_config->FindBackend(backend) : nullptr;
  if (config == nullptr) return nullptr;
  return FindCell({.pool = config->pool, .region = config->region});
}

void OwnerTask::OnLoadReport(const BackendId& backend, std::optional<std::int64_t> reported_runs) {
  Cell* cell = FindBackendCell(backend);
  if (cell == nullptr) return;
  cell->OnLoadReport(backend, reported_runs, m_timers.Now());
  FinishUpdate(*cell);
}

void OwnerTask::SetGrantsPaused(const BackendId& backend, bool is_paused) {
  Cell* cell = FindBackendCell(backend);
  if (cell == nullptr) return;
  cell->SetGrantsPaused(backend, is_paused, m_timers.Now());
  FinishUpdate(*cell);
}

bool OwnerTask::ReleaseContent(Fingerprint content) {
  if (!m_suspects.ReleaseContent(content, m_timers.Now())) return false;
  LogEvent(EventId::kReleased, {{"fingerprint", std::to_string(content.Value())}});
  BroadcastQuarantine();
  return true;
}

CellCounters OwnerTask::Counters() const {
  CellCounters sum = m_dropped_cell_counters;
  for (const auto& [id, entry] : m_cells) AddCounters(sum, entry.cell->Counters());
  return sum;
}

}  // namespace bluebellpass
