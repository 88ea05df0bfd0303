#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

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
      m_id(id),
      m_options(options),
      m_on_run(std::move(on_run)) {
  m_server = std::make_unique<HttpServer>(
      ip, port,
      [this](const HttpMessage& request, const Socket& socket) { return Handle(request, socket); });
  m_store.Put("servers", m_id,
              {{"service", m_options.service},
               {"addr", ip + ":" + std::to_string(port)},
               {"zone", "lx-a"},
               {"version", "v1"},
               {"slots", m_options.slots},
               {"state", "ready"},
               {"cold_left_ms", 0},
               {"born", 1},
               {"seq", 1}});
}

Engine::~Engine() { m_store.Delete("servers", m_id); }

bool Engine::Handle(const HttpMessage& request, const Socket& socket) {
  const std::string id = request.Value("Request-Id");
  if (request.Target() == "/healthz")
    return socket.SendAll(SerializeHttp("HTTP/1.1 200 OK", {{"Instance", m_id}}, ""));
  const std::string expected = request.Value("Expect-Instance");
  if (!expected.empty() && expected != m_id)
    return socket.SendAll(SerializeHttp("HTTP/1.1 421 Misdirected Request",
                                        {{"Request-Id", id}, {"Instance", m_id}}, ""));
  if (++m_running > m_options.slots) {
    --m_running;
    return socket.SendAll(SerializeHttp("HTTP/1.1 503 Service Unavailable",
                                        {{"Request-Id", id}, {"Not-Run", "1"}}, ""));
  }
  const EngineRun run{Clock::now(), id, request.Target(), request.Value("Tenant"),
                      TokensOf(request)};
  m_journal.Write("engine " + m_id + " runs " + id + " " + run.path);
  m_on_run(run);
  std::this_thread::sleep_for(m_options.work);
  const bool is_sent = socket.SendAll(
      SerializeHttp("HTTP/1.1 200 OK", {{"Request-Id", id}, {"Instance-Seal", m_id + "." + id}},
                    std::string(m_options.body_bytes, 'x')));
  m_journal.Write("engine " + m_id + (is_sent ? " has answered " : " could not answer ") + id);
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

void Deployment::Signal(const Gateway& gateway, int number) {
  m_journal.Write("signal " + std::to_string(number) + " to " + gateway.name);
  kill(gateway.process, number);
}

Client::Client(const Deployment& deployment, int number, const LinkOptions& link)
    : m_deployment(deployment),
      m_number(number),
      m_link(link),
      m_random(kSeed * static_cast<unsigned>(number + 1)) {}

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
  const auto& gateways = m_deployment.Gateways();
  while (!m_socket) {
    const Gateway& gateway =
        gateways[static_cast<std::size_t>(rand_r(&m_random)) % gateways.size()];
    if (gateway.name != m_failed) ConnectTo(gateway);
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
