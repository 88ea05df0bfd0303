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

/// @return the number of active runs in a `GET /load` response; nullopt when it is malformed
std::optional<std::int64_t> ParseLoadReport(std::string_view text);

/// Polls the load of the engines in the cells owned by this instance, each every 2 s, spread over
/// the period.
class LoadPoller {
 public:
  /// All arguments must outlive the poller.
  LoadPoller(HttpClient& http, TimerService& timers, BackendControl& control);
  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

 private:
  void FetchDueReports();
  void FetchReport(const BackendConfig& backend);

  HttpClient& m_http;
  TimerService& m_timers;
  BackendControl& m_control;
  /// Time of the next poll per engine; nullopt while a request is in progress.
  std::map<BackendId, std::optional<TimePoint>> m_next_polls;
  std::uint64_t m_engines_seen = 0;  ///< engines seen so far, to spread their poll times
  Timer m_poll_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace bluebellpass
