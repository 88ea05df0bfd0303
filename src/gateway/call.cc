#include "call.h"

#include <algorithm>

#include "bluebellpass/event.h"
#include "kernel/loop.h"

namespace bluebellpass::gateway {
namespace {

// Longest time that a request without a deadline of its caller or its route is kept.
constexpr Millis kLongestCall{60'000};
// Tries to reach other backend servers after connections that were not established.
constexpr int kMaxUnsentTries = 3;
// How long a backend server that refused a connection or turned work away gets none.
constexpr Millis kAvoidTime{500};
// A backend server behind whose address another one answers is of no use until it registers anew.
constexpr Millis kAvoidMovedTime{5'000};
// An instance that has just started keeps requests for this long until it has a configuration,
// which mostly takes less than the round trip of a refused caller.
constexpr Millis kLongestStart{1'000};
// Advice to callers when this instance cannot serve now.
constexpr Millis kRetryUnready{300};
// Unsent bytes of an answer above which reading from the backend server pauses.
constexpr std::size_t kMaxUnsentBytes = 256U << 10U;
constexpr Millis kBackpressurePeriod{20};
// Longer answers that are no streams are passed on in parts.
constexpr std::size_t kMaxWholeAnswer = 4U << 20U;
// A failure's body or an event of a stream that is larger has no end.
constexpr std::size_t kMaxUnfinished = 1U << 20U;
constexpr std::int64_t kDefaultOutputTokens = 200;
// Fewer pauses between events say little about a backend server's speed.
constexpr std::size_t kLeastGaps = 4;

constexpr char kConnectionLost[] = "connection_lost";

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Callers of streams leave after a pause that is the longest of three: a fixed time, a multiple of
// the objective and a multiple of the bound on pauses.
constexpr Millis kLeastPatience{2'000};
constexpr int kPatienceObjectives = 4;
constexpr int kPatienceGaps = 8;

/// @return how long a caller waits for the first part of its answer
Millis PatienceOf(const Route& route) {
  if (!route.is_stream) return kLongestCall;
  return std::max({kLeastPatience, kPatienceObjectives * route.latency_objective,
                   kPatienceGaps * route.max_event_gap});
}

/// @return true for statuses that tell the caller that its request did not run
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == kTooManyRequests || status == kUnavailable;
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

Call::Call(const CallContext& context, std::shared_ptr<HttpExchange> exchange,
           std::function<void()> on_end)
    : m_context(context),
      m_exchange(std::move(exchange)),
      m_on_end(std::move(on_end)),
      m_arrived(context.loop.Now()),
      m_timer(context.loop),
      m_backpressure_timer(context.loop) {}

void Call::Begin() {
  m_exchange->OnClosed([self = shared_from_this()] { self->OnCallerGone(); });
  if (!Decode()) return;
  if (!m_context.knowledge.Table()) return AwaitConfig();
  Enter();
}

void Call::AwaitConfig() {
  m_timer.Start(kLongestStart, [self = shared_from_this()] {
    self->Refuse(kUnavailable, "no_config", kRetryUnready);
  });
  m_context.knowledge.WhenReady([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->m_state == State::kNew) self->Enter();
  });
}

void Call::Enter() {
  m_timer.Stop();
  if (!Admit()) return;
  m_context.retry_budgets.For(m_service).RecordRequest(m_arrived);
  Submit();
}

bool Call::Decode() {
  Result<CallerRequest> request = m_context.protocol.DecodeRequest(m_exchange->Head());
  if (!IsOk(request)) {
    Refuse(400, ErrorOf(request).field.c_str(), std::nullopt);
    return false;
  }
  m_request = std::get<CallerRequest>(std::move(request));
  return true;
}

bool Call::Admit() {
  m_table = m_context.knowledge.Table();
  m_route = m_table->FindRoute(m_request.host, m_request.path);
  if (m_route == nullptr || m_route->targets.empty()) {
    if (m_context.knowledge.MayDenyRequests()) {
      Refuse(kNotFound, "no_route", std::nullopt);
    } else {
      Refuse(kUnavailable, "no_route_stale", kRetryUnready);
    }
    return false;
  }
  if (!Identify()) return false;
  m_service = RoutingTable::PickService(*m_route, m_request.id);
  SetTimes();
  return true;
}

bool Call::Identify() {
  if (!m_request.key.empty()) m_organisation = m_table->FindOrganisationByKey(m_request.key);
  if (m_route->is_public || m_table->SourceConfig().organisations.empty()) return true;
  if (m_organisation == nullptr) {
    if (m_context.knowledge.MayDenyRequests()) {
      Refuse(kUnauthorized, "unknown_key", std::nullopt);
    } else {
      Refuse(kUnavailable, "unknown_key_stale", kRetryUnready);
    }
    return false;
  }
  if (m_context.knowledge.MayAcceptKeys()) return true;
  Refuse(kUnavailable, "config_stale", kRetryUnready);
  return false;
}

void Call::SetTimes() {
  Millis longest = kLongestCall;
  if (m_request.deadline) longest = std::min(longest, *m_request.deadline);
  if (m_route->timeout > Millis{0}) longest = std::min(longest, m_route->timeout);
  m_deadline = m_arrived + longest;
  m_timer.Start(std::max(Remaining(), Millis{1}),
                [self = shared_from_this()] { self->OnTimeout(); });
}

Millis Call::Remaining() const {
  return std::chrono::duration_cast<Millis>(m_deadline - m_context.loop.Now());
}

void Call::Submit() {
  m_state = State::kWaiting;
  RequestInfo work;
  work.id = m_request.id;
  work.service = m_service;
  work.route = m_route->name;
  if (m_organisation != nullptr) work.organisation = m_organisation->id;
  work.rank = m_organisation != nullptr && m_organisation->rank
                  ? std::min(*m_organisation->rank, m_route->rank)
                  : m_route->rank;
  work.arrived = m_arrived;
  work.latency_objective = m_route->latency_objective;
  work.deadline = m_deadline;
  work.prompt_tokens = m_request.prompt_tokens.value_or(0);
  if (m_request.prompt_tokens) {
    const std::int64_t most =
        m_request.max_output_tokens > 0 ? m_request.max_output_tokens : kDefaultOutputTokens;
    work.output_tokens = m_request.output_hint.value_or(most);
    // The caller's estimate may be far above what it allows.
    if (m_request.max_output_tokens > 0) work.output_tokens = std::min(work.output_tokens, most);
  }
  work.max_event_gap = m_route->max_event_gap;
  work.patience = PatienceOf(*m_route);
  work.excluded_backends = m_failed_backends;
  if (m_organisation != nullptr) work.quota_cost = QuotaLimiter::CostOf(*m_organisation, m_request);
  work.fingerprint = StableHash(m_exchange->Body(),
                                StableHash(work.organisation.Text(), StableHash(m_request.path)));
  work.is_retry = m_sends > 0 || m_unsent_tries > 0;
  work.is_retryable = m_route->IsRetryable() && m_sends + 1 < m_route->max_backends;
  m_context.dispatcher.Submit(std::move(work), this);
}

void Call::OnRefusal(RefusalReason reason, Millis retry_after) {
  if (m_state != State::kWaiting) return;
  if (HasAnswerStarted() || m_may_have_run) return Fail("not_repeated");
  // The caller could not be answered in time any more, or only its own content is at fault.
  const bool may_return =
      reason != RefusalReason::kTooLate && reason != RefusalReason::kQuarantined;
  Refuse(reason == RefusalReason::kQuota ? kTooManyRequests : kUnavailable, NameOf(reason).data(),
         may_return ? std::optional(retry_after) : std::nullopt);
}

void Call::OnGrant(const BackendId& id) {
  if (m_state != State::kWaiting) return;
  m_backend = id;
  m_was_sent = false;
  const Backend* backend = m_context.knowledge.FindBackend(id);
  // The process may have been suspended since the decision, so all that allows the send is checked
  // again.
  const bool needs_key = m_organisation != nullptr || !m_route->is_public;
  if (needs_key && !m_context.knowledge.MayAcceptKeys()) {
    ReleaseRun(RunOutcome::kNotRun);
    if (HasAnswerStarted() || m_may_have_run) return Fail("config_stale");
    return Refuse(kUnavailable, "config_stale", kRetryUnready);
  }
  if (backend == nullptr || backend->is_draining || backend->service != m_service) {
    ReleaseRun(RunOutcome::kNotRun);
    m_failed_backends.insert(id);
    TryAgain(false);
    return;
  }
  Send(*backend);
}

void Call::Send(const Backend& backend) {
  DispatchFields fields;
  fields.expected_backend = backend.id;
  fields.deadline = std::max(Remaining(), Millis{1});
  if (m_organisation != nullptr) fields.organisation = m_organisation->id;
  if (HasAnswerStarted())
    fields.last_event_id = m_events.LastEventId().value_or(m_request.last_event_id);
  const HttpHead& head = m_exchange->Head();
  std::vector<HttpField> lines =
      m_context.protocol.EncodeBackendRequest(head, backend.address, fields);
  const std::string& body = m_exchange->Body();
  if (!body.empty() || head.content_length || head.is_chunked)
    lines.push_back({"Content-Length", std::to_string(body.size())});
  std::string bytes = SerializeRequest(head.method, head.target, lines);
  bytes += body;
  m_state = State::kSent;
  m_sent_at = m_context.loop.Now();
  m_reply_head = {};
  m_reply_body.clear();
  m_run_events = 0;
  m_gaps = {};
  m_first_event_at.reset();
  LogEvent(EventId::kSent, {{"request", m_request.id.Text()},
                            {"backend", backend.id.Text()},
                            {"waited_ms", (m_sent_at - m_arrived) / Millis{1}},
                            {"remaining_ms", fields.deadline->count()},
                            {"config_age_ms", m_context.knowledge.ConfigAge().count()}});
  m_call = m_context.pool.Start(backend.address, std::move(bytes), Events());
}

PooledCallHandlers Call::Events() {
  PooledCallHandlers events;
  const auto self = shared_from_this();
  events.on_sent = [self] {
    // Runs inside Start for a connection that stands.
    self->m_was_sent = true;
    ++self->m_sends;
  };
  events.on_head = [self](const HttpHead& head) { return self->OnHead(head); };
  events.on_body = [self](std::string_view bytes) { self->OnBody(bytes); };
  events.on_end = [self](PooledCallResult end) { self->OnCallEnd(end); };
  return events;
}

bool Call::OnHead(const HttpHead& head) {
  if (m_state != State::kSent) return true;
  const ResponseFields reply = m_context.protocol.DecodeResponse(head);
  if (reply.has_id && reply.id != m_request.id) return false;
  m_reply_head = head;
  return true;
}

void Call::OnBody(std::string_view bytes) {
  if (m_state != State::kSent && m_state != State::kAnswering) return;
  const ResponseFields reply = m_context.protocol.DecodeResponse(m_reply_head);
  const bool is_answer = IsSuccess(m_reply_head.status) && reply.has_id && reply.has_signature;
  if (is_answer && m_route->is_stream) return PassStream(bytes);
  m_reply_body.append(bytes);
  if (!is_answer && m_reply_body.size() > kMaxUnfinished)
    return OnCallEnd(PooledCallResult::kMalformedResponse);
  if (!is_answer || m_reply_body.size() <= kMaxWholeAnswer) return;
  if (!HasAnswerStarted()) {
    m_exchange->Start(m_reply_head.status, m_context.protocol.EncodeResponse(m_reply_head));
    m_state = State::kAnswering;
  }
  m_exchange->Write(m_reply_body);
  m_reply_body.clear();
  CheckBackpressure();
}

void Call::PassStream(std::string_view bytes) {
  const TimePoint now = m_context.loop.Now();
  const std::size_t before = m_events.EventCount();
  const std::string_view whole = m_events.Append(bytes);
  if (m_events.PartialBytes() > kMaxUnfinished)
    return OnCallEnd(PooledCallResult::kMalformedResponse);
  if (whole.empty()) return;
  if (!HasAnswerStarted()) {
    m_exchange->Start(m_reply_head.status, m_context.protocol.EncodeResponse(m_reply_head));
  }
  m_state = State::kAnswering;
  if (!m_first_event_at) {
    m_first_event_at = now;
    const auto after = std::chrono::duration_cast<Millis>(now - m_sent_at);
    m_context.dispatcher.RecordFirstEvent(m_request.id, after);
  }
  if (m_run_events > 0) m_gaps.Add(now - m_last_event_at);
  m_last_event_at = now;
  m_run_events += m_events.EventCount() - before;
  m_exchange->Write(whole);
  CheckBackpressure();
}

void Call::CheckBackpressure() {
  if (m_exchange->PendingBytes() <= kMaxUnsentBytes || !m_call) return;
  m_call->SetPaused(true);
  m_backpressure_timer.StartPeriodic(kBackpressurePeriod, [self = shared_from_this()] {
    if (self->m_call && self->m_exchange->PendingBytes() > kMaxUnsentBytes / 2) return;
    if (self->m_call) self->m_call->SetPaused(false);
    self->m_backpressure_timer.Stop();
  });
}

void Call::DropPoolCall() {
  // The call may be running one of its handlers.
  if (m_call) m_context.loop.Post([call = std::shared_ptr<PooledCall>(std::move(m_call))] {});
  m_call.reset();
}

void Call::OnCallEnd(PooledCallResult end) {
  if (m_state != State::kSent && m_state != State::kAnswering) return;
  DropPoolCall();
  switch (end) {
    case PooledCallResult::kComplete:
      return OnWhole();
    case PooledCallResult::kConnectFailed: {
      ReleaseRun(RunOutcome::kNotRun);
      m_context.dispatcher.AvoidBackend(m_backend, kAvoidTime, true);
      m_failed_backends.insert(m_backend);
      TryAgain(false);
      return;
    }
    case PooledCallResult::kConnectionBroken:
      return OnRunFailed(kConnectionLost);
    case PooledCallResult::kMalformedResponse:
      return OnRunFailed("malformed_reply");
  }
}

void Call::OnWhole() {
  const ResponseFields reply = m_context.protocol.DecodeResponse(m_reply_head);
  const int status = m_reply_head.status;
  if (reply.is_not_run) return OnNotRun();
  if (!reply.has_id || (IsSuccess(status) && !reply.has_signature))
    return OnRunFailed("unsigned_reply");
  if (IsSuccess(status) && m_route->is_stream) {
    if (m_events.PartialBytes() != 0) return OnRunFailed("partial_event");
    ReleaseRun(RunOutcome::kCompleted);
    if (!HasAnswerStarted())
      m_exchange->Start(status, m_context.protocol.EncodeResponse(m_reply_head));
    m_exchange->End();
    return Finish("completed", status, "");
  }
  if (HasAnswerStarted()) {
    // A resumed stream was answered with a failure, or a long answer has come to its end.
    if (m_route->is_stream) return OnRunFailed("resume_refused");
    ReleaseRun(RunOutcome::kCompleted);
    m_exchange->Write(m_reply_body);
    m_exchange->End();
    return Finish("completed", status, "");
  }
  if (!IsSuccess(status) && m_route->IsRetryable()) {
    m_may_have_run = true;
    ReleaseRun(RunOutcome::kFailed);
    m_failed_backends.insert(m_backend);
    const HttpHead head = m_reply_head;
    const std::string body = m_reply_body;
    if (m_sends < m_route->max_backends && TryAgain(true)) return;
    if (m_state == State::kEnded) return;
    if (IsPromise(status)) return Fail("unfounded_promise");
    m_exchange->Send(status, m_context.protocol.EncodeResponse(head), body);
    return Finish("failed_by_backend", status, "");
  }
  // These statuses promise that the request did not run, which only the backend server's explicit
  // word would make true.
  if (IsPromise(status)) return OnRunFailed("unfounded_promise");
  ReleaseRun(IsSuccess(status) ? RunOutcome::kCompleted : RunOutcome::kFailed);
  m_exchange->Send(status, m_context.protocol.EncodeResponse(m_reply_head), m_reply_body);
  Finish(IsSuccess(status) ? "completed" : "failed_by_backend", status, "");
}

void Call::OnNotRun() {
  const ResponseFields reply = m_context.protocol.DecodeResponse(m_reply_head);
  ReleaseRun(RunOutcome::kNotRun);
  m_context.dispatcher.AvoidBackend(m_backend,
                                    reply.is_wrong_backend ? kAvoidMovedTime : kAvoidTime, false);
  m_failed_backends.insert(m_backend);
  LogEvent(EventId::kNotRunByBackend, {{"request", m_request.id.Text()},
                                       {"backend", m_backend.Text()},
                                       {"status", std::int64_t{m_reply_head.status}}});
  if (m_sends < m_route->max_backends && TryAgain(true)) return;
  if (m_state == State::kEnded) return;
  if (HasAnswerStarted() || m_may_have_run) return Fail("not_repeated");
  Refuse(kUnavailable, "backend_refused", kRetryUnready);
}

void Call::OnRunFailed(const std::string& reason) {
  m_may_have_run = m_may_have_run || m_was_sent;
  const bool is_lost = reason == kConnectionLost && m_run_events == 0;
  ReleaseRun(is_lost ? RunOutcome::kLost : RunOutcome::kFailed);
  m_failed_backends.insert(m_backend);
  m_events.DiscardPartial();
  LogEvent(EventId::kRunFailed, {{"request", m_request.id.Text()},
                                 {"backend", m_backend.Text()},
                                 {"reason", reason},
                                 {"events", static_cast<std::int64_t>(m_run_events)}});
  const bool may_repeat =
      HasAnswerStarted() ? m_route->is_resumable && m_route->is_stream : m_route->IsRetryable();
  if (may_repeat && m_sends < m_route->max_backends && TryAgain(true)) return;
  if (m_state != State::kEnded) Fail("run_failed");
}

bool Call::TryAgain(bool was_sent) {
  const bool has_time = Remaining() > Millis{0};
  bool is_allowed = has_time;
  if (was_sent) {
    is_allowed =
        is_allowed && m_context.retry_budgets.For(m_service).TryRetry(m_context.loop.Now());
  } else {
    is_allowed = is_allowed && ++m_unsent_tries <= kMaxUnsentTries;
  }
  if (is_allowed) {
    Submit();
    return true;
  }
  if (was_sent) return false;
  if (HasAnswerStarted()) {
    Fail("not_resumed");
  } else if (m_may_have_run) {
    Fail("no_backend_reachable");
  } else {
    Refuse(kUnavailable, "no_backend_reachable", kRetryUnready);
  }
  return false;
}

void Call::ReleaseRun(RunOutcome outcome) {
  RunReport report;
  report.outcome = outcome;
  if (m_first_event_at) {
    report.first_event = std::chrono::duration_cast<Millis>(*m_first_event_at - m_sent_at);
    if (m_gaps.Count() >= kLeastGaps)
      report.event_gap_ms = static_cast<double>(m_gaps.LowerTercile().count()) / 1000;
  }
  m_context.dispatcher.Release(m_request.id, report);
}

void Call::OnTimeout() {
  switch (m_state) {
    case State::kNew:
    case State::kEnded:
      return;
    case State::kWaiting:
      m_context.dispatcher.Withdraw(m_request.id);
      if (HasAnswerStarted() || m_may_have_run) return Fail("timeout");
      return Refuse(kUnavailable, "timeout_waiting", std::nullopt);
    case State::kSent:
    case State::kAnswering:
      ReleaseRun(RunOutcome::kCancelled);
      return Fail("timeout");
  }
}

void Call::OnCallerGone() {
  if (m_state == State::kEnded) return;
  if (m_state == State::kWaiting) m_context.dispatcher.Withdraw(m_request.id);
  if (m_state == State::kSent || m_state == State::kAnswering) ReleaseRun(RunOutcome::kCancelled);
  Finish("caller_gone", 0, "");
}

void Call::Stop() {
  if (m_state != State::kWaiting || m_may_have_run) return;
  m_context.dispatcher.Withdraw(m_request.id);
  Refuse(kUnavailable, "stopping", kRetryUnready);
}

void Call::Abort() {
  if (m_state == State::kEnded) return;
  if (m_state == State::kWaiting) m_context.dispatcher.Withdraw(m_request.id);
  if (m_state == State::kSent || m_state == State::kAnswering) {
    m_may_have_run = m_may_have_run || m_was_sent;
    ReleaseRun(RunOutcome::kCancelled);
  }
  if (!m_may_have_run && !HasAnswerStarted())
    return Refuse(kUnavailable, "stopping", kRetryUnready);
  Fail("stopping");
}

void Call::Refuse(int status, const char* reason, std::optional<Millis> retry_after) {
  m_exchange->Send(status, m_context.protocol.EncodeLocalResponse(m_request.id, retry_after), "");
  Finish("refused", status, reason);
}

void Call::Fail(const char* reason) {
  if (HasAnswerStarted()) {
    m_exchange->Abort();
    return Finish("cut", 0, reason);
  }
  const int status = std::string_view{reason} == "timeout" ? kGatewayTimeout : kBadGateway;
  m_exchange->Send(status, m_context.protocol.EncodeLocalResponse(m_request.id, std::nullopt), "");
  Finish("failed", status, reason);
}

void Call::Finish(const char* outcome, int status, const char* reason) {
  m_state = State::kEnded;
  m_timer.Stop();
  m_backpressure_timer.Stop();
  DropPoolCall();
  m_exchange->OnClosed(nullptr);
  const auto total = m_context.loop.Now() - m_arrived;
  const std::string route = m_route == nullptr ? "" : m_route->name;
  LogEvent(EventId::kAnswered,
           {{"request", m_request.id.Text()},
            {"route", route},
            {"outcome", outcome},
            {"reason", reason},
            {"status", std::int64_t{status}},
            {"backend", m_backend.Text()},
            {"sends", std::int64_t{m_sends}},
            {"ms", total / Millis{1}},
            {"first_event_ms", m_first_event_at ? (*m_first_event_at - m_sent_at) / Millis{1} : -1},
            {"gap_us", static_cast<std::int64_t>(m_gaps.LowerTercile().count())},
            {"events", static_cast<std::int64_t>(m_run_events)},
            {"prompt_tokens", m_request.prompt_tokens.value_or(0)},
            {"most_output_tokens", m_request.max_output_tokens},
            {"output_hint", m_request.output_hint.value_or(-1)},
            {"config", static_cast<std::int64_t>(m_table ? m_table->Version().Value() : 0)}});
  m_context.metrics.ObserveLatency("gateway_request_ms",
                                   total / std::chrono::duration<double, std::milli>(1),
                                   "outcome=\"" + std::string(outcome) + "\"");
  if (m_first_event_at)
    m_context.metrics.ObserveLatency(
        "gateway_first_event_ms",
        (*m_first_event_at - m_arrived) / std::chrono::duration<double, std::milli>(1));
  m_context.metrics.IncrementCounter(
      "gateway_requests", "outcome=\"" + std::string(outcome) + "\",reason=\"" + reason + "\"");
  if (const auto on_end = std::exchange(m_on_end, nullptr)) on_end();
}

}  // namespace bluebellpass::gateway
