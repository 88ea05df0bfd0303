#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

/// The interface behind which the kinds of backend server stand.

namespace bluebellpass {

class HttpClient;
class TimerService;

/// What a backend server is asked to run.
struct RunRequest {
  RequestId id;
  Address address;
  std::string pool;  ///< model or service name
  std::string organisation;
  std::string idempotency_key;        ///< empty for idempotent work
  std::string prompt;                 ///< prompt of an engine, JSON body of a plain service
  std::int64_t max_tokens = 0;        ///< longest output; 0 for plain services
  Millis reply_idle_timeout{30'000};  ///< longest silence of a server whose reply cannot be resumed
  /// Asked when the connection stands, just before the first byte leaves. When it returns false
  /// nothing is sent and the run fails as kWithdrawn.
  std::function<bool()> may_send;
};

/// What a run has used. Times are measured by the driver.
struct RunUsage {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;  ///< part of the prompt found in the prefix cache
  std::int64_t output_tokens = 0;
  Millis time_to_first_token{0};  ///< from dispatch to the first byte of the answer
  Millis total{0};                ///< from dispatch to the end of the answer
};

/// Why a run ended without an answer.
enum class RunFailure {
  kConnectFailed,  ///< the connection failed and no byte of the request left
  kWithdrawn,      ///< may_send returned false and no byte of the request left
  kRefused,        ///< the backend server said that it did not run the request
  kContactLost,    ///< the backend server cannot be reached; it may have run the request
  kBackendDied,    ///< the backend server died; it may have run the request
};

/// Receives the progress of a run. Called on the event loop, never inside Start or Resume.
class RunListener {
 public:
  virtual ~RunListener() = default;
  /// The backend server has taken the request.
  /// @param stream_id with which the stream can be resumed; empty if it cannot
  virtual void OnStarted(const std::string& stream_id) = 0;
  /// Bytes of the answer, in order and without gaps.
  virtual void OnData(std::string_view bytes) = 0;
  /// The answer is whole.
  virtual void OnEnd(const RunUsage& usage) = 0;
  /// The answer will not become whole.
  virtual void OnFailure(RunFailure failure, const std::string& message) = 0;
};

/// A run in progress; destruction ends the listener's calls without cancelling the run.
class BackendRun {
 public:
  virtual ~BackendRun() = default;
  /// Tells the backend server to stop the run.
  virtual void Cancel() = 0;
};

/// What drivers need of the process.
struct DriverContext {
  HttpClient* http = nullptr;
  TimerService* timers = nullptr;
};

/// One kind of backend server.
class BackendDriver {
 public:
  virtual ~BackendDriver() = default;

  /// Sends a request. The bytes leave at most once per call, and the driver never repeats it.
  /// @param listener must outlive the returned run
  virtual std::unique_ptr<BackendRun> Start(const RunRequest& request, RunListener& listener) = 0;

  /// Fetches the rest of a stream without running anything.
  /// @param offset bytes of the answer that the caller already has
  virtual std::unique_ptr<BackendRun> Resume(const Address& address, const std::string& stream_id,
                                             std::size_t offset, RunListener& listener) = 0;
};

}  // namespace bluebellpass
