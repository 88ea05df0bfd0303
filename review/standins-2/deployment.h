#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net.h"
#include "server.h"
#include "sites.h"
#include "store.h"

namespace review {

/// A run that an engine has begun.
struct Run {
  std::string request_id;
  std::string engine;
  std::string tenant;
  TimePoint started;
};

struct EngineOptions {
  std::string id;
  std::string service;
  int slots = 9;
  int queue = 54;
  Millis work{50};
  int events = 0;               ///< of the answer to a request of a stream; 0: one body
  std::size_t body_bytes = 64;  ///< of an answer that is no stream
  /// @return true if a request crashes the engine that runs it; may be null
  std::function<bool(const Message& request)> crashes;
  std::string zone;  ///< set by the deployment
};

/// Stand-in for an engine, which keeps itself registered in the store.
class Engine {
 public:
  Engine(Store& store, Record& record, EngineOptions options);

  std::vector<Run> Runs();

 private:
  bool Answer(int fd, const Message& request);
  bool Refuse(int fd, int status, const Message& request);
  bool Work(int fd, const Message& request);
  void Crash();
  void Beat();

  Store& m_store;
  Record& m_record;
  EngineOptions m_options;
  std::string m_id;  ///< of this start
  std::uint64_t m_born = 0;
  std::uint64_t m_sequence = 0;
  std::size_t m_starts = 0;
  bool m_is_down = false;
  std::mutex m_mutex;
  std::condition_variable m_freed;
  int m_running = 0;
  int m_waiting = 0;
  std::vector<Run> m_runs;
  Server m_server;
};

struct DeploymentOptions {
  std::string root;    ///< of the repository
  std::string folder;  ///< temporary
  Site site;
  int gateways = 3;
  nlohmann::json config;  ///< of the operator
};

/// A small deployment: the store, engines and the project's gateway processes. Must not be
/// destroyed before the program ends, since the stand-ins' threads use it.
class Deployment {
 public:
  Deployment(const DeploymentOptions& options, Record& record);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Store& ObjectStore() { return m_store; }
  Record& Log() { return m_record; }
  Engine& AddEngine(EngineOptions options);
  const std::vector<std::unique_ptr<Engine>>& Engines() const { return m_engines; }
  /// @return all runs, in the order of their begin
  std::vector<Run> Runs();

  /// Starts a process with the command of the deploy file.
  void Start(std::size_t gateway);
  /// Starts all gateways one after the other, so that the first one is the oldest.
  /// @return false if one does not become ready
  bool StartAll();
  bool WaitUntilReady(std::size_t gateway, Millis timeout);
  void Signal(std::size_t gateway, int signal);
  /// Waits until the process has ended.
  void Reap(std::size_t gateway);
  bool IsRunning(std::size_t gateway);
  /// Kills all processes that were started.
  void KillAll();
  const Address& Front(std::size_t gateway) const { return m_gateways.at(gateway).front; }

 private:
  struct Gateway {
    std::string name;
    std::string settings_path;
    Address front;
    Address ready;
    pid_t pid = 0;
  };
  void WriteSettings(std::size_t index);

  DeploymentOptions m_options;
  Record& m_record;
  Store m_store;
  std::vector<std::unique_ptr<Engine>> m_engines;
  std::vector<Gateway> m_gateways;
};

/// @return the example configuration of the users' pages, with one route to each service
nlohmann::json MakeConfig(const nlohmann::json& routes, const nlohmann::json& services,
                          const nlohmann::json& tenants);

/// What a case is called with.
struct Arguments {
  std::string root;
  std::string record;
  std::string folder;
  bool has_trouble = true;
};

/// Runs a case and ends the program with its result, without destroying static objects.
[[noreturn]] void RunCase(int argc, char** argv, int (*play)(const Arguments& arguments));

}  // namespace review
