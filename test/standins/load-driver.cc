#include "load-driver.h"

#include <algorithm>
#include <cmath>

#include "engine.h"

namespace bluebellpass::standin {
namespace {

constexpr int kMaxAttempts = 4;
constexpr Millis kRetryDelay{200};
constexpr Millis kListRetryDelay{200};
constexpr Millis kShortestRefresh{500};
constexpr std::int64_t kDefaultValidSeconds = 10;

/// @return the kind of an error that is given as a name or as an object
std::string ErrorName(const Json& line) {
  if (!line.contains("error")) return "";
  const Json& error = line["error"];
  if (error.is_string()) return error.get<std::string>();
  if (!error.is_object()) return "";
  return error.value("kind", error.value("name", ""));
}

/// @return a text that no other driver uses, not even one of this process made in the same
/// millisecond: equal nonces would make different requests share an id
std::string NoncePrefix() {
  static std::uint64_t count = 0;
  return Hex(StableHash(std::to_string(WallMillis()) + "." + std::to_string(++count))) + "n";
}

double Uniform(std::mt19937_64& random) { return static_cast<double>(random() >> 11U) * 0x1.0p-53; }

}  // namespace

LoadDriver::LoadDriver(EventLoop& loop, LoadExperiment experiment, std::vector<Address> entries)
    : m_loop(loop),
      m_experiment(std::move(experiment)),
      m_entries(std::move(entries)),
      m_client(loop),
      m_refresh(loop),
      m_random(m_experiment.streams.size()),
      m_nonce_prefix(NoncePrefix()) {
  for (const LoadStream& stream : m_experiment.streams) {
    m_sources.push_back(
        {.stream = stream, .random = std::mt19937_64(stream.seed), .next_due_s = stream.start_s});
  }
}

void LoadDriver::Start() {
  m_started = m_loop.Now();
  FetchInstances();
  for (Source& source : m_sources) ScheduleArrival(source);
}

bool LoadDriver::IsDone() const {
  return m_finished == m_arrived &&
         std::all_of(m_sources.begin(), m_sources.end(),
                     [](const Source& source) { return source.is_ended; });
}

void LoadDriver::AbandonRequests() {
  for (Source& source : m_sources) source.is_ended = true;
  while (!m_waiting.empty()) {
    const JobPtr job = m_waiting.front();
    m_waiting.pop_front();
    ++m_open;
    Finish(job, "not_sent", "abandoned");
  }
  const std::set<JobPtr> running = m_running;
  for (const JobPtr& job : running) Finish(job, "abandoned", "abandoned");
}

Json LoadDriver::Summary() const {
  Json summary = m_summary.ToJson();
  summary["unfinished"] = m_arrived - m_finished;
  return summary;
}

void LoadDriver::FetchInstances() {
  if (m_entries.empty()) return;
  const Address entry = m_entries[m_next_entry++ % m_entries.size()];
  m_client.Fetch({.address = entry, .path = "/v1/instances", .idle_timeout = Millis{2'000}},
                 [this](Result<HttpResponse> result) {
                   if (IsOk(result) && std::get<HttpResponse>(result).status == 200) {
                     return TakeInstances(std::get<HttpResponse>(result));
                   }
                   m_refresh.Start(kListRetryDelay, [this] { FetchInstances(); });
                   // Ends requests whose deadline passes while there is no instance.
                   SendWaiting();
                 });
}

void LoadDriver::TakeInstances(const HttpResponse& reply) {
  std::vector<Instance> instances;
  std::int64_t valid_s = kDefaultValidSeconds;
  try {
    const Json json = Json::parse(reply.body);
    valid_s = json.value("valid_s", valid_s);
    for (const Json& entry : json.at("instances")) {
      const auto address = ParseAddress(entry.at("address").get<std::string>());
      if (address) instances.push_back({*address, entry.at("ticket").get<std::string>()});
    }
  } catch (const Json::exception&) {
    instances.clear();
  }
  // An old list is better than an empty one.
  if (!instances.empty()) m_instances = std::move(instances);
  const Millis half_validity{valid_s * 500};
  m_refresh.Start(m_instances.empty() ? kListRetryDelay : std::max(half_validity, kShortestRefresh),
                  [this] { FetchInstances(); });
  SendWaiting();
}

void LoadDriver::ScheduleArrival(Source& source) {
  const LoadStream& stream = source.stream;
  source.next_due_s += -std::log(1 - Uniform(source.random)) / stream.rate;
  if (source.next_due_s > stream.start_s + stream.duration_s ||
      m_arrived >= m_experiment.max_requests) {
    source.is_ended = true;
    return;
  }
  const TimePoint due = m_started + std::chrono::duration_cast<TimePoint::duration>(
                                        std::chrono::duration<double>(source.next_due_s));
  const auto wait = std::chrono::ceil<Millis>(due - m_loop.Now());
  m_loop.RunAfter(wait, [this, weak = std::weak_ptr(m_alive), &source, due] {
    if (!weak.expired()) Arrive(source, due);
  });
}

void LoadDriver::Arrive(Source& source, TimePoint due) {
  // Another stream may have reached the limit since this arrival was scheduled.
  if (m_arrived >= m_experiment.max_requests) {
    source.is_ended = true;
    return;
  }
  auto job = std::make_shared<Job>();
  job->stream = &source.stream;
  job->due = due;
  job->prompt = MakePrompt(source.stream, source.count++);
  job->result.organisation = source.stream.organisation;
  job->result.tier = source.stream.tier;
  job->result.pool = source.stream.pool;
  job->result.due_ms =
      WallMillis() - std::chrono::duration_cast<Millis>(m_loop.Now() - due).count();
  ++m_arrived;
  m_waiting.push_back(std::move(job));
  ScheduleArrival(source);
  SendWaiting();
}

Millis LoadDriver::TimeLeft(const Job& job) const {
  return job.stream->deadline - std::chrono::duration_cast<Millis>(m_loop.Now() - job.due);
}

void LoadDriver::SendWaiting() {
  while (!m_waiting.empty()) {
    const JobPtr job = m_waiting.front();
    if (TimeLeft(*job) > Millis{0}) {
      if (m_instances.empty() || m_open >= m_experiment.max_connections) return;
      m_waiting.pop_front();
      ++m_open;
      Submit(job);
      continue;
    }
    m_waiting.pop_front();
    ++m_open;
    Finish(job, "not_sent", m_instances.empty() ? "no_instances" : "connection_limit");
  }
}

const LoadDriver::Instance& LoadDriver::Choose() {
  std::size_t at = 0;
  while (at + 1 < m_instances.size() && Uniform(m_random) >= m_experiment.nearest_probability) ++at;
  return m_instances[at];
}

void LoadDriver::Submit(const JobPtr& job) {
  m_running.insert(job);
  job->is_resubmitting = false;
  job->partial_line.clear();
  const Instance& instance = Choose();
  const std::string nonce = m_nonce_prefix + std::to_string(m_next_nonce++);
  job->result.id = instance.ticket + "." + nonce;
  // Bookings go to plain services, which take JSON.
  const Json prompt = job->stream->is_idempotent ? Json(job->prompt) : Json{{"text", job->prompt}};
  Json body = {{"organisation", job->stream->organisation},
               {"tier", job->stream->tier},
               {"pool", job->stream->pool},
               {"deadline_ms", std::max<std::int64_t>(TimeLeft(*job).count(), 1)},
               {"idempotent", job->stream->is_idempotent},
               {"prompt", prompt},
               {"max_tokens", job->stream->max_tokens}};
  // Services take JSON objects.
  if (!job->stream->is_idempotent) body["prompt"] = Json{{"text", job->prompt}};
  if (job->key.empty()) job->key = "key-" + nonce;
  if (!job->stream->is_idempotent) body["idempotency_key"] = job->key;
  StartCall(job, {.address = instance.address,
                  .method = "POST",
                  .path = "/v1/requests",
                  .headers = {{"bluebellpass-request-id", job->result.id},
                              {"content-type", "application/json"}},
                  .body = body.dump()});
}

void LoadDriver::Resume(const JobPtr& job) {
  job->partial_line.clear();
  StartCall(job, {.address = Choose().address,
                  .path = "/v1/requests/" + job->result.id +
                          "?offset=" + std::to_string(job->answer.size())});
}

void LoadDriver::StartCall(const JobPtr& job, HttpClientRequest request) {
  ++job->result.attempts;
  job->status = 0;
  request.idle_timeout = std::max(TimeLeft(*job), Millis{0}) + m_experiment.idle_timeout;
  // The events end with the call, which the job owns.
  Job* raw = job.get();
  const std::weak_ptr<Job> weak = job;
  job->call = m_client.StartCall(
      std::move(request),
      {.on_head = [raw](int status, const HttpHeaders&) { raw->status = status; },
       .on_data = [this, weak](std::string_view b) { ReadData(weak.lock(), b); },
       .on_end =
           [this, weak](HttpCallResult end, const std::string&) {
             if (const JobPtr open = weak.lock()) HandleEnd(open, end);
           }});
}

void LoadDriver::ReadData(const JobPtr& job, std::string_view bytes) {
  if (job == nullptr || job->is_ended || job->is_resubmitting) return;
  job->partial_line.append(bytes);
  std::size_t from = 0;
  for (std::size_t end = 0; !job->is_ended && !job->is_resubmitting; from = end + 1) {
    end = job->partial_line.find('\n', from);
    if (end == std::string::npos) break;
    ReadLine(job, job->partial_line.substr(from, end - from));
  }
  if (!job->is_ended) job->partial_line.erase(0, from);
}

void LoadDriver::ReadLine(const JobPtr& job, const std::string& text) {
  if (text.empty()) return;
  try {
    const Json line = Json::parse(text);
    if (line.value("end", false) || line.contains("outcome")) return ReadEndLine(job, line);
    if (line.contains("backend")) job->result.backend = line.value("backend", "");
    if (!line.contains("data")) return;
    if (line.value("offset", std::size_t{0}) != job->answer.size()) {
      return Finish(job, "unknown", "wrong_offset");
    }
    if (job->answer.empty()) job->result.first_byte_ms = WallMillis() - job->result.due_ms;
    job->answer += line["data"].get<std::string>();
  } catch (const Json::exception&) {
    Finish(job, "unknown", "bad_line");
  }
}

void LoadDriver::ReadEndLine(const JobPtr& job, const Json& line) {
  const std::string outcome = line.value("outcome", "unknown");
  if (outcome == "not_run" && ErrorName(line) == "stopping" &&
      job->result.attempts < kMaxAttempts && TimeLeft(*job) > kRetryDelay) {
    // The request was not run, so it may be submitted to another instance under a new id.
    job->is_submitted = false;
    job->is_resubmitting = true;
    return Retry(job);
  }
  if (outcome != "completed") return Finish(job, outcome, ErrorName(line));
  if (line.value("length", job->answer.size()) != job->answer.size()) {
    return Finish(job, "unknown", "wrong_length");
  }
  Finish(job, outcome, "");
}

void LoadDriver::HandleEnd(const JobPtr& job, HttpCallResult end) {
  if (job->is_ended || job->is_resubmitting) return;
  // Errors may be a JSON document without a newline.
  if (end == HttpCallResult::kComplete && !job->partial_line.empty() && job->status != 200) {
    ReadLine(job, std::exchange(job->partial_line, {}));
    if (job->is_ended || job->is_resubmitting) return;
  }
  if (end == HttpCallResult::kComplete && job->status != 200) {
    return Finish(job, "unknown", "http_" + std::to_string(job->status));
  }
  if (job->result.attempts >= kMaxAttempts) return Finish(job, "unknown", "answer_lost");
  // Nothing of a first attempt was sent, so a new id cannot cause a second run; after that the
  // request may run, and only its answer may be asked for.
  const bool is_refused =
      end == HttpCallResult::kConnectFailed || end == HttpCallResult::kConnectTimeout;
  const bool is_unsent = is_refused && job->status == 0 && !job->is_submitted;
  if (!is_unsent) job->is_submitted = true;
  Retry(job);
}

void LoadDriver::Retry(const JobPtr& job) {
  m_loop.RunAfter(kRetryDelay, [this, weak = std::weak_ptr(m_alive), job] {
    if (weak.expired()) return;
    if (job->is_submitted) return Resume(job);
    Submit(job);
  });
}

void LoadDriver::Finish(const JobPtr& job, const std::string& outcome, const std::string& error) {
  job->is_ended = true;
  LoadResult& result = job->result;
  result.outcome = outcome;
  result.error = error;
  result.bytes = job->answer.size();
  result.done_ms = WallMillis();
  result.is_on_time =
      outcome == "completed" && result.done_ms - result.due_ms <= job->stream->deadline.count();
  result.is_wrong = m_experiment.is_verifying && outcome == "completed" &&
                    job->answer != ExpectedAnswer(job->prompt, result.id, job->stream->max_tokens);
  m_running.erase(job);
  ++m_finished;
  --m_open;
  m_summary.Add(result);
  if (m_on_result) m_on_result(result);
  // An event of the call may be running, so the call goes in the next turn.
  m_loop.Post([this, weak = std::weak_ptr(m_alive), job] {
    job->call.reset();
    if (!weak.expired()) SendWaiting();
  });
}

}  // namespace bluebellpass::standin
