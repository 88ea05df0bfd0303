#include "gateway.h"

#include <openssl/rand.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

#include "bluebellpass/event.h"
#include "config/address.h"

namespace bluebellpass::gateway {
namespace {

constexpr Millis kSignalPeriod{100};
constexpr Millis kLogPeriod{200};
// Kept for the time line; the log holds all.
constexpr std::size_t kRecordedEvents = 1'000;
constexpr Millis kStopPeriod{50};
// An instance that stops goes on taking requests for this long, since callers keep its address for
// a while. Later ones could not be answered before the end.
constexpr Millis kAcceptWhileStopping{2'500};
// Advice to callers that still come after that; another instance can serve them at once.
constexpr Millis kRetryElsewhere{50};
// Before the platform kills the process, to deliver the last answers.
constexpr Millis kStopMargin{700};
constexpr char kEventsPath[] = "/v1/events";
constexpr char kLinkKeysName[] = "link-keys";
constexpr std::size_t kLinkKeyBytes = 32;
constexpr char kHex[] = "0123456789abcdef";
// Proofs of freshness must be much younger than the bound on revocation.
constexpr Millis kWatchWait{1'500};
// Short, so that callers soon leave an instance that stops; each look-up costs little.
constexpr Millis kAddressValidity{2'000};
constexpr std::size_t kMaxAddresses = 64;
// Descriptors that are not connections of callers: connections to backend servers, the store and
// other instances, and files.
constexpr std::size_t kOwnDescriptors = 900;

// Part of the platform's bound on repeats that is used: instances see the window at other times
// than the backend servers.
constexpr double kBudgetUsed = 0.8;
constexpr Millis kBudgetPeriod{1'000};

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

volatile std::sig_atomic_t g_stop = 0;
volatile std::sig_atomic_t g_reload = 0;

void OnSignal(int number) {
  if (number == SIGHUP) {
    g_reload = 1;
  } else {
    g_stop = 1;
  }
}

Http1Limits LimitsOf(const Settings& settings, const CallerLimits& limits) {
  Http1Limits result;
  result.max_header_bytes = limits.max_header_bytes;
  result.max_body_bytes = limits.max_body_bytes;
  result.header_timeout = limits.header_timeout;
  result.idle_timeout = limits.idle_timeout;
  result.max_connections = settings.max_descriptors > 2 * kOwnDescriptors
                               ? settings.max_descriptors - kOwnDescriptors
                               : settings.max_descriptors / 2;
  return result;
}

StalenessBounds BoundsOf(const Settings& settings) {
  StalenessBounds bounds;
  bounds.revocation_bound = settings.max_revocation_delay;
  bounds.denial_bound = settings.max_config_delay;
  return bounds;
}

/// Hands the log to the writer; the loop flushes it.
class WriterSink : public LogSink {
 public:
  WriterSink(std::shared_ptr<LogWriter> writer, const EventLoop& loop)
      : m_writer(std::move(writer)), m_loop(loop) {}
  void OnLine(std::string_view line) override { m_writer->QueueLine(line, m_loop.Now()); }

 private:
  std::shared_ptr<LogWriter> m_writer;
  const EventLoop& m_loop;
};

Incarnation MakeIncarnation() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(wall).count()));
}

std::string MakeLinkKey() {
  std::array<unsigned char, kLinkKeyBytes> bytes{};
  // Without random numbers the links could not be protected.
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) std::abort();
  std::string key;
  for (const unsigned char byte : bytes) {
    key += kHex[byte >> 4U];
    key += kHex[byte & 15U];
  }
  return key;
}

FleetOptions FleetOptionsOf(const Settings& settings, Incarnation incarnation) {
  FleetOptions options;
  options.id = settings.instance;
  options.data_centre = settings.data_centre;
  options.region = settings.region;
  options.incarnation = incarnation;
  options.caller_address = settings.caller_listen;
  options.peer_address = settings.peer_listen;
  return options;
}

}  // namespace

Gateway::Gateway(Platform platform, Settings settings)
    : m_platform(std::move(platform)),
      m_settings(std::move(settings)),
      m_incarnation(MakeIncarnation()),
      m_log_writer(std::make_shared<LogWriter>(STDOUT_FILENO)),
      m_knowledge(m_clock, BoundsOf(m_settings)),
      m_feed(m_platform.make_store_client(m_loop, m_settings)),
      m_fleet(m_loop, FleetOptionsOf(m_settings, m_incarnation), m_coordinator,
              {[this](const InstanceId& id, std::uint64_t registered) {
                 ForgetInstance(id, registered);
               },
               [this](bool is_remote) { m_relay->OnCoordinatorChanged(is_remote); }}),
      m_pool(m_loop, ConnectionPoolOptions{}),
      m_callers(m_loop, LimitsOf(m_settings, {}),
                [this](std::shared_ptr<HttpExchange> exchange) { OnRequest(std::move(exchange)); }),
      m_ready_server(
          m_loop, {},
          [this](const std::shared_ptr<HttpExchange>& exchange) { OnLocalRequest(exchange); }),
      m_directory(
          m_loop, LimitsOf(m_settings, {}),
          [this](const std::shared_ptr<HttpExchange>& exchange) { OnLocalRequest(exchange); }),
      m_metrics_server(
          m_loop, {},
          [this](const std::shared_ptr<HttpExchange>& exchange) { OnMetricsRequest(exchange); }),
      m_register_task(m_loop, [this] { Register(); }),
      m_keys_task(m_loop, [this] { ReadLinkKeys(ReadConsistency::kAllowStale); }),
      m_list_task(m_loop, [this] { ListInstances(""); }),
      m_budget_timer(m_loop),
      m_signal_timer(m_loop),
      m_stop_timer(m_loop),
      m_abort_timer(m_loop),
      m_log_timer(m_loop) {
  SetEventSource(m_settings.instance.Text());
  SetLogSink(std::make_shared<WriterSink>(m_log_writer, m_loop), kRecordedEvents);
}

Gateway::~Gateway() = default;

Result<Ok> Gateway::Listen() {
  const std::pair<Http1Server*, Address> servers[] = {
      {&m_callers, m_settings.caller_listen},
      {&m_ready_server, m_settings.ready_listen},
      {&m_directory, m_settings.directory_listen},
      {&m_metrics_server, m_settings.metrics_listen}};
  for (const auto& [server, address] : servers) {
    if (address.port == 0) continue;
    const auto result = server->Listen(address);
    if (!IsOk(result)) return ErrorOf(result);
  }
  return Ok{};
}

int Gateway::Run() {
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGHUP, OnSignal);
  const Result<Ok> listening = Listen();
  if (!IsOk(listening)) {
    std::cerr << "bluebellpass: " << ErrorOf(listening).message << '\n';
    return 1;
  }
  LogEvent(EventId::kStarted, {{"address", m_settings.caller_listen.Text()}});
  ApplySettings();
  m_budget_timer.StartPeriodic(kBudgetPeriod, [this] { UpdateRetryBudgets(); });
  StartWatches();
  Register();
  ReadLinkKeys(ReadConsistency::kAllowStale);
  m_signal_timer.StartPeriodic(kSignalPeriod, [this] { CheckSignals(); });
  m_log_timer.StartPeriodic(kLogPeriod, [this] { m_log_writer->Flush(); });
  m_loop.Run();
  LogEvent(EventId::kStopped, {});
  m_log_writer->Flush();
  return 0;
}

