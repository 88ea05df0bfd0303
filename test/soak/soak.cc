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
#include "engine-standin.h"
#include "kernel/http1-pool.h"
#include "platform/names.h"
#include "standins/proxy.h"
#include "store-standin.h"

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;
using standin::Proxy;
using standin::ProxyMode;

// Time within which a gateway must apply the revocation of a key.
constexpr Millis kRevocationBound{5'000};
constexpr Millis kRequestPeriod{12};
constexpr Millis kStartupTime{2'500};
constexpr Millis kRecoveryTime{5'000};
constexpr Millis kFaultFreeTime{2'000};
constexpr Millis kCallerPatience{3'000};
constexpr int kEngineSlots = 30;
constexpr char kPermanentKey[] = "lasting-key";
// Valid until a fault revokes it.
constexpr char kRevokedKey[] = "short-key";

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
  std::string key;
  TimePoint sent;
  bool is_after_recovery = false;
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
  bool is_paused = false;
};

struct EngineNode {
  std::unique_ptr<EngineStandin> engine;
  std::unique_ptr<Proxy> proxy;
  Address address;
  std::string service;
};

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : m_options(options),
        m_random(options.seed),
        m_store(m_loop, options.seed),
        m_pool(m_loop, ConnectionPoolOptions{}),
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
    const auto remaining = std::chrono::duration_cast<Millis>(m_faults_end - m_loop.Now());
    RunFor(std::max(remaining, Millis{0}) + kRecoveryTime);
    m_is_after_recovery = true;
    RunFor(kFaultFreeTime);
    m_request_timer.Stop();
    m_is_after_recovery = false;
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
  void ScheduleFaultEnd(int min_ms, int max_ms, std::function<void()> function) {
    const Millis delay{min_ms + RandomBelow(max_ms - min_ms)};
    m_faults_end = std::max(m_faults_end, m_loop.Now() + delay);
    m_loop.RunAfter(delay, std::move(function));
  }
  void RecordFault(const std::string& text) {
    const auto ms = std::chrono::duration_cast<Millis>(m_loop.Now() - m_started).count();
    m_report.faults.push_back(std::to_string(ms) + " ms " + text);
  }
  void AddViolation(const std::string& text) { m_report.violations.push_back(text); }

  void SetUp() {
    m_started = m_loop.Now();
    const Address store = m_store.Listen();
    WriteConfig();
    for (int i = 0; i < m_options.engines + m_options.service_backends; ++i) {
      auto node = std::make_unique<EngineNode>();
      node->service = i < m_options.engines ? "chat" : "desk";
      node->engine =
          std::make_unique<EngineStandin>(m_loop, "e" + std::to_string(i) + "-0", kEngineSlots,
                                          [this](const SoakRun& run) { CheckRun(run); });
      node->proxy = std::make_unique<Proxy>(m_loop, node->engine->Listen());
      node->address = std::get<Address>(node->proxy->Listen({"127.0.0.1", 0}));
      m_engines.push_back(std::move(node));
      RegisterEngine(*m_engines.back(), "ready");
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
    node.is_paused = false;
  }

  void WriteConfig() {
    const auto route = [](const char* prefix, const char* type, const char* service, int attempts,
                          bool is_resumable) {
      return json{{"name", prefix},
                  {"host", "soak.test"},
                  {"path_prefix", prefix},
                  {"type", type},
                  {"service", service},
                  {"attempts", attempts},
                  {"timeout_ms", 4'000},
                  {"goal_ms", 300},
                  {"priority", 0},
                  {"public", false},
                  {"resumable", is_resumable},
                  {"gap_aim_ms", 250}};
    };
    json keys = {kPermanentKey};
    if (!m_revoked_at) keys.push_back(kRevokedKey);
    const json engine = {{"slots", kEngineSlots}, {"kv_capacity", 1'000'000}, {"stride", 5}};
    m_store.Put(
        names::kConfigKind, names::kConfigName,
        {{"version", ++m_config_version},
         {"routes", json::array({route("/stream/", "stream", "chat", 3, true),
                                 route("/dossier/", "stream", "chat", 1, false),
                                 route("/book/", "mutating", "desk", 1, false),
                                 route("/look/", "idempotent", "desk", 3, false)})},
         {"services", json::array({{{"name", "chat"}, {"engine", engine}}, {{"name", "desk"}}})},
         {"tenants", json::array({{{"name", "organisation"}, {"api_keys", keys}}})}});
  }

  void RegisterEngine(const EngineNode& node, const std::string& state) {
    m_store.Put(names::kBackendKind, node.engine->Id(),
                {{"service", node.service},
                 {"addr", node.address.Text()},
                 {"zone", "z"},
                 {"slots", kEngineSlots},
                 {"state", state}});
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
    if (m_revoked_at && request.key == kRevokedKey &&
        request.sent > *m_revoked_at + kRevocationBound)
      AddViolation("ran with a revoked API key: " + run.request_id);
    if (m_refused.contains(run.request_id) &&
        (request.type == RequestType::kMutating || request.type == RequestType::kPlainStream))
      AddViolation("ran after it was refused: " + run.request_id);
  }

  void SendRequest() {
    const RequestType type = static_cast<RequestType>(RandomBelow(4));
    const GatewayNode& gateway =
        *m_gateways[static_cast<std::size_t>(RandomBelow(static_cast<int>(m_gateways.size())))];
    const std::string id =
        "s" + std::to_string(m_options.seed) + "-" + std::to_string(m_next_request_number++);
    auto owned_request = std::make_unique<SoakRequest>();
    SoakRequest& request = *owned_request;
    request.type = type;
    request.key = RandomBelow(3) == 0 && !m_is_after_recovery ? kRevokedKey : kPermanentKey;
    request.sent = m_loop.Now();
    request.is_after_recovery = m_is_after_recovery;
    m_requests.emplace(id, std::move(owned_request));
    ++m_report.requests;
    if (request.is_after_recovery) ++m_report.requests_after_recovery;
    const bool is_get = type == RequestType::kIdempotent;
    std::vector<HttpField> fields = {{"Host", "soak.test"},
                                     {names::kAttempt, id},
                                     {names::kApiKey, request.key},
                                     {names::kOrganisation, "forged"},
                                     {names::kDeadline, std::to_string(kCallerPatience.count())}};
    if (type == RequestType::kResumableStream || type == RequestType::kPlainStream)
      fields.push_back({names::kTokenCounts, "500,40"});
    const std::string body = is_get ? "" : "body of " + id;
    if (!is_get) fields.push_back({"Content-Length", std::to_string(body.size())});
    PooledCallHandlers handlers;
    handlers.on_head = [&request](const HttpHead& head) {
      request.status = head.status;
      request.signature = head.Value(names::kSignature);
      request.response_id = head.Value(names::kAttempt);
      return true;
    };
    handlers.on_body = [&request](std::string_view bytes) { request.body.append(bytes); };
    handlers.on_end = [this, id](PooledCallResult end) { HandleResponse(id, end); };
    // Some callers reuse connections, others open new ones, and some disconnect early.
    request.call = m_pool.StartCall(
        gateway.address,
        SerializeRequest(is_get ? "GET" : "POST", kPaths[static_cast<int>(type)], fields) + body,
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
      return CheckStreamBody(id, request, false);
    }
    if (request.response_id != id) AddViolation("response of another request to " + id);
    if (request.status == 429 || request.status == 503) {
      ++m_report.refused;
      m_refused.insert(id);
      const bool is_run_at_most_once =
          request.type == RequestType::kMutating || request.type == RequestType::kPlainStream;
      if (is_run_at_most_once && m_run_counts.contains(id))
        AddViolation("refused after it ran: " + id);
      return;
    }
    if (request.status != 200) {
      ++m_report.failed;
      if (request.status == 404) AddViolation("no route for " + id);
      if (request.status == 401 && request.key == kPermanentKey)
        AddViolation("valid API key rejected: " + id);
      return;
    }
    ++m_report.served;
    if (request.is_after_recovery) ++m_report.served_after_recovery;
    if (!request.signature.ends_with("." + id))
      AddViolation("response without the signature of its engine: " + id);
    if (request.type == RequestType::kResumableStream || request.type == RequestType::kPlainStream)
      return CheckStreamBody(id, request, true);
    if (request.body != EngineStandin::ResponseBodyOf(id)) AddViolation("wrong response to " + id);
  }

  void CheckStreamBody(const std::string& id, const SoakRequest& request, bool is_complete) {
    if (request.type != RequestType::kResumableStream && request.type != RequestType::kPlainStream)
      return;
    if (request.status != 200) return;
    std::string expected;
    for (int i = 1; i <= EngineStandin::EventCountOf(id); ++i)
      expected += EngineStandin::EventText(id, i);
    if (is_complete && request.body != expected)
      AddViolation("stream with missing or duplicate events: " + id);
    if (!expected.starts_with(request.body)) AddViolation("stream with unexpected content: " + id);
  }

  void ScheduleFault() {
    m_fault_timer.Start(Millis{150 + RandomBelow(700)}, [this] {
      InjectFault();
      ScheduleFault();
    });
  }

  void InjectFault() {
    GatewayNode& gateway =
        *m_gateways[static_cast<std::size_t>(RandomBelow(static_cast<int>(m_gateways.size())))];
    EngineNode& engine =
        *m_engines[static_cast<std::size_t>(RandomBelow(static_cast<int>(m_engines.size())))];
    switch (RandomBelow(12)) {
      case 0:
        RecordFault("kill " + gateway.name);
        gateway.process.Kill();
        return ScheduleFaultEnd(50, 1'500, [this, &gateway] { StartGateway(gateway); });
      case 1: {
        RecordFault("stop " + gateway.name);
        gateway.process.Signal(SIGTERM);
        // The platform restarts a stopped gateway after the grace time at the latest.
        return ScheduleFaultEnd(4'100, 4'300, [this, &gateway] { StartGateway(gateway); });
      }
      case 2:
        RecordFault("pause " + gateway.name);
        gateway.process.Signal(SIGSTOP);
        return ScheduleFaultEnd(200, 2'500, [&gateway] { gateway.process.Signal(SIGCONT); });
      case 3:
        RecordFault("hangup signal to " + gateway.name);
        return gateway.process.Signal(SIGHUP);
      case 4: {
        const int index = RandomBelow(4);
        RecordFault("store fault " + std::to_string(index));
        m_store.SetFault(kStoreFaults[index]);
        return ScheduleFaultEnd(300, 2'500,
                                [this] { m_store.SetFault(StoreStandin::Fault::kNone); });
      }
      case 5:
        RecordFault("store compacts its history");
        return m_store.Compact();
      case 6: {
        const int index = RandomBelow(4);
        RecordFault("network fault between " + gateway.name + " and the store, mode " +
                    std::to_string(index));
        gateway.store_proxy->SetMode(kProxyModes[index]);
        return ScheduleFaultEnd(300, 7'000,
                                [&gateway] { gateway.store_proxy->SetMode(ProxyMode::kPass); });
      }
      case 7: {
        const int index = RandomBelow(4);
        RecordFault("network fault at engine " + engine.engine->Id() + ", mode " +
                    std::to_string(index));
        engine.proxy->SetMode(kProxyModes[index]);
        return ScheduleFaultEnd(200, 1'500, [&engine] { engine.proxy->SetMode(ProxyMode::kPass); });
      }
      case 8: {
        RecordFault("restart engine " + engine.engine->Id());
        m_store.Delete(names::kBackendKind, engine.engine->Id());
        engine.engine->Restart("e" + std::to_string(RandomBelow(1'000'000)) + "-r");
        return ScheduleFaultEnd(100, 1'500, [this, &engine] { RegisterEngine(engine, "ready"); });
      }
      case 9:
        RecordFault("failures at engine " + engine.engine->Id());
        engine.engine->SetFailurePercent(40);
        return ScheduleFaultEnd(300, 2'000, [&engine] { engine.engine->SetFailurePercent(0); });
      case 10:
        RecordFault("network delay at engine " + engine.engine->Id());
        engine.proxy->SetDelay(Millis{RandomBelow(60)});
        return ScheduleFaultEnd(300, 2'000, [&engine] { engine.proxy->SetDelay(Millis{0}); });
      default:
        if (!m_revoked_at && RandomBelow(2) == 0) {
          RecordFault("API key revoked");
          m_revoked_at = m_loop.Now();
        }
        RecordFault("new configuration");
        return WriteConfig();
    }
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
  HttpConnectionPool m_pool;
  std::vector<std::unique_ptr<EngineNode>> m_engines;
  std::vector<std::unique_ptr<GatewayNode>> m_gateways;
  std::map<std::string, std::unique_ptr<SoakRequest>> m_requests;
  std::map<std::string, int> m_run_counts;
  std::set<std::string> m_refused;
  std::optional<TimePoint> m_revoked_at;
  Timer m_request_timer;
  Timer m_fault_timer;
  std::uint64_t m_next_request_number = 1;
  int m_config_version = 0;
  bool m_is_after_recovery = false;
};

}  // namespace

SoakReport RunSoak(const SoakOptions& options) { return Soak(options).Run(); }

}  // namespace bluebellpass::test
