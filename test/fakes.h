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

/// Stand-ins for the timer service and the object API whose every step the test takes.

namespace bluebellpass {

/// Time passes only when the test says so.
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

  /// Moves on to the next timer and runs it.
  /// @return its delay from now; nullopt when none is set
  std::optional<Millis> FireNext() {
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

/// A conditional write on its way to the store.
struct FakePut {
  std::string key;
  std::string value;
  ObjectVersion expected;
};

/// The state behind all clients of a fake store.
struct FakeObjects {
  std::map<std::string, VersionedObject> objects;
  std::vector<FakePut> delayed_puts;  ///< writes given up by their senders, still in the network
  bool is_condition_checked = true;   ///< false makes every write unconditional, a planted fault

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

  /// Lets a delayed write arrive.
  void ApplyDelayedPut(std::size_t index) {
    const FakePut put = delayed_puts.at(index);
    delayed_puts.erase(delayed_puts.begin() + static_cast<std::ptrdiff_t>(index));
    Write(put);
  }
};

/// One process's client of a fake store. Calls wait until the test applies and answers them.
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
  // The ledger neither deletes, lists nor watches.
  void Delete(const std::string&, ObjectVersion, std::function<void(Result<Ok>)>) override {}
  void List(const std::string&, std::function<void(Result<std::vector<ObjectEntry>>)>) override {}
  void Watch(const std::string&, ObjectVersion, Millis,
             std::function<void(Result<std::optional<VersionedObject>>)>) override {}

  /// The store carries out the oldest call.
  void ApplyCall() {
    Call& call = calls.front();
    if (call.put) {
      call.write_result = m_objects.Write(*call.put);
    } else {
      call.read_result = m_objects.Read(call.key);
    }
  }

  /// The sender receives the answer of the oldest call, which has been applied.
  void DeliverResponse() {
    Call call = TakeOldest();
    if (call.put) {
      call.write_done(std::move(*call.write_result));
    } else {
      call.read_done(std::move(*call.read_result));
    }
  }

  /// The oldest call ends with an error for its sender. A write that has not been applied is
  /// delayed in the network when the error is kStoreUncertain, and dropped otherwise.
  void FailCall(ErrorKind kind) {
    Call call = TakeOldest();
    if (kind == ErrorKind::kStoreUncertain) Delay(call);
    if (call.put) {
      call.write_done(Error{.kind = failed_write_error.value_or(kind)});
    } else {
      call.read_done(Error{.kind = kind});
    }
  }

  /// The sender is gone: its calls get no answer, its writes may still arrive.
  void AbandonCalls() {
    for (const Call& call : std::exchange(calls, {})) Delay(call);
  }

  std::vector<Call> calls;                      ///< oldest first
  std::optional<ErrorKind> failed_write_error;  ///< reported for failed writes, a planted fault

 private:
  Call TakeOldest() {
    Call call = std::move(calls.front());
    calls.erase(calls.begin());
    return call;
  }
  void Delay(const Call& call) {
    if (call.put && !call.IsApplied()) m_objects.delayed_puts.push_back(*call.put);
  }

  FakeObjects& m_objects;
};

}  // namespace bluebellpass
