#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace bluebellpass {

/// Open connections of clients by address, and which of them may be closed for a new one: those
/// that are idle or whose request is not complete. Of the address with most connections the one
/// that has been so for longest is closed first, so that no address can keep the others out.
/// @tparam Connection only its address is used
template <class Connection>
class ConnectionTable {
 public:
  /// @param ip address of the client
  void Add(Connection* connection, std::uint32_t ip) {
    m_entries[connection] = {ip, 0};
    ++m_clients[ip].count;
  }
  void Remove(Connection* connection) {
    const auto found = m_entries.find(connection);
    if (found == m_entries.end()) return;
    const auto client = m_clients.find(found->second.ip);
    client->second.closable.erase(found->second.order);
    if (--client->second.count == 0) m_clients.erase(client);
    m_entries.erase(found);
  }
  /// Sets whether a connection may be closed for a new one. Setting it again moves the connection
  /// to the end of the order.
  void SetClosable(Connection* connection, bool is_closable) {
    const auto found = m_entries.find(connection);
    if (found == m_entries.end()) return;
    Entry& entry = found->second;
    auto& closable = m_clients.at(entry.ip).closable;
    closable.erase(entry.order);
    entry.order = is_closable ? ++m_last_order : 0;
    if (is_closable) closable[entry.order] = connection;
  }
  std::size_t Count() const { return m_entries.size(); }
  /// @return the connection to close for a new one, or null if none may be closed
  Connection* ChooseClosable() const {
    const Client* most = nullptr;
    for (const auto& [ip, client] : m_clients)
      if (!client.closable.empty() && (most == nullptr || client.count > most->count))
        most = &client;
    return most == nullptr ? nullptr : most->closable.begin()->second;
  }

 private:
  struct Entry {
    std::uint32_t ip = 0;
    std::uint64_t order = 0;  ///< among those that may be closed; 0 if it may not
  };
  struct Client {
    std::size_t count = 0;
    std::map<std::uint64_t, Connection*> closable;
  };

  std::unordered_map<Connection*, Entry> m_entries;
  std::unordered_map<std::uint32_t, Client> m_clients;
  std::uint64_t m_last_order = 0;
};

}  // namespace bluebellpass
