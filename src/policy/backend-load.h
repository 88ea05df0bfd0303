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

/// Maps the fingerprint of a prompt prefix to the backend server that last ran it. Holds a bounded
/// number of prefixes and evicts the least recently set one.
class PrefixTable {
 public:
  void Set(Fingerprint prefix, const BackendId& backend);
  const BackendId* Find(Fingerprint prefix) const;
  std::size_t Size() const { return m_entries.size(); }

 private:
  using Entry = std::pair<Fingerprint, BackendId>;
  std::list<Entry> m_entries;  ///< most recently set first
  std::unordered_map<Fingerprint, std::list<Entry>::iterator> m_index;
};

/// Usage and estimated speed of one backend server.
struct BackendStats {
  BackendId id;
  bool is_active = false;
  std::int64_t slots = 0;
  std::int64_t slots_used = 0;
  std::int64_t external_runs = 0;  ///< runs granted by other owners, from load reports
  std::int64_t token_capacity = 0;
  std::int64_t tokens_used = 0;
  double prefill_tokens_per_second = 0;  ///< estimated from completed runs
  double decode_tokens_per_second = 0;   ///< of one stream, estimated from completed runs
  bool is_paused = false;                ///< gets no grants until resumed
  bool is_backing_off = false;           ///< dead or unreachable, and no run has completed since
};

/// Tracks the load and the speed of the backend servers of one cell, and chooses a server for each
/// request.
class BackendLoad {
 public:
  /// Resources and constraints of a request.
  struct Demand {
    Tokens prompt;
    Tokens output;
    Fingerprint prefix;
    bool is_exclusive = false;                      ///< must be the only run on its server
    Millis time_limit = Millis::max();              ///< must complete within this time
    std::vector<DataCentre> excluded_data_centres;  ///< their servers must not be chosen

    Tokens TotalTokens() const { return prompt + output; }
  };

  /// Replaces the set of servers. Run counts and estimated speeds of known servers are kept.
  void Configure(const std::vector<BackendConfig>& backends);

  /// Chooses the server with the shortest estimated completion time among those that have capacity
  /// and meet the time limit. The server that last ran the prefix is preferred while its load is at
  /// most 1.25 times the mean.
  /// @param kept_free server that must not be chosen; may be empty
  /// @return nullopt when no server can start the request now
  std::optional<BackendId> ChooseBackend(const Demand& demand, const BackendId& kept_free,
                                         TimePoint now) const;

  /// @return the least loaded server that could run the demand once it has capacity, so that the
  /// caller can keep it free for the demand
  std::optional<BackendId> FindLeastLoaded(const Demand& demand, TimePoint now) const;

  /// @return the next active server in round-robin order, regardless of load
  std::optional<BackendId> NextRoundRobin();

  /// Pauses or resumes grants to a server. The configured state of the server does not change.
  void SetGrantsPaused(const BackendId& backend, bool is_paused);

  /// Estimates the runs of other owners from a server's load report. The excess of a report is its
  /// number of runs above the highest own count of the last three report periods. The smaller
  /// excess of the last two reports occupies slots until the next report. A server without own runs
  /// keeps one free slot, so that wrong reports cannot stop grants for good.
  /// @param reported_runs nullopt when no report was received, which resets the external runs to 0
  void OnLoadReport(const BackendId& backend, std::optional<std::int64_t> reported_runs);

  /// Counts a run. Runs on unknown servers are counted too, since the server may be configured
  /// later.
  void BeginRun(const BackendId& backend, Tokens tokens, bool is_exclusive);
  /// Stops counting a run.
  /// @param backend, tokens, is_exclusive as passed to BeginRun()
  void EndRun(const BackendId& backend, Tokens tokens, bool is_exclusive);

  /// Updates the estimated speeds of a server from the times of a completed run and ends its
  /// backoff.
  void LearnSpeeds(const ReleaseMessage& release, TimePoint now);
  /// Starts or doubles the backoff of a dead or unreachable server, from 1 s up to 30 s. After the
  /// backoff, the server gets one run at a time until one completes.
  void OnBackendLost(const BackendId& backend, TimePoint now);
  /// Records the server that runs a prefix. The prefix 0 stands for none and is ignored.
  void RecordPrefix(Fingerprint prefix, const BackendId& backend) {
    if (prefix.Value() != 0) m_prefixes.Set(prefix, backend);
  }

  /// Moves the estimated speeds of servers without a sample for 10 s towards the configured speeds.
  /// Otherwise estimates from a slow phase could make the owner refuse all work, and without runs
  /// no sample would correct them.
  void DecaySpeeds(TimePoint now);

  /// @return true when the data centre has an active server
  bool HasActiveBackend(const DataCentre& data_centre) const;

  /// @return true when an active server outside the excluded data centres is large enough for the
  /// demand
  bool FitsOutsideExcluded(const Demand& demand) const;

  /// @return estimated completion time on the fastest active server without other runs; nullopt
  /// when no server is active
  std::optional<Millis> MinCompletionTime(const Demand& demand) const;

  /// @return true when an active server with grants not paused has a free slot
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
    /// Highest own run counts of the current report period and of the two before it.
    std::array<std::int64_t, 3> peak_runs{};
    std::int64_t last_excess = 0;    ///< reported runs above the own count, in the last report
    std::int64_t external_runs = 0;  ///< runs of other owners, confirmed by two reports
    double prefill_speed = 0;        ///< tokens per second
    double decode_speed = 0;         ///< tokens per second of one stream
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
  static bool IsOnTime(const Server& server, const Demand& demand);
  bool IsWithinAffinityLoad(const Server& server) const;
  static double EstimateSeconds(const Server& server, const Demand& demand);

  std::map<BackendId, Server> m_servers;
  PrefixTable m_prefixes;
  std::int64_t m_largest_capacity = 0;  ///< in tokens, over the active servers
  std::size_t m_round_robin_next = 0;
};

}  // namespace bluebellpass
