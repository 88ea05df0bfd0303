#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cli/timeline.h"
#include "kernel/http-client.h"
#include "kernel/loop.h"
#include "process.h"

namespace bluebellpass::test {

/// A group of equal backend servers.
struct BackendGroup {
  std::string prefix;  ///< names are prefix + number, from 1
  std::string kind;    ///< "engine" or "service"
  std::string pool;
  int count = 1;
  int slots = 4;
  std::vector<std::string> flags;                    ///< for the stand-in
  nlohmann::json config = nlohmann::json::object();  ///< merged over the server's configuration
};

struct ClusterOptions {
  int instances = 3;
  int data_centres = 3;
  std::string log_level = "debug";  ///< of the daemons
  std::vector<BackendGroup> backends;
  std::vector<std::string> daemon_flags;
  std::string daemon_binary;  ///< path; empty for the one of this build
  bool has_backend_proxies = false;
  bool has_store_proxy = false;
  bool has_own_store_proxies = false;  ///< a proxy to the object API for each instance
  bool has_peer_proxies = false;
  nlohmann::json extra_config = nlohmann::json::object();  ///< merged over the default one
};

/// What a caller has seen of one request.
struct CallerView {
  std::string id;
  int status = 0;       ///< HTTP status; 0 while there is none
  std::string answer;   ///< joined data
  std::string outcome;  ///< of the end line; empty when there was none
  std::string error;
  std::string resume;  ///< resume token, when one was given
  std::string backend;
  bool is_done = false;  ///< the connection has ended, one way or the other
  bool has_gap = false;  ///< an offset did not follow the one before
};

/// One run as a stand-in has recorded it.
struct Execution {
  std::string backend;
  std::string request_id;
  std::string key;              ///< idempotency key; plain services only
  std::int64_t started_ms = 0;  ///< wall clock
  std::int64_t ended_ms = 0;    ///< wall clock; 0 while it runs
  std::int64_t input_tokens = 0;
  std::int64_t cached_tokens = 0;  ///< part of the input found in the prefix cache
  std::int64_t output_tokens = 0;
  bool is_cancelled = false;
};

/// Real daemons with stand-ins for the platform, on loopback. Everything runs in processes of its
/// own; faults are injected by signals, by the stand-ins' control calls and by proxies.
class Cluster {
 public:
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Runs the loop until the condition holds.
  /// @return false when it did not hold within the limit
  bool RunUntil(const std::function<bool()>& condition, Millis limit = Millis{10'000});
  void RunFor(Millis time);
  /// @return the loop on which callers of this process run
  EventLoop& Loop() { return m_loop; }

  // Callers.
  /// @return a ticketed id of an instance, with a nonce that no other call of this cluster uses
  std::string NewId(int instance);
  /// Submits through an instance; the view changes while the loop runs.
  std::shared_ptr<CallerView> Submit(int instance, const nlohmann::json& body,
                                     const std::string& id = "");
  std::shared_ptr<CallerView> Fetch(int instance, const std::string& id, std::size_t offset = 0);
  std::shared_ptr<CallerView> Resume(int instance, const std::string& token, std::size_t offset);
  /// Closes the caller's connection.
  void HangUp(const std::shared_ptr<CallerView>& view);
  /// One call that is waited for.
  std::optional<HttpResponse> Call(const Address& address, const std::string& method,
                                   const std::string& path, const std::string& body = "",
                                   Millis limit = Millis{5'000});
  nlohmann::json Command(int instance, const std::string& text);
  /// Sends an operator's command without waiting for it.
  /// @return set once the command has ended; null when there was no answer
  std::shared_ptr<std::optional<nlohmann::json>> StartCommand(int instance,
                                                              const std::string& text);

  // Instances.
  /// @return true when every instance knows all others
  bool WaitForMembers(Millis limit = Millis{10'000});
  int InstanceCount() const { return static_cast<int>(m_instances.size()); }
  const std::string& InstanceName(int instance) const { return m_instances[Index(instance)].name; }
  Address CallerAddress(int instance) const { return m_instances[Index(instance)].address; }
  Process& Daemon(int instance) { return m_instances[Index(instance)].process; }
  /// Starts an instance anew, with the same addresses.
  void Restart(int instance);
  bool WaitUntilReady(int instance, Millis limit = Millis{10'000});
  /// @return the index of the instance that owns the pool's cell, by its events
  int OwnerOf(const std::string& pool);
  const Address& StoreAddress() const { return m_store; }

  // Platform.
  Process& Backend(const std::string& name);
  Address BackendAddress(const std::string& name) { return FindBackend(name).address; }
  void RestartBackend(const std::string& name);
  void ControlStore(const nlohmann::json& command);
  void ControlBackend(const std::string& name, const nlohmann::json& command);
  void ControlBackendProxy(const std::string& name, const nlohmann::json& command);
  void ControlStoreProxy(const nlohmann::json& command);
  /// @param instance whose own proxy to the object API is meant
  void ControlOwnStoreProxy(int instance, const nlohmann::json& command);
  void ControlPeerProxy(int instance, const nlohmann::json& command);
  std::vector<std::string> BackendNames(const std::string& pool) const;

  // Witnesses.
  /// @return all runs that the stand-ins have recorded, those of killed ones as last read
  std::vector<Execution> Executions();
  /// @return the merged events of all instances that answer, and those read from ones now gone
  std::vector<TimelineEvent> Timeline();
  /// @return true when an instance has logged the event for the request
  bool HasEvent(const std::string& name, const std::string& request);
  /// @return the versions of an object in the order of its writes, as the object API has logged
  /// them
  std::vector<std::uint64_t> StoreVersions(const std::string& key);
  const std::string& LogFolder() const { return m_log_folder; }

 private:
  struct Proxy {
    Address address;
    Address control;
    Process process;
  };
  struct Instance {
    std::string name;
    Address address;
    Address peer;
    std::unique_ptr<Proxy> peer_proxy;
    std::unique_ptr<Proxy> store_proxy;
    Process process;
    std::uint64_t last_event = 0;
  };
  struct BackendServer {
    BackendGroup group;
    std::string name;
    Address address;
    std::unique_ptr<Proxy> proxy;
    Process process;
    std::map<std::string, Execution> seen;  ///< by run
    std::vector<Execution> lost;            ///< of earlier processes
  };

  static std::size_t Index(int instance) { return static_cast<std::size_t>(instance); }
  std::unique_ptr<Proxy> StartProxy(const std::string& name, const Address& target);
  std::string DataCentreName(int number) const;
  void StartDaemon(Instance& instance);
  void StartBackend(BackendServer& backend);
  void WriteConfig();
  std::size_t KnownMembers(int instance);
  bool WaitListening(const Address& address, const std::string& path);
  void ControlAt(const Address& address, const nlohmann::json& command);
  BackendServer& FindBackend(const std::string& name);
  std::shared_ptr<CallerView> StartCall(HttpClientRequest request, std::size_t offset);
  void ReadExecutions(BackendServer& backend);

  ClusterOptions m_options;
  std::string m_log_folder;
  EventLoop m_loop;
  HttpClient m_client{m_loop};
  Address m_store;
  std::unique_ptr<Proxy> m_store_proxy;
  Process m_store_process;
  std::vector<std::unique_ptr<BackendServer>> m_backends;
  std::vector<Instance> m_instances;
  std::vector<TimelineEvent> m_events;
  std::map<std::shared_ptr<CallerView>, std::unique_ptr<HttpCall>> m_calls;
  int m_next_nonce = 1;
};

/// @return the body of an idempotent request to an engine pool
nlohmann::json EngineBody(const std::string& prompt, const std::string& tier = "urgent",
                          int max_tokens = 20, int deadline_ms = 20'000);
/// @return the body of a booking that must not run twice
nlohmann::json BookingBody(const std::string& key, int deadline_ms = 20'000);

}  // namespace bluebellpass::test
