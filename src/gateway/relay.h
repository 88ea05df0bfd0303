#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "boot-clock.h"
#include "fleet-codec.h"
#include "object-watch.h"

namespace bluebellpass::gateway {

/// Lets instances learn of the platform's objects from the coordinator instead of the store, so
/// that the calls to the store do not grow with the fleet. An instance reads the store by itself
/// until it has seen all that the coordinator had seen when the link was made, and again as soon as
/// the coordinator's proofs of freshness are missing or old.
class ObjectRelay {
 public:
  ObjectRelay(const BootClock& clock, ObjectWatch& config, ObjectWatch& backends);

  /// @param is_remote true when another instance is followed from now on, over a new link
  void OnCoordinatorChanged(bool is_remote);
  /// Checks the age of the proofs. To be called several times per second.
  void Update();

  // As the coordinator.
  /// @return the answer to a probe of an instance
  ConfirmMessage AnswerProbe(const ProbeMessage& probe) const;
  /// @param instances number of instances that will get the message
  /// @return what to tell the others of a change
  ObjectMessage Announce(ObjectKind kind, const StoredObject& object, std::size_t instances) const;
  /// Keeps a configuration, to which the next one is compared. To be called for each, after it was
  /// announced.
  void SetDiffBase(const StoredObject& config);

  // As an instance that follows.
  ProbeMessage MakeProbe() const;
  /// @return true when this instance itself has read the store lately
  bool HasStore() const;
  void OnConfirm(const ConfirmMessage& confirm);
  void OnObject(const ObjectMessage& message);

 private:
  /// One kind of objects.
  struct Channel {
    ObjectWatch* watch = nullptr;
    /// Revision that this instance must have seen before it relies on the coordinator; unknown
    /// before the first proof over a link.
    std::optional<Revision> start;
  };
  Channel* Find(ObjectKind kind);
  /// @return the object that the message stands for, or nullopt when it must be read from the store
  std::optional<StoredObject> Restore(const ObjectMessage& message) const;
  void ConfirmChannel(Channel& channel, Revision revision, BootTime at);
  static bool IsSynced(const Channel& channel);

  const BootClock& m_clock;
  Channel m_config;
  Channel m_backends;
  std::map<std::string, StoredObject> m_configs;  ///< the last state of each
  bool m_is_remote = false;
};

}  // namespace bluebellpass::gateway
