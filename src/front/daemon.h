#pragma once

#include <memory>

#include "bluebellpass/error.h"
#include "config/settings.h"

namespace bluebellpass {

/// The entry daemon. Creates and connects the tasks, and starts and stops them in order.
class Daemon {
 public:
  explicit Daemon(Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Runs until SIGTERM or SIGINT, then until all answers are delivered or the time for the
  /// graceful shutdown has passed.
  /// @return exit code: 0 after a graceful shutdown, 1 if the daemon could not start
  int Run();

 private:
  struct Components;

  Result<Ok> Start();
  void CheckSignals();
  void BeginStop();
  void StopIfIdle();
  void SetGauges();

  Settings m_settings;
  std::unique_ptr<Components> m_components;
};

}  // namespace bluebellpass