void Gateway::StartWatches() {
  const auto reachable = [](const char* kind) {
    return [kind](bool is_reachable, const std::string& reason) {
      LogEvent(is_reachable ? EventId::kFeedRegained : EventId::kFeedLost,
               {{"kind", kind}, {"reason", reason}});
    };
  };
  WatchOptions options;
  options.max_wait = kWatchWait;
  ObjectWatch::Events config;
  config.on_object = [this](const StoredObject& object) {
    if (m_config_watch->HasInitialList()) m_fleet.AnnounceObject(ObjectKind::kConfig, object);
    m_relay->SetDiffBase(object);
    OnConfigObject(object);
  };
  config.on_confirmed = [this](BootTime at) { m_knowledge.ConfirmConfig(at); };
  config.on_reachability = [this, log = reachable("config")](bool is_reachable,
                                                             const std::string& reason) {
    log(is_reachable, reason);
    if (is_reachable) OnStoreFound();
  };
  m_config_watch = std::make_unique<ObjectWatch>(*m_feed, m_loop, m_clock, ObjectKind::kConfig,
                                                 options, std::move(config));
  // The watch of the configuration looks for the store while it is down; all others wait for its
  // success.
  options.max_backoff = kStoreRetryDelay;
  ObjectWatch::Events backends;
  backends.on_object = [this](const StoredObject& object) {
    if (m_backend_watch->HasInitialList()) m_fleet.AnnounceObject(ObjectKind::kBackends, object);
    OnBackendObject(object);
  };
  backends.on_batch = [this] { OnBackendBatch(); };
  backends.on_reachability = reachable("backends");
  m_backend_watch = std::make_unique<ObjectWatch>(*m_feed, m_loop, m_clock, ObjectKind::kBackends,
                                                  options, std::move(backends));
  m_relay = std::make_unique<ObjectRelay>(m_clock, *m_config_watch, *m_backend_watch);
  m_fleet.SetRelay(m_relay.get());
  m_config_watch->Start();
  m_backend_watch->Start();
}

