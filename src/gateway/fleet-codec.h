#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "bluebellpass/error.h"
#include "coordinator.h"
#include "store-client.h"

/// Messages between gateways and their encoding (fleet.fbs).

namespace bluebellpass::gateway {

/// What an instance is known to be.
struct FleetMember {
  InstanceId id;
  DataCentre data_centre;
  Address caller_address;
  Address peer_address;
  std::uint64_t registration_revision = 0;  ///< revision of the registration; 0 before it
  bool is_alive = false;                    ///< as the coordinator sees it
  bool is_leaving = false;
  bool is_detached = false;  ///< it has lost the store while others reach it
  bool is_gone = false;      ///< it has been away for long and is forgotten
};

/// Coordinators are chosen in this order.
inline auto OrderOf(const FleetMember& record) {
  return std::tuple(record.is_detached, record.registration_revision, record.id);
}

// Instance to coordinator.
struct SubmitMessage {
  RequestInfo work;
};
struct WithdrawMessage {
  AttemptId id;
};
struct FirstEventMessage {
  AttemptId id;
  Millis after{0};
};
struct ReleaseRunMessage {
  AttemptId id;
  RunReport report;
};
struct AvoidMessage {
  BackendId backend;
  Millis duration{0};
  bool is_unreachable = false;
};
/// All that an instance has, after a new link.
struct SyncWorkMessage {
  std::vector<RequestInfo> waiting;
  std::vector<RunningRequest> running;
};
// Coordinator to instance.
struct GrantWorkMessage {
  AttemptId id;
  BackendId backend;
};
struct RefuseWorkMessage {
  AttemptId id;
  RefusalReason reason = RefusalReason::kOverloaded;
  Millis retry_after{0};
};
// Either way: instances as known to the sender; newer registrations replace older ones.
struct ViewMessage {
  std::vector<FleetMember> records;
};

/// Instance to coordinator, as its heartbeat: asks for a proof of freshness.
struct ProbeMessage {
  std::int64_t sent_ns = 0;  ///< time since boot of the sender; comes back with the answer
  bool has_store = false;    ///< the sender itself has read the store lately
};
/// Coordinator to instance: the answer to a probe. All changes up to the revisions have been sent
/// over this link before, as far as they came after its beginning.
struct ConfirmMessage {
  std::int64_t probe_sent_ns = 0;
  std::uint64_t config_revision = 0;
  Millis config_age{0};  ///< since the configuration was proved to be current
  std::uint64_t backends_revision = 0;
  Millis backends_age{0};
};
/// Coordinator to instance: an object of the platform's store has changed.
struct ObjectMessage {
  ObjectKind kind = ObjectKind::kConfig;
  std::string name;
  std::uint64_t revision = 0;
  bool is_deleted = false;
  std::string spec;   ///< JSON; without it and a patch the receiver must read the store itself
  std::string patch;  ///< JSON Patch (RFC 6902) to the state of the base revision
  std::uint64_t base_revision = 0;
};

using FleetMessage =
    std::variant<SubmitMessage, WithdrawMessage, FirstEventMessage, ReleaseRunMessage, AvoidMessage,
                 SyncWorkMessage, GrantWorkMessage, RefuseWorkMessage, ViewMessage, ProbeMessage,
                 ConfirmMessage, ObjectMessage>;

/// @param now times are sent as spans before and after it
std::string EncodeFleet(const std::vector<FleetMessage>& messages, TimePoint now);

/// @param home the sender; it becomes the home of the work it sends
/// @return the messages, or kBadRequest for a payload that is malformed
Result<std::vector<FleetMessage>> DecodeFleet(std::string_view payload, const InstanceId& home,
                                              TimePoint now);

}  // namespace bluebellpass::gateway
