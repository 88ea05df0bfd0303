#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_set>

#include "bluebellpass/config.h"
#include "config/field-reader.h"

namespace bluebellpass {
namespace {

using Json = nlohmann::json;
using detail::FieldReader;
using detail::ValidationErrors;

constexpr double kMaxShare = 0.9;         // The rest is granted in the order of ranks.
constexpr double kShareTolerance = 1e-9;  // Sums of decimal fractions are inexact.
constexpr std::int64_t kMaxRank = 1000;
constexpr std::int64_t kMinWaitingBytes = 1024;
constexpr std::int64_t kMaxWaitingBytes = 16LL << 30U;
constexpr double kMaxWeight = 1e6;
constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxTokenCapacity = 1'000'000'000;
constexpr double kMaxTokensPerSecond = 1e6;
constexpr double kMaxPrefillTokensPerSecond = 1e8;
constexpr double kMaxLoadsPerMinute = 6000;

constexpr std::array<std::string_view, 2> kBackendKinds = {"engine", "service"};
constexpr std::array<std::string_view, 2> kBackendStateNames = {"active", "leaving"};
constexpr std::array<std::string_view, 2> kFencingNames = {"checks", "ignores"};

std::string ElementPath(const std::string& list, std::size_t index) {
  return list + "[" + std::to_string(index) + "]";
}

TierConfig ReadTier(FieldReader& reader) {
  TierConfig tier;
  tier.name = TierName(reader.Name("name"));
  tier.rank =
      TierRank(static_cast<std::uint32_t>(reader.Integer("rank", std::nullopt, 0, kMaxRank)));
  tier.share = reader.Number("share", tier.share, 0, kMaxShare);
  tier.max_waiting_bytes = reader.Integer("max_waiting_bytes", tier.max_waiting_bytes,
                                          kMinWaitingBytes, kMaxWaitingBytes);
  return tier;
}

OrganisationConfig ReadOrganisation(FieldReader& reader) {
  OrganisationConfig organisation;
  organisation.id = OrganisationId(reader.Name("name"));
  organisation.weight = reader.Number("weight", organisation.weight, 0, kMaxWeight, true);
  organisation.max_waiting_bytes = reader.Integer(
      "max_waiting_bytes", organisation.max_waiting_bytes, kMinWaitingBytes, kMaxWaitingBytes);
  return organisation;
}

BackendConfig ReadBackend(FieldReader& reader) {
  BackendConfig backend;
  backend.id = BackendId(reader.Name("name"));
  backend.kind = kBackendKinds.at(reader.Choice("kind", std::nullopt, kBackendKinds));
  backend.address = reader.Endpoint("address");
  backend.pool = PoolName(reader.Name("pool"));
  backend.data_centre = DataCentre(reader.Name("data_centre"));
  backend.region = Region(reader.Name("region"));
  backend.state = static_cast<BackendState>(reader.Choice("state", 0, kBackendStateNames));
  backend.fencing = static_cast<FencingSupport>(reader.Choice("fencing", 0, kFencingNames));
  backend.slots = reader.Integer("slots", backend.slots, 1, kMaxSlots);
  backend.token_capacity =
      reader.Integer("token_capacity", backend.token_capacity, 1, kMaxTokenCapacity);
  backend.tokens_per_second =
      reader.Number("tokens_per_second", backend.tokens_per_second, 0, kMaxTokensPerSecond, true);
  backend.prefill_tokens_per_second =
      reader.Number("prefill_tokens_per_second", backend.prefill_tokens_per_second, 0,
                    kMaxPrefillTokensPerSecond, true);
  return backend;
}

ShiftRule ReadShift(FieldReader& reader) {
  ShiftRule shift;
  shift.pool = PoolName(reader.Name("pool"));
  shift.from = DataCentre(reader.Name("from"));
  shift.to = DataCentre(reader.Name("to"));
  shift.percent = static_cast<std::uint32_t>(reader.Integer("percent", std::nullopt, 0, 100));
  return shift;
}

template <class Item>
std::vector<Item> ReadList(ValidationErrors& errors, FieldReader& root, const std::string& key,
                           Item (*read)(FieldReader&)) {
  std::vector<Item> items;
  const Json* list = root.List(key);
  if (list == nullptr) return items;
  for (std::size_t i = 0; i < list->size(); ++i) {
    FieldReader reader(errors, (*list)[i], ElementPath(key, i));
    items.push_back(read(reader));
    reader.RejectUnknownFields();
  }
  return items;
}

/// Records an error for an item whose key occurs earlier in the list.
template <class Items, class KeyOf>
void RejectDuplicates(ValidationErrors& errors, const Items& items, const std::string& list,
                      const std::string& field, KeyOf key_of) {
  std::set<decltype(key_of(items.front()))> seen;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!seen.insert(key_of(items[i])).second)
      errors.Add(ElementPath(list, i) + "." + field, "duplicates an earlier item");
  }
}

