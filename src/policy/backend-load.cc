#include "policy/backend-load.h"

#include <algorithm>

namespace bluebellpass {
namespace {

/// A few times the number of prefixes in the KV caches of a cell's servers, at about 100 bytes
/// each.
constexpr std::size_t kMaxPrefixes = 16384;
/// Load, relative to the mean, above which prefix affinity is ignored.
constexpr double kMaxAffinityLoadRatio = 1.25;
/// Weight of the newest sample in the moving average.
constexpr double kSampleWeight = 0.2;
/// Below this, latency dominates the measured time.
constexpr std::int64_t kMinSampleTokens = 16;
constexpr Millis kMinBackoff{1000};
constexpr Millis kMaxBackoff{30000};
constexpr Millis kMaxSampleAge{10000};
/// Fraction of the difference to the configured speed that one call removes.
constexpr double kDecayFactor = 0.1;

void AddSpeedSample(double& speed, std::int64_t tokens, Millis duration) {
  if (tokens < kMinSampleTokens || duration.count() <= 0) return;
  const double sample = static_cast<double>(tokens) * 1000 / static_cast<double>(duration.count());
  speed += kSampleWeight * (sample - speed);
}

}  // namespace

void PrefixTable::Set(Fingerprint prefix, const BackendId& backend) {
  const auto it = m_index.find(prefix);
  if (it != m_index.end()) {
    it->second->second = backend;
    m_entries.splice(m_entries.begin(), m_entries, it->second);
    return;
  }
  m_entries.emplace_front(prefix, backend);
  m_index.emplace(prefix, m_entries.begin());
  if (m_entries.size() <= kMaxPrefixes) return;
  m_index.erase(m_entries.back().first);
  m_entries.pop_back();
}

const BackendId* PrefixTable::Find(Fingerprint prefix) const {
  const auto it = m_index.find(prefix);
  return it == m_index.end() ? nullptr : &it->second->second;
}

std::int64_t BackendLoad::Server::OccupiedSlots() const {
  if (slots_used > 0) return slots_used + external_runs;
  return std::min(external_runs, std::max<std::int64_t>(config.slots - 1, 0));
}

double BackendLoad::Server::Load() const {
  const double slots = static_cast<double>(OccupiedSlots()) /
                       static_cast<double>(std::max<std::int64_t>(config.slots, 1));
  if (IsService()) return slots;
  const double tokens = static_cast<double>(tokens_used) /
                        static_cast<double>(std::max<std::int64_t>(config.token_capacity, 1));
  return std::max(slots, tokens);
}

bool BackendLoad::Server::IsExcluded(const Demand& demand) const {
  const auto& excluded = demand.excluded_data_centres;
  return std::find(excluded.begin(), excluded.end(), config.data_centre) != excluded.end();
}

void BackendLoad::Configure(const std::vector<BackendConfig>& backends) {
  for (auto& [id, server] : m_servers) server.is_configured = false;
  m_largest_capacity = 0;
  for (const BackendConfig& config : backends) {
    Server& server = m_servers[config.id];
    const bool has_no_estimate = server.prefill_speed <= 0;
    server.config = config;
    server.is_configured = true;
    if (has_no_estimate) {
      server.prefill_speed = config.prefill_tokens_per_second;
      server.decode_speed = config.tokens_per_second;
    }
    if (server.IsActive()) {
      m_largest_capacity = std::max(m_largest_capacity, config.token_capacity);
    }
  }
  for (auto& [id, server] : m_servers) server.is_paused &= server.is_configured;
  std::erase_if(m_servers, [](const auto& entry) {
    return !entry.second.is_configured && entry.second.slots_used == 0;
  });
}

bool BackendLoad::HasCapacity(const Server& server, const Demand& demand, TimePoint now) const {
  if (!server.IsSchedulable() || server.exclusive_runs > 0) return false;
  if (server.IsExcluded(demand)) return false;
  if (server.OccupiedSlots() >= server.config.slots) return false;
  if (server.backoff.count() > 0 && (now < server.retry_at || server.slots_used > 0)) return false;
  if (demand.is_exclusive && server.slots_used > 0) return false;
  if (server.IsService()) return true;
  const std::int64_t tokens = demand.TotalTokens().Value();
  if (server.tokens_used + tokens <= server.config.token_capacity) return true;
  return tokens > m_largest_capacity && server.slots_used == 0;
}

double BackendLoad::EstimateSeconds(const Server& server, const Demand& demand) {
  if (server.IsService() || server.prefill_speed <= 0 || server.decode_speed <= 0) return 0;
  return static_cast<double>(demand.prompt.Value()) / server.prefill_speed +
         static_cast<double>(demand.output.Value()) / server.decode_speed;
}

bool BackendLoad::IsOnTime(const Server& server, const Demand& demand) {
  return demand.time_limit == Millis::max() ||
         EstimateSeconds(server, demand) * 1000 <= static_cast<double>(demand.time_limit.count());
}

bool BackendLoad::IsWithinAffinityLoad(const Server& server) const {
  double sum = 0;
  int active = 0;
  for (const auto& [id, other] : m_servers) {
    if (!other.IsActive()) continue;
    sum += other.Load();
    ++active;
  }
  return active > 0 && server.Load() <= kMaxAffinityLoadRatio * sum / active;
}

std::optional<BackendId> BackendLoad::ChooseBackend(const Demand& demand,
                                                    const BackendId& kept_free,
                                                    TimePoint now) const {
  const BackendId* cached = m_prefixes.Find(demand.prefix);
  if (cached != nullptr && *cached != kept_free) {
    const auto it = m_servers.find(*cached);
    if (it != m_servers.end() && HasCapacity(it->second, demand, now) &&
        IsOnTime(it->second, demand) && IsWithinAffinityLoad(it->second)) {
      return *cached;
    }
  }
  const Server* best = nullptr;
  std::pair<double, double> best_time;
  for (const auto& [id, server] : m_servers) {
    if (id == kept_free || !HasCapacity(server, demand, now) || !IsOnTime(server, demand)) continue;
    const double load = server.Load();
    // The runs of a server share its speed.
    const std::pair<double, double> time{EstimateSeconds(server, demand) * (1 + load), load};
    if (best != nullptr && time >= best_time) continue;
    best = &server;
    best_time = time;
  }
  if (best == nullptr) return std::nullopt;
  return best->config.id;
}

std::optional<BackendId> BackendLoad::FindLeastLoaded(const Demand& demand, TimePoint now) const {
  const Server* best = nullptr;
  for (const auto& [id, server] : m_servers) {
    if (!server.IsSchedulable() || server.IsExcluded(demand)) continue;
    if (server.backoff.count() > 0 && now < server.retry_at) continue;
    const std::int64_t tokens = demand.TotalTokens().Value();
    const bool is_too_small = !server.IsService() && tokens > server.config.token_capacity &&
                              tokens <= m_largest_capacity;
    if (is_too_small || !IsOnTime(server, demand)) continue;
    if (best == nullptr || server.Load() < best->Load()) best = &server;
  }
  if (best == nullptr) return std::nullopt;
  return best->config.id;
}

std::optional<BackendId> BackendLoad::NextRoundRobin() {
  std::vector<const BackendId*> active;
  for (const auto& [id, server] : m_servers) {
    if (server.IsSchedulable()) active.push_back(&id);
  }
  if (active.empty()) return std::nullopt;
  return *active[m_round_robin_next++ % active.size()];
}

void BackendLoad::SetGrantsPaused(const BackendId& backend, bool is_paused) {
  const auto it = m_servers.find(backend);
  if (it != m_servers.end()) it->second.is_paused = is_paused;
}

void BackendLoad::OnLoadReport(const BackendId& backend,
                               std::optional<std::int64_t> reported_runs) {
  const auto it = m_servers.find(backend);
  if (it == m_servers.end()) return;
  Server& server = it->second;
  // A report arrives late and may include own runs that have ended since.
  const std::int64_t peak_own_runs =
      *std::max_element(server.peak_runs.begin(), server.peak_runs.end());
  const std::int64_t excess = std::max<std::int64_t>(reported_runs.value_or(0) - peak_own_runs, 0);
  std::rotate(server.peak_runs.begin(), server.peak_runs.end() - 1, server.peak_runs.end());
  server.peak_runs.front() = server.slots_used;
  server.external_runs = std::min(excess, server.last_excess);
  server.last_excess = excess;
}

void BackendLoad::BeginRun(const BackendId& backend, Tokens tokens, bool is_exclusive) {
  Server& server = m_servers[backend];
  if (server.config.id.IsEmpty()) server.config.id = backend;
  ++server.slots_used;
  server.peak_runs.front() = std::max(server.peak_runs.front(), server.slots_used);
  server.tokens_used += tokens.Value();
  if (is_exclusive) ++server.exclusive_runs;
}

void BackendLoad::EndRun(const BackendId& backend, Tokens tokens, bool is_exclusive) {
  const auto it = m_servers.find(backend);
  if (it == m_servers.end()) return;
  Server& server = it->second;
  --server.slots_used;
  server.tokens_used -= tokens.Value();
  if (is_exclusive) --server.exclusive_runs;
  if (!server.is_configured && server.slots_used <= 0) m_servers.erase(it);
}

void BackendLoad::LearnSpeeds(const ReleaseMessage& release, TimePoint now) {
  const auto it = m_servers.find(release.backend);
  if (it == m_servers.end()) return;
  Server& server = it->second;
  server.backoff = Millis{0};
  if (server.IsService()) return;
  const Tokens uncached = release.prompt_tokens - release.cached_tokens;
  AddSpeedSample(server.prefill_speed, uncached.Value(), release.time_to_first_token);
  AddSpeedSample(server.decode_speed, release.output_tokens.Value(),
                 release.total_time - release.time_to_first_token);
  server.last_sample_at = now;
}

void BackendLoad::OnBackendLost(const BackendId& backend, TimePoint now) {
  const auto it = m_servers.find(backend);
  if (it == m_servers.end()) return;
  Server& server = it->second;
  // Each run on a dead or unreachable server is reported separately. Only the first report extends
  // the backoff.
  if (server.backoff.count() > 0 && now < server.retry_at) return;
  server.backoff =
      server.backoff.count() == 0 ? kMinBackoff : std::min(server.backoff * 2, kMaxBackoff);
  server.retry_at = now + server.backoff;
}

void BackendLoad::DecaySpeeds(TimePoint now) {
  for (auto& [id, server] : m_servers) {
    if (!server.is_configured || now - server.last_sample_at < kMaxSampleAge) continue;
    const BackendConfig& config = server.config;
    server.prefill_speed +=
        kDecayFactor * (config.prefill_tokens_per_second - server.prefill_speed);
    server.decode_speed += kDecayFactor * (config.tokens_per_second - server.decode_speed);
  }
}

bool BackendLoad::HasActiveBackend(const DataCentre& data_centre) const {
  return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& entry) {
    return entry.second.IsActive() && entry.second.config.data_centre == data_centre;
  });
}

