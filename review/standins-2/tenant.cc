#include "tenant.h"

#include <algorithm>
#include <cstdlib>

namespace review {
namespace {

using nlohmann::json;

// A long summary of the users' sheet.
constexpr int kPromptTokens = 6'610;
constexpr int kOutputTokens = 380;
constexpr int kTokens = kPromptTokens + kOutputTokens;
constexpr Millis kDeadline{15'000};
// Four times the objective: how long clients wait for the first event of a stream.
constexpr Millis kPatience{3'200};
constexpr char kKey[] = "i9n73hh2b9wu3fexd9dn";

}  // namespace

Tenant::Tenant(Deployment& deployment, Quota quota) : m_deployment(deployment), m_quota(quota) {}

json Tenant::MakeTenantConfig(const Quota& quota) {
  const json route = {{"name", "r-diagnostico"},
                      {"host", "cau.example"},
                      {"path_prefix", "/diagnostico/"},
                      {"type", "stream"},
                      {"service", "modelo-asistente"},
                      {"attempts", 1},
                      {"timeout_ms", 15000},
                      {"goal_ms", 800},
                      {"priority", 0},
                      {"public", false},
                      {"sticky", true},
                      {"resumable", false},
                      {"gap_aim_ms", 200}};
  const json service = {{"name", "modelo-asistente"},
                        {"health_path", "/healthz"},
                        {"max_conns", 290},
                        {"engine", {{"slots", 10}, {"kv_capacity", 705997}, {"stride", 5}}}};
  const json lookup_route = {
      {"name", "r-consulta"}, {"host", "cau.example"},    {"path_prefix", "/consulta/"},
      {"type", "idempotent"}, {"service", "pedidos-app"}, {"attempts", 2},
      {"timeout_ms", 800},    {"goal_ms", 150},           {"priority", 2},
      {"public", true}};
  const json desk = {{"name", "pedidos-app"}, {"health_path", "/healthz"}, {"max_conns", 110}};
  const json tenant = {{"name", "quito"},
                       {"api_keys", {kKey}},
                       {"unit", "tokens"},
                       {"plain_tokens", 200},
                       {"rate_per_s", quota.rate_per_s},
                       {"burst", quota.burst}};
  return MakeConfig(json::array({route, lookup_route}), json::array({service, desk}),
                    json::array({tenant}));
}

std::string Tenant::NextRequest(std::string& id) {
  const std::lock_guard lock(m_mutex);
  id = "falla" + std::to_string(m_sent.size());
  m_sent[id] = Clock::now();
  const std::string body = "{\"falla\":\"" + id + "\"}";
  return "POST /diagnostico/falla HTTP/1.1\r\nHost: cau.example\r\nRequest-Id: " + id +
         "\r\nModel: m\r\nToken-Count: " + std::to_string(kPromptTokens) + "," +
         std::to_string(kOutputTokens) + "\r\nPrefix-Hash: 5c1e07a2:60," + id.substr(5) +
         "f:6550\r\nDeadline-Ms: " + std::to_string(kDeadline.count()) + "\r\nCredential: " + kKey +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<Message> Tenant::Exchange(int fd) {
  std::string id;
  const std::string request = NextRequest(id);
  m_deployment.Log().Add("client sends " + id);
  if (!SendAll(fd, request)) return std::nullopt;
  MessageReader reader(fd);
  auto response = reader.Read(Clock::now() + kPatience);
  m_deployment.Log().Add("client has for " + id + " status " +
                         (response ? std::to_string(response->Status()) : "none") +
                         ", connection: " + reader.End());
  return response;
}

void Tenant::Open(std::size_t gateway, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    Descriptor connection = Connect(m_deployment.Front(gateway), Millis{1'000});
    const std::string id = "consulta" + std::to_string(gateway) + "-" + std::to_string(i);
    const std::string request =
        "GET /consulta/stock HTTP/1.1\r\nHost: cau.example\r\nRequest-Id: " + id +
        "\r\nDeadline-Ms: 1500\r\n\r\n";
    if (!connection.IsOpen() || !SendAll(connection.Get(), request) ||
        !MessageReader(connection.Get()).Read(Clock::now() + Millis{1'500}))
      continue;
    m_connections[gateway].push_back(std::move(connection));
  }
}

void Tenant::Send(std::size_t gateway) {
  for (const Descriptor& connection : m_connections[gateway])
    m_clients.emplace_back([this, fd = connection.Get()] { Exchange(fd); });
}

void Tenant::SendInTurn(std::size_t gateway, TimePoint until) {
  const Descriptor connection = Connect(m_deployment.Front(gateway), Millis{1'000});
  while (connection.IsOpen() && Clock::now() < until) {
    const auto response = Exchange(connection.Get());
    if (!response) return;
    const double pause_s = std::atof(response->Field("Retry-After").c_str());
    std::this_thread::sleep_for(std::chrono::duration<double>(pause_s));
  }
}

void Tenant::Join() {
  for (std::thread& client : m_clients) client.join();
  m_clients.clear();
}

double Tenant::MostTokensInWindow() {
  const std::lock_guard lock(m_mutex);
  const std::vector<Run> runs = m_deployment.Runs();
  const auto window =
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(m_quota.window_s));
  double most = 0;
  // A window that holds as many as any other begins when a request is sent.
  for (const auto& [first, begin] : m_sent) {
    double tokens = 0;
    for (const Run& run : runs) {
      const auto sent = m_sent.find(run.request_id);
      if (sent != m_sent.end() && sent->second >= begin && run.started < begin + window)
        tokens += kTokens;
    }
    most = std::max(most, tokens);
  }
  return most;
}

}  // namespace review
