#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/event.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

/// A recorded event of an instance, as read over HTTP.
struct TimelineEvent {
  HybridTime time = 0;
  std::uint64_t number = 0;  ///< sequence number within the process
  std::string instance;
  std::string name;
  std::string request;  ///< request id; empty if the event concerns no request
  std::string json;     ///< the complete event
};

/// Parses events, one JSON object per line. Lines that are not events are skipped.
std::vector<TimelineEvent> ParseEvents(std::string_view lines);

/// Sorts the events of all instances by hybrid time, so that causes precede their effects: each
/// receiver advances its clock to the time in a message before it logs an event about the message.
void SortTimeline(std::vector<TimelineEvent>& events);

/// @return a line per event: time, instance, name and other members
std::string FormatTimeline(const std::vector<TimelineEvent>& events);

/// @return JSON in the Trace Event Format of Chrome's viewer, with a span per request
std::string FormatChromeTrace(const std::vector<TimelineEvent>& events);

/// Options of the subcommand `timeline`.
struct TimelineOptions {
  std::vector<Address> entries;  ///< addresses of the instances
  bool is_chrome = false;
  std::string request;  ///< only events of this request; empty for all
};

/// Collects the events of all instances and prints them.
/// @return exit code: 0 on success, 1 if no instance replied, 3 if only some replied
int RunTimeline(const TimelineOptions& options);

}  // namespace bluebellpass
