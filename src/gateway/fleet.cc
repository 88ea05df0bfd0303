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
// Instances probe the coordinator this often; its answers are the heartbeats of the other side.
constexpr Millis kProbePeriod{300};
// A link without a frame for this long is given up; three heartbeats.
constexpr Millis kSilence{1'000};
// A turn that lasted longer means that this process did not run, so others may have been heard.
constexpr Millis kPause{700};
constexpr Millis kDialTimeout{400};
// The next candidate is tried as well when the one before has not answered for this long.
constexpr Millis kDialPatience{150};
constexpr Millis kDialBackoff{1'500};
// An instance that was away for this long does not come back under its registration.
constexpr Millis kForgetAfter{20'000};

}  // namespace

Fleet::Fleet(EventLoop& loop, FleetOptions options, Coordinator& coordinator, Events events)
    : m_loop(loop),
      m_options(std::move(options)),
      m_coordinator(coordinator),
      m_events(std::move(events)),
      m_tick(loop),
      m_decide_timer(loop),
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
  const Listener listener = OpenListener(m_loop, m_options.peer_address, kListenBacklog);
  if (listener.socket == nullptr) return Error{ErrorKind::kInternal, listener.error, ""};
  m_listener = listener.socket;
  m_listener->data = this;
  h2o_socket_read_start(m_listener, &Fleet::HandleAccept);
  m_is_started = true;
  m_tick.StartPeriodic(kTickPeriod, [this] { Tick(); });
  Choose();
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
  self->m_accepted.emplace(link.get(), link);
  link->Accept(accepted);
}

FleetMember Fleet::OwnRecord() const {
  FleetMember record;
  record.id = m_options.id;
  record.data_centre = m_options.data_centre;
  record.caller_address = m_options.caller_address;
  record.peer_address = m_options.peer_address;
  record.registration_revision = m_registered;
  record.is_alive = true;
  record.is_leaving = m_is_leaving;
  record.is_detached = m_is_detached;
  return record;
}

void Fleet::SetRegistration(std::uint64_t revision) {
  m_registered = revision;
  if (m_upstream) Queue(*m_upstream, ViewMessage{{OwnRecord()}});
  Broadcast(OwnRecord());
  Choose();
}

void Fleet::AddMember(FleetMember record) {
  Merge(ViewMessage{{std::move(record)}}, false);
  if (m_is_started) Choose();
}

void Fleet::Leave() {
  m_is_leaving = true;
  if (m_upstream) Queue(*m_upstream, ViewMessage{{OwnRecord()}});
  Broadcast(OwnRecord());
  Flush();
  Choose();
}

std::vector<Address> Fleet::CallerAddresses() const {
  std::vector<Address> addresses;
  if (!m_is_leaving) addresses.push_back(m_options.caller_address);
  // Without a coordinator nobody knows who runs.
  const bool knows_alive = m_following.has_value();
  for (const auto& [id, record] : m_records)
    if (!record.is_leaving && (record.is_alive || !knows_alive))
      addresses.push_back(record.caller_address);
  return addresses;
}

std::vector<const FleetMember*> Fleet::Candidates() const {
  std::vector<const FleetMember*> candidates;
  for (const auto& [id, record] : m_records)
    if (!record.is_leaving && record.registration_revision != 0) candidates.push_back(&record);
  std::sort(candidates.begin(), candidates.end(),
            [](const auto* a, const auto* b) { return OrderOf(*a) < OrderOf(*b); });
  return candidates;
}

void Fleet::SetDetached(bool is_detached) {
  if (m_is_detached == is_detached) return;
  m_is_detached = is_detached;
  LogEvent(EventId::kFleetChanged, {{"member", m_options.id.Text()},
                                    {"state", is_detached ? "without store" : "with store"}});
  if (m_upstream) Queue(*m_upstream, ViewMessage{{OwnRecord()}});
  Broadcast(OwnRecord());
  Choose();
}

void Fleet::Choose() {
  if (!m_is_started) return;
  const TimePoint now = m_loop.Now();
  for (const FleetMember* record : Candidates()) {
    const bool is_behind_self =
        !m_is_leaving && m_registered != 0 && OrderOf(OwnRecord()) < OrderOf(*record);
    if (is_behind_self) break;
    if (m_upstream && m_following == record->id) return;
    Dial& dial = m_dials[record->id];
    if (dial.link && dial.link->IsReady()) return Follow(record->id);
    if (!dial.link && now < dial.retry_at) continue;
    if (!dial.link) TryDial(*record, now);
    if (!dial.link) continue;
    // While the answer is out, a coordinator that is followed goes on deciding.
    if (now - dial.began < kDialPatience) {
      if (!m_following) return;
      break;
    }
  }
  const bool has_upstream = m_upstream && m_following != m_options.id;
  const bool is_first =
      Candidates().empty() ||
      (m_registered != 0 && !m_is_leaving && OrderOf(OwnRecord()) < OrderOf(*Candidates().front()));
  if (has_upstream && !is_first) return;
  Follow(m_options.id);
}

void Fleet::TryDial(const FleetMember& record, TimePoint now) {
  Dial& dial = m_dials[record.id];
  dial.began = now;
  LinkHandler& handler = *this;
  auto link = std::make_shared<Link>(m_loop, m_link_context, handler, LinkSide::kInitiator);
  if (!link->Connect(record.peer_address)) {
    dial.retry_at = now + kDialBackoff;
    return;
  }
  dial.link = std::move(link);
}

void Fleet::Follow(const InstanceId& id) {
  if (m_following == id) return;
  const bool was_coordinator = IsCoordinator();
  if (m_upstream) {
    const auto link = std::exchange(m_upstream, std::nullopt)->link;
    link->Close("another coordinator");
  }
  m_following = id;
  LogEvent(EventId::kCoordinatorChanged,
           {{"coordinator", id.Text()},
            {"waiting_or_running", static_cast<std::int64_t>(m_entries.size())},
            {"known", static_cast<std::int64_t>(m_records.size())}});
  if (id == m_options.id) {
    m_coordinator.TakeOver(m_loop.Now());
    for (auto& [other, record] : m_records) SetAlive(other, m_homes.contains(other));
  } else {
    if (was_coordinator) m_coordinator.RemoveHome(m_options.id);
    Dial& dial = m_dials.at(id);
    m_upstream = Peer{std::exchange(dial.link, nullptr), m_loop.Now(), {}};
  }
  UpdateShare();
  m_next_probe = {};
  m_events.on_coordinator_changed(id != m_options.id);
  SyncWith(id);
}

void Fleet::SyncWith(const InstanceId& id) {
  SyncWorkMessage sync;
  for (const auto& [attempt, entry] : m_entries) {
    if (entry.listener != nullptr) {
      sync.waiting.push_back(entry.work);
    } else {
      sync.running.push_back({entry.work, entry.backend, entry.is_reading});
    }
  }
  if (id == m_options.id) {
    m_coordinator.Sync(id, std::move(sync.waiting), sync.running, m_loop.Now());
    return ScheduleDecision();
  }
  Queue(*m_upstream, ViewMessage{{OwnRecord()}});
  Queue(*m_upstream, m_relay->MakeProbe());
  Queue(*m_upstream, std::move(sync));
}

void Fleet::UpdateShare() {
  std::size_t known = 1;
  std::size_t index = 0;
  for (const FleetMember* record : Candidates()) {
    ++known;
    if (record->id < m_options.id) ++index;
  }
  const std::size_t present = m_homes.size() + 1;
  // A coordinator that most instances follow decides about everything. One that few follow, because
  // the others are cut off or follow another one, keeps to the share of those that do.
  if (IsCoordinator() && 2 * present >= known) return m_coordinator.SetShare(0, 1);
  if (IsCoordinator()) return m_coordinator.SetShare(index, (known + present - 1) / present);
  m_coordinator.SetShare(index, known);
}

void Fleet::Tick() {
  const TimePoint now = m_loop.Now();
  const bool was_paused = now - m_last_tick > kPause;
  m_last_tick = now;
  if (was_paused) {
    if (m_upstream) m_upstream->heard = now;
    for (auto& [id, peer] : m_homes) peer.heard = now;
  }
  CheckSilence(now);
  if (m_upstream && now >= m_next_probe) {
    m_next_probe = now + kProbePeriod;
    Queue(*m_upstream, m_relay->MakeProbe());
  }
  m_relay->Update();
  if (m_is_detached && m_relay->HasStore()) SetDetached(false);
  ForgetAbsent(now);
  Choose();
}

void Fleet::CheckSilence(TimePoint now) {
  std::vector<std::shared_ptr<Link>> silent;
  if (m_upstream && now - m_upstream->heard > kSilence) silent.push_back(m_upstream->link);
  for (auto& [id, peer] : m_homes)
    if (now - peer.heard > kSilence) silent.push_back(peer.link);
  for (auto& [id, dial] : m_dials)
    if (dial.link && now - dial.began > kDialTimeout) silent.push_back(dial.link);
  for (const auto& link : silent) link->Close("silent");
}

void Fleet::ForgetAbsent(TimePoint now) {
  if (!IsCoordinator()) return m_absent_since.clear();
  std::vector<FleetMember> forgotten;
  for (auto& [id, record] : m_records) {
    if (record.is_alive) {
      m_absent_since.erase(id);
    } else if (now - m_absent_since.try_emplace(id, now).first->second > kForgetAfter) {
      forgotten.push_back(record);
    }
  }
  for (FleetMember& record : forgotten) {
    m_records.erase(record.id);
    m_absent_since.erase(record.id);
    m_dials.erase(record.id);
    record.is_gone = true;
    Broadcast(record);
    if (m_events.on_member_removed)
      m_events.on_member_removed(record.id, record.registration_revision);
  }
  if (!forgotten.empty()) UpdateShare();
}

void Fleet::OnLinkReady(Link& link) {
  const InstanceId id = link.Peer().id;
  const TimePoint now = m_loop.Now();
  if (link.Side() == LinkSide::kInitiator) return Choose();
  const auto accepted = m_accepted.extract(&link);
  if (accepted.empty()) return;
  if (const auto old = m_homes.find(id); old != m_homes.end()) {
    const auto previous = old->second.link;
    m_homes.erase(old);
    previous->Close("replaced");
    m_coordinator.RemoveHome(id);
  }
  Peer& peer = m_homes[id];
  peer.link = accepted.mapped();
  peer.heard = now;
  FleetMember record;
  record.id = id;
  record.data_centre = link.Peer().data_centre;
  record.caller_address = link.Peer().caller_address;
  record.peer_address = link.Peer().peer_address;
  m_records.try_emplace(id, record);
  SetAlive(id, true);
  ViewMessage view{{OwnRecord()}};
  for (const auto& [other, known] : m_records) view.records.push_back(known);
  Queue(peer, std::move(view));
  UpdateShare();
}

void Fleet::OnLinkClosed(Link& link) {
  const TimePoint now = m_loop.Now();
  // The link may be running one of its functions.
  m_loop.Post([keep = link.shared_from_this()] {});
  m_accepted.erase(&link);
  for (auto& [id, dial] : m_dials) {
    if (dial.link.get() != &link) continue;
    dial.link.reset();
    dial.retry_at = now + kDialBackoff;
  }
  if (m_upstream && m_upstream->link.get() == &link) {
    LogEvent(EventId::kLinkDown, {{"peer", m_following->Text()}, {"reason", link.CloseReason()}});
    m_dials[*m_following].retry_at = now + kDialBackoff;
    m_upstream.reset();
    m_following.reset();
    m_events.on_coordinator_changed(false);
    m_loop.Post([this, alive = m_alive] {
      if (*alive) Choose();
    });
  }
  const auto home = m_homes.find(link.Peer().id);
  if (home == m_homes.end() || home->second.link.get() != &link) return;
  const InstanceId id = home->first;
  m_homes.erase(home);
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
  const bool is_upstream = m_upstream && m_upstream->link.get() == &link;
  if (is_upstream) m_upstream->heard = now;
  const auto home = m_homes.find(id);
  const bool is_home = home != m_homes.end() && home->second.link.get() == &link;
  if (is_home) home->second.heard = now;
  if (fleet->payload.empty() || (!is_upstream && !is_home)) return;
  Result<std::vector<FleetMessage>> messages = DecodeFleet(fleet->payload, id, now);
  if (!IsOk(messages)) return link.Close(ErrorOf(messages).message);
  bool has_work = false;
  for (FleetMessage& message : std::get<0>(messages)) {
    has_work = has_work || !std::holds_alternative<ProbeMessage>(message);
    if (is_home) {
      OnHomeMessage(id, std::move(message));
    } else {
      OnCoordinatorMessage(std::move(message));
    }
  }
  // Heartbeats change nothing that is decided on.
  if (is_home && has_work) ScheduleDecision();
}

void Fleet::OnHomeMessage(const InstanceId& home, FleetMessage message) {
  const TimePoint now = m_loop.Now();
  if (auto* submit = std::get_if<SubmitMessage>(&message)) {
    m_coordinator.Submit(std::move(submit->work), now);
  } else if (const auto* withdraw = std::get_if<WithdrawMessage>(&message)) {
    m_coordinator.Withdraw(withdraw->id);
  } else if (const auto* event = std::get_if<FirstEventMessage>(&message)) {
    m_coordinator.RequestScheduler().RecordFirstEvent(event->id, event->after, now);
  } else if (const auto* release = std::get_if<ReleaseRunMessage>(&message)) {
    m_coordinator.Release(release->id, release->report, now);
  } else if (const auto* avoid = std::get_if<AvoidMessage>(&message)) {
    m_coordinator.RequestScheduler().AvoidBackend(avoid->backend, now + avoid->duration);
    if (avoid->is_unreachable) m_coordinator.OnBackendUnreachable(avoid->backend, now);
  } else if (auto* sync = std::get_if<SyncWorkMessage>(&message)) {
    m_coordinator.Sync(home, std::move(sync->waiting), sync->running, now);
  } else if (const auto* view = std::get_if<ViewMessage>(&message)) {
    Merge(*view, false);
  } else if (const auto* probe = std::get_if<ProbeMessage>(&message)) {
    SendToHome(home, m_relay->AnswerProbe(*probe));
    // The store is lost to this instance alone, so another one is a better coordinator.
    if (probe->has_store && IsCoordinator() && !m_relay->HasStore()) SetDetached(true);
  }
}

void Fleet::AnnounceObject(ObjectKind kind, const StoredObject& object) {
  if (m_homes.empty()) return;
  const ObjectMessage message = m_relay->Announce(kind, object, m_homes.size());
  for (auto& [id, peer] : m_homes) Queue(peer, message);
}

void Fleet::OnCoordinatorMessage(FleetMessage message) {
  if (const auto* grant = std::get_if<GrantWorkMessage>(&message)) {
    GrantLocally(grant->id, grant->backend);
  } else if (const auto* refuse = std::get_if<RefuseWorkMessage>(&message)) {
    RefuseLocally(refuse->id, refuse->reason, refuse->retry_after);
  } else if (const auto* view = std::get_if<ViewMessage>(&message)) {
    Merge(*view, true);
    m_loop.Post([this, alive = m_alive] {
      if (*alive) Choose();
    });
  } else if (const auto* confirm = std::get_if<ConfirmMessage>(&message)) {
    m_relay->OnConfirm(*confirm);
  } else if (const auto* object = std::get_if<ObjectMessage>(&message)) {
    m_relay->OnObject(*object);
  }
}

void Fleet::Merge(const ViewMessage& view, bool is_from_coordinator) {
  for (const FleetMember& record : view.records) {
    if (record.id == m_options.id) continue;
    const auto known = m_records.find(record.id);
    const bool is_new = known == m_records.end();
    if (!is_new && record.registration_revision < known->second.registration_revision) continue;
    if (record.is_gone) {
      if (is_from_coordinator) m_records.erase(record.id);
      continue;
    }
    const bool is_registered_anew =
        is_new || record.registration_revision > known->second.registration_revision;
    FleetMember merged = record;
    if (!is_from_coordinator) merged.is_alive = m_homes.contains(record.id);
    if (!is_from_coordinator && !is_new && !IsCoordinator())
      merged.is_alive = known->second.is_alive;
    const bool is_changed = is_new || is_registered_anew ||
                            known->second.is_leaving != record.is_leaving ||
                            known->second.is_detached != record.is_detached;
    m_records[record.id] = merged;
    // An instance that has started again may answer at once.
    if (is_registered_anew) m_dials[record.id].retry_at = {};
    if (is_changed && IsCoordinator()) Broadcast(merged);
  }
  UpdateShare();
}

void Fleet::SetAlive(const InstanceId& id, bool is_alive) {
  const auto found = m_records.find(id);
  if (found == m_records.end()) return;
  const bool is_changed = found->second.is_alive != is_alive;
  found->second.is_alive = is_alive;
  if (is_changed && IsCoordinator()) {
    LogEvent(EventId::kFleetChanged, {{"member", id.Text()},
                                      {"state", is_alive ? "alive" : "away"},
                                      {"present", static_cast<std::int64_t>(m_homes.size() + 1)}});
    Broadcast(found->second);
  }
}

void Fleet::Broadcast(const FleetMember& record) {
  for (auto& [id, peer] : m_homes) Queue(peer, ViewMessage{{record}});
}

void Fleet::Queue(Peer& peer, FleetMessage message) {
  peer.outbox.push_back(std::move(message));
  if (m_is_flush_posted) return;
  m_is_flush_posted = true;
  m_loop.Post([this, alive = m_alive] {
    if (*alive) Flush();
  });
}

void Fleet::Flush() {
  m_is_flush_posted = false;
  const TimePoint now = m_loop.Now();
  std::vector<std::pair<std::shared_ptr<Link>, std::vector<FleetMessage>>> ready;
  const auto collect = [&](Peer& peer) {
    if (!peer.outbox.empty()) ready.emplace_back(peer.link, std::exchange(peer.outbox, {}));
  };
  if (m_upstream) collect(*m_upstream);
  for (auto& [id, peer] : m_homes) collect(peer);
  for (const auto& [link, messages] : ready) link->Send(FleetFrame{EncodeFleet(messages, now)});
}

void Fleet::SendToCoordinator(FleetMessage message) {
  // Without a coordinator, all is reported once there is one.
  if (m_upstream) Queue(*m_upstream, std::move(message));
}

void Fleet::SendToHome(const InstanceId& home, FleetMessage message) {
  const auto found = m_homes.find(home);
  if (found != m_homes.end()) Queue(found->second, std::move(message));
}

void Fleet::Submit(RequestInfo work, DispatchListener* listener) {
  work.home = m_options.id;
  m_entries[work.id] = Entry{work, listener, {}, true};
  if (IsCoordinator()) {
    m_coordinator.Submit(std::move(work), m_loop.Now());
    return ScheduleDecision();
  }
  SendToCoordinator(SubmitMessage{std::move(work)});
}

void Fleet::Withdraw(const AttemptId& id) {
  if (m_entries.erase(id) == 0) return;
  if (IsCoordinator()) {
    m_coordinator.Withdraw(id);
    return;
  }
  SendToCoordinator(WithdrawMessage{id});
}

void Fleet::Release(const AttemptId& id, const RunReport& report) {
  m_entries.erase(id);
  if (IsCoordinator()) {
    m_coordinator.Release(id, report, m_loop.Now());
    return ScheduleDecision();
  }
  SendToCoordinator(ReleaseRunMessage{id, report});
}

void Fleet::NoteFirstEvent(const AttemptId& id, Millis after) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end()) found->second.is_reading = false;
  if (IsCoordinator()) {
    m_coordinator.RequestScheduler().RecordFirstEvent(id, after, m_loop.Now());
    return ScheduleDecision();
  }
  SendToCoordinator(FirstEventMessage{id, after});
}