void Gateway::OnStoreFound() {
  m_backend_watch->RetryNow();
  for (StoreTask* task : {&m_register_task, &m_keys_task, &m_list_task}) task->RetryNow();
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
  if (!m_knowledge.SetConfig(std::get<Config>(std::move(config)))) return;
  m_callers.SetLimits(LimitsOf(m_settings, m_knowledge.Table()->SourceConfig().limits));
  LogEvent(EventId::kConfigApplied,
           {{"version", static_cast<std::int64_t>(version.Value())},
            {"source", "store"},
            {"revision", static_cast<std::int64_t>(object.revision.Value())}});
  m_coordinator.SetRoutingTable(m_knowledge.Table());
  RefreshScheduler();
}

void Gateway::RefreshScheduler() {
  const auto& table = m_knowledge.Table();
  if (!table) return;
  for (const auto& [id, backend] : m_knowledge.Backends())
    m_coordinator.RequestScheduler().SetBackend(backend, table->FindService(backend.service));
  m_fleet.ScheduleDecision();
}

void Gateway::OnBackendBatch() {
  if (!std::exchange(m_has_listed_backends, true))
    LogEvent(EventId::kBackendsListed,
             {{"count", static_cast<std::int64_t>(m_knowledge.Backends().size())},
              {"revision", static_cast<std::int64_t>(m_backend_watch->SeenRevision().Value())}});
  m_fleet.ScheduleDecision();
}

void Gateway::OnBackendObject(const StoredObject& object) {
  const BackendId id(object.name);
  if (!object.is_deleted && object.spec) {
    Result<Backend> backend = m_platform.protocol->DecodeBackend(object.name, *object.spec);
    if (IsOk(backend)) {
      const Backend& entry = std::get<Backend>(backend);
      // The first list of a large fleet would fill the log.
      if (m_has_listed_backends)
        LogEvent(EventId::kBackendChanged,
                 {{"backend", object.name},
                  {"address", entry.address.Text()},
                  {"service", entry.service.Text()},
                  {"state", entry.is_draining ? "draining" : "ready"},
                  {"revision", static_cast<std::int64_t>(object.revision.Value())}});
      m_knowledge.SetBackend(entry);
      const auto& table = m_knowledge.Table();
      m_coordinator.RequestScheduler().SetBackend(
          entry, table ? table->FindService(entry.service) : nullptr);
      return;
    }
    LogEvent(EventId::kObjectRejected,
             {{"object", object.name}, {"reason", ErrorOf(backend).message}});
  }
  if (const Backend* known = m_knowledge.FindBackend(id)) m_pool.CloseIdle(known->address);
  LogEvent(EventId::kBackendChanged,
           {{"backend", object.name},
            {"state", "gone"},
            {"revision", static_cast<std::int64_t>(object.revision.Value())}});
  m_knowledge.RemoveBackend(id);
  m_coordinator.RequestScheduler().RemoveBackend(id);
}

