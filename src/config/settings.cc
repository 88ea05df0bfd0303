#include "config/settings.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <ostream>

#include "config/address.h"

namespace bluebellpass {
namespace {

constexpr std::string_view kPrefix = "BLUEBELLPASS_";
constexpr std::string_view kClientVariable = "BLUEBELLPASS_ENTRY";  // Read by the client.
// Set by the platform for the gateway; may also be set in the environment of other commands.
constexpr std::string_view kPlatformVariable = "BLUEBELLPASS_CONFIG";
constexpr std::size_t kMinKeyLength = 16;
constexpr std::int64_t kLowestBodyLimit = 1024;
// A request forwarded to its home instance must fit into a frame of 2 MiB.
constexpr std::int64_t kHighestBodyLimit = 2'000'000;
constexpr std::int64_t kDefaultBodyLimit = 1LL << 20U;

constexpr std::string_view kAllowedNames = "1 to 64 letters, digits, '-' or '_'";
constexpr std::string_view kAllowedListenAddresses =
    "an IPv4 address and a port, as in 10.0.0.1:8080";
constexpr std::string_view kAllowedEndpoints =
    "an IPv4 address other than 0.0.0.0 and a port above 0";

constexpr std::array kSettings = {
    SettingInfo{"--instance", "required", kAllowedNames, "name of this instance"},
    SettingInfo{"--data-centre", "required", kAllowedNames, "data centre of this instance"},
    SettingInfo{"--region", "required", kAllowedNames, "region of this instance"},
    SettingInfo{"--listen", "required", kAllowedListenAddresses,
                "address of the callers' HTTP interface"},
    SettingInfo{"--advertise", "--listen", kAllowedEndpoints, "address told to callers"},
    SettingInfo{"--peer-listen", "required", kAllowedListenAddresses,
                "address for other instances"},
    SettingInfo{"--peer-advertise", "--peer-listen", kAllowedEndpoints,
                "address told to other instances"},
    SettingInfo{"--seed", "none", kAllowedEndpoints, "peer address of another instance", true},
    SettingInfo{"--object-api", "required", kAllowedEndpoints, "address of the object API"},
    SettingInfo{"--peer-key", "required", "16 or more printable characters without a comma",
                "shared key of the instances; the first signs, all are accepted", true, true},
    SettingInfo{"--policy", "fair", "fair, round-robin or static", "how work is granted"},
    SettingInfo{"--log-level", "info", "debug, info, warning or error", "lowest severity logged"},
    SettingInfo{"--max-body-bytes", "1048576", "1024 to 2000000", "longest request body, in bytes"},
    SettingInfo{"--stop-timeout-s", "30", "1 to 600", "longest graceful shutdown, in seconds"},
    SettingInfo{"--max-answer-memory-mb", "256", "16 to 16384",
                "memory for answers kept for callers, in MiB"},
    SettingInfo{"--max-request-memory-mb", "32", "8 to 16384",
                "memory for requests that are not complete, in MiB"},
    SettingInfo{"--check", "false", "true or false", "validate, print the settings and exit"},
};

const SettingInfo& FindSetting(std::string_view flag) {
  return *std::find_if(kSettings.begin(), kSettings.end(),
                       [&](const SettingInfo& info) { return info.flag == flag; });
}

/// Reads and validates the values of all settings. For an invalid value it records an error and
/// returns a default.
class SettingValues {
 public:
  SettingValues(std::map<std::string, std::vector<std::string>> flags,
                const Environment& environment)
      : m_values(std::move(flags)) {
    for (const SettingInfo& info : kSettings) {
      auto& values = m_values[std::string(info.flag)];
      m_sources[std::string(info.flag)] = info.flag;
      const std::string variable = EnvironmentName(info.flag);
      const auto found = environment.find(variable);
      if (values.empty() && found != environment.end()) {
        values = info.is_repeatable ? SplitAtCommas(found->second)
                                    : std::vector<std::string>{found->second};
        m_sources[std::string(info.flag)] = variable;
      }
      if (values.size() > 1 && !info.is_repeatable)
        RejectValue(info.flag, values.back(), "given once");
    }
  }

  const std::optional<Error>& FirstError() const { return m_first_error; }

  const std::vector<std::string>& AllValues(std::string_view flag) {
    const auto& values = m_values[std::string(flag)];
    if (values.empty() && FindSetting(flag).default_value == "required") {
      SetError(flag, std::string(flag) + " (or " + EnvironmentName(flag) +
                         ") is required: " + std::string(FindSetting(flag).allowed));
    }
    return values;
  }

  /// @return the value of a setting that is not repeatable, or an empty string
  std::string LastValue(std::string_view flag) {
    const auto& values = AllValues(flag);
    return values.empty() ? std::string() : values.back();
  }
  bool Has(std::string_view flag) { return !AllValues(flag).empty(); }

