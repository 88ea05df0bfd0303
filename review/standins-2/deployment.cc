#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

constexpr char kIp[] = "127.0.0.1";
constexpr Millis kHeartbeat{1'200};
constexpr Millis kStartTimeout{15'000};
constexpr Millis kCrashDuration{2'500};

std::uint64_t NowUnixMillis() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}

bool IsPeerGone(int fd) {
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::string EventText(int number) {
  return "id: " + std::to_string(number) + "\ndata: " + std::string(40, 'e') + "\n\n";
}

std::string Chunk(const std::string& bytes) {
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

}  // namespace

Engine::Engine(Store& store, Record& record, EngineOptions options)
    : m_store(store),
      m_record(record),
      m_options(std::move(options)),
      m_id(m_options.id),
      m_born(NowUnixMillis()),
      m_server(kIp, [this](int fd, const Message& request) { return Answer(fd, request); }) {
  Beat();
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(kHeartbeat);
      Beat();
    }
  }).detach();
}

void Engine::Beat() {
  const std::lock_guard lock(m_mutex);
  if (m_is_down) return;
  m_store.Put("servers", m_id,
              {{"service", m_options.service},
               {"addr", m_server.ListenAddress().Text()},
               {"zone", m_options.zone},
               {"version", "v1"},
               {"slots", m_options.slots},
               {"state", "ready"},
               {"cold_left_ms", 0},
               {"born", m_born},
               {"seq", ++m_sequence}});
}

void Engine::Crash() {
  std::unique_lock lock(m_mutex);
  m_record.Add("engine " + m_id + " crashes");
  m_is_down = true;
  lock.unlock();
  m_server.Crash(kCrashDuration);
  std::thread([this, old_id = m_id] {
    std::this_thread::sleep_for(kCrashDuration + Millis{100});
    {
      const std::lock_guard restart(m_mutex);
      m_id = m_options.id + "-" + std::to_string(++m_starts);
      m_born = NowUnixMillis();
      m_sequence = 0;
      m_is_down = false;
    }
    Beat();
    // The store removes an entry after three intervals of silence.
    std::this_thread::sleep_for(3 * kHeartbeat - kCrashDuration);
    m_store.Delete("servers", old_id);
  }).detach();
}

std::vector<Run> Engine::Runs() {
  const std::lock_guard lock(m_mutex);
  return m_runs;
}

bool Engine::Refuse(int fd, int status, const Message& request) {
  Message response = MakeResponse(status, "");
  response.fields.emplace_back("Request-Id", request.Field("Request-Id"));
  response.fields.emplace_back("Not-Run", "1");
  m_record.Add("engine " + m_id + " rejects " + request.Field("Request-Id") + " with " +
               std::to_string(status));
  return SendAll(fd, ToText(response));
}

bool Engine::Answer(int fd, const Message& request) {
  if (request.Has("Expect-Instance") && request.Field("Expect-Instance") != m_id)
    return Refuse(fd, 421, request);
  if (request.Field("Request-Id").empty()) return Refuse(fd, 400, request);
  std::unique_lock lock(m_mutex);
  if (m_running >= m_options.slots) {
    if (m_waiting >= m_options.queue) return Refuse(fd, 503, request);
    ++m_waiting;
    m_freed.wait(lock, [&] { return m_running < m_options.slots; });
    --m_waiting;
  }
  ++m_running;
  const TimePoint now = Clock::now();
  m_runs.push_back({request.Field("Request-Id"), m_id, request.Field("Tenant"), now});
  lock.unlock();
  m_record.Add("engine " + m_id + " runs " + request.Field("Request-Id") + " tenant '" +
               request.Field("Tenant") + "' tokens '" + request.Field("Token-Count") + "'");
  const bool is_open = Work(fd, request);
  lock.lock();
  --m_running;
  m_freed.notify_one();
  return is_open;
}

bool Engine::Work(int fd, const Message& request) {
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"Request-Id", request.Field("Request-Id")},
      {"Instance-Seal", m_options.id + "." + request.Field("Request-Id")}};
  if (m_options.events == 0) {
    std::this_thread::sleep_for(m_options.work);
    if (m_options.crashes && m_options.crashes(request)) {
      Crash();
      return false;
    }
    Message response = MakeResponse(200, std::string(m_options.body_bytes, 'b'));
    response.fields.insert(response.fields.end(), fields.begin(), fields.end());
    return SendAll(fd, ToText(response));
  }
  Message head;
  head.start_line = "HTTP/1.1 200 OK";
  head.fields = fields;
  head.fields.emplace_back("Content-Type", "text/event-stream");
  head.fields.emplace_back("Transfer-Encoding", "chunked");
  if (!SendAll(fd, ToText(head))) return false;
  for (int i = 1; i <= m_options.events; ++i) {
    std::this_thread::sleep_for(m_options.work / m_options.events);
    if (IsPeerGone(fd) || !SendAll(fd, Chunk(EventText(i)))) return false;
  }
  return SendAll(fd, "0\r\n\r\n");
}

Deployment::Deployment(const DeploymentOptions& options, Record& record)
    : m_options(options),
      m_record(record),
      m_store(kIp, static_cast<std::size_t>(options.gateways)) {
  m_store.Put("config", "main", options.config);
  m_gateways.resize(static_cast<std::size_t>(options.gateways));
  for (std::size_t i = 0; i < m_gateways.size(); ++i) {
    m_gateways[i].name = "edge-" + options.site.zone + "-" + std::to_string(i + 1);
    WriteSettings(i);
  }
}

