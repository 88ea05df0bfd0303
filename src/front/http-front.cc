#include "http-front.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "bluebellpass/event.h"
#include "kernel/http1-server.h"
#include "kernel/registry.h"

namespace bluebellpass {
namespace {

using nlohmann::ordered_json;

constexpr char kJsonType[] = "application/json";
constexpr char kNdjsonType[] = "application/x-ndjson";
// Callers may cache the address list for this time. An instance that is shutting down still serves
// the requests that arrive meanwhile.
constexpr int kAddressValiditySeconds = 30;
constexpr std::size_t kMaxEventsPerReply = 5'000;
// The headers that callers need are far smaller; h2o itself accepts up to 400 KiB.
constexpr std::size_t kMaxHeadBytes = 32U << 10U;
constexpr int kStatusContentTooLarge = 413;
constexpr std::string_view kRequestsPath = "/v1/requests/";

/// @return the number, 0 for an empty text, nullopt if the text is not an unsigned number
std::optional<std::uint64_t> ParseUnsigned(const std::string& text) {
  if (text.empty()) return 0;
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  return value;
}

Error MakeOffsetError() {
  return {ErrorKind::kBadRequest, "offset must be a whole number that is not negative", "offset"};
}

/// @return the error for a request that h2o rejected before the handler was called
Error MakeHttpLibraryError(int status) {
  if (status == kStatusContentTooLarge) {
    return {ErrorKind::kTooLarge, "the body is longer than --max-body-bytes", "body"};
  }
  return {ErrorKind::kBadRequest,
          "the request is not valid HTTP: content-length, transfer-encoding or chunks", "headers"};
}

bool AcceptsCallers(const Member& member) {
  return member.state == MemberState::kAlive && !member.info.is_leaving;
}

}  // namespace

/// Relays the rest of an answer, read from the backend server after its home has died.
class HttpFrontend::ResumedAnswer : public RunListener {
 public:
  ResumedAnswer(HttpFrontend& frontend, std::shared_ptr<HttpSink> sink, const HttpResponder* key,
                std::uint64_t offset)
      : m_frontend(frontend), m_sink(std::move(sink)), m_responder_key(key), m_offset(offset) {}

  void Start(BackendDriver& driver, const BackendConfig& backend, const std::string& stream_id) {
    m_backend = backend.id;
    m_run = driver.Resume(backend.address, stream_id, m_offset, *this);
  }

  void OnStarted(const std::string& /*stream_id*/) override {}

  void OnData(std::string_view bytes) override {
    SendHead();
    m_sink->OnData(m_offset, bytes);
    m_offset += bytes.size();
  }

  void OnEnd(const RunUsage& /*usage*/) override {
    SendHead();
    m_sink->OnEnd({Outcome::kCompleted, m_offset, std::nullopt});
    RemoveLater();
  }

  void OnFailure(RunFailure /*failure*/, const std::string& message) override {
    m_sink->OnEnd(MakeErrorEnd({ErrorKind::kBackendLost, message, ""}));
    RemoveLater();
  }

 private:
  void SendHead() { m_sink->OnHead({RequestId(), m_backend, ""}); }

  /// Destroys this object in the next loop iteration, since its run is still in a callback.
  void RemoveLater() {
    m_frontend.m_context.loop.Post([frontend = &m_frontend, key = m_responder_key] {
      frontend->m_resumed_answers.erase(key);
    });
  }

