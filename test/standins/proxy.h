#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "standin.h"

namespace bluebellpass::standin {

/// How a proxy treats connections.
enum class ProxyMode {
  kPass,            ///< bytes are forwarded
  kRefuse,          ///< new connections are reset, existing ones work
  kCut,             ///< existing and new connections are reset
  kSilent,          ///< connections stay open; bytes are held back until the mode changes
  kSilentExisting,  ///< existing connections forward nothing more; then the mode is kPass
};

/// Fault-injecting TCP proxy based on h2o sockets. Half-open connections are not supported: when
/// one side closes, the other one is closed after the bytes queued for it have been delivered.
class Proxy {
 public:
  /// @param target address that connections are forwarded to
  Proxy(EventLoop& loop, Address target);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// @return the bound address, or kInternal with the system's error message
  Result<Address> Listen(const Address& address);

  /// Opens the HTTP control interface (POST /control).
  Result<Address> ListenControl(const Address& address) { return m_control.Listen(address); }

  void SetMode(ProxyMode mode);
  /// @param delay one way, for bytes that arrive from now on; their order is kept
  void SetDelay(Millis delay) { m_delay = delay; }
  /// @param bytes number of bytes from the target after which a connection is reset; 0 means no
  /// limit
  void SetDropAfterBytes(std::uint64_t bytes) { m_reset_after_bytes = bytes; }

  /// Replaces texts in what the target sends. Each has the length of its replacement; one that is
  /// split between two reads is missed.
  void SetReplacements(std::map<std::string, std::string> replacements) {
    m_replacements = std::move(replacements);
  }
  /// Closes the port, so that new connections are refused. Existing ones stay.
  void StopListening();

  /// @return number of connections of which at least one side is open
  std::size_t ConnectionCount() const { return m_connections.size(); }

 private:
  struct Connection;
  struct SocketCallbacks;

  void HandleControl(const HttpRequest& request, HttpResponder& responder);
  void OpenConnection(void* client);
  std::string Replaced(std::string bytes) const;
  void RemoveConnection(std::uint64_t id);

  EventLoop& m_loop;
  Address m_target;
  ProxyMode m_mode = ProxyMode::kPass;
  Millis m_delay{0};
  std::uint64_t m_reset_after_bytes = 0;
  std::map<std::string, std::string> m_replacements;
  std::uint64_t m_next_id = 1;
  void* m_listener = nullptr;
  std::map<std::uint64_t, std::shared_ptr<Connection>> m_connections;
  Server m_control;
};

}  // namespace bluebellpass::standin