void Gateway::ReadLinkKeys(ReadConsistency age) {
  m_feed->List(ObjectKind::kFleet, "", age, [this, age](Result<ObjectPage> result) {
    if (!IsOk(result)) return m_keys_task.RetryLater();
    for (const StoredObject& object : std::get<ObjectPage>(result).objects) {
      if (object.name != kLinkKeysName || !object.spec) continue;
      std::vector<std::string> keys;
      for (const auto& key : object.spec->value("keys", nlohmann::json::array()))
        if (key.is_string()) keys.push_back(key.get<std::string>());
      if (keys.empty()) continue;
      const Result<Ok> started = m_fleet.Start(std::move(keys));
      if (!IsOk(started))
        LogEvent(EventId::kObjectRejected,
                 {{"object", object.name}, {"reason", ErrorOf(started).message}});
      return;
    }
    // The keys never change once they are there.
    if (age == ReadConsistency::kAllowStale) return ReadLinkKeys(ReadConsistency::kCurrent);
    // Whoever creates the object first gives the key to all; a conflict or a lost reply is resolved
    // by reading again.
    m_feed->Create(ObjectKind::kFleet, kLinkKeysName, {{"keys", {MakeLinkKey()}}},
                   [this](const Result<Revision>&) { ReadLinkKeys(ReadConsistency::kCurrent); });
  });
}

void Gateway::ListInstances(const std::string& after) {
  m_feed->List(ObjectKind::kInstances, after, ReadConsistency::kCurrent,
               [this](Result<ObjectPage> result) {
                 if (!IsOk(result)) return m_list_task.RetryLater();
                 const ObjectPage& page = std::get<ObjectPage>(result);
                 for (const StoredObject& object : page.objects) AddInstance(object);
                 if (page.has_more && !page.objects.empty())
                   ListInstances(page.objects.back().name);
               });
}

void Gateway::AddInstance(const StoredObject& object) {
  if (!object.spec || !object.spec->is_object()) return;
  const auto text = [&](const char* name) {
    const auto found = object.spec->find(name);
    return found != object.spec->end() && found->is_string() ? found->get<std::string>()
                                                             : std::string();
  };
  FleetMember record;
  record.id = InstanceId(object.name);
  record.data_centre = DataCentre(text("data_centre"));
  record.registration_revision = object.revision.Value();
  const Result<Address> caller = ParseAddress(text("caller_address"));
  const Result<Address> peer = ParseAddress(text("peer_address"));
  if (!IsOk(caller) || !IsOk(peer)) return;
  record.caller_address = std::get<Address>(caller);
  record.peer_address = std::get<Address>(peer);
  m_fleet.AddMember(std::move(record));
}

void Gateway::ForgetInstance(const InstanceId& id, std::uint64_t registered) {
  LogEvent(EventId::kFleetChanged, {{"member", id.Text()}, {"state", "forgotten"}});
  m_feed->Remove(ObjectKind::kInstances, id.Text(), Revision(registered),
                 [](const Result<Ok>& result) {
                   if (!IsOk(result))
                     LogEvent(EventId::kObjectRejected, {{"reason", ErrorOf(result).message}});
                 });
}

