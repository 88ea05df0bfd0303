#include "object-history.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bluebellpass::gateway {
namespace {

// Bounds on earlier versions. An instance that was cut off for seconds lacks a few changes; the
// memory of the smallest machine is 160 MB.
constexpr std::size_t kMaxVersions = 64;
constexpr std::size_t kMaxVersionBytes = 2U << 20U;
// Deletions that are remembered one by one. An instance that lacks older ones gets all names.
constexpr std::size_t kMaxDeletions = 1'024;

}  // namespace

void ObjectHistory::Record(const StoredObject& object, Revision seen) {
  if (m_deletions_since == Revision{}) m_deletions_since = seen;
  const auto known = m_objects.find(object.name);
  if (known != m_objects.end() && known->second.spec && !object.is_deleted) {
    m_versions.push_back({object.name, known->second.revision, known->second.spec->dump()});
    m_version_bytes += m_versions.back().spec.size();
  }
  while (m_versions.size() > kMaxVersions || m_version_bytes > kMaxVersionBytes) {
    m_version_bytes -= m_versions.front().spec.size();
    m_versions.pop_front();
  }
  if (!object.is_deleted) {
    m_objects[object.name] = object;
    return;
  }
  m_objects.erase(object.name);
  m_deletions.emplace_back(object.name, object.revision);
  if (m_deletions.size() <= kMaxDeletions) return;
  m_deletions_since = std::max(m_deletions_since, m_deletions.front().second);
  m_deletions.pop_front();
}

const StoredObject* ObjectHistory::Find(const std::string& name) const {
  const auto found = m_objects.find(name);
  return found != m_objects.end() && found->second.spec ? &found->second : nullptr;
}

const ObjectHistory::Version* ObjectHistory::FindVersion(const std::string& name,
                                                         Revision revision) const {
  const auto found = std::find_if(m_versions.begin(), m_versions.end(), [&](const Version& item) {
    return item.name == name && item.revision == revision;
  });
  return found == m_versions.end() ? nullptr : &*found;
}

std::string ObjectHistory::MakePatch(const nlohmann::json& from, const nlohmann::json& to) {
  return nlohmann::json::diff(from, to).dump();
}

ObjectMessage ObjectHistory::MakeMessage(const StateRequestMessage& request,
                                         const StoredObject& object,
                                         std::optional<Revision> held) const {
  ObjectMessage message;
  message.kind = request.kind;
  message.name = object.name;
  message.revision = object.revision.Value();
  message.created = object.created;
  if (object.status) message.status = object.status->dump();
  if (!object.spec) return message;
  message.spec = object.spec->dump();
  const Version* base = held && !request.is_whole ? FindVersion(object.name, *held) : nullptr;
  if (base == nullptr) return message;
  std::string patch = MakePatch(nlohmann::json::parse(base->spec), *object.spec);
  if (patch.size() >= message.spec.size()) return message;
  message.spec.clear();
  message.patch = std::move(patch);
  message.base_revision = held->Value();
  return message;
}

StateContent ObjectHistory::MakeContent(const StateRequestMessage& request, Revision seen) const {
  StateContent content;
  content.revision = seen.Value();
  std::map<std::string, Revision> held;
  for (const HeldObject& object : request.held) held[object.name] = Revision(object.revision);
  for (const auto& [name, object] : m_objects) {
    const auto found = held.find(name);
    const bool is_held = found != held.end();
    const bool has_change = is_held
                                ? found->second < object.revision
                                : request.holds_all || object.revision.Value() > request.revision;
    if (request.is_whole || has_change)
      content.objects.push_back(
          MakeMessage(request, object, is_held ? std::optional(found->second) : std::nullopt));
  }
  // The restored store has lost objects without deleting them.
  const bool is_earlier_era = EraOf(Revision(request.revision)) != EraOf(seen);
  const bool knows_deletions = !is_earlier_era && m_deletions_since != Revision{} &&
                               request.revision >= m_deletions_since.Value();
  if (request.is_whole || (!request.holds_all && !knows_deletions)) {
    content.has_names = true;
    for (const auto& [name, object] : m_objects) content.names.push_back(name);
    return content;
  }
  const auto add_deletion = [&](const std::string& name, Revision revision) {
    if (m_objects.contains(name)) return;
    ObjectMessage message;
    message.kind = request.kind;
    message.name = name;
    message.revision = revision.Value();
    message.is_deleted = true;
    content.objects.push_back(std::move(message));
  };
  if (request.holds_all) {
    // Newer objects than this instance has seen may exist.
    for (const auto& [name, revision] : held)
      if (revision <= seen) add_deletion(name, seen);
    return content;
  }
  for (const auto& [name, revision] : m_deletions)
    if (revision.Value() > request.revision) add_deletion(name, revision);
  return content;
}

}  // namespace bluebellpass::gateway
