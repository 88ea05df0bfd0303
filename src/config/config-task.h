#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bluebellpass/config.h"
#include "bluebellpass/peer.h"
#include "bluebellpass/store.h"
#include "bluebellpass/timer.h"
#include "config/config-service.h"

namespace bluebellpass {

/// Keeps the cluster's configuration current: reads and watches `config/main`, spreads new versions
/// over peer links and writes operators' changes. Lives on the event loop.
class ConfigTask : public ConfigService, public PeerListener {
 public:
  /// @param store, network, timers must outlive the task. The network keeps a pointer to the task,
  /// so the task must outlive all events of the network.
  ConfigTask(ObjectStore& store, PeerNetwork& network, TimerService& timers);
  ~ConfigTask() override;
  ConfigTask(const ConfigTask&) = delete;
  ConfigTask& operator=(const ConfigTask&) = delete;

  /// Joins the network's listeners, reads the store and begins to poll. To be called once.
  void Start();

  const VersionedConfig& Current() const override { return m_current; }
  bool IsRecentlyConfirmed() const override;
  void OnPause() override;
  /// Errors: those of `edit`; kInvalidConfig and kTooLarge when the result cannot be stored;
  /// kConflict and kStoreUnavailable when nothing was written; kStoreUncertain when the write may
  /// have taken effect and reading back did not tell within 10 s.
  void ChangeConfig(std::function<Result<ClusterConfig>(const ClusterConfig&)> edit,
                    std::function<void(Result<ObjectVersion>)> done) override;
  void AddListener(ConfigListener* listener) override { m_listeners.push_back(listener); }

  void OnPeerMessage(const InstanceId& from, const PeerMessage& message) override;
  void OnLinkUp(const InstanceId& peer, Incarnation incarnation) override;
  void OnLinkDown(const InstanceId& peer) override;
  void OnMembersChanged() override;
  void OnPeerStatus(const InstanceId& peer, const PeerStatus& status) override;

 private:
  struct Peer {
    ObjectVersion version;                 ///< last one reported
    std::optional<TimePoint> reported_at;  ///< of the last report that counts as contact
    std::optional<TimePoint> link_up_at;
    std::optional<TimePoint> behind_since;  ///< since when its version is below ours
    ObjectVersion sent_version;
    TimePoint sent_at;
  };
  /// A report of a version that is not applied here yet.
  struct Claim {
    ObjectVersion version;
    TimePoint as_of;
  };
  struct PendingChange {
    std::string document;
    ObjectVersion expected;
    std::function<void(Result<ObjectVersion>)> done;
    TimePoint deadline;
    bool is_uncertain = false;  ///< the answer to a write was lost
    ObjectVersion accepted;     ///< 0 until the write is confirmed
  };
  enum class Source { kStore, kPeer };

  void Tick();
  void Poll();
  void OnRead(std::uint64_t generation, TimePoint started,
              const Result<std::optional<VersionedObject>>& result);
  void RenewWatch();
  void OnWatched(std::uint64_t generation, const Result<std::optional<VersionedObject>>& result);
  void Apply(ObjectVersion version, const std::string& document, Source source);
  void Spread(Source source);
  void SendTo(const InstanceId& id, Peer& peer);
  void RepairPeer(const InstanceId& id, Peer& peer);
  void Confirm(TimePoint as_of);
  void EndPause();
  void ReportStatus();
  void ReportStaleness();

  bool IsTrusted(const Peer& peer) const;
  bool IsStoreUnreachable() const;
  bool HasMajority() const;
  bool IsOlderThan(Millis age) const;
  /// @return the newest version known here, applied or rejected
  ObjectVersion KnownVersion() const;

  void Write(std::uint64_t id);
  void OnWritten(std::uint64_t id, const Result<ObjectVersion>& result);
  void ReadBack(std::uint64_t id);
  void OnReadBack(std::uint64_t id, const Result<VersionedObject>& result);
  void RetryChange(std::uint64_t id, void (ConfigTask::*step)(std::uint64_t));
  void Accept(std::uint64_t id, ObjectVersion version);
  void CheckChanges();
  bool IsSpread(ObjectVersion version) const;
  void Finish(std::uint64_t id, Result<ObjectVersion> result);
  std::string NextToken();

  /// @return a function that does nothing once the task is gone
  template <class Function>
  auto Guard(Function function) {
    return [weak = std::weak_ptr<int>(m_alive), function = std::move(function)](auto&&... args) {
      if (!weak.expired()) function(std::forward<decltype(args)>(args)...);
    };
  }

  ObjectStore& m_store;
  PeerNetwork& m_network;
  TimerService& m_timers;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  Timer m_tick;
  std::vector<ConfigListener*> m_listeners;

  VersionedConfig m_current;
  ObjectVersion m_rejected;  ///< newest version refused as invalid
  std::unordered_map<InstanceId, Peer> m_peers;
  std::size_t m_member_count = 1;
  bool m_is_poller = true;

  TimePoint m_started_at;
  std::optional<TimePoint> m_confirmed;  ///< up to when the current version is known to be newest
  std::optional<TimePoint> m_paused_at;  ///< end of the last pause
  bool m_is_pausing = false;             ///< a pause was reported, its end is not known yet
  std::optional<Claim> m_claim;
  bool m_is_stale_reported = false;

  std::uint64_t m_read_generation = 0;
  std::optional<TimePoint> m_read_started;  ///< of the read in flight
  std::optional<TimePoint> m_last_read;     ///< start of the last read
  bool m_has_store_contact = false;
  bool m_has_read_failed = false;
  std::uint64_t m_watch_generation = 0;
  std::optional<TimePoint> m_watch_started;  ///< of the watch in flight
  TimePoint m_next_watch;

  std::uint64_t m_next_change = 1;
  std::map<std::uint64_t, PendingChange> m_changes;
};

}  // namespace bluebellpass