void Fleet::Avoid(const BackendId& id, Millis duration, bool is_unreachable) {
  if (!IsCoordinator()) return SendToCoordinator(AvoidMessage{id, duration, is_unreachable});
  m_coordinator.RequestScheduler().AvoidBackend(id, m_loop.Now() + duration);
  if (is_unreachable) m_coordinator.OnBackendUnreachable(id, m_loop.Now());
}

void Fleet::GrantLocally(const AttemptId& id, const BackendId& backend) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end() || found->second.listener == nullptr) {
    // Withdrawn meanwhile, or granted by two coordinators.
    if (found != m_entries.end()) return;
    if (IsCoordinator()) return m_coordinator.Release(id, {}, m_loop.Now());
    return SendToCoordinator(ReleaseRunMessage{id, {}});
  }
  Entry& entry = found->second;
  entry.backend = backend;
  entry.is_reading = true;
  std::exchange(entry.listener, nullptr)->OnGrant(backend);
}

void Fleet::RefuseLocally(const AttemptId& id, RefusalReason reason, Millis retry_after) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end() || found->second.listener == nullptr) return;
  DispatchListener* listener = found->second.listener;
  m_entries.erase(found);
  listener->OnRefusal(reason, retry_after);
}

void Fleet::ScheduleDecision() {
  if (m_is_decision_posted) return;
  m_is_decision_posted = true;
  m_loop.Post([this, alive = m_alive] {
    if (!*alive) return;
    m_is_decision_posted = false;
    Decide();
  });
}

void Fleet::Decide() {
  const TimePoint now = m_loop.Now();
  const Decisions decisions = m_coordinator.Decide(now);
  m_decision_log.Write(decisions, m_coordinator.RequestScheduler(), now);
  for (const Grant& grant : decisions.grants) {
    if (grant.home == m_options.id) {
      GrantLocally(grant.id, grant.backend);
    } else {
      SendToHome(grant.home, GrantWorkMessage{grant.id, grant.backend});
    }
  }
  for (const Refusal& refusal : decisions.refusals) {
    if (refusal.home == m_options.id) {
      RefuseLocally(refusal.id, refusal.reason, refusal.retry_after);
    } else {
      SendToHome(refusal.home, RefuseWorkMessage{refusal.id, refusal.reason, refusal.retry_after});
    }
  }
  if (const auto next = m_coordinator.NextDecision()) {
    const auto delay = std::chrono::ceil<Millis>(*next - now);
    m_decide_timer.Start(std::max(delay, Millis{1}), [this] { Decide(); });
  } else {
    m_decide_timer.Stop();
  }
}

}  // namespace bluebellpass::gateway
