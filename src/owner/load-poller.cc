#include "owner/load-poller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace bluebellpass {
namespace {

constexpr Millis kPollPeriod{2'000};
constexpr Millis kTickPeriod{200};
// A slower report is too old to be of use.
constexpr Millis kReportTimeout{1'000};
constexpr std::size_t kMaxReportBytes = 64U << 10U;
constexpr std::uint64_t kTicksPerPeriod = kPollPeriod / kTickPeriod;
constexpr std::string_view kEngineKind = "engine";
constexpr int kHttpStatusOk = 200;
// Prevents overflow in sums of reported runs.
constexpr std::uint64_t kMaxReportedRuns = 1'000'000;

}  // namespace

std::optional<std::int64_t> ParseLoadReport(std::string_view text) {
  const auto report = nlohmann::json::parse(text, nullptr, false);
  if (!report.is_object() || !report.contains("active")) return std::nullopt;
  if (!report.at("active").is_number_unsigned()) return std::nullopt;
  const auto active = report.at("active").get<std::uint64_t>();
  return static_cast<std::int64_t>(std::min(active, kMaxReportedRuns));
}

LoadPoller::LoadPoller(HttpClient& http, TimerService& timers, BackendControl& control)
    : m_http(http), m_timers(timers), m_control(control), m_poll_timer(timers) {
  m_poll_timer.StartPeriodic(kTickPeriod, [this] { FetchDueReports(); });
}

void LoadPoller::FetchDueReports() {
  const TimePoint now = m_timers.Now();
  std::map<BackendId, std::optional<TimePoint>> next_polls;
  std::vector<BackendConfig> due_backends;
  for (const OwnedBackend& owned : m_control.OwnedBackends()) {
    if (owned.config.kind != kEngineKind) continue;
    auto node = m_next_polls.extract(owned.config.id);
    if (node.empty()) {
      next_polls[owned.config.id] = now + kTickPeriod * (m_engines_seen++ % kTicksPerPeriod);
      continue;
    }
    std::optional<TimePoint>& next_poll = node.mapped();
    if (next_poll.has_value() && now >= *next_poll) {
      next_poll.reset();
      due_backends.push_back(owned.config);
    }
    next_polls.insert(std::move(node));
  }
  m_next_polls = std::move(next_polls);
  for (const BackendConfig& backend : due_backends) FetchReport(backend);
}

void LoadPoller::FetchReport(const BackendConfig& backend) {
  const TimePoint next = m_timers.Now() + kPollPeriod;
  HttpClientRequest request{.address = backend.address,
                            .path = "/load",
                            .connect_timeout = kReportTimeout,
                            .idle_timeout = kReportTimeout,
                            .max_body_bytes = kMaxReportBytes};
  m_http.Fetch(std::move(request), [this, next, id = backend.id, weak = std::weak_ptr(m_alive)](
                                       const Result<HttpResponse>& result) {
    if (weak.expired()) return;
    const auto it = m_next_polls.find(id);
    if (it != m_next_polls.end()) it->second = next;
    std::optional<std::int64_t> reported_runs;
    if (IsOk(result) && std::get<HttpResponse>(result).status == kHttpStatusOk) {
      reported_runs = ParseLoadReport(std::get<HttpResponse>(result).body);
    }
    m_control.OnLoadReport(id, reported_runs);
  });
}

}  // namespace bluebellpass
