#include "gateway.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "bluebellpass/event.h"
#include "gateway/rollout/rollout-report.h"

namespace bluebellpass::gateway {
namespace {

constexpr Millis kSignalCheckPeriod{100};
constexpr Millis kLogFlushPeriod{200};
// Number of the latest events that are kept in memory for /v1/events; the log has all events.
constexpr std::size_t kMaxRecordedEvents = 1'000;
constexpr Millis kStopCheckPeriod{50};
// A stopping instance accepts requests for this long, since callers cache its address. Later ones
// could not be completed before the process exits.
constexpr Millis kStopAcceptDuration{2'500};
// After this part of the time until the process exits, waiting requests are refused if the exit
// could cut them off. Another instance can serve them.
constexpr double kStopWaitFraction = 0.5;
// Retry-After of requests that arrive later; another instance can serve them at once.
constexpr Millis kRetryAfterStopping{50};
// Reserved for delivering the last responses before the platform kills the process.
constexpr Millis kStopMargin{700};
constexpr char kEventsPath[] = "/v1/events";
constexpr char kCommandPath[] = "/v1/command";
constexpr char kRolloutsPath[] = "/v1/rollouts";
// Bounds the age of the last freshness confirmation, which must be far below the maximum revocation
// delay.
constexpr Millis kMaxWatchWait{1'500};
// Short, so that callers soon stop using a stopping instance; lookups are cheap.
constexpr Millis kAddressTtl{2'000};
constexpr std::size_t kMaxAddresses = 64;
// File descriptors that are not available to connections of callers: connections to backend
// servers, the store and other instances, and files.
constexpr std::size_t kReservedDescriptors = 900;
// Part of the callers' connections that is for lookups in the directory, which are short.
constexpr std::size_t kDirectoryConnectionsDivisor = 5;
// Connections for the platform's checks and for metrics, at each of their addresses.
constexpr std::size_t kMaxInternalConnections = 32;
// Requests to the directory, for checks and for metrics have no body or a short command.
constexpr std::size_t kMaxLocalBodyBytes = 16U << 10U;

// Fraction of the platform's retry limit that instances use. Less than 1, because the windows of
// instances and backend servers do not coincide.
constexpr double kRetryBudgetFraction = 0.8;
constexpr Millis kRetryBudgetUpdatePeriod{1'000};
constexpr Millis kVersionRecordPeriod{200};
// How long a backend server gets no work from any instance after one could not connect to it.
constexpr Millis kUnreachableAvoidDuration{500};

// Larger blocks of memory go back to the system when they are freed. By default the C library
// raises this size with the blocks that are used, and keeps what was needed once.
constexpr int kMinReturnedBlockBytes = 128 << 10;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

volatile std::sig_atomic_t g_stop_requested = 0;
volatile std::sig_atomic_t g_reload_requested = 0;

void OnSignal(int number) {
  if (number == SIGHUP) {
    g_reload_requested = 1;
  } else {
    g_stop_requested = 1;
  }
}

/// @return number of connections that callers may open, with those to the directory
std::size_t MaxClientConnections(const Settings& settings) {
  return settings.max_descriptors > 2 * kReservedDescriptors
             ? settings.max_descriptors - kReservedDescriptors
             : settings.max_descriptors / 2;
}

std::size_t MaxDirectoryConnections(const Settings& settings) {
  return MaxClientConnections(settings) / kDirectoryConnectionsDivisor;
}

Http1Limits MakeHttpLimits(const Settings& settings, const CallerLimits& limits) {
  Http1Limits result;
  result.max_header_bytes = limits.max_header_bytes;
  result.max_body_bytes = limits.max_body_bytes;
  result.request_timeout = limits.header_timeout;
  result.idle_timeout = limits.idle_timeout;
  result.max_connections = MaxClientConnections(settings) - MaxDirectoryConnections(settings);
  return result;
}

Http1Limits MakeDirectoryLimits(const Settings& settings) {
  Http1Limits result = MakeHttpLimits(settings, {});
  result.max_connections = MaxDirectoryConnections(settings);
  result.max_body_bytes = kMaxLocalBodyBytes;
  return result;
}

Http1Limits MakeInternalLimits() {
  Http1Limits result;
  result.max_connections = kMaxInternalConnections;
  result.max_body_bytes = kMaxLocalBodyBytes;
  return result;
}

ConnectionPoolOptions MakePoolOptions(MemoryAccount& buffer_memory) {
  ConnectionPoolOptions options;
  options.account = &buffer_memory;
  return options;
}

StalenessBounds MakeStalenessBounds(const Settings& settings) {
  StalenessBounds bounds;
  bounds.revocation_bound = settings.max_revocation_delay;
  bounds.denial_bound = settings.max_config_delay;
  return bounds;
}

/// Passes log lines to the writer, which the event loop flushes.
class LogWriterSink : public LogSink {
 public:
  LogWriterSink(std::shared_ptr<LogWriter> writer, const EventLoop& loop)
      : m_writer(std::move(writer)), m_loop(loop) {}
  void OnLine(std::string_view line) override { m_writer->QueueLine(line, m_loop.Now()); }

 private:
  std::shared_ptr<LogWriter> m_writer;
  const EventLoop& m_loop;
};

Incarnation MakeIncarnation() {
  const auto wall_time = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(wall_time).count()));
}

FleetOptions MakeFleetOptions(const Settings& settings, Incarnation incarnation) {
  FleetOptions options;
  options.id = settings.instance;
  options.data_centre = settings.data_centre;
  options.region = settings.region;
  options.incarnation = incarnation;
  options.caller_address = settings.caller_listen;
  options.peer_address = settings.peer_listen;
  options.processor_share = settings.processor_share;
  options.has_state_transfer = settings.has_state_transfer;
  return options;
}

/// @return a function that logs whether the store answers the calls for a kind of objects
std::function<void(bool is_reachable, const std::string& reason)> MakeReachabilityLogger(
    const char* kind) {
  return [kind](bool is_reachable, const std::string& reason) {
    LogEvent(is_reachable ? EventId::kFeedRegained : EventId::kFeedLost,
             {{"kind", kind}, {"reason", reason}});
  };
}

}  // namespace

Gateway::Gateway(Platform platform, Settings settings)
    : m_platform(std::move(platform)),
      m_settings(std::move(settings)),
      m_incarnation(MakeIncarnation()),
      m_buffer_memory(m_settings.max_buffer_memory),
      m_log_writer(std::make_shared<LogWriter>(STDOUT_FILENO)),
      m_routing_state(m_clock, MakeStalenessBounds(m_settings)),
      m_store_client(m_platform.make_store_client(m_loop, m_settings, m_buffer_memory)),
      m_version_record(m_loop, *m_store_client),
      m_fleet(m_loop, MakeFleetOptions(m_settings, m_incarnation), m_coordinator,
              {[this](const InstanceId& id, std::uint64_t registration_revision) {
                 RemoveInstance(id, registration_revision);
               },
               [this](bool is_remote) {
                 m_relay->OnCoordinatorChanged(is_remote);
                 m_version_record.Reset();
                 m_backend_notices.ForgetRejectionLimits();
               },
               [this] { m_backend_watch->Refresh(); }}),
      m_pool(m_loop, MakePoolOptions(m_buffer_memory)),
      m_peer_pool(m_loop, MakePoolOptions(m_buffer_memory)),
      m_path_monitor(m_loop, m_pool, m_routing_state,
                     {[this](const BackendId& id) {
                        m_fleet.AvoidBackend(id, kUnreachableAvoidDuration, true);
                      },
                      [this](bool is_stranded) { m_fleet.SetLostBackends(is_stranded); }}),
      m_caller_server(
          m_loop, MakeHttpLimits(m_settings, {}),
          [this](std::shared_ptr<HttpExchange> exchange) { OnRequest(std::move(exchange)); },
          &m_buffer_memory),
      m_ready_server(
          m_loop, MakeInternalLimits(),
          [this](const std::shared_ptr<HttpExchange>& exchange) { OnLocalRequest(exchange); },
          &m_buffer_memory),
      m_directory_server(
          m_loop, MakeDirectoryLimits(m_settings),
          [this](const std::shared_ptr<HttpExchange>& exchange) { OnLocalRequest(exchange); },
          &m_buffer_memory),
      m_metrics_server(
          m_loop, MakeInternalLimits(),
          [this](const std::shared_ptr<HttpExchange>& exchange) { OnMetricsRequest(exchange); },
          &m_buffer_memory),
      m_register_task(m_loop, [this] { Register(); }),
      m_fleet_objects_task(m_loop, [this] { ReadFleetObjects(); }),
      m_list_task(m_loop, [this] { ListInstances("", m_is_registered); }),
      m_budget_timer(m_loop),
      m_versions_timer(m_loop),
      m_signal_timer(m_loop),
      m_stop_timer(m_loop),
      m_abort_timer(m_loop),
      m_log_timer(m_loop) {
  m_buffer_memory.OnEviction([this](std::size_t bytes) {
    LogEvent(EventId::kMemoryReleased,
             {{"bytes", static_cast<std::int64_t>(bytes)},
              {"used", static_cast<std::int64_t>(m_buffer_memory.Used())},
              {"limit", static_cast<std::int64_t>(m_buffer_memory.Limit())}});
  });
  for (Http1Server* server : {&m_caller_server, &m_directory_server})
    server->OnRejection([this](ClientRejection rejection) { OnClientRejected(rejection); });
  SetEventSource(m_settings.instance.Text());
  SetLogSink(std::make_shared<LogWriterSink>(m_log_writer, m_loop), kMaxRecordedEvents);
}

Gateway::~Gateway() = default;

Result<Ok> Gateway::Listen() {
  const std::pair<Http1Server*, Address> servers[] = {
      {&m_caller_server, m_settings.caller_listen},
      {&m_ready_server, m_settings.ready_listen},
      {&m_directory_server, m_settings.directory_listen},
      {&m_metrics_server, m_settings.metrics_listen}};
  for (const auto& [server, address] : servers) {
    if (address.port == 0) continue;
    const auto result = server->Listen(address);
    if (!IsOk(result)) return ErrorOf(result);
  }
  return Ok{};
}

int Gateway::Run() {
  mallopt(M_MMAP_THRESHOLD, kMinReturnedBlockBytes);
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGHUP, OnSignal);
  const Result<Ok> listen_result = Listen();
  if (!IsOk(listen_result)) {
    std::cerr << "bluebellpass: " << ErrorOf(listen_result).message << '\n';
    return 1;
  }
  LogEvent(EventId::kStarted, {{"address", m_settings.caller_listen.Text()}});
  m_budget_timer.StartPeriodic(kRetryBudgetUpdatePeriod, [this] { UpdateRetryBudgets(); });
  m_versions_timer.StartPeriodic(kVersionRecordPeriod, [this] { UpdateVersionRecord(); });
  StartWatches();
  m_path_monitor.Start();
  Register();
  ReadFleetObjects();
  m_signal_timer.StartPeriodic(kSignalCheckPeriod, [this] { CheckSignals(); });
  m_log_timer.StartPeriodic(kLogFlushPeriod, [this] { m_log_writer->Flush(); });
  m_loop.Run();
  LogEvent(EventId::kStopped, {});
  m_log_writer->Flush();
  return 0;
}

void Gateway::StartWatches() {
  m_coordinator.RequestScheduler().SetListing(true);
  WatchOptions options;
  options.max_wait = kMaxWatchWait;
  ObjectWatch::Events config_events;
  config_events.on_object = [this](const StoredObject& object) {
    if (m_config_watch->HasInitialList()) m_fleet.AnnounceObject(ObjectKind::kConfig, object);
    m_relay->RecordObject(ObjectKind::kConfig, object);
    OnConfigObject(object);
  };
  config_events.on_confirmed = [this](BootTime at) { m_routing_state.ConfirmConfig(at); };
  config_events.on_reachability = [this, log = MakeReachabilityLogger("config")](
                                      bool is_reachable, const std::string& reason) {
    log(is_reachable, reason);
    if (is_reachable) OnStoreReachable();
  };
  m_config_watch = std::make_unique<ObjectWatch>(
      *m_store_client, m_loop, m_clock, ObjectKind::kConfig, options, std::move(config_events));
  // While the store is down, only the configuration watch polls it often; all other clients wait
  // until that succeeds.
  options.max_backoff = kStoreRetryDelay;
  ObjectWatch::Events backend_events;
  backend_events.on_object = [this](const StoredObject& object) {
    if (m_backend_watch->HasInitialList()) m_fleet.AnnounceObject(ObjectKind::kBackends, object);
    m_relay->RecordObject(ObjectKind::kBackends, object);
    OnBackendObject(object);
  };
  backend_events.on_batch = [this] { OnBackendBatch(); };
  backend_events.on_confirmed = [this](BootTime at) {
    m_coordinator.Versions().SetConfirmed(m_loop.Now() - (m_clock.Now() - at));
    if (m_coordinator.NeedsConfirmation()) m_fleet.ScheduleDecision();
  };
  backend_events.on_reachability = MakeReachabilityLogger("backends");
  m_backend_watch = std::make_unique<ObjectWatch>(
      *m_store_client, m_loop, m_clock, ObjectKind::kBackends, options, std::move(backend_events));
  if (m_settings.rollout_bounds) StartRolloutWatch();
  m_relay = std::make_unique<ObjectRelay>(m_clock, *m_config_watch, *m_backend_watch,
                                          m_rollout_watch.get());
  m_fleet.SetRelay(m_relay.get());
  ApplySettings();
  m_store_client->OnRestored([this] { OnStoreRestored(); });
  m_config_watch->Start();
  // Before the backend servers, whose versions an order may name.
  if (m_rollout_watch) m_rollout_watch->Start();
  m_backend_watch->Start();
}

void Gateway::StartRolloutWatch() {
  m_rollout_task = std::make_unique<RolloutTask>(m_loop, *m_store_client, *m_platform.protocol,
                                                 m_coordinator.Rollouts(),
                                                 [this] { m_fleet.ScheduleDecision(); });
  WatchOptions options;
  options.max_wait = kMaxWatchWait;
  options.max_backoff = kStoreRetryDelay;
  ObjectWatch::Events events;
  events.on_object = [this](const StoredObject& object) {
    if (m_rollout_watch->HasInitialList()) m_fleet.AnnounceObject(ObjectKind::kRollouts, object);
    m_relay->RecordObject(ObjectKind::kRollouts, object);
    m_rollout_task->OnObject(object);
  };
  events.on_confirmed = [this](BootTime) {
    m_coordinator.Rollouts().SetSeenRevision(m_rollout_watch->SeenRevision());
  };
  events.on_reachability = MakeReachabilityLogger("rollouts");
  m_rollout_watch = std::make_unique<ObjectWatch>(
      *m_store_client, m_loop, m_clock, ObjectKind::kRollouts, options, std::move(events));
}

void Gateway::OnStoreReachable() {
  m_backend_watch->RetryNow();
  if (m_rollout_watch) m_rollout_watch->RetryNow();
  for (StoreTask* task : {&m_register_task, &m_fleet_objects_task, &m_list_task}) task->RetryNow();
}

void Gateway::OnConfigObject(const StoredObject& object) {
  if (object.is_deleted || !object.spec) return;
  Result<Config> config = m_platform.protocol->DecodeConfig(*object.spec);
  if (!IsOk(config)) {
    LogEvent(EventId::kObjectRejected,
             {{"object", object.name}, {"reason", ErrorOf(config).message}});
    return;
  }
  const ConfigVersion version = std::get<Config>(config).version;
  if (!m_routing_state.SetConfig(std::get<Config>(std::move(config)))) {
    LogEvent(EventId::kChangeIgnored,
             {{"kind", std::string(NameOf(ObjectKind::kConfig))},
              {"object", object.name},
              {"version", static_cast<std::int64_t>(version.Value())},
              {"known", static_cast<std::int64_t>(m_routing_state.Table()->Version().Value())},
              {"reason", "version"}});
    return;
  }
  m_caller_server.SetLimits(
      MakeHttpLimits(m_settings, m_routing_state.Table()->SourceConfig().limits));
  LogEvent(EventId::kConfigApplied,
           {{"version", static_cast<std::int64_t>(version.Value())},
            {"source", "store"},
            {"revision", static_cast<std::int64_t>(NumberOf(object.revision))}});
  m_coordinator.SetRoutingTable(m_routing_state.Table());
  UpdateSchedulerBackends();
}

void Gateway::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  if (m_is_stopping && m_loop.Now() - m_stop_began_at >= kStopAcceptDuration) {
    const auto request = m_platform.protocol->DecodeRequest(exchange->Head());
    const AttemptId id = IsOk(request) ? std::get<CallerRequest>(request).id : AttemptId();
    return exchange->Send(kUnavailable,
                          m_platform.protocol->EncodeLocalResponse(id, kRetryAfterStopping), "");
  }
  const CallContext context{m_loop,
                            *m_platform.protocol,
                            m_routing_state,
                            m_fleet,
                            m_pool,
                            m_retry_budgets,
                            m_backend_notices,
                            m_metrics,
                            m_buffer_memory,
                            m_coordinator.Rollouts(),
                            m_caller_deadlines,
                            m_path_monitor,
                            m_fleet,
                            m_peer_pool};
  auto weak_call = std::make_shared<std::weak_ptr<Call>>();
  const auto call = std::make_shared<Call>(context, std::move(exchange), [this, weak_call] {
    if (const auto ended = weak_call->lock()) m_calls.erase(ended);
  });
  *weak_call = call;
  m_calls.insert(call);
  call->Start();
}

bool Gateway::IsReady() const {
  return !m_is_stopping && m_fleet.IsStarted() && m_routing_state.Table() != nullptr;
}

AddressList Gateway::MakeAddressList(const DataCentre& caller) const {
  AddressList list;
  // It would name this instance only, and lead all callers nearby to it.
  if (!m_fleet.IsStarted()) return list;
  list.ttl_s =
      static_cast<int>(std::min(kAddressTtl, m_settings.max_address_ttl) / std::chrono::seconds(1));
  list.addresses = m_fleet.CallerAddresses(caller, kMaxAddresses);
  return list;
}

void Gateway::OnLocalRequest(const std::shared_ptr<HttpExchange>& exchange) {
  switch (m_platform.protocol->DecodeLocalEndpoint(exchange->Head())) {
    case LocalEndpoint::kNone:
      return exchange->Send(kNotFound, {}, "");
    case LocalEndpoint::kReadiness:
      return exchange->Send(IsReady() ? kOk : kUnavailable, {}, "");
    case LocalEndpoint::kAddresses: {
      const AddressList list =
          MakeAddressList(m_platform.protocol->DecodeCallerDataCentre(exchange->Head()));
      if (list.addresses.empty()) return exchange->Send(kUnavailable, {}, "");
      return exchange->Send(kOk, {{"Content-Type", "application/json"}},
                            m_platform.protocol->EncodeAddresses(list));
    }
  }
}

void Gateway::OnClientRejected(ClientRejection rejection) {
  const std::string reason(NameOf(rejection));
  m_metrics.IncrementCounter("gateway_rejected_clients", "reason=\"" + reason + "\"");
  LogEvent(
      EventId::kClientRejected,
      {{"reason", reason},
       {"request_bytes", static_cast<std::int64_t>(m_buffer_memory.Used(BufferKind::kRequestBody))},
       {"used", static_cast<std::int64_t>(m_buffer_memory.Used())},
       {"limit", static_cast<std::int64_t>(m_buffer_memory.Limit())},
       {"connections", static_cast<std::int64_t>(m_caller_server.ConnectionCount())}});
}

void Gateway::OnMetricsRequest(const std::shared_ptr<HttpExchange>& exchange) {
  const std::string& target = exchange->Head().target;
  if (target.starts_with(kEventsPath)) {
    // Same format as the daemon's /v1/events, so that timelines can include gateways.
    const std::size_t position = target.find("after=");
    const std::uint64_t after = position == std::string::npos
                                    ? 0
                                    : std::strtoull(target.c_str() + position + 6, nullptr, 10);
    return exchange->Send(kOk, {{"Content-Type", "application/x-ndjson"}},
                          RecordedEvents(after, kMaxRecordedEvents));
  }
  const auto rollouts = m_coordinator.Rollouts().Summaries(m_loop.Now());
  if (target == kCommandPath || target == kRolloutsPath) {
    const CommandReply reply = target == kCommandPath ? AnswerCommand(exchange->Body(), rollouts)
                                                      : CommandReply{kOk, EncodeRollouts(rollouts)};
    return exchange->Send(reply.status, {{"Content-Type", "application/json"}}, reply.body);
  }
  SetRolloutMetrics(m_metrics, rollouts);
  m_metrics.SetGauge("gateway_log_dropped_lines",
                     static_cast<double>(m_log_writer->DroppedLines()));
  m_metrics.SetGauge("gateway_response_memory_bytes",
                     static_cast<double>(m_buffer_memory.Used(BufferKind::kResponse)));
  m_metrics.SetGauge("gateway_request_memory_bytes",
                     static_cast<double>(m_buffer_memory.Used(BufferKind::kRequestBody)));
  m_metrics.SetGauge("gateway_write_memory_bytes",
                     static_cast<double>(m_buffer_memory.Used(BufferKind::kPendingWrite)));
  m_metrics.SetGauge("gateway_memory_limit_bytes", static_cast<double>(m_buffer_memory.Limit()));
  m_metrics.SetGauge("gateway_memory_evictions",
                     static_cast<double>(m_buffer_memory.EvictionCount()));
  m_metrics.SetGauge("gateway_waiting",
                     static_cast<double>(m_coordinator.RequestScheduler().WaitingCount()));
  m_metrics.SetGauge("gateway_running",
                     static_cast<double>(m_coordinator.RequestScheduler().RunningCount()));
  for (const SizeGroupResults& group : m_coordinator.RequestScheduler().ResultsBySize()) {
    const std::string labels = "service=\"" + group.service.Text() + "\",rank=\"" +
                               std::to_string(group.rank) + "\",route=\"" + group.route +
                               "\",size=\"" + std::string(NameOf(group.size)) + "\",result=\"";
    for (const auto& [result, count] : group.counts)
      m_metrics.SetGauge("gateway_requests_by_size", static_cast<double>(count),
                         labels + std::string(result) + "\"");
  }
  m_metrics.SetGauge("gateway_calls", static_cast<double>(m_calls.size()));
  m_metrics.SetGauge("gateway_connections", static_cast<double>(m_caller_server.ConnectionCount()));
  m_metrics.SetGauge("gateway_config_age_ms",
                     static_cast<double>(m_routing_state.ConfigAge().count()));
  const InstanceId* coordinator = m_fleet.CoordinatorId();
  m_metrics.SetGauge("gateway_is_coordinator",
                     coordinator != nullptr && *coordinator == m_settings.instance ? 1 : 0);
  m_metrics.SetGauge("gateway_followers", static_cast<double>(m_fleet.FollowerCount()));
  m_metrics.SetGauge("gateway_backend_connects", static_cast<double>(m_pool.Stats().connects));
  exchange->Send(kOk, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.Render());
}

void Gateway::CheckSignals() {
  if (g_reload_requested != 0) {
    g_reload_requested = 0;
    ReloadSettings();
  }
  if (g_stop_requested != 0 && !m_is_stopping) BeginStop();
}

void Gateway::ApplySettings() {
  m_buffer_memory.SetLimit(m_settings.max_buffer_memory);
  m_routing_state.SetBounds(MakeStalenessBounds(m_settings));
  // A reload neither enables roll-outs, whose entries are read from the start, nor disables them,
  // which would allow reverted versions.
  if (m_rollout_watch && m_settings.rollout_bounds)
    m_coordinator.Rollouts().SetBounds(m_settings.rollout_bounds);
  m_coordinator.SetQuotaTolerance(
      {m_settings.quota_window, m_settings.quota_excess_ratio, m_settings.quota_slack});
  if (m_relay)
    m_relay->SetReactionBound(std::min(m_settings.max_config_delay, m_settings.max_drain_delay));
  UpdateRetryBudgets();
}

void Gateway::UpdateRetryBudgets() {
  RetryBudget::Options options;
  options.ratio = m_settings.retry_ratio * kRetryBudgetFraction;
  options.window = m_settings.retry_window;
  const auto instances = static_cast<double>(m_fleet.MemberCount());
  options.min_retries = m_settings.min_retries * kRetryBudgetFraction / instances;
  m_retry_budgets.SetOptions(options);
}

void Gateway::ReloadSettings() {
  Result<Settings> settings = m_platform.read_settings();
  if (!IsOk(settings)) {
    LogEvent(EventId::kSettingsReloaded, {{"error", ErrorOf(settings).message}});
    return;
  }
  m_settings = std::get<Settings>(std::move(settings));
  ApplySettings();
  LogEvent(EventId::kSettingsReloaded, {{"error", ""}});
}

void Gateway::BeginStop() {
  m_is_stopping = true;
  m_stop_began_at = m_loop.Now();
  const Millis timeout = m_settings.stop_grace - kStopMargin;
  m_exit_at = m_stop_began_at + timeout;
  m_stop_waiting_until =
      m_stop_began_at + std::chrono::duration_cast<Millis>(timeout * kStopWaitFraction);
  LogEvent(EventId::kStopRequested, {{"timeout_ms", timeout.count()}});
  m_register_task.Stop();
  if (m_is_registered) {
    m_store_client->Delete(
        ObjectKind::kInstances, m_settings.instance.Text(), m_registration_revision,
        [](const Result<Ok>& result) {
          // The coordinator removes the object later.
          if (!IsOk(result))
            LogEvent(EventId::kObjectRejected,
                     {{"object", "own registration"}, {"reason", ErrorOf(result).message}});
        });
  }
  m_fleet.Leave();
  m_caller_server.BeginDrain();
  m_abort_timer.Start(timeout, [this] {
    const auto calls = m_calls;
    for (const auto& call : calls) call->Abort();
    m_abort_timer.Start(kStopCheckPeriod, [this] { m_loop.Stop(); });
  });
  m_stop_timer.StartPeriodic(kStopCheckPeriod, [this] { StopIfIdle(); });
}

void Gateway::StopIfIdle() {
  if (m_loop.Now() - m_stop_began_at < kStopAcceptDuration) return;
  m_caller_server.StopAccepting();
  if (m_loop.Now() >= m_stop_waiting_until) {
    const auto calls = m_calls;
    for (const auto& call : calls) call->RefuseIfWaiting(m_exit_at);
  }
  if (m_calls.empty()) m_loop.Stop();
}

}  // namespace bluebellpass::gateway
