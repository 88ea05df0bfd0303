#include <algorithm>
#include <memory>
#include <string>

#include "bluebellpass/backend.h"
#include "bluebellpass/timer.h"
#include "kernel/http-client.h"
#include "kernel/registry.h"

/// Driver for plain services: one call with a JSON body and a JSON reply, which is never retried.

namespace bluebellpass {
namespace {

constexpr Millis kConnectTimeout{500};
constexpr std::size_t kMaxErrorBytes = 500;

class ServiceRun : public BackendRun {
 public:
  ServiceRun(DriverContext context, RunListener& listener)
      : m_listener(listener), m_timers(*context.timers), m_start_time(context.timers->Now()) {}

  void Start(HttpClient& client, const RunRequest& request) {
    HttpClientRequest call;
    call.address = request.address;
    call.method = "POST";
    call.path = "/v1/calls";
    call.headers = {{"content-type", "application/json"}, {"x-request-id", request.id.Text()}};
    if (!request.idempotency_key.empty()) call.headers["idempotency-key"] = request.idempotency_key;
    call.body = request.prompt;
    call.connect_timeout = kConnectTimeout;
    call.idle_timeout = request.reply_idle_timeout;
    call.may_send = request.may_send;
    HttpCallHandlers handlers;
    handlers.on_head = [this](int status, const HttpHeaders&) { m_status = status; };
    // The reply is delivered only when it is complete, since it cannot be resumed.
    handlers.on_data = [this](std::string_view bytes) { m_body.append(bytes); };
    handlers.on_end = [this](HttpCallResult result, const std::string& message) {
      OnEnd(result, message);
    };
    m_call = client.StartCall(std::move(call), std::move(handlers));
  }

  // A call to a plain service cannot be withdrawn once it has been sent.
  void Cancel() override {}

 private:
  void OnEnd(HttpCallResult result, const std::string& message) {
    switch (result) {
      case HttpCallResult::kConnectFailed:
      case HttpCallResult::kConnectTimeout:
        return m_listener.OnFailure(RunFailure::kConnectFailed, message);
      case HttpCallResult::kWithdrawn:
        return m_listener.OnFailure(RunFailure::kWithdrawn, message);
      case HttpCallResult::kIdleTimeout:
        return m_listener.OnFailure(RunFailure::kContactLost, "the service did not reply in time");
      case HttpCallResult::kMalformedResponse:
        return m_listener.OnFailure(RunFailure::kContactLost,
                                    "the service's reply cannot be used: " + message);
      case HttpCallResult::kConnectionBroken:
        return m_listener.OnFailure(RunFailure::kBackendDied,
                                    "the service's reply was lost: " + message);
      case HttpCallResult::kComplete:
        return OnReply();
    }
  }

  void OnReply() {
    if (m_status == 200) {
      RunUsage usage;
      usage.total_time = std::chrono::duration_cast<Millis>(m_timers.Now() - m_start_time);
      usage.time_to_first_token = usage.total_time;
      m_listener.OnStarted("");
      m_listener.OnData(m_body);
      m_listener.OnEnd(usage);
      return;
    }
    const std::string message = "the service responded with status " + std::to_string(m_status) +
                                ": " + m_body.substr(0, std::min(m_body.size(), kMaxErrorBytes));
    const bool is_refusal = (m_status >= 400 && m_status < 500) || m_status == 503;
    m_listener.OnFailure(is_refusal ? RunFailure::kRefused : RunFailure::kContactLost, message);
  }

  RunListener& m_listener;
  TimerService& m_timers;
  TimePoint m_start_time;
  std::unique_ptr<HttpCall> m_call;
  int m_status = 0;
  std::string m_body;
};

class ServiceDriver : public BackendDriver {
 public:
  explicit ServiceDriver(DriverContext context) : m_context(context) {}

  std::unique_ptr<BackendRun> StartRun(const RunRequest& request, RunListener& listener) override {
    auto run = std::make_unique<ServiceRun>(m_context, listener);
    run->Start(*m_context.http, request);
    return run;
  }

  std::unique_ptr<BackendRun> Resume(const Address& /*address*/, const std::string& /*stream_id*/,
                                     std::size_t /*offset*/, RunListener& listener) override {
    m_context.timers->RunAfter(Millis{0}, [&listener] {
      listener.OnFailure(RunFailure::kContactLost, "replies of plain services cannot be resumed");
    });
    return std::make_unique<ServiceRun>(m_context, listener);
  }

 private:
  DriverContext m_context;
};

const Registration<BackendDriver, DriverContext> kRegistration(
    "service", [](DriverContext context) { return std::make_unique<ServiceDriver>(context); });

}  // namespace
}  // namespace bluebellpass
