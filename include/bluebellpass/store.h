#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

/// The platform's object API, as the system uses it.

namespace bluebellpass {

/// A value with the version under which it was read.
struct VersionedObject {
  std::string value;
  ObjectVersion version;
};

/// One row of a listing.
struct ObjectEntry {
  std::string key;
  ObjectVersion version;
};

/// Client of the object API. Callbacks run on the event loop, never inside the call itself.
///
/// Errors: kNotFound (the object does not exist), kConflict (the condition did not hold; nothing
/// was written), kStoreUnavailable (the call was not made; nothing was written), kStoreUncertain
/// (the answer was lost; a write may have taken effect).
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// Reads an object.
  virtual void Get(const std::string& key, std::function<void(Result<VersionedObject>)> done) = 0;

  /// Writes an object if its version is still the expected one.
  /// @param expected version that must be current; 0 means that the object must not exist
  /// @param done gets the new version
  virtual void Put(const std::string& key, std::string value, ObjectVersion expected,
                   std::function<void(Result<ObjectVersion>)> done) = 0;

  /// Removes an object if its version is still the expected one.
  virtual void Delete(const std::string& key, ObjectVersion expected,
                      std::function<void(Result<Ok>)> done) = 0;

  /// Lists the objects whose key starts with a prefix.
  virtual void List(const std::string& prefix,
                    std::function<void(Result<std::vector<ObjectEntry>>)> done) = 0;

  /// Waits until an object has a version above the given one.
  /// @param wait longest time to wait; done gets nullopt when nothing has changed by then
  virtual void Watch(const std::string& key, ObjectVersion after, Millis wait,
                     std::function<void(Result<std::optional<VersionedObject>>)> done) = 0;
};

}  // namespace bluebellpass
