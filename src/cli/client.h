#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/settings.h"

namespace bluebellpass {

class EventLoop;

/// Exit codes of the operators' client. kPartialReply: some instances did not reply.
enum class ClientExit { kSuccess = 0, kFailed = 1, kUsageError = 2, kPartialReply = 3 };

/// Sends an operator's command to an instance and prints the reply. The command is parsed before it
/// is sent. If an instance cannot be connected, the next one is tried; a command is never sent
/// twice.
/// @param loop run until the reply arrives
/// @param args arguments without the program's name: the words of the command, --entry ip:port
/// (repeatable; default is the comma-separated list in BLUEBELLPASS_ENTRY) and --json
/// @param out receives the table or the JSON reply
/// @param err receives messages for the operator
ClientExit RunClient(EventLoop& loop, const std::vector<std::string>& args,
                     const Environment& environment, std::ostream& out, std::ostream& err);

/// Joins the words of a command that the shell has split. Values with white space are quoted again:
/// organisation=a b becomes organisation="a b". A single word is the complete command and is
/// not quoted.
std::string JoinWords(const std::vector<std::string>& words);

}  // namespace bluebellpass
