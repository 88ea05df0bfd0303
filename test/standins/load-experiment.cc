#include "load-experiment.h"

#include <algorithm>

#include "engine.h"

namespace bluebellpass::standin {
namespace {

constexpr std::size_t kTokenBytes = 4;

LoadStream ParseStream(const Json& json) {
  LoadStream stream;
  stream.organisation = json.at("organisation").get<std::string>();
  stream.tier = json.at("tier").get<std::string>();
  stream.pool = json.at("pool").get<std::string>();
  stream.rate = json.at("rate").get<double>();
  stream.prompt_bytes = json.value("prompt_bytes", stream.prompt_bytes);
  stream.shared_prefix_bytes = json.value("shared_prefix_bytes", stream.shared_prefix_bytes);
  stream.shared_prefix = json.value("shared_prefix", stream.shared_prefix);
  stream.max_tokens = json.value("max_tokens", stream.max_tokens);
  stream.deadline = Millis{json.value("deadline_ms", stream.deadline.count())};
  stream.is_idempotent = json.value("idempotent", stream.is_idempotent);
  stream.duration_s = json.value("duration_s", stream.duration_s);
  stream.start_s = json.value("start_s", stream.start_s);
  stream.seed = json.value("seed", stream.seed);
  return stream;
}

/// @return a text of at least the given length that is a function of the name
std::string NamedText(const std::string& name, std::size_t bytes) {
  return ExpectedAnswer(name, "", static_cast<std::int64_t>(bytes / kTokenBytes + 1));
}

}  // namespace

Result<LoadExperiment> ParseExperiment(const std::string& text) {
  LoadExperiment experiment;
  try {
    const Json json = Json::parse(text);
    for (const Json& stream : json.is_array() ? json : json.at("streams")) {
      experiment.streams.push_back(ParseStream(stream));
      if (experiment.streams.back().rate <= 0) {
        return Error{ErrorKind::kBadRequest, "the rate of a stream must be positive", "rate"};
      }
    }
    if (json.is_array()) return experiment;
    experiment.max_requests = json.value("max_requests", experiment.max_requests);
    experiment.max_connections = json.value("max_connections", experiment.max_connections);
    experiment.nearest_probability =
        json.value("nearest_probability", experiment.nearest_probability);
    experiment.idle_timeout =
        Millis{json.value("idle_timeout_ms", experiment.idle_timeout.count())};
    experiment.is_verifying = json.value("verify", experiment.is_verifying);
  } catch (const Json::exception& error) {
    return Error{ErrorKind::kBadRequest, error.what(), ""};
  }
  return experiment;
}

std::string MakePrompt(const LoadStream& stream, std::uint64_t number) {
  const std::string name = stream.organisation + "/" + stream.pool + "/" +
                           std::to_string(stream.seed) + "/" +
                           std::to_string(stream.shared_prefix_bytes);
  const std::string& prefix = stream.shared_prefix.empty() ? name : stream.shared_prefix;
  std::string prompt = NamedText(prefix, stream.shared_prefix_bytes);
  prompt.resize(std::min(stream.shared_prefix_bytes, stream.prompt_bytes));
  prompt += NamedText(name + "/" + std::to_string(number), stream.prompt_bytes - prompt.size());
  prompt.resize(stream.prompt_bytes);
  return prompt;
}

Json ToJson(const LoadResult& result) {
  return {{"id", result.id},
          {"organisation", result.organisation},
          {"tier", result.tier},
          {"pool", result.pool},
          {"backend", result.backend},
          {"due_ms", result.due_ms},
          {"done_ms", result.done_ms},
          {"first_byte_ms", result.first_byte_ms},
          {"outcome", result.outcome},
          {"error", result.error},
          {"bytes", result.bytes},
          {"attempts", result.attempts},
          {"on_time", result.is_on_time},
          {"wrong", result.is_wrong_answer}};
}

void LoadSummary::Add(const LoadResult& result) {
  m_total.Add(result);
  m_tiers[result.tier].Add(result);
  m_organisations[result.tier][result.organisation].Add(result);
}

void LoadSummary::Counts::Add(const LoadResult& result) {
  if (result.outcome == "not_sent") {
    ++not_sent;
    return;
  }
  ++sent;
  if (result.outcome == "completed") {
    ++completed;
  } else if (result.outcome == "not_run") {
    ++not_run[result.error];
  } else {
    ++unknown;
  }
  if (result.is_on_time) ++on_time;
  if (result.is_wrong_answer) ++wrong_answers;
}

Json LoadSummary::Counts::ToJson() const {
  return {{"sent", sent},
          {"completed", completed},
          {"completed_on_time", on_time},
          {"not_run", not_run},
          {"unknown", unknown},
          {"not_sent", not_sent},
          {"wrong_answer", wrong_answers}};
}

Json LoadSummary::ToJson() const {
  Json tiers = Json::object();
  for (const auto& [tier, counts] : m_tiers) {
    tiers[tier] = counts.ToJson();
    tiers[tier]["organisations"] = Json::object();
    for (const auto& [name, organisation_counts] : m_organisations.at(tier)) {
      tiers[tier]["organisations"][name] = organisation_counts.ToJson();
    }
  }
  return {{"total", m_total.ToJson()}, {"tiers", tiers}};
}

}  // namespace bluebellpass::standin
