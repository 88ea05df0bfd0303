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

/// Largest number of running members that form a full mesh of links.
constexpr std::size_t kMaxFullMesh = 16;
/// Number of permanent links that each instance opens in a larger fleet.
constexpr std::size_t kPermanentLinks = 8;
/// Idle timeout of requested links.
constexpr Millis kIdleTimeout{60'000};
constexpr Millis kHeartbeatPeriod{500};
/// How much longer the acceptor of a link waits for a ping from the initiator before it sends one
/// itself; two periods of the network's timer.
constexpr Millis kAcceptorPingDelay{200};

/// Network between instances over authenticated TCP links. Listeners may call Close but must not
/// destroy the network.
class Network : public PeerNetwork, private LinkHandler {
 public:
  /// @param self information announced to peers; Listen replaces a peer port of 0
  /// @param listen address to accept links at; port 0 selects a free port
  /// @param keys shared secrets. The first one signs, all are accepted; empty ones are ignored.
  /// @param seeds peer addresses of other instances, for discovery of the fleet
  Network(EventLoop& loop, InstanceInfo self, Address listen, std::vector<std::string> keys,
          std::vector<Address> seeds);
  ~Network() override;
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  /// Opens the listening socket and starts to dial peers.
  /// @return the bound address, kInvalidConfig without a key, or kInternal with the system error
  Result<Address> Listen();
  /// Adds a seed address at which other instances are looked for.
  void AddSeed(const Address& address);
  /// Closes the listening socket and all links without notifying listeners. After Leave, the peers
  /// are told first that this instance has left.
  void Close();

  const InstanceInfo& Self() const override { return m_membership.Self(); }
  bool Send(const InstanceId& to, const PeerMessage& message) override;
  std::vector<Member> Members() const override;
  bool IsLinked(const InstanceId& peer) const override;
  void SetStatus(const PeerStatus& status) override;
  void Leave() override;
  void AddListener(PeerListener* listener) override { m_listeners.push_back(listener); }

  /// @return frames and bytes of all links since the start
  const LinkTraffic& Traffic() const { return m_traffic; }
  /// @return number of authenticated links
  std::size_t LinkCount() const { return m_ready_links.size(); }

 private:
  struct ReadyLink {
    std::shared_ptr<Link> link;
    TimePoint ready_since;
    TimePoint next_ping;
  };
  struct Dial {
    std::weak_ptr<Link> link;
    TimePoint next_attempt;
    Millis backoff{0};
  };
  struct Seed {
    Address address;
    InstanceId instance;  ///< the instance last found at the address
  };
  struct LoggedEvent {
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
  void MaintainLinks(TimePoint now);
  void SendPing(ReadyLink& ready, bool is_full_gossip);
  void SendAck(ReadyLink& ready);
  bool HasChangedRecently(const InstanceId& id, TimePoint now) const;
  bool NeedsFullGossip(const ReadyLink& ready, TimePoint now) const;
  Heartbeat MakeHeartbeat(const InstanceId& to, bool is_full_gossip);
  void HandleHeartbeat(const InstanceId& from, const Heartbeat& heartbeat);
  bool IsPreferred(const Link& link, const Link& old) const;
  void AddReadyLink(Link& link);
  void Probe(const InstanceId& id);
  /// Requests that a link to a member is opened, or kept open, for at least this long.
  void RequestLink(const InstanceId& id, Millis duration);
  void DialMissingLinks(TimePoint now);
  void DialMember(const InstanceId& id, TimePoint now);
  void DialSeeds(TimePoint now);
  void StartDial(const Address& address, TimePoint now);
  void ScheduleRedial(const Link& link);
  void CloseIdleLinks(TimePoint now);
  void SelectPermanentPeers();
  void HandleMemberChange(const Member& member);
  template <class Function>
  void NotifyListeners(Function function);

  EventLoop& m_loop;
  Address m_listen_address;
  LinkTraffic m_traffic;
  LinkContext m_link_context;
  std::mt19937 m_random;
  Membership m_membership;
  std::vector<PeerListener*> m_listeners;
  st_h2o_socket_t* m_listen_socket = nullptr;
  std::map<Link*, std::shared_ptr<Link>> m_links;
  std::map<InstanceId, ReadyLink> m_ready_links;
  std::map<Address, Dial> m_dials;
  std::map<InstanceId, TimePoint> m_link_requests;  ///< time until which a link is kept
  std::vector<Seed> m_seeds;
  std::set<InstanceId> m_permanent_peers;  ///< members to which a link is kept open
  std::set<Address> m_running_addresses;   ///< peer addresses of alive and suspect members
  bool m_is_full_mesh = true;
  bool m_have_members_changed = true;  ///< since the last SelectPermanentPeers
  bool m_is_notification_posted = false;
  bool m_is_closed = false;
  std::map<InstanceId, LoggedEvent> m_logged_events;
  PeerStatus m_status;
  TimePoint m_status_set_at;
  TimePoint m_last_tick;
  Timer m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  ///< guards posted functions
};

}  // namespace bluebellpass
