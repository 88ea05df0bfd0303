#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "bluebellpass/config.h"
#include "bluebellpass/error.h"
#include "orders/order-document.h"

namespace bluebellpass {

/// What is to be done for a server; the result is handed back with the matching On function.
enum class OrderStep { kNone, kReadDesired, kReadLoaded, kTakeToken, kSendOrder };

/// How far the order of a server is.
enum class OrderState { kNone, kOpen, kDone, kFailed };

/// @return "", "open", "done" or "failed"
std::string_view OrderStateName(OrderState state);

/// A desired state with the version of its object, which is the order's fencing number.
struct VersionedDesired {
  DesiredModel desired;
  ObjectVersion version;
};

/// Carries out the desired state of one server: compares it with what is loaded, drains the server,
/// takes a token of the rate, confirms the version, orders, and reads back. Pure logic: time is
/// passed in. At most one call is in progress at a time.
class OrderMachine {
 public:
  /// @param owned_since since when the cell of the server is owned here
  OrderMachine(FencingSupport fencing, TimePoint owned_since)
      : m_fencing(fencing), m_owned_since(owned_since) {}

  /// @param running runs on the server, as counted by the owner
  /// @param may_hold false keeps the machine from beginning to drain the server
  /// @return the call to make now
  OrderStep Next(TimePoint now, std::int64_t running, bool may_hold);

  /// @return true when the desired state is to be read in the course of the flat polling
  bool IsReadDue(TimePoint now) const;
  /// @return when the desired state was read last
  TimePoint ReadAt() const { return m_is_read_due ? TimePoint() : m_read_at; }
  /// Makes a read due, because the object has been written.
  void RequestRead() { m_is_read_due = true; }
  /// To be called when such a read begins.
  void BeginRead() { m_is_busy = true; }

  /// @param result nullopt when no object exists
  void OnDesired(const Result<std::optional<VersionedDesired>>& result, TimePoint now);
  void OnLoaded(const Result<LoadedModels>& result, TimePoint now);
  /// @param wait nullopt when the token was taken, else the time until the next attempt
  void OnToken(const std::optional<Millis>& wait, TimePoint now);
  /// @param result HTTP status of the engine's answer
  void OnOrder(const Result<int>& result, TimePoint now);

  /// @return true while grants must be kept away from the server
  bool IsHolding() const { return m_is_holding; }
  OrderState State() const;
  TimePoint OwnedSince() const { return m_owned_since; }
  const VersionedDesired& Desired() const { return m_desired; }
  /// @return why the order has failed
  const std::string& Reason() const { return m_reason; }
  /// @return number of orders sent; distinguishes the tokens of repeated orders
  std::uint64_t SentCount() const { return m_sent; }

 private:
  enum class Phase {
    kUnread,   ///< the object has not been read yet
    kIdle,     ///< no object exists
    kCheck,    ///< what is loaded is to be read before anything else
    kQueue,    ///< a load is needed; waits for permission to hold the server
    kDrain,    ///< held; waits until nothing runs
    kToken,    ///< waits for a token of the rate
    kConfirm,  ///< the version is to be confirmed
    kSend,
    kVerify,  ///< the order was accepted; reads back
    kStale,   ///< the engine refused the number; the object is to be read again
    kDone,
    kFailed,
  };

  OrderStep Call(OrderStep step);
  OrderStep NextHeld(TimePoint now, std::int64_t running);
  void Enter(Phase phase, TimePoint now, Millis wait = Millis{0});
  void Adopt(const VersionedDesired& desired, TimePoint now);
  bool IsMatch(const LoadedModels& loaded) const;
  void OnMatch(TimePoint now);
  void OnMismatch(const LoadedModels& loaded, TimePoint now);
  void Retry(Phase phase, TimePoint now, Millis wait, const std::string& reason);
  void Fail(const std::string& reason);

  FencingSupport m_fencing;
  TimePoint m_owned_since;
  Phase m_phase = Phase::kUnread;
  VersionedDesired m_desired;
  bool m_is_busy = false;
  bool m_is_holding = false;
  bool m_is_read_due = true;
  TimePoint m_read_at;
  TimePoint m_wait_until;
  TimePoint m_held_since;
  TimePoint m_phase_since;
  TimePoint m_verify_from;
  std::size_t m_reads_back = 0;
  int m_attempts = 0;
  std::uint64_t m_sent = 0;
  std::string m_reason;
};

}  // namespace bluebellpass
