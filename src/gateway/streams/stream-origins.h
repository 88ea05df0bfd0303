#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bluebellpass/gateway/model.h"

namespace bluebellpass::gateway {

/// Service and software version of the backend server that began a stream.
struct StreamOrigin {
  ServiceName service;
  SoftwareVersion version;

  auto operator<=>(const StreamOrigin&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// A stream that its caller may take up again until a time.
struct StreamRecord {
  Fingerprint stream;  ///< see StreamOrigins::KeyOf
  TimePoint until;
};

/// Streams by their origins.
using StreamRecords = std::map<StreamOrigin, std::vector<StreamRecord>>;

/// Remembers where streams began, since what backend servers of two versions write does not fit
/// together. Performs no I/O and reads no clock.
class StreamOrigins {
 public:
  /// @param stream id of the caller's attempt that brings the first event
  static Fingerprint KeyOf(const AttemptId& stream) {
    return Fingerprint(StableHash(stream.Text()));
  }

  /// Records what the instance that runs a request has reported. A later record replaces an earlier
  /// one.
  void Record(const AttemptId& stream, const StreamOrigin& origin, TimePoint until);
  /// Adds what another instance has decided. Does not replace what this one has decided since
  /// HandOver.
  void Merge(const StreamRecords& records);
  /// @return the origin of a stream, or nullopt if it is unknown
  std::optional<StreamOrigin> Find(const AttemptId& stream, TimePoint now) const;
  /// @return what was recorded since the last call
  StreamRecords TakeChanges() { return std::exchange(m_changes, {}); }
  StreamRecords Snapshot(TimePoint now) const;
  /// @return all records for the next coordinator, whose decisions replace those of this instance,
  /// or none if this instance has decided nothing
  StreamRecords HandOver(TimePoint now);
  /// Must be called now and then.
  void RemoveExpired(TimePoint now);
  std::size_t Size() const { return m_streams.size(); }

 private:
  struct Entry {
    StreamOrigin origin;
    TimePoint until;
    bool is_own = false;
  };

  std::unordered_map<Fingerprint, Entry> m_streams;
  StreamRecords m_changes;
  TimePoint m_next_removal{};
};

}  // namespace bluebellpass::gateway
