#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "net.h"

namespace review {

/// Serves HTTP/1.1 with a thread for each connection, until the program ends.
class Server {
 public:
  /// Answers a request on a connection.
  /// @return false if the connection is to be closed
  using Handler = std::function<bool(int fd, const Message& request)>;

  Server(const std::string& ip, Handler handler);

  const Address& ListenAddress() const { return m_state->address; }
  /// Ends the listening socket and all connections, as the crash of a process does.
  /// @param duration after which the server listens again at the same address
  void Crash(Millis duration);

 private:
  struct State {
    Address address;
    Handler handler;
    std::mutex mutex;
    Descriptor listener;
    std::set<int> connections;
    Millis down{0};  ///< how long the server is to be down
  };
  static void Accept(const std::shared_ptr<State>& state);
  static void Serve(const std::shared_ptr<State>& state, Descriptor connection);

  std::shared_ptr<State> m_state = std::make_shared<State>();
};

}  // namespace review
