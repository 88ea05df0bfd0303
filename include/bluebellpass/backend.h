#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

/// The interface that drivers of backend servers implement.

namespace bluebellpass {

class HttpClient;
class TimerService;

/// A request as a driver sends it to a backend server.
struct RunRequest {
  RequestId id;
  Address address;
  std::string pool;  ///< model or service name
  std::string organisation;
  std::string idempotency_key;  ///< empty for idempotent requests
  std::string prompt;           ///< prompt for an engine, JSON body for a plain service
  std::int64_t max_tokens = 0;  ///< limit on output tokens; 0 for plain services
  /// Longest time without data from a server whose replies cannot be resumed.
  Millis reply_idle_timeout{30'000};
  /// Called once the connection is established, just before the first byte is sent. If it returns
  /// false, nothing is sent and the run fails with kWithdrawn.
  std::function<bool()> may_send;
};

/// Token counts and latencies of a completed run. The driver measures the times.
struct RunUsage {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;  ///< prompt tokens found in the prefix cache
  std::int64_t output_tokens = 0;
  Millis time_to_first_token{0};  ///< from dispatch to the first byte of the answer
  Millis total_time{0};           ///< from dispatch to the end of the answer
};

/// Why a run ended without an answer.
enum class RunFailure {
  kConnectFailed,  ///< no connection was established; no byte of the request was sent
  kWithdrawn,      ///< may_send returned false; no byte of the request was sent
  kRefused,        ///< the backend server reported that it did not run the request
  kContactLost,    ///< no usable response arrives; the backend server may have run the request
  kBackendDied,    ///< the backend server died; it may have run the request
};

/// Receives the progress of a run. Called from the event loop, never from inside StartRun or
/// Resume.
class RunListener {
 public:
  virtual ~RunListener() = default;
  /// The backend server has accepted the request.
  /// @param stream_id id for resuming the stream; empty if it cannot be resumed
  virtual void OnStarted(const std::string& stream_id) = 0;
  /// Delivers bytes of the answer, in order and without gaps.
  virtual void OnData(std::string_view bytes) = 0;
  /// The answer is complete.
  virtual void OnEnd(const RunUsage& usage) = 0;
  /// The run failed; the answer stays incomplete.
  virtual void OnFailure(RunFailure failure, const std::string& message) = 0;
};

/// A run in progress. Destruction stops the calls to the listener but does not cancel the run.
class BackendRun {
 public:
  virtual ~BackendRun() = default;
  /// Tells the backend server to stop the run.
  virtual void Cancel() = 0;
};

/// Services of the process that drivers use.
struct DriverContext {
  HttpClient* http = nullptr;
  TimerService* timers = nullptr;
};

/// Talks to one kind of backend server.
class BackendDriver {
 public:
  virtual ~BackendDriver() = default;

  /// Sends a request at most once; the driver never retries it.
  /// @param listener must outlive the returned run
  virtual std::unique_ptr<BackendRun> StartRun(const RunRequest& request,
                                               RunListener& listener) = 0;

  /// Fetches the rest of a stream without starting a run.
  /// @param offset number of bytes of the answer already received
  virtual std::unique_ptr<BackendRun> Resume(const Address& address, const std::string& stream_id,
                                             std::size_t offset, RunListener& listener) = 0;
};

}  // namespace bluebellpass
