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

// Bounds the time until a signal that arrives between two turns is noticed.
constexpr Millis kLongestWait{50};

}  // namespace

EventLoop::EventLoop() : m_native(h2o_evloop_create()) {
  // A peer that closes its end must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  UpdateNow();
  m_turn_started = m_now;
}

void KeepUntilExit(std::shared_ptr<void> object) {
  // Never destroyed, so that the objects outlive all static ones.
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
  m_due.emplace(id, due);
  return id;
}

void EventLoop::Cancel(TimerId id) {
  const auto found = m_due.find(id);
  if (found == m_due.end()) return;
  m_timers.erase({found->second, id});
  m_due.erase(found);
}

void EventLoop::RunPosted() {
  std::deque<std::function<void()>> batch;
  batch.swap(m_posted);
  for (auto& function : batch) function();
}

void EventLoop::RunTimers() {
  // Timers that are added while this runs wait for the next turn, so that a zero delay cannot keep
  // the loop from its sockets.
  const TimePoint until = m_now;
  const TimerId last = m_next_id;
  while (!m_timers.empty()) {
    auto first = m_timers.begin();
    if (first->first.first > until || first->first.second >= last) return;
    auto function = std::move(first->second);
    m_due.erase(first->first.second);
    m_timers.erase(first);
    function();
  }
}

void EventLoop::RunOnce(Millis longest_wait) {
  UpdateNow();
  m_turn_started = m_now;
  Millis wait = longest_wait;
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
  RunTimers();
  RunPosted();
}

void EventLoop::DetectPause() {
  if (!m_on_pause) return;
  const TimePoint now = std::chrono::steady_clock::now();
  const auto gap = std::chrono::duration_cast<Millis>(now - m_turn_started);
  if (gap <= m_pause_bound) return;
  m_turn_started = now;
  m_now = now;
  m_on_pause(gap);
}

void EventLoop::Run() {
  m_is_stopping = false;
  while (!m_is_stopping) RunOnce(kLongestWait);
}

}  // namespace bluebellpass
