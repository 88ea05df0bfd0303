#include "policy/backend-load.h"

#include <algorithm>

namespace bluebellpass {
namespace {

/// About 100 bytes a row; a few times what the caches of a cell's servers hold.
constexpr std::size_t kMaxPrefixes = 16384;
constexpr double kAffinityLoad = 1.25;
/// Weight of the newest sample.
constexpr double kLearnRate = 0.2;
/// Shorter runs measure latency rather than speed.
constexpr std::int64_t kMinSampleTokens = 16;
constexpr Millis kFirstBackoff{1000};
constexpr Millis kLongestBackoff{30000};
constexpr Millis kDriftAfter{10000};
/// Part of the difference that a speed drifts by in one call.
constexpr double kDriftRate = 0.1;

void LearnSpeed(double& speed, std::int64_t tokens, Millis time) {
  if (tokens < kMinSampleTokens || time.count() <= 0) return;
  const double sample = static_cast<double>(tokens) * 1000 / static_cast<double>(time.count());
  speed += kLearnRate * (sample - speed);
}

}  // namespace

void PrefixTable::Set(Fingerprint prefix, const BackendId& backend) {
  const auto place = m_index.find(prefix);
  if (place != m_index.end()) {
    place->second->second = backend;
    m_rows.splice(m_rows.begin(), m_rows, place->second);
    return;
  }
  m_rows.emplace_front(prefix, backend);
  m_index.emplace(prefix, m_rows.begin());
  if (m_rows.size() <= kMaxPrefixes) return;
  m_index.erase(m_rows.back().first);
  m_rows.pop_back();
}

const BackendId* PrefixTable::Find(Fingerprint prefix) const {
  const auto place = m_index.find(prefix);
  return place == m_index.end() ? nullptr : &place->second->second;
}

std::int64_t BackendLoad::Server::SlotsTaken() const {
  if (slots_used > 0) return slots_used + surplus;
  return std::min(surplus, std::max<std::int64_t>(config.slots - 1, 0));
}

double BackendLoad::Server::Load() const {
  const double slots = static_cast<double>(SlotsTaken()) /
                       static_cast<double>(std::max<std::int64_t>(config.slots, 1));
  if (IsService()) return slots;
  const double tokens = static_cast<double>(tokens_used) /
                        static_cast<double>(std::max<std::int64_t>(config.token_capacity, 1));
  return std::max(slots, tokens);
}

bool BackendLoad::Server::IsAvoided(const Demand& demand) const {
  const auto& avoided = demand.avoided;
  return std::find(avoided.begin(), avoided.end(), config.data_centre) != avoided.end();
}

void BackendLoad::Configure(const std::vector<BackendConfig>& backends) {
  for (auto& [id, server] : m_servers) server.is_configured = false;
  m_largest_capacity = 0;
  for (const BackendConfig& config : backends) {
    Server& server = m_servers[config.id];
    const bool is_first = server.prefill_speed <= 0;
    server.config = config;
    server.is_configured = true;
    if (is_first) {
      server.prefill_speed = config.prefill_tokens_per_second;
      server.decode_speed = config.tokens_per_second;
    }
    if (server.IsActive()) {
      m_largest_capacity = std::max(m_largest_capacity, config.token_capacity);
    }
  }
  for (auto& [id, server] : m_servers) server.is_held &= server.is_configured;
  std::erase_if(m_servers, [](const auto& row) {
    return !row.second.is_configured && row.second.slots_used == 0;
  });
}

bool BackendLoad::HasRoom(const Server& server, const Demand& demand, TimePoint now) const {
  if (!server.MayTakeWork() || server.runs_alone > 0) return false;
  if (server.IsAvoided(demand)) return false;
  if (server.SlotsTaken() >= server.config.slots) return false;
  if (server.backoff.count() > 0 && (now < server.retry_at || server.slots_used > 0)) return false;
  if (demand.is_alone && server.slots_used > 0) return false;
  if (server.IsService()) return true;
  const std::int64_t tokens = demand.Total().Value();
  if (server.tokens_used + tokens <= server.config.token_capacity) return true;
  return tokens > m_largest_capacity && server.slots_used == 0;
}

double BackendLoad::ExpectedSeconds(const Server& server, const Demand& demand) {
  if (server.IsService() || server.prefill_speed <= 0 || server.decode_speed <= 0) return 0;
  return static_cast<double>(demand.prompt.Value()) / server.prefill_speed +
         static_cast<double>(demand.output.Value()) / server.decode_speed;
}

bool BackendLoad::IsInTime(const Server& server, const Demand& demand) {
  return demand.limit == Millis::max() ||
         ExpectedSeconds(server, demand) * 1000 <= static_cast<double>(demand.limit.count());
}

bool BackendLoad::IsPreferred(const Server& server) const {
  double sum = 0;
  int active = 0;
  for (const auto& [id, other] : m_servers) {
    if (!other.IsActive()) continue;
    sum += other.Load();
    ++active;
  }
  return active > 0 && server.Load() <= kAffinityLoad * sum / active;
}

std::optional<BackendId> BackendLoad::Choose(const Demand& demand, const BackendId& kept_free,
                                             TimePoint now) const {
  const BackendId* known = m_prefixes.Find(demand.prefix);
  if (known != nullptr && *known != kept_free) {
    const auto place = m_servers.find(*known);
    if (place != m_servers.end() && HasRoom(place->second, demand, now) &&
        IsInTime(place->second, demand) && IsPreferred(place->second)) {
      return *known;
    }
  }
  const Server* best = nullptr;
  std::pair<double, double> best_time;
  for (const auto& [id, server] : m_servers) {
    if (id == kept_free || !HasRoom(server, demand, now) || !IsInTime(server, demand)) continue;
    const double load = server.Load();
    // A loaded server shares its speed among its runs.
    const std::pair<double, double> time{ExpectedSeconds(server, demand) * (1 + load), load};
    if (best != nullptr && time >= best_time) continue;
    best = &server;
    best_time = time;
  }
  if (best == nullptr) return std::nullopt;
  return best->config.id;
}

std::optional<BackendId> BackendLoad::LeastLoaded(const Demand& demand, TimePoint now) const {
  const Server* best = nullptr;
  for (const auto& [id, server] : m_servers) {
    if (!server.MayTakeWork() || server.IsAvoided(demand)) continue;
    if (server.backoff.count() > 0 && now < server.retry_at) continue;
    const std::int64_t tokens = demand.Total().Value();
    const bool is_too_small = !server.IsService() && tokens > server.config.token_capacity &&
                              tokens <= m_largest_capacity;
    if (is_too_small || !IsInTime(server, demand)) continue;
    if (best == nullptr || server.Load() < best->Load()) best = &server;
  }
  if (best == nullptr) return std::nullopt;
  return best->config.id;
}

std::optional<BackendId> BackendLoad::InTurn() {
  std::vector<const BackendId*> active;
  for (const auto& [id, server] : m_servers) {
    if (server.MayTakeWork()) active.push_back(&id);
  }
  if (active.empty()) return std::nullopt;
  return *active[m_turn++ % active.size()];
}

void BackendLoad::Hold(const BackendId& backend, bool is_held) {
  const auto place = m_servers.find(backend);
  if (place != m_servers.end()) place->second.is_held = is_held;
}

void BackendLoad::OnReport(const BackendId& backend, std::optional<std::int64_t> active) {
  const auto place = m_servers.find(backend);
  if (place == m_servers.end()) return;
  Server& server = place->second;
  // A report is late: it may show own runs that have ended since.
  const std::int64_t counted = *std::max_element(server.peaks.begin(), server.peaks.end());
  const std::int64_t surplus = std::max<std::int64_t>(active.value_or(0) - counted, 0);
  std::rotate(server.peaks.begin(), server.peaks.end() - 1, server.peaks.end());
  server.peaks.front() = server.slots_used;
  server.surplus = std::min(surplus, server.last_surplus);
  server.last_surplus = surplus;
}

void BackendLoad::Begin(const BackendId& backend, Tokens tokens, bool is_alone) {
  Server& server = m_servers[backend];
  if (server.config.id.IsEmpty()) server.config.id = backend;
  ++server.slots_used;
  server.peaks.front() = std::max(server.peaks.front(), server.slots_used);
  server.tokens_used += tokens.Value();
  if (is_alone) ++server.runs_alone;
}

void BackendLoad::End(const BackendId& backend, Tokens tokens, bool is_alone) {
  const auto place = m_servers.find(backend);
  if (place == m_servers.end()) return;
  Server& server = place->second;
  --server.slots_used;
  server.tokens_used -= tokens.Value();
  if (is_alone) --server.runs_alone;
  if (!server.is_configured && server.slots_used <= 0) m_servers.erase(place);
}

void BackendLoad::Learn(const ReleaseMessage& release, TimePoint now) {
  const auto place = m_servers.find(release.backend);
  if (place == m_servers.end()) return;
  Server& server = place->second;
  server.backoff = Millis{0};
  if (server.IsService()) return;
  const Tokens uncached = release.prompt_tokens - release.cached_tokens;
  LearnSpeed(server.prefill_speed, uncached.Value(), release.time_to_first_token);
  LearnSpeed(server.decode_speed, release.output_tokens.Value(),
             release.total - release.time_to_first_token);
  server.learned_at = now;
}

void BackendLoad::OnLost(const BackendId& backend, TimePoint now) {
  const auto place = m_servers.find(backend);
  if (place == m_servers.end()) return;
  Server& server = place->second;
  // All runs of a server that dies are reported; only the first report of a death counts.
  if (server.backoff.count() > 0 && now < server.retry_at) return;
  server.backoff =
      server.backoff.count() == 0 ? kFirstBackoff : std::min(server.backoff * 2, kLongestBackoff);
  server.retry_at = now + server.backoff;
}

void BackendLoad::Drift(TimePoint now) {
  for (auto& [id, server] : m_servers) {
    if (!server.is_configured || now - server.learned_at < kDriftAfter) continue;
    const BackendConfig& config = server.config;
    server.prefill_speed += kDriftRate * (config.prefill_tokens_per_second - server.prefill_speed);
    server.decode_speed += kDriftRate * (config.tokens_per_second - server.decode_speed);
  }
}

bool BackendLoad::HasActive(const DataCentre& data_centre) const {
  return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& row) {
    return row.second.IsActive() && row.second.config.data_centre == data_centre;
  });
}

