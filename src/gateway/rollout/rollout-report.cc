#include "rollout-report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "cli/command.h"

namespace bluebellpass::gateway {
namespace {

using nlohmann::ordered_json;

constexpr int kOk = 200;
constexpr double kPercent = 100;
constexpr char kStateMetric[] = "gateway_rollout_state";
// Fields of the rows that are metrics too.
constexpr std::array kNumbers = {"elapsed_ms",      "deadline_ms",     "share_percent",
                                 "target_requests", "target_failures", "old_requests",
                                 "old_failures",    "exposure_limit"};

std::string FormatJson(const ordered_json& object) {
  return object.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

ordered_json MakeRow(const RolloutSummary& rollout) {
  return {{"service", rollout.order.service.Text()},
          {"target", rollout.order.target.Text()},
          {"state", NameOf(rollout.state)},
          {"phase", NameOf(rollout.phase)},
          {"elapsed_ms", rollout.elapsed.count()},
          {"deadline_ms", rollout.order.deadline.count()},
          {"share_percent", std::lround(rollout.share * kPercent)},
          {"target_requests", rollout.target.results},
          {"target_failures", rollout.target.failures},
          {"old_requests", rollout.old.results},
          {"old_failures", rollout.old.failures},
          {"exposure_limit", rollout.exposure_limit},
          {"reason", rollout.reason}};
}

CommandReply MakeErrorReply(const Error& error) {
  return {GetErrorInfo(error.kind).http_status, FormatJson(MakeErrorObject(error))};
}

CommandReply MakeReply(const std::vector<RolloutSummary>& rollouts,
                       const std::vector<Condition>& conditions) {
  const ordered_json fields = MakeRow({});
  for (const Condition& condition : conditions)
    if (!fields.contains(condition.field))
      return MakeErrorReply({ErrorKind::kBadCommand,
                             "unknown field '" + condition.field + "' of roll-outs",
                             condition.field});
  ordered_json rows = ordered_json::array();
  for (const RolloutSummary& rollout : rollouts) {
    ordered_json row = MakeRow(rollout);
    if (MatchesAll(row, conditions)) rows.push_back(std::move(row));
  }
  return {kOk, FormatJson({{"rows", std::move(rows)}})};
}

/// @return a label whose value may be any text, since operators choose names
std::string MakeLabel(const std::string& name, const std::string& value) {
  std::string label = name + "=\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') label += '\\';
    label += c == '\n' ? ' ' : c;
  }
  return label + "\"";
}

}  // namespace

CommandReply AnswerCommand(const std::string& text, const std::vector<RolloutSummary>& rollouts) {
  const Result<Command> command = ParseCommand(text);
  if (!IsOk(command)) return MakeErrorReply(ErrorOf(command));
  const auto* show = std::get_if<ShowCommand>(&std::get<Command>(command));
  if (show == nullptr || show->topic != ShowTopic::kRollouts)
    return MakeErrorReply(
        {ErrorKind::kBadCommand, "an instance of the gateway answers 'show rollouts' only", ""});
  return MakeReply(rollouts, show->conditions);
}

std::string EncodeRollouts(const std::vector<RolloutSummary>& rollouts) {
  return MakeReply(rollouts, {}).body;
}

void SetRolloutMetrics(Metrics& metrics, const std::vector<RolloutSummary>& rollouts) {
  const auto metric_of = [](const char* field) { return std::string("gateway_rollout_") + field; };
  metrics.ClearGauge(kStateMetric);
  for (const char* field : kNumbers) metrics.ClearGauge(metric_of(field));
  for (const RolloutSummary& rollout : rollouts) {
    const ordered_json row = MakeRow(rollout);
    const std::string labels = MakeLabel("service", rollout.order.service.Text()) + "," +
                               MakeLabel("target", rollout.order.target.Text());
    metrics.SetGauge(kStateMetric, 1,
                     labels + "," + MakeLabel("state", std::string(NameOf(rollout.state))));
    for (const char* field : kNumbers)
      metrics.SetGauge(metric_of(field), row[field].get<double>(), labels);
  }
}

}  // namespace bluebellpass::gateway
