#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "bluebellpass/config.h"
#include "bluebellpass/peer.h"

namespace bluebellpass {

/// A backend server of a cell that this instance owns.
struct OwnedBackend {
  BackendConfig config;
  CellId cell;
  std::int64_t running = 0;  ///< runs counted by the owner
  TimePoint owned_since;     ///< start of this instance's current ownership of the cell
};

/// Interface of the owner role for tasks that control or monitor backend servers.
class BackendControl {
 public:
  virtual ~BackendControl() = default;

  /// @return the configured servers of the cells owned by this instance
  virtual std::vector<OwnedBackend> OwnedBackends() const = 0;

  /// Pauses or resumes grants to a server. Ignored for a server that is not owned; a pause ends
  /// with the ownership of the cell.
  virtual void SetGrantsPaused(const BackendId& backend, bool is_paused) = 0;

  /// Passes on a load report of a server, which is only a hint since it arrives late.
  /// @param reported_runs nullopt when no report was received
  virtual void OnLoadReport(const BackendId& backend,
                            std::optional<std::int64_t> reported_runs) = 0;
};

}  // namespace bluebellpass
