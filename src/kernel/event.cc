#include "bluebellpass/event.h"

#include <algorithm>
#include <array>
#include <boost/log/attributes/scoped_attribute.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <deque>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>

namespace bluebellpass {
namespace {

using enum EventId;
using enum Severity;

constexpr std::array kEventCatalogue = {
    EventInfo{kStarted, "started", kInfo, "the daemon accepts requests"},
    EventInfo{kStopRequested, "stop_requested", kInfo, "a graceful shutdown has begun"},
    EventInfo{kStopped, "stopped", kInfo, "the daemon has delivered its answers and exits"},
    EventInfo{kConfigApplied, "config_applied", kInfo, "a configuration version is in force"},
    EventInfo{kConfigRejected, "config_rejected", kError, "a configuration document is invalid"},
    EventInfo{kConfigStale, "config_stale", kWarning,
              "dispatch stops until the configuration is confirmed again"},
    EventInfo{kPauseDetected, "pause_detected", kWarning, "the process did not run for a while"},
    EventInfo{kCommand, "command", kInfo, "an operator's command was carried out or refused"},
    EventInfo{kLinkUp, "link_up", kInfo, "a link to another instance is authenticated"},
    EventInfo{kLinkDown, "link_down", kWarning, "a link to another instance is closed"},
    EventInfo{kLinkRejected, "link_rejected", kWarning, "a peer failed authentication"},
    EventInfo{kMemberAlive, "member_alive", kInfo, "an instance is considered alive"},
    EventInfo{kMemberSuspect, "member_suspect", kWarning, "an instance does not answer pings"},
    EventInfo{kMemberDead, "member_dead", kWarning, "an instance is considered dead"},
    EventInfo{kMemberLeft, "member_left", kInfo, "an instance has announced that it leaves"},
    EventInfo{kReceived, "received", kDebug, "a request was accepted by its home"},
    EventInfo{kDuplicate, "duplicate", kInfo, "a known request id was submitted again"},
    EventInfo{kClaimSent, "claim_sent", kDebug, "an idempotency key is being claimed"},
    EventInfo{kClaimConfirmed, "claim_confirmed", kDebug, "an idempotency key is claimed"},
    EventInfo{kClaimUncertain, "claim_uncertain", kWarning, "the answer to a claim was lost"},
    EventInfo{kClaimTaken, "claim_taken", kInfo, "the key is claimed by another request"},
    EventInfo{kReserved, "reserved", kDebug, "a reservation was sent to the owner of the cell"},
    EventInfo{kDispatched, "dispatched", kInfo, "a request is sent to a backend server"},
    EventInfo{kFirstByte, "first_byte", kDebug, "the answer has begun"},
    EventInfo{kCompleted, "completed", kInfo, "the answer is complete"},
    EventInfo{kNotRun, "not_run", kInfo, "a request ended without being run"},
    EventInfo{kUnknown, "unknown", kWarning, "a request ended with unknown outcome"},
    EventInfo{kStreamResumed, "stream_resumed", kWarning,
              "the rest of an answer is fetched over a new connection"},
    EventInfo{kForwarded, "forwarded", kDebug, "a request was forwarded to its home"},
    EventInfo{kClaimVoided, "claim_voided", kInfo,
              "the claim of a request that did not run was removed"},
    EventInfo{kGrantReturned, "grant_returned", kDebug, "a grant could not be used"},
    EventInfo{kGranted, "granted", kDebug, "a backend server was granted to a request"},
    EventInfo{kShed, "shed", kWarning, "a waiting request was shed"},
    EventInfo{kFloorAsked, "floor_asked", kInfo, "all instances are asked for a shed floor"},
    EventInfo{kFloorPromised, "floor_promised", kInfo, "this instance promised a shed floor"},
    EventInfo{kFloorHeld, "floor_held", kInfo, "all instances have promised the shed floor"},
    EventInfo{kOwnerTaken, "owner_taken", kInfo, "this instance owns a cell"},
    EventInfo{kOwnerYielded, "owner_yielded", kInfo, "this instance no longer owns a cell"},
    EventInfo{kSuspect, "suspect", kWarning, "a request was running when its backend server died"},
    EventInfo{kQuarantined, "quarantined", kError, "a request's content is quarantined"},
    EventInfo{kReleased, "released", kInfo, "an operator released quarantined content"},
    EventInfo{kStoreDown, "store_down", kWarning, "the object API does not answer"},
    EventInfo{kStoreUp, "store_up", kInfo, "the object API answers again"},
    EventInfo{kOrderIssued, "order_issued", kInfo, "an order was sent to a backend server"},
    EventInfo{kOrderDone, "order_done", kInfo, "a backend server carried out an order"},
    EventInfo{kOrderFailed, "order_failed", kWarning, "a backend server refused an order"},
    EventInfo{kSent, "sent", kInfo, "a request is sent to a backend server"},
    EventInfo{kNotRunByBackend, "not_run_by_backend", kInfo,
              "a backend server refused a request without running it"},
    EventInfo{kRunFailed, "run_failed", kWarning, "a run ended without a complete answer"},
    EventInfo{kAnswered, "answered", kInfo, "a caller's request has ended"},
    EventInfo{kBackendChanged, "backend_changed", kInfo,
              "a backend server registered, changed its state or left"},
    EventInfo{kFeedLost, "feed_lost", kWarning, "the platform's store does not answer"},
    EventInfo{kFeedRegained, "feed_regained", kInfo, "the platform's store answers again"},
    EventInfo{kObjectRejected, "object_rejected", kWarning,
              "an object of the platform's store cannot be used"},
    EventInfo{kSettingsReloaded, "settings_reloaded", kInfo, "the settings file was read again"},
    EventInfo{kRegistered, "registered", kInfo,
              "this instance is registered in the platform's store"},
    EventInfo{kFleetChanged, "fleet_changed", kInfo, "the set of known instances changed"},
    EventInfo{kCoordinatorChanged, "coordinator_changed", kInfo,
              "this instance has a new coordinator, possibly itself"},
    EventInfo{kWorkGranted, "work_granted", kInfo,
              "the coordinator granted a backend server to a request"},
    EventInfo{kWorkRefused, "work_refused", kInfo, "the coordinator refused a request"},
    EventInfo{kBackendsListed, "backends_listed", kInfo,
              "the first list of backend servers has been read"},
    EventInfo{kBackendLimited, "backend_limited", kWarning,
              "the limit on requests to a backend server changed because of its failure rate"},
    EventInfo{kLoadBySize, "load_by_size", kInfo,
              "result counts of the requests of one kind and size group since the start"},
    EventInfo{kBackendCrashed, "backend_crashed", kWarning,
              "a backend server crashed while requests ran on it"},
    EventInfo{kMemoryReleased, "memory_released", kWarning,
              "a response was ended because responses together hold too much memory"},
    EventInfo{kRolloutChanged, "rollout_changed", kInfo,
              "a roll-out began, changed its phase or ended"},
    EventInfo{kRolloutStatusWritten, "rollout_status_written", kInfo,
              "the status of a roll-out was written to the platform's store, or not"},
    EventInfo{kRolloutRejected, "rollout_rejected", kWarning,
              "an order for a roll-out cannot be used"},
    EventInfo{kClientRejected, "client_rejected", kWarning,
              "a client was turned away before its request was handled"},
    EventInfo{kStateReceived, "state_received", kInfo,
              "changes that the store did not give this instance came from the coordinator"},
    EventInfo{kMessageOversized, "message_oversized", kWarning,
              "a message to another instance exceeds the bound of a frame and cannot be split"},
    EventInfo{kStoreRestored, "store_restored", kWarning,
              "the platform's store has come back from an older copy of itself"},
    EventInfo{kChangeIgnored, "change_ignored", kWarning,
              "an object that was read has an older version than is known"},
    EventInfo{kRequestForwarded, "request_forwarded", kInfo,
              "a request is sent to another instance, which serves it"},
};

constexpr std::size_t kMaxRecordedEvents = 20'000;
constexpr unsigned kCounterBits = 16;

struct RecordedEvent {
  std::uint64_t number;
  std::string line;
};

struct State {
  std::mutex mutex;
  HybridTime clock = 0;
  std::uint64_t next_number = 1;
  std::string instance;
  Severity min_severity = kInfo;
  std::deque<RecordedEvent> recorded_events;
  boost::log::sources::logger logger;
  bool is_sink_added = false;
  std::size_t max_recorded_events = kMaxRecordedEvents;
};

State& GetState() {
  static State state;
  return state;
}

HybridTime WallClockTime() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return static_cast<HybridTime>(millis) << kCounterBits;
}

const EventInfo& GetEventInfo(EventId id) {
  const auto* row =
      std::lower_bound(kEventCatalogue.begin(), kEventCatalogue.end(), id,
                       [](const EventInfo& info, EventId key) { return info.id < key; });
  return *row;
}

std::string_view SeverityName(Severity severity) {
  switch (severity) {
    case kDebug:
      return "debug";
    case kInfo:
      return "info";
    case kWarning:
      return "warning";
    case kError:
      return "error";
  }
  return "error";
}

void AddConsoleSink(State& state) {
  namespace log = boost::log;
  if (state.is_sink_added) return;
  state.is_sink_added = true;
  log::add_console_log(
      std::clog, log::keywords::format = log::expressions::stream << log::expressions::smessage,
      log::keywords::auto_flush = true);
}

}  // namespace

