#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/event.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

/// One event of one instance, as read back from its log.
struct TimelineEvent {
  HybridTime time = 0;
  std::uint64_t number = 0;  ///< of the event within its process
  std::string instance;
  std::string name;
  std::string request;  ///< empty when the event concerns no request
  std::string json;     ///< the whole event
};

/// Parses events, one JSON object per line; lines that are no events are left out.
std::vector<TimelineEvent> ParseEvents(std::string_view lines);

/// Orders the events of all instances such that causes come before their effects: the hybrid time
/// of a message is observed by its receiver before it logs anything about it.
void SortTimeline(std::vector<TimelineEvent>& events);

/// @return a line per event: time, instance, name and fields
std::string FormatTimeline(const std::vector<TimelineEvent>& events);

/// @return the events in the Trace Event Format of Chrome's viewer, with a span per request
std::string FormatChromeTrace(const std::vector<TimelineEvent>& events);

/// What the subcommand `timeline` is asked to do.
struct TimelineOptions {
  std::vector<Address> entries;  ///< instances to read from
  bool is_chrome = false;
  std::string request;  ///< only events of this request; empty for all
};

/// Collects the events of all instances and prints them.
/// @return exit code: 0 done, 1 no instance answered, 3 some did not answer
int RunTimeline(const TimelineOptions& options);

}  // namespace bluebellpass
