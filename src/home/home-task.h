#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "answer.h"
#include "bluebellpass/backend.h"
#include "bluebellpass/peer.h"
#include "config/config-service.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "ledger/ledger.h"
#include "peer/ownership.h"
#include "request-id.h"
#include "resume-token.h"
#include "submission.h"

namespace bluebellpass {

/// Dependencies and settings of the home task. The referenced objects must outlive it.
struct HomeContext {
  EventLoop& loop;
  PeerNetwork& network;
  ConfigService& config;
  Ledger& ledger;
  DriverContext drivers;
  ResumeTokenSigner& token_signer;
  Metrics& metrics;
  const Ownership& ownership;
  std::size_t max_answer_bytes = 256U << 20U;  ///< limit on the memory of all answers
  /// Longest answer of one request; a faulty backend server may send without end.
  std::size_t max_bytes_per_answer = 16U << 20U;
};

/// Summary of a request in an operator's listing.
struct RequestRow {
  RequestId id;
  OrganisationId organisation;
  TierName tier;
  PoolName pool;
  std::string phase;
  BackendId backend;
  DataCentre data_centre;  ///< of the backend server; of this instance if there is none
  Millis age{0};
  std::string error;  ///< name of the error; empty if there is none
};

/// Manages the requests whose home is this instance. No other class dispatches requests.
///
/// A request is claiming (if not idempotent), waiting, dispatched and ended, in this order. It
/// returns from dispatched to waiting only if no byte was sent to the backend server.
class HomeTask : public PeerListener, public ConfigListener {
 public:
  explicit HomeTask(HomeContext context);
  ~HomeTask() override;
  HomeTask(const HomeTask&) = delete;
  HomeTask& operator=(const HomeTask&) = delete;

  /// @return a ticket for request ids that this instance accepts
  Ticket IssueTicket() const;

  /// Accepts a request, or attaches the sink to the known request with this id.
  /// @param id an id of this instance and incarnation; others are answered with kHomeUnreachable
  /// @param body JSON of the submission
  /// @param is_detachable false if the request is cancelled when its last reader disconnects, since
  /// no caller knows its id
  void Submit(const ParsedRequestId& id, std::string_view body, std::shared_ptr<AnswerSink> sink,
              bool is_detachable = true);

  /// Sends the answer of a known request to the sink.
  /// @param offset first byte of the answer to send
  void Fetch(const ParsedRequestId& id, std::uint64_t offset, std::shared_ptr<AnswerSink> sink);

  /// Removes a reader. Cancels a request that is not detachable and has no other readers, unless
  /// it is not idempotent and already dispatched.
  void Detach(const AnswerSink* sink);

  /// Sends more data to a sink that can accept it again.
  void OnSinkReady(const AnswerSink* sink);

  /// Begins the graceful shutdown, in which new requests are refused.
  void BeginStop();
  /// Refuses all requests that were not dispatched, as not run. Call when the time for the graceful
  /// shutdown has passed.
  void RefuseUndispatched();
  /// @return true if all requests have ended and no open reader is waiting for data
  bool IsIdle() const;

  std::vector<RequestRow> WaitingRequests() const;
  std::vector<RequestRow> RunningRequests() const;
  std::vector<RequestRow> RefusedRequests() const;

  /// Fetches an answer from a home on another instance. Set by the Forwarder.
  using RemoteFetch = std::function<void(const ParsedRequestId& id, std::uint64_t offset,
                                         std::shared_ptr<AnswerSink> sink)>;
  void SetRemoteFetch(RemoteFetch fetch) { m_remote_fetch = std::move(fetch); }

  void OnPeerMessage(const InstanceId& from, const PeerMessage& message) override;
  void OnLinkUp(const InstanceId& peer, Incarnation incarnation) override;
  void OnLinkDown(const InstanceId& peer) override;
  void OnMembersChanged() override;
  void OnPeerStatus(const InstanceId& peer, const PeerStatus& status) override;
  void OnConfigApplied(const VersionedConfig& config) override;

