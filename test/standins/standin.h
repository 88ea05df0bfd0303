#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "kernel/http-server.h"
#include "kernel/loop.h"

/// Code shared by the stand-ins for external systems.

namespace bluebellpass::standin {

using Json = nlohmann::json;
using ResponderPtr = std::shared_ptr<HttpResponder>;

/// An HTTP server and timers whose callbacks do nothing once this object is destroyed, so that a
/// stand-in can be destroyed while its event loop runs on.
class Server {
 public:
  /// @param handler may throw JSON exceptions; the response is then 400 with the error message
  Server(EventLoop& loop, HttpHandler handler);

  /// @return the bound address, or kInternal with the system's error message
  Result<Address> Listen(const Address& address) { return m_server.Listen(address); }
  void StopAccepting() { m_server.StopAccepting(); }

  /// Runs a function once after a delay, unless this object has been destroyed by then.
  void RunAfter(Millis delay, std::function<void()> function);

  /// @return a wrapper of the function that does nothing once this object is destroyed
  std::function<void()> BindToLifetime(std::function<void()> function) const;

  TimePoint Now() const { return m_loop.Now(); }

 private:
  EventLoop& m_loop;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  HttpServer m_server;
};

/// Sends a JSON document. Replaces invalid UTF-8 in strings.
void SendJson(HttpResponder& responder, int status, const Json& document);

/// @return the wall-clock time in milliseconds since 1970
std::int64_t WallMillis();

/// @param text "ip:port"
std::optional<Address> ParseAddress(const std::string& text);

/// @return the address given by a command line flag; for text that is not "ip:port" an address that
/// Listen rejects
Address ParseAddressFlag(const std::string& text);

/// @return sixteen hexadecimal digits
std::string ToHex(std::uint64_t number);

/// Prints the address to standard output and runs the loop until SIGTERM or SIGINT.
/// @param address result of Listen
/// @return exit status: 0, or 1 if the address could not be bound
int RunUntilSignal(EventLoop& loop, const Result<Address>& address);

}  // namespace bluebellpass::standin
