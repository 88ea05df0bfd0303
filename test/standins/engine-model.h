#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bluebellpass/types.h"

namespace bluebellpass::test {

struct EngineModelOptions {
  int slots = 9;
  double step_ms = 3;  ///< one token of each running request
  double reading_ms_per_token = 0.015;
  std::int64_t chunk_tokens = 1'024;  ///< most prompt tokens that are read in one step
  int tokens_per_event = 5;
};

/// A model engine that batches continuously: each step produces one token of every running request
/// and reads a chunk of the prompts that wait for it, which makes the step longer. Requests beyond
/// its slots queue inside. Shared by load simulations and the stand-in engine; time is the
/// caller's.
class EngineModel {
 public:
  struct Event {
    std::string id;
    TimePoint at;
    bool is_end = false;
  };

  explicit EngineModel(EngineModelOptions options) : m_options(options) {}

  void Admit(const std::string& id, std::int64_t prompt, std::int64_t output, TimePoint now);
  /// Drops a request whose caller has left.
  void Cancel(const std::string& id);
  /// Runs all steps that end by this time.
  /// @return events of streams, in order
  std::vector<Event> RunUntil(TimePoint now);

  std::size_t Load() const { return m_running.size() + m_queue.size(); }

 private:
  struct Request {
    std::int64_t unread = 0;
    std::int64_t output = 0;
    std::int64_t produced = 0;
  };
  void Fill();

  EngineModelOptions m_options;
  std::vector<std::pair<std::string, Request>> m_running;
  std::vector<std::pair<std::string, Request>> m_queue;
  TimePoint m_step_began{};
};

}  // namespace bluebellpass::test
