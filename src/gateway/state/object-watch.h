#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bluebellpass/gateway/store-client.h"
#include "bluebellpass/timer.h"
#include "boot-clock.h"

namespace bluebellpass::gateway {

/// Timing of an ObjectWatch.
struct WatchOptions {
  /// Longest wait of one watch call. An empty response after it confirms that nothing has changed,
  /// so this also bounds the age of the confirmation.
  Millis max_wait{1'500};
  /// Pause after the first failure; doubles with each further one up to max_backoff.
  Millis initial_backoff{50};
  Millis max_backoff{400};
  /// Pause between a change and the next call, so that changes in quick succession share a call.
  Millis coalesce_delay{60};
  /// Pause between the first list and the first watch call, whose wait is shorter by the same time.
  /// An instance that finds a coordinator during the pause makes no further call.
  Millis first_watch_delay{300};
};

/// Keeps a view of all objects of a kind: lists them, watches for changes, and lists again when the
/// store no longer has the history. Reports when the view was last confirmed as current.
class ObjectWatch {
 public:
  struct Events {
    std::function<void(const StoredObject& object)> on_object;  ///< new, changed or deleted
    std::function<void()> on_batch;                             ///< after all objects of a response
    /// The view was current at this time.
    std::function<void(BootTime at)> on_confirmed;
    std::function<void(bool is_reachable, const std::string& reason)> on_reachability;
  };

  ObjectWatch(StoreClient& store, TimerService& timers, const BootClock& clock, ObjectKind kind,
              WatchOptions options, Events events);
  ~ObjectWatch() { *m_alive = false; }
  ObjectWatch(const ObjectWatch&) = delete;
  ObjectWatch& operator=(const ObjectWatch&) = delete;

  void Start() { ListFrom(""); }
  /// Ends the backoff after a failure, because the store is known to answer again.
  void RetryNow();
  /// Lists all objects again, because the store has come back from a copy. A call in progress shows
  /// the same by its response.
  void Relist();
  /// Reads the changes so far in a call of its own, so that the view is confirmed without waiting
  /// for the present call to end. Does nothing while the store does not answer or a list is to
  /// come.
  void Refresh();
  /// Suspends or resumes calls to the store. While suspended, changes come from ApplyRelayed and
  /// confirmations from Confirm.
  void SetSuspended(bool is_suspended);
  bool IsSuspended() const { return m_is_suspended; }
  /// Sets the longest wait of a watch call, from the next call on.
  void SetMaxWait(Millis wait) { m_options.max_wait = wait; }
  /// Sets the pause between a change and the next call.
  void SetCoalesceDelay(Millis pause) { m_options.coalesce_delay = pause; }
  /// Sets the backoff after a first failure.
  void SetInitialBackoff(Millis pause) { m_options.initial_backoff = pause; }
  /// Sets the largest backoff.
  void SetMaxBackoff(Millis pause) { m_options.max_backoff = pause; }
  /// Applies a change that another instance has read from the store.
  void ApplyRelayed(const StoredObject& object);
  /// Applies all changes from the present view up to a revision, which another instance has read.
  void ApplyTransfer(const std::vector<StoredObject>& objects, Revision revision);
  /// Confirms that all changes up to the revision were applied, and that the view was current at
  /// this time.
  void Confirm(Revision revision, BootTime at);
  /// @return true after the first complete list
  bool HasInitialList() const { return m_revision != Revision{}; }
  /// @return the revision up to which all changes are in the view
  Revision SeenRevision() const { return m_revision; }
  /// @return true if the view has a change after SeenRevision, so that others may still be missing.
  /// An instance that learns only of later changes would miss that one.
  bool HasUnseenChange() const { return m_newest_change > m_revision; }
  /// @return names and revisions of the objects in the view
  const std::map<std::string, Revision>& ObjectRevisions() const { return m_revisions; }
  /// @return time at which the view was last confirmed as current
  BootTime ConfirmedAt() const { return m_confirmed_at; }

 private:
  void OnRefreshed(BootTime sent_at, const Result<ObjectPage>& result);
  void ListFrom(const std::string& after);
  void OnListPage(BootTime sent_at, Result<ObjectPage> result);
  void MakeNextCall();
  void OnWatchResponse(BootTime sent_at, Millis wait, Result<ObjectPage> result);
  /// @param is_older the view is complete up to a later revision than that of the objects' read
  /// Applies the response to a watch call.
  void ApplyPage(const ObjectPage& page);
  void ApplyChanges(const std::vector<StoredObject>& objects, bool is_older);
  void LogIgnored(const StoredObject& object, Revision known) const;
  /// @return true when an object that is not in the view was deleted after the given revision of it
  bool IsDeletedSince(const StoredObject& object, bool is_older) const;
  void SetRevision(Revision revision);
  void OnFailure(const Error& error);
  void OnSuccess();
  void ScheduleNextCall(Millis delay);
  void SetConfirmed(BootTime at);

  StoreClient& m_store;
  const BootClock& m_clock;
  ObjectKind m_kind;
  WatchOptions m_options;
  Events m_events;
  Timer m_timer;
  Revision m_revision;
  Revision m_newest_change;
  std::map<std::string, Revision> m_revisions;  ///< revision of each object
  /// Deletions after SeenRevision, so that an older read does not restore their objects.
  std::map<std::string, Revision> m_deletions;
  std::set<std::string> m_listed_names;
  std::string m_list_after;  ///< where a failed list continues
  BootTime m_list_started_at{};
  Revision m_list_revision;
  Revision m_revision_before_list;
  Millis m_backoff{0};
  Millis m_elapsed_wait{0};  ///< pause before the next watch call, subtracted from its wait
  bool m_needs_list = true;
  bool m_is_suspended = false;
  bool m_is_idle = false;  ///< suspended with no call in progress
  BootTime m_confirmed_at{};
  bool m_is_reachable = true;
  bool m_is_backing_off = false;  ///< between a failure and its retry
  bool m_is_refreshing = false;
  BootTime m_next_refresh{};
  /// False after destruction; callbacks check it before they use this object.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass::gateway
