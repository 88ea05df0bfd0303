#include "policy/cell.h"

#include <algorithm>

#include "policy/shift-rules.h"

namespace bluebellpass {
namespace {

/// Learned speeds are averages; a request is refused only when it is well beyond them.
constexpr double kInfeasibleMargin = 0.8;
/// From the grant to the engine's start and from its last token to the caller. Without it, 753 of
/// 1,325 questions that ran in a flood of their own tier ended up to 25 ms late.
constexpr Millis kDeliveryTime{50};
/// Asks can be lost with a link; an instance that has not acknowledged is asked again.
constexpr Millis kFloorRetry{500};
constexpr Millis kDriftPeriod{1000};
/// Limit of an organisation that is not configured here yet.
const OrganisationConfig kDefaultOrganisation{};

/// Time within which a run must end to be of use. Work that has waited competes with other work, so
/// it must fit; a request that can be dispatched on arrival has the benefit of the doubt.
Millis LimitOf(const WaitingItem& item, TimePoint now) {
  const auto remaining = std::chrono::duration_cast<Millis>(item.deadline - now);
  if (now > item.since) return remaining - kDeliveryTime;
  return Millis{
      static_cast<std::int64_t>(static_cast<double>(remaining.count()) / kInfeasibleMargin)};
}

}  // namespace

Cell::Cell(CellId id, QueuePolicy policy, std::uint64_t first_number, Suspects& suspects)
    : m_id(std::move(id)), m_policy(policy), m_next_number(first_number), m_suspects(suspects) {}

SharedOrganisations ShareOrganisations(const ClusterConfig& config) {
  auto map = std::make_shared<OrganisationMap>();
  map->reserve(config.organisations.size());
  for (const OrganisationConfig& row : config.organisations) map->emplace(row.id, row);
  return map;
}

const TierConfig* Cell::FindTier(const TierName& name) const {
  const auto place = m_tiers.find(name);
  return place == m_tiers.end() ? nullptr : &place->second;
}

const OrganisationConfig* Cell::FindOrganisation(const OrganisationId& id) const {
  const auto place = m_organisations->find(id);
  return place == m_organisations->end() ? &kDefaultOrganisation : &place->second;
}

std::optional<TierRank> Cell::LowestRank() const {
  if (m_bounds.empty()) return std::nullopt;
  return m_bounds.rbegin()->first;
}

BackendLoad::Demand Cell::DemandOf(const Reservation& reservation, TimePoint now) const {
  BackendLoad::Demand demand{.prompt = reservation.prompt_tokens,
                             .output = reservation.max_output_tokens,
                             .prefix = reservation.prefix,
                             .is_alone = m_suspects.IsSuspect(reservation.content, now)};
  ApplyShifts(demand, reservation.id);
  return demand;
}

void Cell::ApplyShifts(BackendLoad::Demand& demand, const RequestId& id) const {
  for (const ShiftRule* rule : RulesFor(m_shifts, id)) {
    if (m_load.HasActive(rule->to)) demand.avoided.push_back(rule->from);
  }
  if (!demand.avoided.empty() && !m_load.CanAvoid(demand)) demand.avoided.clear();
}

void Cell::OnReserve(const InstanceId& home, const Reservation& reservation, TimePoint now) {
  Admit(home, reservation, now);
  HandleOverflow(now);
  Schedule(now);
}

void Cell::Admit(const InstanceId& home, const Reservation& reservation, TimePoint now) {
  if (m_queue.Find(reservation.id) != nullptr) return;
  const std::optional<ErrorKind> error = CheckAdmission(reservation, now);
  if (error.has_value()) {
    Refuse(home, reservation, *error);
    return;
  }
  m_queue.Add({.home = home,
               .reservation = reservation,
               .rank = FindTier(reservation.tier)->rank,
               .weight = FindOrganisation(reservation.organisation)->weight,
               .deadline = now + reservation.remaining,
               .since = now});
}

std::optional<ErrorKind> Cell::CheckAdmission(const Reservation& reservation, TimePoint now) {
  if (m_suspects.IsQuarantined(reservation.content, now)) return ErrorKind::kQuarantined;
  const TierConfig* tier = FindTier(reservation.tier);
  if (tier == nullptr) return ErrorKind::kUnknownTier;
  if (reservation.remaining.count() <= 0) return ErrorKind::kDeadlineExceeded;
  if (m_policy == QueuePolicy::kFifoRoundRobin) return std::nullopt;
  if (IsInfeasible(reservation)) return ErrorKind::kDeadlineInfeasible;
  const std::optional<TierRank> held = m_floor.Held(now);
  if (held.has_value() && tier->rank > *held) {
    RefuseAll(m_queue.TakeBelow(tier->rank), ErrorKind::kOverloaded);
    return ErrorKind::kOverloaded;
  }
  // The lowest tier may be refused without promises: nothing is below it.
  const std::optional<TierRank> asked = m_floor.Asked(now);
  const bool is_lowest = tier->rank == LowestRank();
  if (asked.has_value() && tier->rank > *asked && is_lowest) return ErrorKind::kOverloaded;
  if (IsOverOrganisationLimit(reservation, tier->rank, now)) return ErrorKind::kOrganisationLimit;
  return std::nullopt;
}

std::optional<Millis> Cell::FastestFor(const Reservation& reservation) const {
  BackendLoad::Demand demand{.prompt = reservation.prompt_tokens,
                             .output = reservation.max_output_tokens};
  ApplyShifts(demand, reservation.id);
  return m_load.FastestEmpty(demand);
}

bool Cell::IsInfeasible(const Reservation& reservation) const {
  const std::optional<Millis> fastest = FastestFor(reservation);
  if (!fastest.has_value()) return false;
  return static_cast<double>(fastest->count()) * kInfeasibleMargin >
         static_cast<double>(reservation.remaining.count());
}

bool Cell::IsOverOrganisationLimit(const Reservation& reservation, TierRank rank, TimePoint now) {
  const std::int64_t limit = FindOrganisation(reservation.organisation)->max_waiting_bytes;
  const std::int64_t waiting = m_queue.Bytes(rank, reservation.organisation);
  if (waiting + reservation.bytes <= limit) return false;
  if (rank == LowestRank()) return true;
  if (!m_floor.MayShed(rank, now)) return false;
  RefuseAll(m_queue.TakeBelow(rank), ErrorKind::kOverloaded);
  return true;
}

void Cell::Refuse(const InstanceId& home, const Reservation& reservation, ErrorKind kind) {
  const bool is_shed = kind == ErrorKind::kOverloaded || kind == ErrorKind::kOrganisationLimit;
  if (is_shed) ++m_counters.shed_requests[reservation.tier];
  m_actions.emplace_back(RefuseAction{.home = home,
                                      .message = {.cell = m_id, .id = reservation.id, .kind = kind},
                                      .tier = reservation.tier,
                                      .organisation = reservation.organisation});
}

void Cell::RefuseAll(const std::vector<WaitingItem>& items, ErrorKind kind) {
  for (const WaitingItem& item : items) Refuse(item.home, item.reservation, kind);
}

bool Cell::IsOver(TierRank rank) const { return m_queue.Bytes(rank) > m_bounds.at(rank); }

void Cell::ShedTier(TierRank rank) {
  while (IsOver(rank)) {
    const std::optional<WaitingItem> item = m_queue.TakeFromLargest(rank);
    if (!item.has_value()) return;
    Refuse(item->home, item->reservation, ErrorKind::kOverloaded);
  }
}

void Cell::HandleOverflow(TimePoint now) {
  if (m_policy == QueuePolicy::kFifoRoundRobin || m_bounds.empty()) return;
  const TierRank lowest = *LowestRank();
  ShedTier(lowest);
  const auto over = std::find_if(m_bounds.begin(), m_bounds.end(),
                                 [this](const auto& row) { return IsOver(row.first); });
  m_queue.SetFloor(m_floor.Asked(now));
  if (over == m_bounds.end()) return;
  const TierRank rank = over->first;
  // The lowest tier needs no promises. Those between wait for the floor, because instances may
  // still keep work below them.
  const auto above_lowest = std::next(m_bounds.rbegin());
  RefuseAll(m_queue.TakeBelow(above_lowest->first), ErrorKind::kOverloaded);
  if (!m_floor.MayShed(rank, now)) return AskNextFloor(now);
  RefuseAll(m_queue.TakeBelow(rank), ErrorKind::kOverloaded);
  ShedTier(rank);
}

void Cell::AskNextFloor(TimePoint now) {
  // An instance sheds all below a floor as soon as it promises it. A middle tier must not be shed
  // before all instances have given up the tiers below, so floors rise one tier at a time.
  const std::optional<TierRank> held = m_floor.Held(now);
  if (!held.has_value()) {
    if (!m_floor.Asked(now).has_value()) AskFloor(std::next(m_bounds.rbegin())->first, now);
    return;
  }
  const auto place = m_bounds.lower_bound(*held);
  if (place != m_bounds.begin()) AskFloor(std::prev(place)->first, now);
}

void Cell::AskFloor(TierRank rank, TimePoint now) {
  m_floor.Ask(m_next_number++, rank, m_members, now);
  m_queue.SetFloor(rank);
  SendFloorAsk(now);
}

void Cell::SendFloorAsk(TimePoint now) {
  const std::optional<TierRank> rank = m_floor.Asked(now);
  std::vector<InstanceId> missing = m_floor.Missing();
  if (!rank.has_value() || missing.empty()) return;
  m_floor_sent_at = now;
  m_actions.emplace_back(AskFloorAction{
      .instances = std::move(missing),
      .message = {.round = m_floor.Round(), .pool = m_id.pool, .rank = *rank, .hold = kFloorHold}});
}

void Cell::OnFloorAck(const InstanceId& from, const FloorAckMessage& ack, TimePoint now) {
  if (!m_floor.OnAck(from, ack.round, now)) return;
  m_actions.emplace_back(FloorHeldAction{.rank = *m_floor.Held(now)});
  HandleOverflow(now);
  Schedule(now);
}

void Cell::OnMembers(const std::vector<Member>& members, TimePoint now) {
  m_members = MembersToAsk(members);
  if (m_floor.OnMembers(m_members)) m_floor.Drop();
  SendFloorAsk(now);
  HandleOverflow(now);
}

void Cell::OnCancel(const InstanceId& home, const RequestId& id, TimePoint now) {
  const WaitingItem* item = m_queue.Find(id);
  if (item == nullptr || item->home != home) return;
  m_queue.Remove(id);
  Schedule(now);
}

std::set<InstanceId> Cell::Homes() const {
  std::set<InstanceId> homes;
  m_queue.ForEach([&](const WaitingItem& item) { homes.insert(item.home); });
  for (const auto& [key, running] : m_running) homes.insert(running.home);
  return homes;
}

void Cell::DropHome(const InstanceId& home) {
  std::vector<RequestId> waiting;
  m_queue.ForEach([&](const WaitingItem& item) {
    if (item.home == home) waiting.push_back(item.reservation.id);
  });
  for (const RequestId& id : waiting) m_queue.Remove(id);
  for (auto run = m_running.begin(); run != m_running.end();) {
    const auto current = run++;
    if (current->second.home == home) EndRunning(current);
  }
}

void Cell::OnHomeGone(const InstanceId& home, TimePoint now) {
  DropHome(home);
  m_floor.OnLinkDown(home);
  m_floor.Drop();
  Schedule(now);
}

void Cell::OnSync(const InstanceId& home, const SyncMessage& sync, TimePoint now) {
  DropHome(home);
  for (const RunningGrant& run : sync.running) {
    AddRunning({run.id, run.grant}, {.home = home,
                                     .backend = run.backend,
                                     .tokens = run.tokens,
                                     .content = run.content,
                                     .is_alone = m_suspects.IsSuspect(run.content, now)});
  }
  for (const Reservation& reservation : sync.waiting) Admit(home, reservation, now);
  HandleOverflow(now);
  Schedule(now);
}

void Cell::AddRunning(RunKey key, Running running) {
  const auto [place, is_new] = m_running.try_emplace(std::move(key), std::move(running));
  if (!is_new) return;
  const Running& added = place->second;
  m_load.Begin(added.backend, added.tokens, added.is_alone);
  if (added.is_alone) ++m_suspects_running;
}

void Cell::EndRunning(std::map<RunKey, Running>::iterator place) {
  const Running& ended = place->second;
  m_load.End(ended.backend, ended.tokens, ended.is_alone);
  if (ended.is_alone) --m_suspects_running;
  m_running.erase(place);
}

void Cell::CountDeath(const ReleaseMessage& release, const Running* ended, TimePoint now) {
  m_load.OnLost(release.backend, now);
  if (ended != nullptr && ended->is_death_counted) return;
  // Homes report the runs of a dead server one by one. All that runs there is counted with the
  // first report, so that the later ones do not look like further deaths.
  std::vector<Fingerprint> contents{release.content};
  for (auto& [key, run] : m_running) {
    if (run.backend != release.backend || run.is_death_counted) continue;
    run.is_death_counted = true;
    contents.push_back(run.content);
  }
  for (const QuarantineEntry& entry : m_suspects.OnDeath(contents, now)) {
    m_actions.emplace_back(SuspectAction{
        .content = entry.content, .deaths = entry.deaths, .backend = release.backend});
  }
}

void Cell::OnRelease(const InstanceId& home, const ReleaseMessage& release, TimePoint now) {
  const auto place = m_running.find({release.id, release.grant});
  const bool is_known = place != m_running.end() && place->second.home == home;
  const std::optional<Running> ended = is_known ? std::optional(place->second) : std::nullopt;
  if (is_known) EndRunning(place);
  const bool was_counted = ended.has_value() && ended->is_death_counted;
  switch (release.reason) {
    case ReleaseReason::kCompleted:
      m_load.Learn(release, now);
      m_suspects.OnCompleted(release.content, now);
      break;
    case ReleaseReason::kBackendLost:
      CountDeath(release, ended.has_value() ? &*ended : nullptr, now);
      break;
    case ReleaseReason::kUnreachable:
      // The server was out of reach, which is not the fault of the content. It gets no work for a
      // while.
      m_load.OnLost(release.backend, now);
      if (was_counted) m_suspects.UndoDeath(ended->content, now);
      break;
    case ReleaseReason::kNotUsed:
    case ReleaseReason::kFailed:
      if (was_counted) m_suspects.UndoDeath(ended->content, now);
      break;
    case ReleaseReason::kCancelled:
      break;
  }
  const bool is_wasted = release.reason == ReleaseReason::kCancelled ||
                         release.reason == ReleaseReason::kFailed ||
                         release.reason == ReleaseReason::kBackendLost;
  if (is_wasted) {
    m_counters.wasted_prefill_tokens += (release.prompt_tokens - release.cached_tokens).Value();
  }
  Schedule(now);
}

void Cell::OnConfig(const ClusterConfig& config, SharedOrganisations organisations, TimePoint now) {
  const auto old_organisations = std::exchange(m_organisations, std::move(organisations));
  const auto old_tiers = std::exchange(m_tiers, {});
  m_bounds.clear();
  for (const TierConfig& tier : config.tiers) {
    m_tiers.emplace(tier.name, tier);
    m_bounds.emplace(tier.rank, tier.max_waiting_bytes);
  }
  std::vector<BackendConfig> backends;
  std::copy_if(config.backends.begin(), config.backends.end(), std::back_inserter(backends),
               [this](const BackendConfig& backend) {
                 return backend.pool == m_id.pool && backend.region == m_id.region;
               });
  m_load.Configure(backends);
  m_shifts.clear();
  std::copy_if(config.shifts.begin(), config.shifts.end(), std::back_inserter(m_shifts),
               [this](const ShiftRule& rule) { return rule.pool == m_id.pool; });

  // Rebuilding forgets what the organisations and tiers have had, so it is done for need only.
  if (HasOrderChanged(old_tiers, *old_organisations)) RebuildQueue();
  HandleOverflow(now);
  Schedule(now);
}

bool Cell::HasOrderChanged(const TierMap& old_tiers,
                           const OrganisationMap& old_organisations) const {
  const auto is_same_tier = [](const auto& a, const auto& b) {
    return a.first == b.first && a.second.rank == b.second.rank && a.second.share == b.second.share;
  };
  if (!std::equal(m_tiers.begin(), m_tiers.end(), old_tiers.begin(), old_tiers.end(),
                  is_same_tier)) {
    return true;
  }
  return std::any_of(m_organisations->begin(), m_organisations->end(), [&](const auto& row) {
    const auto old = old_organisations.find(row.first);
    const double weight =
        old == old_organisations.end() ? kDefaultOrganisation.weight : old->second.weight;
    return weight != row.second.weight;
  });
}

void Cell::RebuildQueue() {
  std::vector<WaitingItem> items = m_queue.TakeAll();
  for (const auto& [name, tier] : m_tiers) m_queue.SetShare(tier.rank, tier.share);
  for (WaitingItem& item : items) {
    const TierConfig* tier = FindTier(item.reservation.tier);
    if (tier == nullptr) {
      Refuse(item.home, item.reservation, ErrorKind::kUnknownTier);
      continue;
    }
    item.rank = tier->rank;
    item.weight = FindOrganisation(item.reservation.organisation)->weight;
    m_queue.Add(std::move(item));
  }
}

void Cell::Hold(const BackendId& backend, bool is_held, TimePoint now) {
  m_load.Hold(backend, is_held);
  if (!is_held) Schedule(now);
}

void Cell::OnLoadReport(const BackendId& backend, std::optional<std::int64_t> active,
                        TimePoint now) {
  m_load.OnReport(backend, active);
  Schedule(now);
}

void Cell::Tick(TimePoint now) {
  RefuseAll(m_queue.ExpireBefore(now), ErrorKind::kDeadlineExceeded);
  if (now - m_floor_sent_at >= kFloorRetry) SendFloorAsk(now);
  if (now - m_drifted_at >= kDriftPeriod) {
    m_drifted_at = now;
    m_load.Drift(now);
  }
  HandleOverflow(now);
  Schedule(now);
}

void Cell::Schedule(TimePoint now) {
  // A deadline may have passed since the last tick.
  RefuseAll(m_queue.ExpireBefore(now), ErrorKind::kDeadlineExceeded);
  while (m_queue.Size() > 0 && GrantNext(now)) {
  }
}

std::optional<ErrorKind> Cell::CheckGrant(const WaitingItem& item, TimePoint now) const {
  if (m_suspects.IsQuarantined(item.reservation.content, now)) return ErrorKind::kQuarantined;
  // It has waited for too long. Running it would take capacity from work that is still in time.
  const std::optional<Millis> fastest = FastestFor(item.reservation);
  if (fastest.has_value() && *fastest > LimitOf(item, now)) {
    return ErrorKind::kDeadlineInfeasible;
  }
  return std::nullopt;
}

bool Cell::GrantNext(TimePoint now) {
  if (m_policy == QueuePolicy::kFifoRoundRobin) {
    const std::optional<BackendId> backend = m_load.InTurn();
    const WaitingItem* item = m_queue.Next(now, [](const WaitingItem&) { return true; });
    if (!backend.has_value() || item == nullptr) return false;
    Grant(item->reservation.id, *backend, false, now);
    return true;
  }
  if (!m_load.HasFreeSlot()) return false;
  // The first item without room keeps one server free of later ones. Otherwise small requests
  // would fill each gap, and a large one would wait until its deadline.
  std::optional<BackendId> chosen;
  BackendId kept_free;
  bool is_alone = false;
  std::optional<ErrorKind> refusal;
  const WaitingItem* item = m_queue.Next(now, [&](const WaitingItem& candidate) {
    BackendLoad::Demand demand = DemandOf(candidate.reservation, now);
    demand.limit = LimitOf(candidate, now);
    refusal = CheckGrant(candidate, now);
    if (refusal.has_value()) return true;
    if (demand.is_alone && m_suspects_running > 0) return false;
    is_alone = demand.is_alone;
    chosen = m_load.Choose(demand, kept_free, now);
    if (chosen.has_value()) return true;
    if (kept_free.IsEmpty()) kept_free = m_load.LeastLoaded(demand, now).value_or(BackendId());
    return false;
  });
  if (item == nullptr) return false;
  const RequestId id = item->reservation.id;
  if (refusal.has_value()) {
    RefuseAll({*m_queue.Remove(id)}, *refusal);
    return true;
  }
  Grant(id, *chosen, is_alone, now);
  return true;
}

// The id is taken by value: that of the item ends with the item.
void Cell::Grant(RequestId id, const BackendId& backend, bool is_alone, TimePoint now) {
  const std::optional<WaitingItem> item = m_queue.Grant(id, now);
  const Reservation& reservation = item->reservation;
  const std::uint64_t number = m_next_number++;
  AddRunning({id, number}, {.home = item->home,
                            .backend = backend,
                            .tokens = item->Cost(),
                            .content = reservation.content,
                            .is_alone = is_alone});
  m_load.NotePrefix(reservation.prefix, backend);
  m_counters.granted_tokens[reservation.tier] += item->Cost().Value();
  m_actions.emplace_back(
      GrantAction{.home = item->home,
                  .message = {.cell = m_id, .id = id, .grant = number, .backend = backend},
                  .reservation = reservation});
}

}  // namespace bluebellpass
