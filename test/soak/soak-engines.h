#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "engine-standin.h"
#include "soak-config.h"
#include "standins/proxy.h"

namespace bluebellpass::test {

struct EngineNode {
  std::unique_ptr<EngineStandin> engine;
  std::unique_ptr<standin::Proxy> proxy;
  Address address;
  std::string service;
  std::string state = "ready";
  bool is_registered = false;
  std::int64_t report_number = 0;
  std::int64_t start_number = 0;
  Disturbances disturbances;  ///< of its network
};

/// The engines and what they write to the store.
class SoakEngines {
 public:
  SoakEngines(EventLoop& loop, StoreStandin& store) : m_loop(loop), m_store(store) {}

  /// Starts an engine and registers it.
  void Add(const std::string& service, const std::string& version,
           std::function<void(const SoakRun&)> on_run);
  EngineNode& At(std::size_t index) { return *m_nodes[index]; }
  std::size_t Count() const { return m_nodes.size(); }

  /// Writes the entry of an engine, with a higher number than before.
  void Register(EngineNode& node);
  /// Deletes the entry and restarts the engine with another id.
  void Restart(EngineNode& node, const std::string& id, const std::string& version);
  /// @return false if the engine has no entry or is draining already
  bool Drain(EngineNode& node);
  /// Writes all entries again after the store has lost changes, and deletes those of engines that
  /// are gone.
  void RegisterAll();

  /// @return when a draining engine has last said so; none if it is not draining
  std::optional<TimePoint> DrainingSince(const std::string& id) const;
  bool IsNetworkDisturbed(const std::string& id, TimePoint from, TimePoint to) const;

 private:
  EventLoop& m_loop;
  StoreStandin& m_store;
  std::vector<std::unique_ptr<EngineNode>> m_nodes;
  std::set<std::string> m_registered_ids;
  std::map<std::string, TimePoint> m_draining_since;  ///< by engine
};

}  // namespace bluebellpass::test