/// Passes Boost.Log's records to a LogSink.
class SinkBackend : public boost::log::sinks::basic_formatted_sink_backend<
                        char, boost::log::sinks::concurrent_feeding> {
 public:
  explicit SinkBackend(std::shared_ptr<LogSink> sink) : m_sink(std::move(sink)) {}
  // Boost.Log prescribes the name.
  void consume(const boost::log::record_view& /*record*/,  // NOLINT(readability-identifier-naming)
               const std::string& line) {
    m_sink->OnLine(line);
  }

 private:
  std::shared_ptr<LogSink> m_sink;
};

std::span<const EventInfo> EventCatalogue() { return kEventCatalogue; }

HybridTime TickHybridClock() {
  State& state = GetState();
  const std::scoped_lock lock(state.mutex);
  state.clock = std::max(state.clock + 1, WallClockTime());
  return state.clock;
}

void ObserveHybridTime(HybridTime seen) {
  State& state = GetState();
  const std::scoped_lock lock(state.mutex);
  state.clock = std::max(state.clock, seen);
}

void SetEventSource(const std::string& instance) { GetState().instance = instance; }

void SetLogSink(std::shared_ptr<LogSink> sink, std::size_t max_recorded) {
  namespace log = boost::log;
  State& state = GetState();
  const std::scoped_lock lock(state.mutex);
  state.is_sink_added = true;
  state.max_recorded_events = max_recorded;
  using Frontend = log::sinks::unlocked_sink<SinkBackend>;
  auto frontend = boost::make_shared<Frontend>(boost::make_shared<SinkBackend>(std::move(sink)));
  frontend->set_formatter(log::expressions::stream << log::expressions::smessage);
  log::core::get()->add_sink(frontend);
}

