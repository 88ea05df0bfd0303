#include <algorithm>

#include "kernel/loop.h"
#include "network.h"

/// The part of Network that decides which links to open and when.

namespace bluebellpass {
namespace {

constexpr Millis kMinBackoff{100};
constexpr Millis kMaxBackoff{2000};
// A link that has lasted this long ends the backoff.
constexpr Millis kStableTime{2000};
// An address at which this instance has found itself is not tried again soon.
constexpr Millis kOwnAddressDelay{60'000};

}  // namespace

void Network::Demand(const InstanceId& id, Millis duration) {
  TimePoint& end = m_demand[id];
  end = std::max(end, m_loop.Now() + duration);
}

void Network::DialWanted(TimePoint now) {
  std::erase_if(m_demand, [&](const auto& item) { return item.second <= now; });
  std::erase_if(m_dials, [&](const auto& item) {
    return item.second.link.expired() && item.second.next_attempt + kMaxBackoff < now;
  });
  for (const InstanceId& id : m_targets) DialMember(id, now);
  for (const auto& [id, end] : m_demand) DialMember(id, now);
  DialSeeds(now);
}

void Network::DialMember(const InstanceId& id, TimePoint now) {
  const Member* member = m_membership.Find(id);
  if (member == nullptr || m_ready.contains(id) || id == Self().id) return;
  StartDial(member->info.peer_address, now);
}

void Network::DialSeeds(TimePoint now) {
  for (const Seed& seed : m_seeds) {
    if (seed.address == m_listen || m_running.contains(seed.address)) continue;
    const Member* found = m_membership.Find(seed.found);
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
  NoteDialEnd(*link);
}

void Network::NoteDialEnd(const Link& link) {
  Dial& dial = m_dials[link.Dialled()];
  const TimePoint now = m_loop.Now();
  dial.link.reset();
  const bool was_stable = link.ReadySince() && now - *link.ReadySince() >= kStableTime;
  dial.backoff = was_stable ? kMinBackoff : std::clamp(dial.backoff * 2, kMinBackoff, kMaxBackoff);
  std::uniform_int_distribution<Millis::rep> jitter(dial.backoff.count() / 2, dial.backoff.count());
  dial.next_attempt = now + Millis(jitter(m_random));
  if (link.Peer().id == Self().id) dial.next_attempt = now + kOwnAddressDelay;
}

void Network::CloseIdle(TimePoint now) {
  if (m_is_full_mesh) return;
  std::vector<std::shared_ptr<Link>> idle;
  for (const auto& [id, ready] : m_ready) {
    const auto demand = m_demand.find(id);
    const bool is_wanted = demand != m_demand.end() && demand->second > now;
    const bool is_ours = ready.link->Side() == LinkSide::kInitiator;
    if (is_ours && !is_wanted && !m_targets.contains(id)) idle.push_back(ready.link);
  }
  for (const auto& link : idle) link->Close("idle");
}

}  // namespace bluebellpass
