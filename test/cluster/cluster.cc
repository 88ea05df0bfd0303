#include "cluster.h"

#include <csignal>
#include <fstream>
#include <stdexcept>

namespace bluebellpass::test {
namespace {

using nlohmann::json;

constexpr char kPeerKey[] = "a-key-for-tests-only";
constexpr Millis kMaxLoopWait{10};
constexpr Millis kStartTimeout{10'000};
// Longer than a daemon waits until a configuration change is confirmed and propagated (13 s).
constexpr Millis kCommandTimeout{20'000};

std::string BinaryFolder() { return BLUEBELLPASS_BINARY_DIR; }

Address LocalAddress() { return {"127.0.0.1", FindFreePort()}; }

/// Updates a response from one line of its body.
/// @param next_offset offset in the answer that the next data must have
void ParseAnswerLine(CallerResponse& response, std::size_t& next_offset, const std::string& line) {
  const json object = json::parse(line, nullptr, false);
  if (!object.is_object()) return;
  if (object.contains("offset")) {
    if (object["offset"].get<std::size_t>() != next_offset) response.has_gap = true;
    const std::string data = object.value("data", "");
    response.answer += data;
    next_offset += data.size();
  } else if (object.contains("outcome")) {
    response.outcome = object["outcome"].get<std::string>();
    response.error = object.value("error", "");
    if (response.outcome == "completed" && object.value("length", std::size_t{0}) != next_offset) {
      response.has_gap = true;
    }
  } else {
    response.resume_token = object.value("resume", "");
    response.backend = object.value("backend", "");
  }
}

}  // namespace

json EngineBody(const std::string& prompt, const std::string& tier, int max_tokens,
                int deadline_ms) {
  return {{"organisation", "oficina"}, {"tier", tier},
          {"pool", "assistant"},       {"deadline_ms", deadline_ms},
          {"max_tokens", max_tokens},  {"prompt", prompt}};
}

json BookingBody(const std::string& key, int deadline_ms) {
  return {{"organisation", "oficina"},
          {"tier", "urgent"},
          {"pool", "booking"},
          {"deadline_ms", deadline_ms},
          {"idempotent", false},
          {"idempotency_key", key},
          {"prompt", {{"school", "Escola " + key}}}};
}

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options)), m_log_folder(MakeLogFolder("bluebellpass-test")) {
  m_store = LocalAddress();
  m_store_process = Process({BinaryFolder() + "/standin-object-api", "--listen", m_store.Text()},
                            m_log_folder + "/object-api.log");
  for (const BackendGroup& group : m_options.backends) {
    for (int number = 1; number <= group.count; ++number) {
      auto backend = std::make_unique<BackendServer>();
      backend->group = group;
      backend->name = group.prefix + std::to_string(number);
      backend->address = LocalAddress();
      StartBackend(*backend);
      if (m_options.has_backend_proxies) {
        backend->proxy = StartProxy(backend->name, backend->address);
      }
      m_backends.push_back(std::move(backend));
    }
  }
  if (m_options.has_store_proxy) m_store_proxy = StartProxy("store", m_store);
  if (!WaitUntilListening(m_store, "/control/stats"))
    throw std::runtime_error("the object API stand-in did not start");
  WriteConfig();
  for (int number = 0; number < m_options.instances; ++number) {
    Instance instance;
    instance.name = "i" + std::to_string(number + 1);
    instance.address = LocalAddress();
    instance.peer = LocalAddress();
    if (m_options.has_peer_proxies) {
      instance.peer_proxy = StartProxy(instance.name + "-peer", instance.peer);
    }
    if (m_options.has_store_proxy_per_instance) {
      instance.store_proxy = StartProxy(instance.name + "-store", m_store);
    }
    m_instances.push_back(std::move(instance));
  }
  for (Instance& instance : m_instances) StartDaemon(instance);
  for (int number = 0; number < m_options.instances; ++number) {
    if (!WaitUntilReady(number)) throw std::runtime_error("not ready: " + InstanceName(number));
  }
}

Cluster::~Cluster() {
  // The destructors of the processes send SIGKILL, which also ends processes paused by SIGSTOP.
  m_calls.clear();
}

bool Cluster::RunUntil(const std::function<bool()>& condition, Millis timeout) {
  const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    m_loop.RunOnce(kMaxLoopWait);
  }
  return true;
}

void Cluster::RunFor(Millis time) {
  RunUntil([] { return false; }, time);
}

std::unique_ptr<Cluster::Proxy> Cluster::StartProxy(const std::string& name,
                                                    const Address& target) {
  auto proxy = std::make_unique<Proxy>();
  proxy->address = LocalAddress();
  proxy->control = LocalAddress();
  proxy->process = Process({BinaryFolder() + "/standin-proxy", "--listen", proxy->address.Text(),
                            "--target", target.Text(), "--control", proxy->control.Text()},
                           m_log_folder + "/proxy-" + name + ".log");
  if (!WaitUntilListening(proxy->control, "/")) throw std::runtime_error("a proxy did not start");
  return proxy;
}

