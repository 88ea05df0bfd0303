#include "policy/cell.h"

#include <algorithm>

#include "policy/shift-rules.h"

namespace bluebellpass {
namespace {

/// Speeds are averages, so a request is refused only when even this fraction of its estimated time
/// exceeds its deadline.
constexpr double kInfeasibleTimeFactor = 0.8;
/// Time from the grant to the engine's start plus that from its last token to the caller. Without
/// it, 753 of 1,325 requests that ran under overload of their own tier completed up to 25 ms late.
constexpr Millis kDeliveryReserve{50};
/// A floor ask can be lost with a link, so it is repeated until it is acknowledged.
constexpr Millis kFloorRetryPeriod{500};
constexpr Millis kDecayPeriod{1000};
/// Used for an organisation that is not configured here yet.
const OrganisationConfig kDefaultOrganisation{};

/// @return the time within which a run must complete. A request that has waited competes with
/// others for capacity, so its estimate must meet the deadline; one dispatched on arrival may
/// exceed it by the infeasibility margin.
Millis ComputeTimeLimit(const QueuedReservation& item, TimePoint now) {
  const auto remaining = std::chrono::duration_cast<Millis>(item.deadline - now);
  if (now > item.enqueued_at) return remaining - kDeliveryReserve;
  return Millis{
      static_cast<std::int64_t>(static_cast<double>(remaining.count()) / kInfeasibleTimeFactor)};
}

}  // namespace

Cell::Cell(CellId id, QueuePolicy policy, std::uint64_t first_number, Suspects& suspects)
    : m_id(std::move(id)), m_policy(policy), m_next_number(first_number), m_suspects(suspects) {}

SharedOrganisations MakeOrganisationMap(const ClusterConfig& config) {
  auto map = std::make_shared<OrganisationMap>();
  map->reserve(config.organisations.size());
  for (const OrganisationConfig& entry : config.organisations) map->emplace(entry.id, entry);
  return map;
}

const TierConfig* Cell::FindTier(const TierName& name) const {
  const auto it = m_tiers.find(name);
  return it == m_tiers.end() ? nullptr : &it->second;
}

const OrganisationConfig* Cell::FindOrganisation(const OrganisationId& id) const {
  const auto it = m_organisations->find(id);
  return it == m_organisations->end() ? &kDefaultOrganisation : &it->second;
}

std::optional<TierRank> Cell::LeastUrgentRank() const {
  if (m_max_bytes.empty()) return std::nullopt;
  return m_max_bytes.rbegin()->first;
}

BackendLoad::Demand Cell::MakeDemand(const Reservation& reservation, TimePoint now) const {
  BackendLoad::Demand demand{.prompt = reservation.prompt_tokens,
                             .output = reservation.max_output_tokens,
                             .prefix = reservation.prefix,
                             .is_exclusive = m_suspects.IsSuspect(reservation.content, now)};
  ApplyShiftRules(demand, reservation.id);
  return demand;
}

void Cell::ApplyShiftRules(BackendLoad::Demand& demand, const RequestId& id) const {
  for (const ShiftRule* rule : MatchShiftRules(m_shift_rules, id)) {
    if (m_load.HasActiveBackend(rule->to)) demand.excluded_data_centres.push_back(rule->from);
  }
  if (!demand.excluded_data_centres.empty() && !m_load.FitsOutsideExcluded(demand))
    demand.excluded_data_centres.clear();
}

void Cell::OnReserve(const InstanceId& home, const Reservation& reservation, TimePoint now) {
  AdmitReservation(home, reservation, now);
  ShedOverflow(now);
  GrantWaiting(now);
}

void Cell::AdmitReservation(const InstanceId& home, const Reservation& reservation, TimePoint now) {
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
               .enqueued_at = now});
}

