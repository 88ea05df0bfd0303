#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "bluebellpass/timer.h"

struct st_h2o_evloop_t;

namespace bluebellpass {

/// The event loop of the process. One thread runs it, and all tasks live on it.
class EventLoop : public TimerService {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  TimePoint Now() const override { return m_now; }
  TimerId RunAfter(Millis delay, std::function<void()> function) override;
  void Cancel(TimerId id) override;

  /// Runs a function in the next turn of the loop.
  void Post(std::function<void()> function) { m_posted.push_back(std::move(function)); }

  /// Runs until Stop is called.
  void Run();
  void Stop() { m_is_stopping = true; }

  /// Runs one turn.
  /// @param longest_wait how long to wait for something to happen
  void RunOnce(Millis longest_wait);

  /// Called when one turn of the loop has lasted longer than this bound, which happens when the
  /// process was stopped and continued.
  void SetPauseHandler(Millis bound, std::function<void(Millis)> function) {
    m_pause_bound = bound;
    m_on_pause = std::move(function);
  }

  /// Looks for a pause at once. To be called just before a step that must not follow a pause, since
  /// sockets are served before the loop itself looks.
  void DetectPause();

  st_h2o_evloop_t* Native() { return m_native; }

 private:
  using TimerKey = std::pair<TimePoint, TimerId>;

  void RunPosted();
  void RunTimers();
  void UpdateNow();

  st_h2o_evloop_t* m_native;
  TimePoint m_now;
  TimePoint m_turn_started;
  bool m_is_stopping = false;
  TimerId m_next_id = 1;
  std::map<TimerKey, std::function<void()>> m_timers;
  std::unordered_map<TimerId, TimePoint> m_due;
  std::deque<std::function<void()>> m_posted;
  Millis m_pause_bound{0};
  std::function<void(Millis)> m_on_pause;
};

/// Keeps an object until the process ends. For objects that h2o still refers to after their owner
/// is gone; it frees sockets and connections lazily and has no call to wait for that.
void KeepUntilExit(std::shared_ptr<void> object);

/// Delivers messages to a task in order, each in a turn of the loop of its own.
template <class Message>
class Mailbox {
 public:
  Mailbox(EventLoop& loop, std::function<void(Message)> handler)
      : m_loop(loop),
        m_handler(std::make_shared<std::function<void(Message)>>(std::move(handler))) {}

  /// Queues a message; it is dropped if the mailbox is gone by then.
  void Post(Message message) {
    m_loop.Post([weak = std::weak_ptr(m_handler), message = std::move(message)]() mutable {
      if (auto handler = weak.lock()) (*handler)(std::move(message));
    });
  }

 private:
  EventLoop& m_loop;
  std::shared_ptr<std::function<void(Message)>> m_handler;
};

}  // namespace bluebellpass
