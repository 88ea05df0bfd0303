#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "bluebellpass/timer.h"

struct st_h2o_evloop_t;

namespace bluebellpass {

/// The event loop of the process. A single thread runs all tasks on it.
class EventLoop : public TimerService {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  TimePoint Now() const override { return m_now; }
  TimerId RunAfter(Millis delay, std::function<void()> function) override;
  void Cancel(TimerId id) override;

  /// Runs a function in the next loop iteration.
  void Post(std::function<void()> function) { m_posted.push_back(std::move(function)); }

  /// Runs until Stop is called.
  void Run();
  void Stop() { m_is_stopping = true; }

  /// Runs one iteration.
  /// @param max_wait longest time to wait for an event
  void RunOnce(Millis max_wait);

  /// Sets a function that is called when an iteration has lasted longer than a threshold, for
  /// example because the process was suspended. It receives the duration of the iteration.
  void SetPauseHandler(Millis threshold, std::function<void(Millis)> function) {
    m_pause_threshold = threshold;
    m_on_pause = std::move(function);
  }

  /// Sets a function that is called in each iteration after sockets have been handled.
  /// @param owner key for removal
  void AddSocketHook(const void* owner, std::function<void()> function) {
    m_socket_hooks[owner] = std::move(function);
  }
  void RemoveSocketHook(const void* owner) { m_socket_hooks.erase(owner); }

  /// Calls the pause handler if the current iteration exceeds the threshold. Must be called before
  /// a step that must not follow an undetected pause, since the loop handles sockets before it
  /// checks.
  void DetectPause();

  st_h2o_evloop_t* Native() { return m_native; }

 private:
  using TimerKey = std::pair<TimePoint, TimerId>;

  void RunPosted();
  void RunTimers();
  void UpdateNow();

  st_h2o_evloop_t* m_native;
  TimePoint m_now;
  TimePoint m_iteration_started;
  bool m_is_stopping = false;
  TimerId m_next_id = 1;
  std::map<TimerKey, std::function<void()>> m_timers;
  std::unordered_map<TimerId, TimePoint> m_due_times;
  std::deque<std::function<void()>> m_posted;
  std::map<const void*, std::function<void()>> m_socket_hooks;
  Millis m_pause_threshold{0};
  std::function<void(Millis)> m_on_pause;
};

/// Keeps an object alive until the process exits. For objects that h2o may use after their owner is
/// destroyed: h2o frees sockets and connections lazily and offers no way to wait for that.
void KeepUntilExit(std::shared_ptr<void> object);

/// Delivers messages to a task in order, one by one in the next loop iteration.
template <class Message>
class Mailbox {
 public:
  Mailbox(EventLoop& loop, std::function<void(Message)> handler)
      : m_loop(loop),
        m_handler(std::make_shared<std::function<void(Message)>>(std::move(handler))) {}

  /// Queues a message. It is dropped if the mailbox is destroyed before the delivery.
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
