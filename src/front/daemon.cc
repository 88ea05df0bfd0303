#include "daemon.h"

#include <malloc.h>
#include <openssl/rand.h>

#include <array>
#include <chrono>
#include <csignal>
#include <iostream>
#include <random>

#include "bluebellpass/event.h"
#include "config/config-task.h"
#include "http-front.h"
#include "instance-directory.h"
#include "ledger/store-ledger.h"
#include "operator-task.h"
#include "orders/order-task.h"
#include "owner/load-poller.h"
#include "owner/owner-task.h"
#include "peer/network.h"
#include "store/http-store.h"

namespace bluebellpass {
namespace {

constexpr Millis kSignalCheckPeriod{20};
constexpr Millis kIdleCheckPeriod{20};
// A process that was paused for this long may have missed a configuration change.
constexpr Millis kPauseThreshold{1'000};
// After the stop timeout, the time to deliver the error responses of the refused requests.
constexpr Millis kFinalDeliveryTimeout{1'000};

// Larger blocks of memory go back to the system when they are freed. By default the C library
// raises this size with the blocks that are used, and keeps what was needed once.
constexpr int kMinReturnedBlockBytes = 128 << 10;

constexpr unsigned kIncarnationRandomBits = 20;

volatile std::sig_atomic_t g_stop_signal = 0;

void OnStopSignal(int signal_number) { g_stop_signal = signal_number; }

/// Increases with each start of an instance: the upper bits are the milliseconds since 1970, the
/// lower 20 bits are random.
Incarnation MakeIncarnation() {
  std::array<unsigned char, 4> random{};
  RAND_bytes(random.data(), random.size());
  const std::uint64_t random_value = (std::uint64_t{random[0]} << 16U) |
                                     (std::uint64_t{random[1]} << 8U) | std::uint64_t{random[2]};
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto millis = static_cast<std::uint64_t>(std::chrono::duration_cast<Millis>(now).count());
  return Incarnation((millis << kIncarnationRandomBits) |
                     (random_value & ((1U << kIncarnationRandomBits) - 1U)));
}

std::int64_t WallClockMillis() {
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

InstanceInfo MakeInstanceInfo(const Settings& settings) {
  InstanceInfo self;
  self.id = settings.instance;
  self.incarnation = MakeIncarnation();
  self.data_centre = settings.data_centre;
  self.region = settings.region;
  self.caller_address = settings.advertise;
  self.peer_address = settings.peer_advertise;
  return self;
}

/// @return the name under which this process writes objects: instance id and incarnation
std::string MakeWriterId(const InstanceInfo& self) {
  return self.id.Text() + "." + std::to_string(self.incarnation.Value());
}

QueuePolicy ToQueuePolicy(PolicyKind kind) {
  return kind == PolicyKind::kRoundRobin ? QueuePolicy::kFifoRoundRobin
                                         : QueuePolicy::kWeightedFair;
}

OwnershipKind ToOwnershipKind(PolicyKind kind) {
  if (kind == PolicyKind::kRoundRobin) return OwnershipKind::kPerInstance;
  return kind == PolicyKind::kStatic ? OwnershipKind::kStaticShare : OwnershipKind::kSingleOwner;
}

HttpServerLimits MakeServerLimits(const Settings& settings) {
  HttpServerLimits limits;
  limits.max_body_bytes = settings.max_body_bytes;
  limits.max_unfinished_bytes = settings.max_request_memory_bytes;
  return limits;
}

void SetTrafficGauges(Metrics& metrics, const std::string& direction,
                      const std::array<FrameCounts, kTrafficKindCount>& counts) {
  for (std::size_t i = 0; i < kTrafficKindCount; ++i) {
    const std::string labels = "direction=\"" + direction + "\",kind=\"" +
                               std::string(TrafficKindName(static_cast<TrafficKind>(i))) + "\"";
    metrics.SetGauge("peer_frames", static_cast<double>(counts.at(i).frames), labels);
    metrics.SetGauge("peer_bytes", static_cast<double>(counts.at(i).bytes), labels);
  }
}

}  // namespace

struct Daemon::Components {
  explicit Components(const Settings& settings)
      : random(MakeIncarnation().Value()),
        network(loop, MakeInstanceInfo(settings), settings.peer_listen, settings.peer_keys,
                settings.seeds),
        store(http, loop, settings.object_api),
        directory(store, loop, network.Self(),
                  [this](const Address& address) { network.AddSeed(address); }),
        config(store, network, loop),
        ledger(store, loop, MakeWriterId(network.Self()), WallClockMillis, random),
        token_signer(settings.peer_keys),
        ownership(MakeOwnership(ToOwnershipKind(settings.policy), settings.instance)),
        owner(network, loop, *ownership, ToQueuePolicy(settings.policy)),
        load_poller(http, loop, owner),
        engine_client(http),
        order_task(OrderContext{store, loop, engine_client, owner, MakeWriterId(network.Self()),
                                WallClockMillis}),
        home(HomeContext{loop,
                         network,
                         config,
                         ledger,
                         {&http, &loop},
                         token_signer,
                         metrics,
                         *ownership,
                         settings.max_answer_memory_bytes}),
        forwarder(loop, network, home),
        http_frontend(
            FrontendContext{
                loop, network, config, home, forwarder, token_signer, {&http, &loop}, metrics},
            MakeServerLimits(settings)),
        operator_task(OperatorContext{loop, network, config, home, owner}),
        signal_timer(loop),
        stop_timer(loop),
        idle_timer(loop) {}

  EventLoop loop;
  HttpClient http{loop};
  Metrics metrics;
  std::mt19937_64 random;
  Network network;
  HttpObjectStore store;
  InstanceDirectory directory;
  ConfigTask config;
  StoreLedger ledger;
  ResumeTokenSigner token_signer;
  std::unique_ptr<Ownership> ownership;
  OwnerTask owner;
  LoadPoller load_poller;
  HttpEngineClient engine_client;
  OrderTask order_task;
  HomeTask home;
  Forwarder forwarder;
  HttpFrontend http_frontend;
  OperatorTask operator_task;
  Timer signal_timer;
  Timer stop_timer;
  Timer idle_timer;
};

Daemon::Daemon(Settings settings) : m_settings(std::move(settings)) {
  SetEventSource(m_settings.instance.Text());
  SetLogLevel(m_settings.log_level);
  m_components = std::make_unique<Components>(m_settings);
}

Daemon::~Daemon() = default;

Result<Ok> Daemon::Start() {
  Components& components = *m_components;
  // Listeners are notified in this order. The owner is first, since the home sends it a sync of
  // its reservations, which must find the new configuration applied.
  components.network.AddListener(&components.home);
  components.network.AddListener(&components.forwarder);
  components.network.AddListener(&components.operator_task);
  components.config.AddListener(&components.owner);
  components.config.AddListener(&components.home);
  components.config.AddListener(&components.order_task);
  components.operator_task.SetLoadHandler([&components](const LoadCommand& command, auto done) {
    components.order_task.AcceptOrder(command, std::move(done));
  });
  components.operator_task.SetOrderStateSource([&components](const BackendId& backend) {
    return std::string(OrderStateName(components.order_task.OrderStateOf(backend)));
  });
  components.http_frontend.SetCommandHandler([&components](const std::string& text, auto done) {
    components.operator_task.ExecuteCommand(text, std::move(done));
  });
  components.http_frontend.SetMetricsHook([this] { SetGauges(); });
  components.loop.SetPauseHandler(kPauseThreshold, [&components](Millis pause) {
    LogEvent(EventId::kPauseDetected, {{"ms", pause.count()}});
    components.config.OnPause();
  });
  if (const auto peer_address = components.network.Listen(); !IsOk(peer_address))
    return ErrorOf(peer_address);
  const auto caller_address = components.http_frontend.Listen(m_settings.listen);
  if (!IsOk(caller_address)) return ErrorOf(caller_address);
  components.config.Start();
  components.directory.Start();
  const std::string address = std::get<Address>(caller_address).Text();
  LogEvent(EventId::kStarted, {{"address", address}});
  std::cout << "listening on " << address << std::endl;
  return Ok{};
}

int Daemon::Run() {
  mallopt(M_MMAP_THRESHOLD, kMinReturnedBlockBytes);
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
  const Result<Ok> started = Start();
  if (!IsOk(started)) {
    std::cerr << "bluebellpass: " << ErrorOf(started).message << '\n';
    return 1;
  }
  m_components->signal_timer.StartPeriodic(kSignalCheckPeriod, [this] { CheckSignals(); });
  m_components->loop.Run();
  LogEvent(EventId::kStopped, {});
  return 0;
}

void Daemon::CheckSignals() {
  if (g_stop_signal == 0) return;
  m_components->signal_timer.Stop();
  BeginStop();
}

void Daemon::BeginStop() {
  Components& components = *m_components;
  LogEvent(EventId::kStopRequested, {{"timeout_ms", m_settings.stop_timeout.count()}});
  components.home.BeginStop();
  components.network.Leave();
  components.directory.Unregister();
  components.stop_timer.Start(m_settings.stop_timeout, [&components] {
    components.home.RefuseUndispatched();
    components.stop_timer.Start(kFinalDeliveryTimeout, [&components] { components.loop.Stop(); });
  });
  components.idle_timer.StartPeriodic(kIdleCheckPeriod, [this] { StopIfIdle(); });
}

void Daemon::StopIfIdle() {
  Components& components = *m_components;
  const bool is_idle = components.home.IsIdle() && components.forwarder.IsIdle() &&
                       components.http_frontend.IsIdle() && components.ledger.PendingCount() == 0;
  if (is_idle) components.loop.Stop();
}

void Daemon::SetGauges() {
  Components& components = *m_components;
  Metrics& metrics = components.metrics;
  metrics.SetGauge("waiting_requests",
                   static_cast<double>(components.home.WaitingRequests().size()));
  metrics.SetGauge("running_requests",
                   static_cast<double>(components.home.RunningRequests().size()));
  metrics.SetGauge("known_instances", static_cast<double>(components.network.Members().size()));
  metrics.SetGauge("config_version",
                   static_cast<double>(components.config.Current().version.Value()));
  metrics.SetGauge("config_fresh", components.config.IsRecentlyConfirmed() ? 1 : 0);
  metrics.SetGauge("ledger_pending", static_cast<double>(components.ledger.PendingCount()));
  metrics.SetGauge("peer_links", static_cast<double>(components.network.LinkCount()));
  SetTrafficGauges(metrics, "sent", components.network.Traffic().sent);
  SetTrafficGauges(metrics, "received", components.network.Traffic().received);
  const CellCounters counters = components.owner.Counters();
  for (const auto& [tier, tokens] : counters.granted_tokens) {
    metrics.SetGauge("owner_granted_tokens", static_cast<double>(tokens),
                     "tier=\"" + tier.Text() + "\"");
  }
  for (const auto& [tier, requests] : counters.shed_requests) {
    metrics.SetGauge("owner_shed_requests", static_cast<double>(requests),
                     "tier=\"" + tier.Text() + "\"");
  }
  metrics.SetGauge("owner_wasted_prefill_tokens",
                   static_cast<double>(counters.wasted_prefill_tokens));
}

}  // namespace bluebellpass
