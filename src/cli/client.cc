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
// A change is confirmed within 13 s: 10 s for its write and 3 s for the members to report it.
constexpr Millis kReplyTimeout{30'000};
constexpr Millis kTurn{100};

struct ClientOptions {
  std::vector<std::string> entries;
  std::vector<std::string> words;
  bool is_json = false;
};

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Prints replies and errors in the form that the operator has asked for.
class Printer {
 public:
  Printer(bool is_json, std::ostream& out, std::ostream& err)
      : m_is_json(is_json), m_out(out), m_err(err) {}

  ClientExit Fail(const Error& error, ClientExit exit) {
    const ErrorInfo& answer = GetErrorInfo(error.kind);
    const Json json = {{"error",
                        {{"kind", answer.name},
                         {"message", error.message},
                         {"field", error.field},
                         {"outcome", OutcomeName(answer.outcome)}}}};
    if (m_is_json) {
      m_out << Dump(json) << "\n";
    } else {
      m_err << error.message << "\n";
    }
    return exit;
  }

  ClientExit Reply(const HttpResponse& reply) {
    const Json json = Json::parse(reply.body, nullptr, false);
    if (!json.is_object()) return Malformed(reply);
    const bool is_known = json.contains("error") || json.contains("accepted") ||
                          (json.contains("rows") && json["rows"].is_array());
    if (!is_known) return Malformed(reply);
    if (m_is_json) m_out << Dump(json) << "\n";
    if (json.contains("error")) return Refused(json["error"]);
    if (json.contains("accepted")) return Accepted(json["accepted"]);
    return Rows(json);
  }

 private:
  ClientExit Malformed(const HttpResponse& reply) {
    return Fail({ErrorKind::kInternal, "the instance's reply is not understood (HTTP status " +
                                           std::to_string(reply.status) + ")"},
                ClientExit::kFailed);
  }
  ClientExit Refused(const Json& error) {
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
  ClientExit Accepted(const Json& version) {
    const std::string suffix = version.is_number() ? ": version " + Dump(version) : "";
    if (!m_is_json) m_out << "accepted" << suffix << "\n";
    return ClientExit::kDone;
  }
  ClientExit Rows(const Json& json) {
    if (!m_is_json) m_out << FormatTable(json["rows"]);
    const auto missing = json.find("missing");
    if (missing == json.end() || !missing->is_array() || missing->empty()) return ClientExit::kDone;
    m_err << "no reply from:";
    for (const Json& instance : *missing)
      m_err << " " << (instance.is_string() ? instance.get<std::string>() : Dump(instance));
    m_err << "\n";
    return ClientExit::kPartial;
  }

  bool m_is_json;
  std::ostream& m_out;
  std::ostream& m_err;
};

Result<std::vector<Address>> ReadEntries(std::vector<std::string> texts,
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

/// Sends the command to the first entry that can be reached.
Result<HttpResponse> Send(EventLoop& loop, const std::vector<Address>& entries,
                          const std::string& text) {
  HttpClient client(loop);
  Result<HttpResponse> last = Error{ErrorKind::kStoreUnavailable, "no instance was tried"};
  for (const Address& entry : entries) {
    std::optional<Result<HttpResponse>> reply;
    client.Fetch({.address = entry,
                  .method = "POST",
                  .path = "/v1/command",
                  .headers = {{"content-type", "text/plain"}},
                  .body = text,
                  .connect_timeout = kConnectTimeout,
                  .idle_timeout = kReplyTimeout},
                 [&](Result<HttpResponse> result) { reply = std::move(result); });
    while (!reply) loop.RunOnce(kTurn);
    last = *std::move(reply);
    // Only a failure to connect proves that nothing was sent.
    if (IsOk(last) || ErrorOf(last).kind != ErrorKind::kStoreUnavailable) return last;
  }
  return last;
}

/// States what a transport error means for the command.
Error Explain(const Error& error) {
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
    // A quote cannot be part of a value, so such a word is left for the parser to refuse.
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
    return *code == 0 ? ClientExit::kDone : ClientExit::kUsage;

  Printer printer(options.is_json, out, err);
  const std::string text = JoinWords(options.words);
  std::size_t column = 0;
  const Result<Command> command = ParseCommand(text, &column);
  if (!IsOk(command)) {
    if (!options.is_json) err << CaretLines(text, column);
    return printer.Fail(ErrorOf(command), ClientExit::kUsage);
  }
  const auto entries = ReadEntries(options.entries, environment);
  if (!IsOk(entries)) return printer.Fail(ErrorOf(entries), ClientExit::kUsage);
  const Result<HttpResponse> reply = Send(loop, std::get<0>(entries), text);
  if (!IsOk(reply)) return printer.Fail(Explain(ErrorOf(reply)), ClientExit::kFailed);
  return printer.Reply(std::get<0>(reply));
}

}  // namespace bluebellpass
