#include "engine-standin.h"

#include "platform/names.h"

namespace bluebellpass::test {
namespace {

namespace names = platform::names;

constexpr Millis kEventGap{20};

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

int EngineStandin::EventsOf(const std::string& request) {
  return 3 + static_cast<int>(StableHash(request) % 20);
}

std::string EngineStandin::EventText(const std::string& request, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + request + " part " +
         std::to_string(number) + "\n\n";
}

void EngineStandin::Restart(std::string id) {
  m_id = std::move(id);
  const auto open = std::move(m_open);
  m_open.clear();
  for (const auto& exchange : open) exchange->Abort();
}

void EngineStandin::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpHead& head = exchange->Head();
  const std::string request = head.Value(names::kAttempt);
  if (head.Value(names::kExpectedBackend) != m_id)
    return exchange->Send(421, {{"Instance", m_id}}, "");
  std::erase_if(m_open, [](const auto& open) { return !open->IsOpen(); });
  if (static_cast<int>(m_open.size()) >= m_slots)
    return exchange->Send(503, {{names::kNotRun, "1"}, {names::kAttempt, request}}, "");
  m_on_run({request, m_id, head.Value(names::kOrganisation), head.Value(names::kApiKey),
            head.target, m_loop.Now()});
  m_open.insert(exchange);
  const std::vector<HttpField> fields = {{names::kAttempt, request},
                                         {names::kSignature, SealOf(m_id, request)}};
  if (static_cast<int>(++m_counter * 37 % 100) < m_failures) {
    m_open.erase(exchange);
    // Half of the failures are told, the others end the connection.
    return m_counter % 2 == 0 ? exchange->Send(500, fields, "failed") : exchange->Abort();
  }
  if (head.target.starts_with("/stream") || head.target.starts_with("/dossier")) {
    const std::string last = head.Value(names::kLastEventId);
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    auto stream_fields = fields;
    stream_fields.push_back({"Content-Type", "text/event-stream"});
    exchange->Start(200, stream_fields);
    return Stream(exchange, request, first);
  }
  m_loop.RunAfter(m_work, [this, exchange, fields, request] {
    exchange->Send(200, fields, AnswerTo(request));
    m_open.erase(exchange);
  });
}

void EngineStandin::Stream(const std::shared_ptr<HttpExchange>& exchange,
                           const std::string& request, int number) {
  if (!exchange->IsOpen()) {
    m_open.erase(exchange);
    return;
  }
  if (number > EventsOf(request)) {
    exchange->End();
    m_open.erase(exchange);
    return;
  }
  exchange->Write(EventText(request, number));
  m_loop.RunAfter(kEventGap,
                  [this, exchange, request, number] { Stream(exchange, request, number + 1); });
}

}  // namespace bluebellpass::test
