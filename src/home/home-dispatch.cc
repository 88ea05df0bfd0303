#include <algorithm>
#include <set>

#include "bluebellpass/event.h"
#include "home-request.h"
#include "home-task.h"
#include "kernel/registry.h"
#include "peer/ownership.h"

namespace bluebellpass {
namespace {

// Prevents a tight loop in which an owner grants and the home returns the grant, while their
// configurations differ.
constexpr Millis kReserveRetryDelay{50};
constexpr Millis kResyncDelay{300};
// A frame is limited to 2 MiB; a reservation with names of maximum length has less than 700 bytes.
constexpr std::size_t kMaxSyncedReservations = 2'000;
// A plain service that has sent nothing for 30 s will not answer.
constexpr Millis kMaxReplyIdleTime{30'000};
constexpr Millis kReplyGracePeriod{1'000};

/// Chooses the region whose cell schedules the requests of a pool: the home's region if it has an
/// active backend server of the pool, else another region that has one. Other servers count only if
/// none is active.
Region ChooseRegion(const ClusterConfig& config, const PoolName& pool, const Region& home_region) {
  std::set<Region> active;
  std::set<Region> all;
  for (const BackendConfig& backend : config.backends) {
    if (backend.pool != pool) continue;
    all.insert(backend.region);
    if (backend.state == BackendState::kActive) active.insert(backend.region);
  }
  if (active.contains(home_region)) return home_region;
  if (!active.empty()) return *active.begin();
  return all.empty() || all.contains(home_region) ? home_region : *all.begin();
}

}  // namespace

CellId HomeTask::ChooseCell(const Request& request) const {
  const ClusterConfig& config = m_context.config.Current().config;
  const PoolName& pool = request.submission.pool;
  return {pool, ChooseRegion(config, pool, m_context.network.Self().region)};
}

Reservation HomeTask::MakeReservation(const Request& request) const {
  const Submission& submission = request.submission;
  Reservation reservation;
  reservation.id = request.id;
  reservation.pool = submission.pool;
  reservation.region = ChooseCell(request).region;
  reservation.tier = submission.tier;
  reservation.organisation = submission.organisation;
  reservation.prompt_tokens = submission.prompt_tokens;
  reservation.max_output_tokens = submission.max_tokens;
  reservation.prefix = submission.prefix;
  reservation.content = submission.content;
  reservation.bytes = static_cast<std::int64_t>(submission.prompt.size());
  reservation.remaining =
      std::chrono::duration_cast<Millis>(request.deadline - m_context.loop.Now());
  return reservation;
}

void HomeTask::Reserve(Request& request) {
  if (IsBelowFloor(request.submission.pool, request.submission.rank)) {
    return RefuseRequest(request, ErrorKind::kOverloaded,
                         "requests of more urgent tiers use the whole capacity");
  }
  const CellId cell = ChooseCell(request);
  const auto owner = m_context.ownership.FindOwner(cell, m_context.network.Members());
  if (!owner) return;
  const auto synced = m_synced_owners.find(cell);
  if (synced == m_synced_owners.end() || synced->second != *owner) {
    // The sync includes this reservation.
    SyncCell(cell);
    return;
  }
  request.reserved_cell = cell;
  if (m_context.network.Send(*owner, ReserveMessage{MakeReservation(request)})) {
    LogEvent(EventId::kReserved, {{"request", request.id.Text()}, {"owner", owner->Text()}});
  } else {
    m_synced_owners.erase(cell);
  }
}

void HomeTask::ReserveLater(Request& request) {
  request.retry_timer.Start(kReserveRetryDelay, [this, id = request.id] {
    Request* waiting = FindRequest(id);
    if (waiting != nullptr && waiting->phase == Phase::kWaiting) Reserve(*waiting);
  });
}

void HomeTask::DestroyRun(Request& request) {
  if (!request.run) return;
  // This may be called by the run itself, so the run is destroyed in a later loop iteration.
  m_context.loop.Post([run = std::shared_ptr<BackendRun>(std::move(request.run)),
                       listener = std::shared_ptr<Listener>(std::move(request.listener))] {});
}

void HomeTask::CancelReservation(Request& request) {
  if (!request.reserved_cell) return;
  const auto owner = m_synced_owners.find(*request.reserved_cell);
  if (owner != m_synced_owners.end()) {
    m_context.network.Send(owner->second, CancelMessage{*request.reserved_cell, request.id});
  }
}

void HomeTask::SyncCell(const CellId& cell) {
  const auto owner = m_context.ownership.FindOwner(cell, m_context.network.Members());
  if (!owner) return;
  SyncMessage sync;
  sync.cell = cell;
  std::vector<Reservation> overflow;
  for (const auto& [id, request] : m_requests) {
    if (request->phase == Phase::kWaiting && ChooseCell(*request) == cell) {
      request->reserved_cell = cell;
      auto& list = sync.waiting.size() < kMaxSyncedReservations ? sync.waiting : overflow;
      list.push_back(MakeReservation(*request));
    } else if (request->phase == Phase::kDispatched && request->grant.cell == cell) {
      sync.running.push_back({request->id, request->grant.grant, request->grant.backend,
                              request->granted_tokens, request->submission.content});
    }
  }
  bool is_sent = m_context.network.Send(*owner, sync);
  for (const Reservation& reservation : overflow) {
    is_sent = is_sent && m_context.network.Send(*owner, ReserveMessage{reservation});
  }
  if (is_sent) {
    m_synced_owners[cell] = *owner;
  } else {
    // OnLinkUp() syncs the cell again.
    m_synced_owners.erase(cell);
  }
}

void HomeTask::SyncChangedOwners() {
  std::set<CellId> cells;
  for (const auto& [cell, owner] : m_synced_owners) cells.insert(cell);
  for (const auto& [id, request] : m_requests) {
    if (request->phase == Phase::kWaiting) cells.insert(ChooseCell(*request));
    if (request->phase == Phase::kDispatched) cells.insert(request->grant.cell);
  }
  const std::vector<Member> members = m_context.network.Members();
  for (const CellId& cell : cells) {
    const auto owner = m_context.ownership.FindOwner(cell, members);
    const auto synced = m_synced_owners.find(cell);
    const bool is_synced = owner && synced != m_synced_owners.end() && synced->second == *owner;
    if (!is_synced) SyncCell(cell);
  }
}

void HomeTask::OnLinkUp(const InstanceId& peer, Incarnation /*incarnation*/) {
  // The peer dropped this home's reservations and runs when the previous link broke.
  std::erase_if(m_synced_owners, [&](const auto& item) { return item.second == peer; });
  SyncChangedOwners();
}

void HomeTask::OnLinkDown(const InstanceId& peer) {
  std::erase_if(m_synced_owners, [&](const auto& item) { return item.second == peer; });
}

void HomeTask::OnMembersChanged() { SyncChangedOwners(); }

void HomeTask::OnPeerStatus(const InstanceId& /*peer*/, const PeerStatus& /*status*/) {}

void HomeTask::OnConfigApplied(const VersionedConfig& /*config*/) {
  std::vector<Request*> moved;
  // Added and removed backend servers can change the region that runs a pool's requests.
  for (auto& [id, request] : m_requests) {
    if (request->phase != Phase::kWaiting || request->reserved_cell == ChooseCell(*request))
      continue;
    CancelReservation(*request);
    moved.push_back(request.get());
  }
  for (Request* request : moved) Reserve(*request);
  SyncChangedOwners();
}

void HomeTask::OnPeerMessage(const InstanceId& from, const PeerMessage& message) {
  if (const auto* grant = std::get_if<GrantMessage>(&message)) {
    OnGrant(from, *grant);
  } else if (const auto* refuse = std::get_if<RefuseMessage>(&message)) {
    OnRefuse(*refuse);
  } else if (const auto* ask = std::get_if<FloorAskMessage>(&message)) {
    OnFloorAsk(from, *ask);
  } else if (const auto* resync = std::get_if<ResyncMessage>(&message)) {
    OnResync(from, *resync);
  }
}

void HomeTask::OnResync(const InstanceId& from, const ResyncMessage& resync) {
  const auto synced = m_synced_owners.find(resync.cell);
  if (synced == m_synced_owners.end() || synced->second != from) return;
  m_synced_owners.erase(synced);
  // The sender may have seen a change of members that this instance has yet to receive.
  m_resync_timer.Start(kResyncDelay, [this] { SyncChangedOwners(); });
}

std::optional<std::string> HomeTask::CheckGrant(const Request& request,
                                                const GrantMessage& grant) const {
  if (request.phase != Phase::kWaiting) return "the request is no longer waiting";
  if (!m_context.config.IsRecentlyConfirmed()) return "the configuration is not confirmed";
  const auto* backend = m_context.config.Current().config.FindBackend(grant.backend);
  if (backend == nullptr || backend->pool != request.submission.pool) {
    return "the backend server does not belong to the pool";
  }
  if (backend->state != BackendState::kActive) return "the backend server is leaving";
  if (request.deadline <= m_context.loop.Now()) return "the deadline has passed";
  return std::nullopt;
}

void HomeTask::ReturnGrant(const InstanceId& owner, const GrantMessage& grant) {
  ReleaseMessage release;
  release.cell = grant.cell;
  release.id = grant.id;
  release.grant = grant.grant;
  release.backend = grant.backend;
  release.reason = ReleaseReason::kNotUsed;
  m_context.network.Send(owner, release);
}

void HomeTask::OnGrant(const InstanceId& from, const GrantMessage& grant) {
  m_context.loop.DetectPause();
  Request* request = FindRequest(grant.id);
  if (request == nullptr) return ReturnGrant(from, grant);
  if (const auto return_reason = CheckGrant(*request, grant)) {
    LogEvent(EventId::kGrantReturned, {{"request", grant.id.Text()},
                                       {"backend", grant.backend.Text()},
                                       {"reason", *return_reason}});
    ReturnGrant(from, grant);
    if (request->phase == Phase::kWaiting) {
      ReserveLater(*request);
    }
    return;
  }
  request->grant_owner = from;
  request->grant = grant;
  request->granted_tokens = request->submission.prompt_tokens + request->submission.max_tokens;
  Dispatch(*request, *m_context.config.Current().config.FindBackend(grant.backend));
}

BackendDriver* HomeTask::GetDriver(const std::string& kind) {
  auto& driver = m_drivers[kind];
  if (!driver)
    driver = Registry<BackendDriver, DriverContext>::Global().Create(kind, m_context.drivers);
  return driver.get();
}

bool HomeTask::MaySend(const RequestId& id, const BackendId& backend) {
  // The process may have been paused since the check of the grant.
  m_context.loop.DetectPause();
  const Request* request = FindRequest(id);
  if (request == nullptr || request->phase != Phase::kDispatched) return false;
  if (!m_context.config.IsRecentlyConfirmed()) return false;
  const auto* target = m_context.config.Current().config.FindBackend(backend);
  const bool is_active = target != nullptr && target->state == BackendState::kActive;
  return is_active && std::chrono::steady_clock::now() < request->deadline;
}

void HomeTask::Dispatch(Request& request, const BackendConfig& backend) {
  BackendDriver* driver = GetDriver(backend.kind);
  if (driver == nullptr) {
    ReturnGrant(request.grant_owner, request.grant);
    return RefuseRequest(request, ErrorKind::kInternal,
                         "no driver for this kind of backend server");
  }
  request.phase = Phase::kDispatched;
  LogEvent(EventId::kDispatched,
           {{"request", request.id.Text()},
            {"backend", backend.id.Text()},
            {"grant", static_cast<std::int64_t>(request.grant.grant)},
            {"tier", request.submission.tier.Text()},
            {"waited_ms", MillisBetween(request.received_at, m_context.loop.Now())}});
  m_context.metrics.ObserveSummary(
      "wait_ms", static_cast<double>(MillisBetween(request.received_at, m_context.loop.Now())),
      "tier=\"" + request.submission.tier.Text() + "\"");
  RunRequest run;
  run.id = request.id;
  run.address = backend.address;
  run.pool = request.submission.pool.Text();
  run.organisation = request.submission.organisation.Text();
  run.idempotency_key = request.submission.idempotency_key;
  run.prompt = request.submission.prompt;
  run.max_tokens = request.submission.max_tokens.Value();
  // If a service stops responding, its caller gets an error soon after the requested deadline.
  const auto remaining =
      std::chrono::duration_cast<Millis>(request.deadline - m_context.loop.Now());
  run.reply_idle_timeout = std::min(kMaxReplyIdleTime, remaining + kReplyGracePeriod);
  run.may_send = [this, id = request.id, target = backend.id] { return MaySend(id, target); };
  request.listener = std::make_unique<Listener>(*this, request.id);
  request.run = driver->StartRun(run, *request.listener);
}

void HomeTask::OnRefuse(const RefuseMessage& refuse) {
  Request* request = FindRequest(refuse.id);
  if (request == nullptr || request->phase != Phase::kWaiting) return;
  RefuseRequest(*request, refuse.kind, "refused by the owner of the cell");
}

void HomeTask::OnFloorAsk(const InstanceId& from, const FloorAskMessage& ask) {
  m_floor_promises[ask.pool].push_back({ask.rank, m_context.loop.Now() + ask.hold});
  std::vector<Request*> undispatched_below;
  for (auto& [id, request] : m_requests) {
    const Submission& submission = request->submission;
    if (request->IsUndispatched() && submission.pool == ask.pool && submission.rank > ask.rank) {
      undispatched_below.push_back(request.get());
    }
  }
  for (Request* request : undispatched_below) {
    LogEvent(EventId::kShed, {{"request", request->id.Text()},
                              {"tier", request->submission.tier.Text()},
                              {"pool", ask.pool.Text()}});
    RefuseRequest(*request, ErrorKind::kOverloaded,
                  "requests of more urgent tiers use the whole capacity");
  }
  LogEvent(EventId::kFloorPromised,
           {{"pool", ask.pool.Text()},
            {"rank", std::int64_t{ask.rank.Value()}},
            {"to", from.Text()},
            {"shed", static_cast<std::int64_t>(undispatched_below.size())}});
  m_context.network.Send(from, FloorAckMessage{ask.round, ask.pool, ask.rank});
}

bool HomeTask::IsBelowFloor(const PoolName& pool, TierRank rank) const {
  const auto floors = m_floor_promises.find(pool);
  if (floors == m_floor_promises.end()) return false;
  const TimePoint now = m_context.loop.Now();
  return std::any_of(floors->second.begin(), floors->second.end(), [&](const FloorPromise& floor) {
    return rank > floor.rank && now < floor.expires_at;
  });
}

void HomeTask::ReleaseGrant(Request& request, ReleaseReason reason, const RunUsage& usage) {
  ReleaseMessage release;
  release.cell = request.grant.cell;
  release.id = request.id;
  release.grant = request.grant.grant;
  release.backend = request.grant.backend;
  release.reason = reason;
  release.prompt_tokens = Tokens(usage.prompt_tokens);
  release.cached_tokens = Tokens(usage.cached_tokens);
  release.output_tokens = Tokens(usage.output_tokens);
  release.time_to_first_token = usage.time_to_first_token;
  release.total_time = usage.total_time;
  release.content = request.submission.content;
  release.prefix = request.submission.prefix;
  // The owner may have changed since the grant; the new owner counts the run since the last sync.
  const auto owner = m_synced_owners.find(request.grant.cell);
  m_context.network.Send(owner != m_synced_owners.end() ? owner->second : request.grant_owner,
                         release);
}

void HomeTask::OnRunStarted(Request& request, const std::string& stream_id) {
  AnswerHead head;
  head.id = request.id;
  head.backend = request.grant.backend;
  if (!stream_id.empty())
    head.resume_token = m_context.token_signer.Sign({head.backend, stream_id});
  request.head = std::move(head);
  FeedReaders(request);
}

void HomeTask::OnRunData(Request& request, std::string_view bytes) {
  if (request.answer.empty()) {
    LogEvent(EventId::kFirstByte, {{"request", request.id.Text()}});
    m_context.metrics.ObserveSummary(
        "first_byte_ms",
        static_cast<double>(MillisBetween(request.received_at, m_context.loop.Now())),
        "tier=\"" + request.submission.tier.Text() + "\"");
  }
  request.answer.append(bytes);
  m_answer_bytes += bytes.size();
  FeedReaders(request);
  if (request.answer.size() > m_context.max_bytes_per_answer) return EndForMemory(request);
  LimitAnswerMemory();
}

void HomeTask::OnRunEnd(Request& request, const RunUsage& usage) {
  ReleaseGrant(request, ReleaseReason::kCompleted, usage);
  EndRequest(request, AnswerEnd{Outcome::kCompleted, request.answer.size(), std::nullopt});
}

void HomeTask::OnRunFailure(Request& request, RunFailure failure, const std::string& message) {
  switch (failure) {
    case RunFailure::kConnectFailed:
    case RunFailure::kWithdrawn: {
      const bool is_withdrawn = failure == RunFailure::kWithdrawn;
      ReleaseGrant(request, is_withdrawn ? ReleaseReason::kNotUsed : ReleaseReason::kUnreachable,
                   {});
      DestroyRun(request);
      request.phase = Phase::kWaiting;
      if (request.deadline <= m_context.loop.Now()) return OnDeadline(request.id);
      ReserveLater(request);
      return;
    }
    case RunFailure::kRefused: {
      ReleaseGrant(request, ReleaseReason::kFailed, {});
      const bool has_claim = request.has_claim;
      EndRequest(request, MakeErrorEnd({ErrorKind::kBackendRefused, message, ""}));
      if (has_claim) m_context.ledger.Void(request.GetClaimKey(), request.id);
      return;
    }
    case RunFailure::kContactLost:
    case RunFailure::kBackendDied: {
      // Only the death of a server makes the content a suspect; a network failure must not lead to
      // its quarantine.
      const bool has_died = failure == RunFailure::kBackendDied;
      ReleaseGrant(request, has_died ? ReleaseReason::kBackendLost : ReleaseReason::kUnreachable,
                   {});
      EndRequest(request, MakeErrorEnd({ErrorKind::kBackendLost, message, ""}));
      return;
    }
  }
}

HomeTask::Request* HomeTask::Listener::FindRunning() const {
  Request* request = m_home.FindRequest(m_id);
  return request != nullptr && request->phase == Phase::kDispatched ? request : nullptr;
}

void HomeTask::Listener::OnStarted(const std::string& stream_id) {
  if (Request* request = FindRunning()) m_home.OnRunStarted(*request, stream_id);
}

void HomeTask::Listener::OnData(std::string_view bytes) {
  if (Request* request = FindRunning()) m_home.OnRunData(*request, bytes);
}

void HomeTask::Listener::OnEnd(const RunUsage& usage) {
  if (Request* request = FindRunning()) m_home.OnRunEnd(*request, usage);
}

void HomeTask::Listener::OnFailure(RunFailure failure, const std::string& message) {
  if (Request* request = FindRunning()) m_home.OnRunFailure(*request, failure, message);
}

}  // namespace bluebellpass