std::optional<ErrorKind> Cell::CheckAdmission(const Reservation& reservation, TimePoint now) {
  if (m_suspects.IsQuarantined(reservation.content, now)) return ErrorKind::kQuarantined;
  const TierConfig* tier = FindTier(reservation.tier);
  if (tier == nullptr) return ErrorKind::kUnknownTier;
  if (reservation.remaining.count() <= 0) return ErrorKind::kDeadlineExceeded;
  if (m_policy == QueuePolicy::kFifoRoundRobin) return std::nullopt;
  if (IsDeadlineInfeasible(reservation)) return ErrorKind::kDeadlineInfeasible;
  const std::optional<TierRank> held = m_floor.HeldRank(now);
  if (held.has_value() && tier->rank > *held) {
    RefuseAll(m_queue.RemoveBelow(tier->rank), ErrorKind::kOverloaded);
    return ErrorKind::kOverloaded;
  }
  // The least urgent tier needs no promises, since no tier is below it.
  const std::optional<TierRank> asked = m_floor.AskedRank(now);
  const bool is_least_urgent = tier->rank == LeastUrgentRank();
  if (asked.has_value() && tier->rank > *asked && is_least_urgent) return ErrorKind::kOverloaded;
  if (EnforceOrganisationLimit(reservation, tier->rank, now)) return ErrorKind::kOrganisationLimit;
  return std::nullopt;
}

std::optional<Millis> Cell::MinCompletionTime(const Reservation& reservation) const {
  BackendLoad::Demand demand{.prompt = reservation.prompt_tokens,
                             .output = reservation.max_output_tokens};
  ApplyShiftRules(demand, reservation.id);
  return m_load.MinCompletionTime(demand);
}

bool Cell::IsDeadlineInfeasible(const Reservation& reservation) const {
  const std::optional<Millis> min_time = MinCompletionTime(reservation);
  if (!min_time.has_value()) return false;
  return static_cast<double>(min_time->count()) * kInfeasibleTimeFactor >
         static_cast<double>(reservation.remaining.count());
}

