#include "timeline.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>
#include <tuple>

#include "kernel/http-client.h"
#include "kernel/loop.h"

namespace bluebellpass {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr unsigned kCounterBits = 16;
// Several times the size of the longest page of events.
constexpr std::size_t kMaxPageBytes = 64U << 20U;
constexpr Millis kMaxLoopWait{50};
constexpr std::array<std::string_view, 6> kCommonMembers = {"n",     "time", "instance",
                                                            "event", "name", "severity"};

/// @return the wall-clock part of a hybrid time, in UTC, as HH:MM:SS.mmm
std::string FormatTime(HybridTime time) {
  const auto millis = static_cast<std::int64_t>(time >> kCounterBits);
  const std::time_t seconds = millis / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 40> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%H:%M:%S", &utc);
  std::snprintf(text.data() + length, text.size() - length, ".%03d",
                static_cast<int>(millis % 1000));
  return text.data();
}

/// @return true for members that all events have. FormatTimeline() prints these at the start of the
/// line or omits them.
bool IsCommonMember(std::string_view member) {
  return std::find(kCommonMembers.begin(), kCommonMembers.end(), member) != kCommonMembers.end();
}

/// Reads all recorded events of an instance, page by page.
class EventCollector {
 public:
  EventCollector(HttpClient& client, Address address)
      : m_client(client), m_address(std::move(address)) {}

  void Start() { RequestPage(); }
  bool IsDone() const { return m_is_done; }
  bool HasFailed() const { return m_has_failed; }
  const Address& Entry() const { return m_address; }
  std::vector<TimelineEvent> TakeEvents() { return std::move(m_events); }

 private:
  void RequestPage() {
    HttpClientRequest request;
    request.address = m_address;
    request.path = "/v1/events?after=" + std::to_string(m_last_number);
    request.max_body_bytes = kMaxPageBytes;
    m_client.Fetch(std::move(request),
                   [this](const Result<HttpResponse>& result) { OnPage(result); });
  }

  void OnPage(const Result<HttpResponse>& result) {
    if (!IsOk(result) || std::get<HttpResponse>(result).status != 200) {
      m_has_failed = m_is_done = true;
      return;
    }
    std::vector<TimelineEvent> page = ParseEvents(std::get<HttpResponse>(result).body);
    if (page.empty()) {
      m_is_done = true;
      return;
    }
    m_last_number = page.back().number;
    std::move(page.begin(), page.end(), std::back_inserter(m_events));
    RequestPage();
  }

  HttpClient& m_client;
  Address m_address;
  std::uint64_t m_last_number = 0;
  std::vector<TimelineEvent> m_events;
  bool m_is_done = false;
  bool m_has_failed = false;
};

bool IsRequestEnd(const std::string& name) {
  return name == "completed" || name == "not_run" || name == "unknown";
}

ordered_json MakeTraceEvent(const TimelineEvent& event, const std::string& phase) {
  const auto micros = static_cast<std::int64_t>(event.time >> kCounterBits) * 1000 +
                      static_cast<std::int64_t>(event.time & 0xffffU) % 1000;
  return {{"name", event.name},    {"ph", phase},           {"ts", micros},
          {"pid", event.instance}, {"tid", event.instance}, {"args", json::parse(event.json)}};
}

}  // namespace

std::vector<TimelineEvent> ParseEvents(std::string_view lines) {
  std::vector<TimelineEvent> events;
  while (!lines.empty()) {
    const std::size_t end = lines.find('\n');
    const std::string_view line = lines.substr(0, end);
    lines = end == std::string_view::npos ? std::string_view() : lines.substr(end + 1);
    const json object = json::parse(line, nullptr, false);
    if (!object.is_object() || !object.contains("time")) continue;
    try {
      TimelineEvent event;
      event.time = object.at("time").get<HybridTime>();
      event.number = object.at("n").get<std::uint64_t>();
      event.instance = object.at("instance").get<std::string>();
      event.name = object.at("name").get<std::string>();
      event.request = object.value("request", "");
      event.json = std::string(line);
      events.push_back(std::move(event));
    } catch (const json::exception&) {
      continue;
    }
  }
  return events;
}

void SortTimeline(std::vector<TimelineEvent>& events) {
  std::sort(events.begin(), events.end(), [](const TimelineEvent& a, const TimelineEvent& b) {
    return std::tie(a.time, a.instance, a.number) < std::tie(b.time, b.instance, b.number);
  });
}

std::string FormatTimeline(const std::vector<TimelineEvent>& events) {
  std::string text;
  for (const TimelineEvent& event : events) {
    text += FormatTime(event.time) + "  " + event.instance + "  " + event.name;
    const ordered_json object = ordered_json::parse(event.json);
    for (const auto& [name, value] : object.items()) {
      if (!IsCommonMember(name)) text += "  " + name + "=" + value.dump();
    }
    text += '\n';
  }
  return text;
}

std::string FormatChromeTrace(const std::vector<TimelineEvent>& events) {
  ordered_json list = ordered_json::array();
  for (const TimelineEvent& event : events) {
    ordered_json instant = MakeTraceEvent(event, "i");
    instant["s"] = "t";
    list.push_back(std::move(instant));
    if (event.request.empty()) continue;
    const bool is_end = IsRequestEnd(event.name);
    if (!is_end && event.name != "received") continue;
    ordered_json span = MakeTraceEvent(event, is_end ? "e" : "b");
    span["name"] = "request";
    span["cat"] = "request";
    span["id"] = event.request;
    list.push_back(std::move(span));
  }
  return ordered_json{{"traceEvents", list}}.dump(1) + "\n";
}

int RunTimeline(const TimelineOptions& options) {
  EventLoop loop;
  HttpClient client(loop);
  std::vector<EventCollector> collectors;
  collectors.reserve(options.entries.size());
  for (const Address& entry : options.entries) collectors.emplace_back(client, entry);
  for (EventCollector& collector : collectors) collector.Start();
  const auto is_done = [](const EventCollector& collector) { return collector.IsDone(); };
  while (!std::all_of(collectors.begin(), collectors.end(), is_done)) loop.RunOnce(kMaxLoopWait);

  std::vector<TimelineEvent> events;
  std::size_t failed = 0;
  for (EventCollector& collector : collectors) {
    if (collector.HasFailed()) {
      std::cerr << "no answer from " << collector.Entry().Text() << '\n';
      ++failed;
    }
    std::vector<TimelineEvent> instance_events = collector.TakeEvents();
    std::move(instance_events.begin(), instance_events.end(), std::back_inserter(events));
  }
  if (!options.request.empty()) {
    std::erase_if(events, [&](const auto& event) { return event.request != options.request; });
  }
  SortTimeline(events);
  std::cout << (options.is_chrome ? FormatChromeTrace(events) : FormatTimeline(events));
  if (failed == collectors.size()) return 1;
  return failed == 0 ? 0 : 3;
}

}  // namespace bluebellpass
