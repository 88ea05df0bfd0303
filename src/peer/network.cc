#include "network.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "kernel/h2o.h"
#include "kernel/loop.h"

namespace bluebellpass {
namespace {

constexpr Millis kTickPeriod{100};
constexpr int kListenBacklog = 512;
// Limits the memory used by unauthenticated connections.
constexpr std::size_t kMaxHandshakes = 128;
// After a longer gap between ticks this process was paused, so silent peers may well be alive.
constexpr Millis kMaxTickGap{1000};
// A new link carries full gossip for this long if its peer was added or changed within the same
// time, so that a new instance learns of all members quickly. A link opened to probe a known member
// carries full gossip once.
constexpr Millis kFullGossipTime{10'000};
// How long a link that was opened for a probe is kept.
constexpr Millis kProbeLinkTime{3000};
// Largest reported age, also used before the first status.
constexpr Millis kMaxReportedAge{365LL * 24 * 3600 * 1000};

/// @return the descriptor of a listening socket, or an error
Result<int> OpenListener(const Address& address) {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr) != 1)
    return Error{ErrorKind::kInternal, "peer address is not IPv4: " + address.ip, {}};
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  if (fd >= 0) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    Error error{ErrorKind::kInternal, address.Text() + ": " + std::strerror(errno), {}};
    if (fd >= 0) close(fd);
    return error;
  }
  return fd;
}

std::uint16_t BoundPort(int fd) {
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.sin_port);
}

EventId EventFor(const Member& member) {
  switch (member.state) {
    case MemberState::kAlive:
      return member.info.is_leaving ? EventId::kMemberLeft : EventId::kMemberAlive;
    case MemberState::kSuspect:
      return EventId::kMemberSuspect;
    case MemberState::kDead:
      return EventId::kMemberDead;
    case MemberState::kLeft:
      return EventId::kMemberLeft;
  }
  return EventId::kMemberDead;
}

std::int64_t ToSigned(std::uint64_t value) { return static_cast<std::int64_t>(value); }

}  // namespace

Network::Network(EventLoop& loop, InstanceInfo self, Address listen, std::vector<std::string> keys,
                 std::vector<Address> seeds)
    : m_loop(loop),
      m_listen_address(std::move(listen)),
      m_link_context{self, std::move(keys), &m_traffic},
      m_random(std::random_device{}()),
      m_membership(std::move(self), loop.Now(), m_random(),
                   [this](const Member& member) { HandleMemberChange(member); }),
      m_status_set_at(loop.Now()),
      m_last_tick(loop.Now()),
      m_timer(loop) {
  std::erase(m_link_context.keys, std::string());
  m_status.confirmation_age = kMaxReportedAge;
  for (const Address& seed : seeds) AddSeed(seed);
}

Network::~Network() { Close(); }

void Network::AddSeed(const Address& address) {
  for (const Seed& seed : m_seeds)
    if (seed.address == address) return;
  m_seeds.push_back({address, {}});
}

Result<Address> Network::Listen() {
  if (m_link_context.keys.empty())
    return Error{ErrorKind::kInvalidConfig, "no peer key is configured", "peer_key"};
  auto opened = OpenListener(m_listen_address);
  if (!IsOk(opened)) return ErrorOf(opened);
  const int fd = std::get<int>(opened);
  m_listen_address.port = BoundPort(fd);
  if (m_link_context.self.peer_address.port == 0) {
    m_link_context.self.peer_address = m_listen_address;
    m_membership.SetPeerAddress(m_listen_address);
  }
  m_listen_socket = h2o_evloop_socket_create(m_loop.Native(), fd, H2O_SOCKET_FLAG_DONT_READ);
  m_listen_socket->data = this;
  h2o_socket_read_start(m_listen_socket, &Network::OnAccept);
  m_timer.StartPeriodic(kTickPeriod, [this] { Tick(); });
  // The first links are dialled without waiting for the timer.
  m_loop.Post([this, weak = std::weak_ptr(m_alive)] {
    if (!weak.expired()) Tick();
  });
  return m_listen_address;
}

void Network::OnAccept(h2o_socket_t* socket, const char* error) {
  if (error == nullptr) static_cast<Network*>(socket->data)->AcceptLinks();
}

