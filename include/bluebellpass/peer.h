#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

/// The peer network and its messages. The home of a request is the instance that accepted it.

namespace bluebellpass {

/// A pool in a region. One instance, the owner of the cell, schedules its requests.
struct CellId {
  PoolName pool;
  Region region;

  auto operator<=>(const CellId&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// A waiting request, as described to the owner of its cell.
struct Reservation {
  RequestId id;
  PoolName pool;
  Region region;
  TierName tier;
  OrganisationId organisation;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  Fingerprint prefix;   ///< of the first part of the prompt, for prefix affinity
  Fingerprint content;  ///< of the complete request, for suspects and quarantine
  std::int64_t bytes = 0;
  Millis remaining{0};  ///< time until the deadline when the message was sent
};

/// A run dispatched by a home, which the owner counts against the backend server's capacity.
struct RunningGrant {
  RequestId id;
  std::uint64_t grant = 0;
  BackendId backend;
  Tokens tokens;
  Fingerprint content;
};

/// Home to owner: a request waits for a grant.
struct ReserveMessage {
  Reservation reservation;
};
/// Home to owner: a request no longer waits.
struct CancelMessage {
  CellId cell;
  RequestId id;
};
/// Home to owner: all of the home's requests in a cell; sent over a new link or to a new owner.
struct SyncMessage {
  CellId cell;
  std::vector<Reservation> waiting;
  std::vector<RunningGrant> running;
};
/// Owner to home: grants a backend server to a request.
struct GrantMessage {
  CellId cell;
  RequestId id;
  std::uint64_t grant = 0;  ///< unique within the owner's incarnation
  BackendId backend;
};
/// Owner to home: rejects a waiting request.
struct RefuseMessage {
  CellId cell;
  RequestId id;
  ErrorKind kind = ErrorKind::kOverloaded;
};

/// Owner to home: the owner has dropped its state of the cell, including the home's requests.
struct ResyncMessage {
  CellId cell;
};

/// How a granted run ended.
enum class ReleaseReason : std::uint8_t {
  kCompleted,
  kNotUsed,  ///< the home did not dispatch the request
  kCancelled,
  kFailed,       ///< the run failed, the backend server is alive
  kBackendLost,  ///< the backend server died during the run
  kUnreachable,  ///< no contact with the backend server, which may be alive
};

/// Home to owner: a granted run has ended.
struct ReleaseMessage {
  CellId cell;
  RequestId id;
  std::uint64_t grant = 0;
  BackendId backend;
  ReleaseReason reason = ReleaseReason::kCompleted;
  Tokens prompt_tokens;
  Tokens cached_tokens;
  Tokens output_tokens;
  Millis time_to_first_token{0};
  Millis total_time{0};
  Fingerprint content;
  Fingerprint prefix;
};

/// Owner to all: asks for a shed floor, that is, to shed the waiting requests below a tier and to
/// admit no more of them for a while.
struct FloorAskMessage {
  std::uint64_t round = 0;
  PoolName pool;
  TierRank rank;   ///< requests of a larger rank are below the floor
  Millis hold{0};  ///< how long the floor is held
};
/// Reply to a FloorAskMessage: the sender holds no undispatched request below the floor.
struct FloorAckMessage {
  std::uint64_t round = 0;
  PoolName pool;
  TierRank rank;
};

/// Any to home: submits a request or fetches its answer.
struct ForwardMessage {
  std::uint64_t exchange = 0;  ///< chosen by the sender, unique within its incarnation
  RequestId id;
  std::uint64_t offset = 0;
  std::string body;  ///< the submitted JSON; empty for a fetch
};
/// Home to any: the answer has started, or failed before its first byte.
struct AnswerHeadMessage {
  std::uint64_t exchange = 0;
  std::int32_t status = 200;
  std::string backend;
  std::string resume_token;
};
struct AnswerDataMessage {
  std::uint64_t exchange = 0;
  std::uint64_t offset = 0;
  std::string bytes;
};
struct AnswerEndMessage {
  std::uint64_t exchange = 0;
  Outcome outcome = Outcome::kUnknown;
  std::uint64_t length = 0;
  bool has_error = false;
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string field;
};
/// Any to home: the caller that reads the answer has disconnected.
struct ForwardCancelMessage {
  std::uint64_t exchange = 0;
};

/// Any to any: an operator's query about the receiver's local state.
struct QueryMessage {
  std::uint64_t exchange = 0;
  std::string command;
};
struct QueryReplyMessage {
  std::uint64_t exchange = 0;
  std::string json;
};

/// Any to any: a configuration document.
struct ConfigMessage {
  ObjectVersion version;
  std::string document;
};

/// A request content whose runs killed backend servers.
struct QuarantineEntry {
  Fingerprint content;
  std::uint32_t deaths = 0;
  Millis remaining{0};      ///< time until the entry expires
  std::uint64_t stamp = 0;  ///< the entry with the highest stamp applies; 0 deaths mean a release
};
/// Any to any: suspects and quarantined contents.
struct QuarantineMessage {
  std::vector<QuarantineEntry> entries;
};

using PeerMessage =
    std::variant<ReserveMessage, CancelMessage, SyncMessage, GrantMessage, RefuseMessage,
                 ReleaseMessage, FloorAskMessage, FloorAckMessage, ForwardMessage,
                 AnswerHeadMessage, AnswerDataMessage, AnswerEndMessage, ForwardCancelMessage,
                 QueryMessage, QueryReplyMessage, ConfigMessage, QuarantineMessage, ResyncMessage>;

/// Identity and addresses of an instance, as announced by itself.
struct InstanceInfo {
  InstanceId id;
  Incarnation incarnation;
  DataCentre data_centre;
  Region region;
  Address caller_address;  ///< for HTTP
  Address peer_address;    ///< for links between instances
  bool is_leaving = false;
};

enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

/// A member of the cluster and its state, as seen by this instance.
struct Member {
  InstanceInfo info;
  MemberState state = MemberState::kAlive;
  std::uint64_t uptime_seconds = 0;  ///< last reported value, used for tickets
};

/// State of an instance's configuration, reported with each heartbeat.
struct PeerStatus {
  ObjectVersion config_version;
  bool has_store_contact = false;  ///< the instance itself reaches the object API
  /// Age of the newest confirmed read of the configuration, by this instance or a peer.
  Millis confirmation_age{0};
};

/// Receives messages and events of the peer network.
class PeerListener {
 public:
  virtual ~PeerListener() = default;
  /// A message has arrived from an authenticated instance, or from this one to itself.
  virtual void OnPeerMessage(const InstanceId& from, const PeerMessage& message) = 0;
  /// A link has been established. Messages sent before are lost; soft state must be sent again.
  virtual void OnLinkUp(const InstanceId& peer, Incarnation incarnation) = 0;
  virtual void OnLinkDown(const InstanceId& peer) = 0;
  /// A member was added or removed, or its state changed.
  virtual void OnMembersChanged() = 0;
  /// A heartbeat has arrived, at least every 500 ms over each link.
  virtual void OnPeerStatus(const InstanceId& peer, const PeerStatus& status) = 0;
};

/// The network between instances. Delivers messages at most once, and in order on each link.
class PeerNetwork {
 public:
  virtual ~PeerNetwork() = default;

  /// @return this instance
  virtual const InstanceInfo& Self() const = 0;

  /// Queues a message. A message to this instance itself is delivered in a later loop iteration.
  /// @return false if there is no link to the instance; the message was not sent
  virtual bool Send(const InstanceId& to, const PeerMessage& message) = 0;

  /// @return all known members, including this instance
  virtual std::vector<Member> Members() const = 0;

  /// @return true if a link to the instance is established or the instance is this one
  virtual bool IsLinked(const InstanceId& peer) const = 0;

  /// Sets the status that this instance reports with its heartbeats.
  virtual void SetStatus(const PeerStatus& status) = 0;

  /// Announces that this instance leaves. The others remove it from address lists and assign it no
  /// cells.
  virtual void Leave() = 0;

  /// Adds a listener. Listeners are called in the order of their addition.
  virtual void AddListener(PeerListener* listener) = 0;
};

}  // namespace bluebellpass
