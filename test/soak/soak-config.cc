#include "soak-config.h"

#include "platform/names.h"

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr int kVersionsWithRoute = 3;
// Until a gateway that was started has read its first configuration.
constexpr Millis kGatewayStartTime{1'000};

json RouteOf(const std::string& prefix, const char* type, const char* service, int attempts,
             bool is_resumable) {
  return {{"name", prefix},        {"host", "soak.test"}, {"type", type},
          {"path_prefix", prefix}, {"service", service},  {"attempts", attempts},
          {"priority", 0},         {"timeout_ms", 4'000}, {"goal_ms", 300},
          {"public", false},       {"gap_aim_ms", 250},   {"resumable", is_resumable}};
}

}  // namespace

Millis Disturbances::TimeBetween(TimePoint from, TimePoint to) const {
  auto periods = m_periods;
  std::sort(periods.begin(), periods.end());
  auto sum = TimePoint::duration{0};
  for (const auto& [begin, end] : periods) {
    const TimePoint first = std::max(begin, from);
    const TimePoint last = std::min(end, to);
    if (first >= last) continue;
    sum += last - first;
    from = last;
  }
  return std::chrono::ceil<Millis>(sum);
}

void SoakConfig::Change(TimePoint now) {
  m_routes.emplace(PathOf(++m_version), Route{now, {}});
  if (const auto found = m_routes.find(PathOf(m_version - kVersionsWithRoute));
      found != m_routes.end())
    found->second.removed = now;
  json routes = json::array({RouteOf("/stream/", "stream", "chat", 3, true),
                             RouteOf("/dossier/", "stream", "chat", 1, false),
                             RouteOf("/book/", "mutating", "desk", 1, false),
                             RouteOf("/look/", "idempotent", "desk", 3, false)});
  for (int version = std::max(1, m_version - kVersionsWithRoute + 1); version <= m_version;
       ++version)
    routes.push_back(RouteOf("/v" + std::to_string(version) + "/", "idempotent", "desk", 3, false));
  json keys = {kPermanentKey};
  if (!m_revoked_at) keys.push_back(kRevokedKey);
  const json engine = {{"slots", kEngineSlots}, {"kv_capacity", 1'000'000}, {"stride", 5}};
  m_document = {
      {"version", m_version},
      {"routes", routes},
      {"services", json::array({{{"name", "chat"}, {"engine", engine}}, {{"name", "desk"}}})},
      {"tenants", json::array({{{"name", "organisation"}, {"api_keys", keys}}})}};
  Rewrite();
}

void SoakConfig::Rewrite() { m_store.Put(names::kConfigKind, names::kConfigName, m_document); }

TimePoint SoakConfig::ConfirmedAt(TimePoint changed, TimePoint gateway_started) const {
  TimePoint confirmed = changed;
  for (const RestoreTimes& restore : m_restores) {
    const bool is_lost = restore.copied < confirmed && confirmed <= restore.restored;
    if (is_lost && gateway_started + kGatewayStartTime > restore.restored)
      confirmed = restore.rewritten;
  }
  return confirmed;
}

std::optional<TimePoint> SoakConfig::AddedAt(const std::string& path,
                                             TimePoint gateway_started) const {
  const auto found = m_routes.find(path);
  if (found == m_routes.end() || found->second.removed) return {};
  return ConfirmedAt(found->second.added, gateway_started);
}

std::optional<TimePoint> SoakConfig::RemovedAt(const std::string& path,
                                               TimePoint gateway_started) const {
  const auto found = m_routes.find(path);
  if (found == m_routes.end() || !found->second.removed) return {};
  return ConfirmedAt(*found->second.removed, gateway_started);
}

}  // namespace bluebellpass::test
