#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bluebellpass/peer.h"
#include "bluebellpass/timer.h"
#include "link.h"
#include "membership.h"

namespace bluebellpass {

class EventLoop;

/// Up to this many running members, all are linked with each other.
constexpr std::size_t kMaxFullMesh = 16;
/// Permanent links that an instance opens in a larger fleet.
constexpr std::size_t kPermanentLinks = 8;
/// Links on demand are closed after this time without messages.
constexpr Millis kIdleTimeout{60'000};
constexpr Millis kHeartbeatPeriod{500};
/// How much longer the acceptor of a link waits for the initiator's ping before it pings itself;
/// two turns of the network's timer.
constexpr Millis kAcceptorDelay{200};

/// The network between instances over authenticated TCP links. Listeners may call Close but must
/// not destroy the network.
class Network : public PeerNetwork, private LinkHandler {
 public:
  /// @param self what this instance says about itself; a peer port of 0 is replaced by Listen
  /// @param listen where to accept links; port 0 takes a free port
  /// @param keys shared secrets; the first signs, all are accepted. Empty ones are ignored.
  /// @param seeds peer addresses of other instances, to find the fleet
  Network(EventLoop& loop, InstanceInfo self, Address listen, std::vector<std::string> keys,
          std::vector<Address> seeds);
  ~Network() override;
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  /// Opens the listening socket and starts connecting.
  /// @return the address in use, kInvalidConfig without a key, or kInternal with the system's
  /// reason
  Result<Address> Listen();
  /// Adds an address to look for other instances at.
  void AddSeed(const Address& address);
  /// Closes the listening socket and all links without calls to listeners. After Leave the others
  /// are told that this instance has left.
  void Close();

  const InstanceInfo& Self() const override { return m_membership.Self(); }
  bool Send(const InstanceId& to, const PeerMessage& message) override;
  std::vector<Member> Members() const override;
  bool IsLinked(const InstanceId& peer) const override;
  void SetStatus(const PeerStatus& status) override;
  void Leave() override;
  void AddListener(PeerListener* listener) override { m_listeners.push_back(listener); }

  /// @return frames and bytes on all links since the start
  const LinkTraffic& Traffic() const { return m_traffic; }
  /// @return number of authenticated links
  std::size_t LinkCount() const { return m_ready.size(); }

 private:
  struct ReadyLink {
    std::shared_ptr<Link> link;
    TimePoint since;
    TimePoint next_ping;
  };
  struct Dial {
    std::weak_ptr<Link> link;
    TimePoint next_attempt;
    Millis backoff{0};
  };
  struct Seed {
    Address address;
    InstanceId found;  ///< the instance last found there
  };
  struct Logged {
    Incarnation incarnation;
    EventId event;
  };

  static void OnAccept(st_h2o_socket_t* socket, const char* error);

  void OnLinkReady(Link& link) override;
  void OnLinkFrame(Link& link, Frame frame) override;
  void OnLinkClosed(Link& link) override;

  std::shared_ptr<Link> AddLink(LinkSide side);
  void AcceptLinks();
  void Tick();
  void CheckLinks(TimePoint now);
  void SendPing(ReadyLink& ready, bool with_rest);
  void SendAck(ReadyLink& ready);
  bool HasChangedLately(const InstanceId& id, TimePoint now) const;
  bool NeedsFullGossip(const ReadyLink& ready, TimePoint now) const;
  Heartbeat MakeHeartbeat(const InstanceId& to, bool with_rest);
  void HandleHeartbeat(const InstanceId& from, const Heartbeat& heartbeat);
  bool Replaces(const Link& link, const Link& old) const;
  void NoteReady(Link& link);
  void Probe(const InstanceId& id);
  void Demand(const InstanceId& id, Millis duration);
  void DialWanted(TimePoint now);
  void DialMember(const InstanceId& id, TimePoint now);
  void DialSeeds(TimePoint now);
  void StartDial(const Address& address, TimePoint now);
  void NoteDialEnd(const Link& link);
  void CloseIdle(TimePoint now);
  void UpdateTargets();
  void NoteChange(const Member& member);
  template <class Function>
  void Notify(Function function);

  EventLoop& m_loop;
  Address m_listen;
  LinkTraffic m_traffic;
  LinkContext m_context;
  std::mt19937 m_random;
  Membership m_membership;
  std::vector<PeerListener*> m_listeners;
  st_h2o_socket_t* m_socket = nullptr;
  std::map<Link*, std::shared_ptr<Link>> m_links;
  std::map<InstanceId, ReadyLink> m_ready;
  std::map<Address, Dial> m_dials;
  std::map<InstanceId, TimePoint> m_demand;  ///< end of the wish for a link
  std::vector<Seed> m_seeds;
  std::set<InstanceId> m_targets;  ///< members to keep a link to
  std::set<Address> m_running;     ///< peer addresses of alive and suspect members
  bool m_is_full_mesh = true;
  bool m_is_changed = true;  ///< the members have changed since UpdateTargets
  bool m_is_change_posted = false;
  bool m_is_closed = false;
  std::map<InstanceId, Logged> m_logged;
  PeerStatus m_status;
  TimePoint m_status_at;
  TimePoint m_last_tick;
  Timer m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  ///< guards posted functions
};

}  // namespace bluebellpass
