#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "fleet-codec.h"
#include "gateway/state/boot-clock.h"
#include "gateway/state/object-watch.h"
#include "object-history.h"
#include "state-transfer.h"

namespace bluebellpass::gateway {

/// Relays changes of the platform's objects from the coordinator to its followers, so that the
/// number of store calls does not grow with the fleet. A follower reads the store itself until it
/// has caught up with the coordinator's state at the time of linking, and again when the
/// coordinator's confirmations are missing or too old. Meanwhile it asks the coordinator for the
/// changes that it lacks, since the store may not answer it.
class ObjectRelay {
 public:
  /// @param rollouts null if the deployment has no roll-outs
  ObjectRelay(const BootClock& clock, ObjectWatch& config, ObjectWatch& backends,
              ObjectWatch* rollouts = nullptr);

  /// Sets the time in which this instance must react to a change in the store.
  void SetReactionBound(Millis bound);
  /// Resets the state of the link.
  /// @param is_remote true when another instance coordinates, over a new link
  void OnCoordinatorChanged(bool is_remote);
  /// Suspends or resumes the watches by the age of the confirmations. Must be called several times
  /// per second.
  void UpdateSuspension();

  // Coordinator:
  /// @return true if the store states its era
  bool HasEras() const { return EraOf(m_config.watch->SeenRevision()) != StoreEra{}; }
  /// @return the answer to a follower's probe
  ConfirmMessage AnswerProbe(const ProbeMessage& probe) const;
  /// @param instances number of instances that the message is sent to
  /// @return the message that announces a changed object
  ObjectMessage MakeAnnouncement(ObjectKind kind, const StoredObject& object,
                                 std::size_t instances) const;
  /// @return the encoded state for a follower that lacks changes, or nullopt if this instance has
  /// no complete state now
  std::optional<std::string> MakeTransfer(const StateRequestMessage& request) const;

  /// Records a change of an object, on which patches and transfers are based. Must be called after
  /// the announcement of each change.
  void RecordObject(ObjectKind kind, const StoredObject& object);
  /// Records a change of a configuration.
  void SetDiffBase(const StoredObject& config) { RecordObject(ObjectKind::kConfig, config); }

  // Follower:
  ProbeMessage MakeProbe() const;
  /// @return true when this instance itself has read the store recently
  bool HasStoreContact() const;
  void OnConfirm(const ConfirmMessage& confirm);
  void OnObject(const ObjectMessage& message);
  /// Must be called several times per second.
  /// @return the requests to be sent to the coordinator now, if it knows transfers
  std::vector<StateRequestMessage> TakeRequests();
  void OnStatePiece(const StatePieceMessage& piece);

 private:
  /// The relay's state for one kind of objects.
  struct Channel {
    Channel(ObjectKind object_kind, ObjectWatch* object_watch)
        : kind(object_kind), watch(object_watch) {}

    ObjectKind kind;
    ObjectWatch* watch = nullptr;
    /// Revision that this instance must have read before it relies on the coordinator; absent
    /// before the first confirmation over a link.
    std::optional<Revision> required_revision;
    /// Latest revision that was announced over this link without its change.
    Revision missed_revision;
    ObjectHistory history;
    TransferReceiver receiver;
  };
  Channel* FindChannel(ObjectKind kind);
  const Channel* FindChannel(ObjectKind kind) const;
  std::vector<Channel*> Channels();
  /// @return the object in the message, or nullopt when it must be read from the store
  static std::optional<StoredObject> DecodeObject(const Channel& channel,
                                                  const ObjectMessage& message);
  /// Applies a complete transfer, unless it contains a patch to another version.
  void ApplyTransfer(Channel& channel, const TransferReceiver::Completed& transfer);
  void ConfirmChannel(Channel& channel, Revision revision, BootTime at);
  static bool IsCaughtUp(const Channel& channel);

  const BootClock& m_clock;
  Channel m_config;
  Channel m_backends;
  Channel m_rollouts;  ///< without a watch if the deployment has no roll-outs
  Millis m_max_confirmation_age{1'200};
  bool m_has_remote_coordinator = false;
};

}  // namespace bluebellpass::gateway
