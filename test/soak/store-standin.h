#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "kernel/http1-server.h"
#include "kernel/loop.h"

namespace bluebellpass::test {

/// Stand-in for the platform's store: objects by kind and name, a revision shared by all objects,
/// watches, and the faults that the platform documents.
class StoreStandin {
 public:
  enum class Fault {
    kNone,
    kSilent,         ///< calls get no response and have no effect
    kBusy,           ///< calls are rejected with 503
    kLostResponses,  ///< some writes take effect but get no response
    kSlow            ///< calls are delayed
  };

  StoreStandin(EventLoop& loop, std::uint64_t seed);

  Address Listen() { return std::get<Address>(m_server.Listen({"127.0.0.1", 0})); }
  void SetFault(Fault fault) { m_fault = fault; }
  /// Executes the next writes of a kind without a response.
  void LoseWriteResponses(const std::string& kind, int count) { m_lost_writes[kind] = count; }
  /// Gives the next lists of a kind no response.
  void LoseListResponses(const std::string& kind, int count) { m_lost_lists[kind] = count; }
  /// Deletes the change history. Watches from older revisions get 410.
  void Compact();
  /// Remembers all objects for Restore.
  void MakeCopy() { m_copy = {m_revision, m_oldest_revision, m_objects, m_history}; }
  /// Comes back from the copy: what was written since is lost, revisions are given out again, and
  /// the era rises by one. Pending watches are cut.
  void Restore();

  /// Writes an object as the operator or an engine does, bypassing faults.
  void Put(const std::string& kind, const std::string& name, nlohmann::json spec);
  void Delete(const std::string& kind, const std::string& name);
  bool Contains(const std::string& kind, const std::string& name) const;
  /// @return the status of an object; null without one
  nlohmann::json StatusOf(const std::string& kind, const std::string& name) const;
  std::uint64_t CallCount() const { return m_call_count; }

 private:
  struct Object {
    std::uint64_t created = 0;  ///< revision of its creation
    std::uint64_t revision = 0;
    nlohmann::json spec;
    nlohmann::json status;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json event;
  };
  struct Copy {
    std::uint64_t revision = 0;
    std::uint64_t oldest_revision = 0;
    std::map<std::string, std::map<std::string, Object>> objects;
    std::vector<Change> history;
  };
  struct Watch {
    std::string kind;
    std::uint64_t after = 0;
    TimePoint until;
    std::shared_ptr<HttpExchange> exchange;
  };

  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  void Execute(const std::shared_ptr<HttpExchange>& exchange);
  void HandleWrite(const std::shared_ptr<HttpExchange>& exchange, const std::string& kind,
                   const std::string& name);
  /// Writes the status of an object if its revision is the one in the body.
  /// @return the status code of the response
  int WriteStatus(const std::string& kind, const std::string& name, const nlohmann::json& body);
  void Respond(const std::shared_ptr<HttpExchange>& exchange, int status,
               const nlohmann::json& body);
  void UpdateWatches();
  nlohmann::json Encode(const std::string& name, const Object& object) const;
  std::vector<nlohmann::json> ChangesAfter(const std::string& kind, std::uint64_t revision) const;
  void RecordChange(const std::string& kind, nlohmann::json event);

  EventLoop& m_loop;
  std::mt19937_64 m_random;
  Http1Server m_server;
  Timer m_watch_timer;
  Fault m_fault = Fault::kNone;
  std::map<std::string, int> m_lost_writes;  ///< responses to lose, by kind of object
  std::map<std::string, int> m_lost_lists;
  std::uint64_t m_revision = 1;
  std::uint64_t m_oldest_revision = 1;
  std::uint64_t m_era = 1;
  std::uint64_t m_call_count = 0;
  Copy m_copy;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::vector<Change> m_history;
  std::vector<Watch> m_watches;
  std::vector<std::shared_ptr<HttpExchange>> m_unanswered_exchanges;
};

}  // namespace bluebellpass::test
