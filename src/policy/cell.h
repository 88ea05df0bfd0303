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

/// How a cell schedules. The second is a baseline for benchmarks.
enum class QueuePolicy {
  kWeightedFair,
  kFifoRoundRobin,  ///< grants at once, servers in turn, whatever their load
};

/// A backend server for a request.
struct GrantAction {
  InstanceId home;
  GrantMessage message;
  Reservation reservation;
};
/// A request must not wait any longer.
struct RefuseAction {
  InstanceId home;
  RefuseMessage message;
  TierName tier;
  OrganisationId organisation;
};
/// Instances are to be asked for a shed floor.
struct AskFloorAction {
  std::vector<InstanceId> instances;
  FloorAskMessage message;
};
/// All instances have acknowledged a floor.
struct FloorHeldAction {
  TierRank rank;
};
/// A death was counted against a content.
struct SuspectAction {
  Fingerprint content;
  std::uint32_t deaths = 0;
  BackendId backend;
};
using CellAction =
    std::variant<GrantAction, RefuseAction, AskFloorAction, FloorHeldAction, SuspectAction>;

/// Figures since the cell was made.
struct CellCounters {
  std::map<TierName, std::int64_t> granted_tokens;
  std::map<TierName, std::int64_t> shed_requests;  ///< refused as overloaded or by the limit
  std::int64_t wasted_prefill_tokens = 0;          ///< uncached prompt of runs without an answer
};

using OrganisationMap = std::unordered_map<OrganisationId, OrganisationConfig>;
/// One map serves all cells of an owner: a copy in each took 300 bytes per organisation and cell.
using SharedOrganisations = std::shared_ptr<const OrganisationMap>;

/// @return the organisations of a configuration by id
SharedOrganisations MakeOrganisationMap(const ClusterConfig& config);

/// The scheduling state of one cell at its owner. Pure logic: time is passed in, and what is to be
/// done is collected as actions.
class Cell {
 public:
  /// @param first_number grants and floor rounds are numbered from here; ranges of cells with the
  /// same owner must not overlap
  /// @param suspects shared by all cells of the instance; must outlive the cell
  Cell(CellId id, QueuePolicy policy, std::uint64_t first_number, Suspects& suspects);

  void OnReserve(const InstanceId& home, const Reservation& reservation, TimePoint now);
  void OnCancel(const InstanceId& home, const RequestId& id, TimePoint now);
  /// Replaces all state of a home in this cell.
  void OnSync(const InstanceId& home, const SyncMessage& sync, TimePoint now);
  void OnRelease(const InstanceId& home, const ReleaseMessage& release, TimePoint now);
  /// Drops all state of a home whose link is down.
  void OnHomeDisconnected(const InstanceId& home, TimePoint now);
  void OnConfig(const ClusterConfig& config, TimePoint now) {
    OnConfig(config, MakeOrganisationMap(config), now);
  }
  /// @param organisations those of the configuration
  void OnConfig(const ClusterConfig& config, SharedOrganisations organisations, TimePoint now);
  void OnFloorAck(const InstanceId& from, const FloorAckMessage& ack, TimePoint now);
  void OnMembersChanged(const std::vector<Member>& members, TimePoint now);
  /// Keeps new grants away from a server, or ends that.
  void SetGrantsPaused(const BackendId& backend, bool is_paused, TimePoint now);
  /// Takes note of a server's own report of its load; nullopt when no report could be had.
  void OnLoadReport(const BackendId& backend, std::optional<std::int64_t> reported_runs,
                    TimePoint now);
  /// Expires deadlines and asks for floors again; to be called every 100 ms or so.
  void Tick(TimePoint now);

  /// @return what is to be done since the last call, in order
  std::vector<CellAction> TakeActions() { return std::exchange(m_actions, {}); }

  const CellId& Id() const { return m_id; }
  const CellQueue& Queue() const { return m_queue; }
  const BackendLoad& Load() const { return m_load; }
  const ShedFloor& Floor() const { return m_floor; }
  const CellCounters& Counters() const { return m_counters; }
  std::size_t RunningCount() const { return m_runs.size(); }
  /// @return the homes that have work waiting or running here
  std::set<InstanceId> Homes() const;
  /// @return true when nothing waits or runs
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
  using RunKey = std::pair<RequestId, std::uint64_t>;  ///< numbers of other owners may recur

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
  bool IsOverOrganisationLimit(const Reservation& reservation, TierRank rank, TimePoint now);
  void Refuse(const InstanceId& home, const Reservation& reservation, ErrorKind kind);
  void RefuseAll(const std::vector<QueuedReservation>& items, ErrorKind kind);

  void ShedOverflow(TimePoint now);
  bool IsTierOverLimit(TierRank rank) const;
  void ShedTierOverflow(TierRank rank);
  void AskNextFloor(TimePoint now);
  void AskFloor(TierRank rank, TimePoint now);
  void SendFloorAsk(TimePoint now);

  void GrantWaiting(TimePoint now);
  /// @return why an item whose turn has come must not be run any more
  std::optional<ErrorKind> CheckBeforeGrant(const QueuedReservation& item, TimePoint now) const;
  bool GrantNext(TimePoint now);
  void GrantReservation(RequestId id, const BackendId& backend, bool is_exclusive, TimePoint now);
  void AddRun(RunKey key, Run running);
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
  std::map<TierRank, std::int64_t> m_max_waiting_bytes;  ///< bytes, of the tiers configured
  SharedOrganisations m_organisations = std::make_shared<const OrganisationMap>();
  std::vector<ShiftRule> m_shift_rules;  ///< of the pool
  std::map<RunKey, Run> m_runs;
  std::size_t m_exclusive_runs = 0;
  std::vector<CellAction> m_actions;
  CellCounters m_counters;
};

}  // namespace bluebellpass
