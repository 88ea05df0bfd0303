#include "process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <utility>

extern char** environ;

namespace bluebellpass::test {
namespace {

constexpr int kFirstPort = 12'000;
constexpr int kPortsPerProcess = 400;
constexpr int kPortRanges = 50;

/// @return true if the socket is now bound to the port
bool BindPort(int fd, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
}

bool IsPortFree(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const bool is_bound = BindPort(fd, port);
  close(fd);
  return is_bound;
}

/// Reserves a range of ports for this process by binding its last port. A port is chosen some time
/// before a child process binds it, so two test processes must not choose from the same range.
/// @return the first port of the range
int ReservePortRange() {
  for (int tries = 0; tries < kPortRanges; ++tries) {
    const int base = kFirstPort + (getpid() + tries) % kPortRanges * kPortsPerProcess;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // The socket stays open until this process exits.
    if (BindPort(fd, base + kPortsPerProcess - 1)) return base;
    close(fd);
  }
  throw std::runtime_error("every port range is reserved by another test process");
}

}  // namespace

Process::Process(std::vector<std::string> command, std::string log_path) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (std::string& word : command) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const int error = posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + command.front());
}

Process::~Process() { Kill(); }

Process::Process(Process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1)),
      m_has_exited(other.m_has_exited),
      m_exit_code(other.m_exit_code) {}

Process& Process::operator=(Process&& other) noexcept {
  Kill();
  m_pid = std::exchange(other.m_pid, -1);
  m_has_exited = other.m_has_exited;
  m_exit_code = other.m_exit_code;
  return *this;
}

bool Process::IsRunning() { return m_pid > 0 && !HasExited(nullptr); }

void Process::Signal(int signal_number) const {
  if (m_pid > 0 && !m_has_exited) kill(m_pid, signal_number);
}

void Process::Kill() {
  if (m_pid <= 0 || HasExited(nullptr)) return;
  kill(m_pid, SIGKILL);
  int status = 0;
  waitpid(m_pid, &status, 0);
  m_has_exited = true;
  m_exit_code = 128 + SIGKILL;
}

bool Process::HasExited(int* exit_code) {
  if (m_pid > 0 && !m_has_exited) {
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_has_exited = true;
      m_exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
  }
  if (m_has_exited && exit_code != nullptr) *exit_code = m_exit_code;
  return m_has_exited;
}

std::uint16_t FindFreePort() {
  static const int base = ReservePortRange();
  static int next = 0;
  for (int tries = 0; tries < kPortsPerProcess; ++tries) {
    const int port = base + next++ % (kPortsPerProcess - 1);
    if (IsPortFree(port)) return static_cast<std::uint16_t>(port);
  }
  throw std::runtime_error("no free port in the range of this process");
}

std::string MakeLogFolder(const std::string& name) {
  std::string path = (std::filesystem::temp_directory_path() / (name + "-XXXXXX")).string();
  if (mkdtemp(path.data()) == nullptr) throw std::runtime_error("cannot create " + path);
  return path;
}

}  // namespace bluebellpass::test
