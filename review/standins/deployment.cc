#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace bluebellpass::review {
namespace {

using nlohmann::json;

constexpr char kProgram[] = "target/bluebellpass";
constexpr char kRole[] = "gateway";
constexpr char kStoreIp[] = "127.81.0.1";
constexpr int kPortsPerMachine = 12;
// Positions in the range of free ports, which is the same for all machines.
constexpr int kReadyOffset = 1;
constexpr int kDirectoryOffset = 2;
constexpr int kControlOffset = 3;
constexpr int kPeerOffset = 4;
constexpr int kMetricsOffset = 6;
constexpr Millis kStartTimeout{10'000};
constexpr Millis kCheckPeriod{50};
constexpr Millis kCallTimeout{1'000};
constexpr Millis kSupervisionPeriod{2};
constexpr Millis kReconnectPause{10};
constexpr std::size_t kDirectoriesTried = 3;
constexpr Millis kEntryLifetime{3'600};
constexpr unsigned kSeed = 7'919;

std::string FormatSeconds(double seconds) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%9.3f", seconds);
  return text.data();
}

double TokensOf(const HttpMessage& request) {
  const std::string counts = request.Value("Token-Count");
  const std::size_t comma = counts.find(',');
  if (comma == std::string::npos) return 0;
  return std::strtod(counts.c_str(), nullptr) + std::strtod(counts.c_str() + comma + 1, nullptr);
}

}  // namespace

Journal::Journal(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {
  if (m_file == nullptr) std::exit(kExitCannotRun);
}

Journal::~Journal() { std::fclose(m_file); }

double Journal::Seconds(Clock::time_point at) const {
  return std::chrono::duration<double>(at - m_start).count();
}

void Journal::Write(const std::string& line) {
  const std::scoped_lock lock(m_mutex);
  const std::string text = FormatSeconds(Seconds(Clock::now())) + " " + line + "\n";
  std::fputs(text.c_str(), m_file);
}

Engine::Engine(Store& store, Journal& journal, const std::string& ip, int port,
               const std::string& id, const Options& options,
               std::function<void(const EngineRun&)> on_run)
    : m_store(store),
      m_journal(journal),
      m_ip(ip),
      m_port(port),
      m_name(id),
      m_options(options),
      m_on_run(std::move(on_run)) {
  StartServer();
  m_supervisor = std::thread([this] { Supervise(); });
}

Engine::~Engine() {
  m_is_stopping = true;
  m_supervisor.join();
  m_server.reset();
  m_store.Delete("servers", Id());
}

std::string Engine::Id() const { return m_name + "-" + std::to_string(m_start); }

void Engine::StartServer() {
  m_born = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
               .count();
  ++m_start;
  m_server = std::make_unique<HttpServer>(
      m_ip, m_port,
      [this](const HttpMessage& request, const Socket& socket) { return Handle(request, socket); });
  Register("ready");
}

void Engine::Drain() {
  Register("draining");
  m_journal.Write("the store has acknowledged that engine " + Id() + " drains");
}

void Engine::Register(const std::string& state) {
  m_store.Put("servers", Id(),
              {{"service", m_options.service},
               {"addr", m_ip + ":" + std::to_string(m_port)},
               {"zone", "lx-a"},
               {"version", "v1"},
               {"slots", m_options.slots},
               {"state", state},
               {"cold_left_ms", 0},
               {"born", m_born},
               {"seq", 1}});
}

void Engine::Supervise() {
  while (!m_is_stopping) {
    std::this_thread::sleep_for(kSupervisionPeriod);
    if (!m_has_crashed) continue;
    const auto crashed_at = Clock::now();
    m_server.reset();
    m_journal.Write("engine " + Id() + " has crashed");
    const std::string old_id = Id();
    while (!m_is_stopping && Clock::now() < crashed_at + m_options.down_time)
      std::this_thread::sleep_for(kSupervisionPeriod);
    m_has_crashed = false;
    m_running = 0;
    StartServer();
    m_journal.Write("engine " + Id() + " has started");
    // The entry of the previous start expires by itself after three heartbeats.
    while (!m_is_stopping && Clock::now() < crashed_at + kEntryLifetime && !m_has_crashed)
      std::this_thread::sleep_for(kSupervisionPeriod);
    m_store.Delete("servers", old_id);
  }
}

bool Engine::Handle(const HttpMessage& request, const Socket& socket) {
  const std::string own_id = Id();
  const std::string id = request.Value("Request-Id");
  if (request.Target() == "/healthz")
    return socket.SendAll(SerializeHttp("HTTP/1.1 200 OK", {{"Instance", own_id}}, ""));
  const std::string expected = request.Value("Expect-Instance");
  if (!expected.empty() && expected != own_id)
    return socket.SendAll(SerializeHttp("HTTP/1.1 421 Misdirected Request",
                                        {{"Request-Id", id}, {"Instance", own_id}}, ""));
  if (++m_running > m_options.slots) {
    --m_running;
    return socket.SendAll(SerializeHttp("HTTP/1.1 503 Service Unavailable",
                                        {{"Request-Id", id}, {"Not-Run", "1"}}, ""));
  }
  const EngineRun run{Clock::now(), id, request.Target(), request.Value("Tenant"),
                      TokensOf(request)};
  m_journal.Write("engine " + own_id + " runs " + id + " " + run.path);
  m_on_run(run);
  if (!m_options.crashing_target.empty() && run.path == m_options.crashing_target)
    m_has_crashed = true;
  std::this_thread::sleep_for(m_options.work);
  if (m_has_crashed) return false;
  const bool is_sent = socket.SendAll(
      SerializeHttp("HTTP/1.1 200 OK", {{"Request-Id", id}, {"Instance-Seal", own_id + "." + id}},
                    std::string(m_options.body_bytes, 'x')));
  m_journal.Write("engine " + own_id + (is_sent ? " has answered " : " could not answer ") + id);
  --m_running;
  return is_sent;
}

Deployment::Deployment(Journal& journal, std::string folder, int gateways)
    : m_journal(journal), m_folder(std::move(folder)) {
  std::vector<std::string> ips = {kStoreIp, EngineIp()};
  for (int i = 1; i <= gateways; ++i) {
    Gateway gateway;
    gateway.name = "edge-lx-a-" + std::to_string(i);
    gateway.ip = "127.81.1." + std::to_string(i);
    ips.push_back(gateway.ip);
    m_gateways.push_back(gateway);
  }
  m_ports = FindFreePorts(ips, kPortsPerMachine);
  m_store = std::make_unique<Store>(kStoreIp, m_ports);
}

Deployment::~Deployment() {
  for (const Gateway& gateway : m_gateways) {
    if (gateway.process <= 0) continue;
    kill(gateway.process, SIGKILL);
    waitpid(gateway.process, nullptr, 0);
  }
}

void Deployment::Launch(Gateway& gateway) {
  const auto address = [&](int offset) {
    return gateway.ip + ":" + std::to_string(m_ports + offset);
  };
  const std::string path = m_folder + "/" + gateway.name + ".yaml";
  std::ofstream file(path);
  file << "node: \"" << gateway.name << "\"\nrole: \"gateway\"\nmachine_class: \"edge\"\n"
       << "serves:\n  - \"edge\"\n  - \"dir\"\nip: \"" << gateway.ip << "\"\nzone: \"lx-a\"\n"
       << "region: \"lisboa\"\nlisten:\n  front: \"" << address(0) << "\"\n  ready: \""
       << address(kReadyOffset) << "\"\n  control: \"" << address(kControlOffset)
       << "\"\n  directory: \"" << address(kDirectoryOffset) << "\"\nport_range:\n  - "
       << m_ports + kPeerOffset << "\n  - " << m_ports + kMetricsOffset
       << "\nbootstrap: true\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  ram_mb: 260\n"
       << "  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\nbeat_ms: 1200\nbounds:\n"
       << "  seed_lag_s: 3\n  reuse_after_s: 2\n  stable_window_ms: 3000\n  ack_ms: 4000\n"
       << "  catch_up_s: 4\n  drain_ms: " << kDrainMs << "\n  grace_s: " << kGraceS
       << "\n  lost_ms: " << kLostMs << "\n  config_ms: " << kConfigMs
       << "\n  back_ms: 250\n  outer_ms: 5000\n  strict_revoke: true\n  revoke_ms: 5000\n"
       << "  retry_ratio: 0.2\n  budget_window_s: 10\n  retry_slack: 58\n  quota_window_s: "
       << kQuotaWindowS << "\n  quota_over: " << kQuotaOver << "\n  quota_slack: " << kQuotaSlack
       << "\n  recover_s: 12\n  pass_ms: 120\n  again_s: 10\n  ttl_max_s: 5\nplatform:\n"
       << "  addr: \"" << kStoreIp << ":" << m_ports << "\"\n  form: \"objects\"\n"
       << "  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n";
  file.close();
  const std::string log = m_folder + "/" + gateway.name + ".log";
  const std::string variable = "BLUEBELLPASS_CONFIG=" + path;
  std::array<char*, 3> arguments = {const_cast<char*>(kProgram), const_cast<char*>(kRole), nullptr};
  std::array<char*, 2> environment = {const_cast<char*>(variable.c_str()), nullptr};
  const int descriptor = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  gateway.process = fork();
  if (gateway.process == 0) {
    dup2(descriptor, STDOUT_FILENO);
    dup2(descriptor, STDERR_FILENO);
    execve(kProgram, arguments.data(), environment.data());
    _exit(kExitCannotRun);
  }
  close(descriptor);
  m_journal.Write("process " + std::to_string(gateway.process) + " is " + gateway.name + ": " +
                  kProgram + " " + kRole);
}

bool Deployment::Start() {
  if (!m_store->IsListening() || access(kProgram, X_OK) != 0) return false;
  for (Gateway& gateway : m_gateways) Launch(gateway);
  const auto until = Clock::now() + kStartTimeout;
  for (const Gateway& gateway : m_gateways) {
    while (!IsReady(gateway)) {
      if (Clock::now() > until) return false;
      std::this_thread::sleep_for(kCheckPeriod);
    }
  }
  // Until the gateways have found each other.
  std::this_thread::sleep_for(Millis{3'000});
  return true;
}

std::string Deployment::Get(const Gateway& gateway, int port, const std::string& path) const {
  const Socket socket = Connect(gateway.ip, port);
  if (!socket.IsOpen() ||
      !socket.SendAll(SerializeHttp("GET " + path + " HTTP/1.1", {{"Host", "x"}}, "")))
    return "";
  MessageReader reader(socket);
  HttpMessage response;
  if (reader.Read(response, true, Clock::now() + kCallTimeout) != ReadResult::kComplete) return "";
  return response.Status() == 200 ? "ok\n" + response.body : "";
}

bool Deployment::IsReady(const Gateway& gateway) const {
  return !Get(gateway, m_ports + kReadyOffset, "/api/readyz").empty();
}

std::optional<double> Deployment::Metric(const Gateway& gateway, const std::string& name) const {
  const std::string text = Get(gateway, m_ports + kMetricsOffset, "/metrics");
  const std::size_t at = text.find("\n" + name + " ");
  if (at == std::string::npos) return std::nullopt;
  return std::strtod(text.c_str() + at + name.size() + 2, nullptr);
}

std::string Deployment::Resolve(const Gateway& gateway) const {
  const std::string answer = Get(gateway, m_ports + kDirectoryOffset,
                                 "/api/resolve?name=balcao.example&region=lisboa&zone=lx-a");
  return answer.empty() ? "" : answer.substr(answer.find('\n') + 1);
}

void Deployment::Signal(const Gateway& gateway, int number) {
  m_journal.Write("signal " + std::to_string(number) + " to " + gateway.name);
  kill(gateway.process, number);
}

void Deployment::Kill(std::size_t index) {
  Gateway& gateway = m_gateways[index];
  Signal(gateway, SIGKILL);
  waitpid(gateway.process, nullptr, 0);
  gateway.process = -1;
}

Client::Client(const Deployment& deployment, int number, const LinkOptions& link)
    : m_deployment(deployment),
      m_number(number),
      m_link(link),
      m_random(kSeed * static_cast<unsigned>(number + 1)) {}

void Client::UseDirectory(std::size_t nearest) { m_nearest = nearest; }

void Client::UpdateAddresses() {
  if (!m_nearest || Clock::now() < m_addresses_until) return;
  const auto& gateways = m_deployment.Gateways();
  for (std::size_t i = 0; i < kDirectoriesTried; ++i) {
    const Gateway& gateway = gateways[(*m_nearest + i) % gateways.size()];
    const json answer = json::parse(m_deployment.Resolve(gateway), nullptr, false);
    if (!answer.is_object() || !answer.contains("addrs")) continue;
    m_addresses = answer["addrs"].get<std::vector<std::string>>();
    m_addresses_until = Clock::now() + std::chrono::seconds(answer.value("ttl_s", 1));
    break;
  }
  const auto is_listed = [&](const Gateway& gateway) {
    const std::string address = gateway.ip + ":" + std::to_string(m_deployment.FrontPort());
    return std::find(m_addresses.begin(), m_addresses.end(), address) != m_addresses.end();
  };
  for (const Gateway& gateway : gateways) {
    if (gateway.name != m_gateway || is_listed(gateway)) continue;
    m_reader.reset();
    m_socket.reset();
  }
}

const Gateway* Client::ChooseGateway() {
  const auto& gateways = m_deployment.Gateways();
  const auto draw = [&](std::size_t count) {
    return static_cast<std::size_t>(rand_r(&m_random)) % count;
  };
  if (!m_nearest) {
    const Gateway& gateway = gateways[draw(gateways.size())];
    return gateway.name == m_failed ? nullptr : &gateway;
  }
  if (m_addresses.empty()) return nullptr;
  const std::string address = m_addresses[draw(m_addresses.size())];
  for (const Gateway& gateway : gateways)
    if (address == gateway.ip + ":" + std::to_string(m_deployment.FrontPort()) &&
        (gateway.name != m_failed || m_addresses.size() == 1))
      return &gateway;
  return nullptr;
}

bool Client::ConnectTo(const Gateway& gateway) {
  m_reader.reset();
  m_gateway = gateway.name;
  m_socket = std::make_unique<Socket>(Connect(gateway.ip, m_deployment.FrontPort(), m_link));
  if (!m_socket->IsOpen()) m_socket.reset();
  if (m_socket) m_reader = std::make_unique<MessageReader>(*m_socket, m_link.bytes_per_s);
  return m_socket != nullptr;
}

Exchange Client::Send(const std::string& method, const std::string& path,
                      std::vector<std::pair<std::string, std::string>> fields, Millis deadline) {
  UpdateAddresses();
  while (!m_socket) {
    const Gateway* gateway = ChooseGateway();
    if (gateway != nullptr && ConnectTo(*gateway)) break;
    std::this_thread::sleep_for(kReconnectPause);
    UpdateAddresses();
  }
  Exchange exchange;
  exchange.id = "c" + std::to_string(m_number) + "-" + std::to_string(++m_count);
  exchange.gateway = m_gateway;
  fields.insert(fields.begin(), {{"Host", "balcao.example"},
                                 {"Request-Id", exchange.id},
                                 {"Credential", "key-a"},
                                 {"Deadline-Ms", std::to_string(deadline.count())}});
  exchange.sent = Clock::now();
  exchange.was_sent =
      m_socket->SendAll(SerializeHttp(method + " " + path + " HTTP/1.1", fields, ""));
  if (exchange.was_sent)
    exchange.result = m_reader->Read(exchange.response, true, exchange.sent + deadline);
  const bool is_kept = exchange.was_sent && exchange.result == ReadResult::kComplete &&
                       exchange.response.Value("Connection") != "close";
  if (exchange.result != ReadResult::kComplete) m_failed = m_gateway;
  if (!is_kept) {
    m_reader.reset();
    m_socket.reset();
  }
  return exchange;
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

json MakeConfig(int version, double rate_per_s, double burst) {
  const json route = {
      {"name", "r-lookup"},   {"host", "balcao.example"}, {"path_prefix", "/lookup/"},
      {"type", "idempotent"}, {"timeout_ms", 10'000},     {"goal_ms", 1'000},
      {"priority", 1},        {"service", "balcao"},      {"attempts", 2},
      {"public", false},      {"sticky", false},          {"resumable", false}};
  const json tenant = {{"name", "tenant-a"},  {"api_keys", {"key-a"}},    {"unit", "tokens"},
                       {"plain_tokens", 200}, {"rate_per_s", rate_per_s}, {"burst", burst}};
  return {{"version", version},
          {"routes", {route}},
          {"services",
           {{{"name", "balcao"},
             {"health_path", "/healthz"},
             {"max_conns", 110},
             {"proto", "h1"},
             {"tls", false}}}},
          {"limits",
           {{"max_header_bytes", 16'384},
            {"max_body_bytes", 4'194'304},
            {"header_timeout_ms", 3'000},
            {"idle_timeout_ms", 15'000}}},
          {"tenants", {tenant}}};
}

std::string Describe(ReadResult result) {
  switch (result) {
    case ReadResult::kComplete:
      return "complete";
    case ReadResult::kClosed:
      return "cut: the connection was closed";
    case ReadResult::kReset:
      return "cut: the connection was reset";
    case ReadResult::kTimeout:
      return "no complete answer in time";
  }
  return "";
}

}  // namespace bluebellpass::review
