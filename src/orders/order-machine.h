#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "bluebellpass/config.h"
#include "bluebellpass/error.h"
#include "orders/order-document.h"

namespace bluebellpass {

/// Next call to make for a server. The result is passed to the matching On function.
enum class OrderStep { kNone, kReadDesired, kReadLoaded, kAcquirePermit, kSendOrder };

/// Progress of the order of a server.
enum class OrderState { kNone, kOpen, kDone, kFailed };

/// @return "", "open", "done" or "failed"
std::string_view OrderStateName(OrderState state);

/// A desired state with the version of its object, which is the fencing token of the order.
struct VersionedDesired {
  DesiredModel desired;
  ObjectVersion version;
};

/// State machine that brings one server to its desired state: compares it with the loaded models,
/// drains the server, acquires a permit of the rate limiter, confirms the version, sends the order
/// and verifies the result. Does no I/O: the caller passes in the time and makes the calls, of
/// which at most one is in progress.
class OrderMachine {
 public:
  /// @param owned_since start of this instance's ownership of the server's cell
  OrderMachine(FencingSupport fencing, TimePoint owned_since)
      : m_fencing(fencing), m_owned_since(owned_since) {}

  /// @param running number of runs on the server, as counted by the owner
  /// @param may_pause whether grants may be paused to start draining the server
  /// @return the call to make now
  OrderStep Next(TimePoint now, std::int64_t running, bool may_pause);

  /// @return true when the periodic read of the desired state is due
  bool IsReadDue(TimePoint now) const;
  /// @return when the desired state was last read
  TimePoint ReadAt() const { return m_is_read_due ? TimePoint() : m_read_at; }
  /// Makes a read due immediately, after the object was written.
  void RequestRead() { m_is_read_due = true; }
  /// Must be called when a periodic read starts.
  void BeginRead() { m_is_busy = true; }

  /// @param result nullopt when the object does not exist
  void OnDesired(const Result<std::optional<VersionedDesired>>& result, TimePoint now);
  void OnLoaded(const Result<LoadedModels>& result, TimePoint now);
  /// @param wait nullopt when the permit was acquired, else the time until the next attempt
  void OnPermit(const std::optional<Millis>& wait, TimePoint now);
  /// @param result HTTP status of the engine's response
  void OnOrder(const Result<int>& result, TimePoint now);

  /// @return true while grants to the server must be paused
  bool IsPausingGrants() const { return m_is_pausing_grants; }
  OrderState State() const;
  TimePoint OwnedSince() const { return m_owned_since; }
  const VersionedDesired& Desired() const { return m_desired; }
  /// @return why the order failed
  const std::string& Reason() const { return m_reason; }
  /// @return number of orders sent, which makes the permit id of a repeated order unique
  std::uint64_t SentCount() const { return m_sent_count; }

 private:
  enum class Phase {
    kUnread,   ///< the desired state has not been read yet
    kIdle,     ///< the server has no desired state
    kCheck,    ///< reads the loaded models to find out whether a load is needed
    kQueue,    ///< a load is needed; waits until grants may be paused
    kDrain,    ///< grants are paused; waits until all runs have ended
    kPermit,   ///< waits for a permit of the rate limiter
    kConfirm,  ///< reads the desired state again to confirm its version
    kSend,
    kVerify,  ///< the order was accepted; reads the loaded models to verify it
    kStale,   ///< the engine has a higher fencing token; reads the desired state again
    kDone,
    kFailed,
  };

  OrderStep BeginCall(OrderStep step);
  OrderStep NextWhilePaused(TimePoint now, std::int64_t running);
  void EnterPhase(Phase phase, TimePoint now, Millis wait = Millis{0});
  void StartOrder(const VersionedDesired& desired, TimePoint now);
  bool IsMatch(const LoadedModels& loaded) const;
  void OnMatch(TimePoint now);
  void OnMismatch(const LoadedModels& loaded, TimePoint now);
  void RetryPhase(Phase phase, TimePoint now, Millis wait, const std::string& reason);
  void Fail(const std::string& reason);

  FencingSupport m_fencing;
  TimePoint m_owned_since;
  Phase m_phase = Phase::kUnread;
  VersionedDesired m_desired;
  bool m_is_busy = false;  ///< a call is in progress
  bool m_is_pausing_grants = false;
  bool m_is_read_due = true;
  TimePoint m_read_at;
  TimePoint m_wait_until;
  TimePoint m_paused_since;
  TimePoint m_phase_since;
  TimePoint m_verify_since;          ///< first read that found the ordered model loaded
  std::size_t m_matching_reads = 0;  ///< consecutive reads that found it loaded
  int m_attempts = 0;
  std::uint64_t m_sent_count = 0;
  std::string m_reason;
};

}  // namespace bluebellpass