void Gateway::Register() {
  const nlohmann::json spec = {{"data_centre", m_settings.data_centre.Text()},
                               {"incarnation", m_incarnation.Value()},
                               {"caller_address", m_settings.caller_listen.Text()},
                               {"peer_address", m_settings.peer_listen.Text()}};
  m_feed->Put(ObjectKind::kInstances, m_settings.instance.Text(), spec,
              [this](Result<Revision> result) {
                if (m_is_stopping) return;
                if (!IsOk(result)) return m_register_task.RetryLater();
                m_is_registered = true;
                m_registration = std::get<Revision>(result);
                m_fleet.SetRegistration(m_registration.Value());
                // After the registration, so that of two instances that start at once at least one
                // sees the other.
                ListInstances("");
                LogEvent(EventId::kRegistered,
                         {{"revision", static_cast<std::int64_t>(m_registration.Value())}});
              });
}

void Gateway::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  if (m_platform.protocol->DecodeLocalEndpoint(exchange->Head()) != LocalEndpoint::kNone)
    return OnLocalRequest(exchange);
  if (m_is_stopping && m_loop.Now() - m_stop_began >= kAcceptWhileStopping) {
    const auto request = m_platform.protocol->DecodeRequest(exchange->Head());
    const AttemptId id = IsOk(request) ? std::get<CallerRequest>(request).id : AttemptId();
    return exchange->Send(kUnavailable,
                          m_platform.protocol->EncodeLocalResponse(id, kRetryElsewhere), "");
  }
  const CallContext context{m_loop, *m_platform.protocol, m_knowledge, m_fleet,
                            m_pool, m_retry_budgets,      m_metrics};
  auto holder = std::make_shared<std::weak_ptr<Call>>();
  const auto call = std::make_shared<Call>(context, std::move(exchange), [this, holder] {
    if (const auto ended = holder->lock()) m_calls.erase(ended);
  });
  *holder = call;
  m_calls.insert(call);
  call->Start();
}

bool Gateway::IsReady() const { return !m_is_stopping && m_knowledge.Table() != nullptr; }

AddressList Gateway::MakeAddressList() const {
  AddressList list;
  list.ttl_s = static_cast<int>(std::min(kAddressValidity, m_settings.max_address_ttl) /
                                std::chrono::seconds(1));
  list.addresses = m_fleet.CallerAddresses();
  if (list.addresses.size() > kMaxAddresses) list.addresses.resize(kMaxAddresses);
  return list;
}

void Gateway::OnLocalRequest(const std::shared_ptr<HttpExchange>& exchange) {
  switch (m_platform.protocol->DecodeLocalEndpoint(exchange->Head())) {
    case LocalEndpoint::kNone:
      return exchange->Send(kNotFound, {}, "");
    case LocalEndpoint::kReadiness:
      return exchange->Send(IsReady() ? kOk : kUnavailable, {}, "");
    case LocalEndpoint::kAddresses: {
      const AddressList list = MakeAddressList();
      if (list.addresses.empty()) return exchange->Send(kUnavailable, {}, "");
      return exchange->Send(kOk, {{"Content-Type", "application/json"}},
                            m_platform.protocol->EncodeAddresses(list));
    }
  }
}

