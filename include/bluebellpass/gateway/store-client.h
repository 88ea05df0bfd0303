#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Rises when the store comes back from an older copy of itself; 0 if the store does not state it.
using StoreEra = StrongNumber<struct StoreEraTag, std::uint64_t>;

/// Revision of the whole store; increases with each change of any object. A store that has come
/// back from a copy gives its numbers out again, so a revision has the era in its upper bits: each
/// of a later era is larger.
using Revision = StrongNumber<struct RevisionTag, std::uint64_t>;

/// Bits of a revision for the number that the store states.
inline constexpr unsigned kRevisionNumberBits = 44;

constexpr Revision MakeRevision(StoreEra era, std::uint64_t number) {
  return Revision((era.Value() << kRevisionNumberBits) | number);
}
constexpr StoreEra EraOf(Revision revision) {
  return StoreEra(revision.Value() >> kRevisionNumberBits);
}
/// @return the number that the store states
constexpr std::uint64_t NumberOf(Revision revision) {
  return revision.Value() & ((std::uint64_t{1} << kRevisionNumberBits) - 1);
}

/// Kinds of objects that the gateway reads or writes.
enum class ObjectKind : std::uint8_t { kConfig, kBackends, kInstances, kFleet, kRollouts };

/// @return the kind's stable name in logs
constexpr std::string_view NameOf(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kConfig:
      return "config";
    case ObjectKind::kBackends:
      return "backends";
    case ObjectKind::kInstances:
      return "instances";
    case ObjectKind::kFleet:
      return "fleet";
    case ObjectKind::kRollouts:
      return "rollouts";
  }
  return "";
}

/// An object, or the notice of its deletion.
struct StoredObject {
  std::string name;
  Revision revision;
  bool is_deleted = false;
  std::shared_ptr<const nlohmann::json> spec;    ///< null when it could not be read
  std::shared_ptr<const nlohmann::json> status;  ///< null when there is none
  std::uint64_t created = 0;  ///< as stated by the store; an object that is created again differs
};

/// A page of a list, or the changes since a revision.
struct ObjectPage {
  std::vector<StoredObject> objects;
  bool has_more = false;
  Revision revision;  ///< of the store, at the time of the response
};

/// Consistency of a read.
enum class ReadConsistency : std::uint8_t {
  kCurrent,
  kAllowStale,  ///< may be seconds old; costs the store a fraction of a current read
};

/// Client of the platform's store. Callbacks run in later iterations of the event loop.
///
/// Errors: kNotFound (no such object; for a watch: the history since the revision is no longer
/// kept, or is that of an earlier era), kConflict (the object exists, or its revision differs from
/// the expected one), kStoreUnavailable (nothing was done), kStoreUncertain (the response was lost;
/// a write may have taken effect, or may take effect later).
///
/// What the store has acknowledged in an earlier era may be lost. Responses of earlier eras count
/// as lost too once a later one is known.
class StoreClient {
 public:
  virtual ~StoreClient() = default;

  /// Sets what is called when the store turns out to have come back from a copy.
  virtual void OnRestored(std::function<void()> callback) = 0;
  /// Lists the objects of a kind.
  /// @param after name after which the page starts; empty for the first page
  virtual void List(ObjectKind kind, const std::string& after, ReadConsistency consistency,
                    std::function<void(Result<ObjectPage>)> done) = 0;
  /// Waits for changes of a kind after a revision.
  /// @param wait longest time to wait, after which done receives an empty page
  virtual void Watch(ObjectKind kind, Revision after, Millis wait,
                     std::function<void(Result<ObjectPage>)> done) = 0;
  /// Creates an object; fails with kConflict if it exists.
  virtual void Create(ObjectKind kind, const std::string& name, const nlohmann::json& spec,
                      std::function<void(Result<Revision>)> done) = 0;
  /// Creates or replaces an object unconditionally.
  virtual void Put(ObjectKind kind, const std::string& name, const nlohmann::json& spec,
                   std::function<void(Result<Revision>)> done) = 0;
  /// Replaces the status of an object if its revision is still the expected one.
  virtual void PutStatus(ObjectKind kind, const std::string& name, Revision expected,
                         const nlohmann::json& status,
                         std::function<void(Result<Revision>)> done) = 0;
  /// Deletes an object if its revision is still the expected one.
  virtual void Delete(ObjectKind kind, const std::string& name, Revision expected,
                      std::function<void(Result<Ok>)> done) = 0;
};

}  // namespace bluebellpass::gateway
