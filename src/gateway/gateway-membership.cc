#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "bluebellpass/event.h"
#include "config/address.h"
#include "gateway.h"

/// How an instance registers, learns of the others and joins the fleet.

namespace bluebellpass::gateway {
namespace {

constexpr char kLinkKeysObject[] = "link-keys";
constexpr std::size_t kLinkKeyBytes = 32;
constexpr char kHexDigits[] = "0123456789abcdef";

std::string MakeLinkKey() {
  std::array<unsigned char, kLinkKeyBytes> bytes{};
  // A predictable key would not protect the links.
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) std::abort();
  std::string key;
  for (const unsigned char byte : bytes) {
    key += kHexDigits[byte >> 4U];
    key += kHexDigits[byte & 15U];
  }
  return key;
}

}  // namespace

void Gateway::ReadFleetObjects() {
  m_store_client->List(
      ObjectKind::kFleet, "", ReadConsistency::kCurrent, [this](Result<ObjectPage> result) {
        if (!IsOk(result)) return m_fleet_objects_task.RetryLater();
        m_fleet_objects_task.Stop();
        const auto& objects = std::get<ObjectPage>(result).objects;
        for (const StoredObject& object : objects)
          if (object.name == kVersionRecordObject && object.spec)
            m_coordinator.Versions().AddRecorded(VersionRecord::Decode(*object.spec), m_loop.Now());
        AdoptLinkKeys(objects);
      });
}

void Gateway::AdoptLinkKeys(const std::vector<StoredObject>& objects) {
  for (const StoredObject& object : objects) {
    if (object.name != kLinkKeysObject || !object.spec) continue;
    std::vector<std::string> keys;
    for (const auto& key : object.spec->value("keys", nlohmann::json::array()))
      if (key.is_string()) keys.push_back(key.get<std::string>());
    if (keys.empty()) continue;
    m_link_keys = std::move(keys);
    if (m_fleet.IsStarted()) m_fleet.SetKeys(m_link_keys);
    return JoinFleetIfReady();
  }
  // The first instance to create the object sets the key for all. The object is read again in any
  // case, which resolves conflicts and lost responses.
  const std::vector<std::string> keys =
      m_link_keys.empty() ? std::vector{MakeLinkKey()} : m_link_keys;
  m_store_client->Create(ObjectKind::kFleet, kLinkKeysObject, {{"keys", keys}},
                         [this](const Result<Revision>&) { ReadFleetObjects(); });
}

void Gateway::UpdateVersionRecord() {
  if (m_fleet.ConductsMajority())
    m_version_record.Update(m_coordinator.Versions().All(m_loop.Now()));
}

void Gateway::OnStoreRestored() {
  for (ObjectWatch* watch : {m_config_watch.get(), m_backend_watch.get(), m_rollout_watch.get()})
    if (watch != nullptr) watch->Relist();
  m_version_record.Reset();
  ReadFleetObjects();
  if (m_is_stopping) return;
  m_is_registered = false;
  Register();
}

void Gateway::ListInstances(const std::string& after, bool was_registered) {
  m_store_client->List(ObjectKind::kInstances, after, ReadConsistency::kCurrent,
                       [this, was_registered](Result<ObjectPage> result) {
                         if (!IsOk(result)) return m_list_task.RetryLater();
                         const ObjectPage& page = std::get<ObjectPage>(result);
                         for (const StoredObject& object : page.objects) AddInstance(object);
                         if (page.has_more && !page.objects.empty())
                           return ListInstances(page.objects.back().name, was_registered);
                         m_list_task.Stop();
                         m_has_listed_instances = m_has_listed_instances || was_registered;
                         JoinFleetIfReady();
                       });
}

void Gateway::JoinFleetIfReady() {
  if (m_fleet.IsStarted() || m_link_keys.empty() || !m_has_listed_instances) return;
  const Result<Ok> started = m_fleet.Start(m_link_keys);
  if (!IsOk(started)) {
    // A previous process may still hold the port.
    m_fleet_objects_task.RetryLater();
    return LogEvent(EventId::kObjectRejected,
                    {{"object", kLinkKeysObject}, {"reason", ErrorOf(started).message}});
  }
  // The fleet's retries are divided among its instances.
  UpdateRetryBudgets();
}

void Gateway::AddInstance(const StoredObject& object) {
  if (!object.spec || !object.spec->is_object()) return;
  const auto text_field = [&](const char* name) {
    const auto found = object.spec->find(name);
    return found != object.spec->end() && found->is_string() ? found->get<std::string>()
                                                             : std::string();
  };
  if (object.name == m_settings.instance.Text()) {
    // The response to the registration may have been lost. An entry of an earlier process does not
    // count.
    const auto incarnation = object.spec->find("incarnation");
    const bool is_own = incarnation != object.spec->end() && incarnation->is_number() &&
                        incarnation->get<double>() == static_cast<double>(m_incarnation.Value());
    if (is_own && !m_is_registered && !m_is_stopping) OnRegistered(object.revision);
    return;
  }
  FleetMember member;
  member.id = InstanceId(object.name);
  member.data_centre = DataCentre(text_field("data_centre"));
  member.registration_revision = object.revision.Value();
  const auto share = object.spec->find("processor_share");
  if (share != object.spec->end() && share->is_number())
    member.processor_share = share->get<double>();
  const Result<Address> caller_address = ParseAddress(text_field("caller_address"));
  const Result<Address> peer_address = ParseAddress(text_field("peer_address"));
  if (!IsOk(caller_address) || !IsOk(peer_address)) return;
  member.caller_address = std::get<Address>(caller_address);
  member.peer_address = std::get<Address>(peer_address);
  m_fleet.AddMember(std::move(member));
}

void Gateway::RemoveInstance(const InstanceId& id, std::uint64_t registration_revision) {
  LogEvent(EventId::kFleetChanged, {{"member", id.Text()}, {"state", "forgotten"}});
  m_store_client->Delete(
      ObjectKind::kInstances, id.Text(), Revision(registration_revision),
      [](const Result<Ok>& result) {
        if (!IsOk(result))
          LogEvent(EventId::kObjectRejected, {{"reason", ErrorOf(result).message}});
      });
}

void Gateway::Register() {
  const nlohmann::json spec = {{"data_centre", m_settings.data_centre.Text()},
                               {"incarnation", m_incarnation.Value()},
                               {"caller_address", m_settings.caller_listen.Text()},
                               {"peer_address", m_settings.peer_listen.Text()},
                               {"processor_share", m_settings.processor_share}};
  m_store_client->Put(ObjectKind::kInstances, m_settings.instance.Text(), spec,
                      [this](Result<Revision> result) {
                        if (m_is_stopping) return;
                        if (IsOk(result)) return OnRegistered(std::get<Revision>(result));
                        // An earlier call whose response was lost has been found executed.
                        if (m_is_registered) return;
                        m_register_task.RetryLater();
                        // Shows whether a call without a response was executed.
                        if (ErrorOf(result).kind == ErrorKind::kStoreUncertain)
                          ListInstances("", false);
                      });
}

void Gateway::OnRegistered(Revision revision) {
  m_register_task.Stop();
  if (m_is_registered && m_registration_revision == revision) return;
  m_is_registered = true;
  m_registration_revision = revision;
  m_fleet.SetRegistration(revision.Value());
  LogEvent(EventId::kRegistered, {{"revision", static_cast<std::int64_t>(NumberOf(revision))}});
  ListInstances("", true);
}

}  // namespace bluebellpass::gateway
