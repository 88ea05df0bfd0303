#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "prefix-cache.h"
#include "standin.h"

namespace bluebellpass::standin {

struct EngineOptions {
  double prefill_rate = 8'000;         ///< tokens per second, one prompt after another
  double decode_rate = 50;             ///< tokens per second of a stream
  std::size_t batch = 32;              ///< streams beyond which the rate per stream falls
  double time_scale = 1;               ///< factor on both rates
  std::int64_t cache_tokens = 65'536;  ///< memory of the prefix cache
  Millis load_lag{0};                  ///< age of the load report and of cache events
  bool is_checking_fencing = false;    ///< refuse orders with a stale fencing number
  std::string model;                   ///< model that is loaded at the start
};

/// @return the answer to a request: four characters for each token, max_output_tokens tokens
std::string ExpectedAnswer(std::string_view input, std::string_view request_id,
                           std::int64_t max_output_tokens);

/// @return the number of tokens of a prompt: one for each four bytes begun
std::int64_t CountTokens(std::string_view input);

/// An input that contains this text makes the engine crash after its response.created event.
inline constexpr std::string_view kCrashMarker = "CRASH-ENGINE";

/// Stand-in for a model engine with continuous batching, after the OpenAI Responses API.
class Engine {
 public:
  Engine(EventLoop& loop, EngineOptions options);

  /// @return the address in use, or kInternal
  Result<Address> Listen(const Address& address) { return m_server.Listen(address); }

  /// Called when an input crashes the engine. By default all connections are dropped and no new
  /// ones accepted.
  void OnCrash(std::function<void()> function) { m_on_crash = std::move(function); }

  /// Drops all connections, ends all work and accepts no new connections.
  void Crash();

  /// Divides both rates by a factor.
  void SetSlowdown(double factor);

  /// Makes all streams that are open now carry nothing more; new ones work.
  void SilenceOpenStreams();

  /// @return all executions as GET /control/executions answers them
  Json Executions() const;

 private:
  enum class State { kRunning, kDone, kCancelled };

  struct Stream {
    std::string id;
    std::string request_id;
    std::string model;
    std::string input;
    std::string answer;
    State state = State::kRunning;
    bool is_background = true;
    std::int64_t input_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t output_tokens = 0;
    std::int64_t max_output_tokens = 0;
    double prefill_left = 0;  ///< tokens
    double decoded = 0;       ///< tokens
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0;
    std::vector<std::string> events;  ///< by sequence number, as sent
    std::vector<ResponderPtr> readers;
  };
  using StreamPtr = std::shared_ptr<Stream>;

  struct Load {
    TimePoint at;
    std::size_t active = 0;
    std::size_t waiting = 0;
    std::int64_t kv_tokens = 0;
    std::size_t cached_blocks = 0;
  };

  void Handle(const HttpRequest& request, const ResponderPtr& responder);
  void HandleControl(const HttpRequest& request, HttpResponder& responder);
  void HandleCreate(const HttpRequest& request, const ResponderPtr& responder);
  void HandleResume(const HttpRequest& request, const std::string& id,
                    const ResponderPtr& responder);
  void HandleCancel(const std::string& id, HttpResponder& responder);
  void HandleOrder(const HttpRequest& request, HttpResponder& responder);
  void HandleKvEvents(const HttpRequest& request, HttpResponder& responder);
  void HandleLoad(HttpResponder& responder);

  /// Brings the model of the work up to the present time.
  void Advance();
  void Prefill(double seconds);
  void Decode(double seconds);
  void ScheduleStep();
  double DecodeRate() const;
  double SpeedFactor() const { return m_options.time_scale / m_slowdown; }
  void BeginPrefill(Stream& stream);
  void EmitOutput(Stream& stream);
  void Emit(Stream& stream, const std::string& type, Json fields);
  void Finish(const StreamPtr& stream, State state);
  void RecordLoad();

  EngineOptions m_options;
  double m_slowdown = 1;
  bool m_is_crashed = false;
  std::function<void()> m_on_crash;
  std::uint64_t m_next_id = 1;
  std::uint64_t m_incarnation;
  std::map<std::string, StreamPtr> m_streams;
  std::vector<StreamPtr> m_executions;
  std::deque<StreamPtr> m_prefilling;
  std::vector<StreamPtr> m_decoding;
  TimePoint m_advanced_to;
  Timer m_step;
  PrefixCache m_cache;
  std::deque<Load> m_loads;
  std::uint64_t m_fencing = 0;
  std::uint64_t m_highest_fencing = 0;
  std::string m_role = "mixed";
  std::map<std::string, std::string> m_models;
  std::map<std::string, std::string> m_adapters;
  Server m_server;
};

}  // namespace bluebellpass::standin
