#pragma once

#include <functional>
#include <memory>
#include <string>

#include "bluebellpass/store.h"
#include "bluebellpass/timer.h"
#include "orders/order-document.h"

namespace bluebellpass {

/// Writes the desired state of a server by a conditional update. If the response is lost, it reads
/// the object back to find out whether the write took effect.
class DesiredWriter : public std::enable_shared_from_this<DesiredWriter> {
 public:
  /// Receives the version of the written object. Errors: kConflict (another order was written after
  /// the read; nothing was written), kStoreUnavailable (nothing was written), kStoreUncertain (the
  /// write may have taken effect or may do so later), kInternal (the format of the stored document
  /// is unknown).
  using Done = std::function<void(Result<ObjectVersion>)>;

  /// Starts a write. The writer keeps itself alive until the write ends.
  static void Start(ObjectStore& store, TimerService& timers, const BackendId& backend,
                    DesiredModel desired, Done done);

  DesiredWriter(ObjectStore& store, TimerService& timers, const BackendId& backend,
                DesiredModel desired, Done done);

 private:
  void Read();
  void OnRead(const Result<VersionedObject>& result);
  void Write(ObjectVersion expected);
  void OnWritten(const Result<ObjectVersion>& result);
  void RetryRead(const Error& error);

  ObjectStore& m_store;
  TimerService& m_timers;
  std::string m_key;
  DesiredModel m_desired;
  Done m_done;
  ObjectVersion m_expected;
  bool m_is_uncertain = false;  ///< the response to a write was lost
  int m_reads_left;
};

}  // namespace bluebellpass
