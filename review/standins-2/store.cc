#include "store.h"

#include <algorithm>
#include <cstdlib>

namespace review {
namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "/api/objects/";
constexpr std::size_t kPageItems = 500;

json NewObject(const std::string& name, json spec) {
  return {{"meta", {{"name", name}, {"finalizers", json::array()}, {"deleting", false}}},
          {"spec", std::move(spec)},
          {"status", nullptr}};
}

std::uint64_t RevisionOf(const json& object) { return object["meta"]["rev"].get<std::uint64_t>(); }

/// @return the revision that a call expects, or 0 if it states none
std::uint64_t ExpectedRevision(const std::map<std::string, std::string>& query, const json& body) {
  const auto found = query.find("rev");
  if (found != query.end()) return std::strtoull(found->second.c_str(), nullptr, 10);
  if (body.is_object() && body.contains("meta") && body["meta"].contains("rev"))
    return body["meta"]["rev"].get<std::uint64_t>();
  return 0;
}

}  // namespace

Store::Store(const std::string& ip, std::size_t machines) {
  for (std::size_t i = 0; i < machines; ++i)
    m_servers.push_back(std::make_unique<Server>(ip, [this, i](int fd, const Message& request) {
      const Answer answer = Execute(i, request);
      Message response = MakeResponse(answer.status, answer.body.dump());
      response.fields.emplace_back("Content-Type", "application/json");
      return SendAll(fd, ToText(response));
    }));
}

void Store::SetRejected(std::size_t machine, bool is_rejected) {
  const std::lock_guard lock(m_mutex);
  if (is_rejected) {
    m_rejected.insert(machine);
  } else {
    m_rejected.erase(machine);
  }
  m_changed.notify_all();
}

void Store::Put(const std::string& kind, const std::string& name, json spec) {
  const std::lock_guard lock(m_mutex);
  const auto [found, is_new] = m_objects[kind].try_emplace(name);
  if (is_new) {
    found->second = NewObject(name, std::move(spec));
  } else {
    found->second["spec"] = std::move(spec);
  }
  Change(kind, found->second);
}

void Store::Delete(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(m_mutex);
  Remove(kind, name);
}

std::size_t Store::Count(const std::string& kind) {
  const std::lock_guard lock(m_mutex);
  return m_objects[kind].size();
}

void Store::Change(const std::string& kind, json& object) {
  object["meta"]["rev"] = ++m_revision;
  if (!object["meta"].contains("created")) object["meta"]["created"] = m_revision;
  m_history.push_back({m_revision, kind, {{"object", object}, {"deleted", false}}});
  m_changed.notify_all();
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const auto removed = m_objects[kind].extract(name);
  if (removed.empty()) return;
  json object = removed.mapped();
  object["meta"]["rev"] = ++m_revision;
  m_history.push_back({m_revision, kind, {{"object", object}, {"deleted", true}}});
  m_changed.notify_all();
}

bool Store::ParseTarget(const std::string& target, Call& call) {
  if (!target.starts_with(kPrefix)) return false;
  const std::size_t question = std::min(target.find('?'), target.size());
  std::string path = target.substr(kPrefix.size(), question - kPrefix.size());
  std::string query = question < target.size() ? target.substr(question + 1) : "";
  while (!query.empty()) {
    const std::string part = query.substr(0, query.find('&'));
    query.erase(0, std::min(part.size() + 1, query.size()));
    const std::size_t equals = std::min(part.find('='), part.size());
    call.query[part.substr(0, equals)] = equals < part.size() ? part.substr(equals + 1) : "";
  }
  constexpr std::string_view status = "/status";
  call.is_status = path.ends_with(status);
  if (call.is_status) path.resize(path.size() - status.size());
  const std::size_t slash = std::min(path.find('/'), path.size());
  call.kind = path.substr(0, slash);
  call.name = slash < path.size() ? path.substr(slash + 1) : "";
  return !call.kind.empty();
}

Store::Answer Store::Execute(std::size_t machine, const Message& request) {
  Call call;
  if (!ParseTarget(request.Target(), call)) return {404, json::object()};
  std::unique_lock lock(m_mutex);
  if (m_rejected.contains(machine)) return {503, json::object()};
  if (request.Method() == "GET") return Read(machine, call, lock);
  const json body = json::parse(request.body, nullptr, false);
  return Write(request.Method(), call, body);
}

Store::Answer Store::Read(std::size_t machine, const Call& call,
                          std::unique_lock<std::mutex>& lock) {
  if (call.query.contains("watch")) return Watch(machine, call, lock);
  if (call.name.empty()) return List(call);
  const auto found = m_objects[call.kind].find(call.name);
  if (found == m_objects[call.kind].end()) return {404, json::object()};
  return {200, found->second};
}

Store::Answer Store::List(const Call& call) {
  const auto after = call.query.find("after");
  json items = json::array();
  bool has_more = false;
  for (const auto& [name, object] : m_objects[call.kind]) {
    if (after != call.query.end() && name <= after->second) continue;
    has_more = items.size() >= kPageItems;
    if (has_more) break;
    items.push_back(object);
  }
  return {200, {{"items", std::move(items)}, {"has_more", has_more}, {"current_rev", m_revision}}};
}

Store::Answer Store::Watch(std::size_t machine, const Call& call,
                           std::unique_lock<std::mutex>& lock) {
  const std::uint64_t after = std::strtoull(call.query.at("watch").c_str(), nullptr, 10);
  const auto wait = call.query.find("wait_ms");
  const Millis wait_time(wait == call.query.end() ? 0 : std::atoi(wait->second.c_str()));
  const TimePoint until = Clock::now() + wait_time;
  json events = json::array();
  while (true) {
    if (m_rejected.contains(machine)) return {503, json::object()};
    for (const Event& event : m_history)
      if (event.kind == call.kind && event.revision > after) events.push_back(event.event);
    if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) break;
  }
  return {200, {{"events", std::move(events)}, {"current_rev", m_revision}}};
}

Store::Answer Store::Write(const std::string& method, const Call& call, const json& body) {
  auto& objects = m_objects[call.kind];
  const std::string name = method == "POST" ? body["meta"]["name"].get<std::string>() : call.name;
  const auto found = objects.find(name);
  if (method == "POST") {
    if (found != objects.end()) return {409, found->second};
    json& object = objects[name] = NewObject(name, body["spec"]);
    Change(call.kind, object);
    return {201, object};
  }
  if (found == objects.end()) return {404, json::object()};
  json& object = found->second;
  const std::uint64_t expected = ExpectedRevision(call.query, body);
  if (expected != 0 && expected != RevisionOf(object)) return {409, object};
  if (method == "DELETE") {
    Remove(call.kind, name);
    return {200, json::object()};
  }
  const char* part = call.is_status ? "status" : "spec";
  if (object[part] != body[part]) {
    object[part] = body[part];
    Change(call.kind, object);
  }
  return {200, object};
}

}  // namespace review
