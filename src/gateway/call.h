#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "bluebellpass/timer.h"
#include "dispatcher.h"
#include "event-splitter.h"
#include "gap-sample.h"
#include "kernel/http1-pool.h"
#include "kernel/http1-server.h"
#include "kernel/metrics.h"
#include "protocol.h"
#include "quota.h"
#include "routing-state.h"

namespace bluebellpass {
class EventLoop;
}

namespace bluebellpass::gateway {

/// What all calls of an instance share.
struct CallContext {
  EventLoop& loop;
  const Protocol& protocol;
  RoutingState& knowledge;
  Dispatcher& dispatcher;
  HttpConnectionPool& pool;
  RetryBudgets& retry_budgets;
  Metrics& metrics;
};

/// One attempt of a caller, from its receipt to the end of its answer. Sends a request that must
/// not be repeated at most once.
class Call : public DispatchListener, public std::enable_shared_from_this<Call> {
 public:
  Call(const CallContext& context, std::shared_ptr<HttpExchange> exchange,
       std::function<void()> on_end);
  ~Call() override = default;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Begin();
  /// Ends a call that has not been sent, because the instance stops.
  void Stop();
  /// Ends the call whatever its state, because the instance ends.
  void Abort();

  void OnGrant(const BackendId& backend) override;
  void OnRefusal(RefusalReason reason, Millis retry_after) override;

 private:
  enum class State { kNew, kWaiting, kSent, kAnswering, kEnded };

  /// Reads the request's fields.
  bool Decode();
  void AwaitConfig();
  /// Finds the route and the organisation, and puts the request in the queue.
  void Enter();
  bool Admit();
  bool Identify();
  void SetTimes();
  void Submit();
  void Send(const Backend& backend);
  PooledCallHandlers Events();
  bool OnHead(const HttpHead& head);
  void OnBody(std::string_view bytes);
  void OnCallEnd(PooledCallResult end);
  void OnWhole();
  void PassStream(std::string_view bytes);
  void CheckBackpressure();
  void OnNotRun();
  void OnRunFailed(const std::string& reason);
  /// Waits for another backend server.
  /// @return false when the request must not be sent again
  bool TryAgain(bool was_sent);
  void ReleaseRun(RunOutcome outcome);
  void DropPoolCall();
  void OnTimeout();
  void OnCallerGone();

  void Refuse(int status, const char* reason, std::optional<Millis> retry_after);
  void Fail(const char* reason);
  void Finish(const char* outcome, int status, const char* reason);
  Millis Remaining() const;
  bool HasAnswerStarted() const { return m_exchange->IsStarted(); }

  CallContext m_context;
  std::shared_ptr<HttpExchange> m_exchange;
  std::function<void()> m_on_end;
  State m_state = State::kNew;
  CallerRequest m_request;
  std::shared_ptr<const RoutingTable> m_table;
  const Route* m_route = nullptr;
  const Organisation* m_organisation = nullptr;
  ServiceName m_service;
  TimePoint m_arrived;
  TimePoint m_deadline;
  Timer m_timer;
  Timer m_backpressure_timer;

  BackendId m_backend;
  std::set<BackendId> m_failed_backends;
  int m_sends = 0;  ///< backend servers that have been sent the request
  int m_unsent_tries = 0;
  std::unique_ptr<PooledCall> m_call;
  TimePoint m_sent_at;
  bool m_was_sent = false;      ///< the present run has left this instance
  bool m_may_have_run = false;  ///< a backend server may have begun to work on the request
  HttpHead m_reply_head;
  std::string m_reply_body;
  EventSplitter m_events;
  std::optional<TimePoint> m_first_event_at;
  TimePoint m_last_event_at;
  std::size_t m_run_events = 0;
  GapSample m_gaps;
};

}  // namespace bluebellpass::gateway
