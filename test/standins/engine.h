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
  double prefill_rate = 8'000;         ///< tokens per second; one prompt is prefilled at a time
  double decode_rate = 50;             ///< tokens per second and stream
  std::size_t batch = 32;              ///< number of streams above which the rate per stream falls
  double time_scale = 1;               ///< factor of both rates
  std::int64_t cache_tokens = 65'536;  ///< capacity of the prefix cache
  Millis load_lag{0};                  ///< delay until load reports and cache events show a change
  bool is_checking_fencing = false;    ///< reject orders with an outdated fencing number
  std::string model;                   ///< model that is loaded initially
};

/// @return the output for a request: max_output_tokens tokens of four characters each
std::string ExpectedAnswer(std::string_view input, std::string_view request_id,
                           std::int64_t max_output_tokens);

/// @return the number of tokens of a prompt: one per four bytes, rounded up
std::int64_t CountTokens(std::string_view input);

/// An input that contains this text crashes the engine after its response.created event.
inline constexpr std::string_view kCrashMarker = "CRASH-ENGINE";

/// Stand-in for a model engine with continuous batching, with an interface modelled on the OpenAI
/// Responses API.
class Engine {
 public:
  Engine(EventLoop& loop, EngineOptions options);

  /// @return the bound address, or kInternal
  Result<Address> Listen(const Address& address) { return m_server.Listen(address); }

  /// Sets a function that is called when an input crashes the engine. The default is Crash.
  void OnCrash(std::function<void()> function) { m_on_crash = std::move(function); }

  /// Aborts all streams, drops all work and stops accepting connections.
  void Crash();

  /// Sets a divisor of both rates.
  void SetSlowdown(double factor);

  /// Sends nothing more on the streams that are open now. New streams work.
  void SilenceOpenStreams();

  /// @return all executions, in the format of GET /control/executions
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
    std::vector<std::string> events;  ///< serialized, by sequence number
    std::vector<ResponderPtr> readers;
  };
  using StreamPtr = std::shared_ptr<Stream>;

  struct LoadSample {
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

  /// Simulates prefill and decoding up to the current time.
  void AdvanceToNow();
  void Prefill(double seconds);
  void Decode(double seconds);
  void ScheduleStep();
  double DecodeRate() const;
  double SpeedFactor() const { return m_options.time_scale / m_slowdown; }
  void BeginPrefill(Stream& stream);
  void EmitDecodedText(Stream& stream);
  void EmitEvent(Stream& stream, const std::string& type, Json fields);
  void EndStream(const StreamPtr& stream, State state);
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
  Timer m_step_timer;
  PrefixCache m_cache;
  std::deque<LoadSample> m_load_samples;
  std::uint64_t m_fencing = 0;
  std::uint64_t m_highest_fencing = 0;
  std::string m_role = "mixed";
  std::map<std::string, std::string> m_models;
  std::map<std::string, std::string> m_adapters;
  Server m_server;
};

}  // namespace bluebellpass::standin
