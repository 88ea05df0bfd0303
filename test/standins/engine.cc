#include "engine.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bluebellpass::standin {
namespace {

constexpr std::string_view kCancelSuffix = "/cancel";
constexpr std::string_view kResponsesPrefix = "/v1/responses/";
constexpr Millis kMaxStepInterval{20};
// Work that takes less than this is completed immediately, since timers have a resolution of 1 ms.
constexpr double kInstantSeconds = 0.0005;
constexpr Millis kStreamRetention{60'000};
// Time for the loop to send response.created before the crash.
constexpr Millis kCrashDelay{5};
// Every tenth cache event is omitted, which readers see as a gap in the numbers.
constexpr std::uint64_t kOmittedEventPeriod = 10;
constexpr std::size_t kTokenBytes = 4;
// Rounding errors of a fraction of a token must not delay the end of a stream.
constexpr double kRoundingTolerance = 1e-6;

std::string_view StateName(int state) {
  static constexpr std::string_view names[] = {"running", "done", "cancelled"};
  return names[state];
}

std::int64_t ParseNumber(const std::string& text, std::int64_t fallback) {
  std::int64_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

double ToSeconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::string ExpectedAnswer(std::string_view input, std::string_view request_id,
                           std::int64_t max_output_tokens) {
  std::string answer;
  const auto length = static_cast<std::size_t>(std::max<std::int64_t>(max_output_tokens, 0));
  answer.reserve(length * kTokenBytes);
  // Linear congruential generator. Its low bits have short periods, so the high bits are used.
  std::uint64_t state = StableHash(request_id, StableHash(input));
  while (answer.size() < length * kTokenBytes) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    answer += static_cast<char>('a' + (state >> 33U) % 26);
  }
  return answer;
}

std::int64_t CountTokens(std::string_view input) {
  return static_cast<std::int64_t>((input.size() + kTokenBytes - 1) / kTokenBytes);
}

Engine::Engine(EventLoop& loop, EngineOptions options)
    : m_options(std::move(options)),
      m_incarnation(StableHash(std::to_string(WallMillis()))),
      m_advanced_to(loop.Now()),
      m_step_timer(loop),
      m_cache(m_options.cache_tokens),
      m_server(loop, [this](HttpRequest request, ResponderPtr responder) {
        Handle(request, responder);
      }) {
  if (!m_options.model.empty()) m_models[m_options.model] = "";
}

void Engine::Crash() {
  m_is_crashed = true;
  m_server.StopAccepting();
  for (const auto& [id, stream] : m_streams) {
    for (const ResponderPtr& reader : stream->readers) reader->Abort();
    stream->readers.clear();
  }
  m_streams.clear();
  m_prefilling.clear();
  m_decoding.clear();
}

void Engine::SetSlowdown(double factor) {
  AdvanceToNow();
  m_slowdown = std::max(factor, kRoundingTolerance);
  ScheduleStep();
}

void Engine::SilenceOpenStreams() {
  for (const auto& [id, stream] : m_streams) stream->readers.clear();
}

Json Engine::Executions() const {
  Json executions = Json::array();
  for (const StreamPtr& stream : m_executions) {
    executions.push_back({{"request_id", stream->request_id},
                          {"id", stream->id},
                          {"input_tokens", stream->input_tokens},
                          {"cached_tokens", stream->cached_tokens},
                          {"output_tokens", stream->output_tokens},
                          {"state", StateName(static_cast<int>(stream->state))},
                          {"started_ms", stream->started_ms},
                          {"ended_ms", stream->ended_ms},
                          {"model", stream->model}});
  }
  return executions;
}

void Engine::Handle(const HttpRequest& request, const ResponderPtr& responder) {
  if (m_is_crashed) return responder->Abort();
  const bool is_post = request.method == "POST";
  const std::string& path = request.path;
  if (is_post && path == "/v1/responses") return HandleCreate(request, responder);
  if (is_post && path == "/v1/orders") return HandleOrder(request, *responder);
  if (path.starts_with("/control")) return HandleControl(request, *responder);
  if (path == "/load") return HandleLoad(*responder);
  if (path == "/kv-events") return HandleKvEvents(request, *responder);
  if (path == "/v1/loaded") {
    return SendJson(
        *responder, 200,
        {{"models", m_models}, {"adapters", m_adapters}, {"role", m_role}, {"fencing", m_fencing}});
  }
  if (path.starts_with(kResponsesPrefix)) {
    const std::string id_and_action = path.substr(kResponsesPrefix.size());
    if (!is_post) return HandleResume(request, id_and_action, responder);
    if (id_and_action.ends_with(kCancelSuffix)) {
      return HandleCancel(id_and_action.substr(0, id_and_action.size() - kCancelSuffix.size()),
                          *responder);
    }
  }
  SendJson(*responder, 404, {{"error", "no such path"}});
}

void Engine::HandleControl(const HttpRequest& request, HttpResponder& responder) {
  if (request.path == "/control/executions") return SendJson(responder, 200, Executions());
  const Json body = Json::parse(request.body);
  if (body.contains("slowdown")) SetSlowdown(body["slowdown"].get<double>());
  if (body.value("silent_streams", false)) SilenceOpenStreams();
  SendJson(responder, 200, Json::object());
}

void Engine::HandleCreate(const HttpRequest& request, const ResponderPtr& responder) {
  const Json body = Json::parse(request.body);
  if (!body.value("stream", false)) {
    return SendJson(*responder, 400, {{"error", "only streamed responses are supported"}});
  }
  AdvanceToNow();
  auto stream = std::make_shared<Stream>();
  stream->id = "resp_" + ToHex(m_incarnation + m_next_id++);
  stream->model = body.value("model", "");
  const Json& input = body.at("input");
  stream->input = input.is_string() ? input.get<std::string>() : input.dump();
  stream->is_background = body.value("background", false);
  stream->max_output_tokens = std::max<std::int64_t>(body.value("max_output_tokens", 16), 1);
  if (body.contains("metadata")) stream->request_id = body["metadata"].value("request_id", "");
  stream->answer = ExpectedAnswer(stream->input, stream->request_id, stream->max_output_tokens);
  stream->input_tokens = CountTokens(stream->input);
  stream->prefill_left = static_cast<double>(stream->input_tokens);
  stream->started_ms = WallMillis();
  m_streams[stream->id] = stream;
  m_executions.push_back(stream);
  responder->Start(200, {{"content-type", "text/event-stream"}});
  stream->readers.push_back(responder);
  EmitEvent(*stream, "response.created", {{"response", {{"id", stream->id}}}});
  if (stream->input.find(kCrashMarker) != std::string::npos) {
    return m_server.RunAfter(kCrashDelay, [this] { m_on_crash ? m_on_crash() : Crash(); });
  }
  if (!stream->is_background) {
    responder->OnClosed(m_server.BindToLifetime([this, weak = std::weak_ptr(stream)] {
      const StreamPtr open = weak.lock();
      if (open && open->state == State::kRunning) EndStream(open, State::kCancelled);
    }));
  }
  m_prefilling.push_back(stream);
  if (m_prefilling.size() == 1) BeginPrefill(*stream);
  RecordLoad();
  ScheduleStep();
}

void Engine::HandleResume(const HttpRequest& request, const std::string& id,
                          const ResponderPtr& responder) {
  const auto found = m_streams.find(id);
  if (found == m_streams.end()) return SendJson(*responder, 404, {{"error", "no such response"}});
  Stream& stream = *found->second;
  if (request.Query("stream") != "true") {
    const std::string_view state = StateName(static_cast<int>(stream.state));
    return SendJson(*responder, 200, {{"id", id}, {"status", state}});
  }
  responder->Start(200, {{"content-type", "text/event-stream"}});
  const std::int64_t after = ParseNumber(request.Query("starting_after"), -1);
  for (std::size_t sequence_number = static_cast<std::size_t>(std::max<std::int64_t>(after + 1, 0));
       sequence_number < stream.events.size(); ++sequence_number) {
    responder->Write(stream.events[sequence_number]);
  }
  if (stream.state != State::kRunning) return responder->End();
  stream.readers.push_back(responder);
}

void Engine::HandleCancel(const std::string& id, HttpResponder& responder) {
  const auto found = m_streams.find(id);
  if (found == m_streams.end()) return SendJson(responder, 404, {{"error", "no such response"}});
  const StreamPtr stream = found->second;
  AdvanceToNow();
  if (stream->state == State::kRunning) EndStream(stream, State::kCancelled);
  ScheduleStep();
  SendJson(responder, 200,
           {{"id", id}, {"status", stream->state == State::kDone ? "completed" : "cancelled"}});
}

void Engine::HandleOrder(const HttpRequest& request, HttpResponder& responder) {
  const Json body = Json::parse(request.body);
  const auto fencing = body.at("fencing").get<std::uint64_t>();
  if (m_options.is_checking_fencing && fencing < m_highest_fencing) {
    return SendJson(responder, 409, {{"error", "stale_fencing"}, {"highest", m_highest_fencing}});
  }
  const std::string order = body.at("order").get<std::string>();
  if (order == "load_model") {
    m_models[body.at("model").get<std::string>()] = body.value("version", "");
  } else if (order == "load_adapter") {
    m_adapters[body.at("model").get<std::string>()] = body.value("version", "");
  } else if (order == "set_role") {
    m_role = body.contains("role") ? body["role"].get<std::string>() : body.value("model", "");
  } else {
    return SendJson(responder, 400, {{"error", "unknown order"}});
  }
  m_fencing = fencing;
  m_highest_fencing = std::max(m_highest_fencing, fencing);
  SendJson(responder, 200, {{"fencing", fencing}});
}

void Engine::HandleKvEvents(const HttpRequest& request, HttpResponder& responder) {
  const auto after = static_cast<std::uint64_t>(ParseNumber(request.Query("after"), 0));
  Json events = Json::array();
  for (const PrefixCache::Event& event : m_cache.Events()) {
    if (event.sequence_number <= after || event.sequence_number % kOmittedEventPeriod == 0)
      continue;
    if (event.at + m_options.load_lag > m_server.Now()) break;
    events.push_back({{"n", event.sequence_number},
                      {"kind", event.is_stored ? "stored" : "evicted"},
                      {"block", ToHex(event.block)}});
  }
  SendJson(responder, 200, {{"events", events}});
}

void Engine::HandleLoad(HttpResponder& responder) {
  AdvanceToNow();
  RecordLoad();
  const TimePoint latest_visible = m_server.Now() - m_options.load_lag;
  while (m_load_samples.size() > 1 && m_load_samples[1].at <= latest_visible)
    m_load_samples.pop_front();
  const LoadSample load =
      m_load_samples.front().at <= latest_visible ? m_load_samples.front() : LoadSample{};
  SendJson(responder, 200,
           {{"active", load.active},
            {"waiting", load.waiting},
            {"kv_tokens", load.kv_tokens},
            {"cached_blocks", load.cached_blocks}});
}

void Engine::RecordLoad() {
  LoadSample load{.at = m_server.Now(),
                  .active = m_decoding.size() + (m_prefilling.empty() ? 0U : 1U),
                  .waiting = m_prefilling.empty() ? 0U : m_prefilling.size() - 1,
                  .cached_blocks = m_cache.BlockCount()};
  for (const StreamPtr& stream : m_decoding) {
    load.kv_tokens += stream->input_tokens + stream->output_tokens;
  }
  if (!m_prefilling.empty()) load.kv_tokens += m_prefilling.front()->input_tokens;
  m_load_samples.push_back(load);
  const TimePoint latest_visible = load.at - m_options.load_lag;
  while (m_load_samples.size() > 1 && m_load_samples[1].at <= latest_visible)
    m_load_samples.pop_front();
}

double Engine::DecodeRate() const {
  const double active = static_cast<double>(std::max<std::size_t>(m_decoding.size(), 1));
  const double share = std::min(1.0, static_cast<double>(m_options.batch) / active);
  return m_options.decode_rate * SpeedFactor() * share;
}

void Engine::AdvanceToNow() {
  const TimePoint now = m_server.Now();
  const double seconds = ToSeconds(now - m_advanced_to);
  m_advanced_to = now;
  Decode(seconds);
  Prefill(seconds);
}

void Engine::BeginPrefill(Stream& stream) {
  stream.cached_tokens = m_cache.Lookup(stream.input);
  stream.prefill_left = static_cast<double>(stream.input_tokens - stream.cached_tokens);
}

void Engine::Prefill(double seconds) {
  const double rate = m_options.prefill_rate * SpeedFactor();
  double budget = seconds * rate;
  while (!m_prefilling.empty()) {
    const StreamPtr stream = m_prefilling.front();
    if (stream->prefill_left > budget + kInstantSeconds * rate) {
      stream->prefill_left -= budget;
      return;
    }
    // May become negative: the next prompt is then charged for the part that was done early.
    budget -= stream->prefill_left;
    m_prefilling.pop_front();
    m_cache.Store(stream->input, m_server.Now());
    m_decoding.push_back(stream);
    if (!m_prefilling.empty()) BeginPrefill(*m_prefilling.front());
  }
}

void Engine::Decode(double seconds) {
  const double tokens = (seconds + kInstantSeconds) * DecodeRate();
  const std::vector<StreamPtr> streams = m_decoding;
  for (const StreamPtr& stream : streams) {
    const auto length = static_cast<double>(stream->max_output_tokens);
    if (stream->decoded + tokens >= length) {
      stream->decoded = length;
    } else {
      stream->decoded += seconds * DecodeRate();
    }
    EmitDecodedText(*stream);
    if (stream->output_tokens == stream->max_output_tokens) EndStream(stream, State::kDone);
  }
}

void Engine::ScheduleStep() {
  if (m_prefilling.empty() && m_decoding.empty()) return m_step_timer.Stop();
  double wait = ToSeconds(kMaxStepInterval);
  if (!m_prefilling.empty()) {
    const double rate = m_options.prefill_rate * SpeedFactor();
    wait = std::min(wait, m_prefilling.front()->prefill_left / rate);
  }
  for (const StreamPtr& stream : m_decoding) {
    const double left = static_cast<double>(stream->max_output_tokens) - stream->decoded;
    wait = std::min(wait, left / DecodeRate());
  }
  m_step_timer.Start(Millis{std::lround(wait * 1000)}, [this] {
    AdvanceToNow();
    RecordLoad();
    ScheduleStep();
  });
}

void Engine::EmitDecodedText(Stream& stream) {
  const auto decoded = static_cast<std::int64_t>(stream.decoded + kRoundingTolerance);
  if (decoded <= stream.output_tokens) return;
  const std::size_t offset = static_cast<std::size_t>(stream.output_tokens) * kTokenBytes;
  const std::size_t length = static_cast<std::size_t>(decoded) * kTokenBytes - offset;
  stream.output_tokens = decoded;
  EmitEvent(stream, "response.output_text.delta",
            {{"delta", stream.answer.substr(offset, length)}});
}

void Engine::EmitEvent(Stream& stream, const std::string& type, Json fields) {
  fields["type"] = type;
  fields["sequence_number"] = stream.events.size();
  stream.events.push_back("event: " + type + "\ndata: " + fields.dump() + "\n\n");
  for (const ResponderPtr& reader : stream.readers) reader->Write(stream.events.back());
}

void Engine::EndStream(const StreamPtr& stream, State state) {
  stream->state = state;
  stream->ended_ms = WallMillis();
  std::erase(m_decoding, stream);
  const bool is_head = !m_prefilling.empty() && m_prefilling.front() == stream;
  std::erase(m_prefilling, stream);
  if (is_head && !m_prefilling.empty()) BeginPrefill(*m_prefilling.front());
  const Json usage = {{"input_tokens", stream->input_tokens},
                      {"input_tokens_details", {{"cached_tokens", stream->cached_tokens}}},
                      {"output_tokens", stream->output_tokens}};
  const bool is_done = state == State::kDone;
  EmitEvent(
      *stream, is_done ? "response.completed" : "response.incomplete",
      {{"response",
        {{"id", stream->id}, {"status", is_done ? "completed" : "cancelled"}, {"usage", usage}}}});
  for (const ResponderPtr& reader : stream->readers) reader->End();
  stream->readers.clear();
  // The record of the execution is kept; its text only as long as the stream can be resumed.
  m_server.RunAfter(kStreamRetention, [this, stream] {
    m_streams.erase(stream->id);
    stream->events.clear();
    stream->input.clear();
    stream->answer.clear();
  });
}

}  // namespace bluebellpass::standin
