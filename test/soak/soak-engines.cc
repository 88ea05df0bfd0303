#include "soak-engines.h"

#include <algorithm>

#include "platform/names.h"

namespace bluebellpass::test {
namespace {

namespace names = platform::names;

// Unix milliseconds.
constexpr std::int64_t kFirstStart = 1'700'000'000'000;

}  // namespace

void SoakEngines::Add(const std::string& service, const std::string& version,
                      std::function<void(const SoakRun&)> on_run) {
  auto node = std::make_unique<EngineNode>();
  node->service = service;
  node->engine = std::make_unique<EngineStandin>(
      m_loop, "e" + std::to_string(m_nodes.size()) + "-0", kEngineSlots, std::move(on_run));
  node->engine->SetVersion(version);
  node->proxy = std::make_unique<standin::Proxy>(m_loop, node->engine->Listen());
  node->address = std::get<Address>(node->proxy->Listen({"127.0.0.1", 0}));
  m_nodes.push_back(std::move(node));
  Register(*m_nodes.back());
}

void SoakEngines::Register(EngineNode& node) {
  node.is_registered = true;
  m_registered_ids.insert(node.engine->Id());
  m_store.Put(names::kBackendKind, node.engine->Id(),
              {{"service", node.service},
               {"addr", node.address.Text()},
               {"zone", "z"},
               {"slots", kEngineSlots},
               {"state", node.state},
               {"version", node.engine->Version()},
               {"seq", ++node.report_number},
               {"born", kFirstStart + node.start_number}});
}

void SoakEngines::Restart(EngineNode& node, const std::string& id, const std::string& version) {
  m_store.Delete(names::kBackendKind, node.engine->Id());
  node.is_registered = false;
  node.state = "ready";
  ++node.start_number;
  node.engine->SetVersion(version);
  node.engine->Restart(id);
}

bool SoakEngines::Drain(EngineNode& node) {
  if (!node.is_registered || node.state == "draining") return false;
  node.state = "draining";
  m_draining_since[node.engine->Id()] = m_loop.Now();
  Register(node);
  return true;
}

void SoakEngines::RegisterAll() {
  std::set<std::string> current_ids;
  for (const auto& node : m_nodes) {
    if (!node->is_registered) continue;
    current_ids.insert(node->engine->Id());
    if (node->state == "draining") m_draining_since[node->engine->Id()] = m_loop.Now();
    Register(*node);
  }
  // The platform deletes entries whose engines do not report.
  for (const std::string& id : m_registered_ids)
    if (!current_ids.contains(id)) m_store.Delete(names::kBackendKind, id);
}

std::optional<TimePoint> SoakEngines::DrainingSince(const std::string& id) const {
  const auto found = m_draining_since.find(id);
  if (found == m_draining_since.end()) return {};
  return found->second;
}

bool SoakEngines::IsNetworkDisturbed(const std::string& id, TimePoint from, TimePoint to) const {
  const auto found = std::find_if(m_nodes.begin(), m_nodes.end(),
                                  [&id](const auto& node) { return node->engine->Id() == id; });
  return found != m_nodes.end() && (*found)->disturbances.IsAnyBetween(from, to);
}

}  // namespace bluebellpass::test
