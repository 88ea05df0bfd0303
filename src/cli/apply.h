#pragma once

#include "bluebellpass/config.h"
#include "cli/command.h"

namespace bluebellpass {

/// Applies a command that changes the configuration.
/// @return the changed configuration; kBadCommand if the command names an object that does not
/// exist (its name is in Error::field) or if it changes no configuration (see IsConfigChange);
/// kInvalidConfig if the result is invalid
Result<ClusterConfig> ApplyCommand(const ClusterConfig& config, const Command& command);

}  // namespace bluebellpass
