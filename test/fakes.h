#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bluebellpass/store.h"
#include "bluebellpass/timer.h"

/// Fakes of the timer service and the object API that take each step only when the test calls it.

namespace bluebellpass {

/// Timer service whose time advances only in AdvanceToNextTimer.
class ManualTimers : public TimerService {
 public:
  TimePoint Now() const override { return m_now; }
  TimerId RunAfter(Millis delay, std::function<void()> function) override {
    m_timers[{m_now + delay, m_next_id}] = std::move(function);
    return m_next_id++;
  }
  void Cancel(TimerId id) override {
    std::erase_if(m_timers, [id](const auto& item) { return item.first.second == id; });
  }

  /// Advances the time to the next timer and runs it.
  /// @return the time advanced, or nullopt if no timer is pending
  std::optional<Millis> AdvanceToNextTimer() {
    if (m_timers.empty()) return std::nullopt;
    const auto first = m_timers.extract(m_timers.begin());
    const auto delay = std::chrono::duration_cast<Millis>(first.key().first - m_now);
    m_now = first.key().first;
    first.mapped()();
    return delay;
  }

 private:
  TimePoint m_now;
  TimerId m_next_id = 1;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_timers;
};

/// A conditional write.
struct FakePut {
  std::string key;
  std::string value;
  ObjectVersion expected;
};

/// Contents of the store, shared by all FakeStore clients.
struct FakeObjects {
  std::map<std::string, VersionedObject> objects;
  std::vector<FakePut> delayed_puts;  ///< in the network; their senders have given up waiting
  bool is_condition_checked = true;   ///< false is an injected fault: all writes are unconditional

  Result<VersionedObject> Read(const std::string& key) const {
    const auto found = objects.find(key);
    if (found == objects.end()) return Error{.kind = ErrorKind::kNotFound};
    return found->second;
  }

  Result<ObjectVersion> Write(const FakePut& put) {
    const auto found = objects.find(put.key);
    const ObjectVersion current = found == objects.end() ? ObjectVersion{} : found->second.version;
    if (is_condition_checked && current != put.expected) return Error{.kind = ErrorKind::kConflict};
    const ObjectVersion next{current.Value() + 1};
    objects[put.key] = {.value = put.value, .version = next};
    return next;
  }

  /// Applies a delayed write, which now arrives at the store.
  void ApplyDelayedPut(std::size_t index) {
    const FakePut put = delayed_puts.at(index);
    delayed_puts.erase(delayed_puts.begin() + static_cast<std::ptrdiff_t>(index));
    Write(put);
  }
};

/// Client of the fake store in one process. A call waits until the test applies it and delivers its
/// response, or fails it.
class FakeStore : public ObjectStore {
 public:
  struct Call {
    std::string key;
    std::optional<FakePut> put;  ///< absent for a read
    std::function<void(Result<VersionedObject>)> read_done;
    std::function<void(Result<ObjectVersion>)> write_done;
    std::optional<Result<VersionedObject>> read_result;
    std::optional<Result<ObjectVersion>> write_result;

    bool IsApplied() const { return read_result || write_result; }
  };

  explicit FakeStore(FakeObjects& objects) : m_objects(objects) {}

  void Get(const std::string& key, std::function<void(Result<VersionedObject>)> done) override {
    calls.push_back({.key = key, .read_done = std::move(done)});
  }
  void Put(const std::string& key, std::string value, ObjectVersion expected,
           std::function<void(Result<ObjectVersion>)> done) override {
    calls.push_back({.key = key,
                     .put = FakePut{.key = key, .value = std::move(value), .expected = expected},
                     .write_done = std::move(done)});
  }
  // Unused by the ledger.
  void Delete(const std::string&, ObjectVersion, std::function<void(Result<Ok>)>) override {}
  void List(const std::string&, std::function<void(Result<std::vector<ObjectEntry>>)>) override {}
  void Watch(const std::string&, ObjectVersion, Millis,
             std::function<void(Result<std::optional<VersionedObject>>)>) override {}

  /// Applies the oldest call to the store.
  void ApplyCall() {
    Call& call = calls.front();
    if (call.put) {
      call.write_result = m_objects.Write(*call.put);
    } else {
      call.read_result = m_objects.Read(call.key);
    }
  }

  /// Delivers the response of the oldest call, which must have been applied.
  void DeliverResponse() {
    Call call = TakeOldestCall();
    if (call.put) {
      call.write_done(std::move(*call.write_result));
    } else {
      call.read_done(std::move(*call.read_result));
    }
  }

  /// Fails the oldest call. A write that has not been applied is delayed in the network if the
  /// error is kStoreUncertain, and dropped otherwise.
  void FailCall(ErrorKind kind) {
    Call call = TakeOldestCall();
    if (kind == ErrorKind::kStoreUncertain) DelayWrite(call);
    if (call.put) {
      call.write_done(Error{.kind = failed_write_error.value_or(kind)});
    } else {
      call.read_done(Error{.kind = kind});
    }
  }

  /// Removes all calls without a response, as after a crash of their sender. Writes that have not
  /// been applied may still arrive.
  void AbandonCalls() {
    for (const Call& call : std::exchange(calls, {})) DelayWrite(call);
  }

  std::vector<Call> calls;                      ///< oldest first
  std::optional<ErrorKind> failed_write_error;  ///< injected fault: error of failed writes

 private:
  Call TakeOldestCall() {
    Call call = std::move(calls.front());
    calls.erase(calls.begin());
    return call;
  }
  void DelayWrite(const Call& call) {
    if (call.put && !call.IsApplied()) m_objects.delayed_puts.push_back(*call.put);
  }

  FakeObjects& m_objects;
};

}  // namespace bluebellpass
