#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bluebellpass/types.h"

namespace bluebellpass::test {

struct EngineModelOptions {
  int slots = 9;
  double step_ms = 3;  ///< duration of a step without prefill
  double prefill_ms_per_token = 0.015;
  std::int64_t chunk_tokens = 1'024;  ///< maximum prompt tokens prefilled per step
  int tokens_per_event = 5;
};

/// Model of an engine with continuous batching. A step prefills a chunk of the pending prompts,
/// which lengthens the step, and produces one token for each running request whose prompt is
/// complete. Requests beyond the slots wait in the engine's queue. Time is passed in.
class EngineModel {
 public:
  struct Event {
    std::string id;
    TimePoint at;
    bool is_end = false;
  };

  explicit EngineModel(EngineModelOptions options) : m_options(options) {}

  void Admit(const std::string& id, std::int64_t prompt_tokens, std::int64_t output_tokens,
             TimePoint now);
  /// Removes a request whose caller has disconnected.
  void Cancel(const std::string& id);
  /// Runs all steps that end by the given time.
  /// @return events of the response streams, in order
  std::vector<Event> RunUntil(TimePoint now);

  std::size_t RequestCount() const { return m_running.size() + m_queue.size(); }

 private:
  struct Request {
    std::int64_t unprefilled_tokens = 0;
    std::int64_t output_tokens = 0;
    std::int64_t produced_tokens = 0;
  };
  void FillSlots();

  EngineModelOptions m_options;
  std::vector<std::pair<std::string, Request>> m_running;
  std::vector<std::pair<std::string, Request>> m_queue;
  TimePoint m_step_started{};
};

}  // namespace bluebellpass::test
