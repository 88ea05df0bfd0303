#pragma once

#include "bluebellpass/config.h"
#include "cli/command.h"

namespace bluebellpass {

/// Applies a command that changes the configuration.
/// @return the changed configuration; kBadCommand with the offending name in Error::field when the
/// command names what does not exist or changes nothing here (IsConfigChange); kInvalidConfig when
/// the result is not valid
Result<ClusterConfig> ApplyCommand(const ClusterConfig& config, const Command& command);

}  // namespace bluebellpass
