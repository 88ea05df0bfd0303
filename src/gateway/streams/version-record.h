#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "bluebellpass/gateway/store-client.h"
#include "bluebellpass/timer.h"
#include "gateway/state/store-task.h"
#include "service-versions.h"

namespace bluebellpass::gateway {

/// Name of the object of ObjectKind::kFleet with the versions of all services.
inline constexpr char kVersionRecordObject[] = "stream-versions";

/// Keeps the versions of all services in the store, so that instances know of versions that left
/// while all of them were down. Written by the coordinator only.
class VersionRecord {
 public:
  VersionRecord(TimerService& timers, StoreClient& store);
  ~VersionRecord() { *m_alive = false; }
  VersionRecord(const VersionRecord&) = delete;
  VersionRecord& operator=(const VersionRecord&) = delete;

  /// @return the versions in an object of the store; empty if it cannot be read
  static VersionsByService Decode(const nlohmann::json& spec);
  /// Writes the versions unless the store has them. Must be called several times per second.
  void Update(const VersionsByService& versions);
  /// Forgets what the store has, after another instance may have written it or it was lost.
  void Reset();

 private:
  void Write();

  StoreClient& m_store;
  StoreTask m_task;
  VersionsByService m_wanted;
  std::optional<VersionsByService> m_stored;
  bool m_is_writing = false;
  std::uint64_t m_reset_count = 0;  ///< results of writes before the last one are ignored
  /// False after destruction; callbacks check it before they use this object.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass::gateway
