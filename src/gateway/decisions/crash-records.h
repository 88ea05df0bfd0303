#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "bluebellpass/gateway/model.h"
#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Runs without an event whose connections were lost when a backend server crashed, or may have.
struct CrashRecord {
  BackendStart backend;
  TimePoint at;  ///< of the first lost connection
  bool is_confirmed = false;
  TimePoint confirmed_at;
  std::set<AttemptId> requests;    ///< of those runs
  std::set<Fingerprint> suspects;  ///< their contents
  bool is_reported = true;         ///< by TakeChanges, with all its suspects
};

/// A content of which a run completed. It did not cause the crashes before that.
struct ClearedContent {
  Fingerprint content;
  TimePoint at;
};

/// Crash records, or changes to them, for other instances.
struct CrashUpdate {
  std::vector<CrashRecord> records;
  std::vector<ClearedContent> cleared;

  bool IsEmpty() const { return records.empty() && cleared.empty(); }
};

/// Record of the contents that were about to run when backend servers crashed. An engine crashes
/// when it begins a response, so each run without an event is a possible cause; contents of which a
/// later run completes are not. Instances merge their records, in any order and any number of
/// times. Performs no I/O and reads no clock.
class CrashRecords {
 public:
  /// Records that a run lost its connection before its first event.
  /// @param started when the run was granted. A run that was granted some time after a crash was
  /// sent to a server that had started again, so its loss belongs to another crash.
  void OnRunLost(const BackendStart& backend, const AttemptId& request, TimePoint started,
                 const std::vector<Fingerprint>& contents, TimePoint now);
  /// Records that a backend server accepts no connection. It has crashed if runs were lost shortly
  /// before.
  void OnBackendUnreachable(const BackendStart& backend, TimePoint now);
  /// Clears contents of which a run completed.
  void OnRunCompleted(const std::vector<Fingerprint>& contents, TimePoint now);

  /// @return number of crashes of which a content may be the cause. Those shortly after one that
  /// was counted are left out, since they may have a common cause.
  std::uint32_t CrashCount(Fingerprint content) const;
  /// Removes records that have expired or were not confirmed in time.
  void RemoveExpired(TimePoint now);
  /// @return confirmed crashes that are new or have new suspects, and contents that were cleared,
  /// since the last call
  CrashUpdate TakeChanges();
  /// @return all records, including unconfirmed ones
  CrashUpdate Snapshot() const;
  /// Adds the records of another instance.
  void Merge(const CrashUpdate& update, TimePoint now);

 private:
  struct Cleared {
    TimePoint at;
    bool is_reported = false;
  };

  struct CrashCounter {
    std::uint32_t count = 0;
    TimePoint last_counted_at;
  };

  /// @return the record of the crash that another instance has recorded, or a new one
  CrashRecord& FindOrAdd(const CrashRecord& other);
  CrashRecord& Add(const BackendStart& backend, TimePoint at);
  void Clear(Fingerprint content, TimePoint at);
  /// Removes cleared suspects and counts the crashes of the others.
  void Recount();

  std::vector<CrashRecord> m_records;  ///< in order of time
  std::map<Fingerprint, Cleared> m_cleared;
  /// Derived from the records: confirmed crashes of each suspect, 0 if there are none.
  std::unordered_map<Fingerprint, CrashCounter> m_crash_counts;
};

}  // namespace bluebellpass::gateway
