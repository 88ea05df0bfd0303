#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "net.h"

namespace bluebellpass::review {

/// Stand-in of the platform's store: objects by kind and name, lists, watches and conditions on
/// revisions. It answers every call at once.
class Store {
 public:
  Store(const std::string& ip, int port);

  bool IsListening() const { return m_server->IsListening(); }
  void Put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  void Delete(const std::string& kind, const std::string& name);
  /// Carries out the next write to an object without an answer. Its connection stays open and
  /// returns nothing further.
  void LoseAnswer(const std::string& kind, const std::string& name);

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    nlohmann::json spec;
  };
  struct Change {
    std::uint64_t revision;
    std::string kind;
    nlohmann::json event;
  };
  struct Call {
    std::string method;
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;
    nlohmann::json body;
  };
  struct Answer {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
  };

  static Call Parse(const HttpMessage& request);
  static nlohmann::json Encode(const std::string& name, const Object& object);
  bool Handle(const HttpMessage& request, const Socket& socket);
  bool TakeLostAnswer(const Call& call);
  Answer Read(const Call& call);
  Answer Watch(const Call& call);
  Answer Write(const Call& call);
  Answer Replace(const Call& call, const std::string& name, Object& object);
  void Record(const std::string& kind, const std::string& name, Object& object);
  void Remove(const std::string& kind, const std::string& name);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_revision = 1;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::deque<Change> m_history;
  std::set<std::pair<std::string, std::string>> m_lost_answers;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace bluebellpass::review
