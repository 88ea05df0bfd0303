#include "http-front.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "bluebellpass/event.h"
#include "kernel/registry.h"

namespace bluebellpass {
namespace {

using nlohmann::ordered_json;

constexpr char kJson[] = "application/json";
constexpr char kLines[] = "application/x-ndjson";
// Callers keep the address list for a while; a leaving instance serves what comes in that time.
constexpr int kAddressValiditySeconds = 30;
constexpr std::size_t kMaxEvents = 5'000;  // of one reply
// Names and values that callers need take far less; h2o itself would accept 400 KiB.
constexpr std::size_t kMaxHeadBytes = 32U << 10U;
constexpr int kStatusTooLarge = 413;
constexpr std::string_view kRequestsPath = "/v1/requests/";

std::optional<std::uint64_t> ParseOffset(const std::string& text) {
  if (text.empty()) return 0;
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  return value;
}

Error BadOffset() {
  return {ErrorKind::kBadRequest, "offset must be a whole number that is not negative", "offset"};
}

/// @return the error for a request that the HTTP library has refused by itself
Error LibraryError(int status) {
  if (status == kStatusTooLarge) {
    return {ErrorKind::kTooLarge, "the body is longer than --max-body-bytes", "body"};
  }
  return {ErrorKind::kBadRequest,
          "the request is not valid HTTP: content-length, transfer-encoding or chunks", "headers"};
}

bool IsOffered(const Member& member) {
  return member.state == MemberState::kAlive && !member.info.is_leaving;
}

}  // namespace

/// Relays the rest of a stream whose home has died.
class HttpFront::ResumedAnswer : public RunListener {
 public:
  ResumedAnswer(HttpFront& front, std::shared_ptr<HttpSink> sink, const HttpResponder* key,
                std::uint64_t offset)
      : m_front(front), m_sink(std::move(sink)), m_key(key), m_offset(offset) {}

  void Begin(BackendDriver& driver, const BackendConfig& backend, const std::string& stream_id) {
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
    Remove();
  }

  void OnFailure(RunFailure /*failure*/, const std::string& message) override {
    m_sink->OnEnd(MakeErrorEnd({ErrorKind::kBackendLost, message, ""}));
    Remove();
  }

 private:
  void SendHead() { m_sink->OnHead({RequestId(), m_backend, ""}); }

  /// Destroys this object in a later turn, since the run is calling.
  void Remove() {
    m_front.m_context.loop.Post([front = &m_front, key = m_key] { front->m_resumed.erase(key); });
  }

