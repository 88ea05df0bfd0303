#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bluebellpass/peer.h"
#include "bluebellpass/store.h"
#include "bluebellpass/timer.h"

namespace bluebellpass {

/// Registers this instance's addresses in the object API as `instances/<id>` and discovers other
/// instances there. The entries may be out of date, so they are used only to find peers.
class InstanceDirectory {
 public:
  /// @param on_peer_address called with the peer address of each other instance, once per version
  /// of its entry
  InstanceDirectory(ObjectStore& store, TimerService& timers, InstanceInfo self,
                    std::function<void(const Address&)> on_peer_address);
  InstanceDirectory(const InstanceDirectory&) = delete;
  InstanceDirectory& operator=(const InstanceDirectory&) = delete;

  /// Writes this instance's entry and reads the others. Retries while the store is unavailable.
  void Start();

  /// Deletes this instance's entry, unless another process has overwritten it.
  void Unregister();

 private:
  void Register();
  void WriteEntry(ObjectVersion expected);
  void ScheduleRegister();
  void ListEntries();
  void ReadChangedEntries(const std::vector<ObjectEntry>& entries);
  void ReadEntry(const std::string& key);

  ObjectStore& m_store;
  InstanceInfo m_self;
  std::function<void(const Address&)> m_on_peer_address;
  std::string m_key;
  ObjectVersion m_entry_version;
  /// The version last read of each other instance's entry.
  std::map<std::string, ObjectVersion> m_read_versions;
  bool m_is_leaving = false;
  Timer m_register_timer;
  Timer m_list_timer;
};

}  // namespace bluebellpass
