#include "routing-state.h"

#include <utility>

namespace bluebellpass::gateway {

bool RoutingState::SetConfig(Config config) {
  if (m_table && config.version < m_table->Version()) return false;
  m_table = std::make_shared<const RoutingTable>(std::move(config));
  return true;
}

void RoutingState::ConfirmConfig(BootTime at) {
  m_config_confirmed_at = std::max(m_config_confirmed_at, at);
  if (!m_table) return;
  const auto callbacks = std::exchange(m_ready_callbacks, {});
  for (const auto& callback : callbacks) callback();
}

const Backend* RoutingState::FindBackend(const BackendId& id) const {
  const auto found = m_backends.find(id);
  return found == m_backends.end() ? nullptr : &found->second;
}

}  // namespace bluebellpass::gateway
