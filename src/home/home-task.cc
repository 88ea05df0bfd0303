#include "home-task.h"

#include <algorithm>
#include <utility>

#include "bluebellpass/event.h"
#include "home-request.h"

namespace bluebellpass {
namespace {

constexpr Millis kExpiryPeriod{1'000};
// Time for a disconnected caller to fetch its answer.
constexpr Millis kMinAnswerRetention{60'000};
constexpr std::size_t kMaxRefusals = 1'000;
// Limits the data passed to a sink at once, so that a slow reader does not buffer a second copy of
// the answer.
constexpr std::size_t kMaxChunkBytes = 64U << 10U;

/// Frees the memory of a string. Assigning an empty string would keep the capacity.
void ReleaseMemory(std::string& text) { std::string().swap(text); }

}  // namespace

HomeTask::HomeTask(HomeContext context)
    : m_context(context),
      m_started_at(context.loop.Now()),
      m_expiry_timer(context.loop),
      m_resync_timer(context.loop) {
  m_expiry_timer.StartPeriodic(kExpiryPeriod, [this] { RemoveExpired(); });
}

HomeTask::~HomeTask() = default;

Ticket HomeTask::IssueTicket() const {
  const auto uptime =
      std::chrono::duration_cast<std::chrono::seconds>(m_context.loop.Now() - m_started_at);
  const InstanceInfo& self = m_context.network.Self();
  return {self.id, self.incarnation, static_cast<std::uint64_t>(uptime.count())};
}

HomeTask::Request* HomeTask::FindRequest(const RequestId& id) {
  const auto found = m_requests.find(id);
  return found == m_requests.end() ? nullptr : found->second.get();
}

std::optional<Error> HomeTask::CheckTicket(const Ticket& ticket) const {
  const Ticket current = IssueTicket();
  if (ticket.instance != current.instance || ticket.incarnation != current.incarnation) {
    return Error{ErrorKind::kHomeUnreachable, "the instance that issued the ticket has restarted",
                 "bluebellpass-request-id"};
  }
  if (ticket.issued_s > current.issued_s + 1) {
    return Error{ErrorKind::kBadRequestId, "the issue time of the ticket is in the future",
                 "bluebellpass-request-id"};
  }
  if (ticket.issued_s + kTicketValiditySeconds < current.issued_s) {
    return Error{ErrorKind::kTicketExpired, "the ticket has expired; the request may have run",
                 "bluebellpass-request-id"};
  }
  return std::nullopt;
}

void HomeTask::Submit(const ParsedRequestId& id, std::string_view body,
                      std::shared_ptr<AnswerSink> sink, bool is_detachable) {
  const RequestId request_id(id.ticket.Text() + "." + id.nonce);
  if (Request* known = FindRequest(request_id)) {
    LogEvent(EventId::kDuplicate, {{"request", request_id.Text()}});
    AttachReader(*known, std::move(sink), 0);
    return;
  }
  if (const auto error = CheckTicket(id.ticket)) {
    sink->OnEnd(MakeErrorEnd(*error));
    return;
  }
  auto new_request = std::make_unique<Request>(m_context.loop);
  Request& request = *new_request;
  request.id = request_id;
  request.ticket_issued_s = id.ticket.issued_s;
  request.is_detachable = is_detachable;
  request.received_at = m_context.loop.Now();
  request.deadline = request.received_at;
  m_requests.emplace(request_id, std::move(new_request));
  AttachReader(request, std::move(sink), 0);
  AcceptSubmission(request, body);
}

void HomeTask::AcceptSubmission(Request& request, std::string_view body) {
  // A refused request is kept too: once reported as not run, an id must never run.
  if (m_is_stopping) {
    return RefuseRequest(request, ErrorKind::kStopping,
                         "the instance is stopping; use another one");
  }
  Result<Submission> parsed = ParseSubmission(body, m_context.config.Current().config);
  if (!IsOk(parsed)) return EndRequest(request, MakeErrorEnd(ErrorOf(parsed)));
  request.submission = std::get<Submission>(std::move(parsed));
  const Submission& submission = request.submission;
  request.deadline = request.received_at + submission.deadline;
  LogEvent(EventId::kReceived,
           {{"request", request.id.Text()},
            {"organisation", submission.organisation.Text()},
            {"tier", submission.tier.Text()},
            {"pool", submission.pool.Text()},
            {"tokens", submission.prompt_tokens.Value() + submission.max_tokens.Value()},
            {"idempotent", std::int64_t{submission.is_idempotent}}});
  if (IsBelowFloor(submission.pool, submission.rank)) {
    return RefuseRequest(request, ErrorKind::kOverloaded,
                         "requests of more urgent tiers use the whole capacity");
  }
  request.deadline_timer.Start(submission.deadline, [this, id = request.id] { OnDeadline(id); });
  if (submission.is_idempotent) {
    request.phase = Phase::kWaiting;
    Reserve(request);
  } else {
    BeginClaim(request);
  }
}

void HomeTask::BeginClaim(Request& request) {
  request.phase = Phase::kClaiming;
  request.has_claim = true;
  m_context.ledger.Claim(
      request.GetClaimKey(), request.id,
      [this, id = request.id](const ClaimOutcome& outcome) { OnClaim(id, outcome); });
}

void HomeTask::OnClaim(const RequestId& id, const ClaimOutcome& outcome) {
  Request* request = FindRequest(id);
  if (request == nullptr || request->phase != Phase::kClaiming) return;
  if (const auto* taken = std::get_if<ClaimTaken>(&outcome)) {
    request->has_claim = false;
    RedirectToKeyHolder(*request, taken->holder);
    return;
  }
  request->phase = Phase::kWaiting;
  Reserve(*request);
}

void HomeTask::RedirectToKeyHolder(Request& request, const RequestId& holder) {
  request.phase = Phase::kRedirected;
  request.key_holder = holder;
  request.ended_at = m_context.loop.Now();
  request.deadline_timer.Stop();
  ReleaseMemory(request.submission.prompt);
  std::vector<Reader> readers = std::exchange(request.readers, {});
  for (Reader& reader : readers) AttachReader(request, std::move(reader.sink), reader.next_offset);
}

void HomeTask::OnDeadline(const RequestId& id) {
  Request* request = FindRequest(id);
  if (request == nullptr || !request->IsUndispatched()) return;
  RefuseRequest(*request, ErrorKind::kDeadlineExceeded, "the deadline passed before dispatch");
}

void HomeTask::RefuseRequest(Request& request, ErrorKind kind, const std::string& message) {
  EndRequest(request, MakeErrorEnd(Error{kind, message, ""}));
}

void HomeTask::EndRequest(Request& request, AnswerEnd end) {
  if (request.phase == Phase::kEnded) return;
  const bool was_dispatched = request.phase == Phase::kDispatched;
  if (request.phase == Phase::kWaiting) CancelReservation(request);
  if (!was_dispatched && request.has_claim) {
    m_context.ledger.Void(request.GetClaimKey(), request.id);
    request.has_claim = false;
  }
  request.phase = Phase::kEnded;
  request.ended_at = m_context.loop.Now();
  request.deadline_timer.Stop();
  request.retry_timer.Stop();
  // The request is kept until its ticket expires, but the prompt is no longer needed.
  ReleaseMemory(request.submission.prompt);
  DestroyRun(request);
  const std::string error = end.error ? std::string(GetErrorInfo(end.error->kind).name) : "";
  m_context.metrics.IncrementCounter(
      "requests_total", "tier=\"" + request.submission.tier.Text() + "\",outcome=\"" +
                            std::string(OutcomeName(end.outcome)) + "\",error=\"" + error + "\"");
  EventId event = EventId::kCompleted;
  if (end.outcome == Outcome::kNotRun) event = EventId::kNotRun;
  if (end.outcome == Outcome::kUnknown) event = EventId::kUnknown;
  LogEvent(event, {{"request", request.id.Text()},
                   {"tier", request.submission.tier.Text()},
                   {"pool", request.submission.pool.Text()},
                   {"error", error},
                   {"ms", MillisBetween(request.received_at, request.ended_at)}});
  request.end = std::move(end);
  if (request.end->outcome == Outcome::kNotRun) {
    m_refusals.push_back({MakeRow(request), request.ended_at});
    if (m_refusals.size() > kMaxRefusals) m_refusals.pop_front();
  }
  FeedReaders(request);
}

void HomeTask::Fetch(const ParsedRequestId& id, std::uint64_t offset,
                     std::shared_ptr<AnswerSink> sink) {
  const RequestId request_id(id.ticket.Text() + "." + id.nonce);
  if (Request* known = FindRequest(request_id))
    return AttachReader(*known, std::move(sink), offset);
  if (const auto error = CheckTicket(id.ticket)) return sink->OnEnd(MakeErrorEnd(*error));
  sink->OnEnd(
      MakeErrorEnd({ErrorKind::kNotFound, "no request with this id has been received", "id"}));
}

void HomeTask::AttachReader(Request& request, std::shared_ptr<AnswerSink> sink,
                            std::uint64_t offset) {
  if (request.key_holder) {
    const Result<ParsedRequestId> holder = ParseRequestId(request.key_holder->Text());
    if (!IsOk(holder)) {
      return sink->OnEnd(
          MakeErrorEnd({ErrorKind::kKeyInUse, "the idempotency key is in use", "idempotency_key"}));
    }
    const auto& id = std::get<ParsedRequestId>(holder);
    const InstanceInfo& self = m_context.network.Self();
    if (id.ticket.instance == self.id && id.ticket.incarnation == self.incarnation) {
      return Fetch(id, offset, std::move(sink));
    }
    if (m_remote_fetch) return m_remote_fetch(id, offset, std::move(sink));
    return sink->OnEnd(MakeErrorEnd(
        {ErrorKind::kHomeUnreachable,
         "the home of the request that holds the idempotency key is unreachable", ""}));
  }
  if (request.is_answer_discarded) {
    return sink->OnEnd(
        MakeErrorEnd({ErrorKind::kAnswerExpired, "the answer is no longer available", "id"}));
  }
  if (offset > request.answer.size() && request.end) {
    return sink->OnEnd(
        MakeErrorEnd({ErrorKind::kBadRequest, "offset is beyond the end of the answer", "offset"}));
  }
  m_requests_by_sink[sink.get()] = request.id;
  request.readers.push_back({std::move(sink), offset, false});
  FeedReaders(request);
}

void HomeTask::FeedReaders(Request& request) {
  // A sink's callback may add or remove readers, which would invalidate iterators.
  for (std::size_t i = 0; i < request.readers.size(); ++i) FeedReader(request, request.readers[i]);
  std::erase_if(request.readers, [](const Reader& reader) { return reader.sink == nullptr; });
}

void HomeTask::FeedReader(Request& request, Reader& reader) {
  if (!reader.sink) return;
  if (!reader.sink->IsOpen()) return DropReader(reader);
  if (!reader.has_head && request.head) {
    reader.has_head = true;
    reader.sink->OnHead(*request.head);
  }
  while (reader.next_offset < request.answer.size()) {
    if (!reader.sink->IsReady()) return;
    const std::string_view chunk =
        std::string_view{request.answer}.substr(reader.next_offset, kMaxChunkBytes);
    reader.sink->OnData(reader.next_offset, chunk);
    reader.next_offset += chunk.size();
  }
  if (!request.end) return;
  AnswerEnd end = *request.end;
  end.length = request.answer.size();
  const auto sink = reader.sink;
  DropReader(reader);
  sink->OnEnd(end);
}

void HomeTask::DropReader(Reader& reader) {
  m_requests_by_sink.erase(reader.sink.get());
  reader.sink = nullptr;
}

HomeTask::Request* HomeTask::FindBySink(const AnswerSink* sink) {
  const auto found = m_requests_by_sink.find(sink);
  return found == m_requests_by_sink.end() ? nullptr : FindRequest(found->second);
}

void HomeTask::Detach(const AnswerSink* sink) {
  Request* request = FindBySink(sink);
  if (request == nullptr) return;
  m_requests_by_sink.erase(sink);
  std::erase_if(request->readers,
                [sink](const Reader& reader) { return reader.sink.get() == sink; });
  if (request->is_detachable || !request->readers.empty()) return;
  // No caller knows the id, so the answer cannot be fetched later.
  if (request->IsUndispatched()) {
    RefuseRequest(*request, ErrorKind::kCancelled, "the caller has disconnected");
  } else if (request->phase == Phase::kDispatched && request->submission.is_idempotent) {
    request->run->Cancel();
    ReleaseGrant(*request, ReleaseReason::kCancelled, {});
    EndRequest(*request,
               MakeErrorEnd({ErrorKind::kBackendLost, "the caller has disconnected", ""}));
  }
}

void HomeTask::OnSinkReady(const AnswerSink* sink) {
  if (Request* request = FindBySink(sink)) FeedReaders(*request);
}

void HomeTask::RemoveExpired() {
  const TimePoint now = m_context.loop.Now();
  const std::uint64_t uptime = IssueTicket().issued_s;
  std::erase_if(m_requests, [&](auto& item) {
    Request& request = *item.second;
    const bool has_ended = request.phase == Phase::kEnded || request.phase == Phase::kRedirected;
    if (!has_ended) return false;
    for (Reader& reader : request.readers) {
      if (reader.sink && !reader.sink->IsOpen()) DropReader(reader);
    }
    std::erase_if(request.readers, [](const Reader& reader) { return !reader.sink; });
    const auto age = now - request.ended_at;
    if (age < kMinAnswerRetention || !request.readers.empty()) return false;
    // The id is kept until its ticket has expired, so that it cannot run again.
    DiscardAnswer(request);
    return request.ticket_issued_s + kTicketValiditySeconds + 1 < uptime;
  });
  LimitAnswerMemory();
  for (auto& [pool, floors] : m_floor_promises) {
    std::erase_if(floors, [&](const FloorPromise& floor) { return floor.expires_at <= now; });
  }
}

void HomeTask::DiscardAnswer(Request& request) {
  if (request.is_answer_discarded || request.answer.empty()) return;
  m_answer_bytes -= request.answer.size();
  ReleaseMemory(request.answer);
  request.is_answer_discarded = true;
}

void HomeTask::LimitAnswerMemory() {
  if (m_answer_bytes <= m_context.max_answer_bytes) return;
  // The oldest answers are the least likely to be fetched again.
  std::vector<Request*> discardable;
  for (auto& [id, request] : m_requests) {
    const bool is_discardable = request->phase == Phase::kEnded && request->readers.empty();
    if (is_discardable && !request->answer.empty()) discardable.push_back(request.get());
  }
  std::sort(discardable.begin(), discardable.end(),
            [](const Request* a, const Request* b) { return a->ended_at < b->ended_at; });
  for (Request* request : discardable) {
    if (m_answer_bytes <= m_context.max_answer_bytes) return;
    DiscardAnswer(*request);
  }
  while (m_answer_bytes > m_context.max_answer_bytes) {
    const auto largest =
        std::max_element(m_requests.begin(), m_requests.end(), [](const auto& a, const auto& b) {
          return a.second->answer.size() < b.second->answer.size();
        });
    EndForMemory(*largest->second);
  }
}

void HomeTask::EndForMemory(Request& request) {
  if (request.phase == Phase::kDispatched) {
    if (request.run) request.run->Cancel();
    OnRunFailure(request, RunFailure::kContactLost, "the answer takes too much memory");
  }
  const AnswerEnd end =
      request.end && request.end->error
          ? *request.end
          : MakeErrorEnd({ErrorKind::kAnswerExpired,
                          "the answer was not read and takes too much memory", "id"});
  for (Reader& reader : std::exchange(request.readers, {})) {
    const auto sink = reader.sink;
    DropReader(reader);
    if (sink) sink->OnEnd(end);
  }
  DiscardAnswer(request);
}

void HomeTask::BeginStop() { m_is_stopping = true; }

void HomeTask::RefuseUndispatched() {
  std::vector<Request*> waiting;
  for (auto& [id, request] : m_requests) {
    if (request->IsUndispatched()) waiting.push_back(request.get());
  }
  for (Request* request : waiting) {
    RefuseRequest(*request, ErrorKind::kStopping,
                  "the instance stopped before the request was run");
  }
}

bool HomeTask::IsIdle() const {
  return std::all_of(m_requests.begin(), m_requests.end(), [](const auto& item) {
    const Request& request = *item.second;
    const bool has_ended = request.phase == Phase::kEnded || request.phase == Phase::kRedirected;
    const bool has_reader =
        std::any_of(request.readers.begin(), request.readers.end(),
                    [](const Reader& reader) { return reader.sink && reader.sink->IsOpen(); });
    return has_ended && !has_reader;
  });
}

RequestRow HomeTask::MakeRow(const Request& request) const {
  RequestRow row;
  row.id = request.id;
  row.organisation = request.submission.organisation;
  row.tier = request.submission.tier;
  row.pool = request.submission.pool;
  row.data_centre = m_context.network.Self().data_centre;
  row.age = Millis(MillisBetween(request.received_at, m_context.loop.Now()));
  switch (request.phase) {
    case Phase::kClaiming:
      row.phase = "claiming";
      break;
    case Phase::kWaiting:
      row.phase = "waiting";
      break;
    case Phase::kDispatched:
      row.phase = request.answer.empty() ? "dispatched" : "streaming";
      row.backend = request.grant.backend;
      if (const auto* backend = m_context.config.Current().config.FindBackend(row.backend)) {
        row.data_centre = backend->data_centre;
      }
      break;
    case Phase::kEnded:
    case Phase::kRedirected:
      row.phase = "ended";
      break;
  }
  if (request.end && request.end->error) {
    row.error = std::string(GetErrorInfo(request.end->error->kind).name);
  }
  return row;
}

std::vector<RequestRow> HomeTask::WaitingRequests() const {
  std::vector<RequestRow> rows;
  for (const auto& [id, request] : m_requests) {
    if (request->IsUndispatched()) rows.push_back(MakeRow(*request));
  }
  return rows;
}

std::vector<RequestRow> HomeTask::RunningRequests() const {
  std::vector<RequestRow> rows;
  for (const auto& [id, request] : m_requests) {
    if (request->phase == Phase::kDispatched) rows.push_back(MakeRow(*request));
  }
  return rows;
}

std::vector<RequestRow> HomeTask::RefusedRequests() const {
  std::vector<RequestRow> rows;
  for (const Refusal& refusal : m_refusals) {
    rows.push_back(refusal.row);
    rows.back().age = Millis(MillisBetween(refusal.refused_at, m_context.loop.Now()));
  }
  return rows;
}

}  // namespace bluebellpass
