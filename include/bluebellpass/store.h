#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

/// Client interface of the platform's object API.

namespace bluebellpass {

/// The value and version of an object.
struct VersionedObject {
  std::string value;
  ObjectVersion version;
};

/// Key and version of a listed object.
struct ObjectEntry {
  std::string key;
  ObjectVersion version;
};

/// Client of the object API. Callbacks run on the event loop, never from inside the call.
///
/// Errors: kNotFound (the object does not exist), kConflict (the version differs from the expected
/// one; nothing was written), kStoreUnavailable (the request was not sent; nothing was written),
/// kStoreUncertain (the response was lost; a write may have taken effect).
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// Reads an object.
  virtual void Get(const std::string& key, std::function<void(Result<VersionedObject>)> done) = 0;

  /// Writes an object if its version matches.
  /// @param expected required current version; 0 means that the object must not exist
  /// @param done receives the new version
  virtual void Put(const std::string& key, std::string value, ObjectVersion expected,
                   std::function<void(Result<ObjectVersion>)> done) = 0;

  /// Deletes an object if its version matches.
  virtual void Delete(const std::string& key, ObjectVersion expected,
                      std::function<void(Result<Ok>)> done) = 0;

  /// Lists the objects whose keys start with a prefix.
  virtual void List(const std::string& prefix,
                    std::function<void(Result<std::vector<ObjectEntry>>)> done) = 0;

  /// Waits until an object's version is above the given one.
  /// @param wait longest time to wait, after which done receives nullopt
  virtual void Watch(const std::string& key, ObjectVersion after, Millis wait,
                     std::function<void(Result<std::optional<VersionedObject>>)> done) = 0;
};

}  // namespace bluebellpass
