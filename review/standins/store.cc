#include "store.h"

#include <cstdlib>

namespace bluebellpass::review {
namespace {

using nlohmann::json;

constexpr char kPrefix[] = "/api/objects/";
constexpr Millis kSilence{30'000};

std::uint64_t Number(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

}  // namespace

Store::Store(const std::string& ip, int port) {
  m_server = std::make_unique<HttpServer>(
      ip, port,
      [this](const HttpMessage& request, const Socket& socket) { return Handle(request, socket); });
}

json Store::Encode(const std::string& name, const Object& object) {
  return {{"meta",
           {{"name", name},
            {"rev", object.revision},
            {"created", object.created},
            {"finalizers", json::array()},
            {"deleting", false}}},
          {"spec", object.spec},
          {"status", nullptr}};
}

void Store::Record(const std::string& kind, const std::string& name, Object& object) {
  object.revision = ++m_revision;
  if (object.created == 0) object.created = object.revision;
  m_history.push_back({m_revision, kind, {{"deleted", false}, {"object", Encode(name, object)}}});
  m_changed.notify_all();
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const auto node = m_objects[kind].extract(name);
  if (node.empty()) return;
  Object object = node.mapped();
  object.revision = ++m_revision;
  m_history.push_back({m_revision, kind, {{"deleted", true}, {"object", Encode(name, object)}}});
  m_changed.notify_all();
}

void Store::Put(const std::string& kind, const std::string& name, const json& spec) {
  const std::scoped_lock lock(m_mutex);
  Object& object = m_objects[kind][name];
  if (object.revision != 0 && object.spec == spec) return;
  object.spec = spec;
  Record(kind, name, object);
}

void Store::Delete(const std::string& kind, const std::string& name) {
  const std::scoped_lock lock(m_mutex);
  Remove(kind, name);
}

Store::Call Store::Parse(const HttpMessage& request) {
  Call call;
  call.method = request.Method();
  const std::string target = request.Target();
  const std::size_t mark = target.find('?');
  std::string path = target.substr(0, mark);
  if (path.starts_with(kPrefix)) path.erase(0, sizeof(kPrefix) - 1);
  const std::size_t slash = path.find('/');
  call.kind = path.substr(0, slash);
  if (slash != std::string::npos) call.name = path.substr(slash + 1);
  std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
  while (!query.empty()) {
    const std::string part = query.substr(0, query.find('&'));
    query.erase(0, part.size() + 1);
    const std::size_t sign = part.find('=');
    if (sign != std::string::npos) call.query[part.substr(0, sign)] = part.substr(sign + 1);
  }
  call.body = json::parse(request.body, nullptr, false);
  return call;
}

void Store::LoseAnswer(const std::string& kind, const std::string& name) {
  const std::scoped_lock lock(m_mutex);
  m_lost_answers.emplace(kind, name);
}

bool Store::TakeLostAnswer(const Call& call) {
  const std::scoped_lock lock(m_mutex);
  return call.method != "GET" && m_lost_answers.erase({call.kind, call.name}) != 0;
}

bool Store::Handle(const HttpMessage& request, const Socket& socket) {
  const Call call = Parse(request);
  Answer answer;
  const bool is_lost = TakeLostAnswer(call);
  if (call.method != "GET") {
    answer = Write(call);
  } else if (call.query.contains("watch")) {
    answer = Watch(call);
  } else {
    answer = Read(call);
  }
  // The calls that may follow on the connection get no answer either.
  char byte = 0;
  while (is_lost && socket.Receive(&byte, 1, kSilence) > 0) {
  }
  if (is_lost) return false;
  const std::string line = "HTTP/1.1 " + std::to_string(answer.status) + " Status";
  return socket.SendAll(
      SerializeHttp(line, {{"Content-Type", "application/json"}}, answer.body.dump()));
}

Store::Answer Store::Read(const Call& call) {
  const std::scoped_lock lock(m_mutex);
  const auto& objects = m_objects[call.kind];
  if (!call.name.empty()) {
    const auto found = objects.find(call.name);
    if (found == objects.end()) return {404, json::object()};
    return {200, Encode(call.name, found->second)};
  }
  json items = json::array();
  for (const auto& [name, object] : objects) items.push_back(Encode(name, object));
  return {200, {{"items", items}, {"has_more", false}, {"current_rev", m_revision}}};
}

Store::Answer Store::Watch(const Call& call) {
  std::unique_lock lock(m_mutex);
  const std::uint64_t after = Number(call.query.at("watch"));
  const auto until = Clock::now() + Millis(Number(call.query.at("wait_ms")));
  json events = json::array();
  while (true) {
    for (const Change& change : m_history)
      if (change.revision > after && change.kind == call.kind) events.push_back(change.event);
    if (!events.empty() || Clock::now() >= until) break;
    m_changed.wait_until(lock, until);
  }
  return {200, {{"events", events}, {"current_rev", m_revision}}};
}

Store::Answer Store::Replace(const Call& call, const std::string& name, Object& object) {
  const json spec = call.body.value("spec", json());
  if (object.revision == 0 || object.spec != spec) {
    object.spec = spec;
    Record(call.kind, name, object);
  }
  return {200, Encode(name, object)};
}

Store::Answer Store::Write(const Call& call) {
  const std::scoped_lock lock(m_mutex);
  auto& objects = m_objects[call.kind];
  if (call.method == "POST") {
    const std::string name = call.body["meta"]["name"].get<std::string>();
    if (objects.contains(name)) return {409, Encode(name, objects[name])};
    return Replace(call, name, objects[name]);
  }
  const auto found = objects.find(call.name);
  if (found == objects.end()) return {404, json::object()};
  std::uint64_t expected = 0;
  if (call.query.contains("rev")) expected = Number(call.query.at("rev"));
  if (call.body.is_object() && call.body.contains("meta"))
    expected = call.body["meta"].value("rev", expected);
  if (expected != 0 && expected != found->second.revision)
    return {409, Encode(call.name, found->second)};
  if (call.method == "DELETE") {
    Remove(call.kind, call.name);
    return {200, json::object()};
  }
  return Replace(call, call.name, found->second);
}

}  // namespace bluebellpass::review
