#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

/// Messages between instances and the network that carries them.

namespace bluebellpass {

/// A pool in a region; the unit that one owner schedules.
struct CellId {
  PoolName pool;
  Region region;

  auto operator<=>(const CellId&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Waiting work, as its owner needs to know it.
struct Reservation {
  RequestId id;
  PoolName pool;
  Region region;
  TierName tier;
  OrganisationId organisation;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  Fingerprint prefix;   ///< of the first part of the prompt, for prefix affinity
  Fingerprint content;  ///< of the whole request, for suspects and quarantine
  std::int64_t bytes = 0;
  Millis remaining{0};  ///< until the deadline, at the time of sending
};

/// A run that a home has dispatched, as the owner must count it.
struct RunningGrant {
  RequestId id;
  std::uint64_t grant = 0;
  BackendId backend;
  Tokens tokens;
  Fingerprint content;
};

/// Home to owner: work waits.
struct ReserveMessage {
  Reservation reservation;
};
/// Home to owner: work no longer waits.
struct CancelMessage {
  CellId cell;
  RequestId id;
};
/// Home to owner: all of the home's work in a cell, after a new link or for a new owner.
struct SyncMessage {
  CellId cell;
  std::vector<Reservation> waiting;
  std::vector<RunningGrant> running;
};
/// Owner to home: a backend server for a request.
struct GrantMessage {
  CellId cell;
  RequestId id;
  std::uint64_t grant = 0;  ///< unique for the owner's incarnation
  BackendId backend;
};
/// Owner to home: the request must not wait any longer.
struct RefuseMessage {
  CellId cell;
  RequestId id;
  ErrorKind kind = ErrorKind::kOverloaded;
};

/// Owner to home: the owner has dropped the cell and what it held of the home.
struct ResyncMessage {
  CellId cell;
};

/// How a granted run ended.
enum class ReleaseReason : std::uint8_t {
  kCompleted,
  kNotUsed,  ///< the home did not dispatch
  kCancelled,
  kFailed,       ///< the run failed, the backend server lives
  kBackendLost,  ///< the backend server died or fell silent during the run
  kUnreachable,  ///< the backend server could not be reached; nothing was sent
};

/// Home to owner: a granted run is over.
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
  Millis total{0};
  Fingerprint content;
  Fingerprint prefix;
};

/// Owner to all: shed what waits below a tier and admit no more of it for a while.
struct FloorAskMessage {
  std::uint64_t round = 0;
  PoolName pool;
  TierRank rank;  ///< work with a larger rank is below the floor
  Millis hold{0};
};
/// Answer to FloorAsk: nothing below the floor is kept undispatched.
struct FloorAckMessage {
  std::uint64_t round = 0;
  PoolName pool;
  TierRank rank;
};

/// Any to home: a request, or a fetch of its answer.
struct ForwardMessage {
  std::uint64_t exchange = 0;  ///< chosen by the sender, unique for its incarnation
  RequestId id;
  std::uint64_t offset = 0;
  std::string body;  ///< the submitted JSON; empty for a fetch
};
/// Home to any: the answer has begun, or ended at once with an error.
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
/// Any to home: the reader of an answer has gone.
struct ForwardCancelMessage {
  std::uint64_t exchange = 0;
};

/// Any to any: an operator's query about the receiver's own state.
struct QueryMessage {
  std::uint64_t exchange = 0;
  std::string command;  ///< text of the command
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

/// A content whose runs killed backend servers.
struct QuarantineEntry {
  Fingerprint content;
  std::uint32_t deaths = 0;
  Millis remaining{0};      ///< until it expires
  std::uint64_t stamp = 0;  ///< newer entries replace older ones; a release is a newer entry
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

/// What an instance says about itself.
struct InstanceInfo {
  InstanceId id;
  Incarnation incarnation;
  DataCentre data_centre;
  Region region;
  Address caller_address;  ///< HTTP
  Address peer_address;    ///< frames
  bool is_leaving = false;
};

enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

/// An instance as seen from here.
struct Member {
  InstanceInfo info;
  MemberState state = MemberState::kAlive;
  std::uint64_t uptime_seconds = 0;  ///< last one heard of, for tickets
};

/// What an instance reports about its configuration with each heartbeat.
struct PeerStatus {
  ObjectVersion config_version;
  bool has_store_contact = false;  ///< the instance itself reaches the object API
  Millis store_age{0};  ///< age of the newest confirmed read of the configuration, own or heard of
};

/// Events of the network.
class PeerListener {
 public:
  virtual ~PeerListener() = default;
  /// A message from an authenticated instance, or from this one to itself.
  virtual void OnPeerMessage(const InstanceId& from, const PeerMessage& message) = 0;
  /// A link is ready. Messages sent before are lost; soft state must be sent again.
  virtual void OnLinkUp(const InstanceId& peer, Incarnation incarnation) = 0;
  virtual void OnLinkDown(const InstanceId& peer) = 0;
  /// The set or the state of the members has changed.
  virtual void OnMembersChanged() = 0;
  /// A heartbeat has arrived, at least every 500 ms over each link.
  virtual void OnPeerStatus(const InstanceId& peer, const PeerStatus& status) = 0;
};

/// The network between instances. Delivery is in order while a link stands, and at most once.
class PeerNetwork {
 public:
  virtual ~PeerNetwork() = default;

  /// @return this instance
  virtual const InstanceInfo& Self() const = 0;

  /// Queues a message. A message to this instance itself is delivered in a later turn.
  /// @return false when there is no link to the instance; the message was not sent
  virtual bool Send(const InstanceId& to, const PeerMessage& message) = 0;

  /// @return all known members, this instance included
  virtual std::vector<Member> Members() const = 0;

  /// @return true when a link to the instance stands, or when it is this one
  virtual bool IsLinked(const InstanceId& peer) const = 0;

  /// Sets what this instance reports with its heartbeats from now on.
  virtual void SetStatus(const PeerStatus& status) = 0;

  /// Tells the others that this instance leaves: it is taken off address lists and owns no cells.
  virtual void Leave() = 0;

  /// Listeners are called in the order in which they were added.
  virtual void AddListener(PeerListener* listener) = 0;
};

}  // namespace bluebellpass
