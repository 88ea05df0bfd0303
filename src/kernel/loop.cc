#include "loop.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "h2o.h"

namespace bluebellpass {
namespace {

// Bounds the time until a signal that arrives between two iterations is handled.
constexpr Millis kMaxWait{50};

}  // namespace

EventLoop::EventLoop() : m_native(h2o_evloop_create()) {
  // Writing to a connection closed by the peer must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  UpdateNow();
  m_iteration_started = m_now;
}

void KeepUntilExit(std::shared_ptr<void> object) {
  // Never destroyed, so that the objects outlive all static objects.
  static auto* kept = new std::vector<std::shared_ptr<void>>;
  kept->push_back(std::move(object));
}

EventLoop::~EventLoop() {
  KeepUntilExit(std::shared_ptr<void>(m_native, [](void*) {}));
}

void EventLoop::UpdateNow() { m_now = std::chrono::steady_clock::now(); }

TimerId EventLoop::RunAfter(Millis delay, std::function<void()> function) {
  const TimerId id = m_next_id++;
  const TimePoint due = m_now + std::max(delay, Millis{0});
  m_timers.emplace(TimerKey{due, id}, std::move(function));
  m_due_times.emplace(id, due);
  return id;
}

void EventLoop::Cancel(TimerId id) {
  const auto found = m_due_times.find(id);
  if (found == m_due_times.end()) return;
  m_timers.erase({found->second, id});
  m_due_times.erase(found);
}

void EventLoop::RunPosted() {
  std::deque<std::function<void()>> batch;
  batch.swap(m_posted);
  for (auto& function : batch) function();
}

void EventLoop::RunTimers() {
  // Timers added meanwhile wait for the next iteration, so that zero delays cannot starve the
  // sockets.
  const TimePoint due_limit = m_now;
  const TimerId end_id = m_next_id;
  while (!m_timers.empty()) {
    auto first = m_timers.begin();
    if (first->first.first > due_limit || first->first.second >= end_id) return;
    auto function = std::move(first->second);
    m_due_times.erase(first->first.second);
    m_timers.erase(first);
    function();
  }
}

void EventLoop::RunOnce(Millis max_wait) {
  UpdateNow();
  m_iteration_started = m_now;
  // h2o polls for writing while the callback of a write is pending and aborts if it has run when
  // the poll reports, so the callbacks of writes that completed since the last poll must run first.
  h2o_timeout__do_post_callback(m_native);
  Millis wait = max_wait;
  if (!m_posted.empty()) wait = Millis{0};
  if (!m_timers.empty()) {
    const auto until_due = std::chrono::ceil<Millis>(m_timers.begin()->first.first - m_now);
    wait = std::clamp(until_due, Millis{0}, wait);
  }
  if (h2o_evloop_run(m_native, static_cast<std::int32_t>(wait.count())) != 0 && errno != EINTR) {
    std::perror("event loop");
    std::abort();
  }
  DetectPause();
  UpdateNow();
  for (const auto& [owner, function] : m_socket_hooks) function();
  RunTimers();
  RunPosted();
}

void EventLoop::DetectPause() {
  if (!m_on_pause) return;
  const TimePoint now = std::chrono::steady_clock::now();
  const auto elapsed = std::chrono::duration_cast<Millis>(now - m_iteration_started);
  if (elapsed <= m_pause_threshold) return;
  m_iteration_started = now;
  m_now = now;
  m_on_pause(elapsed);
}

void EventLoop::Run() {
  m_is_stopping = false;
  while (!m_is_stopping) RunOnce(kMaxWait);
}

}  // namespace bluebellpass
