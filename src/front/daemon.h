#pragma once

#include <memory>

#include "bluebellpass/error.h"
#include "config/settings.h"

namespace bluebellpass {

/// The entry daemon: makes the tasks, connects them and sees to an orderly start and end.
class Daemon {
 public:
  explicit Daemon(Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Runs until a stop is requested by SIGTERM or SIGINT and all answers are delivered.
  /// @return exit code: 0 after a graceful shutdown, 1 when the daemon could not start
  int Run();

 private:
  struct Parts;

  Result<Ok> Start();
  void CheckSignal();
  void BeginStop();
  void CheckIdle();
  void SetGauges();

  Settings m_settings;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace bluebellpass