void Gateway::OnMetricsRequest(const std::shared_ptr<HttpExchange>& exchange) {
  const std::string& target = exchange->Head().target;
  if (target.starts_with(kEventsPath)) {
    // As the daemon's /v1/events, so that the time line can be made of gateways too.
    const std::size_t at = target.find("after=");
    const std::uint64_t after =
        at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + 6, nullptr, 10);
    return exchange->Send(kOk, {{"Content-Type", "application/x-ndjson"}},
                          RecordedEvents(after, kRecordedEvents));
  }
  m_metrics.SetGauge("gateway_log_dropped_lines",
                     static_cast<double>(m_log_writer->DroppedLines()));
  m_metrics.SetGauge("gateway_waiting",
                     static_cast<double>(m_coordinator.RequestScheduler().WaitingCount()));
  m_metrics.SetGauge("gateway_running",
                     static_cast<double>(m_coordinator.RequestScheduler().RunningCount()));
  for (const SizeGroupResults& report : m_coordinator.RequestScheduler().ResultsBySize()) {
    const std::string kind = "service=\"" + report.service.Text() + "\",rank=\"" +
                             std::to_string(report.rank) + "\",route=\"" + report.route +
                             "\",size=\"" + std::string(NameOf(report.size)) + "\",result=\"";
    for (const auto& [result, count] : report.counts)
      m_metrics.SetGauge("gateway_requests_by_size", static_cast<double>(count),
                         kind + std::string(result) + "\"");
  }
  m_metrics.SetGauge("gateway_calls", static_cast<double>(m_calls.size()));
  m_metrics.SetGauge("gateway_connections", static_cast<double>(m_callers.ConnectionCount()));
  m_metrics.SetGauge("gateway_config_age_ms", static_cast<double>(m_knowledge.ConfigAge().count()));
  const InstanceId* coordinator = m_fleet.CoordinatorId();
  m_metrics.SetGauge("gateway_is_coordinator",
                     coordinator != nullptr && *coordinator == m_settings.instance ? 1 : 0);
  m_metrics.SetGauge("gateway_followers", static_cast<double>(m_fleet.FollowerCount()));
  m_metrics.SetGauge("gateway_backend_connects", static_cast<double>(m_pool.Stats().connects));
  exchange->Send(kOk, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.Render());
}

void Gateway::CheckSignals() {
  if (g_reload != 0) {
    g_reload = 0;
    Reload();
  }
  if (g_stop != 0 && !m_is_stopping) BeginStop();
}

void Gateway::ApplySettings() {
  m_knowledge.SetBounds(BoundsOf(m_settings));
  m_coordinator.SetQuotaTolerance(
      {m_settings.quota_window, m_settings.quota_excess_ratio, m_settings.quota_slack});
  UpdateRetryBudgets();
}

void Gateway::UpdateRetryBudgets() {
  RetryBudget::Options options;
  options.ratio = m_settings.retry_ratio * kBudgetUsed;
  options.window = m_settings.retry_window;
  const auto instances = static_cast<double>(m_fleet.MemberCount());
  options.min_retries = m_settings.min_retries * kBudgetUsed / instances;
  m_retry_budgets.SetOptions(options);
}

void Gateway::Reload() {
  Result<Settings> read = m_platform.read_settings();
  if (!IsOk(read)) {
    LogEvent(EventId::kSettingsReloaded, {{"error", ErrorOf(read).message}});
    return;
  }
  m_settings = std::get<Settings>(std::move(read));
  ApplySettings();
  LogEvent(EventId::kSettingsReloaded, {{"error", ""}});
}

void Gateway::BeginStop() {
  m_is_stopping = true;
  m_stop_began = m_loop.Now();
  const Millis longest = m_settings.stop_grace - kStopMargin;
  LogEvent(EventId::kStopRequested, {{"timeout_ms", longest.count()}});
  m_register_task.Stop();
  if (m_is_registered) {
    m_feed->Remove(ObjectKind::kInstances, m_settings.instance.Text(), m_registration,
                   [](const Result<Ok>& result) {
                     // The coordinator removes the entry after some time.
                     if (!IsOk(result))
                       LogEvent(EventId::kObjectRejected, {{"object", "own registration"},
                                                           {"reason", ErrorOf(result).message}});
                   });
  }
  m_fleet.Leave();
  m_callers.BeginDrain();
  m_abort_timer.Start(longest, [this] {
    const auto calls = m_calls;
    for (const auto& call : calls) call->Abort();
    m_abort_timer.Start(kStopPeriod, [this] { m_loop.Stop(); });
  });
  m_stop_timer.StartPeriodic(kStopPeriod, [this] { CheckStopped(); });
}

void Gateway::CheckStopped() {
  if (m_loop.Now() - m_stop_began < kAcceptWhileStopping) return;
  m_callers.StopAccepting();
  if (m_calls.empty()) m_loop.Stop();
}

}  // namespace bluebellpass::gateway
