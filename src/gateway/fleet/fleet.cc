#include "fleet.h"

#include <algorithm>

#include "bluebellpass/event.h"
#include "kernel/h2o.h"
#include "kernel/loop.h"
#include "kernel/tcp-stream.h"

namespace bluebellpass::gateway {
namespace {

constexpr int kListenBacklog = 512;
constexpr Millis kTickPeriod{150};
// Period of the probes to the coordinator. Probes and their answers are the heartbeats of a link.
constexpr Millis kProbePeriod{300};
// A link without a frame for this long, which is three heartbeats, is closed.
constexpr Millis kLinkSilenceTimeout{1'000};
// After a longer gap between ticks this process was suspended, and frames may still be unread.
constexpr Millis kProcessPauseThreshold{700};
// A candidate that has not accepted the connection within this time is given up.
constexpr Millis kDialTimeout{400};
// The next candidate is dialled as well if the previous one has not accepted the connection within
// this time.
constexpr Millis kNextCandidateDelay{150};
// The same for a candidate that has accepted it but not completed the handshake. It is probably
// busy, since all instances dial it at once after the loss of its predecessor, and instances that
// turn to the next candidate would come back.
constexpr Millis kBusyCandidateDelay{1'500};
constexpr Millis kDialBackoff{1'500};

}  // namespace

Fleet::Fleet(EventLoop& loop, FleetOptions options, Coordinator& coordinator, Events events)
    : m_loop(loop),
      m_options(std::move(options)),
      m_coordinator(coordinator),
      m_events(std::move(events)),
      m_tick(loop),
      m_members_timer(loop),
      m_decision_timer(loop),
      m_pace_timer(loop),
      m_transfer_timer(loop),
      m_last_tick(loop.Now()) {
  InstanceInfo& self = m_link_context.self;
  self.id = m_options.id;
  self.incarnation = m_options.incarnation;
  self.data_centre = m_options.data_centre;
  self.region = m_options.region;
  self.caller_address = m_options.caller_address;
  self.peer_address = m_options.peer_address;
}

Fleet::~Fleet() {
  *m_alive = false;
  if (m_listener != nullptr) h2o_socket_close(m_listener);
}

Result<Ok> Fleet::Start(std::vector<std::string> keys) {
  m_link_context.keys = std::move(keys);
  const ListeningSocket listener =
      OpenListeningSocket(m_loop, m_options.peer_address, kListenBacklog);
  if (listener.socket == nullptr) return Error{ErrorKind::kInternal, listener.error, ""};
  m_listener = listener.socket;
  m_listener->data = this;
  h2o_socket_read_start(m_listener, &Fleet::HandleAccept);
  m_is_started = true;
  m_coordinator.StartGrantHistory(m_loop.Now());
  m_tick.StartPeriodic(kTickPeriod, [this] { Tick(); });
  ElectCoordinator();
  return Ok{};
}

void Fleet::HandleAccept(h2o_socket_t* socket, const char* error) {
  if (error != nullptr) return;
  auto* self = static_cast<Fleet*>(socket->data);
  h2o_socket_t* accepted = h2o_evloop_socket_accept(socket);
  if (accepted == nullptr) return;
  LinkHandler& handler = *self;
  auto link =
      std::make_shared<Link>(self->m_loop, self->m_link_context, handler, LinkSide::kAcceptor);
  self->m_pending_links.emplace(link.get(), link);
  link->Accept(accepted);
}

void Fleet::Leave() {
  m_is_leaving = true;
  AnnounceOwnMember();
  FlushOutboxes();
  ElectCoordinator();
}

void Fleet::ElectCoordinator() {
  if (!m_is_started) return;
  const TimePoint now = m_loop.Now();
  for (const FleetMember* member : Candidates()) {
    const bool is_after_self = !m_is_leaving && m_registration_revision != 0 &&
                               ElectionKey(OwnMember()) < ElectionKey(*member);
    if (is_after_self) break;
    if (m_coordinator_peer && m_coordinator_id == member->id) return;
    Dial& dial = m_dials[member->id];
    if (dial.link && dial.link->IsReady()) return SetCoordinator(member->id);
    if (!dial.link && now < dial.retry_at) continue;
    if (!dial.link) StartDial(*member, now);
    if (!dial.link) continue;
    // The present coordinator keeps deciding until the candidate answers.
    if (now - dial.started_at <
        (dial.link->IsConnected() ? kBusyCandidateDelay : kNextCandidateDelay)) {
      if (!m_coordinator_id) return;
      break;
    }
  }
  const bool has_remote_coordinator = m_coordinator_peer && m_coordinator_id != m_options.id;
  const bool is_first =
      Candidates().empty() || (m_registration_revision != 0 && !m_is_leaving &&
                               ElectionKey(OwnMember()) < ElectionKey(*Candidates().front()));
  if (has_remote_coordinator && !is_first) return;
  SetCoordinator(m_options.id);
}

void Fleet::PostElection() {
  m_loop.Post([this, alive = m_alive] {
    if (*alive) ElectCoordinator();
  });
}

void Fleet::StartDial(const FleetMember& member, TimePoint now) {
  Dial& dial = m_dials[member.id];
  dial.started_at = now;
  LinkHandler& handler = *this;
  auto link = std::make_shared<Link>(m_loop, m_link_context, handler, LinkSide::kInitiator);
  if (!link->Connect(member.peer_address)) {
    dial.retry_at = now + kDialBackoff;
    return;
  }
  dial.link = std::move(link);
}

void Fleet::SetCoordinator(const InstanceId& id) {
  if (m_coordinator_id == id) return;
  const bool was_coordinator = IsCoordinator();
  if (m_coordinator_peer) {
    const auto link = std::exchange(m_coordinator_peer, std::nullopt)->link;
    link->Close("this instance follows another coordinator");
  }
  m_coordinator_id = id;
  LogEvent(EventId::kCoordinatorChanged,
           {{"coordinator", id.Text()},
            {"waiting_or_running", static_cast<std::int64_t>(m_requests.size())},
            {"known", static_cast<std::int64_t>(m_members.size())}});
  if (id == m_options.id) {
    m_coordinator.TakeOver(m_loop.Now());
    for (auto& [other, member] : m_members) SetAlive(other, m_followers.contains(other));
  } else {
    if (was_coordinator) m_coordinator.RemoveHome(m_options.id);
    m_transfers.Clear();
    m_coordinator.StepDown();
    Dial& dial = m_dials.at(id);
    m_coordinator_peer = Peer{std::exchange(dial.link, nullptr), m_loop.Now(), 0, {}};
  }
  UpdateShare();
  m_next_probe = {};
  m_events.on_coordinator_changed(id != m_options.id);
  ReportRequestsTo(id);
}

void Fleet::ReportRequestsTo(const InstanceId& id) {
  SyncRequestsMessage sync;
  for (const auto& [attempt, request] : m_requests) {
    if (request.listener != nullptr) {
      sync.waiting.push_back(request.info);
    } else {
      sync.running.push_back({request.info, request.backend, request.is_prefilling});
    }
  }
  sync.quota_report = m_coordinator.GrantReport(m_loop.Now());
  if (id == m_options.id) {
    m_coordinator.AddQuotaReport(id, sync.quota_report, m_loop.Now());
    m_coordinator.SyncRequests(id, std::move(sync.waiting), sync.running, m_loop.Now(),
                               std::chrono::steady_clock::now());
    return ScheduleDecision();
  }
  Enqueue(*m_coordinator_peer, MembersMessage{{OwnMember()}});
  Enqueue(*m_coordinator_peer, m_relay->MakeProbe());
  // Before the requests, some of which may be quarantined.
  SendCrashes(*m_coordinator_peer, m_coordinator.CrashSnapshot());
  Enqueue(*m_coordinator_peer, std::move(sync));
}

void Fleet::UpdateShare() {
  std::size_t member_count = 1;
  std::size_t index = 0;
  std::size_t missing = 0;
  for (const FleetMember* member : Candidates()) {
    ++member_count;
    if (member->id < m_options.id) ++index;
    // Instances that have left, or are not registered yet, still follow but count nowhere.
    if (!m_followers.contains(member->id)) ++missing;
  }
  const std::size_t present = m_followers.size() + 1;
  m_has_majority = 2 * present > member_count;
  m_coordinator.Rollouts().SetRole(IsCoordinator(), m_has_majority, m_loop.Now());
  m_coordinator.SetShare(ShareOf({IsCoordinator(), index, member_count, member_count - missing}));
}

void Fleet::Tick() {
  const TimePoint now = m_loop.Now();
  const bool was_paused = now - m_last_tick > kProcessPauseThreshold;
  m_last_tick = now;
  if (was_paused) {
    if (m_coordinator_peer) m_coordinator_peer->last_frame_at = now;
    for (auto& [id, peer] : m_followers) peer.last_frame_at = now;
  }
  CloseSilentLinks(now);
  if (m_coordinator_peer && now >= m_next_probe) {
    m_next_probe = now + kProbePeriod;
    Enqueue(*m_coordinator_peer, m_relay->MakeProbe());
  }
  m_relay->UpdateSuspension();
  RequestMissingState();
  if (m_has_lost_store && m_relay->HasStoreContact()) SetLostStore(false);
  RemoveAbsentMembers(now);
  UpdateStreamKeepers();
  m_coordinator.Streams().RemoveExpired(now);
  ElectCoordinator();
}

void Fleet::CloseSilentLinks(TimePoint now) {
  std::vector<std::shared_ptr<Link>> silent;
  if (m_coordinator_peer && now - m_coordinator_peer->last_frame_at > kLinkSilenceTimeout)
    silent.push_back(m_coordinator_peer->link);
  for (auto& [id, peer] : m_followers)
    if (now - peer.last_frame_at > kLinkSilenceTimeout) silent.push_back(peer.link);
  for (auto& [id, dial] : m_dials)
    if (dial.link &&
        now - dial.started_at > (dial.link->IsConnected() ? kBusyCandidateDelay : kDialTimeout))
      silent.push_back(dial.link);
  for (const auto& link : silent) link->Close("silent");
}

void Fleet::OnLinkReady(Link& link) {
  const InstanceId id = link.Peer().id;
  const TimePoint now = m_loop.Now();
  if (link.Side() == LinkSide::kInitiator) return ElectCoordinator();
  const auto accepted = m_pending_links.extract(&link);
  if (accepted.empty()) return;
  if (const auto old = m_followers.find(id); old != m_followers.end()) {
    const auto previous = old->second.link;
    m_followers.erase(old);
    m_stream_keepers.erase(id);
    m_transfers.RemoveFollower(id);
    previous->Close("replaced");
    m_coordinator.RemoveHome(id);
  }
  Peer& peer = m_followers[id];
  peer.link = accepted.mapped();
  peer.last_frame_at = now;
  FleetMember member;
  member.id = id;
  member.data_centre = link.Peer().data_centre;
  member.caller_address = link.Peer().caller_address;
  member.peer_address = link.Peer().peer_address;
  m_members.try_emplace(id, member);
  SetAlive(id, true);
  MembersMessage snapshot{{OwnMember()}};
  for (const auto& [other, known] : m_members) snapshot.members.push_back(known);
  Enqueue(peer, std::move(snapshot));
  SendCrashes(peer, m_coordinator.CrashSnapshot());
  UpdateShare();
}

void Fleet::OnLinkClosed(Link& link) {
  const TimePoint now = m_loop.Now();
  // The link may be executing one of its functions, so its destruction is deferred.
  m_loop.Post([keep = link.shared_from_this()] {});
  m_pending_links.erase(&link);
  for (auto& [id, dial] : m_dials) {
    if (dial.link.get() != &link) continue;
    dial.link.reset();
    dial.retry_at = now + kDialBackoff;
    if (!m_coordinator_id) PostElection();
  }
  if (m_coordinator_peer && m_coordinator_peer->link.get() == &link) {
    LogEvent(EventId::kLinkDown,
             {{"peer", m_coordinator_id->Text()}, {"reason", link.CloseReason()}});
    // If only the connection was lost, the fleet stays whole when it is dialled again at once.
    Dial& dial = m_dials[*m_coordinator_id];
    const bool was_silent = now - m_coordinator_peer->last_frame_at > kLinkSilenceTimeout;
    dial.retry_at = was_silent || now < dial.started_at + kDialBackoff ? now + kDialBackoff : now;
    m_coordinator_peer.reset();
    m_coordinator_id.reset();
    m_events.on_coordinator_changed(false);
    PostElection();
  }
  const auto follower = m_followers.find(link.Peer().id);
  if (follower == m_followers.end() || follower->second.link.get() != &link) return;
  const InstanceId id = follower->first;
  m_followers.erase(follower);
  m_stream_keepers.erase(id);
  m_transfers.RemoveFollower(id);
  m_coordinator.RemoveHome(id);
  SetAlive(id, false);
  UpdateShare();
  ScheduleDecision();
}

void Fleet::OnLinkFrame(Link& link, Frame frame) {
  const auto* fleet = std::get_if<FleetFrame>(&frame.body);
  if (fleet == nullptr) return;
  const TimePoint now = m_loop.Now();
  const InstanceId id = link.Peer().id;
  const bool is_from_coordinator = m_coordinator_peer && m_coordinator_peer->link.get() == &link;
  if (is_from_coordinator) m_coordinator_peer->last_frame_at = now;
  const auto follower = m_followers.find(id);
  const bool is_follower = follower != m_followers.end() && follower->second.link.get() == &link;
  if (is_follower) follower->second.last_frame_at = now;
  if (fleet->payload.empty() || (!is_from_coordinator && !is_follower)) return;
  Result<std::vector<FleetMessage>> messages = DecodeFleetMessages(fleet->payload, id, now);
  if (!IsOk(messages)) return link.Close(ErrorOf(messages).message);
  bool affects_decisions = false;
  for (FleetMessage& message : std::get<0>(messages)) {
    affects_decisions =
        affects_decisions || !(std::holds_alternative<ProbeMessage>(message) ||
                               std::holds_alternative<StateRequestMessage>(message));
    if (is_follower) {
      OnFollowerMessage(id, std::move(message));
    } else {
      OnCoordinatorMessage(std::move(message));
    }
  }
  if (is_follower && affects_decisions) ScheduleDecision();
}

void Fleet::OnFollowerMessage(const InstanceId& follower, FleetMessage message) {
  const TimePoint now = m_loop.Now();
  if (auto* submit = std::get_if<SubmitMessage>(&message)) {
    m_coordinator.Submit(std::move(submit->request), now, std::chrono::steady_clock::now());
  } else if (const auto* withdraw = std::get_if<WithdrawMessage>(&message)) {
    if (IsHomeOf(follower, withdraw->id)) m_coordinator.Withdraw(withdraw->id);
  } else if (const auto* event = std::get_if<FirstEventMessage>(&message)) {
    m_coordinator.RecordFirstEvent(event->id, event->version, event->time_to_first_event, now);
  } else if (const auto* release = std::get_if<ReleaseRunMessage>(&message)) {
    if (IsHomeOf(follower, release->id))
      m_coordinator.ReleaseRun(release->id, release->report, now);
  } else if (const auto* avoid = std::get_if<AvoidBackendMessage>(&message)) {
    m_coordinator.RequestScheduler().AvoidBackend(avoid->backend, now + avoid->duration);
    if (avoid->is_unreachable) m_coordinator.OnBackendUnreachable(avoid->backend, now);
    if (avoid->rejections)
      m_coordinator.RequestScheduler().RecordRejections(avoid->backend, *avoid->rejections, now);
  } else if (auto* sync = std::get_if<SyncRequestsMessage>(&message)) {
    OnSyncRequests(follower, std::move(*sync));
  } else if (const auto* crashes = std::get_if<CrashesMessage>(&message)) {
    m_coordinator.MergeCrashes(crashes->update, now);
  } else if (const auto* verdicts = std::get_if<RolloutVerdictsMessage>(&message)) {
    for (const RolloutVerdict& verdict : verdicts->verdicts)
      m_coordinator.Rollouts().MergeVerdict(verdict, now);
  } else if (const auto* streams = std::get_if<StreamsMessage>(&message)) {
    m_coordinator.Streams().Merge(streams->records);
    for (const InstanceId& id : m_stream_keepers)
      if (id != follower) SendStreams(m_followers.at(id), streams->records);
  } else if (const auto* members = std::get_if<MembersMessage>(&message)) {
    MergeMembers(*members, false);
  } else if (const auto* probe = std::get_if<ProbeMessage>(&message)) {
    SetFeatures(m_followers.at(follower), probe->features);
    SendToFollower(follower, m_relay->AnswerProbe(*probe));
    // Only this instance has lost the store, so a follower is the better coordinator.
    if (probe->has_store_contact && IsCoordinator() && !m_relay->HasStoreContact())
      SetLostStore(true);
  } else if (auto* request = std::get_if<StateRequestMessage>(&message)) {
    // Contents have revisions with eras.
    const bool knows_eras = (m_followers.at(follower).features & kFeatureStoreEras) != 0;
    if (m_relay->HasEras() && !knows_eras) return;
    m_transfers.Add(follower, std::move(*request));
    if (!m_is_transferring) SendStatePieces();
  }
}

void Fleet::AnnounceObject(ObjectKind kind, const StoredObject& object) {
  if (m_followers.empty()) return;
  const ObjectMessage message = m_relay->MakeAnnouncement(kind, object, m_followers.size());
  FeatureSet required = 0;
  if (kind == ObjectKind::kRollouts) required |= kFeatureRollouts;
  // Older builds would take all that they read themselves for older than this object.
  if (EraOf(object.revision) != StoreEra{}) required |= kFeatureStoreEras;
  for (auto& [id, peer] : m_followers)
    if ((peer.features & required) == required) Enqueue(peer, message);
}

void Fleet::OnCoordinatorMessage(FleetMessage message) {
  if (const auto* grant = std::get_if<GrantedMessage>(&message)) {
    DeliverGrant(grant->id, grant->backend, grant->version);
  } else if (const auto* refuse = std::get_if<RefusedMessage>(&message)) {
    DeliverRefusal(refuse->id, refuse->reason, refuse->retry_after);
  } else if (const auto* streams = std::get_if<StreamsMessage>(&message)) {
    m_coordinator.Streams().Merge(streams->records);
  } else if (const auto* members = std::get_if<MembersMessage>(&message)) {
    MergeMembers(*members, true);
    PostElection();
  } else if (const auto* crashes = std::get_if<CrashesMessage>(&message)) {
    m_coordinator.MergeCrashes(crashes->update, m_loop.Now());
  } else if (const auto* verdicts = std::get_if<RolloutVerdictsMessage>(&message)) {
    for (const RolloutVerdict& verdict : verdicts->verdicts)
      m_coordinator.Rollouts().MergeVerdict(verdict, m_loop.Now());
  } else if (const auto* confirm = std::get_if<ConfirmMessage>(&message)) {
    SetFeatures(*m_coordinator_peer, confirm->features);
    m_relay->OnConfirm(*confirm);
  } else if (const auto* object = std::get_if<ObjectMessage>(&message)) {
    m_relay->OnObject(*object);
  } else if (const auto* piece = std::get_if<StatePieceMessage>(&message)) {
    m_relay->OnStatePiece(*piece);
    RequestMissingState();
  }
}

void Fleet::Enqueue(const Peer& peer, FleetMessage message) {
  Outbox& outbox = m_outboxes[peer.link.get()];
  outbox.link = peer.link;
  outbox.messages.push_back(std::move(message));
  if (m_is_flush_posted) return;
  m_is_flush_posted = true;
  m_loop.Post([this, alive = m_alive] {
    if (*alive) FlushOutboxes();
  });
}

void Fleet::SendCrashes(const Peer& peer, const CrashUpdate& update) {
  if (!update.IsEmpty()) Enqueue(peer, CrashesMessage{update});
}

void Fleet::SendVerdicts(const Peer& peer, const std::vector<RolloutVerdict>& verdicts) {
  if (!verdicts.empty() && (peer.features & kFeatureRollouts) != 0)
    Enqueue(peer, RolloutVerdictsMessage{verdicts});
}

void Fleet::SetFeatures(Peer& peer, FeatureSet features) {
  if (peer.features == features) return;
  peer.features = features;
  const bool is_coordinator = m_coordinator_peer && &peer == &*m_coordinator_peer;
  if (is_coordinator) SendStreams(peer, m_coordinator.Streams().HandOver(m_loop.Now()));
  SendVerdicts(peer, m_coordinator.Rollouts().Verdicts());
}

void Fleet::SendToCoordinator(FleetMessage message) {
  // Dropped while there is no coordinator, because the next one is sent all requests anyway.
  if (m_coordinator_peer) Enqueue(*m_coordinator_peer, std::move(message));
}

void Fleet::SendToFollower(const InstanceId& follower, FleetMessage message) {
  const auto found = m_followers.find(follower);
  if (found != m_followers.end()) Enqueue(found->second, std::move(message));
}

void Fleet::Submit(RequestInfo request, DispatchListener* listener) {
  request.home = m_options.id;
  const TimePoint received_at = std::chrono::steady_clock::now();
  // A coordinator of an older build does not know where streams began; others know it better.
  const bool needs_version = m_coordinator_peer && !KnowsStreams(*m_coordinator_peer);
  if (request.is_taken_up && !request.version && needs_version)
    request.version = m_coordinator.FindStreamVersion(request, received_at, m_loop.Now());
  m_requests[request.id] = LocalRequest{request, listener, {}, {}, true};
  if (IsCoordinator()) {
    m_coordinator.Submit(std::move(request), m_loop.Now(), received_at);
    return ScheduleDecision();
  }
  SendToCoordinator(SubmitMessage{std::move(request)});
}

void Fleet::Withdraw(const AttemptId& id) {
  if (m_requests.erase(id) == 0) return;
  if (IsCoordinator()) {
    m_coordinator.Withdraw(id);
    return;
  }
  SendToCoordinator(WithdrawMessage{id});
}

void Fleet::ReleaseRun(const AttemptId& id, const RunReport& report) {
  const TimePoint now = m_loop.Now();
  const auto request = m_requests.extract(id);
  if (IsCoordinator()) {
    m_coordinator.ReleaseRun(id, report, now);
    return ScheduleDecision();
  }
  // Kept here as well, since the report may be lost with the coordinator.
  if (!request.empty()) {
    const LocalRequest& local = request.mapped();
    m_coordinator.RecordRunEnd(local.info, local.backend, local.granted_at, report.outcome, now);
  }
  SendToCoordinator(ReleaseRunMessage{id, report});
}

void Fleet::RecordFirstEvent(const AttemptId& id, const SoftwareVersion& version,
                             Millis time_to_first_event) {
  const auto found = m_requests.find(id);
  if (found != m_requests.end()) {
    found->second.is_prefilling = false;
    found->second.info.version = version;
  }
  if (IsCoordinator()) {
    m_coordinator.RecordFirstEvent(id, version, time_to_first_event, m_loop.Now());
    return ScheduleDecision();
  }
  SendToCoordinator(FirstEventMessage{id, version, time_to_first_event});
}

void Fleet::AvoidBackend(const BackendId& id, Millis duration, bool is_unreachable) {
  if (is_unreachable) m_coordinator.OnBackendUnreachable(id, m_loop.Now());
  if (!IsCoordinator()) return SendToCoordinator(AvoidBackendMessage{id, duration, is_unreachable});
  m_coordinator.RequestScheduler().AvoidBackend(id, m_loop.Now() + duration);
}

void Fleet::ReportRejections(const BackendId& id, const RejectionReport& report) {
  // Kept here as well, since this instance may coordinate next.
  m_coordinator.RequestScheduler().RecordRejections(id, report, m_loop.Now());
  SendToCoordinator(AvoidBackendMessage{id, {}, false, report});
}

void Fleet::DeliverGrant(const AttemptId& id, const BackendId& backend,
                         const std::optional<SoftwareVersion>& version) {
  const auto found = m_requests.find(id);
  if (found == m_requests.end() || found->second.listener == nullptr) {
    // The request was withdrawn in the meantime, or has been granted by two coordinators.
    if (found != m_requests.end()) return;
    if (IsCoordinator()) return m_coordinator.ReleaseRun(id, {}, m_loop.Now());
    return SendToCoordinator(ReleaseRunMessage{id, {}});
  }
  LocalRequest& request = found->second;
  request.backend = backend;
  request.granted_at = m_loop.Now();
  m_coordinator.RememberGrant(request.info, request.granted_at);
  request.is_prefilling = true;
  // A coordinator of an older build does not repeat it.
  if (version) request.info.version = version;
  std::exchange(request.listener, nullptr)->OnGrant(backend, request.info.version);
}

void Fleet::DeliverRefusal(const AttemptId& id, RefusalReason reason, Millis retry_after) {
  const auto found = m_requests.find(id);
  if (found == m_requests.end() || found->second.listener == nullptr) return;
  DispatchListener* listener = found->second.listener;
  m_requests.erase(found);
  listener->OnRefusal(reason, retry_after);
}

void Fleet::ScheduleDecision() {
  if (m_is_decision_scheduled) return;
  m_is_decision_scheduled = true;
  const Millis wait = m_decision_pace.TimeUntilNext(std::chrono::steady_clock::now());
  if (wait > Millis{0}) return m_pace_timer.Start(wait, [this] { Decide(); });
  m_loop.Post([this, alive = m_alive] {
    if (*alive) Decide();
  });
}

void Fleet::Decide() {
  const TimePoint started = std::chrono::steady_clock::now();
  m_is_decision_scheduled = false;
  const TimePoint now = m_loop.Now();
  Decisions decisions = m_coordinator.Decide(now);
  if (m_coordinator.NeedsConfirmation()) m_events.on_confirmation_needed();
  // The coordinator has reported what a follower learns of crashes.
  if (!IsCoordinator()) decisions.crashes = {};
  for (auto& [id, peer] : m_followers) SendCrashes(peer, decisions.crashes);
  const StreamRecords streams = m_coordinator.Streams().TakeChanges();
  for (const InstanceId& id : m_stream_keepers) SendStreams(m_followers.at(id), streams);
  const std::vector<RolloutVerdict> verdicts = m_coordinator.Rollouts().TakeVerdicts();
  for (auto& [id, peer] : m_followers) SendVerdicts(peer, verdicts);
  m_decision_log.Write(decisions, m_coordinator.RequestScheduler(), now);
  for (const Grant& grant : decisions.grants) {
    if (grant.home == m_options.id) {
      DeliverGrant(grant.id, grant.backend, grant.version);
    } else {
      SendToFollower(grant.home, GrantedMessage{grant.id, grant.backend, grant.version});
    }
  }
  for (const Refusal& refusal : decisions.refusals) {
    if (refusal.home == m_options.id) {
      DeliverRefusal(refusal.id, refusal.reason, refusal.retry_after);
    } else {
      SendToFollower(refusal.home, RefusedMessage{refusal.id, refusal.reason, refusal.retry_after});
    }
  }
  if (const auto next = m_coordinator.NextDecision()) {
    const auto delay = std::chrono::ceil<Millis>(*next - now);
    m_decision_timer.Start(std::max(delay, Millis{1}), [this] { ScheduleDecision(); });
  } else {
    m_decision_timer.Stop();
  }
  m_decision_pace.RecordDecision(started, std::chrono::steady_clock::now());
}

}  // namespace bluebellpass::gateway