std::shared_ptr<Link> Network::AddLink(LinkSide side) {
  LinkHandler& handler = *this;
  auto link = std::make_shared<Link>(m_loop, m_link_context, handler, side);
  m_links.emplace(link.get(), link);
  return link;
}

void Network::AcceptLinks() {
  while (h2o_socket_t* socket = h2o_evloop_socket_accept(m_listen_socket)) {
    if (m_links.size() >= m_ready_links.size() + kMaxHandshakes) {
      h2o_socket_close(socket);
      continue;
    }
    AddLink(LinkSide::kAcceptor)->Accept(socket);
  }
}

void Network::Close() {
  if (std::exchange(m_is_closed, true)) return;
  m_timer.Stop();
  m_alive.reset();
  m_listeners.clear();
  if (m_listen_socket != nullptr) h2o_socket_close(std::exchange(m_listen_socket, nullptr));
  if (Self().is_leaving) {
    m_membership.MarkLeft();
    for (auto& [id, ready] : m_ready_links) SendPing(ready, false);
  }
  const auto links = m_links;
  for (const auto& [key, link] : links) link->Close("stopped");
}

template <class Function>
void Network::NotifyListeners(Function function) {
  // Iterates by index, since a listener may add another one.
  for (std::size_t i = 0; i < m_listeners.size(); ++i) function(*m_listeners[i]);
}

bool Network::Send(const InstanceId& to, const PeerMessage& message) {
  if (m_is_closed) return false;
  if (to == Self().id) {
    m_loop.Post([this, weak = std::weak_ptr(m_alive), message] {
      if (weak.expired()) return;
      NotifyListeners([&](PeerListener& listener) { listener.OnPeerMessage(Self().id, message); });
    });
    return true;
  }
  RequestLink(to, kIdleTimeout);
  const auto found = m_ready_links.find(to);
  if (found != m_ready_links.end()) return found->second.link->Send(message);
  DialMember(to, m_loop.Now());
  return false;
}

std::vector<Member> Network::Members() const { return m_membership.Members(m_loop.Now()); }

bool Network::IsLinked(const InstanceId& peer) const {
  return peer == Self().id || m_ready_links.contains(peer);
}

void Network::SetStatus(const PeerStatus& status) {
  m_status = status;
  m_status_set_at = m_loop.Now();
}

void Network::Leave() {
  if (m_is_closed || Self().is_leaving) return;
  m_membership.Leave();
  m_link_context.self.is_leaving = true;
  for (auto& [id, ready] : m_ready_links) SendPing(ready, false);
}

void Network::Tick() {
  const TimePoint now = m_loop.Now();
  if (now - m_last_tick > kMaxTickGap) {
    m_membership.CancelProbes();
    for (auto& [key, link] : m_links) link->ResetSilence(now);
  }
  m_last_tick = now;
  const auto probe = m_membership.Tick(now);
  if (probe) Probe(*probe);
  MaintainLinks(now);
  if (m_is_closed) return;
  if (m_have_members_changed) SelectPermanentPeers();
  DialMissingLinks(now);
  CloseIdleLinks(now);
}

void Network::MaintainLinks(TimePoint now) {
  std::vector<std::shared_ptr<Link>> links;
  for (const auto& [id, ready] : m_ready_links) links.push_back(ready.link);
  for (const auto& link : links) {
    const Member* member = m_membership.Find(link->Peer().id);
    if (member != nullptr && member->info.incarnation > link->Peer().incarnation)
      link->Close("newer incarnation");
    link->CloseIfSilent(now);
  }
  for (auto& [id, ready] : m_ready_links)
    if (now >= ready.next_ping) SendPing(ready, NeedsFullGossip(ready, now));
}

bool Network::HasChangedRecently(const InstanceId& id, TimePoint now) const {
  const auto changed = m_membership.ChangedAt(id);
  return changed && now - *changed < kFullGossipTime;
}

bool Network::NeedsFullGossip(const ReadyLink& ready, TimePoint now) const {
  return now - ready.ready_since < kFullGossipTime &&
         HasChangedRecently(ready.link->Peer().id, now);
}