void SetLogLevel(Severity min_severity) { GetState().min_severity = min_severity; }

void LogEvent(EventId id, std::initializer_list<EventField> fields) {
  const HybridTime time = TickHybridClock();
  State& state = GetState();
  const std::scoped_lock lock(state.mutex);
  const EventInfo& info = GetEventInfo(id);
  nlohmann::ordered_json line;
  line["n"] = state.next_number;
  line["time"] = time;
  line["instance"] = state.instance;
  line["event"] = static_cast<int>(id);
  line["name"] = info.name;
  line["severity"] = SeverityName(info.severity);
  for (const EventField& field : fields) {
    std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
  }
  // Text from callers may contain any bytes; replacing invalid UTF-8 keeps the log valid JSON.
  std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (info.severity >= state.min_severity) {
    AddConsoleSink(state);
    BOOST_LOG(state.logger) << text;
  }
  state.recorded_events.push_back({state.next_number++, std::move(text)});
  if (state.recorded_events.size() > state.max_recorded_events) state.recorded_events.pop_front();
}

std::string RecordedEvents(std::uint64_t after, std::size_t limit) {
  State& state = GetState();
  const std::scoped_lock lock(state.mutex);
  std::string text;
  for (const RecordedEvent& event : state.recorded_events) {
    if (event.number <= after) continue;
    if (limit-- == 0) break;
    text += event.line;
    text += '\n';
  }
  return text;
}

}  // namespace bluebellpass
