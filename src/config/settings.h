#pragma once

#include <CLI/CLI.hpp>
#include <cstddef>
#include <iosfwd>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/event.h"
#include "bluebellpass/types.h"

/// Settings of the process, documented in docs/settings.md.

namespace bluebellpass {

/// Policy by which owners grant backend servers. kRoundRobin and kStatic are benchmark baselines.
enum class PolicyKind { kFair, kRoundRobin, kStatic };

/// Settings of one entry daemon.
struct Settings {
  InstanceId instance;
  DataCentre data_centre;
  Region region;
  Address listen;     ///< for callers' HTTP; port 0 selects a free port
  Address advertise;  ///< announced to callers; equals `listen` unless set
  Address peer_listen;
  Address peer_advertise;
  std::vector<Address> seeds;  ///< peer addresses of other instances
  Address object_api;
  std::vector<std::string> peer_keys;  ///< secret; the first signs, all are accepted
  PolicyKind policy = PolicyKind::kFair;
  Severity log_level = Severity::kInfo;
  std::size_t max_body_bytes = 1U << 20U;
  Millis stop_timeout{30'000};
  std::size_t max_answer_memory_bytes = 256U << 20U;
  std::size_t max_request_memory_bytes = 32U << 20U;
  bool is_check = false;  ///< validate, print and exit
};

/// Description of a setting for the help text and the documentation.
struct SettingInfo {
  std::string_view flag;           ///< including the leading dashes
  std::string_view default_value;  ///< "required" if there is none
  std::string_view allowed;
  std::string_view meaning;
  bool is_repeatable = false;
  bool is_secret = false;
};

/// @return the table of all settings
std::span<const SettingInfo> SettingsTable();

/// @return the environment variable of a flag, as in BLUEBELLPASS_PEER_KEY for --peer-key
std::string EnvironmentName(std::string_view flag);

/// Values of environment variables by name.
using Environment = std::map<std::string, std::string>;

/// @return the variables of this process that begin with BLUEBELLPASS_
Environment ProcessEnvironment();

/// Adds the settings to a command as flags and reads their values after parsing.
class SettingsParser {
 public:
  /// @param app the `serve` command; must outlive the parser
  explicit SettingsParser(CLI::App& app);
  SettingsParser(const SettingsParser&) = delete;
  SettingsParser& operator=(const SettingsParser&) = delete;

  /// Combines flags, environment and defaults; a flag takes precedence over its variable.
  /// @return the settings, or kBadRequest with the flag or variable in Error::field. The message
  /// contains the value, unless it is secret, and the allowed values.
  Result<Settings> Read(const Environment& environment) const;

 private:
  std::map<std::string, std::vector<std::string>> m_flags;
  bool m_is_check = false;
};

/// @return one line "flag value" per setting, with secrets hidden
std::string DescribeSettings(const Settings& settings);

/// Parses a command line without exceptions.
/// @param args arguments after the program name
/// @return the exit code if the program must exit now: 0 after help, 2 for a usage error
std::optional<int> ParseArguments(CLI::App& app, std::vector<std::string> args, std::ostream& out,
                                  std::ostream& err);

}  // namespace bluebellpass
