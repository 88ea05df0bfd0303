#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "bluebellpass/types.h"

namespace bluebellpass::test {

/// A child process. It is killed when its owner is destroyed.
class Process {
 public:
  Process() = default;
  /// Starts a program with its output in a log file.
  Process(std::vector<std::string> command, std::string log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  pid_t Pid() const { return m_pid; }
  bool IsRunning();
  void Signal(int number) const;
  /// Kills with SIGKILL and waits.
  void Kill();
  /// @return true and the exit code (128 + signal when killed) once the process has ended
  bool HasExited(int* code);

 private:
  pid_t m_pid = -1;
  bool m_has_exited = false;
  int m_code = 0;
};

/// @return a port on 127.0.0.1 that is free now, below the range of the system's own choices and
/// apart from those of other test processes
std::uint16_t FreePort();

/// @return a fresh folder for logs, below the system's temporary folder
std::string MakeLogFolder(const std::string& name);

}  // namespace bluebellpass::test
