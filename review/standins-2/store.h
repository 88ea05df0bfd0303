#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "server.h"

namespace review {

/// Stand-in for the platform's metadata store: objects by kind and name with one revision counter,
/// conditional writes and watches. It has an address for each machine, so that it can turn single
/// machines away.
class Store {
 public:
  Store(const std::string& ip, std::size_t machines);

  const Address& ListenAddress(std::size_t machine) const {
    return m_servers.at(machine)->ListenAddress();
  }
  /// Sets whether calls of a machine are rejected with 503, also those that are waiting.
  void SetRejected(std::size_t machine, bool is_rejected);
  /// Writes the spec of an object, as the operator and the servers do.
  void Put(const std::string& kind, const std::string& name, nlohmann::json spec);
  void Delete(const std::string& kind, const std::string& name);
  std::size_t Count(const std::string& kind);

 private:
  using Json = nlohmann::json;
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    Json event;
  };
  struct Call {
    std::string kind;
    std::string name;
    bool is_status = false;
    std::map<std::string, std::string> query;
  };
  struct Answer {
    int status = 200;
    Json body;
  };
  static bool ParseTarget(const std::string& target, Call& call);
  Answer Execute(std::size_t machine, const Message& request);
  Answer Read(std::size_t machine, const Call& call, std::unique_lock<std::mutex>& lock);
  Answer List(const Call& call);
  Answer Watch(std::size_t machine, const Call& call, std::unique_lock<std::mutex>& lock);
  Answer Write(const std::string& method, const Call& call, const Json& body);
  void Change(const std::string& kind, Json& object);
  void Remove(const std::string& kind, const std::string& name);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_revision = 1;
  std::map<std::string, std::map<std::string, Json>> m_objects;
  std::deque<Event> m_history;
  std::set<std::size_t> m_rejected;
  std::vector<std::unique_ptr<Server>> m_servers;
};

}  // namespace review