  std::string Name(std::string_view flag) {
    std::string text = LastValue(flag);
    if (Has(flag) && !IsValidName(text)) RejectValue(flag, text, FindSetting(flag).allowed);
    return text;
  }

  Address ValidateAddress(std::string_view flag, const std::string& text, bool is_listen_address) {
    const Result<Address> parsed = ParseAddress(text);
    if (IsOk(parsed)) {
      const Address& address = std::get<0>(parsed);
      if (is_listen_address || (address.port != 0 && address.ip != "0.0.0.0")) return address;
    }
    RejectValue(flag, text, FindSetting(flag).allowed);
    return {};
  }
  Address ListenAddress(std::string_view flag) {
    return Has(flag) ? ValidateAddress(flag, LastValue(flag), true) : Address{};
  }
  Address Endpoint(std::string_view flag) {
    return Has(flag) ? ValidateAddress(flag, LastValue(flag), false) : Address{};
  }
  /// @return the address announced to others: the configured one, or else the listen address
  Address AdvertisedAddress(std::string_view flag, const Address& listen_address) {
    if (Has(flag)) return Endpoint(flag);
    if (listen_address.ip == "0.0.0.0")
      RejectValue(flag, "", "set when the listening address is 0.0.0.0, which callers cannot use");
    return listen_address;
  }

  std::int64_t Integer(std::string_view flag, std::int64_t fallback, std::int64_t low,
                       std::int64_t high) {
    if (!Has(flag)) return fallback;
    const std::string text = LastValue(flag);
    std::int64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number = code == std::errc{} && end == text.data() + text.size();
    if (is_number && value >= low && value <= high) return value;
    RejectValue(flag, text, FindSetting(flag).allowed);
    return fallback;
  }

  template <std::size_t kSize>
  std::size_t Choice(std::string_view flag, const std::array<std::string_view, kSize>& choices,
                     std::size_t fallback) {
    if (!Has(flag)) return fallback;
    const std::string text = LastValue(flag);
    const auto* found = std::find(choices.begin(), choices.end(), text);
    if (found != choices.end()) return static_cast<std::size_t>(found - choices.begin());
    RejectValue(flag, text, FindSetting(flag).allowed);
    return fallback;
  }

  std::vector<std::string> Keys(std::string_view flag) {
    std::vector<std::string> keys = AllValues(flag);
    const bool is_valid = std::all_of(keys.begin(), keys.end(), [](const std::string& key) {
      return key.size() >= kMinKeyLength && std::all_of(key.begin(), key.end(), [](char c) {
               return c > ' ' && c < '\x7f' && c != ',';
             });
    });
    if (!is_valid) RejectValue(flag, "", FindSetting(flag).allowed);
    return keys;
  }

  /// Records an error for an invalid value. The message hides secret values.
  void RejectValue(std::string_view flag, const std::string& value, std::string_view allowed) {
    const std::string displayed = FindSetting(flag).is_secret ? "(hidden)" : "\"" + value + "\"";
    SetError(flag, m_sources[std::string(flag)] + " is " + displayed + "; it must be " +
                       std::string(allowed));
  }

 private:
  void SetError(std::string_view flag, std::string message) {
    if (!m_first_error)
      m_first_error =
          Error{ErrorKind::kBadRequest, std::move(message), m_sources[std::string(flag)]};
  }

