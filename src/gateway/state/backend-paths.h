#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Tells faults of backend servers from those of this instance's own path to them, by the
/// connections that it opens and loses. A failed connection is the backend server's fault only if
/// this instance has reached another one since. Performs no I/O and reads no clock.
class BackendPaths {
 public:
  /// Backend servers that fail one after the other, without a connection to another one in between,
  /// before the own path counts as lost. Fewer may crash at the same time.
  static constexpr std::size_t kStrandedFailures = 3;

  /// Records an established connection.
  /// @return backend servers whose connections failed shortly before by faults of their own
  std::vector<BackendId> RecordConnected(const BackendId& id, TimePoint now);
  /// Records that no connection could be established.
  /// @param dialled_at when it was tried
  /// @return true if it is the backend server's fault; otherwise that is not known yet
  bool RecordFailure(const BackendId& id, TimePoint dialled_at, TimePoint now);
  /// Records that a connection with a run has broken.
  /// @return true unless those to several backend servers break at the same time
  bool RecordLoss(const BackendId& id, TimePoint now);
  /// Forgets the failures of a backend server that has left.
  void Remove(const BackendId& id) { m_unexplained.erase(id); }

  bool IsUnexplained(const BackendId& id) const { return m_unexplained.contains(id); }
  std::size_t UnexplainedCount() const { return m_unexplained.size(); }
  /// @param known number of backend servers
  /// @return true if this instance reaches none of them, as far as it has tried
  bool IsStranded(std::size_t known) const;

 private:
  /// Last failure of each backend server since a connection was established.
  std::map<BackendId, TimePoint> m_unexplained;
  std::map<BackendId, TimePoint> m_losses;
  std::optional<TimePoint> m_connected_at;
};

}  // namespace bluebellpass::gateway