Heartbeat Network::MakeHeartbeat(const InstanceId& to, bool is_full_gossip) {
  const TimePoint now = m_loop.Now();
  Heartbeat heartbeat{m_membership.Uptime(now), m_status,
                      m_membership.GossipFor(to, is_full_gossip, now)};
  // Adds the time since SetStatus to the age of the read.
  const auto since = std::chrono::ceil<Millis>(now - m_status_set_at);
  heartbeat.status.confirmation_age =
      std::min(std::min(m_status.confirmation_age, kMaxReportedAge) + since, kMaxReportedAge);
  return heartbeat;
}

void Network::SendPing(ReadyLink& ready, bool is_full_gossip) {
  ready.next_ping = m_loop.Now() + kHeartbeatPeriod;
  ready.link->Send(PingFrame{MakeHeartbeat(ready.link->Peer().id, is_full_gossip)});
}

void Network::SendAck(ReadyLink& ready) {
  const TimePoint now = m_loop.Now();
  // An Ack carries the same heartbeat as the next ping, which is therefore delayed. The acceptor
  // delays it for longer, so that only the initiator sends pings while both are alive.
  const bool is_acceptor = ready.link->Side() == LinkSide::kAcceptor;
  ready.next_ping = now + kHeartbeatPeriod + (is_acceptor ? kAcceptorPingDelay : Millis{0});
  ready.link->Send(AckFrame{MakeHeartbeat(ready.link->Peer().id, NeedsFullGossip(ready, now))});
}

void Network::Probe(const InstanceId& id) {
  const auto found = m_ready_links.find(id);
  if (found != m_ready_links.end()) {
    SendPing(found->second, true);
  } else if (!m_is_full_mesh) {
    RequestLink(id, kProbeLinkTime);
  }
}

bool Network::IsPreferred(const Link& link, const Link& old) const {
  if (link.Peer().incarnation != old.Peer().incarnation)
    return link.Peer().incarnation > old.Peer().incarnation;
  // Both sides prefer the link opened by the instance with the smaller id. Of two links opened by
  // the same instance they prefer the newer one, since the old one may be silent.
  const LinkSide preferred =
      Self().id < link.Peer().id ? LinkSide::kInitiator : LinkSide::kAcceptor;
  return link.Side() == preferred || old.Side() != preferred;
}

void Network::OnLinkReady(Link& link) {
  const InstanceId id = link.Peer().id;
  const Member* known = m_membership.Find(id);
  if (known != nullptr && known->info.incarnation > link.Peer().incarnation)
    return link.Close("older incarnation");
  const auto found = m_ready_links.find(id);
  if (found != m_ready_links.end()) {
    const auto old = found->second.link;
    if (!IsPreferred(link, *old)) return link.Close("duplicate");
    old->Close("replaced");
  }
  if (!link.IsClosed() && !m_is_closed) AddReadyLink(link);
}

void Network::AddReadyLink(Link& link) {
  const TimePoint now = m_loop.Now();
  const InstanceInfo peer = link.Peer();
  auto& ready = m_ready_links[peer.id];
  ready = {link.shared_from_this(), now, now};
  m_membership.RecordHello(peer, now);
  const bool is_new = HasChangedRecently(peer.id, now);
  const bool is_initiator = link.Side() == LinkSide::kInitiator;
  // A link without messages is kept only as long as a probe needs it. An instance probes another
  // member each second, so the idle timeout would leave it with links to 60 members.
  if (is_initiator) RequestLink(peer.id, is_new ? kFullGossipTime : kProbeLinkTime);
  for (Seed& seed : m_seeds)
    if (seed.address == link.DialledAddress()) seed.instance = peer.id;
  LogEvent(EventId::kLinkUp, {{"peer", peer.id.Text()},
                              {"incarnation", ToSigned(peer.incarnation.Value())},
                              {"address", peer.peer_address.Text()}});
  SendPing(ready, is_new || is_initiator);
  NotifyListeners([&](PeerListener& listener) { listener.OnLinkUp(peer.id, peer.incarnation); });
}