bool Cell::EnforceOrganisationLimit(const Reservation& reservation, TierRank rank, TimePoint now) {
  const std::int64_t limit = FindOrganisation(reservation.organisation)->max_waiting_bytes;
  const std::int64_t waiting = m_queue.Bytes(rank, reservation.organisation);
  if (waiting + reservation.bytes <= limit) return false;
  if (rank == LeastUrgentRank()) return true;
  if (!m_floor.MayShedTier(rank, now)) return false;
  RefuseAll(m_queue.RemoveBelow(rank), ErrorKind::kOverloaded);
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

void Cell::RefuseAll(const std::vector<QueuedReservation>& items, ErrorKind kind) {
  for (const QueuedReservation& item : items) Refuse(item.home, item.reservation, kind);
}

bool Cell::IsTierOverLimit(TierRank rank) const {
  return m_queue.Bytes(rank) > m_max_bytes.at(rank);
}

void Cell::ShedTierOverflow(TierRank rank) {
  while (IsTierOverLimit(rank)) {
    const std::optional<QueuedReservation> item = m_queue.RemoveFromLargestOrganisation(rank);
    if (!item.has_value()) return;
    Refuse(item->home, item->reservation, ErrorKind::kOverloaded);
  }
}

void Cell::ShedOverflow(TimePoint now) {
  if (m_policy == QueuePolicy::kFifoRoundRobin || m_max_bytes.empty()) return;
  const TierRank least_urgent = *LeastUrgentRank();
  ShedTierOverflow(least_urgent);
  const auto over_limit =
      std::find_if(m_max_bytes.begin(), m_max_bytes.end(),
                   [this](const auto& limit) { return IsTierOverLimit(limit.first); });
  m_queue.SetShedFloor(m_floor.AskedRank(now));
  if (over_limit == m_max_bytes.end()) return;
  const TierRank rank = over_limit->first;
  // The least urgent tier is shed without promises. The tiers between it and the tier over its
  // limit are shed only under a floor, because instances may still keep work below them.
  const auto above_least_urgent = std::next(m_max_bytes.rbegin());
  RefuseAll(m_queue.RemoveBelow(above_least_urgent->first), ErrorKind::kOverloaded);
  if (!m_floor.MayShedTier(rank, now)) return AskNextFloor(now);
  RefuseAll(m_queue.RemoveBelow(rank), ErrorKind::kOverloaded);
  ShedTierOverflow(rank);
}

void Cell::AskNextFloor(TimePoint now) {
  // An instance sheds all work below a floor when it acknowledges it. Since a middle tier must not
  // be shed while another instance keeps work of the tiers below, floors rise one tier at a time.
  const std::optional<TierRank> held = m_floor.HeldRank(now);
  if (!held.has_value()) {
    if (!m_floor.AskedRank(now).has_value()) AskFloor(std::next(m_max_bytes.rbegin())->first, now);
    return;
  }
  const auto it = m_max_bytes.lower_bound(*held);
  if (it != m_max_bytes.begin()) AskFloor(std::prev(it)->first, now);
}

void Cell::AskFloor(TierRank rank, TimePoint now) {
  m_floor.BeginRound(m_next_number++, rank, m_members, now);
  m_queue.SetShedFloor(rank);
  SendFloorAsk(now);
}

void Cell::SendFloorAsk(TimePoint now) {
  const std::optional<TierRank> rank = m_floor.AskedRank(now);
  std::vector<InstanceId> missing = m_floor.UnacknowledgedMembers();
  if (!rank.has_value() || missing.empty()) return;
  m_floor_ask_sent_at = now;
  m_actions.emplace_back(AskFloorAction{
      .instances = std::move(missing),
      .message = {
          .round = m_floor.Round(), .pool = m_id.pool, .rank = *rank, .hold = kFloorPromiseTime}});
}

void Cell::OnFloorAck(const InstanceId& from, const FloorAckMessage& ack, TimePoint now) {
  if (!m_floor.OnAck(from, ack.round, now)) return;
  m_actions.emplace_back(FloorHeldAction{.rank = *m_floor.HeldRank(now)});
  ShedOverflow(now);
  GrantWaiting(now);
}

void Cell::OnMembersChanged(const std::vector<Member>& members, TimePoint now) {
  m_members = SelectFloorMembers(members);
  if (m_floor.UpdateMembers(m_members)) m_floor.AbandonRound();
  SendFloorAsk(now);
  ShedOverflow(now);
}

void Cell::OnCancel(const InstanceId& home, const RequestId& id, TimePoint now) {
  const QueuedReservation* item = m_queue.Find(id);
  if (item == nullptr || item->home != home) return;
  m_queue.Remove(id);
  GrantWaiting(now);
}

std::set<InstanceId> Cell::Homes() const {
  std::set<InstanceId> homes;
  m_queue.ForEach([&](const QueuedReservation& item) { homes.insert(item.home); });
  for (const auto& [key, run] : m_runs) homes.insert(run.home);
  return homes;
}

void Cell::RemoveHome(const InstanceId& home) {
  std::vector<RequestId> waiting;
  m_queue.ForEach([&](const QueuedReservation& item) {
    if (item.home == home) waiting.push_back(item.reservation.id);
  });
  for (const RequestId& id : waiting) m_queue.Remove(id);
  for (auto run = m_runs.begin(); run != m_runs.end();) {
    const auto current = run++;
    if (current->second.home == home) EndRun(current);
  }
}

void Cell::OnHomeDisconnected(const InstanceId& home, TimePoint now) {
  RemoveHome(home);
  m_floor.OnLinkDown(home);
  m_floor.AbandonRound();
  GrantWaiting(now);
}

void Cell::OnSync(const InstanceId& home, const SyncMessage& sync, TimePoint now) {
  RemoveHome(home);
  for (const RunningGrant& run : sync.running) {
    AddRun({run.id, run.grant}, {.home = home,
                                 .backend = run.backend,
                                 .tokens = run.tokens,
                                 .content = run.content,
                                 .is_exclusive = m_suspects.IsSuspect(run.content, now)});
  }
  for (const Reservation& reservation : sync.waiting) AdmitReservation(home, reservation, now);
  ShedOverflow(now);
  GrantWaiting(now);
}

void Cell::AddRun(RunKey key, Run run) {
  const auto [it, is_new] = m_runs.try_emplace(std::move(key), std::move(run));
  if (!is_new) return;
  const Run& added = it->second;
  m_load.BeginRun(added.backend, added.tokens, added.is_exclusive);
  if (added.is_exclusive) ++m_exclusive_runs;
}

void Cell::EndRun(std::map<RunKey, Run>::iterator it) {
  const Run& ended = it->second;
  m_load.EndRun(ended.backend, ended.tokens, ended.is_exclusive);
  if (ended.is_exclusive) --m_exclusive_runs;
  m_runs.erase(it);
}

void Cell::CountDeath(const ReleaseMessage& release, const Run* ended, TimePoint now) {
  m_load.OnBackendLost(release.backend, now);
  if (ended != nullptr && ended->is_death_counted) return;
  // Homes report the runs of a dead server one by one. The first report counts the death against
  // all of them, so that later reports are not taken for further deaths.
  std::vector<Fingerprint> contents{release.content};
  for (auto& [key, run] : m_runs) {
    if (run.backend != release.backend || run.is_death_counted) continue;
    run.is_death_counted = true;
    contents.push_back(run.content);
  }
  for (const QuarantineEntry& entry : m_suspects.OnBackendDeath(contents, now)) {
    m_actions.emplace_back(SuspectAction{
        .content = entry.content, .deaths = entry.deaths, .backend = release.backend});
  }
}

void Cell::OnRelease(const InstanceId& home, const ReleaseMessage& release, TimePoint now) {
  const auto it = m_runs.find({release.id, release.grant});
  const bool is_known = it != m_runs.end() && it->second.home == home;
  const std::optional<Run> ended = is_known ? std::optional(it->second) : std::nullopt;
  if (is_known) EndRun(it);
  const bool was_counted = ended.has_value() && ended->is_death_counted;
  switch (release.reason) {
    case ReleaseReason::kCompleted:
      m_load.LearnSpeeds(release, now);
      m_suspects.OnRunCompleted(release.content, now);
      break;
    case ReleaseReason::kBackendLost:
      CountDeath(release, ended.has_value() ? &*ended : nullptr, now);
      break;
    case ReleaseReason::kUnreachable:
      // The content is not the cause, but the server needs a backoff.
      m_load.OnBackendLost(release.backend, now);
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
  GrantWaiting(now);
}

void Cell::OnConfig(const ClusterConfig& config, SharedOrganisations organisations, TimePoint now) {
  const auto old_organisations = std::exchange(m_organisations, std::move(organisations));
  const auto old_tiers = std::exchange(m_tiers, {});
  m_max_bytes.clear();
  for (const TierConfig& tier : config.tiers) {
    m_tiers.emplace(tier.name, tier);
    m_max_bytes.emplace(tier.rank, tier.max_waiting_bytes);
  }
  std::vector<BackendConfig> backends;
  std::copy_if(config.backends.begin(), config.backends.end(), std::back_inserter(backends),
               [this](const BackendConfig& backend) {
                 return backend.pool == m_id.pool && backend.region == m_id.region;
               });
  m_load.Configure(backends);
  m_shift_rules.clear();
  std::copy_if(config.shifts.begin(), config.shifts.end(), std::back_inserter(m_shift_rules),
               [this](const ShiftRule& rule) { return rule.pool == m_id.pool; });

  // The queue is rebuilt only when needed, since that loses the fair-queueing state of
  // organisations and tiers.
  if (HasQueueOrderChanged(old_tiers, *old_organisations)) RebuildQueue();
  ShedOverflow(now);
  GrantWaiting(now);
}

bool Cell::HasQueueOrderChanged(const TierMap& old_tiers,
                                const OrganisationMap& old_organisations) const {
  const auto is_same_tier = [](const auto& a, const auto& b) {
    return a.first == b.first && a.second.rank == b.second.rank && a.second.share == b.second.share;
  };
  if (!std::equal(m_tiers.begin(), m_tiers.end(), old_tiers.begin(), old_tiers.end(),
                  is_same_tier)) {
    return true;
  }
  return std::any_of(m_organisations->begin(), m_organisations->end(), [&](const auto& entry) {
    const auto old = old_organisations.find(entry.first);
    const double weight =
        old == old_organisations.end() ? kDefaultOrganisation.weight : old->second.weight;
    return weight != entry.second.weight;
  });
}

void Cell::RebuildQueue() {
  std::vector<QueuedReservation> items = m_queue.RemoveAll();
  for (const auto& [name, tier] : m_tiers) m_queue.SetMinShare(tier.rank, tier.share);
  for (QueuedReservation& item : items) {
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

void Cell::SetGrantsPaused(const BackendId& backend, bool is_paused, TimePoint now) {
  m_load.SetGrantsPaused(backend, is_paused);
  if (!is_paused) GrantWaiting(now);
}

void Cell::OnLoadReport(const BackendId& backend, std::optional<std::int64_t> reported_runs,
                        TimePoint now) {
  m_load.OnLoadReport(backend, reported_runs);
  GrantWaiting(now);
}

void Cell::Tick(TimePoint now) {
  RefuseAll(m_queue.RemoveExpired(now), ErrorKind::kDeadlineExceeded);
  if (now - m_floor_ask_sent_at >= kFloorRetryPeriod) SendFloorAsk(now);
  if (now - m_speeds_decayed_at >= kDecayPeriod) {
    m_speeds_decayed_at = now;
    m_load.DecaySpeeds(now);
  }
  ShedOverflow(now);
  GrantWaiting(now);
}

void Cell::GrantWaiting(TimePoint now) {
  // Deadlines may have passed since the last tick.
  RefuseAll(m_queue.RemoveExpired(now), ErrorKind::kDeadlineExceeded);
  while (m_queue.Size() > 0 && GrantNext(now)) {
  }
}

std::optional<ErrorKind> Cell::CheckBeforeGrant(const QueuedReservation& item,
                                                TimePoint now) const {
  if (m_suspects.IsQuarantined(item.reservation.content, now)) return ErrorKind::kQuarantined;
  // Running a request that will be late takes capacity from requests that can still be on time.
  const std::optional<Millis> min_time = MinCompletionTime(item.reservation);
  if (min_time.has_value() && *min_time > ComputeTimeLimit(item, now)) {
    return ErrorKind::kDeadlineInfeasible;
  }
  return std::nullopt;
}

bool Cell::GrantNext(TimePoint now) {
  if (m_policy == QueuePolicy::kFifoRoundRobin) {
    const std::optional<BackendId> backend = m_load.NextRoundRobin();
    const QueuedReservation* item =
        m_queue.FindNext(now, [](const QueuedReservation&) { return true; });
    if (!backend.has_value() || item == nullptr) return false;
    GrantReservation(item->reservation.id, *backend, false, now);
    return true;
  }
  if (!m_load.HasFreeSlot()) return false;
  // The first item that finds no capacity keeps one server free of later items. Otherwise small
  // requests would fill each gap, and a large one would wait until its deadline.
  std::optional<BackendId> chosen;
  BackendId kept_free;
  bool is_exclusive = false;
  std::optional<ErrorKind> refusal;
  const QueuedReservation* item = m_queue.FindNext(now, [&](const QueuedReservation& candidate) {
    BackendLoad::Demand demand = MakeDemand(candidate.reservation, now);
    demand.time_limit = ComputeTimeLimit(candidate, now);
    refusal = CheckBeforeGrant(candidate, now);
    if (refusal.has_value()) return true;
    if (demand.is_exclusive && m_exclusive_runs > 0) return false;
    is_exclusive = demand.is_exclusive;
    chosen = m_load.ChooseBackend(demand, kept_free, now);
    if (chosen.has_value()) return true;
    if (kept_free.IsEmpty()) kept_free = m_load.FindLeastLoaded(demand, now).value_or(BackendId());
    return false;
  });
  if (item == nullptr) return false;
  const RequestId id = item->reservation.id;
  if (refusal.has_value()) {
    RefuseAll({*m_queue.Remove(id)}, *refusal);
    return true;
  }
  GrantReservation(id, *chosen, is_exclusive, now);
  return true;
}

// Takes the id by value, because the item that holds it is destroyed.
void Cell::GrantReservation(RequestId id, const BackendId& backend, bool is_exclusive,
                            TimePoint now) {
  const std::optional<QueuedReservation> item = m_queue.Grant(id, now);
  const Reservation& reservation = item->reservation;
  const std::uint64_t number = m_next_number++;
  AddRun({id, number}, {.home = item->home,
                        .backend = backend,
                        .tokens = item->TotalTokens(),
                        .content = reservation.content,
                        .is_exclusive = is_exclusive});
  m_load.RecordPrefix(reservation.prefix, backend);
  m_counters.granted_tokens[reservation.tier] += item->TotalTokens().Value();
  m_actions.emplace_back(
      GrantAction{.home = item->home,
                  .message = {.cell = m_id, .id = id, .grant = number, .backend = backend},
                  .reservation = reservation});
}

}  // namespace bluebellpass
