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

/// A waiting request as shown to operators.
struct WaitingRequest {
  RequestId id;
  InstanceId home;
  CellId cell;
  TierName tier;
  OrganisationId organisation;
  std::int64_t bytes = 0;
  Tokens tokens;        ///< prompt tokens plus the maximum output tokens
  Millis waited{0};     ///< time in the owner's queue
  Millis remaining{0};  ///< until the deadline
};

/// A backend server and its cell, as shown to operators.
struct CellBackendStats {
  CellId cell;
  BackendStats backend;
};

/// Runs the owner role: keeps a Cell for each cell that this instance or another one considers to
/// be owned by this instance, and sends the cells' actions as messages.
class OwnerTask : public PeerListener, public ConfigListener, public BackendControl {
 public:
  /// Registers as a listener of the network. The caller registers it with the configuration
  /// service. The network, the timers and the ownership must outlive it.
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
  /// @return the suspect, quarantined and (with 0 deaths) recently released contents
  std::vector<QuarantineEntry> QuarantineEntries() const {
    return m_suspects.Entries(m_timers.Now());
  }
  /// @return true when the content must not run, so that a home can refuse the request at once
  bool IsQuarantined(Fingerprint content) const {
    return m_suspects.IsQuarantined(content, m_timers.Now());
  }
  /// Releases a content from suspicion or quarantine, by an operator's command.
  /// @return false when no deaths are recorded for it
  bool ReleaseContent(Fingerprint content);
  /// @return the counters of all cells, including dropped ones, since the start of the process
  CellCounters Counters() const;

 private:
  struct CellEntry {
    std::unique_ptr<Cell> cell;
    bool is_owned = false;  ///< in this instance's view
    TimePoint owned_since;

    void SetOwned(bool is_owned_now, TimePoint now) {
      if (is_owned_now && !is_owned) owned_since = now;
      is_owned = is_owned_now;
    }
  };

  void Handle(const InstanceId& from, const ReserveMessage& message);
  void Handle(const InstanceId& from, const CancelMessage& message);
  void Handle(const InstanceId& from, const SyncMessage& message);
  void Handle(const InstanceId& from, const ReleaseMessage& message);
  void Handle(const InstanceId& from, const FloorAckMessage& message);
  void Handle(const InstanceId& from, const QuarantineMessage& message);
  /// Ignores messages for other tasks.
  template <class Message>
  void Handle(const InstanceId& /*from*/, const Message& /*message*/) {}

  bool OwnsCell(const CellId& id) const;
  Cell& FindOrCreateCell(const CellId& id);
  Cell* FindCell(const CellId& id);
  /// @return the cell of a configured server; nullptr when this instance does not keep it
  Cell* FindBackendCell(const BackendId& backend);
  void UpdateOwnership();
  /// Updates the configuration with this instance's share of the backend servers' capacity.
  /// @return true when the share has changed
  bool UpdateOwnedConfig();
  void DropCell(std::map<CellId, CellEntry>::iterator it);
  void Tick();

  /// Performs the pending actions of a cell, broadcasts changes of the quarantine, and removes
  /// homes that turned out to be unreachable.
  void FinishUpdate(Cell& cell);
  void PerformActions(Cell& cell);
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
  std::uint64_t m_sent_change_count = 0;  ///< change count of the quarantine list last sent
  std::map<CellId, CellEntry> m_cells;
  std::uint64_t m_cells_created = 0;
  std::optional<ClusterConfig> m_config;
  std::optional<ClusterConfig> m_owned_config;  ///< with this instance's share of the capacity
  SharedOrganisations m_organisations;
  /// Messages received before the first configuration, handled after it.
  std::vector<std::pair<InstanceId, PeerMessage>> m_deferred_messages;
  std::set<InstanceId> m_unreachable_homes;  ///< homes that a message could not be sent to
  CellCounters m_dropped_cell_counters;      ///< sums over dropped cells
  Timer m_tick_timer;
};

}  // namespace bluebellpass