void Network::OnLinkFrame(Link& link, Frame frame) {
  const InstanceId from = link.Peer().id;
  const auto found = m_ready_links.find(from);
  if (found == m_ready_links.end() || found->second.link.get() != &link) return;
  if (const auto* message = std::get_if<PeerMessage>(&frame.body)) {
    if (link.Side() == LinkSide::kInitiator) RequestLink(from, kIdleTimeout);
    NotifyListeners([&](PeerListener& listener) { listener.OnPeerMessage(from, *message); });
  } else if (const auto* ping = std::get_if<PingFrame>(&frame.body)) {
    HandleHeartbeat(from, ping->heartbeat);
    // A listener may have closed the link.
    const auto ready = m_ready_links.find(from);
    if (ready != m_ready_links.end() && ready->second.link.get() == &link) SendAck(ready->second);
  } else if (const auto* ack = std::get_if<AckFrame>(&frame.body)) {
    HandleHeartbeat(from, ack->heartbeat);
  }
}

void Network::HandleHeartbeat(const InstanceId& from, const Heartbeat& heartbeat) {
  m_membership.RecordHeartbeat(from, heartbeat.uptime_seconds);
  m_membership.Merge(heartbeat.gossip, m_loop.Now());
  NotifyListeners([&](PeerListener& listener) { listener.OnPeerStatus(from, heartbeat.status); });
}

void Network::OnLinkClosed(Link& link) {
  const auto keep_alive = link.shared_from_this();
  m_links.erase(&link);
  if (link.Side() == LinkSide::kInitiator) ScheduleRedial(link);
  const InstanceId id = link.Peer().id;
  const auto found = m_ready_links.find(id);
  if (found == m_ready_links.end() || found->second.link.get() != &link) return;
  m_ready_links.erase(found);
  LogEvent(EventId::kLinkDown, {{"peer", id.Text()}, {"reason", link.CloseReason()}});
  NotifyListeners([&](PeerListener& listener) { listener.OnLinkDown(id); });
}

void Network::SelectPermanentPeers() {
  m_have_members_changed = false;
  std::erase_if(m_logged_events,
                [&](const auto& item) { return m_membership.Find(item.first) == nullptr; });
  m_permanent_peers.clear();
  m_running_addresses.clear();
  std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
  std::set<InstanceId> all;
  for (const Member& member : Members()) {
    const InstanceId& id = member.info.id;
    if (id == Self().id || member.state == MemberState::kLeft) continue;
    // A full mesh also dials dead members, which rejoins the fleet after a partition.
    if (Self().id < id) all.insert(id);
    if (member.state == MemberState::kDead) continue;
    m_running_addresses.insert(member.info.peer_address);
    const std::uint64_t hash = StableHash(Self().id.Text() + "\n" + id.Text());
    // The last characters change few bits of FNV-1a; the multiplication spreads them.
    ranked.emplace_back((hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL, id);
  }
  m_is_full_mesh = ranked.size() + 1 <= kMaxFullMesh;
  if (m_is_full_mesh) {
    m_permanent_peers = std::move(all);
    return;
  }
  std::sort(ranked.rbegin(), ranked.rend());
  for (std::size_t i = 0; i < kPermanentLinks; ++i) m_permanent_peers.insert(ranked[i].second);
}

void Network::HandleMemberChange(const Member& member) {
  m_have_members_changed = true;
  const InstanceId& id = member.info.id;
  const LoggedEvent current{member.info.incarnation, EventFor(member)};
  const auto logged = m_logged_events.find(id);
  const bool is_known = logged != m_logged_events.end() && logged->second.event == current.event &&
                        logged->second.incarnation == current.incarnation;
  if (!is_known && id != m_link_context.self.id) {
    m_logged_events[id] = current;
    LogEvent(current.event,
             {{"member", id.Text()}, {"incarnation", ToSigned(current.incarnation.Value())}});
  }
  if (std::exchange(m_is_notification_posted, true)) return;
  m_loop.Post([this, weak = std::weak_ptr(m_alive)] {
    if (weak.expired()) return;
    m_is_notification_posted = false;
    NotifyListeners([](PeerListener& listener) { listener.OnMembersChanged(); });
  });
}

}  // namespace bluebellpass
