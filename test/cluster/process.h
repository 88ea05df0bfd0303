#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "bluebellpass/types.h"

namespace bluebellpass::test {

/// A child process, killed by the destructor.
class Process {
 public:
  Process() = default;
  /// Starts a program and appends its output to a log file.
  Process(std::vector<std::string> command, std::string log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  /// @return the process id, or -1 if no process was started
  pid_t Pid() const { return m_pid; }
  bool IsRunning();
  void Signal(int signal_number) const;
  /// Sends SIGKILL and waits for the exit.
  void Kill();
  /// @param exit_code set once the process has exited, to 128 + signal number if it was killed; may
  /// be null
  /// @return true if the process has exited
  bool HasExited(int* exit_code);

 private:
  pid_t m_pid = -1;
  bool m_has_exited = false;
  int m_exit_code = 0;
};

/// @return a port that is free now on 127.0.0.1, outside the ephemeral range and the ranges of
/// other test processes
std::uint16_t FindFreePort();

/// Creates an empty folder for logs in the system's temporary folder.
/// @return its path
std::string MakeLogFolder(const std::string& name);

}  // namespace bluebellpass::test
