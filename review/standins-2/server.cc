#include "server.h"

#include <sys/socket.h>

#include <thread>

namespace review {
namespace {

// Longer than any case, whose program ends all threads.
constexpr Millis kIdleTimeout{300'000};

void Serve(Descriptor connection, const Server::Handler& handler) {
  MessageReader reader(connection.Get());
  while (const auto request = reader.Read(Clock::now() + kIdleTimeout))
    if (!handler(connection.Get(), *request)) return;
}

}  // namespace

Server::Server(const std::string& ip, Handler handler) {
  auto listener = std::make_shared<Descriptor>(Listen(ip, m_address));
  std::thread([listener, shared = std::make_shared<Handler>(std::move(handler))] {
    while (true) {
      Descriptor connection(accept4(listener->Get(), nullptr, nullptr, SOCK_CLOEXEC));
      if (!connection.IsOpen()) continue;
      std::thread([shared, connection = std::move(connection)]() mutable {
        Serve(std::move(connection), *shared);
      }).detach();
    }
  }).detach();
}

}  // namespace review
