#include "call.h"

#include <algorithm>

#include "bluebellpass/event.h"
#include "kernel/loop.h"

namespace bluebellpass::gateway {
namespace {

// Retries of a request that was not sent. They do not count against the retry budget.
constexpr int kMaxUnsentRetries = 3;
// How long a backend server gets no work after it refused a connection or a request.
constexpr Millis kAvoidDuration{500};
// How long a backend server gets no work after another one responded at its address. Longer than
// kAvoidDuration, because it cannot be reached until it registers again.
constexpr Millis kWrongBackendAvoidDuration{5'000};
constexpr Millis kProbeDelay{100};
// How long requests wait for the first configuration after the start of the process. Loading it
// usually takes less time than the round trip of a refused caller.
constexpr Millis kMaxConfigWait{1'000};
// Retry-After of requests that cannot be served at present.
constexpr Millis kRetryAfterUnavailable{300};
// Above this many unsent response bytes, reading from the backend server is paused.
constexpr std::size_t kMaxPendingBytes = 256U << 10U;
// The same while memory for responses is scarce.
constexpr std::size_t kMaxPendingBytesWhenScarce = 32U << 10U;
constexpr Millis kBackpressureCheckPeriod{20};
// Longer non-streaming responses are forwarded in parts.
constexpr std::size_t kMaxBufferedResponseBytes = 4U << 20U;
// The same while memory for responses is scarce.
constexpr std::size_t kMaxBufferedResponseBytesWhenScarce = 64U << 10U;
// A body that is not forwarded is read up to here, so that the connection can be used again.
constexpr std::size_t kMaxSkippedBytes = 64U << 10U;
// A larger error body or event counts as malformed, since a faulty backend server may send without
// end.
constexpr std::size_t kMaxIncompleteBytes = 1U << 20U;
// Fewer gaps are not a reliable estimate of the backend server's speed.
constexpr std::size_t kMinGapSamples = 4;

constexpr char kConnectionLost[] = "connection_lost";

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// @return true for statuses from which callers conclude that the request did not run
bool ImpliesNotRun(int status) {
  return status == 408 || status == 421 || status == kTooManyRequests || status == kUnavailable;
}

std::int64_t AsLogged(std::optional<std::uint64_t> event_id) {
  return event_id ? static_cast<std::int64_t>(*event_id) : -1;
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

Call::Call(const CallContext& context, std::shared_ptr<HttpExchange> exchange,
           std::function<void()> on_end)
    : m_context(context),
      m_exchange(std::move(exchange)),
      m_on_end(std::move(on_end)),
      m_arrived_at(context.loop.Now()),
      m_timer(context.loop),
      m_backpressure_timer(context.loop),
      m_held(&context.buffer_memory, [this] { OnOverMemoryLimit(); }) {}

void Call::Start() {
  m_exchange->OnClosed([self = shared_from_this()] { self->OnCallerDisconnected(); });
  m_exchange->OnBodyEvicted([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnBodyEvicted();
  });
  if (!DecodeRequestHead()) return;
  if (!m_context.routing_state.Table()) return WaitForConfig();
  Admit();
}

void Call::WaitForConfig() {
  m_timer.Start(kMaxConfigWait, [self = shared_from_this()] {
    self->Refuse(kUnavailable, "no_config", kRetryAfterUnavailable);
  });
  m_context.routing_state.WhenReady([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->m_state == State::kNew) self->Admit();
  });
}

void Call::Admit() {
  m_timer.Stop();
  if (!ResolveRoute()) return;
  if (ShouldForward() && Forward()) return;
  Enqueue();
}

void Call::Enqueue() {
  m_context.retry_budgets.For(m_service).RecordRequest(m_arrived_at);
  Submit();
}

bool Call::DecodeRequestHead() {
  Result<CallerRequest> request = m_context.protocol.DecodeRequest(m_exchange->Head());
  if (!IsOk(request)) {
    Refuse(400, ErrorOf(request).field.c_str(), std::nullopt);
    return false;
  }
  m_request = std::get<CallerRequest>(std::move(request));
  return true;
}

bool Call::ResolveRoute() {
  m_routing_table = m_context.routing_state.Table();
  m_route = m_routing_table->FindRoute(m_request.host, m_request.path);
  if (m_route == nullptr || m_route->targets.empty()) {
    if (m_context.routing_state.MayDenyRequests()) {
      Refuse(kNotFound, "no_route", std::nullopt);
    } else {
      Refuse(kUnavailable, "no_route_stale", kRetryAfterUnavailable);
    }
    return false;
  }
  if (!Authenticate()) return false;
  m_service = RoutingTable::PickService(*m_route, StreamId());
  SetDeadline();
  return true;
}

bool Call::Authenticate() {
  if (!m_request.api_key.empty())
    m_organisation = m_routing_table->FindOrganisationByKey(m_request.api_key);
  if (m_route->is_public || m_routing_table->SourceConfig().organisations.empty()) return true;
  if (m_organisation == nullptr) {
    if (m_context.routing_state.MayDenyRequests()) {
      Refuse(kUnauthorized, "unknown_key", std::nullopt);
    } else {
      Refuse(kUnavailable, "unknown_key_stale", kRetryAfterUnavailable);
    }
    return false;
  }
  if (m_context.routing_state.MayAcceptKeys()) return true;
  Refuse(kUnavailable, "config_stale", kRetryAfterUnavailable);
  return false;
}

void Call::SetDeadline() {
  Millis time_limit = kMaxCallDuration;
  if (m_request.deadline) {
    time_limit = std::min(time_limit, *m_request.deadline);
    m_caller_age = m_context.caller_deadlines.AgeOf(m_route->name, *m_request.deadline);
  }
  if (m_route->timeout > Millis{0}) time_limit = std::min(time_limit, m_route->timeout);
  m_deadline = m_arrived_at + time_limit;
  m_timer.Start(std::max(RemainingTime(), Millis{1}),
                [self = shared_from_this()] { self->OnTimeout(); });
}

Millis Call::RemainingTime() const {
  return std::chrono::duration_cast<Millis>(m_deadline - m_context.loop.Now());
}

void Call::OnRefusal(RefusalReason reason, Millis retry_after) {
  if (m_state != State::kWaiting) return;
  if (HasResponseStarted() || m_may_have_run) return Fail("not_repeated");
  // No retry can help if the deadline cannot be met, the content of the request is quarantined, or
  // no backend server fits the stream.
  const bool may_retry =
      reason != RefusalReason::kTooLate && reason != RefusalReason::kQuarantined &&
      reason != RefusalReason::kUnknownVersion && reason != RefusalReason::kNoSuchVersion;
  Refuse(reason == RefusalReason::kQuota ? kTooManyRequests : kUnavailable, NameOf(reason).data(),
         may_retry ? std::optional(retry_after) : std::nullopt);
}

void Call::OnGrant(const BackendId& id, const std::optional<SoftwareVersion>& version) {
  if (m_state != State::kWaiting) return;
  if (!m_stream_version) m_stream_version = version;
  m_backend_id = id;
  m_was_sent = false;
  const Backend* backend = m_context.routing_state.FindBackend(id);
  // The process may have been suspended since the decision, so its preconditions are checked again.
  const bool needs_key = m_organisation != nullptr || !m_route->is_public;
  if (needs_key && !m_context.routing_state.MayAcceptKeys()) {
    ReleaseRun(RunOutcome::kNotRun);
    if (HasResponseStarted() || m_may_have_run) return Fail("config_stale");
    return Refuse(kUnavailable, "config_stale", kRetryAfterUnavailable);
  }
  if (backend == nullptr || !MaySendTo(*backend)) {
    ReleaseRun(RunOutcome::kNotRun);
    m_excluded_backends.insert(id);
    TryResubmit(false);
    return;
  }
  if (ShouldForward() && Forward()) return ReleaseRun(RunOutcome::kNotRun);
  Send(*backend);
}

void Call::Send(const Backend& backend) {
  m_backend_start = backend.Start();
  m_backend_version = backend.version;
  DispatchFields fields;
  fields.expected_backend = backend.id;
  fields.deadline = std::max(RemainingTime(), Millis{1});
  if (m_organisation != nullptr) fields.organisation = m_organisation->id;
  if (HasResponseStarted()) fields.last_event_id = ContinuedAfter().value_or(0);
  const HttpHead& head = m_exchange->Head();
  std::vector<HttpField> header_fields =
      m_context.protocol.EncodeBackendRequest(head, backend.address, fields);
  m_exchange->PinBody();
  std::string request_bytes = SerializeWithBody(std::move(header_fields));
  m_state = State::kSent;
  ++m_run_number;
  m_sent_at = m_context.loop.Now();
  m_response_head = {};
  m_response = {};
  m_response_body = std::string();
  m_skipped_bytes = 0;
  m_run_event_count = 0;
  m_event_gaps = {};
  m_first_event_at.reset();
  LogEvent(EventId::kSent, {{"request", m_request.id.Text()},
                            {"backend", backend.id.Text()},
                            {"version", backend.version.Text()},
                            {"after_event", AsLogged(ContinuedAfter())},
                            {"waited_ms", (m_sent_at - m_arrived_at) / Millis{1}},
                            {"remaining_ms", fields.deadline->count()},
                            {"config_age_ms", m_context.routing_state.ConfigAge().count()}});
  m_pooled_call =
      m_context.pool.StartCall(backend.address, std::move(request_bytes), MakePooledCallHandlers());
}

PooledCallHandlers Call::MakePooledCallHandlers() {
  PooledCallHandlers handlers;
  const auto self = shared_from_this();
  handlers.on_sent = [self] {
    // Called from within StartCall when a connection is already established.
    self->m_was_sent = true;
    ++self->m_send_count;
    if (self->m_pooled_call) self->m_context.path_monitor.RecordConnected(self->m_backend_id);
    self->m_context.path_monitor.RecordSent();
    // No other backend server may get the request.
    if (self->m_send_count >= self->m_route->max_backends) self->m_exchange->ReleaseBody();
  };
  handlers.on_head = [self](const HttpHead& head) { return self->OnResponseHead(head); };
  handlers.on_body = [self](std::string_view bytes) { self->OnResponseBody(bytes); };
  handlers.on_end = [self](PooledCallResult result) { self->OnPooledCallResult(result); };
  return handlers;
}

bool Call::OnResponseHead(const HttpHead& head) {
  m_context.path_monitor.RecordReceived();
  if (m_state != State::kSent) return true;
  ResponseFields response = m_context.protocol.DecodeResponse(head);
  // On a kept connection, a refusal without an id may be a repetition of an earlier one.
  const bool is_attributed = response.has_id || !response.is_not_run || !m_pooled_call->IsReused();
  if (!is_attributed || (response.has_id && response.id != m_request.id)) return false;
  m_response_head = head;
  m_response = std::move(response);
  RecordNotices();
  return true;
}

void Call::OnResponseBody(std::string_view bytes) {
  m_context.path_monitor.RecordReceived();
  if (m_state != State::kSent && m_state != State::kResponding) return;
  if (!IsBodyNeeded()) return SkipBody(bytes.size());
  if (IsStreamSuccess()) {
    ForwardStream(bytes);
  } else if (HasResponseStarted()) {
    m_exchange->Write(bytes);
    ApplyBackpressure();
  } else {
    AppendBody(bytes);
  }
  CountHeldBytes();
}

bool Call::IsBodyNeeded() const {
  const int status = m_response_head.status;
  if (!m_response.has_id || m_response.is_not_run) return false;
  if (IsSuccess(status))
    return m_response.has_signature && (!m_route->is_stream || IsStreamSuccess());
  return !HasResponseStarted() && !ImpliesNotRun(status);
}

void Call::SkipBody(std::size_t size) {
  m_skipped_bytes += size;
  if (m_skipped_bytes <= kMaxSkippedBytes) return;
  if (!m_response.is_not_run) return OnPooledCallResult(PooledCallResult::kMalformedResponse);
  // The head says all there is to know.
  DropPooledCall();
  OnNotRun();
}

void Call::AppendBody(std::string_view bytes) {
  m_response_body.append(bytes);
  if (!IsSuccess(m_response_head.status)) {
    if (m_response_body.size() > kMaxIncompleteBytes)
      OnPooledCallResult(PooledCallResult::kMalformedResponse);
    return;
  }
  const std::size_t limit = m_context.buffer_memory.IsScarce() ? kMaxBufferedResponseBytesWhenScarce
                                                               : kMaxBufferedResponseBytes;
  if (m_response_body.size() <= limit) return;
  StartResponse();
  m_state = State::kResponding;
  m_exchange->Write(m_response_body);
  m_response_body = std::string();
  ApplyBackpressure();
}

void Call::CountHeldBytes() {
  if (m_state != State::kSent && m_state != State::kResponding) return m_held.Release();
  m_held.Set(m_response_body.capacity() + m_event_splitter.BufferedBytes());
}

void Call::OnOverMemoryLimit() {
  if (m_state != State::kSent && m_state != State::kResponding) return;
  DropPooledCall();
  OnRunFailed("memory_limit");
}

bool Call::IsStreamSuccess() const {
  const int status = m_response_head.status;
  return m_route->is_stream && IsSuccess(status) &&
         (!HasResponseStarted() || status == m_started_status);
}

void Call::StartResponse() {
  m_started_status = m_response_head.status;
  m_exchange->Start(m_started_status, m_context.protocol.EncodeResponse(m_response_head));
}

void Call::ForwardStream(std::string_view bytes) {
  const TimePoint now = m_context.loop.Now();
  const std::size_t events_before = m_event_splitter.EventCount();
  const std::string_view complete_events = m_event_splitter.Append(bytes);
  if (m_event_splitter.PartialBytes() > kMaxIncompleteBytes)
    return OnPooledCallResult(PooledCallResult::kMalformedResponse);
  if (complete_events.empty()) return;
  if (!HasResponseStarted()) {
    m_stream_version = m_backend_version;
    StartResponse();
  }
  m_state = State::kResponding;
  if (!m_first_event_at) {
    m_first_event_at = now;
    const auto time_to_first_event = std::chrono::duration_cast<Millis>(now - m_sent_at);
    m_context.dispatcher.RecordFirstEvent(m_request.id, m_backend_version, time_to_first_event);
  }
  if (m_run_event_count > 0) m_event_gaps.Add(now - m_last_event_at);
  m_last_event_at = now;
  m_run_event_count += m_event_splitter.EventCount() - events_before;
  m_exchange->Write(complete_events);
  ApplyBackpressure();
}

void Call::ApplyBackpressure() {
  const std::size_t limit =
      m_context.buffer_memory.IsScarce() ? kMaxPendingBytesWhenScarce : kMaxPendingBytes;
  if (m_exchange->PendingBytes() <= limit || !m_pooled_call) return;
  m_pooled_call->SetPaused(true);
  m_backpressure_timer.StartPeriodic(kBackpressureCheckPeriod, [self = shared_from_this(), limit] {
    if (self->m_pooled_call && self->m_exchange->PendingBytes() > limit / 2) return;
    if (self->m_pooled_call) self->m_pooled_call->SetPaused(false);
    self->m_backpressure_timer.Stop();
  });
}

void Call::DropPooledCall() {
  // Destroyed in a later iteration of the event loop, since one of its handlers may be on the
  // stack.
  if (m_pooled_call)
    m_context.loop.Post([call = std::shared_ptr<PooledCall>(std::move(m_pooled_call))] {});
  m_pooled_call.reset();
}

void Call::OnPooledCallResult(PooledCallResult result) {
  if (m_state != State::kSent && m_state != State::kResponding) return;
  DropPooledCall();
  switch (result) {
    case PooledCallResult::kComplete:
      return OnResponseComplete();
    case PooledCallResult::kConnectFailed:
      return OnUnreachable();
    case PooledCallResult::kConnectionBroken:
      return OnRunFailed(kConnectionLost);
    case PooledCallResult::kMalformedResponse:
      return OnRunFailed("malformed_reply");
  }
}

void Call::OnUnreachable() {
  ReleaseRun(RunOutcome::kNotRun);
  m_context.backend_notices.SetUnreachable(m_backend_start, m_context.loop.Now());
  m_context.path_monitor.RecordFailure(m_backend_id, m_sent_at);
  m_excluded_backends.insert(m_backend_id);
  if (ShouldForward() && Forward()) return;
  TryResubmit(false);
}

void Call::OnResponseComplete() {
  const ResponseFields& response = m_response;
  const int status = m_response_head.status;
  if (response.is_not_run) return OnNotRun();
  if (!response.has_id || (IsSuccess(status) && !response.has_signature))
    return OnRunFailed("unsigned_reply");
  if (IsSuccess(status) && m_response_head.ends_with_connection) return ConfirmEnd();
  DeliverResponse();
}

void Call::DeliverResponse() {
  const int status = m_response_head.status;
  if (IsStreamSuccess()) {
    if (m_event_splitter.PartialBytes() != 0) return OnRunFailed("partial_event");
    ReleaseRun(RunOutcome::kCompleted);
    if (!HasResponseStarted()) StartResponse();
    m_exchange->End();
    return Finish("completed", status, "");
  }
  if (HasResponseStarted()) {
    // Either a resumed stream was rejected with an error, or a long response is complete.
    if (m_route->is_stream) return OnRunFailed("resume_refused");
    ReleaseRun(RunOutcome::kCompleted);
    m_exchange->End();
    return Finish("completed", status, "");
  }
  if (!IsSuccess(status) && m_route->IsRetryable()) {
    m_may_have_run = true;
    ReleaseRun(RunOutcome::kFailed);
    m_excluded_backends.insert(m_backend_id);
    const HttpHead head = m_response_head;
    const std::string body = m_response_body;
    if (m_send_count < m_route->max_backends && TryResubmit(true)) return;
    if (m_state == State::kEnded) return;
    if (ImpliesNotRun(status)) return Fail("unfounded_promise");
    m_exchange->Send(status, m_context.protocol.EncodeResponse(head), body);
    return Finish("failed_by_backend", status, "");
  }
  // Callers take these statuses as a promise that the request did not run, but only an explicit
  // not-run response of the backend server makes that certain.
  if (ImpliesNotRun(status)) return OnRunFailed("unfounded_promise");
  ReleaseRun(IsSuccess(status) ? RunOutcome::kCompleted : RunOutcome::kFailed);
  m_exchange->Send(status, m_context.protocol.EncodeResponse(m_response_head), m_response_body);
  Finish(IsSuccess(status) ? "completed" : "failed_by_backend", status, "");
}

void Call::OnNotRun() {
  const ResponseFields& response = m_response;
  ReleaseRun(RunOutcome::kNotRun);
  m_context.dispatcher.AvoidBackend(
      m_backend_id, response.is_wrong_backend ? kWrongBackendAvoidDuration : kAvoidDuration, false);
  m_excluded_backends.insert(m_backend_id);
  LogEvent(EventId::kNotRunByBackend, {{"request", m_request.id.Text()},
                                       {"backend", m_backend_id.Text()},
                                       {"status", std::int64_t{m_response_head.status}}});
  if (m_send_count < m_route->max_backends && TryResubmit(true)) return;
  if (m_state == State::kEnded) return;
  if (HasResponseStarted() || m_may_have_run) return Fail("not_repeated");
  Refuse(kUnavailable, "backend_refused", kRetryAfterUnavailable);
}

void Call::OnRunFailed(const std::string& reason) {
  m_may_have_run = m_may_have_run || m_was_sent;
  ReleaseRun(OutcomeOf(reason));
  m_excluded_backends.insert(m_backend_id);
  m_event_splitter.DiscardPartial();
  m_response_body = std::string();
  m_held.Release();
  LogEvent(EventId::kRunFailed, {{"request", m_request.id.Text()},
                                 {"backend", m_backend_id.Text()},
                                 {"reason", reason},
                                 {"events", static_cast<std::int64_t>(m_run_event_count)}});
  const bool may_retry =
      HasResponseStarted() ? m_route->is_resumable && m_route->is_stream : m_route->IsRetryable();
  if (may_retry && m_send_count < m_route->max_backends && TryResubmit(true)) return;
  if (m_state != State::kEnded) Fail("run_failed");
}

RunOutcome Call::OutcomeOf(const std::string& reason) {
  if (reason != kConnectionLost) return RunOutcome::kFailed;
  const bool is_evidence = m_context.path_monitor.RecordLoss(m_backend_id);
  if (m_run_event_count > 0) return is_evidence ? RunOutcome::kFailed : RunOutcome::kCancelled;
  // A server that crashes may accept connections until all of its process has ended.
  m_context.loop.RunAfter(
      kProbeDelay, [&monitor = m_context.path_monitor, id = m_backend_id] { monitor.Probe(id); });
  return is_evidence ? RunOutcome::kLost : RunOutcome::kCancelled;
}

bool Call::TryResubmit(bool was_sent) {
  const bool has_time = RemainingTime() > Millis{0};
  bool is_allowed = has_time;
  if (was_sent) {
    is_allowed =
        is_allowed && m_context.retry_budgets.For(m_service).TryRetry(m_context.loop.Now());
  } else {
    is_allowed = is_allowed && ++m_unsent_retry_count <= kMaxUnsentRetries;
  }
  if (is_allowed) {
    Submit();
    return true;
  }
  if (was_sent) return false;
  if (HasResponseStarted()) {
    Fail("not_resumed");
  } else if (m_may_have_run) {
    Fail("no_backend_reachable");
  } else {
    Refuse(kUnavailable, "no_backend_reachable", kRetryAfterUnavailable);
  }
  return false;
}

void Call::ReleaseRun(RunOutcome outcome) {
  RunReport report;
  report.outcome = outcome;
  if (m_first_event_at) {
    report.time_to_first_event = std::chrono::duration_cast<Millis>(*m_first_event_at - m_sent_at);
    if (m_event_gaps.Count() >= kMinGapSamples)
      report.event_gap_ms = static_cast<double>(m_event_gaps.LowerTercile().count()) / 1000;
  }
  m_context.dispatcher.ReleaseRun(m_request.id, report);
}

void Call::OnTimeout() {
  switch (m_state) {
    case State::kNew:
    case State::kEnded:
      return;
    case State::kWaiting:
      m_context.dispatcher.Withdraw(m_request.id);
      if (HasResponseStarted() || m_may_have_run) return Fail("timeout");
      return Refuse(kUnavailable, "timeout_waiting", std::nullopt);
    case State::kSent:
    case State::kResponding:
      ReleaseRun(RunOutcome::kCancelled);
      return Fail("timeout");
    case State::kForwarded:
      return Fail("timeout");
  }
}

void Call::OnBodyEvicted() {
  // The body is pinned when the request is sent, so it has not run.
  if (m_state == State::kEnded) return;
  if (m_state == State::kWaiting) m_context.dispatcher.Withdraw(m_request.id);
  m_exchange->ReleaseBody();
  Refuse(kUnavailable, "memory_limit", kRetryAfterUnavailable);
}

void Call::OnCallerDisconnected() {
  if (m_state == State::kEnded) return;
  if (m_state == State::kWaiting) m_context.dispatcher.Withdraw(m_request.id);
  if (m_state == State::kSent || m_state == State::kResponding) ReleaseRun(RunOutcome::kCancelled);
  Finish("caller_gone", 0, "");
}

void Call::RefuseIfWaiting(TimePoint exit_at) {
  if (m_state != State::kWaiting || m_may_have_run || HasResponseStarted()) return;
  if (m_deadline <= exit_at) return;
  m_context.dispatcher.Withdraw(m_request.id);
  Refuse(kUnavailable, "stopping", kRetryAfterUnavailable);
}

void Call::Abort() {
  if (m_state == State::kEnded) return;
  if (m_state == State::kWaiting) m_context.dispatcher.Withdraw(m_request.id);
  if (m_state == State::kSent || m_state == State::kResponding) {
    m_may_have_run = m_may_have_run || m_was_sent;
    ReleaseRun(RunOutcome::kCancelled);
  }
  if (m_state == State::kForwarded) m_may_have_run = m_may_have_run || m_was_sent;
  if (!m_may_have_run && !HasResponseStarted())
    return Refuse(kUnavailable, "stopping", kRetryAfterUnavailable);
  Fail("stopping");
}

void Call::Refuse(int status, const char* reason, std::optional<Millis> retry_after) {
  m_exchange->Send(status, m_context.protocol.EncodeLocalResponse(m_request.id, retry_after), "");
  Finish("refused", status, reason);
}

void Call::Fail(const char* reason) {
  if (HasResponseStarted()) {
    m_exchange->Abort();
    return Finish("cut", 0, reason);
  }
  const int status = std::string_view{reason} == "timeout" ? kGatewayTimeout : kBadGateway;
  m_exchange->Send(status, m_context.protocol.EncodeLocalResponse(m_request.id, std::nullopt), "");
  Finish("failed", status, reason);
}

}  // namespace bluebellpass::gateway
