#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "policy/backend-load.h"
#include "policy/cell-queue.h"
#include "policy/shed-floor.h"
#include "policy/suspects.h"

namespace bluebellpass {

/// Scheduling policy of a cell.
enum class QueuePolicy {
  kWeightedFair,
  kFifoRoundRobin,  ///< benchmark baseline: grants at once, ignoring load
};

/// Grants a backend server to a request.
struct GrantAction {
  InstanceId home;
  GrantMessage message;
  Reservation reservation;
};
/// Refuses a request.
struct RefuseAction {
  InstanceId home;
  RefuseMessage message;
  TierName tier;
  OrganisationId organisation;
};
/// Asks instances to promise a shed floor.
struct AskFloorAction {
  std::vector<InstanceId> instances;
  FloorAskMessage message;
};
/// Reports that all instances have acknowledged a shed floor.
struct FloorHeldAction {
  TierRank rank;
};
/// Reports that a backend server's death was counted against a content.
struct SuspectAction {
  Fingerprint content;
  std::uint32_t deaths = 0;
  BackendId backend;
};
using CellAction =
    std::variant<GrantAction, RefuseAction, AskFloorAction, FloorHeldAction, SuspectAction>;

/// Counters since the creation of the cell.
struct CellCounters {
  std::map<TierName, std::int64_t> granted_tokens;
  std::map<TierName, std::int64_t> shed_requests;  ///< refused as overloaded or over a limit
  std::int64_t wasted_prefill_tokens = 0;          ///< uncached prompt tokens of unsuccessful runs
};

using OrganisationMap = std::unordered_map<OrganisationId, OrganisationConfig>;
/// Shared by all cells of an owner, since each copy would take 300 bytes per organisation.
using SharedOrganisations = std::shared_ptr<const OrganisationMap>;

/// @return the organisations of a configuration, by id
SharedOrganisations MakeOrganisationMap(const ClusterConfig& config);

/// Schedules the requests of one cell onto its backend servers, at the cell's owner. Does no I/O:
/// time is passed in, and effects are collected as actions.
class Cell {
 public:
  /// @param first_number first number for grants and floor rounds; the ranges of cells with the
  /// same owner must not overlap
  /// @param suspects shared by all cells of the instance; must outlive the cell
  Cell(CellId id, QueuePolicy policy, std::uint64_t first_number, Suspects& suspects);

  void OnReserve(const InstanceId& home, const Reservation& reservation, TimePoint now);
  void OnCancel(const InstanceId& home, const RequestId& id, TimePoint now);
  /// Replaces the waiting and running requests of a home.
  void OnSync(const InstanceId& home, const SyncMessage& sync, TimePoint now);
  void OnRelease(const InstanceId& home, const ReleaseMessage& release, TimePoint now);
  /// Removes the waiting and running requests of a home whose link is down.
  void OnHomeDisconnected(const InstanceId& home, TimePoint now);
  void OnConfig(const ClusterConfig& config, TimePoint now) {
    OnConfig(config, MakeOrganisationMap(config), now);
  }
  /// @param organisations organisations of the configuration
  void OnConfig(const ClusterConfig& config, SharedOrganisations organisations, TimePoint now);
  void OnFloorAck(const InstanceId& from, const FloorAckMessage& ack, TimePoint now);
  void OnMembersChanged(const std::vector<Member>& members, TimePoint now);
  /// Pauses or resumes grants to a server.
  void SetGrantsPaused(const BackendId& backend, bool is_paused, TimePoint now);
  /// Updates the load of a server from its load report.
  /// @param reported_runs nullopt when no report was received
  void OnLoadReport(const BackendId& backend, std::optional<std::int64_t> reported_runs,
                    TimePoint now);
  /// Refuses expired requests and repeats unacknowledged floor asks. Call about every 100 ms.
  void Tick(TimePoint now);

  /// @return the actions since the last call, in order
  std::vector<CellAction> TakeActions() { return std::exchange(m_actions, {}); }