  std::map<std::string, std::vector<std::string>> m_values;
  std::map<std::string, std::string> m_sources;  ///< flag or variable that set the value, by flag
  std::optional<Error> m_first_error;
};

constexpr std::array<std::string_view, 3> kPolicies = {"fair", "round-robin", "static"};
constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info", "warning", "error"};
constexpr std::array<std::string_view, 2> kBooleans = {"false", "true"};

std::optional<Error> FindUnknownVariable(const Environment& environment) {
  for (const auto& variable : environment) {
    const std::string& name = variable.first;
    const auto has_name = [&](const SettingInfo& info) {
      return EnvironmentName(info.flag) == name;
    };
    if (!name.starts_with(kPrefix) || name == kClientVariable || name == kPlatformVariable ||
        std::any_of(kSettings.begin(), kSettings.end(), has_name))
      continue;
    std::string known(kClientVariable);
    for (const SettingInfo& info : kSettings) known += ", " + EnvironmentName(info.flag);
    // The message omits the value, which may be a secret under a misspelt name.
    return Error{ErrorKind::kBadRequest, name + " is not a known setting; allowed are " + known,
                 name};
  }
  return std::nullopt;
}

Settings Convert(SettingValues& values) {
  Settings settings;
  settings.instance = InstanceId(values.Name("--instance"));
  settings.data_centre = DataCentre(values.Name("--data-centre"));
  settings.region = Region(values.Name("--region"));
  settings.listen = values.ListenAddress("--listen");
  settings.advertise = values.AdvertisedAddress("--advertise", settings.listen);
  settings.peer_listen = values.ListenAddress("--peer-listen");
  settings.peer_advertise = values.AdvertisedAddress("--peer-advertise", settings.peer_listen);
  for (const std::string& seed : values.AllValues("--seed"))
    settings.seeds.push_back(values.ValidateAddress("--seed", seed, false));
  settings.object_api = values.Endpoint("--object-api");
  settings.peer_keys = values.Keys("--peer-key");
  settings.policy = static_cast<PolicyKind>(values.Choice("--policy", kPolicies, 0));
  settings.log_level = static_cast<Severity>(values.Choice("--log-level", kLogLevels, 1));
  settings.max_body_bytes = static_cast<std::size_t>(
      values.Integer("--max-body-bytes", kDefaultBodyLimit, kLowestBodyLimit, kHighestBodyLimit));
  settings.stop_timeout = std::chrono::seconds(values.Integer("--stop-timeout-s", 30, 1, 600));
  settings.max_answer_memory_bytes =
      static_cast<std::size_t>(values.Integer("--max-answer-memory-mb", 256, 16, 16384)) << 20U;
  settings.max_request_memory_bytes =
      static_cast<std::size_t>(values.Integer("--max-request-memory-mb", 32, 8, 16384)) << 20U;
  settings.is_check = values.Choice("--check", kBooleans, 0) == 1;
  return settings;
}

}  // namespace

std::span<const SettingInfo> SettingsTable() { return kSettings; }

std::string EnvironmentName(std::string_view flag) {
  std::string name(kPrefix);
  for (const char c : flag.substr(2))
    name += c == '-' ? '_' : static_cast<char>(c >= 'a' && c <= 'z' ? c - 'a' + 'A' : c);
  return name;
}

Environment ProcessEnvironment() {
  Environment variables;
  for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
    const std::string_view text(*entry);
    const std::size_t equals = text.find('=');
    if (text.starts_with(kPrefix) && equals != std::string_view::npos)
      variables[std::string(text.substr(0, equals))] = text.substr(equals + 1);
  }
  return variables;
}

SettingsParser::SettingsParser(CLI::App& app) {
  for (const SettingInfo& info : kSettings) {
    const std::string flag(info.flag);
    const std::string help = std::string(info.meaning) + " [" + EnvironmentName(flag) + "; " +
                             std::string(info.allowed) + "; default " +
                             std::string(info.default_value) + "]";
    if (flag == "--check") {
      app.add_flag(flag, m_is_check, help);
    } else {
      // One value per occurrence, so that the flag does not consume positional arguments after it.
      app.add_option(flag, m_flags[flag], help)->allow_extra_args(false);
    }
  }
}

Result<Settings> SettingsParser::Read(const Environment& environment) const {
  if (auto error = FindUnknownVariable(environment)) return *std::move(error);
  auto flags = m_flags;
  if (m_is_check) flags["--check"] = {"true"};
  SettingValues values(std::move(flags), environment);
  Settings settings = Convert(values);
  if (values.FirstError()) return *values.FirstError();
  return settings;
}

std::string DescribeSettings(const Settings& settings) {
  std::string seeds;
  for (const Address& seed : settings.seeds) seeds += (seeds.empty() ? "" : ",") + seed.Text();
  const std::vector<std::pair<std::string_view, std::string>> rows = {
      {"--instance", settings.instance.Text()},
      {"--data-centre", settings.data_centre.Text()},
      {"--region", settings.region.Text()},
      {"--listen", settings.listen.Text()},
      {"--advertise", settings.advertise.Text()},
      {"--peer-listen", settings.peer_listen.Text()},
      {"--peer-advertise", settings.peer_advertise.Text()},
      {"--seed", seeds},
      {"--object-api", settings.object_api.Text()},
      {"--peer-key", "(hidden, " + std::to_string(settings.peer_keys.size()) + " set)"},
      {"--policy", std::string(kPolicies.at(static_cast<std::size_t>(settings.policy)))},
      {"--log-level", std::string(kLogLevels.at(static_cast<std::size_t>(settings.log_level)))},
      {"--max-body-bytes", std::to_string(settings.max_body_bytes)},
      {"--stop-timeout-s", std::to_string(settings.stop_timeout.count() / 1000)},
      {"--max-answer-memory-mb", std::to_string(settings.max_answer_memory_bytes >> 20U)},
      {"--max-request-memory-mb", std::to_string(settings.max_request_memory_bytes >> 20U)},
      {"--check", settings.is_check ? "true" : "false"},
  };
  std::string text;
  for (const auto& [flag, value] : rows) text += std::string(flag) + " " + value + "\n";
  return text;
}

std::optional<int> ParseArguments(CLI::App& app, std::vector<std::string> args, std::ostream& out,
                                  std::ostream& err) {
  std::reverse(args.begin(), args.end());  // CLI11 consumes the arguments from the back.
  try {
    app.parse(std::move(args));
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, out, err);
    return code == 0 ? 0 : 2;
  }
  return std::nullopt;
}

}  // namespace bluebellpass
