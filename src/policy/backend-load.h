#pragma once

#include <array>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bluebellpass/config.h"
#include "bluebellpass/peer.h"

namespace bluebellpass {

/// Bounded table from the fingerprint of a prefix to the backend server that ran it last.
class PrefixTable {
 public:
  void Set(Fingerprint prefix, const BackendId& backend);
  const BackendId* Find(Fingerprint prefix) const;
  std::size_t Size() const { return m_entries.size(); }

 private:
  using Entry = std::pair<Fingerprint, BackendId>;
  std::list<Entry> m_entries;  ///< the row used last is the first
  std::unordered_map<Fingerprint, std::list<Entry>::iterator> m_index;
};

/// What a backend server does for an operator's view and for the choice of a server.
struct BackendStats {
  BackendId id;
  bool is_active = false;
  std::int64_t slots = 0;
  std::int64_t slots_used = 0;
  std::int64_t external_runs = 0;  ///< runs of others, by the server's reports
  std::int64_t token_capacity = 0;
  std::int64_t tokens_used = 0;
  double prefill_tokens_per_second = 0;  ///< learned
  double decode_tokens_per_second = 0;   ///< learned, of one stream
  bool is_paused = false;                ///< gets no grants while a model is loaded
  bool is_backing_off = false;           ///< died lately and has completed nothing since
};

/// Load and speed of the backend servers of one cell, as own_runs by its owner.
class BackendLoad {
 public:
  /// What a request needs of a server.
  struct Demand {
    Tokens prompt;
    Tokens output;
    Fingerprint prefix;
    bool is_exclusive = false;          ///< only on a server with nothing else running
    Millis time_limit = Millis::max();  ///< time in which it must complete
    std::vector<DataCentre> excluded;   ///< their servers are left out

    Tokens TotalTokens() const { return prompt + output; }
  };

  /// Replaces the set of servers; what runs on them and what was learned stays.
  void Configure(const std::vector<BackendConfig>& backends);

  /// Chooses among the servers with room that would complete the demand in time the one with the
  /// shortest expected completion, or the one that has the prefix while its load is at most 1.25
  /// times the mean.
  /// @param kept_free server that must not be chosen; may be empty
  std::optional<BackendId> ChooseBackend(const Demand& demand, const BackendId& kept_free,
                                         TimePoint now) const;

  /// @return the server that is likely to have room for the demand first, to be kept free for it
  std::optional<BackendId> FindLeastLoaded(const Demand& demand, TimePoint now) const;

  /// @return the next active server in turn, whatever its load
  std::optional<BackendId> NextRoundRobin();

  /// Keeps new grants away from a server, whatever its state, or ends that.
  void SetGrantsPaused(const BackendId& backend, bool is_paused);

  /// Takes note of a server's own report of its load. What two reports in a row show above the own
  /// count, at its highest in the last three periods, is taken for work of others and counts as
  /// used slots until the next report. A server on which nothing is own_runs keeps one slot, so
  /// that wrong reports cannot stop grants for good.
  /// @param active runs reported; nullopt when no report could be had, which ends this count
  void OnLoadReport(const BackendId& backend, std::optional<std::int64_t> reported_runs);

  /// Counts a run. Unknown servers are own_runs too, for the case that they are configured later.
  void BeginRun(const BackendId& backend, Tokens tokens, bool is_exclusive);
  /// Ends the count of a run, with the same arguments.
  void EndRun(const BackendId& backend, Tokens tokens, bool is_exclusive);

  /// Learns from the measured times of a completed run and ends a backoff.
  void LearnSpeeds(const ReleaseMessage& release, TimePoint now);
  /// The server died: no grants for 1 s, doubling to 30 s, then one probe at a time.
  void OnBackendLost(const BackendId& backend, TimePoint now);
  void RecordPrefix(Fingerprint prefix, const BackendId& backend) {
    if (prefix.Value() != 0) m_prefixes.Set(prefix, backend);
  }

  /// Moves speeds that have had no sample for 10 s towards the configured ones. Without this a
  /// slow phase could make the owner refuse all work and never learn that it is over.
  void DecaySpeeds(TimePoint now);

  /// @return true when the data centre has an active server
  bool HasActiveBackend(const DataCentre& data_centre) const;

  /// @return true when some active server outside the excluded data centres can hold the demand
  bool FitsOutsideExcluded(const Demand& demand) const;

  /// @return shortest time in which an active, empty server could complete the demand; nullopt
  /// when no server is active
  std::optional<Millis> MinCompletionTime(const Demand& demand) const;

  /// @return true when some active server has a free slot
  bool HasFreeSlot() const;

  std::vector<BackendStats> Stats() const;

 private:
  struct Server {
    BackendConfig config;
    bool is_configured = false;
    bool is_paused = false;
    std::int64_t slots_used = 0;
    std::int64_t tokens_used = 0;
    std::int64_t exclusive_runs = 0;
    /// Highest own counts since the last report and in the periods before.
    std::array<std::int64_t, 3> peak_runs{};
    std::int64_t last_excess = 0;    ///< of the last report
    std::int64_t external_runs = 0;  ///< runs of others, which two reports in a row have shown
    double prefill_speed = 0;
    double decode_speed = 0;
    TimePoint last_sample_at;
    Millis backoff{0};  ///< 0 when the server is not backing off
    TimePoint retry_at;

    bool IsActive() const { return is_configured && config.state == BackendState::kActive; }
    bool IsSchedulable() const { return IsActive() && !is_paused; }
    bool IsService() const { return config.kind == "service"; }
    std::int64_t OccupiedSlots() const;
    double Load() const;
    bool IsExcluded(const Demand& demand) const;
  };

  bool HasCapacity(const Server& server, const Demand& demand, TimePoint now) const;
  /// @return true when the server would complete the demand in time by its learned speed
  static bool MeetsTimeLimit(const Server& server, const Demand& demand);
  bool IsWithinAffinityLoad(const Server& server) const;
  static double EstimateSeconds(const Server& server, const Demand& demand);

  std::map<BackendId, Server> m_servers;
  PrefixTable m_prefixes;
  std::int64_t m_largest_capacity = 0;  ///< tokens, of the active servers
  std::size_t m_round_robin_next = 0;
};

}  // namespace bluebellpass
