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

/// Stand-in of the platform's store: objects by kind and name, one revision, watches, and the
/// faults that the platform's pages describe.
class StoreStandin {
 public:
  enum class Fault {
    kNone,
    kSilent,  ///< calls get no answer
    kBusy,    ///< calls get 503 and nothing is done
    kLost,    ///< a part of the writes is done and not answered
    kSlow
  };

  StoreStandin(EventLoop& loop, std::uint64_t seed);

  Address Listen() { return std::get<Address>(m_server.Listen({"127.0.0.1", 0})); }
  void SetFault(Fault fault) { m_fault = fault; }
  /// Drops the history: watches from older revisions get 410.
  void Compact();

  /// Writes as the operator and the engines do, untouched by faults.
  void Put(const std::string& kind, const std::string& name, nlohmann::json spec);
  void Delete(const std::string& kind, const std::string& name);
  std::uint64_t Calls() const { return m_calls; }

 private:
  struct Object {
    std::uint64_t revision = 0;
    nlohmann::json spec;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json event;
  };
  struct Watch {
    std::string kind;
    std::uint64_t after = 0;
    TimePoint until;
    std::shared_ptr<HttpExchange> exchange;
  };

  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  void Serve(const std::shared_ptr<HttpExchange>& exchange);
  void Write(const std::shared_ptr<HttpExchange>& exchange, const std::string& kind,
             const std::string& name);
  void Answer(const std::shared_ptr<HttpExchange>& exchange, int status,
              const nlohmann::json& body);
  void ServeWatches();
  nlohmann::json Encode(const std::string& name, const Object& object) const;
  std::vector<nlohmann::json> ChangesAfter(const std::string& kind, std::uint64_t revision) const;
  void Note(const std::string& kind, nlohmann::json event);

  EventLoop& m_loop;
  std::mt19937_64 m_random;
  Http1Server m_server;
  Timer m_timer;
  Fault m_fault = Fault::kNone;
  std::uint64_t m_revision = 1;
  std::uint64_t m_oldest = 1;
  std::uint64_t m_calls = 0;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::vector<Change> m_history;
  std::vector<Watch> m_watches;
  std::vector<std::shared_ptr<HttpExchange>> m_silent;
};

}  // namespace bluebellpass::test
