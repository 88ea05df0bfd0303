#include "operator-task.h"

#include <algorithm>

#include "bluebellpass/event.h"
#include "cli/apply.h"

namespace bluebellpass {
namespace {

using nlohmann::ordered_json;

// An operator waits no longer than this for instances that do not answer.
constexpr Millis kQueryLimit{1'500};
// Of one instance; a reply must fit a frame of 2 MiB.
constexpr std::size_t kMaxRows = 4'000;

std::string Dump(const ordered_json& object) {
  return object.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

ordered_json ErrorObject(const Error& error) {
  const ErrorInfo& answer = GetErrorInfo(error.kind);
  return {{"error",
           {{"kind", answer.name},
            {"message", error.message},
            {"field", error.field},
            {"outcome", OutcomeName(answer.outcome)}}}};
}

void SendError(const OperatorTask::Reply& reply, const Error& error) {
  reply(GetErrorInfo(error.kind).http_status, Dump(ErrorObject(error)));
}

/// @return true when only the instance that was asked has something to say
bool IsLocalTopic(ShowTopic topic) {
  return topic == ShowTopic::kInstances || topic == ShowTopic::kConfig ||
         topic == ShowTopic::kQuarantine;
}

std::string TextOf(const ordered_json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

bool Matches(const ordered_json& row, const std::vector<Condition>& where) {
  return std::all_of(where.begin(), where.end(), [&](const Condition& condition) {
    const auto found = row.find(condition.field);
    return found != row.end() && TextOf(*found) == condition.value;
  });
}

std::string_view StateName(MemberState state) {
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

std::vector<std::string> FieldsOf(ShowTopic topic) {
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
  }
  return {};
}

/// @return an error when a condition names a field that the rows do not have
std::optional<Error> CheckFields(const ShowCommand& command) {
  const std::vector<std::string> fields = FieldsOf(command.topic);
  for (const Condition& condition : command.where) {
    if (std::find(fields.begin(), fields.end(), condition.field) != fields.end()) continue;
    std::string known;
    for (const std::string& field : fields) known += (known.empty() ? "" : ", ") + field;
    return Error{ErrorKind::kBadCommand,
                 "unknown field '" + condition.field + "'; known are " + known, condition.field};
  }
  return std::nullopt;
}

}  // namespace

OperatorTask::OperatorTask(OperatorContext context)
    : m_context(context), m_next_exchange(context.network.Self().incarnation.Value()) {}

void OperatorTask::Execute(const std::string& text, Reply reply) {
  std::size_t column = 0;
  const Result<Command> parsed = ParseCommand(text, &column);
  if (!IsOk(parsed)) {
    ordered_json object = ErrorObject(ErrorOf(parsed));
    object["error"]["column"] = column;
    return reply(GetErrorInfo(ErrorOf(parsed).kind).http_status, Dump(object));
  }
  const Command& command = std::get<Command>(parsed);
  if (const auto* show = std::get_if<ShowCommand>(&command)) {
    return Show(*show, text, std::move(reply));
  }
  LogEvent(EventId::kCommand, {{"command", text}});
  if (IsConfigChange(command)) return ChangeConfig(command, std::move(reply));
  if (const auto* release = std::get_if<ReleaseCommand>(&command)) return Release(*release, reply);
  if (const auto* load = std::get_if<LoadCommand>(&command)) {
    if (!m_orders) {
      return SendError(reply, {ErrorKind::kInternal, "orders are not available", ""});
    }
    m_orders(*load, [reply](const Result<ObjectVersion>& result) {
      if (!IsOk(result)) return SendError(reply, ErrorOf(result));
      reply(200, Dump({{"accepted", std::get<ObjectVersion>(result).Value()}}));
    });
  }
}

void OperatorTask::Show(const ShowCommand& command, const std::string& text, Reply reply) {
  if (const auto error = CheckFields(command)) return SendError(reply, *error);
  const std::uint64_t exchange = m_next_exchange++;
  auto query = std::make_unique<Query>(m_context.loop);
  query->command = command;
  query->text = text;
  query->reply = std::move(reply);
  query->rows = LocalRows(command);
  if (!IsLocalTopic(command.topic)) {
    for (const Member& member : m_context.network.Members()) {
      const bool is_running =
          member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
      if (!is_running || member.info.id == m_context.network.Self().id) continue;
      query->missing.insert(member.info.id);
      m_context.network.Send(member.info.id, QueryMessage{exchange, text});
    }
  }
  Query& waiting = *query;
  m_queries.emplace(exchange, std::move(query));
  if (waiting.missing.empty()) return FinishQuery(exchange);
  waiting.timer.Start(kQueryLimit, [this, exchange] { FinishQuery(exchange); });
}

void OperatorTask::NoteReply(const InstanceId& from, std::uint64_t exchange,
                             const std::string* json) {
  const auto found = m_queries.find(exchange);
  if (found == m_queries.end()) return;
  Query& query = *found->second;
  if (query.missing.erase(from) == 0) return;
  const auto rows = json == nullptr ? ordered_json() : ordered_json::parse(*json, nullptr, false);
  if (rows.is_array()) {
    for (const auto& row : rows) query.rows.push_back(row);
  }
  if (query.missing.empty()) FinishQuery(exchange);
}

void OperatorTask::FinishQuery(std::uint64_t exchange) {
  const auto found = m_queries.find(exchange);
  if (found == m_queries.end()) return;
  const std::unique_ptr<Query> query = std::move(found->second);
  m_queries.erase(found);
  ordered_json missing = ordered_json::array();
  for (const InstanceId& instance : query->missing) missing.push_back(instance.Text());
  query->reply(200, Dump({{"rows", query->rows}, {"missing", missing}}));
}

void OperatorTask::OnPeerMessage(const InstanceId& from, const PeerMessage& message) {
  if (const auto* query = std::get_if<QueryMessage>(&message)) {
    const Result<Command> parsed = ParseCommand(query->command);
    ordered_json rows = ordered_json::array();
    if (IsOk(parsed)) {
      if (const auto* show = std::get_if<ShowCommand>(&std::get<Command>(parsed))) {
        rows = LocalRows(*show);
      }
    }
    m_context.network.Send(from, QueryReplyMessage{query->exchange, Dump(rows)});
  } else if (const auto* reply = std::get_if<QueryReplyMessage>(&message)) {
    NoteReply(from, reply->exchange, &reply->json);
  }
}

void OperatorTask::OnLinkUp(const InstanceId& peer, Incarnation /*incarnation*/) {
  // In a large fleet most members are not linked when a query begins. Sending has asked for the
  // link, but what is sent before it is ready is lost.
  for (const auto& [exchange, query] : m_queries) {
    if (query->missing.contains(peer))
      m_context.network.Send(peer, QueryMessage{exchange, query->text});
  }
}

void OperatorTask::OnLinkDown(const InstanceId& /*peer*/) {
  // The instance stays among the missing; the query ends by its timer.
}

void OperatorTask::ChangeConfig(const Command& command, Reply reply) {
  m_context.config.ChangeConfig(
      [command](const ClusterConfig& config) { return ApplyCommand(config, command); },
      [reply = std::move(reply)](const Result<ObjectVersion>& result) {
        if (!IsOk(result)) return SendError(reply, ErrorOf(result));
        reply(200, Dump({{"accepted", std::get<ObjectVersion>(result).Value()}}));
      });
}

void OperatorTask::Release(const ReleaseCommand& command, const Reply& reply) {
  if (!m_context.owner.ReleaseContent(command.content)) {
    return SendError(reply, {ErrorKind::kNotFound, "nothing is held against this fingerprint",
                             FormatFingerprint(command.content)});
  }
  LogEvent(EventId::kReleased, {{"fingerprint", FormatFingerprint(command.content)}});
  reply(200, Dump({{"accepted", true}}));
}

ordered_json OperatorTask::LocalRows(const ShowCommand& command) const {
  ordered_json rows;
  switch (command.topic) {
    case ShowTopic::kWaiting:
      rows = RequestRows(m_context.home.WaitingRequests());
      break;
    case ShowTopic::kRunning:
      rows = RequestRows(m_context.home.RunningRequests());
      break;
    case ShowTopic::kRefused:
      rows = RequestRows(m_context.home.RefusedRequests());
      break;
    case ShowTopic::kBackends:
      rows = BackendRows();
      break;
    case ShowTopic::kInstances:
      rows = InstanceRows();
      break;
    case ShowTopic::kConfig:
      rows = ConfigRows();
      break;
    case ShowTopic::kQuarantine:
      rows = QuarantineRows();
      break;
  }
  ordered_json kept = ordered_json::array();
  for (const auto& row : rows) {
    if (kept.size() == kMaxRows) break;
    if (Matches(row, command.where)) kept.push_back(row);
  }
  return kept;
}

ordered_json OperatorTask::RequestRows(const std::vector<RequestRow>& rows) const {
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

ordered_json OperatorTask::BackendRows() const {
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
                    {"order", m_order_view ? m_order_view(row.backend.id) : ""},
                    {"slots_used", row.backend.slots_used},
                    {"slots", row.backend.slots},
                    {"tokens_used", row.backend.tokens_used},
                    {"prefill_tokens_per_second", row.backend.prefill_tokens_per_second},
                    {"decode_tokens_per_second", row.backend.decode_tokens_per_second}});
  }
  return list;
}

ordered_json OperatorTask::InstanceRows() const {
  ordered_json list = ordered_json::array();
  for (const Member& member : m_context.network.Members()) {
    list.push_back({{"instance", member.info.id.Text()},
                    {"state", StateName(member.state)},
                    {"leaving", member.info.is_leaving},
                    {"data_centre", member.info.data_centre.Text()},
                    {"region", member.info.region.Text()},
                    {"address", member.info.caller_address.Text()},
                    {"linked", m_context.network.IsLinked(member.info.id)},
                    {"uptime_s", member.uptime_seconds}});
  }
  return list;
}

ordered_json OperatorTask::ConfigRows() const {
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

ordered_json OperatorTask::QuarantineRows() const {
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
