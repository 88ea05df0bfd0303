#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "bluebellpass/timer.h"
#include "event-splitter.h"
#include "gap-sample.h"
#include "gateway/decisions/caller-deadlines.h"
#include "gateway/decisions/quota.h"
#include "gateway/fleet/dispatcher.h"
#include "gateway/fleet/peer-directory.h"
#include "gateway/protocol.h"
#include "gateway/rollout/rollout-controller.h"
#include "gateway/state/backend-notices.h"
#include "gateway/state/path-monitor.h"
#include "gateway/state/routing-state.h"
#include "kernel/http1-pool.h"
#include "kernel/http1-server.h"
#include "kernel/memory-account.h"
#include "kernel/metrics.h"

namespace bluebellpass {
class EventLoop;
}

namespace bluebellpass::gateway {

/// Upper bound on the duration of a call; the caller's deadline or the route's timeout may be
/// lower.
inline constexpr Millis kMaxCallDuration{60'000};

/// Dependencies that all calls of an instance share.
struct CallContext {
  EventLoop& loop;
  const Protocol& protocol;
  RoutingState& routing_state;
  Dispatcher& dispatcher;
  HttpConnectionPool& pool;
  RetryBudgets& retry_budgets;
  BackendNotices& backend_notices;
  Metrics& metrics;
  MemoryAccount& buffer_memory;
  const RolloutController& rollouts;
  CallerDeadlines& caller_deadlines;
  PathMonitor& path_monitor;
  const PeerDirectory& peers;
  HttpConnectionPool& peer_pool;
};

/// Proxies one attempt of a caller: resolves its route, queues it for a backend server, sends it
/// and forwards the response. A request whose route does not allow retries runs at most once.
class Call : public DispatchListener, public std::enable_shared_from_this<Call> {
 public:
  Call(const CallContext& context, std::shared_ptr<HttpExchange> exchange,
       std::function<void()> on_end);
  ~Call() override = default;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Start();
  /// Refuses the request if it waits, cannot have run and may take longer than until the exit of
  /// the process.
  void RefuseIfWaiting(TimePoint exit_at);
  /// Ends the call in any state, because the process is about to exit.
  void Abort();

  void OnGrant(const BackendId& backend, const std::optional<SoftwareVersion>& version) override;
  void OnRefusal(RefusalReason reason, Millis retry_after) override;

 private:
  enum class State { kNew, kWaiting, kSent, kResponding, kForwarded, kEnded };

  /// @return false when the request was invalid and has been refused
  bool DecodeRequestHead();
  void WaitForConfig();
  /// Resolves the route and the organisation, then queues the request.
  void Admit();
  /// Queues the request for a backend server for the first time.
  void Enqueue();
  bool ResolveRoute();
  /// @return the caller's attempt that brings the first event of the response stream
  const AttemptId& StreamId() const;
  /// @return true if a backend server may run the request, or continue its stream
  bool MaySendTo(const Backend& backend) const;
  bool Authenticate();
  void SetDeadline();
  void Submit();
  /// @return the event after which the stream is continued, or nullopt if it begins
  std::optional<std::uint64_t> ContinuedAfter() const;
  /// @return true if the request can be forwarded and is better served by another instance
  bool ShouldForward() const;
  /// Sends the request to another instance, which serves it.
  /// @return false if there is none
  bool Forward();
  void OnForwardedBody(std::string_view bytes);
  void OnForwardedEnd(PooledCallResult result);
  /// @return the request as it is sent to a backend server or to another instance
  std::string SerializeWithBody(std::vector<HttpField> fields) const;
  void Send(const Backend& backend);
  PooledCallHandlers MakePooledCallHandlers();
  bool OnResponseHead(const HttpHead& head);
  /// Records what the backend server says about itself in a response.
  void RecordNotices();
  void OnResponseBody(std::string_view bytes);
  /// @return true if the body of the current response may reach the caller
  bool IsBodyNeeded() const;
  /// Counts a part of a body that is not needed, and ends a run that sends too much of it.
  void SkipBody(std::size_t size);
  void AppendBody(std::string_view bytes);
  void OnPooledCallResult(PooledCallResult result);
  void OnResponseComplete();
  /// @return true if the response head may start the caller's stream or continue it
  bool IsStreamSuccess() const;
  void StartResponse();
  void ForwardStream(std::string_view bytes);
  void ApplyBackpressure();
  /// Counts the bytes of the response that this call holds. May end the run.
  void CountHeldBytes();
  /// Ends the run, to release what the instance has no memory for.
  void OnOverMemoryLimit();
  /// Delivers a response that ended with its connection if its backend server still accepts
  /// connections, since those of a process that was killed end in the same way. Without this check
  /// if the request may not run again.
  void ConfirmEnd();
  void DeliverResponse();
  /// @return true while the given run lasts
  bool IsRunning(int run) const;
  /// Handles a response which states that the backend server did not run the request.
  void OnNotRun();
  void OnRunFailed(const std::string& reason);
  void OnUnreachable();
  /// @return the outcome of a run that has failed
  RunOutcome OutcomeOf(const std::string& reason);
  /// Queues the request for another backend server.
  /// @param was_sent true when the last run may have been sent, so that the retry counts against
  /// the retry budget. If it is false and no retry is allowed, this function also ends the call.
  /// @return false when no retry is allowed
  bool TryResubmit(bool was_sent);
  void ReleaseRun(RunOutcome outcome);
  void DropPooledCall();
  void OnTimeout();
  void OnCallerDisconnected();
  /// Refuses the waiting request, whose body the instance has no memory for.
  void OnBodyEvicted();

  /// Ends the call with a response that promises that the request did not run.
  void Refuse(int status, const char* reason, std::optional<Millis> retry_after);
  /// Ends the call with an error after which the caller must assume that the request may have run:
  /// an error status, or an aborted response if one has started.
  void Fail(const char* reason);
  /// Releases the resources of the call and records its outcome in the log and the metrics.
  void Finish(const char* outcome, int status, const char* reason);
  Millis RemainingTime() const;
  bool HasResponseStarted() const { return m_exchange->IsStarted(); }

  CallContext m_context;
  std::shared_ptr<HttpExchange> m_exchange;
  std::function<void()> m_on_end;
  State m_state = State::kNew;
  CallerRequest m_request;
  std::shared_ptr<const RoutingTable> m_routing_table;
  const Route* m_route = nullptr;
  const Organisation* m_organisation = nullptr;
  ServiceName m_service;
  TimePoint m_arrived_at;
  Millis m_caller_age{0};  ///< from the caller's first attempt until the arrival
  TimePoint m_deadline;
  Timer m_timer;
  Timer m_backpressure_timer;

  /// Software version of the backend servers that began the stream, once it is known. What those of
  /// another one write does not fit.
  std::optional<SoftwareVersion> m_stream_version;

  BackendId m_backend_id;
  BackendStart m_backend_start;       ///< of the current run
  SoftwareVersion m_backend_version;  ///< of the current run
  std::set<BackendId> m_excluded_backends;
  std::set<Address> m_tried_peers;
  int m_run_number = 0;  ///< rises with each run
  int m_send_count = 0;  ///< backend servers that the request was sent to
  int m_unsent_retry_count = 0;
  std::unique_ptr<PooledCall> m_pooled_call;
  TimePoint m_sent_at;
  bool m_was_sent = false;      ///< the current run was sent to its backend server
  bool m_may_have_run = false;  ///< a backend server may have started to run the request
  HttpHead m_response_head;
  ResponseFields m_response;  ///< decoded from the head
  int m_started_status = 0;   ///< of the response to the caller; 0 before it starts
  std::string m_response_body;
  std::size_t m_skipped_bytes = 0;  ///< of the body of the current response
  EventSplitter m_event_splitter;
  MemoryAccount::Holder m_held;  ///< the body and an incomplete event
  std::optional<TimePoint> m_first_event_at;
  TimePoint m_last_event_at;
  std::size_t m_run_event_count = 0;
  GapSample m_event_gaps;
};

}  // namespace bluebellpass::gateway
