#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

/// Numbered events, which make up the structured log and the timeline.

namespace bluebellpass {

/// Numbers are stable and never reused. docs/events.md lists all events.
enum class EventId : std::uint16_t {
  // 1xx: process and configuration.
  kStarted = 100,
  kStopRequested = 101,
  kStopped = 102,
  kConfigApplied = 103,
  kConfigRejected = 104,
  kConfigStale = 105,
  kPauseDetected = 106,
  kCommand = 107,
  // 2xx: instances and links.
  kLinkUp = 200,
  kLinkDown = 201,
  kLinkRejected = 202,
  kMemberAlive = 203,
  kMemberSuspect = 204,
  kMemberDead = 205,
  kMemberLeft = 206,
  // 3xx: lifecycle of a request, as seen by its home instance.
  kReceived = 300,
  kDuplicate = 301,
  kClaimSent = 302,
  kClaimConfirmed = 303,
  kClaimUncertain = 304,
  kClaimTaken = 305,
  kReserved = 306,
  kDispatched = 307,
  kFirstByte = 308,
  kCompleted = 309,
  kNotRun = 310,
  kUnknown = 311,
  kStreamResumed = 312,
  kForwarded = 313,
  kClaimVoided = 314,
  kGrantReturned = 315,
  // 4xx: owner of a cell.
  kGranted = 400,
  kShed = 401,
  kFloorAsked = 402,
  kFloorPromised = 403,
  kFloorHeld = 404,
  kOwnerTaken = 405,
  kOwnerYielded = 406,
  kSuspect = 407,
  kQuarantined = 408,
  kReleased = 409,
  // 5xx: object API and orders.
  kStoreDown = 500,
  kStoreUp = 501,
  kOrderIssued = 502,
  kOrderDone = 503,
  kOrderFailed = 504,
  // 6xx: gateway.
  kSent = 600,
  kNotRunByBackend = 601,
  kRunFailed = 602,
  kAnswered = 603,
  kBackendChanged = 604,
  kFeedLost = 605,
  kFeedRegained = 606,
  kObjectRejected = 607,
  kSettingsReloaded = 608,
  kRegistered = 609,
  kFleetChanged = 610,
  kCoordinatorChanged = 611,
  kWorkGranted = 612,
  kWorkRefused = 613,
  kBackendsListed = 614,
  kBackendLimited = 615,
  kLoadBySize = 616,
  kBackendCrashed = 617,
  kMemoryReleased = 618,
  kRolloutChanged = 619,
  kRolloutStatusWritten = 620,
  kRolloutRejected = 621,
  kClientRejected = 622,
  kStateReceived = 624,
  kMessageOversized = 625,
  kStoreRestored = 626,
  kChangeIgnored = 627,
  kRequestForwarded = 628,
};

enum class Severity { kDebug, kInfo, kWarning, kError };

/// Name, severity and description of an event.
struct EventInfo {
  EventId id;
  std::string_view name;
  Severity severity;
  std::string_view meaning;
};

/// @return all events, ordered by number
std::span<const EventInfo> EventCatalogue();

/// A named value of an event.
struct EventField {
  std::string_view name;
  std::variant<std::string, std::int64_t> value;
};

/// Time of a hybrid logical clock, which combines the wall clock with a counter: a message always
/// has an earlier time than its effects, despite clock skew. The upper 48 bits hold milliseconds
/// since 1970, the lower 16 the counter.
using HybridTime = std::uint64_t;

/// @return a new time, later than any time this process has seen
HybridTime TickHybridClock();

/// Advances the clock to at least a time received from another process.
void ObserveHybridTime(HybridTime seen);

/// Sets the instance name that events carry. Must be called once, before the first event.
void SetEventSource(const std::string& instance);

/// Sets the lowest severity written to the log. The timeline keeps all events.
void SetLogLevel(Severity min_severity);

/// Receives log lines.
class LogSink {
 public:
  virtual ~LogSink() = default;
  virtual void OnLine(std::string_view line) = 0;
};

/// Sends the log to a sink instead of standard error. Must be called once, before the first event.
/// @param max_recorded number of events that the timeline keeps
void SetLogSink(std::shared_ptr<LogSink> sink, std::size_t max_recorded);

/// Records an event in the timeline and writes it to the log.
void LogEvent(EventId id, std::initializer_list<EventField> fields);

/// @param after number of the last event already read; 0 for none
/// @param limit maximum number of events to return
/// @return recorded events as one JSON object per line, oldest first. Unless SetLogSink sets
/// another number, the newest 20,000 events are kept.
std::string RecordedEvents(std::uint64_t after, std::size_t limit);

}  // namespace bluebellpass