 private:
  struct Reader {
    std::shared_ptr<AnswerSink> sink;
    std::uint64_t next_offset = 0;
    bool has_head = false;
  };

  enum class Phase { kClaiming, kWaiting, kDispatched, kEnded, kRedirected };

  struct Request;
  class Listener;

  // Life cycle of requests (home-task.cc).
  Request* FindRequest(const RequestId& id);
  std::optional<Error> CheckTicket(const Ticket& ticket) const;
  void AcceptSubmission(Request& request, std::string_view body);
  void BeginClaim(Request& request);
  void OnClaim(const RequestId& id, const ClaimOutcome& outcome);
  void RedirectToKeyHolder(Request& request, const RequestId& holder);
  void OnDeadline(const RequestId& id);
  void EndRequest(Request& request, AnswerEnd end);
  void RefuseRequest(Request& request, ErrorKind kind, const std::string& message);
  void AttachReader(Request& request, std::shared_ptr<AnswerSink> sink, std::uint64_t offset);
  void FeedReaders(Request& request);
  void FeedReader(Request& request, Reader& reader);
  void DropReader(Reader& reader);
  Request* FindBySink(const AnswerSink* sink);
  void RemoveExpired();
  void DiscardAnswer(Request& request);
  void LimitAnswerMemory();
  /// Ends the run and the readers of a request, and frees its answer.
  void EndForMemory(Request& request);
  RequestRow MakeRow(const Request& request) const;

  // Reservations and dispatch (home-dispatch.cc).
  CellId ChooseCell(const Request& request) const;
  Reservation MakeReservation(const Request& request) const;
  void Reserve(Request& request);
  void ReserveLater(Request& request);
  void DestroyRun(Request& request);
  void CancelReservation(Request& request);
  void SyncCell(const CellId& cell);
  void SyncChangedOwners();
  void OnResync(const InstanceId& from, const ResyncMessage& resync);
  void OnGrant(const InstanceId& from, const GrantMessage& grant);
  std::optional<std::string> CheckGrant(const Request& request, const GrantMessage& grant) const;
  void ReturnGrant(const InstanceId& owner, const GrantMessage& grant);
  bool MaySend(const RequestId& id, const BackendId& backend);
  void Dispatch(Request& request, const BackendConfig& backend);
  void OnRefuse(const RefuseMessage& refuse);
  void OnFloorAsk(const InstanceId& from, const FloorAskMessage& ask);
  bool IsBelowFloor(const PoolName& pool, TierRank rank) const;
  void ReleaseGrant(Request& request, ReleaseReason reason, const RunUsage& usage);
  void OnRunStarted(Request& request, const std::string& stream_id);
  void OnRunData(Request& request, std::string_view bytes);
  void OnRunEnd(Request& request, const RunUsage& usage);
  void OnRunFailure(Request& request, RunFailure failure, const std::string& message);
  BackendDriver* GetDriver(const std::string& kind);

  struct FloorPromise {
    TierRank rank;
    TimePoint expires_at;
  };
  struct Refusal {
    RequestRow row;
    TimePoint refused_at;
  };

  HomeContext m_context;
  TimePoint m_started_at;
  bool m_is_stopping = false;
  std::unordered_map<RequestId, std::unique_ptr<Request>> m_requests;
  std::unordered_map<const AnswerSink*, RequestId> m_requests_by_sink;
  /// The owner that was sent the last sync of each cell.
  std::map<CellId, InstanceId> m_synced_owners;
  std::map<PoolName, std::vector<FloorPromise>> m_floor_promises;
  std::map<std::string, std::unique_ptr<BackendDriver>> m_drivers;
  std::deque<Refusal> m_refusals;
  std::size_t m_answer_bytes = 0;  ///< memory of all retained answers
  RemoteFetch m_remote_fetch;
  Timer m_expiry_timer;
  Timer m_resync_timer;
};

}  // namespace bluebellpass
