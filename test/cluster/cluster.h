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

/// A group of identically configured backend servers.
struct BackendGroup {
  std::string prefix;  ///< names are the prefix and a number, starting at 1
  std::string kind;    ///< "engine" or "service"
  std::string pool;
  int count = 1;
  int slots = 4;
  std::vector<std::string> flags;                    ///< of the stand-in's command line
  nlohmann::json config = nlohmann::json::object();  ///< overrides the server's fields
};

struct ClusterOptions {
  int instances = 3;
  int data_centres = 3;
  std::string log_level = "debug";  ///< of the daemons
  std::vector<BackendGroup> backends;
  std::vector<std::string> daemon_flags;
  std::string daemon_binary;  ///< path; empty for the daemon of this build
  bool has_backend_proxies = false;
  bool has_store_proxy = false;
  bool has_store_proxy_per_instance = false;  ///< each instance has a proxy to the object API
  bool has_peer_proxies = false;
  nlohmann::json extra_config = nlohmann::json::object();  ///< overrides default fields
};

/// The response to a caller's request, as far as it was received.
struct CallerResponse {
  std::string id;
  int status = 0;       ///< HTTP status; 0 until it is received
  std::string answer;   ///< the data of all lines, concatenated
  std::string outcome;  ///< from the last line; empty until it is received
  std::string error;
  std::string resume_token;  ///< empty if the response has none
  std::string backend;
  bool is_done = false;  ///< the connection is closed, after a complete response or not
  bool has_gap = false;  ///< bytes of the answer are missing or repeated
};

/// One run of a request, as a stand-in has recorded it.
struct Execution {
  std::string backend;
  std::string request_id;
  std::string key;              ///< idempotency key; plain services only
  std::int64_t started_ms = 0;  ///< wall clock
  std::int64_t ended_ms = 0;    ///< wall clock; 0 until it ends
  std::int64_t input_tokens = 0;
  std::int64_t cached_tokens = 0;  ///< part of the input found in the prefix cache
  std::int64_t output_tokens = 0;
  bool is_cancelled = false;
};

/// Starts daemons and stand-ins for the platform as processes on the loopback interface. Tests
/// inject faults by signals, by the stand-ins' control calls and by proxies.
class Cluster {
 public:
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Runs the event loop until the condition holds.
  /// @return false if the timeout expired first
  bool RunUntil(const std::function<bool()>& condition, Millis timeout = Millis{10'000});
  void RunFor(Millis time);
  /// @return the event loop of this process, which also runs its callers
  EventLoop& Loop() { return m_loop; }

  // Callers.
  /// Fetches a ticket from an instance and makes a request id with an unused nonce from it.
  /// @return the id, or an empty string if the instance gave no ticket
  std::string NewId(int instance);
  /// Submits a request through an instance. The response is filled while the event loop runs.
  std::shared_ptr<CallerResponse> Submit(int instance, const nlohmann::json& body,
                                         const std::string& id = "");
  std::shared_ptr<CallerResponse> Fetch(int instance, const std::string& id,
                                        std::size_t offset = 0);
  std::shared_ptr<CallerResponse> Resume(int instance, const std::string& token,
                                         std::size_t offset);
  /// Closes the caller's connection and marks its response as done.
  void Disconnect(const std::shared_ptr<CallerResponse>& response);
  /// Sends an HTTP request and waits for its reply.
  /// @return nullopt if the call failed or timed out
  std::optional<HttpResponse> Call(const Address& address, const std::string& method,
                                   const std::string& path, const std::string& body = "",
                                   Millis timeout = Millis{5'000});
  /// Runs an operator's command.
  /// @return its answer, or null if there was no reply
  nlohmann::json RunCommand(int instance, const std::string& text);
  /// Sends an operator's command without waiting for its answer.
  /// @return the answer, set once the command has ended; JSON null if there was no reply
  std::shared_ptr<std::optional<nlohmann::json>> StartCommand(int instance,
                                                              const std::string& text);

  // Instances.
  /// Waits until every instance knows all others.
  bool WaitForMembers(Millis timeout = Millis{10'000});
  int InstanceCount() const { return static_cast<int>(m_instances.size()); }
  const std::string& InstanceName(int instance) const { return m_instances[Index(instance)].name; }
  Address CallerAddress(int instance) const { return m_instances[Index(instance)].address; }
  Process& Daemon(int instance) { return m_instances[Index(instance)].process; }
  /// Kills an instance and starts it again with the same addresses.
  void Restart(int instance);
  bool WaitUntilReady(int instance, Millis timeout = Millis{10'000});
  /// @return the index of the instance that was last to log that it owns the pool's cell; -1 if
  /// none
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
  /// Controls the proxy between an instance and the object API.
  void ControlInstanceStoreProxy(int instance, const nlohmann::json& command);
  void ControlPeerProxy(int instance, const nlohmann::json& command);
  std::vector<std::string> BackendNames(const std::string& pool) const;

  // Recorded executions, events and writes.
  /// @return the executions recorded by all stand-ins; those of a killed stand-in as last read
  std::vector<Execution> Executions();
  /// @return the events of all instances in causal order, including events that were read before an
  /// instance exited
  std::vector<TimelineEvent> Timeline();
  /// @return true if any instance has logged the event for the request
  bool HasEvent(const std::string& name, const std::string& request);
  /// @return the versions of an object in the order in which the object API logged its writes
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
    std::map<std::string, Execution> executions;  ///< of the current process
    std::vector<Execution> earlier_executions;    ///< of processes before the last restart
  };

  static std::size_t Index(int instance) { return static_cast<std::size_t>(instance); }
  std::unique_ptr<Proxy> StartProxy(const std::string& name, const Address& target);
  std::string DataCentreName(int number) const;
  void StartDaemon(Instance& instance);
  void StartBackend(BackendServer& backend);
  void WriteConfig();
  std::size_t CountKnownMembers(int instance);
  bool WaitUntilListening(const Address& address, const std::string& path);
  void SendControl(const Address& address, const nlohmann::json& command);
  BackendServer& FindBackend(const std::string& name);
  std::shared_ptr<CallerResponse> StartCall(HttpClientRequest request, std::size_t offset);
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
  std::map<std::shared_ptr<CallerResponse>, std::unique_ptr<HttpCall>> m_calls;
  int m_next_nonce = 1;
};

/// @return the body of an idempotent request to the engines' pool
nlohmann::json EngineBody(const std::string& prompt, const std::string& tier = "urgent",
                          int max_tokens = 20, int deadline_ms = 20'000);
/// @return the body of a booking, which is not idempotent and must not run twice
nlohmann::json BookingBody(const std::string& key, int deadline_ms = 20'000);

}  // namespace bluebellpass::test