void Deployment::KillAll() {
  for (std::size_t i = 0; i < m_gateways.size(); ++i) {
    Signal(i, SIGKILL);
    Reap(i);
  }
}

Engine& Deployment::AddEngine(EngineOptions options) {
  options.zone = m_options.site.zone;
  m_engines.push_back(std::make_unique<Engine>(m_store, m_record, std::move(options)));
  return *m_engines.back();
}

std::vector<Run> Deployment::Runs() {
  std::vector<Run> runs;
  for (const auto& engine : m_engines) {
    const std::vector<Run> part = engine->Runs();
    runs.insert(runs.end(), part.begin(), part.end());
  }
  std::sort(runs.begin(), runs.end(),
            [](const Run& a, const Run& b) { return a.started < b.started; });
  return runs;
}

void Deployment::WriteSettings(std::size_t index) {
  Gateway& gateway = m_gateways[index];
  const std::string ip = "127.0.0." + std::to_string(index + 11);
  gateway.front = {ip, FindFreePort(ip)};
  gateway.ready = {ip, FindFreePort(ip)};
  const Address control{ip, FindFreePort(ip)};
  const Address directory{ip, FindFreePort(ip)};
  const std::uint16_t first = FindFreePort(ip);
  const std::uint16_t last = FindFreePort(ip);
  gateway.settings_path = m_options.folder + "/" + gateway.name + ".yaml";
  std::ofstream file(gateway.settings_path);
  file << "node: " << gateway.name << "\nrole: gateway\nmachine_class: edge\n"
       << "serves: [edge, dir]\nip: " << ip << "\nzone: " << m_options.site.zone
       << "\nregion: " << m_options.site.region << "\nzones: {" << m_options.site.zone << ": "
       << m_options.site.region << "}\nlisten:\n  front: \"" << gateway.front.Text()
       << "\"\n  ready: \"" << gateway.ready.Text() << "\"\n  control: \"" << control.Text()
       << "\"\n  directory: \"" << directory.Text() << "\"\nport_range: [" << std::min(first, last)
       << ", " << std::max(first, last) << "]\nseeds: [\"" << control.Text()
       << "\"]\nbootstrap: true\nloss_counts: false\n"
       << m_options.site.text << "data_dir: null\ndiscovery: platform\nentry: dir\n"
       << "beat_ms: 1200\ntolerate: {machines: 2, zones: 0, regions: 0}\nplatform: {addr: \""
       << m_store.ListenAddress(index).Text()
       << "\", form: objects, writes_per_s: 400, reads_per_s: 2000, history_s: 20, "
          "value_bytes: 1048576, ttl_min_ms: 1000}\n";
}

void Deployment::Start(std::size_t index) {
  Gateway& gateway = m_gateways.at(index);
  m_record.Add("start " + gateway.name);
  const std::string log = m_options.folder + "/" + gateway.name + ".log";
  gateway.pid = fork();
  if (gateway.pid != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  if (chdir(m_options.root.c_str()) != 0) _exit(2);
  setenv("BLUEBELLPASS_CONFIG", gateway.settings_path.c_str(), 1);
  execl("target/bluebellpass", "target/bluebellpass", "gateway", nullptr);
  _exit(2);
}

bool Deployment::StartAll() {
  for (std::size_t i = 0; i < m_gateways.size(); ++i) {
    Start(i);
    if (!WaitUntilReady(i, kStartTimeout)) return false;
  }
  return true;
}

bool Deployment::WaitUntilReady(std::size_t index, Millis timeout) {
  const TimePoint end = Clock::now() + timeout;
  while (Clock::now() < end) {
    const Descriptor connection = Connect(m_gateways.at(index).ready, Millis{500});
    if (connection.IsOpen() &&
        SendAll(connection.Get(), "GET /api/readyz HTTP/1.1\r\nHost: platform\r\n\r\n")) {
      const auto response = MessageReader(connection.Get()).Read(Clock::now() + Millis{500});
      if (response && response->Status() == 200) return true;
    }
    std::this_thread::sleep_for(Millis{50});
  }
  m_record.Add(m_gateways.at(index).name + " does not become ready");
  return false;
}

void Deployment::Signal(std::size_t index, int signal) {
  const Gateway& gateway = m_gateways.at(index);
  if (gateway.pid <= 0) return;
  m_record.Add("signal " + std::to_string(signal) + " to " + gateway.name);
  kill(gateway.pid, signal);
}

void Deployment::Reap(std::size_t index) {
  Gateway& gateway = m_gateways.at(index);
  if (gateway.pid <= 0) return;
  waitpid(gateway.pid, nullptr, 0);
  gateway.pid = 0;
  m_record.Add(gateway.name + " has ended");
}

bool Deployment::IsRunning(std::size_t index) {
  Gateway& gateway = m_gateways.at(index);
  if (gateway.pid <= 0) return false;
  if (waitpid(gateway.pid, nullptr, WNOHANG) != gateway.pid) return true;
  gateway.pid = 0;
  m_record.Add(gateway.name + " has ended by itself");
  return false;
}

json MakeConfig(const json& routes, const json& services, const json& tenants) {
  return {{"version", 7},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", tenants}};
}

void RunCase(int argc, char** argv, int (*play)(const Arguments& arguments)) {
  if (argc != 4) std::exit(2);
  const char* trouble = std::getenv("TROUBLE");
  const int result =
      play({argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"});
  std::fflush(nullptr);
  std::_Exit(result);
}

}  // namespace review
