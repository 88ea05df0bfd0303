#include <algorithm>

#include "kernel/loop.h"
#include "network.h"

/// The part of Network that dials peers and closes idle links.

namespace bluebellpass {
namespace {

constexpr Millis kMinBackoff{100};
constexpr Millis kMaxBackoff{2000};
// A link that was ready for this long resets the backoff.
constexpr Millis kStableTime{2000};
// Delay before a redial of an address that turned out to be this instance's own.
constexpr Millis kOwnAddressDelay{60'000};

}  // namespace

void Network::RequestLink(const InstanceId& id, Millis duration) {
  TimePoint& end = m_link_requests[id];
  end = std::max(end, m_loop.Now() + duration);
}

void Network::DialMissingLinks(TimePoint now) {
  std::erase_if(m_link_requests, [&](const auto& item) { return item.second <= now; });
  std::erase_if(m_dials, [&](const auto& item) {
    return item.second.link.expired() && item.second.next_attempt + kMaxBackoff < now;
  });
  for (const InstanceId& id : m_permanent_peers) DialMember(id, now);
  for (const auto& [id, end] : m_link_requests) DialMember(id, now);
  DialSeeds(now);
}

void Network::DialMember(const InstanceId& id, TimePoint now) {
  const Member* member = m_membership.Find(id);
  if (member == nullptr || m_ready_links.contains(id) || id == Self().id) return;
  StartDial(member->info.peer_address, now);
}

void Network::DialSeeds(TimePoint now) {
  for (const Seed& seed : m_seeds) {
    if (seed.address == m_listen_address || m_running_addresses.contains(seed.address)) continue;
    const Member* found = m_membership.Find(seed.instance);
    const bool is_running = found != nullptr && (found->state == MemberState::kAlive ||
                                                 found->state == MemberState::kSuspect);
    if (!is_running) StartDial(seed.address, now);
  }
}

void Network::StartDial(const Address& address, TimePoint now) {
  Dial& dial = m_dials[address];
  if (!dial.link.expired() || now < dial.next_attempt) return;
  const auto link = AddLink(LinkSide::kInitiator);
  dial.link = link;
  if (link->Connect(address)) return;
  m_links.erase(link.get());
  ScheduleRedial(*link);
}

void Network::ScheduleRedial(const Link& link) {
  Dial& dial = m_dials[link.DialledAddress()];
  const TimePoint now = m_loop.Now();
  dial.link.reset();
  const bool was_stable = link.ReadySince() && now - *link.ReadySince() >= kStableTime;
  dial.backoff = was_stable ? kMinBackoff : std::clamp(dial.backoff * 2, kMinBackoff, kMaxBackoff);
  std::uniform_int_distribution<Millis::rep> jitter(dial.backoff.count() / 2, dial.backoff.count());
  dial.next_attempt = now + Millis(jitter(m_random));
  if (link.Peer().id == Self().id) dial.next_attempt = now + kOwnAddressDelay;
}

void Network::CloseIdleLinks(TimePoint now) {
  if (m_is_full_mesh) return;
  std::vector<std::shared_ptr<Link>> idle;
  for (const auto& [id, ready] : m_ready_links) {
    const auto request = m_link_requests.find(id);
    const bool is_requested = request != m_link_requests.end() && request->second > now;
    const bool is_initiator = ready.link->Side() == LinkSide::kInitiator;
    if (is_initiator && !is_requested && !m_permanent_peers.contains(id))
      idle.push_back(ready.link);
  }
  for (const auto& link : idle) link->Close("idle");
}

}  // namespace bluebellpass
