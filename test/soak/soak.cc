#include "soak.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "cluster/process.h"
#include "kernel/http1-pool.h"
#include "platform/names.h"
#include "soak-config.h"
#include "soak-engines.h"
#include "soak-streams.h"
#include "standins/proxy.h"
#include "store-standin.h"

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using standin::Proxy;
using standin::ProxyMode;

// Time within which a gateway must apply the revocation of a key.
constexpr Millis kRevocationBound{5'000};
constexpr Millis kRequestPeriod{12};
constexpr Millis kStartupTime{2'500};
constexpr Millis kRecoveryTime{5'000};
constexpr Millis kFaultFreeTime{2'000};
constexpr Millis kCallerPatience{3'000};
// A draining engine gets no request later than this.
constexpr Millis kDrainBound{2'000};
constexpr Millis kTakeUpPeriod{10'000};
constexpr int kMaxStreamAttempts = 10;
// Number of newest routes that requests are sent to; the last one is removed.
constexpr int kRoutesAsked = 4;

// By RequestType.
constexpr const char* kPaths[] = {"/stream/x", "/dossier/x", "/book/x", "/look/x"};
constexpr ProxyMode kProxyModes[] = {ProxyMode::kCut, ProxyMode::kSilent,
                                     ProxyMode::kSilentExisting, ProxyMode::kRefuse};
constexpr StoreStandin::Fault kStoreFaults[] = {
    StoreStandin::Fault::kSilent, StoreStandin::Fault::kBusy, StoreStandin::Fault::kLostResponses,
    StoreStandin::Fault::kSlow};

enum class RequestType {
  kResumableStream,
  kPlainStream,  ///< runs at most once
  kMutating,     ///< runs at most once
  kIdempotent
};

struct SoakRequest {
  RequestType type = RequestType::kIdempotent;
  std::string path;
  std::string key;
  std::size_t gateway = 0;
  TimePoint gateway_started;
  TimePoint sent;
  bool is_after_recovery = false;
  std::shared_ptr<SoakStream> stream;  ///< null if the response is not a stream
  std::string body;
  int status = 0;
  std::string signature;
  std::string response_id;
  std::unique_ptr<PooledCall> call;
  std::unique_ptr<Timer> timer;
};

struct GatewayNode {
  std::string name;
  Address address;
  std::string settings_path;
  std::unique_ptr<Proxy> store_proxy;
  Process process;
  TimePoint started;
  Disturbances disturbances;  ///< of its connection to the store
};

Millis::rep MillisBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<Millis>(to - from).count();
}

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : m_options(options),
        m_random(options.seed),
        m_store(m_loop, options.seed),
        m_config(m_store),
        m_pool(m_loop, ConnectionPoolOptions{}),
        m_engines(m_loop, m_store),
        m_request_timer(m_loop),
        m_fault_timer(m_loop) {
    m_report.log_folder = MakeLogFolder("soak-" + std::to_string(options.seed));
  }

  SoakReport Run() {
    SetUp();
    RunFor(kStartupTime);
    m_request_timer.StartPeriodic(kRequestPeriod, [this] { SendRequest(); });
    ScheduleFault();
    RunFor(Millis(static_cast<Millis::rep>(m_options.fault_duration_s * 1000)));
    m_fault_timer.Stop();
    // Some faults last longer than the period in which they are injected.
    while (m_loop.Now() < m_faults_end) RunFor(Millis{100});
    RunFor(kRecoveryTime);
    m_is_after_recovery = true;
    RunFor(kFaultFreeTime);
    m_request_timer.Stop();
    m_is_after_recovery = false;
    m_is_ending = true;
    RunFor(kCallerPatience + Millis{500});
    CheckRecovery();
    return std::move(m_report);
  }

 private:
  void RunFor(Millis duration) {
    const TimePoint end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) m_loop.RunOnce(Millis{5});
  }
  int RandomBelow(int limit) { return static_cast<int>(m_random() % static_cast<unsigned>(limit)); }
  /// @return when the function is called
  TimePoint ScheduleFaultEnd(int min_ms, int max_ms, std::function<void()> function) {
    const Millis delay{min_ms + RandomBelow(max_ms - min_ms)};
    const TimePoint end = m_loop.Now() + delay;
    m_faults_end = std::max(m_faults_end, end);
    m_loop.RunAfter(delay, std::move(function));
    return end;
  }
  void RecordFault(const std::string& text) {
    m_report.faults.push_back(std::to_string(MillisBetween(m_started, m_loop.Now())) + " ms " +
                              text);
  }
  void AddViolation(const std::string& text) {
    m_report.violations.push_back(std::to_string(MillisBetween(m_started, m_loop.Now())) + " ms " +
                                  text);
  }

  void SetUp() {
    m_started = m_loop.Now();
    const Address store = m_store.Listen();
    m_config.Change(m_loop.Now());
    for (int i = 0; i < m_options.engines + m_options.service_backends; ++i) {
      m_engines.Add(i < m_options.engines ? "chat" : "desk", kEngineVersions[i % 2],
                    [this](const SoakRun& run) { CheckRun(run); });
    }
    for (int i = 0; i < m_options.gateways; ++i) {
      auto node = std::make_unique<GatewayNode>();
      node->name = "g" + std::to_string(i);
      node->address = {"127.0.0.1", FindFreePort()};
      node->store_proxy = std::make_unique<Proxy>(m_loop, store);
      const Address proxied = std::get<Address>(node->store_proxy->Listen({"127.0.0.1", 0}));
      node->settings_path = m_report.log_folder + "/" + node->name + ".yaml";
      std::ofstream file(node->settings_path);
      const std::uint16_t peer = FindFreePort();
      file << "node: " << node->name
           << "\nzone: z\nregion: r\nip: 127.0.0.1\nlisten:\n  front: " << node->address.Text()
           << "\nport_range: [" << peer << ", " << FindFreePort()
           << "]\nbounds:\n  revoke_ms: " << kRevocationBound.count()
           << "\n  config_ms: " << kChangeBound.count() << "\n  drain_ms: " << kDrainBound.count()
           << "\n  grace_s: 4\n  retry_ratio: 0.5\n  retry_slack: 100\n"
           << "platform:\n  addr: " << proxied.Text() << "\n";
      file.close();
      m_gateways.push_back(std::move(node));
      StartGateway(*m_gateways.back());
    }
  }

  void StartGateway(GatewayNode& node) {
    // Two faults may both restart the gateway; the first process would still hold its ports.
    node.process.Kill();
    node.process = Process({m_options.gateway_binary, "gateway", "--settings", node.settings_path},
                           m_report.log_folder + "/" + node.name + ".log");
    node.started = m_loop.Now();
  }

  void RestoreStore() {
    RecordFault("store comes back from a copy");
    m_store.Restore();
    const TimePoint rewritten = ScheduleFaultEnd(20, 800, [this] {
      RecordFault("configuration and entries written again");
      m_config.Rewrite();
      m_engines.RegisterAll();
    });
    m_config.Restore(m_loop.Now(), rewritten);
    m_store_disturbances.Add(m_loop.Now(), rewritten);
    ChangeConfigRepeatedly(1 + RandomBelow(3));
  }

  void ChangeConfigRepeatedly(int count) {
    if (count == 0) return;
    ScheduleFaultEnd(20, 1'500, [this, count] {
      ChangeConfig();
      ChangeConfigRepeatedly(count - 1);
    });
  }

  void ChangeConfig() {
    if (!m_config.RevokedAt() && RandomBelow(4) == 0) {
      RecordFault("API key revoked");
      m_config.RevokeKey(m_loop.Now());
    }
    m_config.Change(m_loop.Now());
    RecordFault("configuration " + std::to_string(m_config.Version()));
  }

  void CheckRun(const SoakRun& run) {
    const auto found = m_requests.find(run.request_id);
    if (found == m_requests.end())
      return AddViolation("run of a request that was never sent: " + run.request_id);
    const SoakRequest& request = *found->second;
    if (!run.key.empty()) AddViolation("API key forwarded with " + run.request_id);
    if (run.organisation != "organisation")
      AddViolation("wrong organisation with " + run.request_id + ": " + run.organisation);
    const int run_count = ++m_run_counts[run.request_id];
    if (run_count > 1 &&
        (request.type == RequestType::kMutating || request.type == RequestType::kPlainStream))
      AddViolation("ran twice: " + run.request_id);
    CheckConfigOfRun(run, request);
    CheckStreamOfRun(run, request);
    if (m_refused.contains(run.request_id) &&
        (request.type == RequestType::kMutating || request.type == RequestType::kPlainStream))
      AddViolation("ran after it was refused: " + run.request_id);
  }

  /// @return the time within which a gateway must apply a change: the bound and the time that the
  /// store was disturbed
  Millis ChangeBoundOf(const SoakRequest& request, TimePoint changed) const {
    return kChangeBound + m_store_disturbances.TimeBetween(changed, request.sent) +
           m_gateways[request.gateway]->disturbances.TimeBetween(changed, request.sent);
  }

  void CheckConfigOfRun(const SoakRun& run, const SoakRequest& request) {
    if (m_config.RevokedAt() && request.key == kRevokedKey) {
      const TimePoint revoked =
          m_config.ConfirmedAt(*m_config.RevokedAt(), request.gateway_started);
      if (request.sent >
          revoked + kRevocationBound + m_config.RestoreTimeBetween(revoked, request.sent))
        AddViolation("ran with a revoked API key: " + run.request_id);
    }
    if (const auto removed = m_config.RemovedAt(request.path, request.gateway_started);
        removed && request.sent > *removed + ChangeBoundOf(request, *removed))
      AddViolation("CONFIG: ran on the removed route " + request.path + ": " + run.request_id);
    const auto draining = m_engines.DrainingSince(run.engine);
    if (draining &&
        run.started >
            *draining + kDrainBound + m_store_disturbances.TimeBetween(*draining, run.started) &&
        !m_engines.IsNetworkDisturbed(run.engine, *draining, run.started))
      AddViolation("DRAIN: " + run.request_id + " at " + run.engine + ", " +
                   std::to_string(MillisBetween(*draining, run.started)) + " ms, by " +
                   m_gateways[request.gateway]->name);
  }

  void CheckStreamOfRun(const SoakRun& run, const SoakRequest& request) {
    if (run.last_event_id.empty() || !request.stream || request.stream->Version().empty()) return;
    ++m_report.continued_runs;
    if (run.version != request.stream->Version())
      AddViolation("ORDER: stream of version " + request.stream->Version() + " goes on at " +
                   run.engine + " of version " + run.version + ": " + run.request_id);
  }

  void SendRequest() {
    const RequestType type = static_cast<RequestType>(RandomBelow(4));
    auto owned_request = std::make_unique<SoakRequest>();
    SoakRequest& request = *owned_request;
    const std::string id = NextRequestId();
    request.type = type;
    request.path = kPaths[static_cast<int>(type)];
    if (type == RequestType::kIdempotent && RandomBelow(4) != 0)
      request.path = SoakConfig::PathOf(
          m_is_after_recovery ? m_config.Version()
                              : std::max(1, m_config.Version() - RandomBelow(kRoutesAsked)));
    request.key = RandomBelow(3) == 0 && !m_is_after_recovery ? kRevokedKey : kPermanentKey;
    request.gateway = static_cast<std::size_t>(RandomBelow(static_cast<int>(m_gateways.size())));
    request.is_after_recovery = m_is_after_recovery;
    if (type == RequestType::kResumableStream || type == RequestType::kPlainStream)
      request.stream = std::make_shared<SoakStream>(id, m_loop.Now());
    ++m_report.requests;
    if (request.is_after_recovery) ++m_report.requests_after_recovery;
    StartAttempt(id, std::move(owned_request));
  }

  std::string NextRequestId() {
    return "s" + std::to_string(m_options.seed) + "-" + std::to_string(m_next_request_number++);
  }

  /// Continues a stream at another gateway if it broke off after an event.
  void TakeUpLater(const SoakRequest& request) {
    const auto stream = request.stream;
    if (request.type != RequestType::kResumableStream || stream->LastEvent() == 0 ||
        stream->Attempts() >= kMaxStreamAttempts ||
        m_loop.Now() > stream->Began() + kTakeUpPeriod || m_is_ending)
      return;
    m_loop.RunAfter(Millis{RandomBelow(600)}, [this, stream, previous = request.gateway] {
      if (m_is_ending) return;
      auto next = std::make_unique<SoakRequest>();
      next->type = RequestType::kResumableStream;
      next->path = kPaths[static_cast<int>(next->type)];
      next->key = kPermanentKey;
      const std::size_t count = m_gateways.size();
      next->gateway = (previous + 1 + m_random() % std::max<std::size_t>(count - 1, 1)) % count;
      next->stream = stream;
      ++m_report.taken_up;
      StartAttempt(NextRequestId(), std::move(next));
    });
  }

  void StartAttempt(const std::string& id, std::unique_ptr<SoakRequest> owned_request) {
    SoakRequest& request = *owned_request;
    const GatewayNode& gateway = *m_gateways[request.gateway];
    request.gateway_started = gateway.started;
    request.sent = m_loop.Now();
    m_requests.emplace(id, std::move(owned_request));
    const bool is_get = request.type == RequestType::kIdempotent;
    std::vector<HttpField> fields = {{"Host", "soak.test"},
                                     {names::kAttempt, id},
                                     {names::kApiKey, request.key},
                                     {names::kOrganisation, "forged"},
                                     {names::kDeadline, std::to_string(kCallerPatience.count())}};
    std::string target = request.path;
    if (request.stream) {
      fields.push_back({names::kTokenCounts, "500,40"});
      target = EngineStandin::TargetOf(target, request.stream->Id());
      request.stream->BeginAttempt();
    }
    if (request.stream && request.stream->LastEvent() > 0) {
      fields.push_back({names::kLastEventId, std::to_string(request.stream->LastEvent())});
      fields.push_back({names::kResumedAttempt, request.stream->FirstAttempt()});
    }
    const std::string body = is_get ? "" : "body of " + id;
    if (!is_get) fields.push_back({"Content-Length", std::to_string(body.size())});
    PooledCallHandlers handlers;
    handlers.on_head = [&request](const HttpHead& head) {
      request.status = head.status;
      request.signature = head.Value(names::kSignature);
      request.response_id = head.Value(names::kAttempt);
      return true;
    };
    handlers.on_body = [this, id, &request](std::string_view bytes) {
      if (!request.stream || request.status != 200)
        request.body.append(bytes);
      else
        AddStreamViolation(request.stream->Receive(id, bytes));
    };
    handlers.on_end = [this, id](PooledCallResult end) { HandleResponse(id, end); };
    // Some callers reuse connections, others open new ones, and some disconnect early.
    request.call = m_pool.StartCall(
        gateway.address, SerializeRequest(is_get ? "GET" : "POST", target, fields) + body,
        std::move(handlers), RandomBelow(3) == 0);
    request.timer = std::make_unique<Timer>(m_loop);
    const bool disconnects_early = RandomBelow(12) == 0 && !m_is_after_recovery;
    request.timer->Start(disconnects_early ? Millis{RandomBelow(300)} : kCallerPatience,
                         [this, id] { DisconnectCaller(id); });
  }

  void DisconnectCaller(const std::string& id) {
    SoakRequest& request = *m_requests.at(id);
    request.call.reset();
    if (request.is_after_recovery) RecordFault("no response after recovery: " + id);
    ++m_report.failed;
    EndStreamAttempt(request, false);
  }

  void EndStreamAttempt(const SoakRequest& request, bool is_complete) {
    if (!request.stream) return;
    AddStreamViolation(request.stream->EndAttempt(is_complete));
    if (!is_complete) return TakeUpLater(request);
    if (request.stream->Attempts() > 1) ++m_report.joined;
  }

  void AddStreamViolation(const std::string& violation) {
    if (!violation.empty()) AddViolation(violation);
  }

  void HandleResponse(const std::string& id, PooledCallResult end) {
    SoakRequest& request = *m_requests.at(id);
    if (request.is_after_recovery && (end != PooledCallResult::kComplete || request.status != 200))
      RecordFault("not served after recovery: " + id + " status " + std::to_string(request.status) +
                  " end " + std::to_string(static_cast<int>(end)));
    request.timer->Stop();
    m_loop.Post([call = std::shared_ptr<PooledCall>(std::move(request.call))] {});
    if (end != PooledCallResult::kComplete) {
      ++m_report.failed;
      return EndStreamAttempt(request, false);
    }
    if (request.response_id != id) AddViolation("response of another request to " + id);
    if (request.status == 429 || request.status == 503) {
      ++m_report.refused;
      m_refused.insert(id);
      const bool is_run_at_most_once =
          request.type == RequestType::kMutating || request.type == RequestType::kPlainStream;
      if (is_run_at_most_once && m_run_counts.contains(id))
        AddViolation("refused after it ran: " + id);
      return EndStreamAttempt(request, false);
    }
    if (request.status != 200) {
      ++m_report.failed;
      if (request.status == 404) CheckNotFound(id, request);
      if (request.status == 401 && request.key == kPermanentKey)
        AddViolation("valid API key rejected: " + id);
      return EndStreamAttempt(request, false);
    }
    ++m_report.served;
    if (request.is_after_recovery) ++m_report.served_after_recovery;
    if (!request.signature.ends_with("." + id))
      AddViolation("response without the signature of its engine: " + id);
    if (request.stream) return EndStreamAttempt(request, true);
    if (request.body != EngineStandin::ResponseBodyOf(id)) AddViolation("wrong response to " + id);
  }

  void CheckNotFound(const std::string& id, const SoakRequest& request) {
    if (!request.path.starts_with("/v")) return AddViolation("no route for " + id);
    const auto added = m_config.AddedAt(request.path, request.gateway_started);
    if (added && request.sent > *added + ChangeBoundOf(request, *added))
      AddViolation("CONFIG: no route " + request.path + " for " + id + ", " +
                   std::to_string(MillisBetween(*added, request.sent)) + " ms, at " +
                   m_gateways[request.gateway]->name);
  }

  void ScheduleFault() {
    // Some faults come in series.
    const Millis delay{RandomBelow(4) == 0 ? 10 + RandomBelow(90) : 150 + RandomBelow(700)};
    m_fault_timer.Start(delay, [this] {
      InjectFault();
      ScheduleFault();
    });
  }

  void InjectFault() {
    GatewayNode& gateway =
        *m_gateways[static_cast<std::size_t>(RandomBelow(static_cast<int>(m_gateways.size())))];
    EngineNode& engine =
        m_engines.At(static_cast<std::size_t>(RandomBelow(static_cast<int>(m_engines.Count()))));
    switch (RandomBelow(17)) {
      case 0:
        RecordFault("kill " + gateway.name);
        return KillGateway(gateway);
      case 1: {
        RecordFault("stop " + gateway.name);
        gateway.process.Signal(SIGTERM);
        // The platform restarts a stopped gateway after the grace time at the latest.
        ScheduleFaultEnd(4'100, 4'300, [this, &gateway] { StartGateway(gateway); });
        return;
      }
      case 2:
        RecordFault("pause " + gateway.name);
        gateway.process.Signal(SIGSTOP);
        ScheduleFaultEnd(200, 2'500, [&gateway] { gateway.process.Signal(SIGCONT); });
        return;
      case 3:
        RecordFault("hangup signal to " + gateway.name);
        return gateway.process.Signal(SIGHUP);
      case 4: {
        const int index = RandomBelow(4);
        RecordFault("store fault " + std::to_string(index));
        m_store.SetFault(kStoreFaults[index]);
        m_store_disturbances.Add(m_loop.Now(), ScheduleFaultEnd(300, 2'500, [this] {
                                   m_store.SetFault(StoreStandin::Fault::kNone);
                                 }));
        return;
      }
      case 5:
        RecordFault("store compacts its history");
        return m_store.Compact();
      case 6: {
        const int index = RandomBelow(4);
        RecordFault("network fault between " + gateway.name + " and the store, mode " +
                    std::to_string(index));
        gateway.store_proxy->SetMode(kProxyModes[index]);
        gateway.disturbances.Add(m_loop.Now(), ScheduleFaultEnd(300, 7'000, [&gateway] {
                                   gateway.store_proxy->SetMode(ProxyMode::kPass);
                                 }));
        return;
      }
      case 7: {
        const int index = RandomBelow(4);
        RecordFault("network fault at engine " + engine.engine->Id() + ", mode " +
                    std::to_string(index));
        engine.proxy->SetMode(kProxyModes[index]);
        engine.disturbances.Add(m_loop.Now(), ScheduleFaultEnd(200, 1'500, [&engine] {
                                  engine.proxy->SetMode(ProxyMode::kPass);
                                }));
        return;
      }
      case 8: {
        RecordFault("restart engine " + engine.engine->Id());
        m_engines.Restart(engine, NextEngineId(), kEngineVersions[RandomBelow(3)]);
        ScheduleFaultEnd(100, 1'500, [this, &engine] { m_engines.Register(engine); });
        return;
      }
      case 9:
        RecordFault("failures at engine " + engine.engine->Id());
        engine.engine->SetFailurePercent(40);
        ScheduleFaultEnd(300, 2'000, [&engine] { engine.engine->SetFailurePercent(0); });
        return;
      case 10:
        RecordFault("network delay at engine " + engine.engine->Id());
        engine.proxy->SetDelay(Millis{RandomBelow(60)});
        engine.disturbances.Add(m_loop.Now(), ScheduleFaultEnd(300, 2'000, [&engine] {
                                  engine.proxy->SetDelay(Millis{0});
                                }));
        return;
      case 11:
        RecordFault("store makes a copy");
        m_store.MakeCopy();
        m_config.MakeCopy(m_loop.Now());
        ScheduleFaultEnd(500, 4'000, [this] { RestoreStore(); });
        return;
      case 12:
      case 13:
        RecordFault("drain engine " + engine.engine->Id());
        return ReplaceEngine(engine, kEngineVersions[RandomBelow(3)]);
      case 14:
        RecordFault("kill all gateways");
        for (const auto& node : m_gateways) KillGateway(*node);
        return;
      default:
        return ChangeConfigRepeatedly(1 + RandomBelow(4));
    }
  }

  std::string NextEngineId() { return "e" + std::to_string(RandomBelow(1'000'000)) + "-r"; }

  void KillGateway(GatewayNode& gateway) {
    gateway.process.Kill();
    ScheduleFaultEnd(50, 1'500, [this, &gateway] { StartGateway(gateway); });
  }

  void ReplaceEngine(EngineNode& node, const std::string& version) {
    if (!m_engines.Drain(node)) return;
    ScheduleFaultEnd(2'500, 6'000, [this, &node, version, id = node.engine->Id()] {
      if (node.engine->Id() != id) return;
      RecordFault("replace engine " + id + " by version " + version);
      m_engines.Restart(node, NextEngineId(), version);
      m_engines.Register(node);
    });
  }

  void CheckRecovery() {
    // Most requests must be served after the faults.
    if (m_report.served_after_recovery * 10 < m_report.requests_after_recovery * 9)
      AddViolation("no recovery: served " + std::to_string(m_report.served_after_recovery) +
                   " of " + std::to_string(m_report.requests_after_recovery));
  }

  const SoakOptions& m_options;
  std::mt19937_64 m_random;
  EventLoop m_loop;
  SoakReport m_report;
  TimePoint m_started;
  TimePoint m_faults_end;
  StoreStandin m_store;
  SoakConfig m_config;
  Disturbances m_store_disturbances;
  HttpConnectionPool m_pool;
  SoakEngines m_engines;
  std::vector<std::unique_ptr<GatewayNode>> m_gateways;
  std::map<std::string, std::unique_ptr<SoakRequest>> m_requests;
  std::map<std::string, int> m_run_counts;
  std::set<std::string> m_refused;
  Timer m_request_timer;
  Timer m_fault_timer;
  std::uint64_t m_next_request_number = 1;
  bool m_is_after_recovery = false;
  bool m_is_ending = false;
};

}  // namespace

SoakReport RunSoak(const SoakOptions& options) { return Soak(options).Run(); }

}  // namespace bluebellpass::test
