#include "load-driver.h"

#include <algorithm>
#include <cmath>

#include "engine.h"

namespace bluebellpass::standin {
namespace {

constexpr int kMaxAttempts = 4;
constexpr Millis kRetryDelay{200};
constexpr Millis kListRetryDelay{200};
constexpr Millis kMinRefreshDelay{500};
constexpr std::int64_t kDefaultValidSeconds = 10;

/// @return the kind of an error, which may be given as a string or an object
std::string ErrorNameOf(const Json& line) {
  if (!line.contains("error")) return "";
  const Json& error = line["error"];
  if (error.is_string()) return error.get<std::string>();
  if (!error.is_object()) return "";
  return error.value("kind", error.value("name", ""));
}

/// @return a prefix that is unique among all drivers, also among those created in the same
/// millisecond by one process. Equal nonces would give different requests the same id.
std::string NoncePrefix() {
  static std::uint64_t count = 0;
  return ToHex(StableHash(std::to_string(WallMillis()) + "." + std::to_string(++count))) + "n";
}

double Uniform(std::mt19937_64& random) { return static_cast<double>(random() >> 11U) * 0x1.0p-53; }

}  // namespace

LoadDriver::LoadDriver(EventLoop& loop, LoadExperiment experiment, std::vector<Address> entries)
    : m_loop(loop),
      m_experiment(std::move(experiment)),
      m_entries(std::move(entries)),
      m_client(loop),
      m_refresh_timer(loop),
      m_random(m_experiment.streams.size()),
      m_nonce_prefix(NoncePrefix()) {
  for (const LoadStream& stream : m_experiment.streams) {
    m_arrival_processes.push_back(
        {.stream = stream, .random = std::mt19937_64(stream.seed), .next_due_s = stream.start_s});
  }
}

void LoadDriver::Start() {
  m_started = m_loop.Now();
  FetchInstances();
  for (ArrivalProcess& process : m_arrival_processes) ScheduleArrival(process);
}

bool LoadDriver::IsDone() const {
  return m_finished_count == m_arrived_count &&
         std::all_of(m_arrival_processes.begin(), m_arrival_processes.end(),
                     [](const ArrivalProcess& process) { return process.is_ended; });
}

void LoadDriver::AbandonRequests() {
  for (ArrivalProcess& process : m_arrival_processes) process.is_ended = true;
  while (!m_waiting.empty()) {
    const PendingRequestPtr request = m_waiting.front();
    m_waiting.pop_front();
    ++m_open_count;
    FinishRequest(request, "not_sent", "abandoned");
  }
  const std::set<PendingRequestPtr> running = m_running;
  for (const PendingRequestPtr& request : running) FinishRequest(request, "abandoned", "abandoned");
}

Json LoadDriver::Summary() const {
  Json summary = m_summary.ToJson();
  summary["unfinished"] = m_arrived_count - m_finished_count;
  return summary;
}

void LoadDriver::FetchInstances() {
  if (m_entries.empty()) return;
  const Address entry = m_entries[m_next_entry++ % m_entries.size()];
  m_client.Fetch({.address = entry, .path = "/v1/instances", .idle_timeout = Millis{2'000}},
                 [this](Result<HttpResponse> result) {
                   if (IsOk(result) && std::get<HttpResponse>(result).status == 200) {
                     return UpdateInstances(std::get<HttpResponse>(result));
                   }
                   m_refresh_timer.Start(kListRetryDelay, [this] { FetchInstances(); });
                   // Ends the requests whose deadlines have passed while no instance is known.
                   SendWaiting();
                 });
}

void LoadDriver::UpdateInstances(const HttpResponse& response) {
  std::vector<Instance> instances;
  std::int64_t valid_s = kDefaultValidSeconds;
  try {
    const Json json = Json::parse(response.body);
    valid_s = json.value("valid_s", valid_s);
    for (const Json& entry : json.at("instances")) {
      const auto address = ParseAddress(entry.at("address").get<std::string>());
      if (address) instances.push_back({*address, entry.at("ticket").get<std::string>()});
    }
  } catch (const Json::exception&) {
    instances.clear();
  }
  // An outdated list is better than an empty one.
  if (!instances.empty()) m_instances = std::move(instances);
  const Millis half_validity{valid_s * 500};
  m_refresh_timer.Start(
      m_instances.empty() ? kListRetryDelay : std::max(half_validity, kMinRefreshDelay),
      [this] { FetchInstances(); });
  SendWaiting();
}

void LoadDriver::ScheduleArrival(ArrivalProcess& process) {
  const LoadStream& stream = process.stream;
  process.next_due_s += -std::log(1 - Uniform(process.random)) / stream.rate;
  if (process.next_due_s > stream.start_s + stream.duration_s ||
      m_arrived_count >= m_experiment.max_requests) {
    process.is_ended = true;
    return;
  }
  const TimePoint due = m_started + std::chrono::duration_cast<TimePoint::duration>(
                                        std::chrono::duration<double>(process.next_due_s));
  const auto wait = std::chrono::ceil<Millis>(due - m_loop.Now());
  m_loop.RunAfter(wait, [this, weak = std::weak_ptr(m_alive), &process, due] {
    if (!weak.expired()) AddArrival(process, due);
  });
}

void LoadDriver::AddArrival(ArrivalProcess& process, TimePoint due) {
  // Requests of other streams may have reached the limit since this arrival was scheduled.
  if (m_arrived_count >= m_experiment.max_requests) {
    process.is_ended = true;
    return;
  }
  auto request = std::make_shared<PendingRequest>();
  request->stream = &process.stream;
  request->due = due;
  request->prompt = MakePrompt(process.stream, process.count++);
  request->result.organisation = process.stream.organisation;
  request->result.tier = process.stream.tier;
  request->result.pool = process.stream.pool;
  request->result.due_ms =
      WallMillis() - std::chrono::duration_cast<Millis>(m_loop.Now() - due).count();
  ++m_arrived_count;
  m_waiting.push_back(std::move(request));
  ScheduleArrival(process);
  SendWaiting();
}

Millis LoadDriver::TimeLeft(const PendingRequest& request) const {
  return request.stream->deadline - std::chrono::duration_cast<Millis>(m_loop.Now() - request.due);
}

void LoadDriver::SendWaiting() {
  while (!m_waiting.empty()) {
    const PendingRequestPtr request = m_waiting.front();
    if (TimeLeft(*request) > Millis{0}) {
      if (m_instances.empty() || m_open_count >= m_experiment.max_connections) return;
      m_waiting.pop_front();
      ++m_open_count;
      Submit(request);
      continue;
    }
    m_waiting.pop_front();
    ++m_open_count;
    FinishRequest(request, "not_sent", m_instances.empty() ? "no_instances" : "connection_limit");
  }
}

const LoadDriver::Instance& LoadDriver::ChooseInstance() {
  std::size_t index = 0;
  while (index + 1 < m_instances.size() && Uniform(m_random) >= m_experiment.nearest_probability)
    ++index;
  return m_instances[index];
}

void LoadDriver::Submit(const PendingRequestPtr& request) {
  m_running.insert(request);
  request->is_resubmitting = false;
  request->partial_line.clear();
  const Instance& instance = ChooseInstance();
  const std::string nonce = m_nonce_prefix + std::to_string(m_next_nonce++);
  request->result.id = instance.ticket + "." + nonce;
  // Requests that are not idempotent go to plain services, which accept JSON objects.
  const Json prompt =
      request->stream->is_idempotent ? Json(request->prompt) : Json{{"text", request->prompt}};
  Json body = {{"organisation", request->stream->organisation},
               {"tier", request->stream->tier},
               {"pool", request->stream->pool},
               {"deadline_ms", std::max<std::int64_t>(TimeLeft(*request).count(), 1)},
               {"idempotent", request->stream->is_idempotent},
               {"prompt", prompt},
               {"max_tokens", request->stream->max_tokens}};
  // Plain services accept JSON objects.
  if (!request->stream->is_idempotent) body["prompt"] = Json{{"text", request->prompt}};
  if (request->idempotency_key.empty()) request->idempotency_key = "key-" + nonce;
  if (!request->stream->is_idempotent) body["idempotency_key"] = request->idempotency_key;
  StartCall(request, {.address = instance.address,
                      .method = "POST",
                      .path = "/v1/requests",
                      .headers = {{"bluebellpass-request-id", request->result.id},
                                  {"content-type", "application/json"}},
                      .body = body.dump()});
}

void LoadDriver::Resume(const PendingRequestPtr& request) {
  request->partial_line.clear();
  StartCall(request, {.address = ChooseInstance().address,
                      .path = "/v1/requests/" + request->result.id +
                              "?offset=" + std::to_string(request->answer.size())});
}

void LoadDriver::StartCall(const PendingRequestPtr& request, HttpClientRequest call_request) {
  ++request->result.attempts;
  request->status = 0;
  call_request.idle_timeout = std::max(TimeLeft(*request), Millis{0}) + m_experiment.idle_timeout;
  // The call, which the request owns, makes no callbacks after its destruction.
  PendingRequest* request_pointer = request.get();
  const std::weak_ptr<PendingRequest> weak = request;
  request->call = m_client.StartCall(
      std::move(call_request),
      {.on_head = [request_pointer](int status,
                                    const HttpHeaders&) { request_pointer->status = status; },
       .on_data = [this, weak](std::string_view bytes) { AppendData(weak.lock(), bytes); },
       .on_end =
           [this, weak](HttpCallResult end, const std::string&) {
             if (const PendingRequestPtr open = weak.lock()) HandleCallEnd(open, end);
           }});
}

void LoadDriver::AppendData(const PendingRequestPtr& request, std::string_view bytes) {
  if (request == nullptr || request->is_ended || request->is_resubmitting) return;
  request->partial_line.append(bytes);
  std::size_t from = 0;
  for (std::size_t end = 0; !request->is_ended && !request->is_resubmitting; from = end + 1) {
    end = request->partial_line.find('\n', from);
    if (end == std::string::npos) break;
    ReadLine(request, request->partial_line.substr(from, end - from));
  }
  if (!request->is_ended) request->partial_line.erase(0, from);
}

void LoadDriver::ReadLine(const PendingRequestPtr& request, const std::string& text) {
  if (text.empty()) return;
  try {
    const Json line = Json::parse(text);
    if (line.value("end", false) || line.contains("outcome")) return ReadEndLine(request, line);
    if (line.contains("backend")) request->result.backend = line.value("backend", "");
    if (!line.contains("data")) return;
    if (line.value("offset", std::size_t{0}) != request->answer.size()) {
      return FinishRequest(request, "unknown", "wrong_offset");
    }
    if (request->answer.empty())
      request->result.first_byte_ms = WallMillis() - request->result.due_ms;
    request->answer += line["data"].get<std::string>();
  } catch (const Json::exception&) {
    FinishRequest(request, "unknown", "bad_line");
  }
}

void LoadDriver::ReadEndLine(const PendingRequestPtr& request, const Json& line) {
  const std::string outcome = line.value("outcome", "unknown");
  if (outcome == "not_run" && ErrorNameOf(line) == "stopping" &&
      request->result.attempts < kMaxAttempts && TimeLeft(*request) > kRetryDelay) {
    // The request was not run, so it may be submitted to another instance under a new id.
    request->is_possibly_submitted = false;
    request->is_resubmitting = true;
    return Retry(request);
  }
  if (outcome != "completed") return FinishRequest(request, outcome, ErrorNameOf(line));
  if (line.value("length", request->answer.size()) != request->answer.size()) {
    return FinishRequest(request, "unknown", "wrong_length");
  }
  FinishRequest(request, outcome, "");
}

void LoadDriver::HandleCallEnd(const PendingRequestPtr& request, HttpCallResult end) {
  if (request->is_ended || request->is_resubmitting) return;
  // An error may be a JSON document without a final newline.
  if (end == HttpCallResult::kComplete && !request->partial_line.empty() &&
      request->status != 200) {
    ReadLine(request, std::exchange(request->partial_line, {}));
    if (request->is_ended || request->is_resubmitting) return;
  }
  if (end == HttpCallResult::kComplete && request->status != 200) {
    return FinishRequest(request, "unknown", "http_" + std::to_string(request->status));
  }
  if (request->result.attempts >= kMaxAttempts)
    return FinishRequest(request, "unknown", "answer_lost");
  // If no attempt has sent anything yet, submitting under a new id cannot cause a second run.
  // Otherwise the request may have run, and only its answer may be fetched.
  const bool is_refused =
      end == HttpCallResult::kConnectFailed || end == HttpCallResult::kConnectTimeout;
  const bool is_never_sent = is_refused && request->status == 0 && !request->is_possibly_submitted;
  if (!is_never_sent) request->is_possibly_submitted = true;
  Retry(request);
}

void LoadDriver::Retry(const PendingRequestPtr& request) {
  m_loop.RunAfter(kRetryDelay, [this, weak = std::weak_ptr(m_alive), request] {
    if (weak.expired()) return;
    if (request->is_possibly_submitted) return Resume(request);
    Submit(request);
  });
}

void LoadDriver::FinishRequest(const PendingRequestPtr& request, const std::string& outcome,
                               const std::string& error) {
  request->is_ended = true;
  LoadResult& result = request->result;
  result.outcome = outcome;
  result.error = error;
  result.bytes = request->answer.size();
  result.done_ms = WallMillis();
  result.is_on_time =
      outcome == "completed" && result.done_ms - result.due_ms <= request->stream->deadline.count();
  result.is_wrong_answer =
      m_experiment.is_verifying && outcome == "completed" &&
      request->answer != ExpectedAnswer(request->prompt, result.id, request->stream->max_tokens);
  m_running.erase(request);
  ++m_finished_count;
  --m_open_count;
  m_summary.Add(result);
  if (m_on_result) m_on_result(result);
  // A callback of the call may be running, so the call is destroyed in the next loop iteration.
  m_loop.Post([this, weak = std::weak_ptr(m_alive), request] {
    request->call.reset();
    if (!weak.expired()) SendWaiting();
  });
}

}  // namespace bluebellpass::standin
