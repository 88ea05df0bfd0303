#include "instance-directory.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "config/address.h"

namespace bluebellpass {
namespace {

using nlohmann::json;

constexpr char kKeyPrefix[] = "instances/";
constexpr Millis kRegisterRetryDelay{1'000};
// Only an instance without any peer needs a listing; the others find peers by links and gossip. At
// 400 instances, a listing per instance and minute makes less than 7 calls per second. Each version
// of an entry is read once: reading all entries after each listing would make 2,660 calls per
// second.
constexpr Millis kListPeriod{60'000};
constexpr Millis kListRetryDelay{2'000};

}  // namespace

InstanceDirectory::InstanceDirectory(ObjectStore& store, TimerService& timers, InstanceInfo self,
                                     std::function<void(const Address&)> on_peer_address)
    : m_store(store),
      m_self(std::move(self)),
      m_on_peer_address(std::move(on_peer_address)),
      m_key(kKeyPrefix + m_self.id.Text()),
      m_register_timer(timers),
      m_list_timer(timers) {}

void InstanceDirectory::Start() {
  Register();
  ListEntries();
}

void InstanceDirectory::Register() {
  m_store.Get(m_key, [this](const Result<VersionedObject>& result) {
    if (IsOk(result)) return WriteEntry(std::get<VersionedObject>(result).version);
    if (ErrorOf(result).kind == ErrorKind::kNotFound) return WriteEntry(ObjectVersion(0));
    ScheduleRegister();
  });
}

void InstanceDirectory::WriteEntry(ObjectVersion expected) {
  if (m_is_leaving) return;
  const json entry = {{"incarnation", m_self.incarnation.Value()},
                      {"data_centre", m_self.data_centre.Text()},
                      {"region", m_self.region.Text()},
                      {"address", m_self.caller_address.Text()},
                      {"peer_address", m_self.peer_address.Text()}};
  m_store.Put(m_key, entry.dump(), expected, [this](const Result<ObjectVersion>& result) {
    if (!IsOk(result)) return ScheduleRegister();
    m_entry_version = std::get<ObjectVersion>(result);
    if (m_is_leaving) Unregister();
  });
}

void InstanceDirectory::ScheduleRegister() {
  if (m_is_leaving) return;
  m_register_timer.Start(kRegisterRetryDelay, [this] { Register(); });
}

void InstanceDirectory::ListEntries() {
  m_store.List(kKeyPrefix, [this](const Result<std::vector<ObjectEntry>>& result) {
    const bool is_ok = IsOk(result);
    if (is_ok) ReadChangedEntries(std::get<0>(result));
    m_list_timer.Start(is_ok ? kListPeriod : kListRetryDelay, [this] { ListEntries(); });
  });
}

void InstanceDirectory::ReadChangedEntries(const std::vector<ObjectEntry>& entries) {
  // Versions of entries that are no longer listed are dropped.
  const auto previous_versions = std::exchange(m_read_versions, {});
  for (const ObjectEntry& entry : entries) {
    if (entry.key == m_key) continue;
    const auto previous = previous_versions.find(entry.key);
    if (previous != previous_versions.end() && previous->second == entry.version) {
      m_read_versions.insert(*previous);
    } else {
      ReadEntry(entry.key);
    }
  }
}

void InstanceDirectory::ReadEntry(const std::string& key) {
  m_store.Get(key, [this, key](const Result<VersionedObject>& result) {
    if (!IsOk(result)) return;
    m_read_versions[key] = std::get<VersionedObject>(result).version;
    const json entry = json::parse(std::get<VersionedObject>(result).value, nullptr, false);
    if (!entry.is_object()) return;
    const auto text = entry.find("peer_address");
    if (text == entry.end() || !text->is_string()) return;
    const Result<Address> address = ParseAddress(text->get<std::string>());
    if (IsOk(address)) m_on_peer_address(std::get<Address>(address));
  });
}

void InstanceDirectory::Unregister() {
  m_is_leaving = true;
  m_register_timer.Stop();
  m_list_timer.Stop();
  if (m_entry_version == ObjectVersion(0)) return;
  m_store.Delete(m_key, m_entry_version, [](const Result<Ok>&) {});
}

}  // namespace bluebellpass
