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

/// Keeps this instance's addresses in the object API as `instances/<id>` and finds the others
/// there. Only a help to find peers: the list lags and decides nothing.
class InstanceDirectory {
 public:
  /// @param on_found gets the peer address of each other instance, once for each version of its
  /// entry
  InstanceDirectory(ObjectStore& store, TimerService& timers, InstanceInfo self,
                    std::function<void(const Address&)> on_found);
  InstanceDirectory(const InstanceDirectory&) = delete;
  InstanceDirectory& operator=(const InstanceDirectory&) = delete;

  /// Writes the entry and reads the others; tries again while the store is unavailable.
  void Start();

  /// Removes the entry, if it is still this one's.
  void Leave();

 private:
  void Register();
  void Write(ObjectVersion expected);
  void RetryRegister();
  void ReadOthers();
  void ReadChanged(const std::vector<ObjectEntry>& entries);
  void ReadOne(const std::string& key);

  ObjectStore& m_store;
  InstanceInfo m_self;
  std::function<void(const Address&)> m_on_found;
  std::string m_key;
  ObjectVersion m_version;
  std::map<std::string, ObjectVersion> m_read;  ///< versions of the others' entries that were read
  bool m_is_leaving = false;
  Timer m_register_timer;
  Timer m_list_timer;
};

}  // namespace bluebellpass
