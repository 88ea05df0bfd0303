#pragma once

#include <functional>
#include <memory>
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

  const Address& ListenAddress() const { return m_address; }

 private:
  Address m_address;
};

}  // namespace review