void CheckTiers(ValidationErrors& errors, const ClusterConfig& config) {
  RejectDuplicates(errors, config.tiers, "tiers", "name",
                   [](const auto& tier) { return tier.name.Text(); });
  RejectDuplicates(errors, config.tiers, "tiers", "rank",
                   [](const auto& tier) { return tier.rank.Value(); });
  double sum = 0;
  for (std::size_t i = 0; i < config.tiers.size(); ++i) {
    sum += config.tiers[i].share;
    if (sum > kMaxShare + kShareTolerance)
      errors.Add(ElementPath("tiers", i) + ".share",
                 "the shares of all tiers add up to more than 0.9");
  }
}

void CheckShifts(ValidationErrors& errors, const ClusterConfig& config) {
  std::unordered_set<PoolName> pools;
  std::unordered_set<DataCentre> data_centres;
  for (const BackendConfig& backend : config.backends) {
    pools.insert(backend.pool);
    data_centres.insert(backend.data_centre);
  }
  RejectDuplicates(errors, config.shifts, "shifts", "to", [](const ShiftRule& shift) {
    return std::tuple(shift.pool.Text(), shift.from.Text(), shift.to.Text());
  });
  std::map<std::pair<std::string, std::string>, std::uint32_t> moved_percent;
  for (std::size_t i = 0; i < config.shifts.size(); ++i) {
    const ShiftRule& shift = config.shifts[i];
    const std::string path = ElementPath("shifts", i);
    if (!pools.contains(shift.pool))
      errors.Add(path + ".pool", "no backend server is in this pool");
    if (!data_centres.contains(shift.from))
      errors.Add(path + ".from", "no backend server is in this data centre");
    if (!data_centres.contains(shift.to))
      errors.Add(path + ".to", "no backend server is in this data centre");
    if (shift.from == shift.to) errors.Add(path + ".to", "must differ from the field 'from'");
    if ((moved_percent[{shift.pool.Text(), shift.from.Text()}] += shift.percent) > 100)
      errors.Add(path + ".percent", "the shifts move more than 100 percent of the pool's requests");
  }
}