  HttpFrontend& m_frontend;
  std::shared_ptr<HttpSink> m_sink;
  const HttpResponder* m_responder_key;
  std::uint64_t m_offset;
  BackendId m_backend;
  std::unique_ptr<BackendRun> m_run;
};

HttpFrontend::HttpFrontend(FrontendContext context, HttpServerLimits limits)
    : m_context(context),
      m_max_request_memory_bytes(limits.max_unfinished_bytes),
      m_random(static_cast<std::uint32_t>(context.network.Self().incarnation.Value())),
      m_server(context.loop, limits, [this](HttpRequest request, const ResponderPtr& responder) {
        HandleRequest(std::move(request), responder);
      }) {
  m_server.SetErrorBody(kNdjsonType,
                        [](int status) { return MakeErrorLine(MakeHttpLibraryError(status)); });
  m_server.OnRejection([this](ClientRejection rejection) { OnClientRejected(rejection); });
}

HttpFrontend::~HttpFrontend() = default;

void HttpFrontend::OnClientRejected(ClientRejection rejection) {
  const std::string reason(NameOf(rejection));
  m_context.metrics.IncrementCounter("rejected_clients", "reason=\"" + reason + "\"");
  const auto bytes = static_cast<std::int64_t>(m_server.UnfinishedRequestBytes());
  LogEvent(EventId::kClientRejected,
           {{"reason", reason},
            {"request_bytes", bytes},
            {"used", bytes},
            {"limit", static_cast<std::int64_t>(m_max_request_memory_bytes)},
            {"connections", static_cast<std::int64_t>(m_server.ConnectionCount())}});
}

void HttpFrontend::HandleRequest(HttpRequest request, const ResponderPtr& responder) {
  const std::string& path = request.path;
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  if (request.head_bytes > kMaxHeadBytes) {
    return SendError(*responder,
                     {ErrorKind::kTooLarge, "the headers exceed 32 KiB in all", "headers"},
                     m_random);
  }
  if (path == "/v1/requests" && is_post) return HandleSubmit(request, responder);
  if (path.starts_with(kRequestsPath) && is_get) return HandleFetch(request, responder);
  if (path == "/v1/instances" && is_get) return HandleInstances(responder);
  if (path == "/v1/resume" && is_get) return HandleResume(request, responder);
  if (path == "/v1/command" && is_post) return HandleCommand(request, responder);
  if (path == "/healthz" && is_get) return HandleHealth(responder);
  if (path == "/metrics" && is_get) {
    if (m_metrics_hook) m_metrics_hook();
    m_context.metrics.SetGauge("request_memory_bytes",
                               static_cast<double>(m_server.UnfinishedRequestBytes()));
    m_context.metrics.SetGauge("request_memory_limit_bytes",
                               static_cast<double>(m_max_request_memory_bytes));
    return responder->Send(200, {{"content-type", "text/plain; version=0.0.4"}},
                           m_context.metrics.Render());
  }
  if (path == "/v1/events" && is_get) {
    const auto after = ParseUnsigned(request.Query("after"));
    if (!after) {
      return SendError(*responder, {ErrorKind::kBadRequest, "after must be a number", "after"},
                       m_random);
    }
    return responder->Send(200, {{"content-type", kNdjsonType}},
                           RecordedEvents(*after, kMaxEventsPerReply));
  }
  SendError(*responder,
            {ErrorKind::kBadRequest, "there is no " + request.method + " for this path", "path"},
            m_random);
}

std::shared_ptr<HttpSink> HttpFrontend::MakeSink(const ResponderPtr& responder,
                                                 const RequestId& id) {
  auto sink = std::make_shared<HttpSink>(responder, id, m_random);
  const AnswerSink* key = sink.get();
  responder->OnClosed([this, key] {
    m_context.home.Detach(key);
    m_context.forwarder.Cancel(key);
  });
  responder->OnDrained([this, key] { m_context.home.OnSinkReady(key); });
  return sink;
}

bool HttpFrontend::IsLocalTicket(const Ticket& ticket) const {
  return ticket.instance == m_context.network.Self().id;
}

void HttpFrontend::HandleSubmit(const HttpRequest& request, const ResponderPtr& responder) {
  if (m_context.config.Current().version == ObjectVersion(0)) {
    return SendError(*responder,
                     {ErrorKind::kStoreUnavailable, "the instance has no configuration yet", ""},
                     m_random);
  }
  const std::string text = request.Header("bluebellpass-request-id");
  if (text.empty()) {
    ParsedRequestId id{m_context.home.IssueTicket(), "auto" + std::to_string(m_next_nonce++)};
    const RequestId request_id(id.ticket.Text() + "." + id.nonce);
    return m_context.home.Submit(id, request.body, MakeSink(responder, request_id), false);
  }
  const Result<ParsedRequestId> parsed = ParseRequestId(text);
  if (!IsOk(parsed)) return SendError(*responder, ErrorOf(parsed), m_random);
  const auto& id = std::get<ParsedRequestId>(parsed);
  if (request.body.empty()) {
    return SendError(*responder, {ErrorKind::kBadRequest, "the body is empty", "body"}, m_random);
  }
  auto sink = MakeSink(responder, RequestId(text));
  if (IsLocalTicket(id.ticket)) {
    m_context.home.Submit(id, request.body, std::move(sink));
  } else {
    m_context.forwarder.Forward(id, request.body, 0, std::move(sink));
  }
}

void HttpFrontend::HandleFetch(const HttpRequest& request, const ResponderPtr& responder) {
  const std::string text = request.path.substr(kRequestsPath.size());
  const Result<ParsedRequestId> parsed = ParseRequestId(text);
  if (!IsOk(parsed)) return SendError(*responder, ErrorOf(parsed), m_random);
  const auto offset = ParseUnsigned(request.Query("offset"));
  if (!offset) return SendError(*responder, MakeOffsetError(), m_random);
  const auto& id = std::get<ParsedRequestId>(parsed);
  auto sink = MakeSink(responder, RequestId(text));
  if (IsLocalTicket(id.ticket)) {
    m_context.home.Fetch(id, *offset, std::move(sink));
  } else {
    m_context.forwarder.Forward(id, "", *offset, std::move(sink));
  }
}

void HttpFrontend::HandleResume(const HttpRequest& request, const ResponderPtr& responder) {
  const Result<StreamLocation> verified = m_context.token_signer.Verify(request.Query("token"));
  if (!IsOk(verified)) return SendError(*responder, ErrorOf(verified), m_random);
  const auto offset = ParseUnsigned(request.Query("offset"));
  if (!offset) return SendError(*responder, MakeOffsetError(), m_random);
  const auto& location = std::get<StreamLocation>(verified);
  const auto* backend = m_context.config.Current().config.FindBackend(location.backend);
  if (backend == nullptr) {
    return SendError(*responder, {ErrorKind::kBackendLost, "the backend server is gone", "token"},
                     m_random);
  }
  auto driver =
      Registry<BackendDriver, DriverContext>::Global().Create(backend->kind, m_context.drivers);
  auto sink = std::make_shared<HttpSink>(responder, RequestId(), m_random);
  const HttpResponder* key = responder.get();
  auto answer = std::make_unique<ResumedAnswer>(*this, std::move(sink), key, *offset);
  ResumedAnswer& resumed_answer = *answer;
  m_resumed_answers[key] = std::move(answer);
  responder->OnClosed(
      [this, key] { m_context.loop.Post([this, key] { m_resumed_answers.erase(key); }); });
  resumed_answer.Start(*driver, *backend, location.stream_id);
}

void HttpFrontend::HandleInstances(const ResponderPtr& responder) {
  const InstanceInfo& self = m_context.network.Self();
  std::vector<Member> members = m_context.network.Members();
  std::erase_if(members, [](const Member& member) { return !AcceptsCallers(member); });
  const auto distance_rank = [&](const Member& member) {
    if (member.info.data_centre == self.data_centre) return 0;
    return member.info.region == self.region ? 1 : 2;
  };
  std::stable_sort(members.begin(), members.end(), [&](const Member& a, const Member& b) {
    return distance_rank(a) < distance_rank(b);
  });
  ordered_json instances = ordered_json::array();
  for (const Member& member : members) {
    const bool is_self = member.info.id == self.id;
    const Ticket ticket =
        is_self ? m_context.home.IssueTicket()
                : Ticket{member.info.id, member.info.incarnation, member.uptime_seconds};
    instances.push_back({{"id", member.info.id.Text()},
                         {"address", member.info.caller_address.Text()},
                         {"data_centre", member.info.data_centre.Text()},
                         {"ticket", ticket.Text()}});
  }
  const ordered_json reply = {{"valid_s", kAddressValiditySeconds}, {"instances", instances}};
  responder->Send(200, {{"content-type", kJsonType}, {"cache-control", "no-store"}},
                  reply.dump() + "\n");
}

void HttpFrontend::HandleHealth(const ResponderPtr& responder) {
  const ObjectVersion version = m_context.config.Current().version;
  const bool is_ready = version != ObjectVersion(0) && !m_context.network.Self().is_leaving;
  const ordered_json reply = {
      {"ready", is_ready},
      {"leaving", m_context.network.Self().is_leaving},
      {"config_version", version.Value()},
      {"config_fresh", m_context.config.IsRecentlyConfirmed()},
      {"members", m_context.network.Members().size()},
  };
  responder->Send(is_ready ? 200 : 503, {{"content-type", kJsonType}}, reply.dump() + "\n");
}

void HttpFrontend::HandleCommand(const HttpRequest& request, const ResponderPtr& responder) {
  if (!m_command_handler) {
    return SendError(*responder, {ErrorKind::kInternal, "commands are not available", ""},
                     m_random);
  }
  m_command_handler(request.body, [responder](int status, std::string json) {
    responder->Send(status, {{"content-type", kJsonType}}, std::move(json));
  });
}

}  // namespace bluebellpass
