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

/// Driver for engines with the OpenAI Responses API. Responses run in the background and are
/// streamed as server-sent events; a stream can be resumed by response id and sequence number.

namespace bluebellpass {
namespace {

using nlohmann::json;

constexpr Millis kConnectTimeout{500};
// A stream may be silent because the engine is busy or because the connection is dead. A new
// connection shows which one it is, and costs the engine nothing.
constexpr Millis kStreamSilenceTimeout{2'000};
// Longer than kStreamSilenceTimeout, since a stream cannot be resumed before the engine has sent
// the id of the response.
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
        m_resume_timer(*context.timers),
        m_start_time(context.timers->Now()) {}

  void CreateResponse(const RunRequest& request) {
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
    call.max_body_bytes = kUnlimitedBytes;
    call.may_send = request.may_send;
    OpenStream(std::move(call));
  }

  void Resume(const std::string& stream_id, std::size_t offset) {
    m_stream_id = stream_id;
    m_bytes_to_skip = offset;
    OpenResumedStream();
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
  void OpenStream(HttpClientRequest call) {
    m_parser = std::make_unique<SseParser>([this](const std::string& data) { OnEvent(data); });
    m_status = 0;
    HttpCallHandlers handlers;
    handlers.on_head = [this](int status, const HttpHeaders&) { m_status = status; };
    handlers.on_data = [this](std::string_view bytes) { OnStreamBytes(bytes); };
    handlers.on_end = [this](HttpCallResult result, const std::string& message) {
      OnCallEnded(result, message);
    };
    m_call = m_context.http->StartCall(std::move(call), std::move(handlers));
  }

  void OpenResumedStream() {
    HttpClientRequest call;
    call.address = m_address;
    call.path = "/v1/responses/" + m_stream_id +
                "?stream=true&starting_after=" + std::to_string(m_last_sequence);
    call.connect_timeout = kConnectTimeout;
    call.idle_timeout = kStreamSilenceTimeout;
    call.max_body_bytes = kUnlimitedBytes;
    OpenStream(std::move(call));
  }

  void OnStreamBytes(std::string_view bytes) {
    if (m_status != 200) {
      m_error_body.append(
          bytes.substr(0, kMaxErrorBytes - std::min(m_error_body.size(), kMaxErrorBytes)));
      return;
    }
    m_failed_resumes = 0;
    if (!m_parser->Feed(bytes)) Fail(RunFailure::kContactLost, "the engine's stream is malformed");
  }

  void OnEvent(const std::string& data) {
    if (m_is_finished) return;
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object()) return;
    try {
      HandleEvent(event);
    } catch (const json::exception&) {
      Fail(RunFailure::kContactLost, "the engine sent an event with a field of the wrong type");
    }
  }

  void HandleEvent(const json& event) {
    const std::int64_t sequence = event.value("sequence_number", std::int64_t{-1});
    // A resumed stream may repeat events that were received before.
    if (sequence <= m_last_sequence && sequence != 0) return;
    const std::string type = event.value("type", "");
    if (type == "response.created") {
      OnCreated(event);
    } else if (type == "response.output_text.delta") {
      m_last_sequence = sequence;
      OnDelta(event.value("delta", ""));
    } else if (type == "response.completed") {
      m_last_sequence = sequence;
      OnCompleted(event);
    } else if (type == "response.failed" || type == "response.cancelled") {
      Fail(RunFailure::kContactLost, "the engine failed or cancelled the response");
    }
  }

  void OnCreated(const json& event) {
    if (!m_stream_id.empty()) return;
    const auto response = event.find("response");
    if (response != event.end() && response->is_object()) m_stream_id = response->value("id", "");
    m_listener.OnStarted(m_stream_id);
    // From here on the stream can be resumed, so the shorter silence timeout applies.
    RestartSilenceTimer();
  }

  void RestartSilenceTimer() {
    m_resume_timer.Start(kStreamSilenceTimeout, [this] {
      if (m_is_finished) return;
      m_call.reset();
      // An engine that responds on a new connection is busy. One that does not may be dead.
      if (m_status == 0 && ++m_failed_resumes > kMaxFailedResumes) {
        return Fail(RunFailure::kContactLost, "the engine does not respond");
      }
      LogEvent(EventId::kStreamResumed, {{"request", m_id.Text()}, {"reason", "silence"}});
      OpenResumedStream();
      RestartSilenceTimer();
    });
  }

  void OnDelta(std::string_view text) {
    if (!m_has_first_token) {
      m_has_first_token = true;
      m_time_to_first_token = Elapsed();
    }
    if (!m_stream_id.empty()) RestartSilenceTimer();
    if (m_bytes_to_skip >= text.size()) {
      m_bytes_to_skip -= text.size();
      return;
    }
    text.remove_prefix(std::exchange(m_bytes_to_skip, 0));
    m_listener.OnData(text);
  }

  void OnCompleted(const json& event) {
    RunUsage usage;
    const auto response = event.find("response");
    if (response != event.end() && response->is_object()) {
      const json usage_json = response->value("usage", json::object());
      usage.prompt_tokens = usage_json.value("input_tokens", std::int64_t{0});
      usage.output_tokens = usage_json.value("output_tokens", std::int64_t{0});
      const json details = usage_json.value("input_tokens_details", json::object());
      usage.cached_tokens = details.value("cached_tokens", std::int64_t{0});
    }
    usage.time_to_first_token = m_time_to_first_token;
    usage.total_time = Elapsed();
    m_is_finished = true;
    m_resume_timer.Stop();
    m_listener.OnEnd(usage);
  }

  void OnCallEnded(HttpCallResult result, const std::string& message) {
    if (m_is_finished) return;
    if (m_stream_id.empty()) return OnCreationFailed(result, message);
    // An engine that no longer knows a response was restarted.
    if (m_status == 404)
      return Fail(RunFailure::kBackendDied, "the engine no longer knows the response");
    if (++m_failed_resumes > kMaxFailedResumes) {
      const bool is_refused = result == HttpCallResult::kConnectFailed;
      return Fail(is_refused ? RunFailure::kBackendDied : RunFailure::kContactLost,
                  "the engine cannot be reached: " + message);
    }
    LogEvent(EventId::kStreamResumed, {{"request", m_id.Text()}, {"reason", message}});
    m_resume_timer.Start(kResumeDelay, [this] {
      OpenResumedStream();
      RestartSilenceTimer();
    });
  }

  void OnCreationFailed(HttpCallResult result, const std::string& message) {
    const bool is_connect_failure =
        result == HttpCallResult::kConnectFailed || result == HttpCallResult::kConnectTimeout;
    if (is_connect_failure) return Fail(RunFailure::kConnectFailed, message);
    if (result == HttpCallResult::kWithdrawn) return Fail(RunFailure::kWithdrawn, message);
    const bool is_refusal = (m_status >= 400 && m_status < 500) || m_status == 503;
    if (result == HttpCallResult::kComplete && is_refusal) {
      return Fail(RunFailure::kRefused, "the engine responded with status " +
                                            std::to_string(m_status) + ": " + m_error_body);
    }
    Fail(result == HttpCallResult::kConnectionBroken ? RunFailure::kBackendDied
                                                     : RunFailure::kContactLost,
         "the engine did not confirm the request: " + message);
  }

  void Fail(RunFailure failure, const std::string& message) {
    if (std::exchange(m_is_finished, true)) return;
    m_resume_timer.Stop();
    m_listener.OnFailure(failure, message);
  }

  Millis Elapsed() const {
    return std::chrono::duration_cast<Millis>(m_context.timers->Now() - m_start_time);
  }

  static constexpr std::size_t kMaxErrorBytes = 500;

  DriverContext m_context;
  Address m_address;
  RequestId m_id;
  RunListener& m_listener;
  Timer m_resume_timer;
  TimePoint m_start_time;
  std::unique_ptr<SseParser> m_parser;
  std::unique_ptr<HttpCall> m_call;
  std::string m_stream_id;
  std::string m_error_body;
  std::int64_t m_last_sequence = 0;
  std::size_t m_bytes_to_skip = 0;  ///< bytes of a resumed stream that the reader already has
  int m_status = 0;
  int m_failed_resumes = 0;
  bool m_has_first_token = false;
  bool m_is_finished = false;
  Millis m_time_to_first_token{0};
};

class EngineDriver : public BackendDriver {
 public:
  explicit EngineDriver(DriverContext context) : m_context(context) {}

  std::unique_ptr<BackendRun> StartRun(const RunRequest& request, RunListener& listener) override {
    auto run = std::make_unique<EngineRun>(m_context, request.address, request.id, listener);
    run->CreateResponse(request);
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