bool Cluster::WaitUntilListening(const Address& address, const std::string& path) {
  return RunUntil([&] { return Call(address, "GET", path).has_value(); }, kStartTimeout);
}

void Cluster::StartBackend(BackendServer& backend) {
  std::vector<std::string> command = {BinaryFolder() + "/standin-" + backend.group.kind, "--listen",
                                      backend.address.Text()};
  command.insert(command.end(), backend.group.flags.begin(), backend.group.flags.end());
  backend.process = Process(std::move(command), m_log_folder + "/" + backend.name + ".log");
}

std::string Cluster::DataCentreName(int number) const {
  return "dc" + std::to_string(number % m_options.data_centres + 1);
}

void Cluster::WriteConfig() {
  json config = {
      {"tiers",
       {{{"name", "urgent"}, {"rank", 0}},
        {{"name", "normal"}, {"rank", 1}, {"share", 0.1}},
        {{"name", "batch"}, {"rank", 2}, {"share", 0.1}}}},
      {"organisations",
       {{{"name", "oficina"}}, {{"name", "grande"}}, {{"name", "taller"}}, {{"name", "distrib"}}}},
      {"backend_servers", json::array()}};
  int number = 0;
  for (const auto& backend : m_backends) {
    const Address& address = backend->proxy ? backend->proxy->address : backend->address;
    config["backend_servers"].push_back({{"name", backend->name},
                                         {"kind", backend->group.kind},
                                         {"address", address.Text()},
                                         {"pool", backend->group.pool},
                                         {"data_centre", DataCentreName(number++)},
                                         {"region", "region1"},
                                         {"slots", backend->group.slots}});
    config["backend_servers"].back().merge_patch(backend->group.config);
  }
  config.merge_patch(m_options.extra_config);
  HttpClientRequest request;
  request.address = m_store;
  request.method = "PUT";
  request.path = "/objects/config/main";
  request.headers = {{"if-none-match", "*"}};
  request.body = config.dump();
  bool is_done = false;
  m_client.Fetch(std::move(request), [&](const Result<HttpResponse>&) { is_done = true; });
  RunUntil([&] { return is_done; });
}

void Cluster::StartDaemon(Instance& instance) {
  const int number = std::stoi(instance.name.substr(1)) - 1;
  const Proxy* store_proxy =
      instance.store_proxy ? instance.store_proxy.get() : m_store_proxy.get();
  const Address& store = store_proxy != nullptr ? store_proxy->address : m_store;
  const Address& peer = instance.peer_proxy ? instance.peer_proxy->address : instance.peer;
  const std::string& custom_binary = m_options.daemon_binary;
  std::vector<std::string> command = {
      custom_binary.empty() ? BinaryFolder() + "/bluebellpass" : custom_binary,
      "serve",
      "--instance",
      instance.name,
      "--data-centre",
      DataCentreName(number),
      "--region",
      "region1",
      "--listen",
      instance.address.Text(),
      "--peer-listen",
      instance.peer.Text(),
      "--peer-advertise",
      peer.Text(),
      "--object-api",
      store.Text(),
      "--peer-key",
      kPeerKey,
      "--log-level",
      m_options.log_level};
  for (const Instance& other : m_instances) {
    if (other.name == instance.name) continue;
    command.emplace_back("--seed");
    command.push_back((other.peer_proxy ? other.peer_proxy->address : other.peer).Text());
  }
  command.insert(command.end(), m_options.daemon_flags.begin(), m_options.daemon_flags.end());
  instance.last_event = 0;
  instance.process = Process(std::move(command), m_log_folder + "/" + instance.name + ".log");
}

void Cluster::Restart(int instance) {
  Timeline();
  Instance& target = m_instances[Index(instance)];
  target.process.Kill();
  StartDaemon(target);
}

bool Cluster::WaitUntilReady(int instance, Millis timeout) {
  return RunUntil([&] { return CountKnownMembers(instance) >= 1; }, timeout);
}

std::size_t Cluster::CountKnownMembers(int instance) {
  const auto reply = Call(CallerAddress(instance), "GET", "/healthz", "", Millis{500});
  if (!reply || reply->status != 200) return 0;
  return json::parse(reply->body, nullptr, false).value("members", std::size_t{0});
}

bool Cluster::WaitForMembers(Millis timeout) {
  const auto all_members_known = [&] {
    for (int number = 0; number < m_options.instances; ++number) {
      if (CountKnownMembers(number) < m_instances.size()) return false;
    }
    return true;
  };
  return RunUntil(all_members_known, timeout);
}

