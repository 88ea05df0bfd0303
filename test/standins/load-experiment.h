#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "standin.h"

namespace bluebellpass::standin {

/// Requests of one kind, arriving as a Poisson process.
struct LoadStream {
  std::string organisation;
  std::string tier;
  std::string pool;
  double rate = 1;  ///< requests per second
  std::size_t prompt_bytes = 1'000;
  std::size_t shared_prefix_bytes = 0;  ///< start of the prompt, identical in the whole stream
  std::string shared_prefix;            ///< name of that start; streams with the same name share it
  std::int64_t max_tokens = 16;
  Millis deadline{10'000};  ///< from the due time of a request
  bool is_idempotent = true;
  double duration_s = 1;
  double start_s = 0;
  std::uint64_t seed = 1;
};

struct LoadExperiment {
  std::vector<LoadStream> streams;
  std::size_t max_requests = 100'000;
  std::size_t max_connections = 256;
  double nearest_probability = 0.5;  ///< of choosing an instance rather than going on in the list
  Millis idle_timeout{30'000};       ///< added to the deadline; a connection idle for longer fails
  bool is_verifying = false;         ///< compare answers with those of the stand-in engine
};

/// Parses an experiment: a JSON array of streams, or an object with "streams" and the limits.
/// @return the experiment, or kBadRequest
Result<LoadExperiment> ParseExperiment(const std::string& text);

/// @return a prompt that is a function of the arguments
std::string MakePrompt(const LoadStream& stream, std::uint64_t number);

/// Result of one request. Times are wall-clock times in milliseconds.
struct LoadResult {
  std::string id;
  std::string organisation;
  std::string tier;
  std::string pool;
  std::string backend;
  std::int64_t due_ms = 0;
  std::int64_t done_ms = 0;
  std::int64_t first_byte_ms = -1;  ///< from the due time; -1 if no data arrived
  std::string outcome;              ///< completed, not_run, unknown, not_sent or abandoned
  std::string error;
  std::size_t bytes = 0;
  int attempts = 0;
  bool is_on_time = false;
  bool is_wrong_answer = false;  ///< the answer differs from the expected one
};

Json ToJson(const LoadResult& result);

/// Result counts by tier and organisation.
class LoadSummary {
 public:
  void Add(const LoadResult& result);
  /// @return {"total":counts,"tiers":{tier:{counts..,"organisations":{name:counts}}}}
  Json ToJson() const;

 private:
  struct Counts {
    std::int64_t sent = 0;
    std::int64_t completed = 0;
    std::int64_t on_time = 0;
    std::int64_t unknown = 0;
    std::int64_t not_sent = 0;
    std::int64_t wrong_answers = 0;
    std::map<std::string, std::int64_t> not_run;

    void Add(const LoadResult& result);
    Json ToJson() const;
  };

  Counts m_total;
  std::map<std::string, Counts> m_tiers;
  std::map<std::string, std::map<std::string, Counts>> m_organisations;
};

}  // namespace bluebellpass::standin
