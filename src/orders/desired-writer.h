#pragma once

#include <functional>
#include <memory>
#include <string>

#include "bluebellpass/store.h"
#include "bluebellpass/timer.h"
#include "orders/order-document.h"

namespace bluebellpass {

/// Writes the desired state of a server by one conditional update, and finds out by reading back
/// whether a write took effect whose answer was lost.
class DesiredWriter : public std::enable_shared_from_this<DesiredWriter> {
 public:
  /// Gets the version of the object written. Errors: kConflict (another order was written since the
  /// read; nothing was written), kStoreUnavailable (nothing was written), kStoreUncertain (the
  /// write may have taken or may yet take effect), kInternal (the stored document is of an unknown
  /// form).
  using Done = std::function<void(Result<ObjectVersion>)>;

  /// Starts a write, which keeps itself alive until it ends.
  static void Start(ObjectStore& store, TimerService& timers, const BackendId& backend,
                    DesiredModel desired, Done done);

  DesiredWriter(ObjectStore& store, TimerService& timers, const BackendId& backend,
                DesiredModel desired, Done done);

 private:
  void Read();
  void OnRead(const Result<VersionedObject>& result);
  void Write(ObjectVersion expected);
  void OnWritten(const Result<ObjectVersion>& result);
  void ReadAgain(const Error& error);

  ObjectStore& m_store;
  TimerService& m_timers;
  std::string m_key;
  DesiredModel m_desired;
  Done m_done;
  ObjectVersion m_expected;
  bool m_is_uncertain = false;  ///< a write was sent whose answer was lost
  int m_reads_left;
};

}  // namespace bluebellpass
