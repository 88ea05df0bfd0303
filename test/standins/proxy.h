#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "standin.h"

namespace bluebellpass::standin {

/// What a proxy does to connections.
enum class ProxyMode {
  kPass,            ///< bytes are carried
  kRefuse,          ///< new connections are closed at once, existing ones work
  kCut,             ///< existing connections are reset, new ones closed at once
  kSilent,          ///< all connections stay open and bytes are held back until the mode changes
  kSilentExisting,  ///< connections open now carry nothing from now on; then the mode is kPass
};

/// Fault-injecting TCP proxy on h2o's sockets. The end of one direction ends both: after the bytes
/// of that direction are delivered the connection is closed.
class Proxy {
 public:
  /// @param target where connections are passed on to
  Proxy(EventLoop& loop, Address target);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// @return the address in use, or kInternal with the system's reason
  Result<Address> Listen(const Address& address);

  /// Opens the HTTP control interface (POST /control).
  Result<Address> ListenControl(const Address& address) { return m_control.Listen(address); }

  void SetMode(ProxyMode mode);
  /// @param delay one way; added to the bytes that arrive from now on, whose order is kept
  void SetDelay(Millis delay) { m_delay = delay; }
  /// @param bytes from the target after which each connection is reset; 0 means no limit
  void SetDropAfterBytes(std::uint64_t bytes) { m_drop_after = bytes; }

  /// @return connections with an open end
  std::size_t Connections() const { return m_connections.size(); }

 private:
  struct Connection;
  struct Glue;

  void HandleControl(const HttpRequest& request, HttpResponder& responder);
  void Open(void* client);
  void Remove(std::uint64_t id);

  EventLoop& m_loop;
  Address m_target;
  ProxyMode m_mode = ProxyMode::kPass;
  Millis m_delay{0};
  std::uint64_t m_drop_after = 0;
  std::uint64_t m_next_id = 1;
  void* m_listener = nullptr;
  std::map<std::uint64_t, std::shared_ptr<Connection>> m_connections;
  Server m_control;
};

}  // namespace bluebellpass::standin