  const CellId& Id() const { return m_id; }
  const CellQueue& Queue() const { return m_queue; }
  const BackendLoad& Load() const { return m_load; }
  const ShedFloor& Floor() const { return m_floor; }
  const CellCounters& Counters() const { return m_counters; }
  std::size_t RunningCount() const { return m_runs.size(); }
  /// @return the homes with waiting or running requests
  std::set<InstanceId> Homes() const;
  /// @return true when no request waits or runs
  bool IsIdle() const { return m_queue.Size() == 0 && m_runs.empty(); }

 private:
  struct Run {
    InstanceId home;
    BackendId backend;
    Tokens tokens;
    Fingerprint content;
    bool is_exclusive = false;
    bool is_death_counted = false;
  };
  using TierMap = std::map<TierName, TierConfig>;
  /// Request and grant number. Grant numbers of different owners may be equal.
  using RunKey = std::pair<RequestId, std::uint64_t>;

  const TierConfig* FindTier(const TierName& name) const;
  const OrganisationConfig* FindOrganisation(const OrganisationId& id) const;
  std::optional<TierRank> LeastUrgentRank() const;
  bool HasQueueOrderChanged(const TierMap& old_tiers,
                            const OrganisationMap& old_organisations) const;
  void RebuildQueue();

  void AdmitReservation(const InstanceId& home, const Reservation& reservation, TimePoint now);
  std::optional<ErrorKind> CheckAdmission(const Reservation& reservation, TimePoint now);
  std::optional<Millis> MinCompletionTime(const Reservation& reservation) const;
  bool IsDeadlineInfeasible(const Reservation& reservation) const;
  /// Sheds the tiers below when the reservation exceeds its organisation's limit.
  /// @return true when the reservation must be refused
  bool EnforceOrganisationLimit(const Reservation& reservation, TierRank rank, TimePoint now);
  void Refuse(const InstanceId& home, const Reservation& reservation, ErrorKind kind);
  void RefuseAll(const std::vector<QueuedReservation>& items, ErrorKind kind);

  void ShedOverflow(TimePoint now);
  bool IsTierOverLimit(TierRank rank) const;
  void ShedTierOverflow(TierRank rank);
  void AskNextFloor(TimePoint now);
  void AskFloor(TierRank rank, TimePoint now);
  void SendFloorAsk(TimePoint now);

  void GrantWaiting(TimePoint now);
  /// @return the reason to refuse the item in place of a grant, if any
  std::optional<ErrorKind> CheckBeforeGrant(const QueuedReservation& item, TimePoint now) const;
  bool GrantNext(TimePoint now);
  void GrantReservation(RequestId id, const BackendId& backend, bool is_exclusive, TimePoint now);
  void AddRun(RunKey key, Run run);
  void EndRun(std::map<RunKey, Run>::iterator it);
  void CountDeath(const ReleaseMessage& release, const Run* ended, TimePoint now);
  void RemoveHome(const InstanceId& home);
  void ApplyShiftRules(BackendLoad::Demand& demand, const RequestId& id) const;
  BackendLoad::Demand MakeDemand(const Reservation& reservation, TimePoint now) const;

  CellId m_id;
  QueuePolicy m_policy;
  std::uint64_t m_next_number;
  Suspects& m_suspects;
  CellQueue m_queue;
  BackendLoad m_load;
  ShedFloor m_floor;
  FloorMembers m_members;
  TimePoint m_floor_ask_sent_at;
  TimePoint m_speeds_decayed_at;
  TierMap m_tiers;
  std::map<TierRank, std::int64_t> m_max_bytes;  ///< waiting bytes allowed per tier
  SharedOrganisations m_organisations = std::make_shared<const OrganisationMap>();
  std::vector<ShiftRule> m_shift_rules;  ///< of the pool
  std::map<RunKey, Run> m_runs;
  std::size_t m_exclusive_runs = 0;
  std::vector<CellAction> m_actions;
  CellCounters m_counters;
};

}  // namespace bluebellpass