bool BackendLoad::CanAvoid(const Demand& demand) const {
  const std::int64_t tokens = demand.Total().Value();
  return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& row) {
    const Server& server = row.second;
    if (!server.IsActive() || server.IsAvoided(demand)) return false;
    // What is too large for all servers may run alone on any.
    return server.IsService() || tokens <= server.config.token_capacity ||
           tokens > m_largest_capacity;
  });
}

std::optional<Millis> BackendLoad::FastestEmpty(const Demand& demand) const {
  std::optional<double> fastest;
  for (const auto& [id, server] : m_servers) {
    if (!server.IsActive() || server.IsAvoided(demand)) continue;
    const double time = ExpectedSeconds(server, demand);
    if (!fastest.has_value() || time < *fastest) fastest = time;
  }
  if (!fastest.has_value()) return std::nullopt;
  return Millis{static_cast<std::int64_t>(*fastest * 1000)};
}

bool BackendLoad::HasFreeSlot() const {
  return std::any_of(m_servers.begin(), m_servers.end(), [](const auto& row) {
    return row.second.MayTakeWork() && row.second.SlotsTaken() < row.second.config.slots;
  });
}

std::vector<BackendRow> BackendLoad::Rows() const {
  std::vector<BackendRow> rows;
  for (const auto& [id, server] : m_servers) {
    rows.push_back({.id = id,
                    .is_active = server.IsActive(),
                    .slots = server.config.slots,
                    .slots_used = server.slots_used,
                    .surplus = server.surplus,
                    .token_capacity = server.config.token_capacity,
                    .tokens_used = server.tokens_used,
                    .prefill_tokens_per_second = server.prefill_speed,
                    .decode_tokens_per_second = server.decode_speed,
                    .is_held = server.is_held,
                    .is_backing_off = server.backoff.count() > 0});
  }
  return rows;
}

}  // namespace bluebellpass
