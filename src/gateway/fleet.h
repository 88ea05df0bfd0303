#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bluebellpass/timer.h"
#include "coordinator.h"
#include "decision-log.h"
#include "dispatcher.h"
#include "fleet-codec.h"
#include "peer/link.h"
#include "relay.h"

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
};

/// Links this instance with the fleet's coordinator and, while it is the coordinator, with all
/// others. The coordinator is the running instance that registered first, so that one that restarts
/// does not take the role back. Its state is soft: an instance that finds another coordinator
/// reports all that it has waiting and running. An instance that reaches no other decides for
/// itself, with its share of the backend servers.
class Fleet : public Dispatcher, private LinkHandler {
 public:
  struct Events {
    /// An instance has been away for long; its registration is to be removed.
    std::function<void(const InstanceId& id, std::uint64_t registration_revision)>
        on_member_removed;
    /// Another coordinator is followed, over a new link, or this instance itself.
    std::function<void(bool is_remote)> on_coordinator_changed;
  };

  Fleet(EventLoop& loop, FleetOptions options, Coordinator& coordinator, Events events);
  /// Sets what answers probes and takes in objects; before Start.
  void SetRelay(ObjectRelay* relay) { m_relay = relay; }
  ~Fleet() override;
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Opens the port for other instances and looks for the coordinator.
  /// @param keys shared secrets of the instances; the first signs, all are accepted
  Result<Ok> Start(std::vector<std::string> keys);
  /// This instance stands in the store under a revision.
  void SetRegistration(std::uint64_t revision);
  /// Learns of an instance from the store.
  void AddMember(FleetMember record);
  /// Tells the others that this instance stops; it hands the coordinator's role on.
  void Leave();

  /// @return the addresses of running instances, this one first unless it leaves
  std::vector<Address> CallerAddresses() const;
  /// @return the instance that decides for this one, or null while there is none
  const InstanceId* CoordinatorId() const { return m_following ? &*m_following : nullptr; }
  /// @return number of instances that are known, this one included
  std::size_t MemberCount() const { return m_records.size() + 1; }
  std::size_t FollowerCount() const { return m_homes.size(); }

  void Submit(RequestInfo work, DispatchListener* listener) override;
  void Withdraw(const AttemptId& id) override;
  void Release(const AttemptId& id, const RunReport& report) override;
  void NoteFirstEvent(const AttemptId& id, Millis after) override;
  void Avoid(const BackendId& id, Millis duration, bool is_unreachable) override;

  /// Tells the instances that follow this one of a change in the platform's store.
  void AnnounceObject(ObjectKind kind, const StoredObject& object);

  /// Decides again in the next turn of the loop, after the coordinator has learned something.
  void ScheduleDecision();

 private:
  /// A request of this instance that waits or runs.
  struct Entry {
    RequestInfo work;
    DispatchListener* listener = nullptr;  ///< null once the request was granted
    BackendId backend;
    bool is_reading = true;
  };
  struct Peer {
    std::shared_ptr<Link> link;
    TimePoint heard;
    std::vector<FleetMessage> outbox;
  };
  struct Dial {
    std::shared_ptr<Link> link;
    TimePoint began;
    TimePoint retry_at;
  };

  static void HandleAccept(st_h2o_socket_t* socket, const char* error);
  void OnLinkReady(Link& link) override;
  void OnLinkFrame(Link& link, Frame frame) override;
  void OnLinkClosed(Link& link) override;

  void Tick();
  void CheckSilence(TimePoint now);
  void Choose();
  void TryDial(const FleetMember& record, TimePoint now);
  void Follow(const InstanceId& id);
  void SyncWith(const InstanceId& id);
  bool IsCoordinator() const { return m_following == m_options.id; }
  void UpdateShare();
  void ForgetAbsent(TimePoint now);
  /// Gives the coordinator's role up while the store is lost only to this instance.
  void SetDetached(bool is_detached);
  std::vector<const FleetMember*> Candidates() const;
  FleetMember OwnRecord() const;
  void SetAlive(const InstanceId& id, bool is_alive);

  void OnHomeMessage(const InstanceId& home, FleetMessage message);
  void OnCoordinatorMessage(FleetMessage message);
  void Merge(const ViewMessage& view, bool is_from_coordinator);
  void SendToCoordinator(FleetMessage message);
  void SendToHome(const InstanceId& home, FleetMessage message);
  void Queue(Peer& peer, FleetMessage message);
  void Flush();
  void Broadcast(const FleetMember& record);

  void Decide();
  void GrantLocally(const AttemptId& id, const BackendId& backend);
  void RefuseLocally(const AttemptId& id, RefusalReason reason, Millis retry_after);

  EventLoop& m_loop;
  FleetOptions m_options;
  Coordinator& m_coordinator;
  DecisionLog m_decision_log;
  Events m_events;
  ObjectRelay* m_relay = nullptr;
  LinkContext m_link_context;
  st_h2o_socket_t* m_listener = nullptr;
  std::uint64_t m_registered = 0;
  bool m_is_leaving = false;
  bool m_is_detached = false;
  bool m_is_started = false;
  std::map<InstanceId, FleetMember> m_records;  ///< other instances
  std::map<InstanceId, TimePoint> m_absent_since;
  std::map<InstanceId, Dial> m_dials;
  std::map<Link*, std::shared_ptr<Link>> m_accepted;  ///< not ready yet
  std::optional<Peer> m_upstream;                     ///< link to the coordinator that is followed
  std::map<InstanceId, Peer> m_homes;                 ///< instances that follow this one
  std::optional<InstanceId> m_following;
  std::map<AttemptId, Entry> m_entries;
  Timer m_tick;
  Timer m_decide_timer;
  TimePoint m_last_tick;
  TimePoint m_next_probe;
  bool m_is_decision_posted = false;
  bool m_is_flush_posted = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass::gateway
