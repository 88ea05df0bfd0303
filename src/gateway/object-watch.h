#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "bluebellpass/timer.h"
#include "boot-clock.h"
#include "store-client.h"

namespace bluebellpass::gateway {

/// How a kind is followed.
struct WatchOptions {
  /// Longest wait of one call. A reply after the whole wait proves that nothing had changed, so
  /// this bounds the age of the proof as well.
  Millis max_wait{1'500};
  /// Pause before the first call after a failure; doubles up to the largest.
  Millis initial_backoff{50};
  Millis max_backoff{400};
  /// Pause between a change and the next call, so that quick successions cost fewer calls.
  Millis coalesce_delay{60};
  /// Pause between the first list and the first wait: an instance that finds a coordinator
  /// meanwhile makes no further call. The wait is shorter by as much.
  Millis first_watch_delay{300};
};

/// Follows all objects of a kind: lists them, then waits for changes, and lists again when the
/// store has lost the history. Reports when its view was last proved to be current.
class ObjectWatch {
 public:
  struct Events {
    std::function<void(const StoredObject& object)> on_object;  ///< new, changed or deleted
    std::function<void()> on_batch;                             ///< after the objects of a reply
    /// The view was current at this time.
    std::function<void(BootTime at)> on_confirmed;
    std::function<void(bool is_reachable, const std::string& reason)> on_reachability;
  };

  ObjectWatch(StoreClient& feed, TimerService& timers, const BootClock& clock, ObjectKind kind,
              WatchOptions options, Events events);
  ~ObjectWatch() { *m_alive = false; }
  ObjectWatch(const ObjectWatch&) = delete;
  ObjectWatch& operator=(const ObjectWatch&) = delete;

  void Start() { ListFrom(""); }
  /// Ends a pause after a failure, because the store is known to answer again.
  void RetryNow();
  /// Stops and starts calls to the store. While suspended, changes and proofs come from elsewhere.
  void SetSuspended(bool is_suspended);
  bool IsSuspended() const { return m_is_suspended; }
  /// Changes the longest wait of a call, from the next one on.
  void SetMaxWait(Millis wait) { m_options.max_wait = wait; }
  /// Changes the pause between a change and the next call.
  void SetCoalesceDelay(Millis pause) { m_options.coalesce_delay = pause; }
  /// Changes the largest pause after failures.
  void SetMaxBackoff(Millis pause) { m_options.max_backoff = pause; }
  /// Takes in a change that another instance has read from the store.
  void Take(const StoredObject& object);
  /// Takes in a proof: all changes up to the revision have been taken in, and the view was current
  /// at this time.
  void Confirm(Revision revision, BootTime at);
  /// @return true once a whole list has been taken in
  bool HasInitialList() const { return m_revision != Revision{}; }
  /// @return the revision up to which all changes are in the view
  Revision SeenRevision() const { return m_revision; }
  /// @return time at which the view was last proved to be current
  BootTime ConfirmedAt() const { return m_proved_at; }

 private:
  void ListFrom(const std::string& after);
  void OnList(BootTime sent, Result<ObjectPage> result);
  void Wait();
  void OnChanges(BootTime sent, Millis wait, Result<ObjectPage> result);
  void Apply(const std::vector<StoredObject>& objects);
  void Fail(const Error& error);
  void Succeed();
  void Next(Millis delay);
  void Prove(BootTime at);

  StoreClient& m_feed;
  const BootClock& m_clock;
  ObjectKind m_kind;
  WatchOptions m_options;
  Events m_events;
  Timer m_timer;
  Revision m_revision;
  std::map<std::string, Revision> m_known;  ///< revision of the last state of each object
  std::set<std::string> m_listed;
  std::string m_list_after;  ///< where the list goes on after a failure
  BootTime m_list_started{};
  Revision m_list_revision;
  Millis m_backoff{0};
  Millis m_paused_first{0};  ///< part of the next wait that has passed already
  bool m_must_list = true;
  bool m_is_suspended = false;
  bool m_is_idle = false;  ///< suspended with no call in progress
  BootTime m_proved_at{};
  bool m_is_reachable = true;
  bool m_is_paused = false;  ///< between a failure and the next call
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass::gateway
