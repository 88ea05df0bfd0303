#include "orders/order-document.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace bluebellpass {
namespace {

using Json = nlohmann::json;

// A document with a different number was written by a newer release.
constexpr int kFormatVersion = 1;
constexpr double kMinuteMillis = 60'000;
constexpr Millis kMinWait{1'000};
// A rate of 0 allows no load. Attempts go on, since the configuration may change.
constexpr Millis kZeroRateWait{10'000};

bool IsString(const Json& object, const char* name) {
  return object.contains(name) && object.at(name).is_string();
}

bool IsKnownFormat(const Json& document) {
  return document.is_object() && document.contains("format") &&
         document.at("format") == kFormatVersion;
}

std::string Dump(const Json& document) {
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::string OrderKey(const BackendId& backend) { return "orders/" + backend.Text(); }

std::string FormatDesired(const DesiredModel& desired) {
  return Dump({{"format", kFormatVersion},
               {"model", desired.model},
               {"version", desired.version},
               {"mark", desired.write_id}});
}

std::optional<DesiredModel> ParseDesired(std::string_view text) {
  const Json document = Json::parse(text, nullptr, false);
  const bool is_known = IsKnownFormat(document) && IsString(document, "model") &&
                        IsString(document, "version") && IsString(document, "mark");
  if (!is_known) return std::nullopt;
  return DesiredModel{.model = document.at("model").get<std::string>(),
                      .version = document.at("version").get<std::string>(),
                      .write_id = document.at("mark").get<std::string>()};
}

std::optional<LoadedModels> ParseLoaded(std::string_view text) {
  const Json document = Json::parse(text, nullptr, false);
  if (!document.is_object() || !document.contains("models")) return std::nullopt;
  const Json& models = document.at("models");
  if (!models.is_object()) return std::nullopt;
  LoadedModels loaded;
  for (const auto& [name, version] : models.items()) {
    if (!version.is_string()) return std::nullopt;
    loaded.models[name] = version.get<std::string>();
  }
  if (document.contains("fencing")) {
    if (!document.at("fencing").is_number_unsigned()) return std::nullopt;
    loaded.fencing_token = document.at("fencing").get<std::uint64_t>();
  }
  return loaded;
}

std::optional<LoadRecord> LoadRecord::Parse(std::string_view text) {
  const Json document = Json::parse(text, nullptr, false);
  if (!IsKnownFormat(document) || !document.contains("loads") || !document.at("loads").is_array()) {
    return std::nullopt;
  }
  LoadRecord record;
  for (const Json& row : document.at("loads")) {
    const bool is_known = row.is_object() && IsString(row, "id") && row.contains("at") &&
                          row.at("at").is_number_integer();
    if (!is_known) return std::nullopt;
    record.m_entries.push_back(
        {.id = row.at("id").get<std::string>(), .at = row.at("at").get<std::int64_t>()});
  }
  return record;
}

std::string LoadRecord::Format() const {
  Json rows = Json::array();
  for (const Entry& entry : m_entries) rows.push_back({{"id", entry.id}, {"at", entry.at}});
  return Dump({{"format", kFormatVersion}, {"loads", std::move(rows)}});
}

bool LoadRecord::HasLoad(const std::string& id) const {
  return std::any_of(m_entries.begin(), m_entries.end(),
                     [&](const Entry& entry) { return entry.id == id; });
}

std::optional<Millis> LoadRecord::TryAdd(const std::string& id, std::int64_t now,
                                         double per_minute) {
  if (per_minute <= 0) return kZeroRateWait;
  const auto limit = static_cast<std::size_t>(std::max(std::floor(per_minute), 1.0));
  const auto window = static_cast<std::int64_t>(kMinuteMillis / std::min(per_minute, 1.0));
  // An entry written with a clock that is ahead counts for at most one window from now.
  for (Entry& entry : m_entries) entry.at = std::min(entry.at, now);
  std::erase_if(m_entries, [&](const Entry& entry) { return now - entry.at >= window; });
  if (m_entries.size() < limit) {
    m_entries.push_back({.id = id, .at = now});
    return std::nullopt;
  }
  const auto oldest = std::min_element(m_entries.begin(), m_entries.end(),
                                       [](const Entry& a, const Entry& b) { return a.at < b.at; });
  return std::max(Millis{oldest->at + window - now}, kMinWait);
}

}  // namespace bluebellpass
