#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Revision of the store; increases with each change of any object.
using Revision = StrongNumber<struct RevisionTag, std::uint64_t>;

/// Kinds of objects that the gateway reads or writes.
enum class ObjectKind : std::uint8_t { kConfig, kBackends, kInstances, kFleet };

/// An object, or the notice that it is gone.
struct StoredObject {
  std::string name;
  Revision revision;
  bool is_deleted = false;
  std::shared_ptr<const nlohmann::json> spec;  ///< null when it could not be read
};

/// Part of a list, or the changes since a revision.
struct ObjectPage {
  std::vector<StoredObject> objects;
  bool has_more = false;
  Revision revision;  ///< of the store, as of the reply
};

/// How old the objects of a reply may be.
enum class ReadConsistency : std::uint8_t {
  kCurrent,
  kAllowStale,  ///< possibly seconds old, at a fraction of the price
};

/// Client of the platform's store. Replies come in later turns of the loop.
///
/// Errors: kNotFound (no such object; for a watch: the history since the revision is gone),
/// kConflict (the condition did not hold), kStoreUnavailable (nothing was done), kStoreUncertain
/// (the reply was lost; a write may have taken effect, or may take effect later).
class StoreClient {
 public:
  virtual ~StoreClient() = default;

  /// Lists the objects of a kind.
  /// @param after name after which to continue; empty for the start
  /// @param consistency how old the reply may be
  virtual void List(ObjectKind kind, const std::string& after, ReadConsistency consistency,
                    std::function<void(Result<ObjectPage>)> done) = 0;
  /// Waits for changes of a kind after a revision. An empty page means that there were none for the
  /// whole waiting time.
  virtual void Watch(ObjectKind kind, Revision after, Millis wait,
                     std::function<void(Result<ObjectPage>)> done) = 0;
  /// Creates an object; kConflict when it exists.
  virtual void Create(ObjectKind kind, const std::string& name, const nlohmann::json& spec,
                      std::function<void(Result<Revision>)> done) = 0;
  /// Creates or replaces an object without a condition.
  virtual void Put(ObjectKind kind, const std::string& name, const nlohmann::json& spec,
                   std::function<void(Result<Revision>)> done) = 0;
  /// Removes an object if its revision is the given one.
  virtual void Remove(ObjectKind kind, const std::string& name, Revision expected,
                      std::function<void(Result<Ok>)> done) = 0;
};

}  // namespace bluebellpass::gateway
