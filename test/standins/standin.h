#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "kernel/http-server.h"
#include "kernel/loop.h"

/// What the stand-ins for outside systems share.

namespace bluebellpass::standin {

using Json = nlohmann::json;
using ResponderPtr = std::shared_ptr<HttpResponder>;

/// An HTTP server and timers whose callbacks end with this object, so that a stand-in can be
/// destroyed while its loop goes on.
class Server {
 public:
  /// @param handler may let JSON exceptions through; they are answered with 400
  Server(EventLoop& loop, HttpHandler handler);

  /// @return the address in use, or kInternal with the system's reason
  Result<Address> Listen(const Address& address) { return m_server.Listen(address); }
  void StopAccepting() { m_server.StopAccepting(); }

  /// Runs a function once, unless this object is gone by then.
  void Later(Millis delay, std::function<void()> function);

  /// @return the function, doing nothing once this object is gone
  std::function<void()> Guard(std::function<void()> function) const;

  TimePoint Now() const { return m_loop.Now(); }

 private:
  EventLoop& m_loop;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  HttpServer m_server;
};

/// Sends a JSON document. Invalid UTF-8 in strings is replaced.
void SendJson(HttpResponder& responder, int status, const Json& document);

/// @return the wall-clock time in milliseconds since 1970
std::int64_t WallMillis();

/// @param text "ip:port"
std::optional<Address> ParseAddress(const std::string& text);

/// @return the address of a flag; text that is not "ip:port" gives one that Listen refuses
Address AddressFlag(const std::string& text);

/// @return sixteen hexadecimal digits
std::string Hex(std::uint64_t number);

/// Announces the address on standard output and runs the loop until SIGTERM or SIGINT.
/// @return the exit status: 0, or 1 if the address could not be opened
int RunUntilSignal(EventLoop& loop, const Result<Address>& address);

}  // namespace bluebellpass::standin
