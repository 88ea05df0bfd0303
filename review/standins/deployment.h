#pragma once

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "store.h"

namespace bluebellpass::review {

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitCannotRun = 2;

/// The bounds of a small deployment, as in its settings files.
constexpr int kDrainMs = 2'000;
constexpr int kConfigMs = 2'000;
constexpr int kGraceS = 8;
constexpr int kLostMs = 200;
constexpr int kQuotaWindowS = 8;
constexpr double kQuotaOver = 0.1;
constexpr double kQuotaSlack = 140'000;

/// Writes what happens to record.txt, with the time since the start of the case.
class Journal {
 public:
  explicit Journal(const std::string& path);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  void Write(const std::string& line);
  double Seconds(Clock::time_point at) const;
  Clock::time_point Start() const { return m_start; }

 private:
  std::mutex m_mutex;
  Clock::time_point m_start = Clock::now();
  std::FILE* m_file;
};

/// What an engine was asked to run.
struct EngineRun {
  Clock::time_point at;
  std::string request;
  std::string path;
  std::string tenant;
  double tokens = 0;
};

/// A sound engine: answers each request after a fixed time, with its id and seal. It crashes when
/// it begins to run a certain request, and starts again under a new id.
class Engine {
 public:
  struct Options {
    std::string service;
    int slots = 6;
    Millis work{20};
    std::size_t body_bytes = 800;
    std::string crashing_target;  ///< path and query of the request that crashes it, if any
    Millis down_time{2'500};
  };
  Engine(Store& store, Journal& journal, const std::string& ip, int port, const std::string& id,
         const Options& options, std::function<void(const EngineRun&)> on_run);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  /// Reports that the engine drains. It goes on serving.
  void Drain();

 private:
  void StartServer();
  void Register(const std::string& state);
  bool Handle(const HttpMessage& request, const Socket& socket);
  /// Ends the server after a crash and starts it again.
  void Supervise();
  std::string Id() const;

  Store& m_store;
  std::int64_t m_born = 0;  ///< Unix milliseconds of the start
  Journal& m_journal;
  std::string m_ip;
  int m_port;
  std::string m_name;
  Options m_options;
  std::function<void(const EngineRun&)> m_on_run;
  std::atomic<int> m_start{0};
  std::atomic<int> m_running{0};
  std::atomic<bool> m_has_crashed{false};
  std::atomic<bool> m_is_stopping{false};
  std::unique_ptr<HttpServer> m_server;
  std::thread m_supervisor;
};

/// A `bluebellpass gateway` process with its addresses.
struct Gateway {
  std::string name;
  std::string ip;
  pid_t process = -1;
};

/// The gateways of a small deployment, started with the command of the deploy file.
class Deployment {
 public:
  /// @param folder for settings files and logs
  Deployment(Journal& journal, std::string folder, int gateways);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Store& PlatformStore() { return *m_store; }
  const std::vector<Gateway>& Gateways() const { return m_gateways; }
  int FrontPort() const { return m_ports; }
  std::string EngineIp() const { return "127.81.0.2"; }
  int EnginePort(int index) const { return m_ports + index; }

  /// Starts all gateways and waits until each of them is ready.
  bool Start();
  bool IsReady(const Gateway& gateway) const;
  /// @return the value of a metric without labels, or nullopt
  std::optional<double> Metric(const Gateway& gateway, const std::string& name) const;
  /// @return the answer of a gateway's directory, or an empty string
  std::string Resolve(const Gateway& gateway) const;
  void Signal(const Gateway& gateway, int number);
  /// Kills a gateway.
  void Kill(std::size_t index);
  /// Starts a gateway that was killed.
  void Restart(std::size_t index) { Launch(m_gateways[index]); }

 private:
  void Launch(Gateway& gateway);
  std::string Get(const Gateway& gateway, int port, const std::string& path) const;

  Journal& m_journal;
  std::string m_folder;
  std::vector<Gateway> m_gateways;
  int m_ports = 0;
  std::unique_ptr<Store> m_store;
};

/// A request of a client and what came of it.
struct Exchange {
  std::string id;
  std::string gateway;
  Clock::time_point sent;
  ReadResult result = ReadResult::kTimeout;
  bool was_sent = false;
  HttpMessage response;
};

/// A client with one kept connection. After a failure it turns to another gateway.
class Client {
 public:
  Client(const Deployment& deployment, int number, const LinkOptions& link = {});

  /// Makes the client ask for the addresses to connect to, nearest daemon first. Otherwise it knows
  /// those of all gateways.
  /// @param nearest index of the gateway that it asks first
  void UseDirectory(std::size_t nearest);
  /// Connects to a gateway.
  /// @return false if no connection could be established
  bool ConnectTo(const Gateway& gateway);
  /// Sends a request on the kept connection, or on a new one to a gateway drawn at random.
  Exchange Send(const std::string& method, const std::string& path,
                std::vector<std::pair<std::string, std::string>> fields, Millis deadline);

 private:
  const Gateway* ChooseGateway();
  void UpdateAddresses();

  const Deployment& m_deployment;
  int m_number;
  LinkOptions m_link;
  int m_count = 0;
  unsigned m_random;
  std::string m_gateway;
  std::string m_failed;
  std::optional<std::size_t> m_nearest;
  std::vector<std::string> m_addresses;  ///< of the last answer of a directory
  Clock::time_point m_addresses_until;
  std::unique_ptr<Socket> m_socket;
  std::unique_ptr<MessageReader> m_reader;
};

/// @return whether the disruption is to happen; TROUBLE=0 in the environment turns it off
bool HasTrouble();

/// @return a configuration with a service "balcao", a route "/lookup/" of type idempotent and a
/// tenant with the key "key-a"
nlohmann::json MakeConfig(int version, double rate_per_s, double burst);

std::string Describe(ReadResult result);

}  // namespace bluebellpass::review
