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

/// What the home task works with; all of it outlives the task.
struct HomeContext {
  EventLoop& loop;
  PeerNetwork& network;
  ConfigService& config;
  Ledger& ledger;
  DriverContext drivers;
  ResumeTokenSigner& tokens;
  Metrics& metrics;
  const Ownership& ownership;
  std::size_t max_answer_bytes = 256U << 20U;  ///< of answers kept for callers to come back
};

/// A row of an operator's view of requests.
struct RequestRow {
  RequestId id;
  OrganisationId organisation;
  TierName tier;
  PoolName pool;
  std::string phase;
  BackendId backend;
  DataCentre data_centre;  ///< of the backend server, or of this instance while waiting
  Millis age{0};
  std::string error;  ///< for refused requests
};

/// Life cycle of the requests whose home is this instance. The only module that dispatches.
///
/// A request passes through claiming (only non-idempotent ones), waiting, dispatched and ended, in
/// this order; only a dispatch of which no byte was sent leads back to waiting.
class HomeTask : public PeerListener, public ConfigListener {
 public:
  explicit HomeTask(HomeContext context);
  ~HomeTask() override;
  HomeTask(const HomeTask&) = delete;
  HomeTask& operator=(const HomeTask&) = delete;

  /// @return a ticket for ids that this instance will accept
  Ticket IssueTicket() const;

  /// Takes a request, or attaches the sink to the request already known under this id.
  /// @param id an id of this instance and incarnation
  /// @param body JSON of the submission
  /// @param is_detachable false when the request ends with its only reader, because no caller knows
  /// its id
  void Submit(const ParsedRequestId& id, std::string_view body, std::shared_ptr<AnswerSink> sink,
              bool is_detachable = true);

  /// Reads the answer of a known request from an offset.
  void Fetch(const ParsedRequestId& id, std::uint64_t offset, std::shared_ptr<AnswerSink> sink);

  /// Withdraws a reader. Waiting work that nobody can read any more is cancelled.
  void Detach(const AnswerSink* sink);

  /// Continues to feed readers that are ready again.
  void OnSinkReady(const AnswerSink* sink);

  /// Begins the graceful shutdown: new requests are refused.
  void BeginStop();
  /// Ends what was not dispatched as not run, at the end of the time for a shutdown.
  void RefuseUndispatched();
  /// @return true when all requests have ended and all readers have what they asked for
  bool IsIdle() const;

  std::vector<RequestRow> WaitingRequests() const;
  std::vector<RequestRow> RunningRequests() const;
  std::vector<RequestRow> RefusedRequests() const;

  /// Set by the owner of the forwarding part: how to fetch an answer from another instance's home.
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
    std::uint64_t next = 0;
    bool has_head = false;
  };

  enum class Phase { kClaiming, kWaiting, kDispatched, kEnded, kRedirected };

  struct Request;
  class Listener;

  // Requests (home-task.cc).
  Request* FindRequest(const RequestId& id);
  std::optional<Error> CheckTicket(const Ticket& ticket) const;
  void Accept(Request& request, std::string_view body);
  void BeginClaim(Request& request);
  void OnClaim(const RequestId& id, const ClaimOutcome& outcome);
  void Redirect(Request& request, const RequestId& holder);
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
    TimePoint until;
  };
  struct Refusal {
    RequestRow row;
    TimePoint at;
  };

  HomeContext m_context;
  TimePoint m_started_at;
  bool m_is_stopping = false;
  std::unordered_map<RequestId, std::unique_ptr<Request>> m_requests;
  std::unordered_map<const AnswerSink*, RequestId> m_requests_by_sink;
  std::map<CellId, InstanceId> m_synced_owners;  ///< to whom each cell was last synced
  std::map<PoolName, std::vector<FloorPromise>> m_floor_promises;
  std::map<std::string, std::unique_ptr<BackendDriver>> m_drivers;
  std::deque<Refusal> m_refusals;
  std::size_t m_answer_bytes = 0;  ///< of all answers that are kept
  RemoteFetch m_remote_fetch;
  Timer m_expiry_timer;
  Timer m_resync_timer;
};

}  // namespace bluebellpass
