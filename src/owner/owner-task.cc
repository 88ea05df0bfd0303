#include "owner/owner-task.h"

#include <algorithm>
#include <utility>

#include "bluebellpass/event.h"

namespace bluebellpass {
namespace {

/// Deadlines and floors are checked this often.
constexpr Millis kTickPeriod{100};
/// Each cell numbers its grants and rounds from its own multiple of this.
constexpr unsigned kNumberBits = 32;
/// Bounds the memory used before the first configuration; later messages are dropped, and the
/// requests end with their deadlines.
constexpr std::size_t kMaxEarlyMessages = 10000;

void AddTo(CellCounters& sum, const CellCounters& part) {
  for (const auto& [tier, tokens] : part.granted_tokens) sum.granted_tokens[tier] += tokens;
  for (const auto& [tier, count] : part.shed_requests) sum.shed_requests[tier] += count;
  sum.wasted_prefill_tokens += part.wasted_prefill_tokens;
}

std::int64_t EventNumber(std::uint64_t number) { return static_cast<std::int64_t>(number); }

bool IsForCell(const PeerMessage& message) {
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
      m_tick(timers) {
  m_network.AddListener(this);
  m_tick.StartPeriodic(kTickPeriod, [this] { Tick(); });
}

void OwnerTask::OnPeerMessage(const InstanceId& from, const PeerMessage& message) {
  if (!m_config.has_value() && IsForCell(message)) {
    if (m_early.size() < kMaxEarlyMessages) m_early.emplace_back(from, message);
    return;
  }
  std::visit([&](const auto& body) { Handle(from, body); }, message);
}

void OwnerTask::Handle(const InstanceId& from, const ReserveMessage& message) {
  const Reservation& reservation = message.reservation;
  Cell& cell = CellFor({.pool = reservation.pool, .region = reservation.region});
  cell.OnReserve(from, reservation, m_timers.Now());
  Flush(cell);
}

void OwnerTask::Handle(const InstanceId& from, const CancelMessage& message) {
  Cell* cell = FindCell(message.cell);
  if (cell == nullptr) return;
  cell->OnCancel(from, message.id, m_timers.Now());
  Flush(*cell);
}

void OwnerTask::Handle(const InstanceId& from, const SyncMessage& message) {
  Cell& cell = CellFor(message.cell);
  cell.OnSync(from, message, m_timers.Now());
  Flush(cell);
}

void OwnerTask::Handle(const InstanceId& from, const ReleaseMessage& message) {
  // A death counts even when this instance has yielded the cell.
  const bool is_death = message.reason == ReleaseReason::kBackendLost;
  Cell* cell = is_death ? &CellFor(message.cell) : FindCell(message.cell);
  if (cell == nullptr) return;
  cell->OnRelease(from, message, m_timers.Now());
  Flush(*cell);
}

void OwnerTask::Handle(const InstanceId& from, const FloorAckMessage& message) {
  for (auto& [id, owned] : m_cells) {
    // Several cells of a pool may be owned here; rounds are unique among them.
    if (id.pool != message.pool || owned.cell->Floor().Round() != message.round) continue;
    owned.cell->OnFloorAck(from, message, m_timers.Now());
    Flush(*owned.cell);
    return;
  }
}

void OwnerTask::Handle(const InstanceId& /*from*/, const QuarantineMessage& message) {
  // Not passed on: each instance that counts a death tells all that it is linked with, and new
  // links get the whole list.
  if (m_suspects.Merge(message.entries, m_timers.Now())) m_changes_sent = m_suspects.Changes();
}

void OwnerTask::OnLinkUp(const InstanceId& peer, Incarnation /*incarnation*/) {
  std::vector<QuarantineEntry> entries = Quarantine();
  if (!entries.empty()) m_network.Send(peer, QuarantineMessage{.entries = std::move(entries)});
}

void OwnerTask::OnLinkDown(const InstanceId& peer) {
  std::erase_if(m_early, [&](const auto& row) { return row.first == peer; });
  m_gone.insert(peer);
  DropGoneHomes();
}

void OwnerTask::OnMembersChanged() {
  UpdateOwnership();
  const std::vector<Member> members = m_network.Members();
  const bool is_part_changed = UpdateOwnedPart();
  for (auto& [id, owned] : m_cells) {
    owned.cell->OnMembers(members, m_timers.Now());
    if (is_part_changed) owned.cell->OnConfig(*m_owned_part, m_organisations, m_timers.Now());
    Flush(*owned.cell);
  }
}

bool OwnerTask::UpdateOwnedPart() {
  if (!m_config.has_value()) return false;
  ClusterConfig part = m_ownership.OwnedPart(*m_config, m_network.Members());
  const auto is_same = [](const BackendConfig& a, const BackendConfig& b) {
    return a.slots == b.slots && a.token_capacity == b.token_capacity;
  };
  const bool is_changed =
      !m_owned_part.has_value() ||
      !std::equal(part.backends.begin(), part.backends.end(), m_owned_part->backends.begin(),
                  m_owned_part->backends.end(), is_same);
  m_owned_part = std::move(part);
  return is_changed;
}

void OwnerTask::OnPeerStatus(const InstanceId& /*peer*/, const PeerStatus& /*status*/) {}

void OwnerTask::OnConfigApplied(const VersionedConfig& config) {
  m_config = config.config;
  // The cells share one map of the organisations, which may be many.
  m_config->organisations.clear();
  m_config->organisations_by_id.clear();
  UpdateOwnedPart();
  m_organisations = ShareOrganisations(config.config);
  UpdateOwnership();
  for (auto& [id, owned] : m_cells) {
    owned.cell->OnConfig(*m_owned_part, m_organisations, m_timers.Now());
    Flush(*owned.cell);
  }
  for (const auto& [from, message] : std::exchange(m_early, {})) OnPeerMessage(from, message);
}

bool OwnerTask::IsOwner(const CellId& id) const {
  return m_ownership.FindOwner(id, m_network.Members()) == m_network.Self().id;
}

Cell* OwnerTask::FindCell(const CellId& id) {
  const auto place = m_cells.find(id);
  return place == m_cells.end() ? nullptr : place->second.cell.get();
}

Cell& OwnerTask::CellFor(const CellId& id) {
  const auto [place, is_new] = m_cells.try_emplace(id);
  OwnedCell& owned = place->second;
  if (!is_new) return *owned.cell;
  const std::uint64_t first_number = (++m_cells_made << kNumberBits) + 1;
  owned.cell = std::make_unique<Cell>(id, m_policy, first_number, m_suspects);
  owned.SetOwned(IsOwner(id), m_timers.Now());
  owned.cell->OnMembers(m_network.Members(), m_timers.Now());
  if (m_owned_part.has_value()) {
    owned.cell->OnConfig(*m_owned_part, m_organisations, m_timers.Now());
  }
  LogEvent(EventId::kOwnerTaken, {{"pool", id.pool.Text()}, {"region", id.region.Text()}});
  return *owned.cell;
}

void OwnerTask::UpdateOwnership() {
  const std::vector<Member> members = m_network.Members();
  const InstanceId& self = m_network.Self().id;
  for (auto place = m_cells.begin(); place != m_cells.end();) {
    const auto current = place++;
    const bool was_owned = current->second.is_owned;
    current->second.SetOwned(m_ownership.FindOwner(current->first, members) == self,
                             m_timers.Now());
    if (!was_owned || current->second.is_owned) continue;
    // The homes reserve again with the new owner, so nothing has to be refused. They are told,
    // because in their own views the owner may not have changed.
    const std::set<InstanceId> homes = current->second.cell->Homes();
    const CellId cell = current->first;
    Drop(current);
    for (const InstanceId& home : homes) m_network.Send(home, ResyncMessage{cell});
  }
  if (!m_config.has_value()) return;
  std::set<CellId> configured;
  for (const BackendConfig& backend : m_config->backends) {
    configured.insert({.pool = backend.pool, .region = backend.region});
  }
  for (const CellId& id : configured) {
    if (m_ownership.FindOwner(id, members) == self) CellFor(id);
  }
}

void OwnerTask::Drop(std::map<CellId, OwnedCell>::iterator place) {
  const CellId& id = place->first;
  LogEvent(EventId::kOwnerYielded, {{"pool", id.pool.Text()}, {"region", id.region.Text()}});
  AddTo(m_past, place->second.cell->Counters());
  m_cells.erase(place);
}

void OwnerTask::Tick() {
  const TimePoint now = m_timers.Now();
  m_suspects.Expire(now);
  for (auto place = m_cells.begin(); place != m_cells.end();) {
    const auto current = place++;
    OwnedCell& owned = current->second;
    owned.cell->Tick(now);
    Flush(*owned.cell);
    if (!owned.is_owned && owned.cell->IsIdle()) Drop(current);
  }
}

void OwnerTask::Flush(Cell& cell) {
  PerformAll(cell);
  BroadcastQuarantine();
  DropGoneHomes();
}

void OwnerTask::PerformAll(Cell& cell) {
  for (const CellAction& action : cell.TakeActions()) {
    std::visit([&](const auto& body) { Perform(cell, body); }, action);
  }
}

void OwnerTask::DropGoneHomes() {
  while (!m_gone.empty()) {
    const InstanceId home = *m_gone.begin();
    m_gone.erase(m_gone.begin());
    for (auto& [id, owned] : m_cells) {
      owned.cell->OnHomeGone(home, m_timers.Now());
      PerformAll(*owned.cell);
    }
  }
}

void OwnerTask::SendToHome(const InstanceId& home, const PeerMessage& message) {
  if (!m_network.Send(home, message)) m_gone.insert(home);
}

void OwnerTask::Perform(const Cell& cell, const GrantAction& action) {
  LogEvent(EventId::kGranted, {{"request", action.message.id.Text()},
                               {"tier", action.reservation.tier.Text()},
                               {"pool", cell.Id().pool.Text()},
                               {"organisation", action.reservation.organisation.Text()},
                               {"grant", EventNumber(action.message.grant)},
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
            {"round", EventNumber(action.message.round)},
            {"instances", static_cast<std::int64_t>(action.instances.size())}});
  // An instance without a link is asked again by the cell; nothing is shed until it answers.
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
  if (m_suspects.Changes() == m_changes_sent) return;
  m_changes_sent = m_suspects.Changes();
  const QuarantineMessage message{.entries = Quarantine()};
  for (const Member& member : m_network.Members()) {
    const InstanceId& id = member.info.id;
    if (id != m_network.Self().id && m_network.IsLinked(id)) m_network.Send(id, message);
  }
}

std::vector<WaitingRow> OwnerTask::Waiting() const {
  const TimePoint now = m_timers.Now();
  std::vector<WaitingRow> rows;
  for (const auto& [cell_id, owned] : m_cells) {
    owned.cell->Queue().ForEach([&, id = cell_id](const WaitingItem& item) {
      rows.push_back({.id = item.reservation.id,
                      .home = item.home,
                      .cell = id,
                      .tier = item.reservation.tier,
                      .organisation = item.reservation.organisation,
                      .bytes = item.reservation.bytes,
                      .tokens = item.Cost(),
                      .waited = std::chrono::duration_cast<Millis>(now - item.since),
                      .remaining = std::chrono::duration_cast<Millis>(item.deadline - now)});
    });
  }
  return rows;
}

std::vector<CellBackendRow> OwnerTask::Backends() const {
  std::vector<CellBackendRow> rows;
  for (const auto& [id, owned] : m_cells) {
    for (BackendRow& row : owned.cell->Load().Rows()) {
      rows.push_back({.cell = id, .backend = std::move(row)});
    }
  }
  return rows;
}

std::vector<OwnedBackend> OwnerTask::Owned() const {
  std::vector<OwnedBackend> list;
  if (!m_config.has_value()) return list;
  std::map<CellId, std::map<BackendId, std::int64_t>> running;
  for (const auto& [id, owned] : m_cells) {
    if (!owned.is_owned) continue;
    for (const BackendRow& row : owned.cell->Load().Rows()) running[id][row.id] = row.slots_used;
  }
  for (const BackendConfig& config : m_config->backends) {
    const CellId cell{.pool = config.pool, .region = config.region};
    const auto counts = running.find(cell);
    if (counts == running.end()) continue;
    list.push_back({.config = config,
                    .cell = cell,
                    .running = counts->second[config.id],
                    .owned_since = m_cells.at(cell).owned_since});
  }
  return list;
}

Cell* OwnerTask::FindCellOf(const BackendId& backend) {
  const BackendConfig* config = m_config.has_value() ? m_config->FindBackend(backend) : nullptr;
  if (config == nullptr) return nullptr;
  return FindCell({.pool = config->pool, .region = config->region});
}

void OwnerTask::OnLoadReport(const BackendId& backend, std::optional<std::int64_t> active) {
  Cell* cell = FindCellOf(backend);
  if (cell == nullptr) return;
  cell->OnLoadReport(backend, active, m_timers.Now());
  Flush(*cell);
}

void OwnerTask::Hold(const BackendId& backend, bool is_held) {
  Cell* cell = FindCellOf(backend);
  if (cell == nullptr) return;
  cell->Hold(backend, is_held, m_timers.Now());
  Flush(*cell);
}

bool OwnerTask::Release(Fingerprint content) {
  if (!m_suspects.Release(content, m_timers.Now())) return false;
  LogEvent(EventId::kReleased, {{"fingerprint", std::to_string(content.Value())}});
  BroadcastQuarantine();
  return true;
}

CellCounters OwnerTask::Counters() const {
  CellCounters sum = m_past;
  for (const auto& [id, owned] : m_cells) AddTo(sum, owned.cell->Counters());
  return sum;
}

}  // namespace bluebellpass
