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

constexpr Millis kRevocationBound{5'000};
constexpr Millis kAskPeriod{12};
constexpr Millis kStart{2'500};
constexpr Millis kRecovery{5'000};
constexpr Millis kQuiet{2'000};
constexpr Millis kCallerPatience{3'000};
constexpr int kEngineSlots = 30;
constexpr char kLastingKey[] = "lasting-key";
constexpr char kShortKey[] = "short-key";

constexpr const char* kPaths[] = {"/stream/x", "/dossier/x", "/book/x", "/look/x"};
constexpr ProxyMode kModes[] = {ProxyMode::kCut, ProxyMode::kSilent, ProxyMode::kSilentExisting,
                                ProxyMode::kRefuse};
constexpr StoreStandin::Fault kFaults[] = {StoreStandin::Fault::kSilent, StoreStandin::Fault::kBusy,
                                           StoreStandin::Fault::kLost, StoreStandin::Fault::kSlow};

enum class Kind { kStream, kDossier, kBooking, kLookup };

struct Ask {
  Kind kind = Kind::kLookup;
  std::string key;
  TimePoint sent;
  bool is_quiet = false;
  std::string body;
  int status = 0;
  std::string seal;
  std::string answered_id;
  std::unique_ptr<PooledCall> call;
  std::unique_ptr<Timer> timer;
};

struct GatewayNode {
  std::string name;
  Address address;
  std::string settings;
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
        m_ask_timer(m_loop),
        m_fault_timer(m_loop) {
    m_report.log_folder = MakeLogFolder("soak-" + std::to_string(options.seed));
  }

  SoakReport Run() {
    SetUp();
    RunFor(kStart);
    m_ask_timer.StartPeriodic(kAskPeriod, [this] { AskSomething(); });
    ScheduleFault();
    RunFor(Millis(static_cast<Millis::rep>(m_options.length_s * 1000)));
    m_fault_timer.Stop();
    // Some faults last beyond the time in which new ones begin.
    const auto rest = std::chrono::duration_cast<Millis>(m_faults_end - m_loop.Now());
    RunFor(std::max(rest, Millis{0}) + kRecovery);
    m_is_quiet = true;
    RunFor(kQuiet);
    m_ask_timer.Stop();
    m_is_quiet = false;
    RunFor(kCallerPatience + Millis{500});
    CheckAtEnd();
    return std::move(m_report);
  }

 private:
  void RunFor(Millis span) {
    const TimePoint end = std::chrono::steady_clock::now() + span;
    while (std::chrono::steady_clock::now() < end) m_loop.RunOnce(Millis{5});
  }
  int Random(int below) { return static_cast<int>(m_random() % static_cast<unsigned>(below)); }
  void Later(int least_ms, int most_ms, std::function<void()> function) {
    const Millis delay{least_ms + Random(most_ms - least_ms)};
    m_faults_end = std::max(m_faults_end, m_loop.Now() + delay);
    m_loop.RunAfter(delay, std::move(function));
  }
  void NoteFault(const std::string& text) {
    const auto ms = std::chrono::duration_cast<Millis>(m_loop.Now() - m_began).count();
    m_report.faults.push_back(std::to_string(ms) + " ms " + text);
  }
  void Breach(const std::string& text) { m_report.breaches.push_back(text); }

  void SetUp() {
    m_began = m_loop.Now();
    const Address store = m_store.Listen();
    WriteConfig();
    for (int i = 0; i < m_options.engines + m_options.desks; ++i) {
      auto node = std::make_unique<EngineNode>();
      node->service = i < m_options.engines ? "chat" : "desk";
      node->engine =
          std::make_unique<EngineStandin>(m_loop, "e" + std::to_string(i) + "-0", kEngineSlots,
                                          [this](const SoakRun& run) { OnRun(run); });
      node->proxy = std::make_unique<Proxy>(m_loop, node->engine->Listen());
      node->address = std::get<Address>(node->proxy->Listen({"127.0.0.1", 0}));
      m_engines.push_back(std::move(node));
      RegisterEngine(*m_engines.back(), "ready");
    }
    for (int i = 0; i < m_options.gateways; ++i) {
      auto node = std::make_unique<GatewayNode>();
      node->name = "g" + std::to_string(i);
      node->address = {"127.0.0.1", FreePort()};
      node->store_proxy = std::make_unique<Proxy>(m_loop, store);
      const Address proxied = std::get<Address>(node->store_proxy->Listen({"127.0.0.1", 0}));
      node->settings = m_report.log_folder + "/" + node->name + ".yaml";
      std::ofstream file(node->settings);
      const std::uint16_t peer = FreePort();
      file << "node: " << node->name
           << "\nzone: z\nregion: r\nip: 127.0.0.1\nlisten:\n  front: " << node->address.Text()
           << "\nport_range: [" << peer << ", " << FreePort()
           << "]\nbounds:\n  revoke_ms: " << kRevocationBound.count()
           << "\n  grace_s: 4\n  retry_ratio: 0.5\n  retry_slack: 100\n"
           << "platform:\n  addr: " << proxied.Text() << "\n";
      file.close();
      m_gateways.push_back(std::move(node));
      StartGateway(*m_gateways.back());
    }
  }

  void StartGateway(GatewayNode& node) {
    // Two faults may both start it again; the earlier process still holds its ports.
    node.process.Kill();
    node.process = Process({m_options.gateway_binary, "gateway", "--settings", node.settings},
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
    json keys = {kLastingKey};
    if (!m_revoked) keys.push_back(kShortKey);
    const json engine = {{"slots", kEngineSlots}, {"kv_capacity", 1'000'000}, {"stride", 5}};
    m_store.Put(
        names::kConfigKind, names::kConfigName,
        {{"version", ++m_version},
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

  void OnRun(const SoakRun& run) {
    const auto found = m_asks.find(run.request);
    if (found == m_asks.end())
      return Breach("run of a request that was never sent: " + run.request);
    const Ask& ask = *found->second;
    if (!run.key.empty()) Breach("a key was passed on with " + run.request);
    if (run.organisation != "organisation")
      Breach("wrong organisation with " + run.request + ": " + run.organisation);
    const int runs = ++m_runs[run.request];
    if (runs > 1 && (ask.kind == Kind::kBooking || ask.kind == Kind::kDossier))
      Breach("ran twice: " + run.request);
    if (m_revoked && ask.key == kShortKey && ask.sent > *m_revoked + kRevocationBound)
      Breach("ran with a key that was taken away: " + run.request);
    if (m_refused.contains(run.request) &&
        (ask.kind == Kind::kBooking || ask.kind == Kind::kDossier))
      Breach("ran after it was refused as not run: " + run.request);
  }

  void AskSomething() {
    const Kind kind = static_cast<Kind>(Random(4));
    const GatewayNode& gateway =
        *m_gateways[static_cast<std::size_t>(Random(static_cast<int>(m_gateways.size())))];
    const std::string id = "s" + std::to_string(m_options.seed) + "-" + std::to_string(m_next++);
    auto owned = std::make_unique<Ask>();
    Ask& ask = *owned;
    ask.kind = kind;
    ask.key = Random(3) == 0 && !m_is_quiet ? kShortKey : kLastingKey;
    ask.sent = m_loop.Now();
    ask.is_quiet = m_is_quiet;
    m_asks.emplace(id, std::move(owned));
    ++m_report.asked;
    if (ask.is_quiet) ++m_report.quiet_asked;
    const bool is_get = kind == Kind::kLookup;
    std::vector<HttpField> fields = {{"Host", "soak.test"},
                                     {names::kAttempt, id},
                                     {names::kApiKey, ask.key},
                                     {names::kOrganisation, "forged"},
                                     {names::kDeadline, std::to_string(kCallerPatience.count())}};
    if (kind == Kind::kStream || kind == Kind::kDossier)
      fields.push_back({names::kTokenCounts, "500,40"});
    const std::string body = is_get ? "" : "body of " + id;
    if (!is_get) fields.push_back({"Content-Length", std::to_string(body.size())});
    PooledCallHandlers events;
    events.on_head = [&ask](const HttpHead& head) {
      ask.status = head.status;
      ask.seal = head.Value(names::kSignature);
      ask.answered_id = head.Value(names::kAttempt);
      return true;
    };
    events.on_body = [&ask](std::string_view bytes) { ask.body.append(bytes); };
    events.on_end = [this, id](PooledCallResult end) { OnAnswer(id, end); };
    // Some callers keep their connections, others open new ones; some leave early.
    ask.call = m_pool.StartCall(
        gateway.address,
        SerializeRequest(is_get ? "GET" : "POST", kPaths[static_cast<int>(kind)], fields) + body,
        std::move(events), Random(3) == 0);
    ask.timer = std::make_unique<Timer>(m_loop);
    const bool leaves = Random(12) == 0 && !m_is_quiet;
    ask.timer->Start(leaves ? Millis{Random(300)} : kCallerPatience, [this, id] { GiveUp(id); });
  }

  void GiveUp(const std::string& id) {
    Ask& ask = *m_asks.at(id);
    ask.call.reset();
    if (ask.is_quiet) NoteFault("given up in quiet time: " + id);
    ++m_report.failed;
  }

  void OnAnswer(const std::string& id, PooledCallResult end) {
    Ask& ask = *m_asks.at(id);
    if (ask.is_quiet && (end != PooledCallResult::kComplete || ask.status != 200))
      NoteFault("not served in quiet time: " + id + " status " + std::to_string(ask.status) +
                " end " + std::to_string(static_cast<int>(end)));
    ask.timer->Stop();
    m_loop.Post([call = std::shared_ptr<PooledCall>(std::move(ask.call))] {});
    if (end != PooledCallResult::kComplete) {
      ++m_report.failed;
      return CheckStreamPart(id, ask, false);
    }
    if (ask.answered_id != id) Breach("answer of another request to " + id);
    if (ask.status == 429 || ask.status == 503) {
      ++m_report.refused;
      m_refused.insert(id);
      const bool must_not = ask.kind == Kind::kBooking || ask.kind == Kind::kDossier;
      if (must_not && m_runs.contains(id)) Breach("refused as not run, but ran: " + id);
      return;
    }
    if (ask.status != 200) {
      ++m_report.failed;
      if (ask.status == 404) Breach("no route for " + id);
      if (ask.status == 401 && ask.key == kLastingKey) Breach("a good key was denied: " + id);
      return;
    }
    ++m_report.served;
    if (ask.is_quiet) ++m_report.quiet_served;
    if (!ask.seal.ends_with("." + id)) Breach("answer without its engine's seal: " + id);
    if (ask.kind == Kind::kStream || ask.kind == Kind::kDossier)
      return CheckStreamPart(id, ask, true);
    if (ask.body != EngineStandin::AnswerTo(id)) Breach("wrong answer to " + id);
  }

  void CheckStreamPart(const std::string& id, const Ask& ask, bool is_whole) {
    if (ask.kind != Kind::kStream && ask.kind != Kind::kDossier) return;
    if (ask.status != 200) return;
    std::string expected;
    for (int i = 1; i <= EngineStandin::EventsOf(id); ++i)
      expected += EngineStandin::EventText(id, i);
    if (is_whole && ask.body != expected) Breach("stream with a gap or a double event: " + id);
    if (!expected.starts_with(ask.body)) Breach("stream with foreign parts: " + id);
  }

  void ScheduleFault() {
    m_fault_timer.Start(Millis{150 + Random(700)}, [this] {
      InjectFault();
      ScheduleFault();
    });
  }

  void InjectFault() {
    GatewayNode& gateway =
        *m_gateways[static_cast<std::size_t>(Random(static_cast<int>(m_gateways.size())))];
    EngineNode& engine =
        *m_engines[static_cast<std::size_t>(Random(static_cast<int>(m_engines.size())))];
    switch (Random(12)) {
      case 0:
        NoteFault("kill " + gateway.name);
        gateway.process.Kill();
        return Later(50, 1'500, [this, &gateway] { StartGateway(gateway); });
      case 1: {
        NoteFault("stop " + gateway.name);
        gateway.process.Signal(SIGTERM);
        // Started again after the grace time at the latest, as a platform does.
        return Later(4'100, 4'300, [this, &gateway] { StartGateway(gateway); });
      }
      case 2:
        NoteFault("pause " + gateway.name);
        gateway.process.Signal(SIGSTOP);
        return Later(200, 2'500, [&gateway] { gateway.process.Signal(SIGCONT); });
      case 3:
        NoteFault("hup " + gateway.name);
        return gateway.process.Signal(SIGHUP);
      case 4: {
        const int which = Random(4);
        NoteFault("store fault " + std::to_string(which));
        m_store.SetFault(kFaults[which]);
        return Later(300, 2'500, [this] { m_store.SetFault(StoreStandin::Fault::kNone); });
      }
      case 5:
        NoteFault("store forgets its history");
        return m_store.Compact();
      case 6: {
        const int which = Random(4);
        NoteFault("cut " + gateway.name + " from the store " + std::to_string(which));
        gateway.store_proxy->SetMode(kModes[which]);
        return Later(300, 7'000, [&gateway] { gateway.store_proxy->SetMode(ProxyMode::kPass); });
      }
      case 7: {
        const int which = Random(4);
        NoteFault("cut engine " + engine.engine->Id() + " " + std::to_string(which));
        engine.proxy->SetMode(kModes[which]);
        return Later(200, 1'500, [&engine] { engine.proxy->SetMode(ProxyMode::kPass); });
      }
      case 8: {
        NoteFault("restart engine " + engine.engine->Id());
        m_store.Delete(names::kBackendKind, engine.engine->Id());
        engine.engine->Restart("e" + std::to_string(Random(1'000'000)) + "-r");
        return Later(100, 1'500, [this, &engine] { RegisterEngine(engine, "ready"); });
      }
      case 9:
        NoteFault("engine fails " + engine.engine->Id());
        engine.engine->SetFailures(40);
        return Later(300, 2'000, [&engine] { engine.engine->SetFailures(0); });
      case 10:
        NoteFault("delay to engine " + engine.engine->Id());
        engine.proxy->SetDelay(Millis{Random(60)});
        return Later(300, 2'000, [&engine] { engine.proxy->SetDelay(Millis{0}); });
      default:
        if (!m_revoked && Random(2) == 0) {
          NoteFault("a key is taken away");
          m_revoked = m_loop.Now();
        }
        NoteFault("new configuration");
        return WriteConfig();
    }
  }

  void CheckAtEnd() {
    // Most requests must be served once all faults are over.
    if (m_report.quiet_served * 10 < m_report.quiet_asked * 9)
      Breach("no recovery: served " + std::to_string(m_report.quiet_served) + " of " +
             std::to_string(m_report.quiet_asked));
  }

  const SoakOptions& m_options;
  std::mt19937_64 m_random;
  EventLoop m_loop;
  SoakReport m_report;
  TimePoint m_began;
  TimePoint m_faults_end;
  StoreStandin m_store;
  HttpConnectionPool m_pool;
  std::vector<std::unique_ptr<EngineNode>> m_engines;
  std::vector<std::unique_ptr<GatewayNode>> m_gateways;
  std::map<std::string, std::unique_ptr<Ask>> m_asks;
  std::map<std::string, int> m_runs;
  std::set<std::string> m_refused;
  std::optional<TimePoint> m_revoked;
  Timer m_ask_timer;
  Timer m_fault_timer;
  std::uint64_t m_next = 1;
  int m_version = 0;
  bool m_is_quiet = false;
};

}  // namespace

SoakReport RunSoak(const SoakOptions& options) { return Soak(options).Run(); }

}  // namespace bluebellpass::test
