#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "bluebellpass/timer.h"
#include "kernel/http-client.h"
#include "owner/backend-control.h"

namespace bluebellpass {

/// @return the number of active runs in the report of `GET /load`, or nullopt when it is malformed
std::optional<std::int64_t> ParseLoadReport(std::string_view text);

/// Reads the load reports of the engines of the cells that this instance owns, each every 2 s, at
/// times spread over the period.
class LoadPoller {
 public:
  /// All arguments outlive the poller.
  LoadPoller(HttpClient& http, TimerService& timers, BackendControl& control);
  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

 private:
  void FetchDueReports();
  void FetchReport(const BackendConfig& backend);

  HttpClient& m_http;
  TimerService& m_timers;
  BackendControl& m_control;
  /// When the next report is due; nullopt while a call is in progress.
  std::map<BackendId, std::optional<TimePoint>> m_next_report;
  std::uint64_t m_backends_seen = 0;  ///< servers met so far, to spread their times
  Timer m_tick;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass
