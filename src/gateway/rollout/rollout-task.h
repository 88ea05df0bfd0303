#pragma once

#include <functional>
#include <memory>
#include <string>

#include "bluebellpass/gateway/store-client.h"
#include "bluebellpass/timer.h"
#include "gateway/protocol.h"
#include "rollout-controller.h"

namespace bluebellpass::gateway {

/// Connects the roll-out controller to the store: passes on entries as they are read, and writes
/// the statuses that the controller asks for. Logs what changes.
class RolloutTask {
 public:
  /// @param on_change called after a change that affects which requests may be granted
  RolloutTask(TimerService& timers, StoreClient& store, const Protocol& protocol,
              RolloutController& controller, std::function<void()> on_change);
  ~RolloutTask() { *m_alive = false; }
  RolloutTask(const RolloutTask&) = delete;
  RolloutTask& operator=(const RolloutTask&) = delete;

  /// Handles a new, changed or deleted entry.
  void OnObject(const StoredObject& object);
  /// Logs changes and starts the writes that are due. To be called after each decision; while an
  /// order is running, the task does so by itself.
  void Update();

 private:
  void Reject(const std::string& name, const std::string& reason);
  void Write(const RolloutStatusWrite& write);
  void LogChanges();

  TimerService& m_timers;
  StoreClient& m_store;
  const Protocol& m_protocol;
  RolloutController& m_controller;
  std::function<void()> m_on_change;
  Timer m_timer;
  bool m_is_timer_running = false;
  /// False after destruction; callbacks check it before they use this object.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass::gateway
