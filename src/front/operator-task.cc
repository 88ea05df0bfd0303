#include "operator-task.h"

#include <algorithm>

#include "bluebellpass/event.h"
#include "cli/apply.h"

namespace bluebellpass {
namespace {

using nlohmann::ordered_json;

// Longest time that a query waits for replies of other instances.
constexpr Millis kQueryTimeout{1'500};
// The rows of an instance must fit into a peer frame, which is limited to 2 MiB.
constexpr std::size_t kMaxRowsPerInstance = 4'000;

std::string FormatJson(const ordered_json& object) {
  return object.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

void SendError(const OperatorTask::ReplyFunction& reply, const Error& error) {
  reply(GetErrorInfo(error.kind).http_status, FormatJson(MakeErrorObject(error)));
}

/// @return true if the instance that received the command can list this topic without its peers
bool IsLocalTopic(ShowTopic topic) {
  return topic == ShowTopic::kInstances || topic == ShowTopic::kConfig ||
         topic == ShowTopic::kQuarantine;
}

std::string_view MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "dead";
}

std::vector<std::string> GetRowFields(ShowTopic topic) {
  switch (topic) {
    case ShowTopic::kWaiting:
    case ShowTopic::kRunning:
    case ShowTopic::kRefused:
      return {"id",      "instance",    "organisation", "tier",   "pool",
              "backend", "data_centre", "phase",        "age_ms", "error"};
    case ShowTopic::kBackends:
      return {"backend", "pool", "region", "data_centre", "state", "owner", "order"};
    case ShowTopic::kInstances:
      return {"instance", "state", "data_centre", "region", "address", "leaving"};
    case ShowTopic::kConfig:
      return {"kind", "name"};
    case ShowTopic::kQuarantine:
      return {"fingerprint", "deaths", "state"};
    case ShowTopic::kRollouts:
      break;
  }
  return {};
}

/// @return an error if a condition names a field that rows of the topic do not have
std::optional<Error> CheckConditionFields(const ShowCommand& command) {
  const std::vector<std::string> fields = GetRowFields(command.topic);
  for (const Condition& condition : command.conditions) {
    if (std::find(fields.begin(), fields.end(), condition.field) != fields.end()) continue;
    std::string known_fields;
    for (const std::string& field : fields)
      known_fields += (known_fields.empty() ? "" : ", ") + field;
    return Error{ErrorKind::kBadCommand,
                 "unknown field '" + condition.field + "'; known are " + known_fields,
                 condition.field};
  }
  return std::nullopt;
}

}  // namespace

OperatorTask::OperatorTask(OperatorContext context)
    : m_context(context), m_next_exchange(context.network.Self().incarnation.Value()) {}

void OperatorTask::ExecuteCommand(const std::string& text, ReplyFunction reply) {
  std::size_t column = 0;
  const Result<Command> parsed = ParseCommand(text, &column);
  if (!IsOk(parsed)) {
    ordered_json object = MakeErrorObject(ErrorOf(parsed));
    object["error"]["column"] = column;
    return reply(GetErrorInfo(ErrorOf(parsed).kind).http_status, FormatJson(object));
  }
  const Command& command = std::get<Command>(parsed);
  if (const auto* show = std::get_if<ShowCommand>(&command)) {
    return ExecuteShow(*show, text, std::move(reply));
  }
  LogEvent(EventId::kCommand, {{"command", text}});
  if (IsConfigChange(command)) return ChangeConfig(command, std::move(reply));
  if (const auto* release = std::get_if<ReleaseCommand>(&command))
    return ReleaseFingerprint(*release, reply);
  if (const auto* load = std::get_if<LoadCommand>(&command)) {
    if (!m_load_handler) {
      return SendError(reply, {ErrorKind::kInternal, "orders are not available", ""});
    }
    m_load_handler(*load, [reply](const Result<ObjectVersion>& result) {
      if (!IsOk(result)) return SendError(reply, ErrorOf(result));
      reply(200, FormatJson({{"accepted", std::get<ObjectVersion>(result).Value()}}));
    });
  }
}

void OperatorTask::ExecuteShow(const ShowCommand& command, const std::string& text,
                               ReplyFunction reply) {
  if (command.topic == ShowTopic::kRollouts)
    return SendError(reply, {ErrorKind::kBadCommand,
                             "roll-outs belong to the gateway: use the metrics address of a "
                             "gateway instance as the entry",
                             "rollouts"});
  if (const auto error = CheckConditionFields(command)) return SendError(reply, *error);
  const std::uint64_t exchange = m_next_exchange++;
  auto query = std::make_unique<PendingQuery>(m_context.loop);
  query->command = command;
  query->text = text;
  query->reply = std::move(reply);
  query->rows = CollectLocalRows(command);
  if (!IsLocalTopic(command.topic)) {
    for (const Member& member : m_context.network.Members()) {
      const bool is_running =
          member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
      if (!is_running || member.info.id == m_context.network.Self().id) continue;
      query->missing.insert(member.info.id);
      m_context.network.Send(member.info.id, QueryMessage{exchange, text});
    }
  }
  PendingQuery& pending_query = *query;
  m_pending_queries.emplace(exchange, std::move(query));
  if (pending_query.missing.empty()) return FinishQuery(exchange);
  pending_query.timer.Start(kQueryTimeout, [this, exchange] { FinishQuery(exchange); });
}

void OperatorTask::AddReply(const InstanceId& from, std::uint64_t exchange,
                            const std::string* json) {
  const auto found = m_pending_queries.find(exchange);
  if (found == m_pending_queries.end()) return;
  PendingQuery& query = *found->second;
  if (query.missing.erase(from) == 0) return;
  const auto rows = json == nullptr ? ordered_json() : ordered_json::parse(*json, nullptr, false);
  if (rows.is_array()) {
    for (const auto& row : rows) query.rows.push_back(row);
  }
  if (query.missing.empty()) FinishQuery(exchange);
}

void OperatorTask::FinishQuery(std::uint64_t exchange) {
  const auto found = m_pending_queries.find(exchange);
  if (found == m_pending_queries.end()) return;
  const std::unique_ptr<PendingQuery> query = std::move(found->second);
  m_pending_queries.erase(found);
  ordered_json missing = ordered_json::array();
  for (const InstanceId& instance : query->missing) missing.push_back(instance.Text());
  query->reply(200, FormatJson({{"rows", query->rows}, {"missing", missing}}));
}

void OperatorTask::OnPeerMessage(const InstanceId& from, const PeerMessage& message) {
  if (const auto* query = std::get_if<QueryMessage>(&message)) {
    const Result<Command> parsed = ParseCommand(query->command);
    ordered_json rows = ordered_json::array();
    if (IsOk(parsed)) {
      if (const auto* show = std::get_if<ShowCommand>(&std::get<Command>(parsed))) {
        rows = CollectLocalRows(*show);
      }
    }
    m_context.network.Send(from, QueryReplyMessage{query->exchange, FormatJson(rows)});
  } else if (const auto* reply = std::get_if<QueryReplyMessage>(&message)) {
    AddReply(from, reply->exchange, &reply->json);
  }
}

void OperatorTask::OnLinkUp(const InstanceId& peer, Incarnation /*incarnation*/) {
  // In a large fleet, most members are not linked when a query begins. Sending the query opens the
  // link, but a message sent before the link is up is lost, so it is sent again.
  for (const auto& [exchange, query] : m_pending_queries) {
    if (query->missing.contains(peer))
      m_context.network.Send(peer, QueryMessage{exchange, query->text});
  }
}

void OperatorTask::OnLinkDown(const InstanceId& /*peer*/) {
  // The instance stays in the missing set, and the query ends by its timeout.
}

void OperatorTask::ChangeConfig(const Command& command, ReplyFunction reply) {
  m_context.config.ChangeConfig(
      [command](const ClusterConfig& config) { return ApplyCommand(config, command); },
      [reply = std::move(reply)](const Result<ObjectVersion>& result) {
        if (!IsOk(result)) return SendError(reply, ErrorOf(result));
        reply(200, FormatJson({{"accepted", std::get<ObjectVersion>(result).Value()}}));
      });
}

void OperatorTask::ReleaseFingerprint(const ReleaseCommand& command, const ReplyFunction& reply) {
  if (!m_context.owner.ReleaseContent(command.content)) {
    return SendError(reply, {ErrorKind::kNotFound, "nothing is held against this fingerprint",
                             FormatFingerprint(command.content)});
  }
  LogEvent(EventId::kReleased, {{"fingerprint", FormatFingerprint(command.content)}});
  reply(200, FormatJson({{"accepted", true}}));
}

ordered_json OperatorTask::CollectLocalRows(const ShowCommand& command) const {
  ordered_json rows;
  switch (command.topic) {
    case ShowTopic::kWaiting:
      rows = MakeRequestRows(m_context.home.WaitingRequests());
      break;
    case ShowTopic::kRunning:
      rows = MakeRequestRows(m_context.home.RunningRequests());
      break;
    case ShowTopic::kRefused:
      rows = MakeRequestRows(m_context.home.RefusedRequests());
      break;
    case ShowTopic::kBackends:
      rows = MakeBackendRows();
      break;
    case ShowTopic::kInstances:
      rows = MakeInstanceRows();
      break;
    case ShowTopic::kConfig:
      rows = MakeConfigRows();
      break;
    case ShowTopic::kQuarantine:
      rows = MakeQuarantineRows();
      break;
    case ShowTopic::kRollouts:
      break;
  }
  ordered_json matching_rows = ordered_json::array();
  for (const auto& row : rows) {
    if (matching_rows.size() == kMaxRowsPerInstance) break;
    if (MatchesAll(row, command.conditions)) matching_rows.push_back(row);
  }
  return matching_rows;
}

ordered_json OperatorTask::MakeRequestRows(const std::vector<RequestRow>& rows) const {
  ordered_json list = ordered_json::array();
  for (const RequestRow& row : rows) {
    ordered_json object = {{"id", row.id.Text()},
                           {"instance", m_context.network.Self().id.Text()},
                           {"organisation", row.organisation.Text()},
                           {"tier", row.tier.Text()},
                           {"pool", row.pool.Text()},
                           {"data_centre", row.data_centre.Text()},
                           {"phase", row.phase},
                           {"age_ms", row.age.count()}};
    if (!row.backend.IsEmpty()) object["backend"] = row.backend.Text();
    if (!row.error.empty()) object["error"] = row.error;
    list.push_back(std::move(object));
  }
  return list;
}

ordered_json OperatorTask::MakeBackendRows() const {
  const ClusterConfig& config = m_context.config.Current().config;
  ordered_json list = ordered_json::array();
  for (const CellBackendStats& row : m_context.owner.CellBackends()) {
    const BackendConfig* backend = config.FindBackend(row.backend.id);
    list.push_back({{"backend", row.backend.id.Text()},
                    {"pool", row.cell.pool.Text()},
                    {"region", row.cell.region.Text()},
                    {"data_centre", backend == nullptr ? "" : backend->data_centre.Text()},
                    {"state", row.backend.is_active ? "active" : "leaving"},
                    {"owner", m_context.network.Self().id.Text()},
                    {"order", m_order_state_source ? m_order_state_source(row.backend.id) : ""},
                    {"slots_used", row.backend.slots_used},
                    {"slots", row.backend.slots},
                    {"tokens_used", row.backend.tokens_used},
                    {"prefill_tokens_per_second", row.backend.prefill_tokens_per_second},
                    {"decode_tokens_per_second", row.backend.decode_tokens_per_second}});
  }
  return list;
}

ordered_json OperatorTask::MakeInstanceRows() const {
  ordered_json list = ordered_json::array();
  for (const Member& member : m_context.network.Members()) {
    list.push_back({{"instance", member.info.id.Text()},
                    {"state", MemberStateName(member.state)},
                    {"leaving", member.info.is_leaving},
                    {"data_centre", member.info.data_centre.Text()},
                    {"region", member.info.region.Text()},
                    {"address", member.info.caller_address.Text()},
                    {"linked", m_context.network.IsLinked(member.info.id)},
                    {"uptime_s", member.uptime_seconds}});
  }
  return list;
}

ordered_json OperatorTask::MakeConfigRows() const {
  const VersionedConfig& current = m_context.config.Current();
  ordered_json list = ordered_json::array();
  list.push_back({{"kind", "version"}, {"name", std::to_string(current.version.Value())}});
  for (const TierConfig& tier : current.config.tiers) {
    list.push_back({{"kind", "tier"},
                    {"name", tier.name.Text()},
                    {"rank", tier.rank.Value()},
                    {"share", tier.share}});
  }
  for (const OrganisationConfig& organisation : current.config.organisations) {
    list.push_back({{"kind", "organisation"},
                    {"name", organisation.id.Text()},
                    {"weight", organisation.weight}});
  }
  for (const BackendConfig& backend : current.config.backends) {
    list.push_back({{"kind", "backend"},
                    {"name", backend.id.Text()},
                    {"pool", backend.pool.Text()},
                    {"state", backend.state == BackendState::kActive ? "active" : "leaving"}});
  }
  for (const ShiftRule& shift : current.config.shifts) {
    list.push_back({{"kind", "shift"},
                    {"name", shift.pool.Text()},
                    {"from", shift.from.Text()},
                    {"to", shift.to.Text()},
                    {"percent", shift.percent}});
  }
  return list;
}

ordered_json OperatorTask::MakeQuarantineRows() const {
  ordered_json list = ordered_json::array();
  for (const QuarantineEntry& entry : m_context.owner.QuarantineEntries()) {
    const bool is_held = m_context.owner.IsQuarantined(entry.content);
    list.push_back({{"fingerprint", FormatFingerprint(entry.content)},
                    {"deaths", entry.deaths},
                    {"state", is_held             ? "quarantined"
                              : entry.deaths == 0 ? "released"
                                                  : "suspect"},
                    {"remaining_s", entry.remaining.count() / 1000}});
  }
  return list;
}

}  // namespace bluebellpass
