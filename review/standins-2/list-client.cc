#include "list-client.h"

#include <thread>

namespace review {
namespace {

using nlohmann::json;

// Those of an ordinary network; the loopback interface has segments of 64 KiB.
constexpr SocketOptions kSocketOptions{64 << 10, 1'448};

json MakeRoute(const char* name, const char* prefix, const char* type, const char* service,
               Millis timeout) {
  return {{"name", name},
          {"host", "liga.example"},
          {"path_prefix", prefix},
          {"type", type},
          {"service", service},
          {"attempts", 1},
          {"timeout_ms", timeout.count()},
          {"goal_ms", 150},
          {"public", true}};
}

std::string MakeRequest(const std::string& start, const std::string& id, Millis deadline,
                        const std::string& body) {
  return start + " HTTP/1.1\r\nHost: liga.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadline.count()) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

json MakeListConfig(Millis list_timeout) {
  const json routes = {
      MakeRoute("r-commit", "/commit/", "mutating", "secretaria", list_timeout),
      MakeRoute("r-standings", "/standings/", "idempotent", "tabelas", Millis{800})};
  const json services = {{{"name", "secretaria"}, {"health_path", "/healthz"}, {"max_conns", 110}},
                         {{"name", "tabelas"}, {"health_path", "/healthz"}, {"max_conns", 110}}};
  return MakeConfig(routes, services, json::array());
}

void AddListEngines(Deployment& deployment, std::size_t body_bytes) {
  EngineOptions desk{"i-desk-1", "secretaria", 6, 24, Millis{30}};
  desk.body_bytes = body_bytes;
  deployment.AddEngine(desk);
  deployment.AddEngine({"i-lookup-1", "tabelas", 6, 24, Millis{10}});
}

bool FetchList(Deployment& deployment, std::size_t gateway, const std::string& id,
               const ListOptions& options) {
  const Descriptor connection = Connect(deployment.Front(gateway), Millis{1'000}, kSocketOptions);
  if (!connection.IsOpen()) return false;
  MessageReader reader(connection.Get());
  if (!SendAll(connection.Get(),
               MakeRequest("GET /standings/table", "standings-" + id, Millis{1'500}, "")) ||
      !reader.Read(Clock::now() + Millis{1'500}))
    return false;
  const TimePoint sent = Clock::now();
  if (!SendAll(connection.Get(),
               MakeRequest("POST /commit/squad", id, options.deadline, "{\"round\":\"14\"}")))
    return false;
  deployment.Log().Add("client sends " + id);
  reader.SetBytesPerSecond(options.bytes_per_second);
  const auto response = reader.Read(sent + options.deadline);
  deployment.Log().Add("client has " + std::to_string(reader.BodyBytes()) + " of " +
                       std::to_string(options.body_bytes) + " bytes for " + id + ", status " +
                       (response ? std::to_string(response->Status()) : "none") +
                       ", connection: " + reader.End());
  return response && response->Status() == 200 && response->body.size() == options.body_bytes;
}

std::size_t FetchLists(Deployment& deployment, std::size_t clients, const ListOptions& options,
                       const std::function<void()>& after_a_second) {
  std::atomic<std::size_t> cut_off = 0;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < clients; ++i)
    threads.emplace_back([&, i] {
      if (!FetchList(deployment, 0, "lista" + std::to_string(i), options)) ++cut_off;
    });
  std::this_thread::sleep_for(Millis{1'000});
  if (after_a_second) after_a_second();
  for (std::thread& thread : threads) thread.join();
  return cut_off;
}

}  // namespace review
