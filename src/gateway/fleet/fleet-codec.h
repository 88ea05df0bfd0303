#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/gateway/store-client.h"
#include "gateway/decisions/coordinator.h"
#include "gateway/rollout/rollout-controller.h"

/// Messages between gateway instances and their encoding (fleet.fbs).

namespace bluebellpass::gateway {

/// A member of the fleet as known to another instance.
struct FleetMember {
  InstanceId id;
  DataCentre data_centre;
  Address caller_address;
  Address peer_address;
  std::uint64_t registration_revision = 0;  ///< store revision; 0 before it is registered
  bool is_alive = false;                    ///< as seen by the coordinator
  bool is_leaving = false;
  bool has_lost_store = false;     ///< cannot reach the store while others can
  bool has_lost_backends = false;  ///< reaches no backend server
  bool is_removed = false;         ///< was absent for too long
  double processor_share = 0;      ///< cores that the instance may use; 0 if unknown
};

/// Instances whose processor shares differ by less than a factor of two may be of the same class.
/// @return the class of an instance's processor share; a larger one is better
int ProcessorClass(double processor_share);

/// @return the sort key of the election; the smallest one coordinates. Larger instances come first,
/// since the coordinator's work grows with the fleet. The era of a registration does not count,
/// since the instances learn of a later one at different times.
inline auto ElectionKey(const FleetMember& member) {
  return std::tuple(member.has_lost_store, -ProcessorClass(member.processor_share),
                    NumberOf(Revision(member.registration_revision)), member.id);
}

// Instance to coordinator.
struct SubmitMessage {
  RequestInfo request;
};
struct WithdrawMessage {
  AttemptId id;
};
struct FirstEventMessage {
  AttemptId id;
  std::optional<SoftwareVersion> version;  ///< of the backend server; nullopt from older builds
  Millis time_to_first_event{0};           ///< from dispatch
};
struct ReleaseRunMessage {
  AttemptId id;
  RunReport report;
};
struct AvoidBackendMessage {
  BackendId backend;
  Millis duration{0};
  bool is_unreachable = false;
  std::optional<RejectionReport> rejections;  ///< nullopt if this message says nothing of them
};
/// All waiting and running requests of an instance, and what it was granted in the last quota
/// window, sent over a new link.
struct SyncRequestsMessage {
  std::vector<RequestInfo> waiting;
  std::vector<RunningRequest> running;
  QuotaReport quota_report;  ///< empty from builds that do not report
  bool has_more = false;     ///< the next message of this type continues this one
};
// Coordinator to instance.
struct GrantedMessage {
  AttemptId id;
  BackendId backend;
  std::optional<SoftwareVersion> version;  ///< the only one that may continue the stream
};
struct RefusedMessage {
  AttemptId id;
  RefusalReason reason = RefusalReason::kOverloaded;
  Millis retry_after{0};
};
// Either direction: all crash records over a new link, then changes from the coordinator.
struct CrashesMessage {
  CrashUpdate update;
};
// Either direction: members as known to the sender; newer registrations replace older ones.
struct MembersMessage {
  std::vector<FleetMember> members;
};

/// Verdicts about roll-outs, either direction: all that are not in the store yet over a new link,
/// then new ones from the coordinator. Only for instances with kFeatureRollouts.
struct RolloutVerdictsMessage {
  std::vector<RolloutVerdict> verdicts;
};

/// Where streams began, either direction: all that a former coordinator knows to the next one, and
/// a coordinator to an instance that is to keep them, then new ones. Only for instances with
/// kFeatureStreams.
struct StreamsMessage {
  StreamRecords records;
};

/// Messages that a build understands beyond those of the first one, which closes a link on a
/// message that it does not know. Builds state them in probes and answers, and get no others.
using FeatureSet = std::uint32_t;
inline constexpr FeatureSet kFeatureRollouts = 1U << 0U;
inline constexpr FeatureSet kFeatureStateTransfer = 1U << 1U;
/// Not a message: revisions with eras.
inline constexpr FeatureSet kFeatureStoreEras = 1U << 2U;
inline constexpr FeatureSet kFeatureStreams = 1U << 3U;
inline constexpr FeatureSet kOwnFeatures =
    kFeatureRollouts | kFeatureStateTransfer | kFeatureStoreEras | kFeatureStreams;

/// Instance to coordinator, as a heartbeat: asks how current the coordinator's objects are.
struct ProbeMessage {
  std::int64_t sent_ns = 0;        ///< sender's time since boot; echoed in the answer
  bool has_store_contact = false;  ///< the sender itself has read the store recently
  FeatureSet features = 0;
};
/// Coordinator to instance: the answer to a probe. Each change since the link was established, up
/// to the revisions below, has already been sent over the link.
struct ConfirmMessage {
  std::int64_t probe_sent_ns = 0;
  std::uint64_t config_revision = 0;
  Millis config_age{0};  ///< since the configuration was confirmed as current
  std::uint64_t backends_revision = 0;
  Millis backends_age{0};
  FeatureSet features = 0;
  std::uint64_t rollouts_revision = 0;
  Millis rollouts_age{0};
};
/// Coordinator to instance: an object of the platform's store has changed.
struct ObjectMessage {
  ObjectKind kind = ObjectKind::kConfig;
  std::string name;
  std::uint64_t revision = 0;
  bool is_deleted = false;
  std::string spec;   ///< JSON; if patch is empty too, the receiver must read the store itself
  std::string patch;  ///< JSON Patch (RFC 6902) against the base revision
  std::uint64_t base_revision = 0;
  std::string status;  ///< JSON; roll-outs only, empty if there is none
  std::uint64_t created = 0;
};

/// An object as the sender holds it.
struct HeldObject {
  std::string name;
  std::uint64_t revision = 0;
};
/// Instance to coordinator: asks for the changes of a kind that the sender lacks. Only for
/// instances with kFeatureStateTransfer.
struct StateRequestMessage {
  ObjectKind kind = ObjectKind::kConfig;
  std::uint64_t id = 0;        ///< chosen by the sender, repeated in the pieces
  std::uint64_t revision = 0;  ///< the sender has all changes up to it
  std::vector<HeldObject> held;
  bool holds_all = false;  ///< true: all objects are in `held`; false: those after `revision`
  bool is_whole = false;   ///< all objects are to be sent, and none as a patch
};
/// Coordinator to instance: a part of an encoded StateContent.
struct StatePieceMessage {
  ObjectKind kind = ObjectKind::kConfig;
  std::uint64_t id = 0;           ///< of the request
  std::uint32_t index = 0;        ///< 0 for the first piece
  std::uint64_t total_bytes = 0;  ///< of all pieces
  std::string bytes;
};
/// Brings the objects of a kind from what the sender of a request holds to a revision.
struct StateContent {
  std::uint64_t revision = 0;
  Millis age{0};  ///< since the revision was confirmed as current, when the content was made
  std::vector<ObjectMessage> objects;  ///< without spec and patch if the store has no valid spec
  bool has_names = false;
  std::vector<std::string> names;  ///< if stated, objects of other names do not exist
};

using FleetMessage =
    std::variant<SubmitMessage, WithdrawMessage, FirstEventMessage, ReleaseRunMessage,
                 AvoidBackendMessage, SyncRequestsMessage, GrantedMessage, RefusedMessage,
                 MembersMessage, ProbeMessage, ConfirmMessage, ObjectMessage, CrashesMessage,
                 RolloutVerdictsMessage, StateRequestMessage, StatePieceMessage, StreamsMessage>;

/// Encodes the payload of a Fleet frame.
/// @param now time points are encoded relative to it
std::string EncodeFleetMessages(const std::vector<FleetMessage>& messages, TimePoint now);

/// Decodes the payload of a Fleet frame.
/// @param home the sender, which becomes the home of the requests in the payload
/// @return the messages, or kBadRequest for a malformed payload
Result<std::vector<FleetMessage>> DecodeFleetMessages(std::string_view payload,
                                                      const InstanceId& home, TimePoint now);

/// Encodes the content of a transfer, which is sent in pieces.
std::string EncodeStateContent(const StateContent& content);
/// @return the content, or kBadRequest if it is malformed
Result<StateContent> DecodeStateContent(std::string_view bytes);

}  // namespace bluebellpass::gateway
