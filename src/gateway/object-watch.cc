#include "object-watch.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bluebellpass::gateway {

ObjectWatch::ObjectWatch(StoreClient& feed, TimerService& timers, const BootClock& clock,
                         ObjectKind kind, WatchOptions options, Events events)
    : m_feed(feed),
      m_clock(clock),
      m_kind(kind),
      m_options(options),
      m_events(std::move(events)),
      m_timer(timers) {}

void ObjectWatch::ListFrom(const std::string& after) {
  m_list_after = after;
  m_must_list = false;
  if (after.empty()) {
    m_list_started = m_clock.Now();
    m_list_revision = Revision{};
    m_listed.clear();
  }
  m_feed.List(m_kind, after, ReadConsistency::kCurrent,
              [this, alive = m_alive, sent = m_clock.Now()](Result<ObjectPage> result) {
                if (*alive) OnList(sent, std::move(result));
              });
}

void ObjectWatch::OnList(BootTime sent, Result<ObjectPage> result) {
  if (!IsOk(result)) {
    m_must_list = true;
    return Fail(ErrorOf(result));
  }
  const ObjectPage& page = std::get<ObjectPage>(result);
  Succeed();
  // Changes during a list of several pages are found by watching from its first revision.
  if (m_list_revision == Revision{}) m_list_revision = page.revision;
  for (const StoredObject& object : page.objects) m_listed.insert(object.name);
  Apply(page.objects);
  if (page.has_more && !page.objects.empty()) return ListFrom(page.objects.back().name);
  std::vector<StoredObject> gone;
  for (const auto& [name, revision] : m_known)
    if (!m_listed.contains(name)) gone.push_back({name, m_list_revision, true, nullptr});
  Apply(gone);
  const bool is_first = !HasInitialList();
  m_revision = m_list_revision;
  if (m_events.on_batch) m_events.on_batch();
  Prove(std::min(sent, m_list_started));
  if (is_first) m_paused_first = std::min(m_options.first_watch_delay, m_options.max_wait);
  Next(m_paused_first);
}

void ObjectWatch::Wait() {
  m_is_paused = false;
  if (m_must_list) return ListFrom(m_list_after);
  if (m_is_suspended) {
    m_is_idle = true;
    return;
  }
  const Millis wait =
      std::max(m_options.max_wait - std::exchange(m_paused_first, Millis{0}), Millis{1});
  m_feed.Watch(m_kind, m_revision, wait,
               [this, alive = m_alive, wait, sent = m_clock.Now()](Result<ObjectPage> result) {
                 if (*alive) OnChanges(sent, wait, std::move(result));
               });
}

void ObjectWatch::OnChanges(BootTime sent, Millis wait, Result<ObjectPage> result) {
  if (!IsOk(result)) {
    // The history is gone: what changed meanwhile is only in a new list.
    if (ErrorOf(result).kind == ErrorKind::kNotFound) {
      Succeed();
      return ListFrom("");
    }
    return Fail(ErrorOf(result));
  }
  const ObjectPage& page = std::get<ObjectPage>(result);
  Succeed();
  Apply(page.objects);
  m_revision = std::max(m_revision, page.revision);
  if (!page.objects.empty()) {
    if (m_events.on_batch) m_events.on_batch();
    // Later changes may already be there, so only the time of sending is proved.
    Prove(sent);
    return Next(m_options.coalesce_delay);
  }
  const BootTime now = m_clock.Now();
  const bool waited = now - sent >= wait;
  Prove(waited ? sent + wait : sent);
  // A store that answers at once without a change must not be called in a tight loop.
  Next(waited ? Millis{0} : m_options.coalesce_delay);
}

void ObjectWatch::Apply(const std::vector<StoredObject>& objects) {
  for (const StoredObject& object : objects) {
    const auto known = m_known.find(object.name);
    if (known != m_known.end() && object.revision <= known->second && !object.is_deleted) continue;
    if (object.is_deleted) {
      if (known == m_known.end() || object.revision < known->second) continue;
      m_known.erase(known);
    } else {
      m_known[object.name] = object.revision;
    }
    m_events.on_object(object);
  }
}

void ObjectWatch::Succeed() {
  m_backoff = Millis{0};
  if (!m_is_reachable && m_events.on_reachability) m_events.on_reachability(true, "");
  m_is_reachable = true;
}

void ObjectWatch::Fail(const Error& error) {
  if (m_is_reachable && m_events.on_reachability) m_events.on_reachability(false, error.message);
  m_is_reachable = false;
  m_backoff = m_backoff == Millis{0} ? m_options.initial_backoff
                                     : std::min(m_backoff * 2, m_options.max_backoff);
  m_is_paused = true;
  Next(m_backoff);
}

void ObjectWatch::Prove(BootTime at) {
  m_proved_at = std::max(m_proved_at, at);
  if (m_events.on_confirmed) m_events.on_confirmed(at);
}

void ObjectWatch::SetSuspended(bool is_suspended) {
  if (m_is_suspended == is_suspended) return;
  m_is_suspended = is_suspended;
  if (!is_suspended && std::exchange(m_is_idle, false)) Next(Millis{0});
}

void ObjectWatch::RetryNow() {
  if (!m_is_paused) return;
  m_backoff = Millis{0};
  Next(Millis{0});
}

void ObjectWatch::Take(const StoredObject& object) {
  Apply({object});
  if (m_events.on_batch) m_events.on_batch();
}

void ObjectWatch::Confirm(Revision revision, BootTime at) {
  m_revision = std::max(m_revision, revision);
  Prove(at);
}

void ObjectWatch::Next(Millis delay) {
  if (m_is_suspended && !m_must_list) {
    m_is_idle = true;
    return;
  }
  m_timer.Start(delay, [this] { Wait(); });
}

}  // namespace bluebellpass::gateway
