#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bluebellpass/peer.h"
#include "bluebellpass/timer.h"
#include "config/config-service.h"
#include "owner/backend-control.h"
#include "peer/ownership.h"
#include "policy/cell.h"

namespace bluebellpass {

/// A waiting request, for the operators' view.
struct WaitingRequest {
  RequestId id;
  InstanceId home;
  CellId cell;
  TierName tier;
  OrganisationId organisation;
  std::int64_t bytes = 0;
  Tokens tokens;        ///< prompt and longest output
  Millis waited{0};     ///< at the owner
  Millis remaining{0};  ///< until the deadline
};

/// A backend server with the cell that counts it, for the operators' view.
struct CellBackendStats {
  CellId cell;
  BackendStats backend;
};

/// Performs the owner role: keeps a Cell for each cell that this instance owns or that other
/// instances take it to own, and turns the cells' actions into messages.
class OwnerTask : public PeerListener, public ConfigListener, public BackendControl {
 public:
  /// Registers with the network. The caller registers it with the configuration service. The
  /// network, the timers and the ownership must outlive it.
  OwnerTask(PeerNetwork& network, TimerService& timers, const Ownership& ownership,
            QueuePolicy policy = QueuePolicy::kWeightedFair);
  OwnerTask(const OwnerTask&) = delete;
  OwnerTask& operator=(const OwnerTask&) = delete;
  ~OwnerTask() override = default;

  void OnPeerMessage(const InstanceId& from, const PeerMessage& message) override;
  void OnLinkUp(const InstanceId& peer, Incarnation incarnation) override;
  void OnLinkDown(const InstanceId& peer) override;
  void OnMembersChanged() override;
  void OnPeerStatus(const InstanceId& peer, const PeerStatus& status) override;
  void OnConfigApplied(const VersionedConfig& config) override;

  std::vector<OwnedBackend> OwnedBackends() const override;
  void SetGrantsPaused(const BackendId& backend, bool is_paused) override;
  void OnLoadReport(const BackendId& backend, std::optional<std::int64_t> reported_runs) override;

  std::vector<WaitingRequest> WaitingRequests() const;
  std::vector<CellBackendStats> CellBackends() const;
  /// @return suspects and quarantined contents; entries with 0 deaths are recent releases
  std::vector<QuarantineEntry> QuarantineEntries() const {
    return m_suspects.Entries(m_timers.Now());
  }
  /// @return true when the content must not be run, so that a home can refuse it at once
  bool IsQuarantined(Fingerprint content) const {
    return m_suspects.IsQuarantined(content, m_timers.Now());
  }
  /// An operator's order to let a content run again.
  /// @return false when nothing was held against it
  bool ReleaseContent(Fingerprint content);
  /// @return figures of all cells since the start of the process
  CellCounters Counters() const;

 private:
  struct OwnedCell {
    std::unique_ptr<Cell> cell;
    bool is_owned = false;  ///< in the view of this instance
    TimePoint owned_since;

    void SetOwned(bool is_now, TimePoint now) {
      if (is_now && !is_owned) owned_since = now;
      is_owned = is_now;
    }
  };

  void Handle(const InstanceId& from, const ReserveMessage& message);
  void Handle(const InstanceId& from, const CancelMessage& message);
  void Handle(const InstanceId& from, const SyncMessage& message);
  void Handle(const InstanceId& from, const ReleaseMessage& message);
  void Handle(const InstanceId& from, const FloorAckMessage& message);
  void Handle(const InstanceId& from, const QuarantineMessage& message);
  /// Messages for other tasks.
  template <class Message>
  void Handle(const InstanceId& /*from*/, const Message& /*message*/) {}

  bool IsOwner(const CellId& id) const;
  Cell& FindOrCreateCell(const CellId& id);
  Cell* FindCell(const CellId& id);
  /// @return the cell of a configured server, if it is kept here
  Cell* FindBackendCell(const BackendId& backend);
  void UpdateOwnership();
  /// @return true when the capacity that this instance grants has changed
  bool UpdateOwnedConfig();
  void DropCell(std::map<CellId, OwnedCell>::iterator it);
  void Tick();

  void PerformActions(Cell& cell);
  void PerformCellActions(Cell& cell);
  void RemoveUnreachableHomes();
  void Perform(const Cell& cell, const GrantAction& action);
  void Perform(const Cell& cell, const RefuseAction& action);
  void Perform(const Cell& cell, const AskFloorAction& action);
  void Perform(const Cell& cell, const FloorHeldAction& action);
  void Perform(const Cell& cell, const SuspectAction& action);
  void SendToHome(const InstanceId& home, const PeerMessage& message);
  void BroadcastQuarantine();

  PeerNetwork& m_network;
  TimerService& m_timers;
  const Ownership& m_ownership;
  QueuePolicy m_policy;
  Suspects m_suspects;
  std::uint64_t m_sent_changes = 0;
  std::map<CellId, OwnedCell> m_cells;
  std::uint64_t m_cells_created = 0;
  std::optional<ClusterConfig> m_config;
  std::optional<ClusterConfig> m_owned_config;  ///< of the configuration, for the cells
  SharedOrganisations m_organisations;
  /// Received before the first configuration, without which nothing can be queued.
  std::vector<std::pair<InstanceId, PeerMessage>> m_deferred;
  std::set<InstanceId> m_unreachable_homes;  ///< homes to which a message could not be sent
  CellCounters m_dropped_cell_counters;      ///< of cells that were dropped
  Timer m_tick;
};

}  // namespace bluebellpass
