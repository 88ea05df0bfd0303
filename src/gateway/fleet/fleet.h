#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bluebellpass/timer.h"
#include "decision-log.h"
#include "dispatcher.h"
#include "fleet-codec.h"
#include "gateway/decisions/coordinator.h"
#include "gateway/decisions/decision-pace.h"
#include "peer-directory.h"
#include "peer/link.h"
#include "relay.h"
#include "state-transfer.h"

struct st_h2o_socket_t;

namespace bluebellpass {
class EventLoop;
}

namespace bluebellpass::gateway {

struct FleetOptions {
  InstanceId id;
  DataCentre data_centre;
  Region region;
  Incarnation incarnation;
  Address caller_address;
  Address peer_address;
  double processor_share = 0;       ///< cores that the process may use; 0 if unknown
  bool has_state_transfer = false;  ///< whether missing state is requested from the coordinator
};

/// Connects this instance to the fleet's coordinator, or to its followers while it is the
/// coordinator itself. The running instance with the oldest registration coordinates, so a
/// restarted instance does not take the role back. The coordinator's state is soft: each follower
/// reports its waiting and running requests to a new coordinator. An instance that cannot reach any
/// other one decides by itself, on its share of the backend servers.
class Fleet : public Dispatcher, public PeerDirectory, private LinkHandler {
 public:
  struct Events {
    /// A member was absent for too long; its registration must be removed from the store.
    std::function<void(const InstanceId& id, std::uint64_t registration_revision)>
        on_member_removed;
    /// The coordinator has changed. `is_remote` is true when another instance coordinates, over a
    /// new link, and false when this one does or there is no coordinator.
    std::function<void(bool is_remote)> on_coordinator_changed;
    /// Requests wait until the view of the backend servers is confirmed. Called after each decision
    /// that leaves some.
    std::function<void()> on_confirmation_needed;
  };

  Fleet(EventLoop& loop, FleetOptions options, Coordinator& coordinator, Events events);
  /// Sets the handler of probes and object changes. Must be called before Start.
  void SetRelay(ObjectRelay* relay) { m_relay = relay; }
  ~Fleet() override;
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Listens for other instances and starts to look for the coordinator. Before, requests wait. To
  /// be called once this instance is registered and all others have been added: an instance that
  /// knows no other one decides for the whole fleet.
  /// @param keys shared secrets of the instances; the first signs, all are accepted
  Result<Ok> Start(std::vector<std::string> keys);
  bool IsStarted() const { return m_is_started; }
  /// Replaces the keys of later links. Instances with the former ones are still accepted.
  void SetKeys(std::vector<std::string> keys);
  /// Sets the store revision of this instance's registration.
  void SetRegistration(std::uint64_t revision);
  /// Adds an instance that is registered in the store, or updates its registration. What it has
  /// told of itself under the same registration is kept.
  void AddMember(FleetMember member);
  /// Tells the other instances that this one stops, and yields the coordinator's role.
  void Leave();

  /// Sets whether this instance reaches no backend server. The others name it to no caller then.
  void SetLostBackends(bool has_lost_backends);
  std::optional<Address> ChoosePeer(const AttemptId& request,
                                    const std::set<Address>& excluded) const override;
  /// @param caller data centre of the caller; empty if unknown
  /// @return caller addresses of running instances
  std::vector<Address> CallerAddresses(const DataCentre& caller, std::size_t max_addresses) const;
  /// @return the coordinator, which may be this instance, or null while there is none
  const InstanceId* CoordinatorId() const {
    return m_coordinator_id ? &*m_coordinator_id : nullptr;
  }
  /// @return number of known instances, including this one
  std::size_t MemberCount() const { return m_members.size() + 1; }
  /// @return number of instances linked to this one as their coordinator
  std::size_t FollowerCount() const { return m_followers.size(); }
  /// @return true if this instance coordinates more than half of the known ones
  bool ConductsMajority() const { return IsCoordinator() && m_has_majority; }

  void Submit(RequestInfo request, DispatchListener* listener) override;
  void Withdraw(const AttemptId& id) override;
  void ReleaseRun(const AttemptId& id, const RunReport& report) override;
  void RecordFirstEvent(const AttemptId& id, const SoftwareVersion& version,
                        Millis time_to_first_event) override;
  void AvoidBackend(const BackendId& id, Millis duration, bool is_unreachable) override;
  void ReportRejections(const BackendId& id, const RejectionReport& report) override;

  /// Sends a changed object of the platform's store to the followers.
  void AnnounceObject(ObjectKind kind, const StoredObject& object);

  /// Schedules a decision for the next iteration of the event loop. Must be called after each
  /// change to the state of the coordinator.
  void ScheduleDecision();

 private:
  /// A waiting or running request of this instance.
  struct LocalRequest {
    RequestInfo info;
    DispatchListener* listener = nullptr;  ///< null after the grant
    BackendId backend;
    TimePoint granted_at;
    bool is_prefilling = true;  ///< no event of the response has arrived yet
  };
  struct Peer {
    std::shared_ptr<Link> link;
    TimePoint last_frame_at;
    FeatureSet features = 0;                   ///< 0 until the instance has stated them
    SyncRequestsMessage incomplete_sync = {};  ///< received parts of a message in several parts
  };
  /// Messages that are sent in the next iteration of the event loop.
  struct Outbox {
    std::shared_ptr<Link> link;
    std::vector<FleetMessage> messages;
  };
  struct Dial {
    std::shared_ptr<Link> link;
    TimePoint started_at;
    TimePoint retry_at;
  };

