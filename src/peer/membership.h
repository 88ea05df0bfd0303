#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "bluebellpass/peer.h"

namespace bluebellpass {

/// Limit on the piggybacked updates in a frame, which makes its cost independent of the fleet size.
constexpr std::size_t kMaxGossip = 16;
/// Period of the probes of random members.
constexpr Millis kProbePeriod{1000};
/// A member that sends no heartbeat for this long after a probe is suspected.
constexpr Millis kProbeTimeout{2000};
/// A suspected member that does not refute the suspicion within this time is declared dead.
constexpr Millis kSuspicionTimeout{3000};
/// How long dead and left members are kept, so that delayed gossip does not revive them.
constexpr Millis kForgetAfter{600'000};

/// A piggybacked update about a member.
struct MemberUpdate {
  Member member;
  /// Increased only by the member itself, to refute a suspicion or announce a change.
  std::uint64_t sequence = 0;
};

/// Membership protocol based on SWIM. Does no I/O: the caller passes in the time and sends the
/// frames.
class Membership {
 public:
  /// @param on_change called after a member was added or its state or information has changed
  Membership(InstanceInfo self, TimePoint now, std::uint32_t seed,
             std::function<void(const Member&)> on_change);

  /// Suspects members with unanswered probes, declares suspected members dead and removes members
  /// that have been dead or left for long.
  /// @return the member to probe now, if any
  std::optional<InstanceId> Tick(TimePoint now);

  /// Adds or updates the peer of a link that has become ready.
  void RecordHello(const InstanceInfo& info, TimePoint now);
  /// Ends the pending probe of a member that has sent a heartbeat.
  void RecordHeartbeat(const InstanceId& from, std::uint64_t uptime_seconds);
  /// Merges received updates.
  void Merge(const std::vector<MemberUpdate>& updates, TimePoint now);

  /// Selects the updates to piggyback on a frame.
  /// @param is_full_gossip fill the frame up with other members, round robin
  /// @return at most kMaxGossip updates. A suspicion or death of the receiver comes first, so that
  /// the receiver can refute it; the most recent changes follow.
  std::vector<MemberUpdate> GossipFor(const InstanceId& to, bool is_full_gossip, TimePoint now);

  /// Sets the peer address of this instance, once the port is known.
  void SetPeerAddress(const Address& address) {
    m_entries.at(m_self).update.member.info.peer_address = address;
  }
  /// Announces that this instance is leaving.
  void Leave();
  /// Announces that this instance has left.
  void MarkLeft();
  /// Discards the pending probes; after a pause of this process a missing answer proves nothing.
  void CancelProbes() { m_pending_probes.clear(); }

  std::vector<Member> Members(TimePoint now) const;
  const InstanceInfo& Self() const { return m_entries.at(m_self).update.member.info; }
  /// @return the member, or nullptr when it is unknown
  const Member* Find(const InstanceId& id) const;
  /// @return when the member was added or last changed; nullopt when it is unknown
  std::optional<TimePoint> ChangedAt(const InstanceId& id) const;
  std::uint64_t Uptime(TimePoint now) const;

 private:
  struct Entry {
    MemberUpdate update;
    TimePoint changed_at;
    std::uint64_t change_number = 0;     ///< larger for a more recent change
    std::size_t transmissions_left = 0;  ///< how often the change is still sent with priority
  };

  void MergeOne(const MemberUpdate& update, TimePoint now);
  void Refute(const MemberUpdate& claim);
  void MarkChanged(Entry& entry);
  void SetState(Entry& entry, MemberState state, TimePoint now);
  void ExpireProbes(TimePoint now);
  void ExpireStates(TimePoint now);
  std::optional<InstanceId> NextProbe(TimePoint now);
  void AddRecentChanges(std::vector<MemberUpdate>& gossip, const InstanceId& to);
  void AddUnchanged(std::vector<MemberUpdate>& gossip);

  InstanceId m_self;
  TimePoint m_started;
  std::mt19937 m_random;
  std::function<void(const Member&)> m_on_change;
  std::map<InstanceId, Entry> m_entries;
  std::map<InstanceId, TimePoint> m_pending_probes;  ///< time of sending, until answered
  std::vector<InstanceId> m_probe_order;
  TimePoint m_next_probe;
  std::uint64_t m_change_count = 0;
  InstanceId m_unchanged_cursor;  ///< the last member added by AddUnchanged
};

}  // namespace bluebellpass
