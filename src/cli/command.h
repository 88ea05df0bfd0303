#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

/// Operators' commands: data types, parser and formatting. Section 6.1 of the design defines the
/// syntax.

namespace bluebellpass {

/// The objects that `show` can list.
enum class ShowTopic {
  kWaiting,
  kRunning,
  kRefused,
  kBackends,
  kInstances,
  kConfig,
  kQuarantine,
  kRollouts,  ///< of the gateway only
};

/// A FIELD=VALUE of a `where` clause. A row is listed if it meets all conditions.
struct Condition {
  std::string field;
  std::string value;

  bool operator==(const Condition&) const = default;
};

struct ShowCommand {
  ShowTopic topic = ShowTopic::kWaiting;
  std::vector<Condition> conditions;
};
struct SetTierRankCommand {
  TierName tier;
  TierRank rank;
};
struct SetTierShareCommand {
  TierName tier;
  double share = 0;
};
struct SetOrganisationWeightCommand {
  OrganisationId organisation;
  double weight = 1;
};
struct DrainBackendCommand {
  BackendId backend;
};
struct ActivateBackendCommand {
  BackendId backend;
};
struct ShiftPoolCommand {
  PoolName pool;
  DataCentre from;
  DataCentre to;
  std::uint32_t percent = 0;  ///< 0 to 100; 0 removes the rule
};
struct ReleaseCommand {
  Fingerprint content;
};
struct LoadCommand {
  BackendId backend;
  std::string model;
  std::string version;  ///< empty when not given
};

using Command = std::variant<ShowCommand, SetTierRankCommand, SetTierShareCommand,
                             SetOrganisationWeightCommand, DrainBackendCommand,
                             ActivateBackendCommand, ShiftPoolCommand, ReleaseCommand, LoadCommand>;

/// Maximum length of a command.
inline constexpr std::size_t kMaxCommandBytes = 4096;

/// Parses a command. Keywords are in lower case and separated by any white space.
/// @param column if not null, set on failure to the column of the invalid word, counted from 1
/// @return the command, or kBadCommand with the invalid word in Error::field (empty if the text
/// ends too early) and its column in the message
Result<Command> ParseCommand(std::string_view text, std::size_t* column = nullptr);

/// @return the command's text, and below it a line with a caret under the column
std::string CaretLines(std::string_view text, std::size_t column);

/// @return true if the command changes the configuration, so that ApplyCommand() accepts it
bool IsConfigChange(const Command& command);

/// @return "waiting", "running" and so on
std::string_view ShowTopicName(ShowTopic topic);

/// @return true if the row meets all conditions
bool MatchesAll(const nlohmann::ordered_json& row, const std::vector<Condition>& conditions);

/// @return the reply to a command that failed: an object `error` with kind, message, field, outcome
nlohmann::ordered_json MakeErrorObject(const Error& error);

/// @return the fingerprint as 16 hexadecimal digits, the format that `release` accepts
std::string FormatFingerprint(Fingerprint fingerprint);

}  // namespace bluebellpass