std::optional<HttpResponse> Cluster::Call(const Address& address, const std::string& method,
                                          const std::string& path, const std::string& body,
                                          Millis timeout) {
  HttpClientRequest request;
  request.address = address;
  request.method = method;
  request.path = path;
  request.body = body;
  request.connect_timeout = timeout;
  request.idle_timeout = timeout;
  auto result = std::make_shared<std::optional<Result<HttpResponse>>>();
  m_client.Fetch(std::move(request),
                 [result](Result<HttpResponse> reply) { *result = std::move(reply); });
  RunUntil([&] { return result->has_value(); }, timeout);
  if (!result->has_value() || !IsOk(**result)) return std::nullopt;
  return std::get<HttpResponse>(**result);
}

std::string Cluster::NewId(int instance) {
  const auto reply = Call(CallerAddress(instance), "GET", "/v1/instances");
  if (!reply) return {};
  const json list = json::parse(reply->body, nullptr, false);
  for (const json& row : list.value("instances", json::array())) {
    if (row["id"] == InstanceName(instance)) {
      return row["ticket"].get<std::string>() + ".n" + std::to_string(m_next_nonce++);
    }
  }
  return {};
}

std::shared_ptr<CallerResponse> Cluster::StartCall(HttpClientRequest request, std::size_t offset) {
  auto response = std::make_shared<CallerResponse>();
  auto partial_line = std::make_shared<std::string>();
  auto next_offset = std::make_shared<std::size_t>(offset);
  request.idle_timeout = Millis{120'000};
  HttpCallHandlers handlers;
  handlers.on_head = [response](int status, const HttpHeaders& headers) {
    response->status = status;
    const auto id = headers.find("bluebellpass-request-id");
    if (id != headers.end()) response->id = id->second;
  };
  handlers.on_data = [response, partial_line, next_offset](std::string_view bytes) {
    partial_line->append(bytes);
    for (std::size_t end = partial_line->find('\n'); end != std::string::npos;
         end = partial_line->find('\n')) {
      ParseAnswerLine(*response, *next_offset, partial_line->substr(0, end));
      partial_line->erase(0, end + 1);
    }
  };
  handlers.on_end = [response](HttpCallResult /*end*/, const std::string& /*message*/) {
    response->is_done = true;
  };
  m_calls[response] = m_client.StartCall(std::move(request), std::move(handlers));
  return response;
}

std::shared_ptr<CallerResponse> Cluster::Submit(int instance, const json& body,
                                                const std::string& id) {
  HttpClientRequest request;
  request.address = CallerAddress(instance);
  request.method = "POST";
  request.path = "/v1/requests";
  if (!id.empty()) request.headers["bluebellpass-request-id"] = id;
  request.body = body.dump();
  auto response = StartCall(std::move(request), 0);
  response->id = id;
  return response;
}

std::shared_ptr<CallerResponse> Cluster::Fetch(int instance, const std::string& id,
                                               std::size_t offset) {
  HttpClientRequest request;
  request.address = CallerAddress(instance);
  request.path = "/v1/requests/" + id + "?offset=" + std::to_string(offset);
  auto response = StartCall(std::move(request), offset);
  response->id = id;
  return response;
}

std::shared_ptr<CallerResponse> Cluster::Resume(int instance, const std::string& token,
                                                std::size_t offset) {
  HttpClientRequest request;
  request.address = CallerAddress(instance);
  request.path = "/v1/resume?token=" + token + "&offset=" + std::to_string(offset);
  return StartCall(std::move(request), offset);
}

void Cluster::Disconnect(const std::shared_ptr<CallerResponse>& response) {
  m_calls.erase(response);
  response->is_done = true;
}

json Cluster::RunCommand(int instance, const std::string& text) {
  const auto reply = Call(CallerAddress(instance), "POST", "/v1/command", text, Millis{10'000});
  if (!reply) return nullptr;
  return json::parse(reply->body, nullptr, false);
}

std::shared_ptr<std::optional<json>> Cluster::StartCommand(int instance, const std::string& text) {
  HttpClientRequest request;
  request.address = CallerAddress(instance);
  request.method = "POST";
  request.path = "/v1/command";
  request.body = text;
  request.idle_timeout = kCommandTimeout;
  auto answer = std::make_shared<std::optional<json>>();
  m_client.Fetch(std::move(request), [answer](const Result<HttpResponse>& reply) {
    if (IsOk(reply)) {
      *answer = json::parse(std::get<HttpResponse>(reply).body, nullptr, false);
    } else {
      *answer = json();
    }
  });
  return answer;
}

int Cluster::OwnerOf(const std::string& pool) {
  std::string owner;
  for (const TimelineEvent& event : Timeline()) {
    if (event.name != "owner_taken") continue;
    if (json::parse(event.json).value("pool", "") == pool) owner = event.instance;
  }
  for (std::size_t i = 0; i < m_instances.size(); ++i) {
    if (m_instances[i].name == owner) return static_cast<int>(i);
  }
  return -1;
}

Cluster::BackendServer& Cluster::FindBackend(const std::string& name) {
  for (const auto& backend : m_backends) {
    if (backend->name == name) return *backend;
  }
  throw std::runtime_error("unknown backend server " + name);
}

Process& Cluster::Backend(const std::string& name) { return FindBackend(name).process; }

void Cluster::RestartBackend(const std::string& name) {
  BackendServer& backend = FindBackend(name);
  ReadExecutions(backend);
  for (const auto& [key, execution] : backend.executions)
    backend.earlier_executions.push_back(execution);
  backend.executions.clear();
  backend.process.Kill();
  StartBackend(backend);
  WaitUntilListening(backend.address, "/control/executions");
}

void Cluster::SendControl(const Address& address, const json& command) {
  const auto reply = Call(address, "POST", "/control", command.dump());
  if (!reply || reply->status != 200)
    throw std::runtime_error("the stand-in rejected or did not answer the control call " +
                             command.dump());
}

void Cluster::ControlStore(const json& command) { SendControl(m_store, command); }

void Cluster::ControlBackend(const std::string& name, const json& command) {
  BackendServer& backend = FindBackend(name);
  // The other fault of a pair may have killed it; a new process starts without faults.
  if (backend.process.IsRunning()) SendControl(backend.address, command);
}

void Cluster::ControlBackendProxy(const std::string& name, const json& command) {
  SendControl(FindBackend(name).proxy->control, command);
}

void Cluster::ControlStoreProxy(const json& command) {
  SendControl(m_store_proxy->control, command);
}

void Cluster::ControlInstanceStoreProxy(int instance, const json& command) {
  SendControl(m_instances[Index(instance)].store_proxy->control, command);
}

void Cluster::ControlPeerProxy(int instance, const json& command) {
  SendControl(m_instances[Index(instance)].peer_proxy->control, command);
}

std::vector<std::string> Cluster::BackendNames(const std::string& pool) const {
  std::vector<std::string> names;
  for (const auto& backend : m_backends) {
    if (backend->group.pool == pool) names.push_back(backend->name);
  }
  return names;
}

void Cluster::ReadExecutions(BackendServer& backend) {
  const auto reply = Call(backend.address, "GET", "/control/executions", "", Millis{1'000});
  if (!reply) return;
  const json list = json::parse(reply->body, nullptr, false);
  if (!list.is_array()) return;
  std::size_t number = 0;
  for (const json& row : list) {
    Execution execution{backend.name, row.value("request_id", ""), row.value("key", ""),
                        row.value("started_ms", std::int64_t{0})};
    execution.ended_ms = row.value("ended_ms", std::int64_t{0});
    execution.input_tokens = row.value("input_tokens", std::int64_t{0});
    execution.cached_tokens = row.value("cached_tokens", std::int64_t{0});
    execution.output_tokens = row.value("output_tokens", std::int64_t{0});
    execution.is_cancelled = row.value("state", "") == "cancelled";
    backend.executions[std::to_string(number++)] = execution;
  }
}

std::vector<Execution> Cluster::Executions() {
  std::vector<Execution> all;
  for (const auto& backend : m_backends) {
    if (backend->process.IsRunning()) ReadExecutions(*backend);
    all.insert(all.end(), backend->earlier_executions.begin(), backend->earlier_executions.end());
    for (const auto& [key, execution] : backend->executions) all.push_back(execution);
  }
  return all;
}

std::vector<std::uint64_t> Cluster::StoreVersions(const std::string& key) {
  std::vector<std::uint64_t> versions;
  const auto reply = Call(m_store, "GET", "/control/log");
  if (!reply) return versions;
  for (const json& row : json::parse(reply->body, nullptr, false)) {
    if (row.value("key", "") == key) versions.push_back(row.value("version", std::uint64_t{0}));
  }
  return versions;
}

std::vector<TimelineEvent> Cluster::Timeline() {
  for (Instance& instance : m_instances) {
    while (instance.process.IsRunning()) {
      const auto reply =
          Call(instance.address, "GET", "/v1/events?after=" + std::to_string(instance.last_event),
               "", Millis{500});
      if (!reply) break;
      std::vector<TimelineEvent> new_events = ParseEvents(reply->body);
      if (new_events.empty()) break;
      instance.last_event = new_events.back().number;
      m_events.insert(m_events.end(), new_events.begin(), new_events.end());
    }
  }
  SortTimeline(m_events);
  return m_events;
}

bool Cluster::HasEvent(const std::string& name, const std::string& request) {
  for (const TimelineEvent& event : Timeline()) {
    if (event.name == name && event.request == request) return true;
  }
  return false;
}

}  // namespace bluebellpass::test
