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
// Bounds the memory that strangers can occupy.
constexpr std::size_t kMaxHandshakes = 128;
// After a gap between ticks of this length the silence of others says nothing.
constexpr Millis kPauseBound{1000};
// A new link carries full gossip for this long if its peer is new or has changed as recently, so
// that a new instance learns the fleet quickly. Links for pings between members that know each
// other carry it once.
constexpr Millis kFullGossipTime{10'000};
// How long a link for a ping outlives it.
constexpr Millis kProbeDemand{3000};
// The age reported before the first status, and the largest one.
constexpr Millis kUnknownAge{365LL * 24 * 3600 * 1000};

/// @return a file descriptor that listens, or an error
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

std::int64_t Signed(std::uint64_t value) { return static_cast<std::int64_t>(value); }

}  // namespace

Network::Network(EventLoop& loop, InstanceInfo self, Address listen, std::vector<std::string> keys,
                 std::vector<Address> seeds)
    : m_loop(loop),
      m_listen(std::move(listen)),
      m_context{self, std::move(keys), &m_traffic},
      m_random(std::random_device{}()),
      m_membership(std::move(self), loop.Now(), m_random(),
                   [this](const Member& member) { NoteChange(member); }),
      m_status_at(loop.Now()),
      m_last_tick(loop.Now()),
      m_timer(loop) {
  std::erase(m_context.keys, std::string());
  m_status.store_age = kUnknownAge;
  for (const Address& seed : seeds) AddSeed(seed);
}

Network::~Network() { Close(); }

void Network::AddSeed(const Address& address) {
  for (const Seed& seed : m_seeds)
    if (seed.address == address) return;
  m_seeds.push_back({address, {}});
}

Result<Address> Network::Listen() {
  if (m_context.keys.empty()) return Error{ErrorKind::kInvalidConfig, "no peer key", "peer_key"};
  auto opened = OpenListener(m_listen);
  if (!IsOk(opened)) return ErrorOf(opened);
  const int fd = std::get<int>(opened);
  m_listen.port = BoundPort(fd);
  if (m_context.self.peer_address.port == 0) {
    m_context.self.peer_address = m_listen;
    m_membership.SetPeerAddress(m_listen);
  }
  m_socket = h2o_evloop_socket_create(m_loop.Native(), fd, H2O_SOCKET_FLAG_DONT_READ);
  m_socket->data = this;
  h2o_socket_read_start(m_socket, &Network::OnAccept);
  m_timer.StartPeriodic(kTickPeriod, [this] { Tick(); });
  // The first links are not kept waiting for the timer.
  m_loop.Post([this, weak = std::weak_ptr(m_alive)] {
    if (!weak.expired()) Tick();
  });
  return m_listen;
}

void Network::OnAccept(h2o_socket_t* socket, const char* error) {
  if (error == nullptr) static_cast<Network*>(socket->data)->AcceptLinks();
}

std::shared_ptr<Link> Network::AddLink(LinkSide side) {
  LinkHandler& handler = *this;
  auto link = std::make_shared<Link>(m_loop, m_context, handler, side);
  m_links.emplace(link.get(), link);
  return link;
}

