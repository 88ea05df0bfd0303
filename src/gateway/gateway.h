#pragma once

#include <csignal>
#include <memory>
#include <set>
#include <string>

#include "bluebellpass/error.h"
#include "bluebellpass/gateway/settings.h"
#include "bluebellpass/gateway/store-client.h"
#include "gateway/call/call.h"
#include "gateway/decisions/coordinator.h"
#include "gateway/decisions/quota.h"
#include "gateway/fleet/fleet.h"
#include "gateway/fleet/relay.h"
#include "gateway/rollout/rollout-task.h"
#include "gateway/state/backend-reports.h"
#include "gateway/state/boot-clock.h"
#include "gateway/state/object-watch.h"
#include "gateway/state/path-monitor.h"
#include "gateway/state/routing-state.h"
#include "gateway/state/store-task.h"
#include "gateway/streams/version-record.h"
#include "kernel/http1-pool.h"
#include "kernel/http1-server.h"
#include "kernel/log-writer.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "protocol.h"

namespace bluebellpass::gateway {

/// The platform-specific dependencies of the gateway. The store client connects to the store
/// address in the settings.
struct Platform {
  std::unique_ptr<Protocol> protocol;
  std::function<std::unique_ptr<StoreClient>(EventLoop& loop, const Settings& settings,
                                             MemoryAccount& buffer_memory)>
      make_store_client;
  SettingsReader read_settings;
};

/// Forwards callers' requests to backend servers, as one of many identical instances.
class Gateway {
 public:
  Gateway(Platform platform, Settings settings);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Serves requests until SIGTERM or SIGINT.
  /// @return the exit code
  int Run();

 private:
  Result<Ok> Listen();
  void StartWatches();
  void StartRolloutWatch();
  void OnStoreReachable();
  /// Reads and registers anew what a store that has come back from a copy may have lost.
  void OnStoreRestored();
  void OnConfigObject(const StoredObject& object);
  void OnBackendBatch();
  void OnBackendObject(const StoredObject& object);
  /// Uses an outdated entry if the store still has it at a time by which those of lost servers are
  /// gone.
  void UseRemainingEntry(const StoredObject& object, BootTime expires_at);
  void SetBackend(const Backend& backend, Revision revision);
  /// Reads the keys of links and the versions that may have begun streams.
  void ReadFleetObjects();
  /// Adopts the keys of links, or creates them if the store has none.
  void AdoptLinkKeys(const std::vector<StoredObject>& objects);
  void UpdateVersionRecord();
  /// Reads the registered instances.
  /// @param after name of the last instance that was read; empty to start
  /// @param was_registered true if this instance was registered when the list was started. Only
  /// then of two instances that start at the same time at least one sees the other.
  void ListInstances(const std::string& after, bool was_registered);
  void AddInstance(const StoredObject& object);
  void RemoveInstance(const InstanceId& id, std::uint64_t registration_revision);
  /// Handles a request at the callers' address, which is never answered by this instance itself.
  void OnRequest(std::shared_ptr<HttpExchange> exchange);
  void OnLocalRequest(const std::shared_ptr<HttpExchange>& exchange);
  /// Counts and logs a client that was turned away before its request was handled.
  void OnClientRejected(ClientRejection rejection);
  void OnMetricsRequest(const std::shared_ptr<HttpExchange>& exchange);
  AddressList MakeAddressList(const DataCentre& caller) const;
  void UpdateSchedulerBackends();
  /// Tells the scheduler and the roll-outs about a backend server.
  void SetSchedulerBackend(const Backend& backend);
  void Register();
  void OnRegistered(Revision revision);
  /// Joins the fleet once its link keys and all its instances are known. Without them this instance
  /// would take itself for the whole fleet.
  void JoinFleetIfReady();
  void ApplySettings();
  void UpdateRetryBudgets();
  void CheckSignals();
  void ReloadSettings();
  void BeginStop();
  void StopIfIdle();
  bool IsReady() const;

  Platform m_platform;
  Settings m_settings;
  Incarnation m_incarnation;
  SystemBootClock m_clock;
  /// Bytes of requests and responses that are not passed on yet. Connections that are destroyed
  /// with the event loop refer to it.
  MemoryAccount m_buffer_memory;
  EventLoop m_loop;
  std::shared_ptr<LogWriter> m_log_writer;
  Metrics m_metrics;
  RoutingState m_routing_state;
  std::unique_ptr<StoreClient> m_store_client;
  std::unique_ptr<ObjectWatch> m_config_watch;
  std::unique_ptr<ObjectWatch> m_backend_watch;
  /// Null if the deployment has no roll-outs.
  std::unique_ptr<ObjectWatch> m_rollout_watch;
  std::unique_ptr<RolloutTask> m_rollout_task;
  VersionRecord m_version_record;
  std::unique_ptr<ObjectRelay> m_relay;
  Coordinator m_coordinator;
  Fleet m_fleet;
  HttpConnectionPool m_pool;
  HttpConnectionPool m_peer_pool;  ///< to other instances, for forwarded requests
  RetryBudgets m_retry_budgets;
  BackendNotices m_backend_notices;
  PathMonitor m_path_monitor;
  BackendReports m_backend_reports;
  CallerDeadlines m_caller_deadlines;
  Http1Server m_caller_server;
  Http1Server m_ready_server;
  Http1Server m_directory_server;
  Http1Server m_metrics_server;
  std::set<std::shared_ptr<Call>> m_calls;
  Revision m_registration_revision;
  std::vector<std::string> m_link_keys;
  bool m_is_registered = false;
  bool m_has_listed_instances = false;
  bool m_has_listed_backends = false;
  bool m_is_stopping = false;
  TimePoint m_stop_began_at;
  TimePoint m_stop_waiting_until;  ///< requests that the exit could cut off wait until then
  TimePoint m_exit_at;
  StoreTask m_register_task;
  StoreTask m_fleet_objects_task;
  StoreTask m_list_task;
  Timer m_budget_timer;
  Timer m_versions_timer;
  Timer m_signal_timer;
  Timer m_stop_timer;
  Timer m_abort_timer;
  Timer m_log_timer;
};

}  // namespace bluebellpass::gateway
