#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "config/settings.h"

namespace bluebellpass {

class EventLoop;

/// Exit codes of the operators' client.
enum class ClientExit { kDone = 0, kFailed = 1, kUsage = 2, kPartial = 3 };

/// Sends one command of the operators' language to an instance and prints the reply. The command is
/// checked before it is sent. Entries are tried in turn as long as nothing has been sent; a command
/// is never sent twice.
/// @param loop is run until the reply is there
/// @param args words after the program's name: the command's words, --entry ip:port (repeatable,
/// or BLUEBELLPASS_ENTRY, separated by commas) and --json
/// @param out gets the table or the JSON reply
/// @param err gets messages for people
ClientExit RunClient(EventLoop& loop, const std::vector<std::string>& args,
                     const Environment& environment, std::ostream& out, std::ostream& err);

/// @return the text of a command whose words the shell has split. Words with white space are quoted
/// again, as values: organisation=a b becomes organisation="a b".
std::string JoinWords(const std::vector<std::string>& words);

}  // namespace bluebellpass
