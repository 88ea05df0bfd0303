#include "daemon.h"

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

constexpr Millis kSignalPeriod{20};
constexpr Millis kIdlePeriod{20};
// A process that did not run for this long may have missed a configuration change.
constexpr Millis kPauseBound{1'000};
// Time to deliver the refusals of what was still waiting at the end of the stop's time.
constexpr Millis kLastDelivery{1'000};

constexpr unsigned kRandomBits = 20;

volatile std::sig_atomic_t g_stop_signal = 0;

void OnStopSignal(int number) { g_stop_signal = number; }

/// Later incarnations of an instance are larger: milliseconds since 1970 above 20 random bits.
Incarnation MakeIncarnation() {
  std::array<unsigned char, 4> random{};
  RAND_bytes(random.data(), random.size());
  const std::uint64_t low = (std::uint64_t{random[0]} << 16U) | (std::uint64_t{random[1]} << 8U) |
                            std::uint64_t{random[2]};
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto millis = static_cast<std::uint64_t>(std::chrono::duration_cast<Millis>(now).count());
  return Incarnation((millis << kRandomBits) | (low & ((1U << kRandomBits) - 1U)));
}

std::int64_t WallClockMillis() {
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

InstanceInfo MakeSelf(const Settings& settings) {
  InstanceInfo self;
  self.id = settings.instance;
  self.incarnation = MakeIncarnation();
  self.data_centre = settings.data_centre;
  self.region = settings.region;
  self.caller_address = settings.advertise;
  self.peer_address = settings.peer_advertise;
  return self;
}

/// Names this process in the objects that it writes.
std::string MakeWriterId(const InstanceInfo& self) {
  return self.id.Text() + "." + std::to_string(self.incarnation.Value());
}

QueuePolicy PolicyOf(PolicyKind kind) {
  return kind == PolicyKind::kRoundRobin ? QueuePolicy::kFifoRoundRobin
                                         : QueuePolicy::kWeightedFair;
}

OwnershipKind OwnershipOf(PolicyKind kind) {
  if (kind == PolicyKind::kRoundRobin) return OwnershipKind::kPerInstance;
  return kind == PolicyKind::kStatic ? OwnershipKind::kStaticShare : OwnershipKind::kSingleOwner;
}

HttpServerLimits LimitsOf(const Settings& settings) {
  HttpServerLimits limits;
  limits.max_body_bytes = settings.max_body_bytes;
  return limits;
}

void SetTraffic(Metrics& metrics, const std::string& direction,
                const std::array<TrafficCount, kTrafficKinds>& counts) {
  for (std::size_t i = 0; i < kTrafficKinds; ++i) {
    const std::string labels = "direction=\"" + direction + "\",kind=\"" +
                               std::string(NameOf(static_cast<TrafficKind>(i))) + "\"";
    metrics.SetGauge("peer_frames", static_cast<double>(counts.at(i).frames), labels);
    metrics.SetGauge("peer_bytes", static_cast<double>(counts.at(i).bytes), labels);
  }
}

}  // namespace

struct Daemon::Parts {
  explicit Parts(const Settings& settings)
      : random(MakeIncarnation().Value()),
        network(loop, MakeSelf(settings), settings.peer_listen, settings.peer_keys, settings.seeds),
        store(http, loop, settings.object_api),
        directory(store, loop, network.Self(),
                  [this](const Address& address) { network.AddSeed(address); }),
        config(store, network, loop),
        ledger(store, loop, MakeWriterId(network.Self()), WallClockMillis, random),
        tokens(settings.peer_keys),
        ownership(MakeOwnership(OwnershipOf(settings.policy), settings.instance)),
        owner(network, loop, *ownership, PolicyOf(settings.policy)),
        load_poller(http, loop, owner),
        engines(http),
        orders(OrderContext{store, loop, engines, owner, MakeWriterId(network.Self()),
                            WallClockMillis}),
        home(HomeContext{loop,
                         network,
                         config,
                         ledger,
                         {&http, &loop},
                         tokens,
                         metrics,
                         *ownership,
                         settings.max_answer_memory_bytes}),
        forwarder(loop, network, home),
        front(FrontContext{loop, network, config, home, forwarder, tokens, {&http, &loop}, metrics},
              LimitsOf(settings)),
        operators(OperatorContext{loop, network, config, home, owner}),
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
  ResumeTokenSigner tokens;
  std::unique_ptr<Ownership> ownership;
  OwnerTask owner;
  LoadPoller load_poller;
  HttpEngineClient engines;
  OrderTask orders;
  HomeTask home;
  Forwarder forwarder;
  HttpFront front;
  OperatorTask operators;
  Timer signal_timer;
  Timer stop_timer;
  Timer idle_timer;
};

Daemon::Daemon(Settings settings) : m_settings(std::move(settings)) {
  SetEventSource(m_settings.instance.Text());
  SetLogLevel(m_settings.log_level);
  m_parts = std::make_unique<Parts>(m_settings);
}

Daemon::~Daemon() = default;

Result<Ok> Daemon::Start() {
  Parts& parts = *m_parts;
  // The owner comes first, so that a home's sync finds it up to date.
  parts.network.AddListener(&parts.home);
  parts.network.AddListener(&parts.forwarder);
  parts.network.AddListener(&parts.operators);
  parts.config.AddListener(&parts.owner);
  parts.config.AddListener(&parts.home);
  parts.config.AddListener(&parts.orders);
  parts.operators.SetOrderHandler([&parts](const LoadCommand& command, auto done) {
    parts.orders.Load(command, std::move(done));
  });
  parts.operators.SetOrderView([&parts](const BackendId& backend) {
    return std::string(OrderStateName(parts.orders.State(backend)));
  });
  parts.front.SetCommandHandler([&parts](const std::string& text, auto done) {
    parts.operators.Execute(text, std::move(done));
  });
  parts.front.SetMetricsHook([this] { SetGauges(); });
  parts.loop.SetPauseHandler(kPauseBound, [&parts](Millis gap) {
    LogEvent(EventId::kPauseDetected, {{"ms", gap.count()}});
    parts.config.OnPause();
  });
  if (const auto peer = parts.network.Listen(); !IsOk(peer)) return ErrorOf(peer);
  const auto callers = parts.front.Listen(m_settings.listen);
  if (!IsOk(callers)) return ErrorOf(callers);
  parts.config.Start();
  parts.directory.Start();
  const std::string address = std::get<Address>(callers).Text();
  LogEvent(EventId::kStarted, {{"address", address}});
  std::cout << "listening on " << address << std::endl;
  return Ok{};
}

int Daemon::Run() {
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
  const Result<Ok> started = Start();
  if (!IsOk(started)) {
    std::cerr << "bluebellpass: " << ErrorOf(started).message << '\n';
    return 1;
  }
  m_parts->signal_timer.StartPeriodic(kSignalPeriod, [this] { CheckSignal(); });
  m_parts->loop.Run();
  LogEvent(EventId::kStopped, {});
  return 0;
}

void Daemon::CheckSignal() {
  if (g_stop_signal == 0) return;
  m_parts->signal_timer.Stop();
  BeginStop();
}

void Daemon::BeginStop() {
  Parts& parts = *m_parts;
  LogEvent(EventId::kStopRequested, {{"timeout_ms", m_settings.stop_timeout.count()}});
  parts.home.BeginStop();
  parts.network.Leave();
  parts.directory.Leave();
  parts.stop_timer.Start(m_settings.stop_timeout, [&parts] {
    parts.home.RefuseUndispatched();
    parts.stop_timer.Start(kLastDelivery, [&parts] { parts.loop.Stop(); });
  });
  parts.idle_timer.StartPeriodic(kIdlePeriod, [this] { CheckIdle(); });
}

void Daemon::CheckIdle() {
  Parts& parts = *m_parts;
  const bool is_idle = parts.home.IsIdle() && parts.forwarder.IsIdle() && parts.front.IsIdle() &&
                       parts.ledger.PendingCount() == 0;
  if (is_idle) parts.loop.Stop();
}

void Daemon::SetGauges() {
  Parts& parts = *m_parts;
  Metrics& metrics = parts.metrics;
  metrics.SetGauge("waiting_requests", static_cast<double>(parts.home.WaitingRequests().size()));
  metrics.SetGauge("running_requests", static_cast<double>(parts.home.RunningRequests().size()));
  metrics.SetGauge("known_instances", static_cast<double>(parts.network.Members().size()));
  metrics.SetGauge("config_version", static_cast<double>(parts.config.Current().version.Value()));
  metrics.SetGauge("config_fresh", parts.config.IsRecentlyConfirmed() ? 1 : 0);
  metrics.SetGauge("ledger_pending", static_cast<double>(parts.ledger.PendingCount()));
  metrics.SetGauge("peer_links", static_cast<double>(parts.network.LinkCount()));
  SetTraffic(metrics, "sent", parts.network.Traffic().sent);
  SetTraffic(metrics, "received", parts.network.Traffic().received);
  const CellCounters counters = parts.owner.Counters();
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