  HttpFront& m_front;
  std::shared_ptr<HttpSink> m_sink;
  const HttpResponder* m_key;
  std::uint64_t m_offset;
  BackendId m_backend;
  std::unique_ptr<BackendRun> m_run;
};

HttpFront::HttpFront(FrontContext context, HttpServerLimits limits)
    : m_context(context),
      m_jitter(static_cast<std::uint32_t>(context.network.Self().incarnation.Value())),
      m_server(context.loop, limits, [this](HttpRequest request, const ResponderPtr& responder) {
        Handle(std::move(request), responder);
      }) {
  m_server.SetErrorBody(kLines, [](int status) { return ErrorLine(LibraryError(status)); });
}

HttpFront::~HttpFront() = default;

void HttpFront::Handle(HttpRequest request, const ResponderPtr& responder) {
  const std::string& path = request.path;
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  if (request.head_bytes > kMaxHeadBytes) {
    return SendError(*responder,
                     {ErrorKind::kTooLarge, "the headers exceed 32 KiB in all", "headers"},
                     m_jitter);
  }
  if (path == "/v1/requests" && is_post) return HandleSubmit(request, responder);
  if (path.starts_with(kRequestsPath) && is_get) return HandleFetch(request, responder);
  if (path == "/v1/instances" && is_get) return HandleInstances(responder);
  if (path == "/v1/resume" && is_get) return HandleResume(request, responder);
  if (path == "/v1/command" && is_post) return HandleCommand(request, responder);
  if (path == "/healthz" && is_get) return HandleHealth(responder);
  if (path == "/metrics" && is_get) {
    if (m_metrics_hook) m_metrics_hook();
    return responder->Send(200, {{"content-type", "text/plain; version=0.0.4"}},
                           m_context.metrics.Render());
  }
  if (path == "/v1/events" && is_get) {
    const auto after = ParseOffset(request.Query("after"));
    if (!after) {
      return SendError(*responder, {ErrorKind::kBadRequest, "after must be a number", "after"},
                       m_jitter);
    }
    return responder->Send(200, {{"content-type", kLines}}, RecordedEvents(*after, kMaxEvents));
  }
  SendError(*responder,
            {ErrorKind::kBadRequest, "there is no " + request.method + " for this path", "path"},
            m_jitter);
}

std::shared_ptr<HttpSink> HttpFront::MakeSink(const ResponderPtr& responder, const RequestId& id) {
  auto sink = std::make_shared<HttpSink>(responder, id, m_jitter);
  const AnswerSink* key = sink.get();
  responder->OnClosed([this, key] {
    m_context.home.Detach(key);
    m_context.forwarder.Cancel(key);
  });
  responder->OnDrained([this, key] { m_context.home.OnSinkReady(key); });
  return sink;
}

bool HttpFront::IsOwn(const Ticket& ticket) const {
  return ticket.instance == m_context.network.Self().id;
}

void HttpFront::HandleSubmit(const HttpRequest& request, const ResponderPtr& responder) {
  if (m_context.config.Current().version == ObjectVersion(0)) {
    return SendError(*responder,
                     {ErrorKind::kStoreUnavailable, "the instance has no configuration yet", ""},
                     m_jitter);
  }
  const std::string text = request.Header("bluebellpass-request-id");
  if (text.empty()) {
    ParsedRequestId id{m_context.home.IssueTicket(), "auto" + std::to_string(m_next_nonce++)};
    const RequestId request_id(id.ticket.Text() + "." + id.nonce);
    return m_context.home.Submit(id, request.body, MakeSink(responder, request_id), false);
  }
  const Result<ParsedRequestId> parsed = ParseRequestId(text);
  if (!IsOk(parsed)) return SendError(*responder, ErrorOf(parsed), m_jitter);
  const auto& id = std::get<ParsedRequestId>(parsed);
  if (request.body.empty()) {
    return SendError(*responder, {ErrorKind::kBadRequest, "the body is empty", "body"}, m_jitter);
  }
  auto sink = MakeSink(responder, RequestId(text));
  if (IsOwn(id.ticket)) {
    m_context.home.Submit(id, request.body, std::move(sink));
  } else {
    m_context.forwarder.Forward(id, request.body, 0, std::move(sink));
  }
}

void HttpFront::HandleFetch(const HttpRequest& request, const ResponderPtr& responder) {
  const std::string text = request.path.substr(kRequestsPath.size());
  const Result<ParsedRequestId> parsed = ParseRequestId(text);
  if (!IsOk(parsed)) return SendError(*responder, ErrorOf(parsed), m_jitter);
  const auto offset = ParseOffset(request.Query("offset"));
  if (!offset) return SendError(*responder, BadOffset(), m_jitter);
  const auto& id = std::get<ParsedRequestId>(parsed);
  auto sink = MakeSink(responder, RequestId(text));
  if (IsOwn(id.ticket)) {
    m_context.home.Fetch(id, *offset, std::move(sink));
  } else {
    m_context.forwarder.Forward(id, "", *offset, std::move(sink));
  }
}

void HttpFront::HandleResume(const HttpRequest& request, const ResponderPtr& responder) {
  const Result<StreamLocation> point = m_context.tokens.Verify(request.Query("token"));
  if (!IsOk(point)) return SendError(*responder, ErrorOf(point), m_jitter);
  const auto offset = ParseOffset(request.Query("offset"));
  if (!offset) return SendError(*responder, BadOffset(), m_jitter);
  const auto& where = std::get<StreamLocation>(point);
  const auto* backend = m_context.config.Current().config.FindBackend(where.backend);
  if (backend == nullptr) {
    return SendError(*responder, {ErrorKind::kBackendLost, "the backend server is gone", "token"},
                     m_jitter);
  }
  auto driver =
      Registry<BackendDriver, DriverContext>::Global().Create(backend->kind, m_context.drivers);
  auto sink = std::make_shared<HttpSink>(responder, RequestId(), m_jitter);
  const HttpResponder* key = responder.get();
  auto answer = std::make_unique<ResumedAnswer>(*this, std::move(sink), key, *offset);
  ResumedAnswer& started = *answer;
  m_resumed[key] = std::move(answer);
  responder->OnClosed([this, key] { m_context.loop.Post([this, key] { m_resumed.erase(key); }); });
  started.Begin(*driver, *backend, where.stream_id);
}

void HttpFront::HandleInstances(const ResponderPtr& responder) {
  const InstanceInfo& self = m_context.network.Self();
  std::vector<Member> members = m_context.network.Members();
  std::erase_if(members, [](const Member& member) { return !IsOffered(member); });
  const auto distance = [&](const Member& member) {
    if (member.info.data_centre == self.data_centre) return 0;
    return member.info.region == self.region ? 1 : 2;
  };
  std::stable_sort(members.begin(), members.end(),
                   [&](const Member& a, const Member& b) { return distance(a) < distance(b); });
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
  responder->Send(200, {{"content-type", kJson}, {"cache-control", "no-store"}},
                  reply.dump() + "\n");
}

void HttpFront::HandleHealth(const ResponderPtr& responder) {
  const ObjectVersion version = m_context.config.Current().version;
  const bool is_ready = version != ObjectVersion(0) && !m_context.network.Self().is_leaving;
  const ordered_json reply = {
      {"ready", is_ready},
      {"leaving", m_context.network.Self().is_leaving},
      {"config_version", version.Value()},
      {"config_fresh", m_context.config.IsRecentlyConfirmed()},
      {"members", m_context.network.Members().size()},
  };
  responder->Send(is_ready ? 200 : 503, {{"content-type", kJson}}, reply.dump() + "\n");
}

void HttpFront::HandleCommand(const HttpRequest& request, const ResponderPtr& responder) {
  if (!m_command) {
    return SendError(*responder, {ErrorKind::kInternal, "commands are not available", ""},
                     m_jitter);
  }
  m_command(request.body, [responder](int status, std::string json) {
    responder->Send(status, {{"content-type", kJson}}, std::move(json));
  });
}

}  // namespace bluebellpass