/// Finds a key that occurs twice in an object. Json::parse would silently keep the last value. This
/// takes a separate pass because the parser callback of Json::parse takes quadratic time.
class DuplicateKeyFinder : public nlohmann::json_sax<Json> {
 public:
  const std::optional<std::string>& Duplicate() const { return m_duplicate; }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(std::int64_t) override { return true; }
  bool number_unsigned(std::uint64_t) override { return true; }
  bool number_float(double, const std::string&) override { return true; }
  bool string(std::string&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_array(std::size_t) override { return true; }
  bool end_array() override { return true; }
  bool start_object(std::size_t) override {
    m_object_keys.emplace_back();
    return true;
  }
  bool end_object() override {
    m_object_keys.pop_back();
    return true;
  }
  bool key(std::string& name) override {
    if (m_object_keys.back().insert(name).second) return true;
    m_duplicate = name;
    return false;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  std::vector<std::set<std::string>> m_object_keys;  ///< keys seen so far in each enclosing object
  std::optional<std::string> m_duplicate;
};

/// Parses JSON text and rejects objects with duplicate keys.
Json ParseStrict(std::string_view document, ValidationErrors& errors) {
  DuplicateKeyFinder finder;
  Json::sax_parse(document.begin(), document.end(), &finder);
  if (finder.Duplicate()) errors.Add(*finder.Duplicate(), "the object has this key twice");
  Json json = Json::parse(document.begin(), document.end(), nullptr, false);
  if (json.is_discarded()) errors.Add("", "the document is not valid JSON");
  return json;
}

/// Sets a field unless it has its default value, to keep large documents short.
template <class Value>
void SetUnlessDefault(Json& json, const char* key, const Value& value, const Value& fallback) {
  if (value != fallback) json[key] = value;
}

Json FormatTier(const TierConfig& tier) {
  const TierConfig defaults;
  Json json = {{"name", tier.name.Text()}, {"rank", tier.rank.Value()}};
  SetUnlessDefault(json, "share", tier.share, defaults.share);
  SetUnlessDefault(json, "max_waiting_bytes", tier.max_waiting_bytes, defaults.max_waiting_bytes);
  return json;
}

Json FormatOrganisation(const OrganisationConfig& organisation) {
  const OrganisationConfig defaults;
  Json json = {{"name", organisation.id.Text()}};
  SetUnlessDefault(json, "weight", organisation.weight, defaults.weight);
  SetUnlessDefault(json, "max_waiting_bytes", organisation.max_waiting_bytes,
                   defaults.max_waiting_bytes);
  return json;
}

Json FormatBackend(const BackendConfig& backend) {
  const BackendConfig defaults;
  Json json = {{"name", backend.id.Text()},
               {"kind", backend.kind},
               {"address", backend.address.Text()},
               {"pool", backend.pool.Text()},
               {"data_centre", backend.data_centre.Text()},
               {"region", backend.region.Text()},
               {"state", kBackendStateNames.at(static_cast<std::size_t>(backend.state))},
               {"fencing", kFencingNames.at(static_cast<std::size_t>(backend.fencing))}};
  SetUnlessDefault(json, "slots", backend.slots, defaults.slots);
  SetUnlessDefault(json, "token_capacity", backend.token_capacity, defaults.token_capacity);
  SetUnlessDefault(json, "tokens_per_second", backend.tokens_per_second,
                   defaults.tokens_per_second);
  SetUnlessDefault(json, "prefill_tokens_per_second", backend.prefill_tokens_per_second,
                   defaults.prefill_tokens_per_second);
  return json;
}

Json FormatShift(const ShiftRule& shift) {
  return {{"pool", shift.pool.Text()},
          {"from", shift.from.Text()},
          {"to", shift.to.Text()},
          {"percent", shift.percent}};
}

template <class Items>
Json FormatList(const Items& items, Json (*format)(const typename Items::value_type&)) {
  Json list = Json::array();
  for (const auto& item : items) list.push_back(format(item));
  return list;
}

}  // namespace

const TierConfig* ClusterConfig::FindTier(const TierName& name) const {
  const auto found = std::find_if(tiers.begin(), tiers.end(),
                                  [&](const TierConfig& tier) { return tier.name == name; });
  return found == tiers.end() ? nullptr : &*found;
}

const OrganisationConfig* ClusterConfig::FindOrganisation(const OrganisationId& id) const {
  if (organisations_by_id.size() == organisations.size()) {
    const auto position = std::lower_bound(
        organisations_by_id.begin(), organisations_by_id.end(), id,
        [this](std::uint32_t i, const OrganisationId& key) { return organisations[i].id < key; });
    if (position == organisations_by_id.end()) return nullptr;
    const OrganisationConfig& organisation = organisations[*position];
    return organisation.id == id ? &organisation : nullptr;
  }
  const auto found = std::find_if(organisations.begin(), organisations.end(),
                                  [&](const OrganisationConfig& item) { return item.id == id; });
  return found == organisations.end() ? nullptr : &*found;
}

const BackendConfig* ClusterConfig::FindBackend(const BackendId& id) const {
  const auto found = std::find_if(backends.begin(), backends.end(),
                                  [&](const BackendConfig& item) { return item.id == id; });
  return found == backends.end() ? nullptr : &*found;
}

bool ClusterConfig::HasPool(const PoolName& pool) const {
  return std::any_of(backends.begin(), backends.end(),
                     [&](const BackendConfig& backend) { return backend.pool == pool; });
}

namespace {

void IndexOrganisations(ClusterConfig& config) {
  config.organisations_by_id.resize(config.organisations.size());
  std::iota(config.organisations_by_id.begin(), config.organisations_by_id.end(), 0U);
  std::sort(config.organisations_by_id.begin(), config.organisations_by_id.end(),
            [&](std::uint32_t a, std::uint32_t b) {
              return config.organisations[a].id < config.organisations[b].id;
            });
}

}  // namespace

Result<ClusterConfig> ParseClusterConfig(std::string_view document) {
  ValidationErrors errors;
  const Json json = ParseStrict(document, errors);
  if (errors.First()) return *errors.First();
  ClusterConfig config;
  FieldReader root(errors, json, "");
  config.tiers = ReadList(errors, root, "tiers", ReadTier);
  config.organisations = ReadList(errors, root, "organisations", ReadOrganisation);
  config.backends = ReadList(errors, root, "backend_servers", ReadBackend);
  config.shifts = ReadList(errors, root, "shifts", ReadShift);
  config.weight_store_loads_per_minute = root.Number(
      "weight_store_loads_per_minute", config.weight_store_loads_per_minute, 0, kMaxLoadsPerMinute);
  if (root.Has("change")) root.Name("change");
  root.RejectUnknownFields();
  if (errors.First()) return *errors.First();

  CheckTiers(errors, config);
  RejectDuplicates(errors, config.organisations, "organisations", "name",
                   [](const auto& item) { return item.id.Text(); });
  RejectDuplicates(errors, config.backends, "backend_servers", "name",
                   [](const auto& item) { return item.id.Text(); });
  CheckShifts(errors, config);
  if (errors.First()) return *errors.First();
  IndexOrganisations(config);
  return config;
}

std::string FormatClusterConfig(const ClusterConfig& config) {
  const ClusterConfig defaults;
  Json json = {{"tiers", FormatList(config.tiers, FormatTier)},
               {"organisations", FormatList(config.organisations, FormatOrganisation)},
               {"backend_servers", FormatList(config.backends, FormatBackend)}};
  if (!config.shifts.empty()) json["shifts"] = FormatList(config.shifts, FormatShift);
  SetUnlessDefault(json, "weight_store_loads_per_minute", config.weight_store_loads_per_minute,
                   defaults.weight_store_loads_per_minute);
  // Replaces invalid UTF-8 instead of throwing; ParseClusterConfig rejects names that contain it.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace bluebellpass
