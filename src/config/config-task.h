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

/// Keeps the cluster's configuration current: polls and watches the object `config/main`, sends new
/// versions to peers and writes operators' changes. Runs on the event loop.
///
/// The first instances of each data centre, by id, are pollers: they poll and watch the store. The
/// others read it only if the reports of their peers are too old.
class ConfigTask : public ConfigService, public PeerListener {
 public:
  /// @param store, network, timers must outlive the task. The network keeps a pointer to the task
  /// as a listener, so the task must exist as long as the network delivers events.
  ConfigTask(ObjectStore& store, PeerNetwork& network, TimerService& timers);
  ~ConfigTask() override;
  ConfigTask(const ConfigTask&) = delete;
  ConfigTask& operator=(const ConfigTask&) = delete;

  /// Adds the task to the network's listeners, reads the store and starts to poll. Must be called
  /// once.
  void Start();

  const VersionedConfig& Current() const override { return m_current; }
  bool IsRecentlyConfirmed() const override;
  void OnPause() override;
  /// Errors: those of `edit`; kInvalidConfig or kTooLarge if the new document cannot be stored;
  /// kConflict or kStoreUnavailable if nothing was written; kStoreUncertain if the write may have
  /// taken effect, because reading back gave no result within 10 s or found a later change.
  void ChangeConfig(std::function<Result<ClusterConfig>(const ClusterConfig&)> edit,
                    std::function<void(Result<ObjectVersion>)> done) override;
  void AddListener(ConfigListener* listener) override { m_listeners.push_back(listener); }

  void OnPeerMessage(const InstanceId& from, const PeerMessage& message) override;
  void OnLinkUp(const InstanceId& peer, Incarnation incarnation) override;
  void OnLinkDown(const InstanceId& peer) override;
  void OnMembersChanged() override;
  void OnPeerStatus(const InstanceId& peer, const PeerStatus& status) override;

 private:
  struct PeerState {
    ObjectVersion version;                 ///< last reported one
    std::optional<TimePoint> reported_at;  ///< last report that counts as contact
    std::optional<TimePoint> link_up_at;
    std::optional<TimePoint> outdated_since;  ///< first report with a version below ours
    ObjectVersion sent_version;
    TimePoint sent_at;
  };
  /// A report that confirms a version which this instance has not applied yet.
  struct UnappliedReport {
    ObjectVersion version;
    TimePoint confirmed_at;
  };
  struct PendingChange {
    std::string document;
    ObjectVersion expected_version;
    std::function<void(Result<ObjectVersion>)> done;
    TimePoint deadline;
    bool is_uncertain = false;      ///< the response to a write was lost
    ObjectVersion written_version;  ///< 0 until the write is confirmed
  };
  enum class Source { kStore, kPeer };

  void OnTick();
  void PollStore();
  void OnStoreRead(std::uint64_t generation, TimePoint started,
                   const Result<std::optional<VersionedObject>>& result);
  void RenewWatch();
  void OnWatchEnded(std::uint64_t generation, const Result<std::optional<VersionedObject>>& result);
  void ApplyConfig(ObjectVersion version, const std::string& document, Source source);
  void BroadcastConfig(Source source);
  void SendConfig(const InstanceId& id, PeerState& peer);
  void SendIfOutdated(const InstanceId& id, PeerState& peer);
  void AdvanceConfirmedAt(TimePoint confirmed_at);
  void EndPause();
  void ReportStatus();
  void LogStaleness();

  bool IsReportAfterPause(const PeerState& peer) const;
  bool IsStoreUnreachable() const;
  bool HasMajority() const;
  bool IsConfirmationOlderThan(Millis age) const;
  /// @return the newest version received by this instance, applied or rejected
  ObjectVersion NewestKnownVersion() const;

  void WriteChange(std::uint64_t id);
  void OnChangeWritten(std::uint64_t id, const Result<ObjectVersion>& result);
  void ReadBackChange(std::uint64_t id);
  void OnChangeReadBack(std::uint64_t id, const Result<VersionedObject>& result);
  void RetryChange(std::uint64_t id, void (ConfigTask::*step)(std::uint64_t));
  void ConfirmChange(std::uint64_t id, ObjectVersion version);
  void CheckPendingChanges();
  bool HavePeersApplied(ObjectVersion version) const;
  void FinishChange(std::uint64_t id, Result<ObjectVersion> result);
  /// @return a token that no other change has, including those of other instances and earlier runs
  std::string NextChangeToken();

  /// Wraps a callback so that it does nothing after the task is destroyed.
  template <class Function>
  auto WrapCallback(Function function) {
    return [weak = std::weak_ptr<int>(m_alive), function = std::move(function)](auto&&... args) {
      if (!weak.expired()) function(std::forward<decltype(args)>(args)...);
    };
  }

  ObjectStore& m_store;
  PeerNetwork& m_network;
  TimerService& m_timers;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  Timer m_tick_timer;
  std::vector<ConfigListener*> m_listeners;

  VersionedConfig m_current;
  ObjectVersion m_rejected_version;  ///< newest version rejected as invalid
  std::unordered_map<InstanceId, PeerState> m_peers;
  std::size_t m_member_count = 1;
  bool m_is_poller = true;

  TimePoint m_started_at;
  /// Latest time at which the current version was known to be the newest.
  std::optional<TimePoint> m_confirmed_at;
  std::optional<TimePoint> m_pause_ended_at;
  bool m_is_pause_ending = false;  ///< between OnPause and EndPause
  std::optional<UnappliedReport> m_unapplied_report;
  bool m_is_staleness_logged = false;

  std::uint64_t m_read_generation = 0;
  std::optional<TimePoint> m_read_started_at;  ///< of the pending read
  std::optional<TimePoint> m_last_read_at;
  bool m_has_store_contact = false;
  bool m_has_read_failed = false;
  std::uint64_t m_watch_generation = 0;
  std::optional<TimePoint> m_watch_started_at;  ///< of the pending watch
  TimePoint m_next_watch_at;

  std::uint64_t m_next_change_id = 1;
  std::map<std::uint64_t, PendingChange> m_pending_changes;
};

}  // namespace bluebellpass
