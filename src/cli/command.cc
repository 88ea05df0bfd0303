#include "cli/command.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "cli/grammar.h"

namespace bluebellpass {
namespace {

constexpr std::array<std::string_view, 8> kTopics = {
    "waiting", "running", "refused", "backends", "instances", "config", "quarantine", "rollouts"};
constexpr std::size_t kMaxShownWordLength = 40;
constexpr int kHexBase = 16;
constexpr std::size_t kFingerprintDigits = 16;

bool IsSpace(char c) { return c == ' ' || (c >= '\t' && c <= '\r'); }

/// @return the word at a position, truncated and with unprintable characters replaced by '?'
std::string ReadPrintableWord(std::string_view text, std::size_t position) {
  std::string word;
  for (; position < text.size() && !IsSpace(text[position]); ++position) {
    if (word.size() == kMaxShownWordLength) return word + "...";
    word += text[position] > ' ' && text[position] < '\x7f' ? text[position] : '?';
  }
  return word;
}

Error MakeSyntaxError(std::string_view text, std::size_t position, const std::string& expected) {
  while (position < text.size() && IsSpace(text[position])) ++position;
  const std::string word = ReadPrintableWord(text, position);
  const std::string found = word.empty() ? "the end" : "'" + word + "'";
  return {ErrorKind::kBadCommand,
          "column " + std::to_string(position + 1) + ": expected " + expected + ", found " + found,
          word};
}

}  // namespace

Result<Command> ParseCommand(std::string_view text, std::size_t* column) {
  if (text.size() > kMaxCommandBytes) {
    if (column != nullptr) *column = kMaxCommandBytes + 1;
    return Error{ErrorKind::kBadCommand, "column 4097: a command has at most 4096 bytes", ""};
  }
  detail::SyntaxError error;
  if (auto command = detail::ParseGrammar(text, error)) return *std::move(command);
  std::size_t position = error.position;
  while (position < text.size() && IsSpace(text[position])) ++position;
  if (column != nullptr) *column = position + 1;
  return MakeSyntaxError(text, position, error.expected);
}

std::string CaretLines(std::string_view text, std::size_t column) {
  std::string line;
  for (const char c : text.substr(0, kMaxCommandBytes)) line += c >= ' ' && c < '\x7f' ? c : ' ';
  return line + "\n" + std::string(column > 0 ? column - 1 : 0, ' ') + "^\n";
}

bool IsConfigChange(const Command& command) {
  return !std::holds_alternative<ShowCommand>(command) &&
         !std::holds_alternative<ReleaseCommand>(command) &&
         !std::holds_alternative<LoadCommand>(command);
}

std::string_view ShowTopicName(ShowTopic topic) {
  return kTopics.at(static_cast<std::size_t>(topic));
}

bool MatchesAll(const nlohmann::ordered_json& row, const std::vector<Condition>& conditions) {
  return std::all_of(conditions.begin(), conditions.end(), [&](const Condition& condition) {
    const auto found = row.find(condition.field);
    if (found == row.end()) return false;
    return (found->is_string() ? found->get<std::string>() : found->dump()) == condition.value;
  });
}

nlohmann::ordered_json MakeErrorObject(const Error& error) {
  const ErrorInfo& info = GetErrorInfo(error.kind);
  return {{"error",
           {{"kind", info.name},
            {"message", error.message},
            {"field", error.field},
            {"outcome", OutcomeName(info.outcome)}}}};
}

std::string FormatFingerprint(Fingerprint fingerprint) {
  std::array<char, kFingerprintDigits> digits{};
  const auto [end, code] =
      std::to_chars(digits.data(), digits.data() + digits.size(), fingerprint.Value(), kHexBase);
  const std::string text(digits.data(), end);
  return std::string(kFingerprintDigits - text.size(), '0') + text;
}

}  // namespace bluebellpass
