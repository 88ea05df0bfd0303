#include "cli/client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>

#include "cli/command.h"
#include "cli/table.h"
#include "config/address.h"
#include "kernel/http-client.h"
#include "kernel/loop.h"

namespace bluebellpass {
namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kEntryVariable = "BLUEBELLPASS_ENTRY";
constexpr Millis kConnectTimeout{2'000};
// A change is confirmed within 13 s: 10 s to write it, and 3 s until the members have reported it.
// Listings of a large fleet have some ten thousand rows.
constexpr std::size_t kMaxReplyBytes = 64U << 20U;
constexpr Millis kReplyTimeout{30'000};
constexpr Millis kMaxLoopWait{100};  ///< longest wait for events in one loop iteration

struct ClientOptions {
  std::vector<std::string> entries;
  std::vector<std::string> words;
  bool is_json = false;
};

std::string FormatJson(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Prints replies and errors as text or as JSON, and selects the exit code.
class ReplyPrinter {
 public:
  ReplyPrinter(bool is_json, std::ostream& out, std::ostream& err)
      : m_is_json(is_json), m_out(out), m_err(err) {}

  ClientExit PrintError(const Error& error, ClientExit exit) {
    if (m_is_json) {
      m_out << FormatJson(MakeErrorObject(error)) << "\n";
    } else {
      m_err << error.message << "\n";
    }
    return exit;
  }

  ClientExit PrintReply(const HttpResponse& reply) {
    const Json json = Json::parse(reply.body, nullptr, false);
    if (!json.is_object()) return PrintMalformedReply(reply);
    const bool is_valid = json.contains("error") || json.contains("accepted") ||
                          (json.contains("rows") && json["rows"].is_array());
    if (!is_valid) return PrintMalformedReply(reply);
    if (m_is_json) m_out << FormatJson(json) << "\n";
    if (json.contains("error")) return PrintRefusal(json["error"]);
    if (json.contains("accepted")) return PrintAccepted(json["accepted"]);
    return PrintRows(json);
  }

 private:
  ClientExit PrintMalformedReply(const HttpResponse& reply) {
    return PrintError(
        {ErrorKind::kInternal, "the instance's reply is not understood (HTTP status " +
                                   std::to_string(reply.status) + ")"},
        ClientExit::kFailed);
  }
  ClientExit PrintRefusal(const Json& error) {
    if (m_is_json) return ClientExit::kFailed;
    const auto text = [&](const char* key) {
      const auto found = error.is_object() ? error.find(key) : error.end();
      return error.is_object() && found != error.end() && found->is_string()
                 ? found->get<std::string>()
                 : std::string("unknown");
    };
    m_err << text("kind") << ": " << text("message") << " (outcome: " << text("outcome") << ")\n";
    return ClientExit::kFailed;
  }
  ClientExit PrintAccepted(const Json& version) {
    const std::string suffix = version.is_number() ? ": version " + FormatJson(version) : "";
    if (!m_is_json) m_out << "accepted" << suffix << "\n";
    return ClientExit::kSuccess;
  }
  ClientExit PrintRows(const Json& json) {
    if (!m_is_json) m_out << FormatTable(json["rows"]);
    const auto missing = json.find("missing");
    if (missing == json.end() || !missing->is_array() || missing->empty())
      return ClientExit::kSuccess;
    m_err << "no reply from:";
    for (const Json& instance : *missing)
      m_err << " " << (instance.is_string() ? instance.get<std::string>() : FormatJson(instance));
    m_err << "\n";
    return ClientExit::kPartialReply;
  }

  bool m_is_json;
  std::ostream& m_out;
  std::ostream& m_err;
};

Result<std::vector<Address>> ParseEntries(std::vector<std::string> texts,
                                          const Environment& environment) {
  const auto variable = environment.find(kEntryVariable);
  if (texts.empty() && variable != environment.end()) texts = SplitAtCommas(variable->second);
  std::vector<Address> entries;
  for (const std::string& text : texts) {
    const Result<Address> address = ParseAddress(text);
    if (!IsOk(address) || std::get<0>(address).port == 0) {
      return Error{ErrorKind::kBadRequest,
                   "the entry \"" + text + "\" must be an IPv4 address and a port", "--entry"};
    }
    entries.push_back(std::get<0>(address));
  }
  if (!entries.empty()) return entries;
  return Error{ErrorKind::kBadRequest,
               "no instance is given: use --entry ip:port or set BLUEBELLPASS_ENTRY", "--entry"};
}

/// Sends the command to the first instance that accepts a connection.
Result<HttpResponse> SendCommand(EventLoop& loop, const std::vector<Address>& entries,
                                 const std::string& text) {
  HttpClient client(loop);
  Result<HttpResponse> last_result = Error{ErrorKind::kStoreUnavailable, "no instance was tried"};
  for (const Address& entry : entries) {
    std::optional<Result<HttpResponse>> reply;
    client.Fetch({.address = entry,
                  .method = "POST",
                  .path = "/v1/command",
                  .headers = {{"content-type", "text/plain"}},
                  .body = text,
                  .connect_timeout = kConnectTimeout,
                  .idle_timeout = kReplyTimeout,
                  .max_body_bytes = kMaxReplyBytes},
                 [&](Result<HttpResponse> result) { reply = std::move(result); });
    while (!reply) loop.RunOnce(kMaxLoopWait);
    last_result = *std::move(reply);
    // Only after a failure to connect it is certain that nothing was sent, so that the command may
    // be sent to the next instance.
    if (IsOk(last_result) || ErrorOf(last_result).kind != ErrorKind::kStoreUnavailable)
      return last_result;
  }
  return last_result;
}

/// @return the error to print for a transport error, which states whether the command may have
/// taken effect
Error MakeCommandError(const Error& error) {
  if (error.kind == ErrorKind::kStoreUnavailable) {
    return {ErrorKind::kStopping,
            "no instance can be reached; the command was not sent: " + error.message, "--entry"};
  }
  return {ErrorKind::kHomeUnreachable,
          "the reply was lost; the command may have taken effect: " + error.message, ""};
}

}  // namespace

std::string JoinWords(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    if (!text.empty()) text += ' ';
    // A value cannot contain a quote, so the parser rejects a word with quotes.
    const bool needs_quotes = word.find_first_of(" \t\n") != std::string::npos &&
                              word.find('"') == std::string::npos && words.size() > 1;
    const std::size_t equals = word.find('=');
    const std::size_t begin = equals == std::string::npos ? 0 : equals + 1;
    text += needs_quotes ? word.substr(0, begin) + "\"" + word.substr(begin) + "\"" : word;
  }
  return text;
}

ClientExit RunClient(EventLoop& loop, const std::vector<std::string>& args,
                     const Environment& environment, std::ostream& out, std::ostream& err) {
  CLI::App app("Sends one operators' command to an instance", "bluebellpass");
  ClientOptions options;
  app.add_option("--entry", options.entries, "address of an instance, ip:port; repeatable")
      ->allow_extra_args(false);
  app.add_flag("--json", options.is_json, "print the reply as JSON");
  app.add_option("command", options.words, "words of the command");
  if (const auto code = ParseArguments(app, args, out, err))
    return *code == 0 ? ClientExit::kSuccess : ClientExit::kUsageError;

  ReplyPrinter printer(options.is_json, out, err);
  const std::string text = JoinWords(options.words);
  std::size_t column = 0;
  const Result<Command> command = ParseCommand(text, &column);
  if (!IsOk(command)) {
    if (!options.is_json) err << CaretLines(text, column);
    return printer.PrintError(ErrorOf(command), ClientExit::kUsageError);
  }
  const auto entries = ParseEntries(options.entries, environment);
  if (!IsOk(entries)) return printer.PrintError(ErrorOf(entries), ClientExit::kUsageError);
  const Result<HttpResponse> reply = SendCommand(loop, std::get<0>(entries), text);
  if (!IsOk(reply))
    return printer.PrintError(MakeCommandError(ErrorOf(reply)), ClientExit::kFailed);
  return printer.PrintReply(std::get<0>(reply));
}

}  // namespace bluebellpass
