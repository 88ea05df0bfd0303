#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "bluebellpass/peer.h"

namespace bluebellpass {

/// Most gossip entries in one frame; keeps the cost of a frame independent of the fleet's size.
constexpr std::size_t kMaxGossip = 16;
/// Period of the pings to random members.
constexpr Millis kProbePeriod{1000};
/// A member that has not been heard of for this long after a ping is suspected.
constexpr Millis kProbeTimeout{2000};
/// A suspicion that is not refuted for this long makes a member dead.
constexpr Millis kSuspicionTimeout{3000};
/// How long dead and left members are remembered, so that late gossip does not revive them.
constexpr Millis kForgetAfter{600'000};

/// What gossip says about a member.
struct MemberUpdate {
  Member member;
  std::uint64_t sequence = 0;  ///< raised by the member itself only, to refute or to announce
};

/// Membership after SWIM. Pure logic: time is passed in, and frames are sent by the caller.
class Membership {
 public:
  /// @param on_change called after the set, the state or the information of a member has changed
  Membership(InstanceInfo self, TimePoint now, std::uint32_t seed,
             std::function<void(const Member&)> on_change);

  /// Advances the time: ends suspicions, forgets members and judges missed pings.
  /// @return the member to ping now, if any
  std::optional<InstanceId> Tick(TimePoint now);

  /// Takes note of a link's Hello.
  void Met(const InstanceInfo& info, TimePoint now);
  /// Takes note of a heartbeat received directly from a member.
  void Heard(const InstanceId& from, std::uint64_t uptime_seconds);
  /// Merges gossip.
  void Merge(const std::vector<MemberUpdate>& updates, TimePoint now);

  /// @param with_rest fill up with unchanged members in turn
  /// @return at most kMaxGossip entries. A suspicion of the receiver comes first, so that it can be
  /// refuted; then the newest changes.
  std::vector<MemberUpdate> GossipFor(const InstanceId& to, bool with_rest, TimePoint now);

  /// Sets the address of this instance, once its port is known.
  void SetPeerAddress(const Address& address) {
    m_entries.at(m_self).update.member.info.peer_address = address;
  }
  /// Announces that this instance leaves.
  void Leave();
  /// Announces that this instance has left.
  void SetLeft();
  /// Withdraws the pending pings, which say nothing after a pause of this process.
  void ForgetProbes() { m_probes.clear(); }

  std::vector<Member> Members(TimePoint now) const;
  const InstanceInfo& Self() const { return m_entries.at(m_self).update.member.info; }
  /// @return the member, or nullptr when it is unknown
  const Member* Find(const InstanceId& id) const;
  /// @return when the member was first heard of or has last changed; nullopt when it is unknown
  std::optional<TimePoint> ChangedAt(const InstanceId& id) const;
  std::uint64_t Uptime(TimePoint now) const;

 private:
  struct Entry {
    MemberUpdate update;
    TimePoint since;             ///< of the state
    std::uint64_t change = 0;    ///< number of the last change; larger is fresher
    std::size_t sends_left = 0;  ///< how often the change is still sent ahead of the rest
  };

  void MergeOne(const MemberUpdate& update, TimePoint now);
  void Refute(const MemberUpdate& accusation);
  void Changed(Entry& entry);
  void SetState(Entry& entry, MemberState state, TimePoint now);
  void JudgeProbes(TimePoint now);
  void EndStates(TimePoint now);
  std::optional<InstanceId> NextProbe(TimePoint now);
  void AddFresh(std::vector<MemberUpdate>& gossip, const InstanceId& to);
  void AddRest(std::vector<MemberUpdate>& gossip);

  InstanceId m_self;
  TimePoint m_started;
  std::mt19937 m_random;
  std::function<void(const Member&)> m_on_change;
  std::map<InstanceId, Entry> m_entries;
  std::map<InstanceId, TimePoint> m_probes;  ///< sent and not answered
  std::vector<InstanceId> m_probe_order;
  TimePoint m_next_probe;
  std::uint64_t m_changes = 0;
  InstanceId m_rest_cursor;
};

}  // namespace bluebellpass
