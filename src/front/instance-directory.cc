#include "instance-directory.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "config/address.h"

namespace bluebellpass {
namespace {

using nlohmann::json;

constexpr char kPrefix[] = "instances/";
constexpr Millis kRegisterRetry{1'000};
// Listings only help an instance that knows no peer; links and gossip find the rest. At 400
// instances one listing a minute each is under 7 calls a second. An entry is read once for each of
// its versions: reading all of them with each listing would be 2,660 calls a second.
constexpr Millis kListPeriod{60'000};
constexpr Millis kListRetry{2'000};

}  // namespace

InstanceDirectory::InstanceDirectory(ObjectStore& store, TimerService& timers, InstanceInfo self,
                                     std::function<void(const Address&)> on_found)
    : m_store(store),
      m_self(std::move(self)),
      m_on_found(std::move(on_found)),
      m_key(kPrefix + m_self.id.Text()),
      m_register_timer(timers),
      m_list_timer(timers) {}

void InstanceDirectory::Start() {
  Register();
  ReadOthers();
}

void InstanceDirectory::Register() {
  m_store.Get(m_key, [this](const Result<VersionedObject>& result) {
    if (IsOk(result)) return Write(std::get<VersionedObject>(result).version);
    if (ErrorOf(result).kind == ErrorKind::kNotFound) return Write(ObjectVersion(0));
    RetryRegister();
  });
}

void InstanceDirectory::Write(ObjectVersion expected) {
  if (m_is_leaving) return;
  const json entry = {{"incarnation", m_self.incarnation.Value()},
                      {"data_centre", m_self.data_centre.Text()},
                      {"region", m_self.region.Text()},
                      {"address", m_self.caller_address.Text()},
                      {"peer_address", m_self.peer_address.Text()}};
  m_store.Put(m_key, entry.dump(), expected, [this](const Result<ObjectVersion>& result) {
    if (!IsOk(result)) return RetryRegister();
    m_version = std::get<ObjectVersion>(result);
    if (m_is_leaving) Leave();
  });
}

void InstanceDirectory::RetryRegister() {
  if (m_is_leaving) return;
  m_register_timer.Start(kRegisterRetry, [this] { Register(); });
}

void InstanceDirectory::ReadOthers() {
  m_store.List(kPrefix, [this](const Result<std::vector<ObjectEntry>>& result) {
    const bool is_ok = IsOk(result);
    if (is_ok) ReadChanged(std::get<0>(result));
    m_list_timer.Start(is_ok ? kListPeriod : kListRetry, [this] { ReadOthers(); });
  });
}

void InstanceDirectory::ReadChanged(const std::vector<ObjectEntry>& entries) {
  // Entries that are gone from the list are forgotten.
  const auto known = std::exchange(m_read, {});
  for (const ObjectEntry& entry : entries) {
    if (entry.key == m_key) continue;
    const auto read = known.find(entry.key);
    if (read != known.end() && read->second == entry.version) {
      m_read.insert(*read);
    } else {
      ReadOne(entry.key);
    }
  }
}

void InstanceDirectory::ReadOne(const std::string& key) {
  m_store.Get(key, [this, key](const Result<VersionedObject>& result) {
    if (!IsOk(result)) return;
    m_read[key] = std::get<VersionedObject>(result).version;
    const json entry = json::parse(std::get<VersionedObject>(result).value, nullptr, false);
    if (!entry.is_object()) return;
    const auto text = entry.find("peer_address");
    if (text == entry.end() || !text->is_string()) return;
    const Result<Address> address = ParseAddress(text->get<std::string>());
    if (IsOk(address)) m_on_found(std::get<Address>(address));
  });
}

void InstanceDirectory::Leave() {
  m_is_leaving = true;
  m_register_timer.Stop();
  m_list_timer.Stop();
  if (m_version == ObjectVersion(0)) return;
  m_store.Delete(m_key, m_version, [](const Result<Ok>&) {});
}

}  // namespace bluebellpass
