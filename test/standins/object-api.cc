#include "object-api.h"

#include <algorithm>
#include <charconv>

namespace bluebellpass::standin {
namespace {

using Mode = ObjectApiFault::Mode;

constexpr std::size_t kMaxBodyBytes = 1U << 20U;
// Limit on the memory of the log, beyond which the oldest writes are dropped.
constexpr std::size_t kMaxLogBytes = 128U << 20U;
constexpr std::string_view kObjectsPrefix = "/objects/";

std::string Etag(std::uint64_t version) { return '"' + std::to_string(version) + '"'; }

std::uint64_t ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

bool ParseMode(const std::string& name, Mode& mode) {
  static const std::map<std::string, Mode> modes = {{"up", Mode::kUp},
                                                    {"down", Mode::kDown},
                                                    {"slow", Mode::kSlow},
                                                    {"lose_answers", Mode::kLoseAnswers},
                                                    {"silent", Mode::kSilent}};
  const auto found = modes.find(name);
  if (found == modes.end()) return false;
  mode = found->second;
  return true;
}

}  // namespace

ObjectApi::ObjectApi(EventLoop& loop)
    : m_server(loop, [this](HttpRequest request, ResponderPtr responder) {
        Handle(request, responder);
      }) {}

void ObjectApi::SetFault(ObjectApiFault fault) {
  m_fault = std::move(fault);
  if (m_fault.mode != Mode::kDown && m_fault.mode != Mode::kSilent) return;
  std::erase_if(m_watches, [this](const Watch& watch) {
    if (!MatchesFault("GET", watch.key)) return false;
    if (m_fault.mode == Mode::kDown) watch.responder->Abort();
    return true;
  });
}

std::uint64_t ObjectApi::Put(const std::string& key, std::string body) {
  const std::uint64_t version = ++m_last_version;
  m_objects[key] = {version, body};
  RecordWrite("PUT", key, version, std::move(body));
  NotifyWatches(key);
  return version;
}

Json ObjectApi::Log() const {
  Json log = Json::array();
  for (const Write& write : m_log) {
    log.push_back({{"n", write.log_number},
                   {"key", write.key},
                   {"version", write.version},
                   {"method", write.method},
                   {"body", write.body}});
  }
  return log;
}

void ObjectApi::Handle(const HttpRequest& request, const ResponderPtr& responder) {
  if (request.path.starts_with("/control")) return HandleControl(request, *responder);
  if (request.path == "/objects" || request.path.starts_with(kObjectsPrefix)) {
    return HandleObject(request, responder);
  }
  SendJson(*responder, 404, {{"error", "no such path"}});
}

void ObjectApi::HandleControl(const HttpRequest& request, HttpResponder& responder) {
  if (request.path == "/control/log") return SendJson(responder, 200, Log());
  if (request.path == "/control/stats") return SendJson(responder, 200, m_stats);
  if (request.path != "/control" || request.method != "POST") {
    return SendJson(responder, 404, {{"error", "no such path"}});
  }
  const Json body = Json::parse(request.body);
  ObjectApiFault fault{.delay = Millis{body.value("delay_ms", 0)},
                       .method = body.value("method", ""),
                       .prefix = body.value("prefix", ""),
                       .count = body.value("count", 0)};
  if (!ParseMode(body.value("mode", "up"), fault.mode)) {
    return SendJson(responder, 400, {{"error", "unknown mode"}});
  }
  SetFault(std::move(fault));
  SendJson(responder, 200, Json::object());
}

bool ObjectApi::MatchesFault(const std::string& method, const std::string& key) const {
  if (!m_fault.method.empty() && m_fault.method != method) return false;
  return key.starts_with(m_fault.prefix);
}

ObjectApiFault ObjectApi::TakeFault(const std::string& method, const std::string& key) {
  if (m_fault.mode == Mode::kUp || !MatchesFault(method, key)) return {};
  // Reads have no effect besides their response, so they lose it only if the filter names them.
  const bool is_read = method == "GET" && m_fault.method.empty();
  if (m_fault.mode == Mode::kLoseAnswers && is_read) return {};
  ObjectApiFault fault = m_fault;
  if (m_fault.count > 0 && --m_fault.count == 0) m_fault = {};
  return fault;
}

void ObjectApi::HandleObject(const HttpRequest& request, const ResponderPtr& responder) {
  const bool is_list = request.path == "/objects";
  const std::string key =
      is_list ? request.Query("prefix") : request.path.substr(kObjectsPrefix.size());
  const std::string& method = request.method;
  const bool is_watch = !is_list && method == "GET" && request.query.contains("after");
  if (!m_stats.contains(method) || (is_list && method != "GET")) {
    return SendJson(*responder, 405, {{"error", "method not allowed"}});
  }
  m_stats[method] = m_stats[method].get<std::int64_t>() + 1;
  if (is_list) m_stats["lists"] = m_stats["lists"].get<std::int64_t>() + 1;
  if (is_watch) m_stats["watches"] = m_stats["watches"].get<std::int64_t>() + 1;
  const ObjectApiFault fault = TakeFault(method, key);
  if (fault.mode == Mode::kDown) return responder->Abort();
  if (is_watch) return HandleWatch(request, key, fault, responder);
  Reply reply;
  if (is_list) {
    reply = ListObjects(key);
  } else if (method == "PUT") {
    reply = HandlePut(request, key);
  } else if (method == "DELETE") {
    reply = HandleDelete(request, key);
  } else {
    reply = ReadObject(key);
  }
  Respond(fault, std::move(reply), responder);
}

ObjectApi::Reply ObjectApi::ReadObject(const std::string& key) const {
  const auto found = m_objects.find(key);
  if (found == m_objects.end()) return {.status = 404};
  return {200, {{"etag", Etag(found->second.version)}}, found->second.body};
}

ObjectApi::Reply ObjectApi::ListObjects(const std::string& prefix) const {
  Json objects = Json::array();
  for (auto object = m_objects.lower_bound(prefix); object != m_objects.end(); ++object) {
    if (!object->first.starts_with(prefix)) break;
    objects.push_back({{"key", object->first}, {"version", object->second.version}});
  }
  return {200, {{"content-type", "application/json"}}, Json{{"objects", objects}}.dump()};
}

ObjectApi::Reply ObjectApi::HandlePut(const HttpRequest& request, const std::string& key) {
  if (request.body.size() > kMaxBodyBytes) return {.status = 413};
  const std::string expected = request.Header("if-match");
  const bool is_create = request.Header("if-none-match") == "*";
  if (expected.empty() && !is_create) return {.status = 428};
  const auto found = m_objects.find(key);
  const bool exists = found != m_objects.end();
  const std::string current = exists ? Etag(found->second.version) : "";
  if (is_create ? exists : (!exists || current != expected)) {
    return {.status = 412, .headers = exists ? HttpHeaders{{"etag", current}} : HttpHeaders{}};
  }
  const std::uint64_t version = Put(key, request.body);
  return {.status = 200, .headers = {{"etag", Etag(version)}}};
}

ObjectApi::Reply ObjectApi::HandleDelete(const HttpRequest& request, const std::string& key) {
  const std::string expected = request.Header("if-match");
  if (expected.empty()) return {.status = 428};
  const auto found = m_objects.find(key);
  if (found == m_objects.end()) return {.status = 404};
  const std::string current = Etag(found->second.version);
  if (current != expected) return {.status = 412, .headers = {{"etag", current}}};
  m_objects.erase(found);
  RecordWrite("DELETE", key, ++m_last_version, "");
  return {.status = 204};
}

void ObjectApi::HandleWatch(const HttpRequest& request, const std::string& key,
                            const ObjectApiFault& fault, const ResponderPtr& responder) {
  const std::uint64_t after = ParseNumber(request.Query("after"));
  const auto found = m_objects.find(key);
  if (found != m_objects.end() && found->second.version > after) {
    return Respond(fault, ReadObject(key), responder);
  }
  const std::uint64_t id = ++m_last_watch_id;
  m_watches.push_back({id, key, after, fault, responder});
  m_server.RunAfter(Millis{ParseNumber(request.Query("wait_ms"))}, [this, id] {
    const auto pending_watch = std::find_if(m_watches.begin(), m_watches.end(),
                                            [id](const Watch& watch) { return watch.id == id; });
    if (pending_watch == m_watches.end()) return;
    Respond(pending_watch->fault, {.status = 304}, pending_watch->responder);
    m_watches.erase(pending_watch);
  });
}

void ObjectApi::NotifyWatches(const std::string& key) {
  const std::uint64_t version = m_objects[key].version;
  std::erase_if(m_watches, [&](const Watch& watch) {
    if (watch.key != key || version <= watch.after) return false;
    Respond(watch.fault, ReadObject(key), watch.responder);
    return true;
  });
}

void ObjectApi::Respond(const ObjectApiFault& fault, Reply reply, const ResponderPtr& responder) {
  if (fault.mode == Mode::kSilent) return;
  if (fault.mode == Mode::kLoseAnswers) return responder->Abort();
  if (fault.mode == Mode::kUp) {
    return responder->Send(reply.status, reply.headers, std::move(reply.body));
  }
  m_server.RunAfter(fault.delay, [responder, reply = std::move(reply)] {
    responder->Send(reply.status, reply.headers, reply.body);
  });
}

void ObjectApi::RecordWrite(const std::string& method, const std::string& key,
                            std::uint64_t version, std::string body) {
  m_log_bytes += body.size();
  m_log.push_back({m_next_log_number++, key, version, method, std::move(body)});
  while (m_log_bytes > kMaxLogBytes) {
    m_log_bytes -= m_log.front().body.size();
    m_log.pop_front();
  }
}

}  // namespace bluebellpass::standin
