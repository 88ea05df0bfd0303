#include "engine-standin.h"

#include "platform/names.h"

namespace bluebellpass::test {
namespace {

namespace names = platform::names;

constexpr Millis kEventGap{20};
constexpr std::string_view kStreamParameter = "?stream=";

}  // namespace

EngineStandin::EngineStandin(EventLoop& loop, std::string id, int slots,
                             std::function<void(const SoakRun&)> on_run)
    : m_loop(loop),
      m_id(std::move(id)),
      m_slots(slots),
      m_on_run(std::move(on_run)),
      m_server(std::make_unique<Http1Server>(
          loop, Http1Limits{},
          [this](const std::shared_ptr<HttpExchange>& exchange) { Handle(exchange); })) {}

std::string EngineStandin::TargetOf(const std::string& path, const std::string& stream_id) {
  return path + std::string(kStreamParameter) + stream_id;
}

int EngineStandin::EventCountOf(const std::string& stream_id) {
  return 3 + static_cast<int>(StableHash(stream_id) % 20);
}

std::string EngineStandin::EventText(const std::string& stream_id, int number,
                                     const std::string& version) {
  return "id: " + std::to_string(number) + "\ndata: " + stream_id + " part " +
         std::to_string(number) + (version.empty() ? "" : " of " + version) + "\n\n";
}

void EngineStandin::Restart(std::string id) {
  m_id = std::move(id);
  const auto open = std::move(m_open_exchanges);
  m_open_exchanges.clear();
  for (const auto& exchange : open) exchange->Abort();
}

void EngineStandin::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpHead& head = exchange->Head();
  const std::string request_id = head.Value(names::kAttempt);
  if (m_loop.Now() < m_down_until) return exchange->Abort();
  if (head.Value(names::kExpectedBackend) != m_id)
    return exchange->Send(421, WithNotices({{"Instance", m_id}}), "");
  std::erase_if(m_open_exchanges, [this](const auto& open) { return HasEnded(open); });
  if (static_cast<int>(m_open_exchanges.size()) >= m_slots) return Reject(exchange, request_id);
  m_on_run({request_id, m_id, head.Value(names::kOrganisation), head.Value(names::kApiKey),
            head.target, m_loop.Now(), head.Value(names::kLastEventId), m_version});
  m_open_exchanges.insert(exchange);
  const std::vector<HttpField> fields = WithNotices(
      {{names::kAttempt, request_id}, {names::kSignature, SignatureOf(m_id, request_id)}});
  if (static_cast<int>(++m_run_count * 37 % 100) < m_failure_percent) {
    m_open_exchanges.erase(exchange);
    // Half of the failures are error responses, the others abort the connection.
    return m_run_count % 2 == 0 ? exchange->Send(500, fields, "failed") : exchange->Abort();
  }
  if (head.target.starts_with("/stream") || head.target.starts_with("/dossier")) {
    const std::string last = head.Value(names::kLastEventId);
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    auto stream_fields = fields;
    stream_fields.push_back({"Content-Type", "text/event-stream"});
    exchange->Start(200, stream_fields);
    const std::size_t parameter = head.target.find(kStreamParameter);
    return SendEvents(exchange,
                      parameter == std::string::npos
                          ? request_id
                          : head.target.substr(parameter + kStreamParameter.size()),
                      m_version, first);
  }
  m_loop.RunAfter(m_response_delay, [this, exchange, fields, request_id] {
    if (!m_open_exchanges.contains(exchange)) return;
    exchange->Send(200, fields, ResponseBodyOf(request_id));
    m_open_exchanges.erase(exchange);
  });
}

std::vector<HttpField> EngineStandin::WithNotices(std::vector<HttpField> fields) const {
  if (m_brittle) fields.push_back({names::kBrittle, std::to_string(*m_brittle)});
  return fields;
}

void EngineStandin::Reject(const std::shared_ptr<HttpExchange>& exchange,
                           const std::string& request_id) {
  ++m_rejection_count;
  const TimePoint now = m_loop.Now();
  m_rejections.push_back(now);
  while (now - m_rejections.front() >= Millis{1'000}) m_rejections.pop_front();
  if (!m_brittle || static_cast<int>(m_rejections.size()) <= *m_brittle)
    return exchange->Send(503, WithNotices({{names::kNotRun, "1"}, {names::kAttempt, request_id}}),
                          "");
  ++m_fall_count;
  m_rejections.clear();
  m_down_until = now + kDownTime;
  exchange->Abort();
  Restart(m_id);
}

void EngineStandin::SendEvents(const std::shared_ptr<HttpExchange>& exchange,
                               const std::string& stream_id, const std::string& version,
                               int number) {
  if (HasEnded(exchange) || !m_open_exchanges.contains(exchange)) {
    m_open_exchanges.erase(exchange);
    return;
  }
  if (number > EventCountOf(stream_id)) {
    exchange->End();
    m_open_exchanges.erase(exchange);
    return;
  }
  exchange->Write(EventText(stream_id, number, version));
  m_loop.RunAfter(kEventGap, [this, exchange, stream_id, version, number] {
    SendEvents(exchange, stream_id, version, number + 1);
  });
}

}  // namespace bluebellpass::test