void Network::AcceptLinks() {
  while (h2o_socket_t* socket = h2o_evloop_socket_accept(m_socket)) {
    if (m_links.size() >= m_ready.size() + kMaxHandshakes) {
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
  if (m_socket != nullptr) h2o_socket_close(std::exchange(m_socket, nullptr));
  if (Self().is_leaving) {
    m_membership.SetLeft();
    for (auto& [id, ready] : m_ready) SendPing(ready, false);
  }
  const auto links = m_links;
  for (const auto& [key, link] : links) link->Close("stopped");
}

template <class Function>
void Network::Notify(Function function) {
  // By index: a listener may add another one.
  for (std::size_t i = 0; i < m_listeners.size(); ++i) function(*m_listeners[i]);
}

bool Network::Send(const InstanceId& to, const PeerMessage& message) {
  if (m_is_closed) return false;
  if (to == Self().id) {
    m_loop.Post([this, weak = std::weak_ptr(m_alive), message] {
      if (weak.expired()) return;
      Notify([&](PeerListener& listener) { listener.OnPeerMessage(Self().id, message); });
    });
    return true;
  }
  Demand(to, kIdleTimeout);
  const auto found = m_ready.find(to);
  if (found != m_ready.end()) return found->second.link->Send(message);
  DialMember(to, m_loop.Now());
  return false;
}

std::vector<Member> Network::Members() const { return m_membership.Members(m_loop.Now()); }

bool Network::IsLinked(const InstanceId& peer) const {
  return peer == Self().id || m_ready.contains(peer);
}

void Network::SetStatus(const PeerStatus& status) {
  m_status = status;
  m_status_at = m_loop.Now();
}

void Network::Leave() {
  if (m_is_closed || Self().is_leaving) return;
  m_membership.Leave();
  m_context.self.is_leaving = true;
  for (auto& [id, ready] : m_ready) SendPing(ready, false);
}

void Network::Tick() {
  const TimePoint now = m_loop.Now();
  if (now - m_last_tick > kPauseBound) {
    m_membership.ForgetProbes();
    for (auto& [key, link] : m_links) link->ExcuseSilence(now);
  }
  m_last_tick = now;
  const auto probe = m_membership.Tick(now);
  if (probe) Probe(*probe);
  CheckLinks(now);
  if (m_is_closed) return;
  if (m_is_changed) UpdateTargets();
  DialWanted(now);
  CloseIdle(now);
}

void Network::CheckLinks(TimePoint now) {
  std::vector<std::shared_ptr<Link>> links;
  for (const auto& [id, ready] : m_ready) links.push_back(ready.link);
  for (const auto& link : links) {
    const Member* member = m_membership.Find(link->Peer().id);
    if (member != nullptr && member->info.incarnation > link->Peer().incarnation)
      link->Close("newer incarnation");
    link->CheckSilence(now);
  }
  for (auto& [id, ready] : m_ready)
    if (now >= ready.next_ping) SendPing(ready, NeedsFullGossip(ready, now));
}

bool Network::HasChangedLately(const InstanceId& id, TimePoint now) const {
  const auto changed = m_membership.ChangedAt(id);
  return changed && now - *changed < kFullGossipTime;
}

bool Network::NeedsFullGossip(const ReadyLink& ready, TimePoint now) const {
  return now - ready.since < kFullGossipTime && HasChangedLately(ready.link->Peer().id, now);
}

Heartbeat Network::MakeHeartbeat(const InstanceId& to, bool with_rest) {
  const TimePoint now = m_loop.Now();
  Heartbeat heartbeat{m_membership.Uptime(now), m_status,
                      m_membership.GossipFor(to, with_rest, now)};
  // The read has grown older since the status was set.
  const auto since = std::chrono::ceil<Millis>(now - m_status_at);
  heartbeat.status.store_age =
      std::min(std::min(m_status.store_age, kUnknownAge) + since, kUnknownAge);
  return heartbeat;
}

void Network::SendPing(ReadyLink& ready, bool with_rest) {
  ready.next_ping = m_loop.Now() + kHeartbeatPeriod;
  ready.link->Send(PingFrame{MakeHeartbeat(ready.link->Peer().id, with_rest)});
}

void Network::SendAck(ReadyLink& ready) {
  const TimePoint now = m_loop.Now();
  // An Ack says what the next ping would say, so that ping is put off. The acceptor waits longer,
  // so that only the initiator pings while both run.
  const bool is_acceptor = ready.link->Side() == LinkSide::kAcceptor;
  ready.next_ping = now + kHeartbeatPeriod + (is_acceptor ? kAcceptorDelay : Millis{0});
  ready.link->Send(AckFrame{MakeHeartbeat(ready.link->Peer().id, NeedsFullGossip(ready, now))});
}

void Network::Probe(const InstanceId& id) {
  const auto found = m_ready.find(id);
  if (found != m_ready.end()) {
    SendPing(found->second, true);
  } else if (!m_is_full_mesh) {
    Demand(id, kProbeDemand);
  }
}

bool Network::Replaces(const Link& link, const Link& old) const {
  if (link.Peer().incarnation != old.Peer().incarnation)
    return link.Peer().incarnation > old.Peer().incarnation;
  // Both ends prefer the link that the smaller id has opened, and among equals the newer one, which
  // is opened when the old one has gone silent.
  const LinkSide preferred =
      Self().id < link.Peer().id ? LinkSide::kInitiator : LinkSide::kAcceptor;
  return link.Side() == preferred || old.Side() != preferred;
}

void Network::OnLinkReady(Link& link) {
  const InstanceId id = link.Peer().id;
  const Member* known = m_membership.Find(id);
  if (known != nullptr && known->info.incarnation > link.Peer().incarnation)
    return link.Close("older incarnation");
  const auto found = m_ready.find(id);
  if (found != m_ready.end()) {
    const auto old = found->second.link;
    if (!Replaces(link, *old)) return link.Close("duplicate");
    old->Close("replaced");
  }
  if (!link.IsClosed() && !m_is_closed) NoteReady(link);
}

void Network::NoteReady(Link& link) {
  const TimePoint now = m_loop.Now();
  const InstanceInfo peer = link.Peer();
  auto& ready = m_ready[peer.id];
  ready = {link.shared_from_this(), now, now};
  m_membership.Met(peer, now);
  const bool is_new = HasChangedLately(peer.id, now);
  const bool is_initiator = link.Side() == LinkSide::kInitiator;
  // A link without messages is kept no longer than its ping needs. Keeping it for the idle time
  // would link an instance with 60 members, since it pings another one each second.
  if (is_initiator) Demand(peer.id, is_new ? kFullGossipTime : kProbeDemand);
  for (Seed& seed : m_seeds)
    if (seed.address == link.Dialled()) seed.found = peer.id;
  LogEvent(EventId::kLinkUp, {{"peer", peer.id.Text()},
                              {"incarnation", Signed(peer.incarnation.Value())},
                              {"address", peer.peer_address.Text()}});
  SendPing(ready, is_new || is_initiator);
  Notify([&](PeerListener& listener) { listener.OnLinkUp(peer.id, peer.incarnation); });
}

void Network::OnLinkFrame(Link& link, Frame frame) {
  const InstanceId from = link.Peer().id;
  const auto found = m_ready.find(from);
  if (found == m_ready.end() || found->second.link.get() != &link) return;
  if (const auto* message = std::get_if<PeerMessage>(&frame.body)) {
    if (link.Side() == LinkSide::kInitiator) Demand(from, kIdleTimeout);
    Notify([&](PeerListener& listener) { listener.OnPeerMessage(from, *message); });
  } else if (const auto* ping = std::get_if<PingFrame>(&frame.body)) {
    HandleHeartbeat(from, ping->heartbeat);
    // A listener may have closed the link.
    const auto ready = m_ready.find(from);
    if (ready != m_ready.end() && ready->second.link.get() == &link) SendAck(ready->second);
  } else if (const auto* ack = std::get_if<AckFrame>(&frame.body)) {
    HandleHeartbeat(from, ack->heartbeat);
  }
}

void Network::HandleHeartbeat(const InstanceId& from, const Heartbeat& heartbeat) {
  m_membership.Heard(from, heartbeat.uptime_seconds);
  m_membership.Merge(heartbeat.gossip, m_loop.Now());
  Notify([&](PeerListener& listener) { listener.OnPeerStatus(from, heartbeat.status); });
}

void Network::OnLinkClosed(Link& link) {
  const auto kept = link.shared_from_this();
  m_links.erase(&link);
  if (link.Side() == LinkSide::kInitiator) NoteDialEnd(link);
  const InstanceId id = link.Peer().id;
  const auto found = m_ready.find(id);
  if (found == m_ready.end() || found->second.link.get() != &link) return;
  m_ready.erase(found);
  LogEvent(EventId::kLinkDown, {{"peer", id.Text()}, {"reason", link.CloseReason()}});
  Notify([&](PeerListener& listener) { listener.OnLinkDown(id); });
}

void Network::UpdateTargets() {
  m_is_changed = false;
  std::erase_if(m_logged,
                [&](const auto& item) { return m_membership.Find(item.first) == nullptr; });
  m_targets.clear();
  m_running.clear();
  std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
  std::set<InstanceId> all;
  for (const Member& member : Members()) {
    const InstanceId& id = member.info.id;
    if (id == Self().id || member.state == MemberState::kLeft) continue;
    // Dead members are still tried in a small fleet, which heals it after a partition.
    if (Self().id < id) all.insert(id);
    if (member.state == MemberState::kDead) continue;
    m_running.insert(member.info.peer_address);
    const std::uint64_t hash = StableHash(Self().id.Text() + "\n" + id.Text());
    // FNV-1a changes little with the last characters; the multiplication spreads them.
    ranked.emplace_back((hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL, id);
  }
  m_is_full_mesh = ranked.size() + 1 <= kMaxFullMesh;
  if (m_is_full_mesh) {
    m_targets = std::move(all);
    return;
  }
  std::sort(ranked.rbegin(), ranked.rend());
  for (std::size_t i = 0; i < kPermanentLinks; ++i) m_targets.insert(ranked[i].second);
}

void Network::NoteChange(const Member& member) {
  m_is_changed = true;
  const InstanceId& id = member.info.id;
  const Logged now{member.info.incarnation, EventFor(member)};
  const auto logged = m_logged.find(id);
  const bool is_known = logged != m_logged.end() && logged->second.event == now.event &&
                        logged->second.incarnation == now.incarnation;
  if (!is_known && id != m_context.self.id) {
    m_logged[id] = now;
    LogEvent(now.event, {{"member", id.Text()}, {"incarnation", Signed(now.incarnation.Value())}});
  }
  if (std::exchange(m_is_change_posted, true)) return;
  m_loop.Post([this, weak = std::weak_ptr(m_alive)] {
    if (weak.expired()) return;
    m_is_change_posted = false;
    Notify([](PeerListener& listener) { listener.OnMembersChanged(); });
  });
}

}  // namespace bluebellpass
