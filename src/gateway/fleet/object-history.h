#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "bluebellpass/gateway/store-client.h"
#include "fleet-codec.h"

namespace bluebellpass::gateway {

/// The objects of a kind with their latest earlier versions and deletions, from which changes are
/// sent to instances that lack them.
class ObjectHistory {
 public:
  /// @param seen revision up to which all changes were recorded before this one; 0 during the first
  /// list, whose objects existed before
  void Record(const StoredObject& object, Revision seen);
  /// @return the latest version of an object with a valid spec, or null
  const StoredObject* Find(const std::string& name) const;
  /// @param seen revision up to which all changes were recorded
  /// @return what the sender of the request lacks, without the age
  StateContent MakeContent(const StateRequestMessage& request, Revision seen) const;
  /// @return the patch between two versions of a spec as text
  static std::string MakePatch(const nlohmann::json& from, const nlohmann::json& to);

 private:
  /// An earlier version of an object.
  struct Version {
    std::string name;
    Revision revision;
    std::string spec;  ///< as text, which takes a fraction of the memory
  };
  ObjectMessage MakeMessage(const StateRequestMessage& request, const StoredObject& object,
                            std::optional<Revision> held) const;
  const Version* FindVersion(const std::string& name, Revision revision) const;

  std::map<std::string, StoredObject> m_objects;
  std::deque<Version> m_versions;
  std::size_t m_version_bytes = 0;
  std::deque<std::pair<std::string, Revision>> m_deletions;
  Revision m_deletions_since;  ///< all later deletions are in m_deletions; 0 if unknown
};

}  // namespace bluebellpass::gateway
