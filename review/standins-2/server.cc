#include "server.h"

#include <sys/socket.h>

#include <thread>

namespace review {
namespace {

// Longer than any case, whose program ends all threads.
constexpr Millis kIdleTimeout{300'000};

}  // namespace

Server::Server(const std::string& ip, Handler handler) {
  m_state->address = {ip, 0};
  m_state->handler = std::move(handler);
  m_state->listener = Listen(m_state->address);
  std::thread([state = m_state] { Accept(state); }).detach();
}

void Server::Accept(const std::shared_ptr<State>& state) {
  while (true) {
    Descriptor connection(accept4(state->listener.Get(), nullptr, nullptr, SOCK_CLOEXEC));
    std::unique_lock lock(state->mutex);
    if (state->down > Millis{0}) {
      connection.Close();
      state->listener.Close();
      const Millis down = std::exchange(state->down, Millis{0});
      lock.unlock();
      std::this_thread::sleep_for(down);
      state->listener = Listen(state->address);
      continue;
    }
    if (!connection.IsOpen()) continue;
    state->connections.insert(connection.Get());
    std::thread([state, connection = std::move(connection)]() mutable {
      Serve(state, std::move(connection));
    }).detach();
  }
}

void Server::Serve(const std::shared_ptr<State>& state, Descriptor connection) {
  MessageReader reader(connection.Get());
  while (const auto request = reader.Read(Clock::now() + kIdleTimeout))
    if (!state->handler(connection.Get(), *request)) break;
  const std::lock_guard lock(state->mutex);
  state->connections.erase(connection.Get());
  connection.Close();
}

void Server::Crash(Millis duration) {
  const std::lock_guard lock(m_state->mutex);
  m_state->down = duration;
  // Ends the calls that are blocked on the sockets.
  shutdown(m_state->listener.Get(), SHUT_RDWR);
  for (const int fd : m_state->connections) shutdown(fd, SHUT_RDWR);
}

}  // namespace review