  static void HandleAccept(st_h2o_socket_t* socket, const char* error);
  void OnLinkReady(Link& link) override;
  void OnLinkFrame(Link& link, Frame frame) override;
  void OnLinkClosed(Link& link) override;

  void Tick();
  void CloseSilentLinks(TimePoint now);
  void ElectCoordinator();
  /// Elects in the next iteration of the event loop.
  void PostElection();
  void StartDial(const FleetMember& member, TimePoint now);
  /// Makes an instance, which may be this one, the coordinator that this instance uses.
  void SetCoordinator(const InstanceId& id);
  void ReportRequestsTo(const InstanceId& id);
  bool IsCoordinator() const { return m_coordinator_id == m_options.id; }
  void UpdateShare();
  void RemoveAbsentMembers(TimePoint now);
  /// Sets whether only this instance has lost the store; it yields the coordinator's role if so.
  void SetLostStore(bool has_lost_store);
  /// Tells the other instances what this one is.
  void AnnounceOwnMember();
  /// @return true if a member runs, as far as this instance knows
  bool IsRunning(const FleetMember& member) const;
  std::vector<const FleetMember*> Candidates() const;
  FleetMember OwnMember() const;
  void SetAlive(const InstanceId& id, bool is_alive);

  /// @return false if another instance holds a request, which was forwarded to it
  bool IsHomeOf(const InstanceId& instance, const AttemptId& id) const;
  void OnFollowerMessage(const InstanceId& follower, FleetMessage message);
  void OnCoordinatorMessage(FleetMessage message);
  void MergeMembers(const MembersMessage& message, bool is_from_coordinator);
  void SendToCoordinator(FleetMessage message);
  void SendToFollower(const InstanceId& follower, FleetMessage message);
  void Enqueue(const Peer& peer, FleetMessage message);
  void SendCrashes(const Peer& peer, const CrashUpdate& update);
  static bool KnowsStreams(const Peer& peer) { return (peer.features & kFeatureStreams) != 0; }
  void SendStreams(const Peer& peer, StreamRecords records);
  /// Chooses the followers that keep the records of streams for the next coordinators.
  void UpdateStreamKeepers();
  void SendVerdicts(const Peer& peer, const std::vector<RolloutVerdict>& verdicts);
  /// Records what a peer understands, and sends it what depends on that.
  void SetFeatures(Peer& peer, FeatureSet features);
  /// Sends the next pieces of state to followers, until all is sent.
  void SendStatePieces();
  void RequestMissingState();
  void OnSyncRequests(const InstanceId& follower, SyncRequestsMessage message);
  void FlushOutboxes();
  /// Sends a changed member to all followers, after a short time and with others.
  void BroadcastMember(const FleetMember& member);
  void SendChangedMembers();

  void Decide();
  void DeliverGrant(const AttemptId& id, const BackendId& backend,
                    const std::optional<SoftwareVersion>& version);
  void DeliverRefusal(const AttemptId& id, RefusalReason reason, Millis retry_after);

  EventLoop& m_loop;
  FleetOptions m_options;
  Coordinator& m_coordinator;
  DecisionLog m_decision_log;
  Events m_events;
  ObjectRelay* m_relay = nullptr;
  LinkContext m_link_context;
  st_h2o_socket_t* m_listener = nullptr;
  std::uint64_t m_registration_revision = 0;
  bool m_is_leaving = false;
  bool m_has_lost_store = false;
  bool m_has_lost_backends = false;
  bool m_has_majority = false;
  bool m_is_started = false;
  std::map<InstanceId, FleetMember> m_members;  ///< without this instance
  std::map<InstanceId, TimePoint> m_absent_since;
  std::map<InstanceId, FleetMember> m_changed_members;  ///< not sent to the followers yet
  std::map<InstanceId, Dial> m_dials;
  std::map<Link*, std::shared_ptr<Link>> m_pending_links;  ///< handshake in progress
  std::optional<Peer> m_coordinator_peer;  ///< absent while this instance coordinates
  std::map<InstanceId, Peer> m_followers;  ///< linked to this one as coordinator
  std::set<InstanceId> m_stream_keepers;   ///< followers that have all records of streams
  std::optional<InstanceId> m_coordinator_id;
  std::map<AttemptId, LocalRequest> m_requests;
  std::unordered_map<Link*, Outbox> m_outboxes;
  Timer m_tick;
  Timer m_members_timer;
  Timer m_decision_timer;
  Timer m_pace_timer;
  Timer m_transfer_timer;
  bool m_is_transferring = false;
  TransferSender m_transfers;
  DecisionPace m_decision_pace;
  TimePoint m_last_tick;
  TimePoint m_next_probe;
  bool m_is_decision_scheduled = false;
  bool m_is_flush_posted = false;
  /// False after destruction; callbacks check it before they use this object.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass::gateway
