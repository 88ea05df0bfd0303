#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <utility>

#include "bluebellpass/gateway/model.h"
#include "bluebellpass/gateway/store-client.h"

namespace bluebellpass::gateway {

/// The latest reports of backend servers. A store that has come back from an older copy names
/// servers that have left since, and calls leaving ones ready, until they report again.
class BackendReports {
 public:
  /// @return true if a later report of the same start is known, or the server left after it
  bool IsOutdated(const Backend& backend, Revision revision) const;
  void Record(const Backend& backend, Revision revision);
  /// @param revision of the deletion of the server's entry
  void RecordRemoval(const BackendId& id, Revision revision);

 private:
  struct Report {
    BackendStart start;
    std::uint64_t number = 0;
    Revision revision;
    bool is_removed = false;
  };
  void ForgetOldestRemoval();

  std::map<BackendId, Report> m_reports;
  std::set<std::pair<Revision, BackendId>> m_removals;
};

}  // namespace bluebellpass::gateway
