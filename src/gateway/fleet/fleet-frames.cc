#include "fleet-frames.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace bluebellpass::gateway {
namespace {

using Halves = std::optional<std::pair<FleetMessage, FleetMessage>>;

/// Removes and returns the items from a position on.
template <class Item>
std::vector<Item> TakeFrom(std::vector<Item>& items, std::size_t position) {
  const auto first = items.begin() + static_cast<std::ptrdiff_t>(position);
  std::vector<Item> taken(std::make_move_iterator(first), std::make_move_iterator(items.end()));
  items.erase(first, items.end());
  return taken;
}

/// @return the position that halves a list; an odd item stays in the first half
template <class Item>
std::size_t UpperHalf(const std::vector<Item>& items) {
  return (items.size() + 1) / 2;
}

/// @return two messages that mean the same as one, or nullopt if it cannot be split
Halves Split(FleetMessage& message) {
  if (auto* members = std::get_if<MembersMessage>(&message)) {
    if (members->members.size() < 2) return std::nullopt;
    MembersMessage rest{TakeFrom(members->members, UpperHalf(members->members))};
    return std::pair(std::move(*members), std::move(rest));
  }
  if (auto* verdicts = std::get_if<RolloutVerdictsMessage>(&message)) {
    if (verdicts->verdicts.size() < 2) return std::nullopt;
    RolloutVerdictsMessage rest{TakeFrom(verdicts->verdicts, UpperHalf(verdicts->verdicts))};
    return std::pair(std::move(*verdicts), std::move(rest));
  }
  if (auto* streams = std::get_if<StreamsMessage>(&message)) {
    StreamsMessage rest;
    for (auto& [origin, records] : streams->records)
      if (records.size() > 1) rest.records[origin] = TakeFrom(records, UpperHalf(records));
    if (rest.records.empty()) return std::nullopt;
    return std::pair(std::move(*streams), std::move(rest));
  }
  if (auto* sync = std::get_if<SyncRequestsMessage>(&message)) {
    if (sync->waiting.size() + sync->running.size() < 2) return std::nullopt;
    // The first part keeps the report of quotas.
    SyncRequestsMessage rest;
    rest.waiting = TakeFrom(sync->waiting, UpperHalf(sync->waiting));
    rest.running = TakeFrom(sync->running, sync->running.size() / 2);
    rest.has_more = sync->has_more;
    sync->has_more = true;
    return std::pair(std::move(*sync), std::move(rest));
  }
  if (auto* crashes = std::get_if<CrashesMessage>(&message)) {
    CrashUpdate& update = crashes->update;
    if (update.records.size() + update.cleared.size() < 2) return std::nullopt;
    CrashesMessage rest;
    rest.update.records = TakeFrom(update.records, UpperHalf(update.records));
    rest.update.cleared = TakeFrom(update.cleared, update.cleared.size() / 2);
    return std::pair(std::move(*crashes), std::move(rest));
  }
  return std::nullopt;
}

/// Reduces a message that cannot be split to one whose receiver can repair what is missing.
/// @return false when there is no such message
bool Reduce(FleetMessage& message, OversizedMessage& report) {
  if (auto* object = std::get_if<ObjectMessage>(&message)) {
    report.type = "object";
    report.object = object->name;
    object->spec.clear();
    object->patch.clear();
    object->status.clear();
    return true;
  }
  if (auto* request = std::get_if<StateRequestMessage>(&message)) {
    report.type = "state_request";
    request->held.clear();
    request->holds_all = false;
    request->is_whole = true;
    return true;
  }
  report.type = "other";
  return false;
}

void Append(std::vector<FleetMessage> messages, TimePoint now, FleetFrames& frames) {
  if (messages.empty()) return;
  std::string payload = EncodeFleetMessages(messages, now);
  if (payload.size() <= kMaxPayloadBytes) {
    frames.payloads.push_back(std::move(payload));
    return;
  }
  if (messages.size() > 1) {
    std::vector<FleetMessage> rest = TakeFrom(messages, UpperHalf(messages));
    Append(std::move(messages), now, frames);
    return Append(std::move(rest), now, frames);
  }
  FleetMessage& message = messages.front();
  if (Halves halves = Split(message)) {
    Append({std::move(halves->first)}, now, frames);
    return Append({std::move(halves->second)}, now, frames);
  }
  OversizedMessage report;
  report.bytes = payload.size();
  const bool is_reduced = Reduce(message, report);
  frames.oversized.push_back(std::move(report));
  if (!is_reduced) return;
  payload = EncodeFleetMessages(messages, now);
  if (payload.size() <= kMaxPayloadBytes) frames.payloads.push_back(std::move(payload));
}

}  // namespace

FleetFrames EncodeFleetFrames(std::vector<FleetMessage> messages, TimePoint now) {
  FleetFrames frames;
  Append(std::move(messages), now, frames);
  return frames;
}

}  // namespace bluebellpass::gateway
