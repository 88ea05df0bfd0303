#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

/// The operators' language of section 6.1 of the design.

namespace bluebellpass {

/// What `show` lists.
enum class ShowTopic { kWaiting, kRunning, kRefused, kBackends, kInstances, kConfig, kQuarantine };

/// One FIELD=VALUE of a `where` clause; all must hold.
struct Condition {
  std::string field;
  std::string value;

  bool operator==(const Condition&) const = default;
};

struct ShowCommand {
  ShowTopic topic = ShowTopic::kWaiting;
  std::vector<Condition> where;
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

/// Longest text of a command, in bytes.
inline constexpr std::size_t kMaxCommandBytes = 4096;

/// Parses a command. Keywords are in lower case, white space between words does not matter.
/// @param column if not null, gets the column of the offending word on failure, from 1
/// @return the command, or kBadCommand with the offending word in Error::field (empty when the text
/// ends too early) and the column in the message
Result<Command> ParseCommand(std::string_view text, std::size_t* column = nullptr);

/// @return the command's text and a line with a caret under the column, for people
std::string CaretLines(std::string_view text, std::size_t column);

/// @return true when the command changes the configuration; ApplyCommand takes exactly these
bool IsConfigChange(const Command& command);

/// @return "waiting", "running" and so on
std::string_view ShowTopicName(ShowTopic topic);

/// @return the fingerprint as 16 hexadecimal digits, as `release` reads it
std::string FormatFingerprint(Fingerprint fingerprint);

}  // namespace bluebellpass
