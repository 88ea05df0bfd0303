#include "object-watch.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "bluebellpass/event.h"

namespace bluebellpass::gateway {
namespace {

// The shortest wait, since only the changes so far are wanted.
constexpr Millis kRefreshWait{1};

}  // namespace

ObjectWatch::ObjectWatch(StoreClient& store, TimerService& timers, const BootClock& clock,
                         ObjectKind kind, WatchOptions options, Events events)
    : m_store(store),
      m_clock(clock),
      m_kind(kind),
      m_options(options),
      m_events(std::move(events)),
      m_timer(timers) {}

void ObjectWatch::ListFrom(const std::string& after) {
  m_list_after = after;
  m_needs_list = false;
  if (after.empty()) {
    m_list_started_at = m_clock.Now();
    m_list_revision = Revision{};
    m_revision_before_list = m_revision;
    m_listed_names.clear();
  }
  m_store.List(m_kind, after, ReadConsistency::kCurrent,
               [this, alive = m_alive, sent_at = m_clock.Now()](Result<ObjectPage> result) {
                 if (*alive) OnListPage(sent_at, std::move(result));
               });
}

void ObjectWatch::OnListPage(BootTime sent_at, Result<ObjectPage> result) {
  if (!IsOk(result)) {
    m_needs_list = true;
    return OnFailure(ErrorOf(result));
  }
  const ObjectPage& page = std::get<ObjectPage>(result);
  OnSuccess();
  // The watch starts at the revision of the first page, to see changes made during the list.
  if (m_list_revision == Revision{}) m_list_revision = page.revision;
  if (EraOf(page.revision) != EraOf(m_list_revision)) return ListFrom("");
  for (const StoredObject& object : page.objects) m_listed_names.insert(object.name);
  // Another instance may have brought the view beyond the list during its calls.
  const bool is_older = m_revision != m_revision_before_list && m_list_revision < m_revision;
  ApplyChanges(page.objects, is_older);
  if (page.has_more && !page.objects.empty()) return ListFrom(page.objects.back().name);
  std::vector<StoredObject> deleted;
  for (const auto& [name, revision] : m_revisions)
    if (!m_listed_names.contains(name)) deleted.push_back({name, m_list_revision, true, nullptr});
  ApplyChanges(deleted, is_older);
  const bool is_first = !HasInitialList();
  if (!is_older) SetRevision(m_list_revision);
  if (m_events.on_batch) m_events.on_batch();
  SetConfirmed(std::min(sent_at, m_list_started_at));
  if (is_first) m_elapsed_wait = std::min(m_options.first_watch_delay, m_options.max_wait);
  ScheduleNextCall(m_elapsed_wait);
}

void ObjectWatch::MakeNextCall() {
  m_is_backing_off = false;
  if (m_needs_list) return ListFrom(m_list_after);
  if (m_is_suspended) {
    m_is_idle = true;
    return;
  }
  const Millis wait =
      std::max(m_options.max_wait - std::exchange(m_elapsed_wait, Millis{0}), Millis{1});
  m_store.Watch(m_kind, m_revision, wait,
                [this, alive = m_alive, wait, sent_at = m_clock.Now()](Result<ObjectPage> result) {
                  if (*alive) OnWatchResponse(sent_at, wait, std::move(result));
                });
}

void ObjectWatch::OnWatchResponse(BootTime sent_at, Millis wait, Result<ObjectPage> result) {
  if (!IsOk(result)) {
    // The store has dropped the history, so only a new list shows the changes since.
    if (ErrorOf(result).kind == ErrorKind::kNotFound) {
      OnSuccess();
      return ListFrom("");
    }
    return OnFailure(ErrorOf(result));
  }
  const ObjectPage& page = std::get<ObjectPage>(result);
  OnSuccess();
  ApplyPage(page);
  if (!page.objects.empty()) {
    // There may be later changes already, so only the time of sending is confirmed.
    SetConfirmed(sent_at);
    return ScheduleNextCall(m_options.coalesce_delay);
  }
  const BootTime now = m_clock.Now();
  const bool has_waited = now - sent_at >= wait;
  SetConfirmed(has_waited ? sent_at + wait : sent_at);
  // Avoids a tight loop of calls to a store that answers at once without a change.
  ScheduleNextCall(has_waited ? Millis{0} : m_options.coalesce_delay);
}

bool ObjectWatch::IsDeletedSince(const StoredObject& object, bool is_older) const {
  const auto deletion = m_deletions.find(object.name);
  if (deletion != m_deletions.end() && object.revision <= deletion->second) return true;
  return is_older && object.revision <= m_revision;
}

void ObjectWatch::SetRevision(Revision revision) {
  m_revision = revision;
  std::erase_if(m_deletions, [&](const auto& item) { return item.second <= revision; });
}

void ObjectWatch::ApplyPage(const ObjectPage& page) {
  ApplyChanges(page.objects, page.revision < m_revision);
  SetRevision(std::max(m_revision, page.revision));
  if (!page.objects.empty() && m_events.on_batch) m_events.on_batch();
}

void ObjectWatch::ApplyChanges(const std::vector<StoredObject>& objects, bool is_older) {
  for (const StoredObject& object : objects) {
    const auto known = m_revisions.find(object.name);
    if (known != m_revisions.end() && object.revision <= known->second && !object.is_deleted) {
      if (object.revision < known->second) LogIgnored(object, known->second);
      continue;
    }
    if (object.is_deleted) {
      Revision& deletion = m_deletions[object.name];
      deletion = std::max(deletion, object.revision);
      if (known == m_revisions.end() || object.revision < known->second) continue;
      m_revisions.erase(known);
    } else {
      if (known == m_revisions.end() && IsDeletedSince(object, is_older)) continue;
      m_deletions.erase(object.name);
      m_revisions[object.name] = object.revision;
    }
    m_newest_change = std::max(m_newest_change, object.revision);
    m_events.on_object(object);
  }
}

void ObjectWatch::LogIgnored(const StoredObject& object, Revision known) const {
  LogEvent(EventId::kChangeIgnored,
           {{"kind", std::string(NameOf(m_kind))},
            {"object", object.name},
            {"version", static_cast<std::int64_t>(NumberOf(object.revision))},
            {"known", static_cast<std::int64_t>(NumberOf(known))},
            {"reason", "revision"}});
}

void ObjectWatch::OnSuccess() {
  m_backoff = Millis{0};
  if (!m_is_reachable && m_events.on_reachability) m_events.on_reachability(true, "");
  m_is_reachable = true;
}

void ObjectWatch::OnFailure(const Error& error) {
  if (m_is_reachable && m_events.on_reachability) m_events.on_reachability(false, error.message);
  m_is_reachable = false;
  m_backoff = m_backoff == Millis{0} ? m_options.initial_backoff
                                     : std::min(m_backoff * 2, m_options.max_backoff);
  m_is_backing_off = true;
  ScheduleNextCall(m_backoff);
}

void ObjectWatch::SetConfirmed(BootTime at) {
  m_confirmed_at = std::max(m_confirmed_at, at);
  if (m_events.on_confirmed) m_events.on_confirmed(at);
}

void ObjectWatch::Relist() {
  if (!m_is_idle && !m_is_backing_off) return;
  m_needs_list = true;
  m_list_after.clear();
  m_is_idle = false;
  m_backoff = Millis{0};
  ScheduleNextCall(Millis{0});
}

void ObjectWatch::Refresh() {
  const BootTime now = m_clock.Now();
  if (m_is_refreshing || m_is_backing_off || m_needs_list || !HasInitialList()) return;
  if (now < m_next_refresh) return;
  m_is_refreshing = true;
  m_store.Watch(m_kind, m_revision, kRefreshWait,
                [this, alive = m_alive, now](const Result<ObjectPage>& result) {
                  if (*alive) OnRefreshed(now, result);
                });
}

void ObjectWatch::OnRefreshed(BootTime sent_at, const Result<ObjectPage>& result) {
  m_is_refreshing = false;
  if (!IsOk(result)) {
    // The call in progress will show the same.
    m_next_refresh = m_clock.Now() + m_options.initial_backoff;
    return;
  }
  ApplyPage(std::get<ObjectPage>(result));
  SetConfirmed(sent_at);
}

void ObjectWatch::SetSuspended(bool is_suspended) {
  if (m_is_suspended == is_suspended) return;
  m_is_suspended = is_suspended;
  if (!is_suspended && std::exchange(m_is_idle, false)) ScheduleNextCall(Millis{0});
}

void ObjectWatch::RetryNow() {
  if (!m_is_backing_off) return;
  m_backoff = Millis{0};
  ScheduleNextCall(Millis{0});
}

void ObjectWatch::ApplyRelayed(const StoredObject& object) {
  ApplyChanges({object}, false);
  if (m_events.on_batch) m_events.on_batch();
}

void ObjectWatch::ApplyTransfer(const std::vector<StoredObject>& objects, Revision revision) {
  ApplyChanges(objects, revision < m_revision);
  SetRevision(std::max(m_revision, revision));
  if (m_events.on_batch) m_events.on_batch();
}

void ObjectWatch::Confirm(Revision revision, BootTime at) {
  SetRevision(std::max(m_revision, revision));
  SetConfirmed(at);
}

void ObjectWatch::ScheduleNextCall(Millis delay) {
  if (m_is_suspended && !m_needs_list) {
    m_is_idle = true;
    return;
  }
  m_timer.Start(delay, [this] { MakeNextCall(); });
}

}  // namespace bluebellpass::gateway
