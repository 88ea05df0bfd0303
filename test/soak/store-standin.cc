#include "store-standin.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "platform/names.h"

namespace bluebellpass::test {
namespace {

using nlohmann::json;

constexpr Millis kWatchPeriod{5};
constexpr Millis kSlowDelay{240};
constexpr int kLostResponsePercent = 35;
constexpr std::string_view kStatusSuffix = "/status";

std::uint64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  return at == std::string::npos
             ? 0
             : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace

StoreStandin::StoreStandin(EventLoop& loop, std::uint64_t seed)
    : m_loop(loop),
      m_random(seed),
      m_server(loop, {},
               [this](const std::shared_ptr<HttpExchange>& exchange) { Handle(exchange); }),
      m_watch_timer(loop) {
  m_watch_timer.StartPeriodic(kWatchPeriod, [this] { UpdateWatches(); });
}

json StoreStandin::Encode(const std::string& name, const Object& object) const {
  json result = {{"meta", {{"name", name}, {"rev", object.revision}, {"created", object.created}}},
                 {"spec", object.spec}};
  if (!object.status.is_null()) result["status"] = object.status;
  return result;
}

void StoreStandin::RecordChange(const std::string& kind, json event) {
  m_history.push_back({m_revision, kind, std::move(event)});
}

void StoreStandin::Put(const std::string& kind, const std::string& name, json spec) {
  Object& object = m_objects[kind][name];
  if (object.revision != 0 && object.spec == spec) return;
  object.revision = ++m_revision;
  if (object.created == 0) object.created = object.revision;
  object.spec = std::move(spec);
  RecordChange(kind, {{"deleted", false}, {"object", Encode(name, object)}});
}

void StoreStandin::Delete(const std::string& kind, const std::string& name) {
  auto& objects = m_objects[kind];
  const auto found = objects.find(name);
  if (found == objects.end()) return;
  found->second.revision = ++m_revision;
  RecordChange(kind, {{"deleted", true}, {"object", Encode(name, found->second)}});
  objects.erase(found);
}

bool StoreStandin::Contains(const std::string& kind, const std::string& name) const {
  const auto objects = m_objects.find(kind);
  return objects != m_objects.end() && objects->second.contains(name);
}

json StoreStandin::StatusOf(const std::string& kind, const std::string& name) const {
  const auto objects = m_objects.find(kind);
  if (objects == m_objects.end()) return nullptr;
  const auto found = objects->second.find(name);
  return found == objects->second.end() ? json() : found->second.status;
}

int StoreStandin::WriteStatus(const std::string& kind, const std::string& name, const json& body) {
  auto& objects = m_objects[kind];
  const auto found = objects.find(name);
  if (found == objects.end()) return 404;
  Object& object = found->second;
  if (body["meta"]["rev"] != object.revision) return 409;
  object.revision = ++m_revision;
  object.status = body["status"];
  RecordChange(kind, {{"deleted", false}, {"object", Encode(name, object)}});
  return 200;
}

void StoreStandin::Compact() {
  m_oldest_revision = m_revision;
  m_history.clear();
}

void StoreStandin::Restore() {
  m_revision = m_copy.revision;
  m_oldest_revision = m_copy.oldest_revision;
  m_objects = m_copy.objects;
  m_history = m_copy.history;
  ++m_era;
  for (const Watch& watch : std::exchange(m_watches, {})) watch.exchange->Abort();
  for (const auto& exchange : std::exchange(m_unanswered_exchanges, {})) exchange->Abort();
}

void StoreStandin::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  ++m_call_count;
  switch (m_fault) {
    case Fault::kSilent:
      m_unanswered_exchanges.push_back(exchange);
      return;
    case Fault::kBusy:
      return Respond(exchange, 503, json::object());
    case Fault::kSlow:
      m_loop.RunAfter(kSlowDelay, [this, exchange] { Execute(exchange); });
      return;
    case Fault::kNone:
    case Fault::kLostResponses:
      return Execute(exchange);
  }
}

void StoreStandin::Execute(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpHead& head = exchange->Head();
  std::string path = head.target.substr(0, head.target.find('?'));
  const std::string prefix = platform::names::kObjectsPath;
  if (!path.starts_with(prefix)) return Respond(exchange, 404, json::object());
  path.erase(0, prefix.size());
  const std::size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
  if (head.method != "GET") return HandleWrite(exchange, kind, name);
  if (head.target.find("watch=") != std::string::npos) {
    const std::uint64_t after = QueryNumber(head.target, "watch");
    if (after < m_oldest_revision || after > m_revision)
      return Respond(exchange, 410, json::object());
    m_watches.push_back(
        {kind, after, m_loop.Now() + Millis(QueryNumber(head.target, "wait_ms")), exchange});
    return;
  }
  if (m_lost_lists[kind] > 0) {
    --m_lost_lists[kind];
    m_unanswered_exchanges.push_back(exchange);
    return;
  }
  json items = json::array();
  for (const auto& [id, object] : m_objects[kind]) items.push_back(Encode(id, object));
  Respond(exchange, 200, {{"items", items}, {"has_more", false}, {"current_rev", m_revision}});
}

void StoreStandin::HandleWrite(const std::shared_ptr<HttpExchange>& exchange,
                               const std::string& kind, const std::string& name) {
  const HttpHead& head = exchange->Head();
  auto& objects = m_objects[kind];
  int status = 200;
  std::string object_name = name;
  if (head.method == "DELETE") {
    const auto found = objects.find(name);
    const std::uint64_t expected = QueryNumber(head.target, "rev");
    if (found == objects.end()) return Respond(exchange, 404, json::object());
    if (expected != 0 && found->second.revision != expected)
      return Respond(exchange, 409, Encode(name, found->second));
    Delete(kind, name);
    return Respond(exchange, 200, json::object());
  }
  const json body = json::parse(exchange->Body(), nullptr, false);
  if (head.method == "PUT" && name.ends_with(kStatusSuffix)) {
    object_name.resize(name.size() - kStatusSuffix.size());
    status = WriteStatus(kind, object_name, body);
    if (status != 200) return Respond(exchange, status, json::object());
  } else if (head.method == "POST") {
    object_name = body["meta"]["name"].get<std::string>();
    if (objects.contains(object_name))
      return Respond(exchange, 409, Encode(object_name, objects[object_name]));
    status = 201;
    Put(kind, object_name, body["spec"]);
  } else {
    if (!objects.contains(name)) return Respond(exchange, 404, json::object());
    Put(kind, object_name, body["spec"]);
  }
  const bool is_lost_by_kind = m_lost_writes[kind] > 0;
  if (is_lost_by_kind) --m_lost_writes[kind];
  if (is_lost_by_kind ||
      (m_fault == Fault::kLostResponses && m_random() % 100 < kLostResponsePercent)) {
    m_unanswered_exchanges.push_back(exchange);
    return;
  }
  Respond(exchange, status, Encode(object_name, objects[object_name]));
}

std::vector<json> StoreStandin::ChangesAfter(const std::string& kind,
                                             std::uint64_t revision) const {
  std::vector<json> events;
  for (const Change& change : m_history)
    if (change.kind == kind && change.revision > revision) events.push_back(change.event);
  return events;
}

void StoreStandin::UpdateWatches() {
  if (m_fault == Fault::kSilent) return;
  std::erase_if(m_watches, [&](const Watch& watch) {
    if (!watch.exchange->IsOpen()) return true;
    if (watch.after < m_oldest_revision) {
      Respond(watch.exchange, 410, json::object());
      return true;
    }
    auto events = ChangesAfter(watch.kind, watch.after);
    if (events.empty() && m_loop.Now() < watch.until) return false;
    Respond(watch.exchange, 200, {{"events", events}, {"current_rev", m_revision}});
    return true;
  });
  std::erase_if(m_unanswered_exchanges, [](const auto& exchange) { return !exchange->IsOpen(); });
}

void StoreStandin::Respond(const std::shared_ptr<HttpExchange>& exchange, int status,
                           const json& body) {
  exchange->Send(
      status,
      {{"Content-Type", "application/json"}, {platform::names::kStoreEra, std::to_string(m_era)}},
      body.dump());
}

}  // namespace bluebellpass::test