bool BackendLoad::FitsOutsideExcluded(const Demand& demand) const {
  const std::int64_t tokens = demand.TotalTokens().Value();
  return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& entry) {
    const Server& server = entry.second;
    if (!server.IsActive() || server.IsExcluded(demand)) return false;
    // A request larger than every server may run on any of them, as its only run.
    return server.IsService() || tokens <= server.config.token_capacity ||
           tokens > m_largest_capacity;
  });
}

std::optional<Millis> BackendLoad::MinCompletionTime(const Demand& demand) const {
  std::optional<double> fastest;
  for (const auto& [id, server] : m_servers) {
    if (!server.IsActive() || server.IsExcluded(demand)) continue;
    const double seconds = EstimateSeconds(server, demand);
    if (!fastest.has_value() || seconds < *fastest) fastest = seconds;
  }
  if (!fastest.has_value()) return std::nullopt;
  return Millis{static_cast<std::int64_t>(*fastest * 1000)};
}

bool BackendLoad::HasFreeSlot() const {
  return std::any_of(m_servers.begin(), m_servers.end(), [](const auto& entry) {
    return entry.second.IsSchedulable() && entry.second.OccupiedSlots() < entry.second.config.slots;
  });
}

std::vector<BackendStats> BackendLoad::Stats() const {
  std::vector<BackendStats> stats;
  for (const auto& [id, server] : m_servers) {
    stats.push_back({.id = id,
                     .is_active = server.IsActive(),
                     .slots = server.config.slots,
                     .slots_used = server.slots_used,
                     .external_runs = server.external_runs,
                     .token_capacity = server.config.token_capacity,
                     .tokens_used = server.tokens_used,
                     .prefill_tokens_per_second = server.prefill_speed,
                     .decode_tokens_per_second = server.decode_speed,
                     .is_paused = server.is_paused,
                     .is_backing_off = server.backoff.count() > 0});
  }
  return stats;
}

}  // namespace bluebellpass
