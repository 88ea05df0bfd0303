#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet-codec.h"
#include "gateway/state/boot-clock.h"
#include "gateway/state/object-watch.h"

namespace bluebellpass::gateway {

/// Relays changes of the platform's objects from the coordinator to its followers, so that the
/// number of store calls does not grow with the fleet. A follower reads the store itself until it
/// has caught up with the coordinator's state at the time of linking, and again when the
/// coordinator's confirmations are missing or too old.
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
  /// @return the answer to a follower's probe
  ConfirmMessage AnswerProbe(const ProbeMessage& probe) const;
  /// @param instances number of instances that the message is sent to
  /// @return the message that announces a changed object
  ObjectMessage MakeAnnouncement(ObjectKind kind, const StoredObject& object,
                                 std::size_t instances) const;
  /// Sets the configuration that patches to the next one are based on. Must be called after the
  /// announcement of each configuration.
  void SetDiffBase(const StoredObject& config);

  // Follower:
  ProbeMessage MakeProbe() const;
  /// @return true when this instance itself has read the store recently
  bool HasStoreContact() const;
  void OnConfirm(const ConfirmMessage& confirm);
  void OnObject(const ObjectMessage& message);

 private:
  /// The relay's state for one kind of objects.
  struct Channel {
    ObjectWatch* watch = nullptr;
    /// Revision that this instance must have read before it relies on the coordinator; absent
    /// before the first confirmation over a link.
    std::optional<Revision> required_revision;
  };
  Channel* FindChannel(ObjectKind kind);
  std::vector<Channel*> Channels();
  /// @return the object in the message, or nullopt when it must be read from the store
  std::optional<StoredObject> DecodeObject(const ObjectMessage& message) const;
  void ConfirmChannel(Channel& channel, Revision revision, BootTime at);
  static bool IsCaughtUp(const Channel& channel);

  const BootClock& m_clock;
  Channel m_config;
  Channel m_backends;
  Channel m_rollouts;  ///< without a watch if the deployment has no roll-outs
  std::map<std::string, StoredObject> m_diff_bases;  ///< latest configurations by name
  Millis m_max_confirmation_age{1'200};
  bool m_has_remote_coordinator = false;
};

}  // namespace bluebellpass::gateway
