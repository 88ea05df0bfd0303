#include "home-task.h"

#include <algorithm>
#include <utility>

#include "bluebellpass/event.h"
#include "home-request.h"

namespace bluebellpass {
namespace {

constexpr Millis kExpiryPeriod{1'000};
// Time for a caller whose connection broke to come back for its answer.
constexpr Millis kMinAnswerRetention{60'000};
constexpr std::size_t kMaxRefusals = 1'000;
// Bounds what is handed to a sink at once, so that a slow reader holds no second copy of an answer.
constexpr std::size_t kMaxChunkBytes = 64U << 10U;

/// Gives the text's memory back. Assigning an empty string would keep its capacity.
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
  const Ticket now = IssueTicket();
  if (ticket.instance != now.instance || ticket.incarnation != now.incarnation) {
    return Error{ErrorKind::kHomeUnreachable, "the instance that issued the ticket has restarted",
                 "bluebellpass-request-id"};
  }
  if (ticket.issued_s > now.issued_s + 1) {
    return Error{ErrorKind::kBadRequestId, "the ticket was never issued",
                 "bluebellpass-request-id"};
  }
  if (ticket.issued_s + kTicketValiditySeconds < now.issued_s) {
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
  auto owned = std::make_unique<Request>(m_context.loop);
  Request& request = *owned;
  request.id = request_id;
  request.ticket_issued_s = id.ticket.issued_s;
  request.is_detachable = is_detachable;
  request.received_at = m_context.loop.Now();
  request.deadline = request.received_at;
  m_requests.emplace(request_id, std::move(owned));
  AttachReader(request, std::move(sink), 0);
  Accept(request, body);
}

void HomeTask::Accept(Request& request, std::string_view body) {
  // A refusal is recorded under the id as well: once told "not run", the id is never run.
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
                         "more urgent work has the whole capacity");
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
    Redirect(*request, taken->holder);
    return;
  }
  request->phase = Phase::kWaiting;
  Reserve(*request);
}

void HomeTask::Redirect(Request& request, const RequestId& holder) {
  request.phase = Phase::kRedirected;
  request.key_holder = holder;
  request.ended_at = m_context.loop.Now();
  request.deadline_timer.Stop();
  ReleaseMemory(request.submission.prompt);
  std::vector<Reader> readers = std::exchange(request.readers, {});
  for (Reader& reader : readers) AttachReader(request, std::move(reader.sink), reader.next);
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
  // The id stays known for some minutes; the prompt is of no more use.
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
    return sink->OnEnd(
        MakeErrorEnd({ErrorKind::kHomeUnreachable,
                      "the request that holds the idempotency key is out of reach", ""}));
  }
  if (request.is_answer_discarded) {
    return sink->OnEnd(
        MakeErrorEnd({ErrorKind::kAnswerExpired, "the answer is kept no longer", "id"}));
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
  // Feeding may end in a callback that adds or withdraws readers, hence the index.
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
  while (reader.next < request.answer.size()) {
    if (!reader.sink->IsReady()) return;
    const std::string_view rest =
        std::string_view{request.answer}.substr(reader.next, kMaxChunkBytes);
    reader.sink->OnData(reader.next, rest);
    reader.next += rest.size();
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
  // No caller knows the id, so nobody can come back for the answer.
  if (request->IsUndispatched()) {
    RefuseRequest(*request, ErrorKind::kCancelled, "the caller has gone");
  } else if (request->phase == Phase::kDispatched && request->submission.is_idempotent) {
    request->run->Cancel();
    ReleaseGrant(*request, ReleaseReason::kCancelled, {});
    EndRequest(*request, MakeErrorEnd({ErrorKind::kBackendLost, "the caller has gone", ""}));
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
    // The id itself stays known until its ticket has expired, so that it is never run again.
    DiscardAnswer(request);
    return request.ticket_issued_s + kTicketValiditySeconds + 1 < uptime;
  });
  LimitAnswerMemory();
  for (auto& [pool, floors] : m_floor_promises) {
    std::erase_if(floors, [&](const FloorPromise& floor) { return floor.until <= now; });
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
  // The answers that ended first are the least likely to be asked for again.
  std::vector<Request*> kept;
  for (auto& [id, request] : m_requests) {
    const bool is_free = request->phase == Phase::kEnded && request->readers.empty();
    if (is_free && !request->answer.empty()) kept.push_back(request.get());
  }
  std::sort(kept.begin(), kept.end(),
            [](const Request* a, const Request* b) { return a->ended_at < b->ended_at; });
  for (Request* request : kept) {
    if (m_answer_bytes <= m_context.max_answer_bytes) return;
    DiscardAnswer(*request);
  }
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
    rows.back().age = Millis(MillisBetween(refusal.at, m_context.loop.Now()));
  }
  return rows;
}

}  // namespace bluebellpass
