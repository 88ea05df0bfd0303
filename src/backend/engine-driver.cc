#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "bluebellpass/backend.h"
#include "bluebellpass/event.h"
#include "bluebellpass/timer.h"
#include "kernel/http-client.h"
#include "kernel/registry.h"
#include "sse-parser.h"

/// Driver of model engines that offer the OpenAI Responses API: background responses streamed as
/// server-sent events, which can be resumed by response id and sequence number.

namespace bluebellpass {
namespace {

using nlohmann::json;

constexpr Millis kConnectTimeout{500};
// A stream may be silent because the engine is busy or because the connection is dead. A new
// connection tells, and costs the engine nothing.
constexpr Millis kSilenceBeforeResume{2'000};
// Until the engine has named the response there is nothing to resume, so patience is longer.
constexpr Millis kCreationTimeout{10'000};
constexpr Millis kResumeDelay{200};
constexpr int kMaxFailedResumes = 5;

class EngineRun : public BackendRun {
 public:
  EngineRun(DriverContext context, Address address, RequestId id, RunListener& listener)
      : m_context(context),
        m_address(std::move(address)),
        m_id(std::move(id)),
        m_listener(listener),
        m_retry_timer(*context.timers),
        m_started(context.timers->Now()) {}

  void Create(const RunRequest& request) {
    const json body = {{"model", request.pool},
                       {"input", request.prompt},
                       {"max_output_tokens", request.max_tokens},
                       {"stream", true},
                       {"background", true},
                       {"metadata", {{"request_id", request.id.Text()}}}};
    HttpClientRequest call;
    call.address = m_address;
    call.method = "POST";
    call.path = "/v1/responses";
    call.headers = {{"content-type", "application/json"}};
    call.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    call.connect_timeout = kConnectTimeout;
    call.idle_timeout = kCreationTimeout;
    call.may_send = request.may_send;
    Open(std::move(call));
  }

  void Resume(const std::string& stream_id, std::size_t offset) {
    m_stream_id = stream_id;
    m_skip = offset;
    OpenResumed();
  }

  void Cancel() override {
    if (m_stream_id.empty()) return;
    HttpClientRequest call;
    call.address = m_address;
    call.method = "POST";
    call.path = "/v1/responses/" + m_stream_id + "/cancel";
    m_context.http->Fetch(std::move(call), [](const Result<HttpResponse>&) {});
  }

 private:
  void Open(HttpClientRequest call) {
    m_parser = std::make_unique<SseParser>([this](const std::string& data) { OnEvent(data); });
    m_status = 0;
    HttpCallHandlers events;
    events.on_head = [this](int status, const HttpHeaders&) { m_status = status; };
    events.on_data = [this](std::string_view bytes) { OnBytes(bytes); };
    events.on_end = [this](HttpCallResult end, const std::string& message) {
      OnClosed(end, message);
    };
    m_call = m_context.http->StartCall(std::move(call), std::move(events));
  }

  void OpenResumed() {
    HttpClientRequest call;
    call.address = m_address;
    call.path = "/v1/responses/" + m_stream_id +
                "?stream=true&starting_after=" + std::to_string(m_sequence);
    call.connect_timeout = kConnectTimeout;
    call.idle_timeout = kSilenceBeforeResume;
    Open(std::move(call));
  }

  void OnBytes(std::string_view bytes) {
    if (m_status != 200) {
      m_error_body.append(
          bytes.substr(0, kMaxErrorBytes - std::min(m_error_body.size(), kMaxErrorBytes)));
      return;
    }
    m_failed_resumes = 0;
    if (!m_parser->Feed(bytes)) Fail(RunFailure::kContactLost, "the engine's stream is malformed");
  }

  void OnEvent(const std::string& data) {
    if (m_is_over) return;
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object()) return;
    try {
      TakeEvent(event);
    } catch (const json::exception&) {
      Fail(RunFailure::kContactLost, "the engine sent an event with members of the wrong type");
    }
  }

  void TakeEvent(const json& event) {
    const std::int64_t sequence = event.value("sequence_number", std::int64_t{-1});
    // A resumed stream may repeat events that have been seen.
    if (sequence <= m_sequence && sequence != 0) return;
    const std::string type = event.value("type", "");
    if (type == "response.created") {
      OnCreated(event);
    } else if (type == "response.output_text.delta") {
      m_sequence = sequence;
      OnDelta(event.value("delta", ""));
    } else if (type == "response.completed") {
      m_sequence = sequence;
      OnCompleted(event);
    } else if (type == "response.failed" || type == "response.cancelled") {
      Fail(RunFailure::kContactLost, "the engine gave up the response");
    }
  }

  void OnCreated(const json& event) {
    if (!m_stream_id.empty()) return;
    const auto response = event.find("response");
    if (response != event.end() && response->is_object()) m_stream_id = response->value("id", "");
    m_listener.OnStarted(m_stream_id);
    // From here on the stream can be resumed, so silence is noticed sooner.
    WatchSilence();
  }

  void WatchSilence() {
    m_retry_timer.Start(kSilenceBeforeResume, [this] {
      if (m_is_over) return;
      m_call.reset();
      // An engine that answers new connections is busy; one that does not may be gone.
      if (m_status == 0 && ++m_failed_resumes > kMaxFailedResumes) {
        return Fail(RunFailure::kContactLost, "the engine does not answer");
      }
      LogEvent(EventId::kStreamResumed, {{"request", m_id.Text()}, {"reason", "silence"}});
      OpenResumed();
      WatchSilence();
    });
  }

  void OnDelta(std::string_view text) {
    if (!m_has_data) {
      m_has_data = true;
      m_first_token = Elapsed();
    }
    if (!m_stream_id.empty()) WatchSilence();
    if (m_skip >= text.size()) {
      m_skip -= text.size();
      return;
    }
    text.remove_prefix(std::exchange(m_skip, 0));
    m_listener.OnData(text);
  }

  void OnCompleted(const json& event) {
    RunUsage usage;
    const auto response = event.find("response");
    if (response != event.end() && response->is_object()) {
      const json counts = response->value("usage", json::object());
      usage.prompt_tokens = counts.value("input_tokens", std::int64_t{0});
      usage.output_tokens = counts.value("output_tokens", std::int64_t{0});
      const json details = counts.value("input_tokens_details", json::object());
      usage.cached_tokens = details.value("cached_tokens", std::int64_t{0});
    }
    usage.time_to_first_token = m_first_token;
    usage.total_time = Elapsed();
    m_is_over = true;
    m_retry_timer.Stop();
    m_listener.OnEnd(usage);
  }

  void OnClosed(HttpCallResult end, const std::string& message) {
    if (m_is_over) return;
    if (m_stream_id.empty()) return OnCreationFailed(end, message);
    // An engine that has forgotten a response has been restarted.
    if (m_status == 404)
      return Fail(RunFailure::kBackendDied, "the engine no longer knows the response");
    if (++m_failed_resumes > kMaxFailedResumes) {
      const bool is_refused = end == HttpCallResult::kConnectFailed;
      return Fail(is_refused ? RunFailure::kBackendDied : RunFailure::kContactLost,
                  "the engine cannot be reached: " + message);
    }
    LogEvent(EventId::kStreamResumed, {{"request", m_id.Text()}, {"reason", message}});
    m_retry_timer.Start(kResumeDelay, [this] {
      OpenResumed();
      WatchSilence();
    });
  }

  void OnCreationFailed(HttpCallResult end, const std::string& message) {
    const bool is_unsent =
        end == HttpCallResult::kConnectFailed || end == HttpCallResult::kConnectTimeout;
    if (is_unsent) return Fail(RunFailure::kConnectFailed, message);
    if (end == HttpCallResult::kWithdrawn) return Fail(RunFailure::kWithdrawn, message);
    const bool is_refusal = (m_status >= 400 && m_status < 500) || m_status == 503;
    if (end == HttpCallResult::kComplete && is_refusal) {
      return Fail(RunFailure::kRefused,
                  "the engine answered " + std::to_string(m_status) + ": " + m_error_body);
    }
    Fail(end == HttpCallResult::kConnectionBroken ? RunFailure::kBackendDied
                                                  : RunFailure::kContactLost,
         "the engine did not confirm the request: " + message);
  }

  void Fail(RunFailure failure, const std::string& message) {
    if (std::exchange(m_is_over, true)) return;
    m_retry_timer.Stop();
    m_listener.OnFailure(failure, message);
  }

  Millis Elapsed() const {
    return std::chrono::duration_cast<Millis>(m_context.timers->Now() - m_started);
  }

  static constexpr std::size_t kMaxErrorBytes = 500;

  DriverContext m_context;
  Address m_address;
  RequestId m_id;
  RunListener& m_listener;
  Timer m_retry_timer;
  TimePoint m_started;
  std::unique_ptr<SseParser> m_parser;
  std::unique_ptr<HttpCall> m_call;
  std::string m_stream_id;
  std::string m_error_body;
  std::int64_t m_sequence = 0;
  std::size_t m_skip = 0;  ///< bytes that the reader of a resumed stream already has
  int m_status = 0;
  int m_failed_resumes = 0;
  bool m_has_data = false;
  bool m_is_over = false;
  Millis m_first_token{0};
};

class EngineDriver : public BackendDriver {
 public:
  explicit EngineDriver(DriverContext context) : m_context(context) {}

  std::unique_ptr<BackendRun> StartRun(const RunRequest& request, RunListener& listener) override {
    auto run = std::make_unique<EngineRun>(m_context, request.address, request.id, listener);
    run->Create(request);
    return run;
  }

  std::unique_ptr<BackendRun> Resume(const Address& address, const std::string& stream_id,
                                     std::size_t offset, RunListener& listener) override {
    auto run = std::make_unique<EngineRun>(m_context, address, RequestId(), listener);
    run->Resume(stream_id, offset);
    return run;
  }

 private:
  DriverContext m_context;
};

const Registration<BackendDriver, DriverContext> kRegistration("engine", [](DriverContext context) {
  return std::make_unique<EngineDriver>(context);
});

}  // namespace
}  // namespace bluebellpass
