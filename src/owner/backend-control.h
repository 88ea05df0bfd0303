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
  TimePoint owned_since;     ///< since when this instance has owned the cell without a break
};

/// What other tasks may ask of the owner role.
class BackendControl {
 public:
  virtual ~BackendControl() = default;

  /// @return the configured servers of the cells that this instance owns
  virtual std::vector<OwnedBackend> OwnedBackends() const = 0;

  /// Keeps new grants away from a server, or ends that. Does nothing for a server that is not
  /// owned; a hold ends with the ownership of the cell.
  virtual void SetGrantsPaused(const BackendId& backend, bool is_paused) = 0;

  /// Takes note of a server's own report of its load, which is only a hint.
  /// @param active runs reported, some time ago; nullopt when no report could be had
  virtual void OnLoadReport(const BackendId& backend,
                            std::optional<std::int64_t> reported_runs) = 0;
};

}  // namespace bluebellpass
