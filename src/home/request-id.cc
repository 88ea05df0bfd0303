#include "request-id.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <optional>

namespace bluebellpass {
namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxNonceLength = 40;

bool IsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_';
}

bool IsName(std::string_view text, std::size_t max_length) {
  return !text.empty() && text.size() <= max_length &&
         std::all_of(text.begin(), text.end(), IsNameChar);
}

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value, base);
  if (text.empty() || error != std::errc() || stop != end) return std::nullopt;
  return value;
}

/// Removes the part before the next dot, and the dot, from the text.
/// @return the part, or nullopt if there is no dot
std::optional<std::string_view> SplitAtDot(std::string_view& rest) {
  const std::size_t dot = rest.find('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const std::string_view part = rest.substr(0, dot);
  rest.remove_prefix(dot + 1);
  return part;
}

}  // namespace

std::string Ticket::Text() const {
  std::array<char, 20> hex{};
  std::snprintf(hex.data(), hex.size(), "%016llx",
                static_cast<unsigned long long>(incarnation.Value()));
  return instance.Text() + "." + hex.data() + "." + std::to_string(issued_s);
}

Result<ParsedRequestId> ParseRequestId(std::string_view text) {
  const Error error{ErrorKind::kBadRequestId,
                    "a request id must be a ticket from /v1/instances, a dot and 1 to 40 letters, "
                    "digits, '-' or '_'",
                    "bluebellpass-request-id"};
  std::string_view rest = text;
  const auto instance = SplitAtDot(rest);
  const auto incarnation = SplitAtDot(rest);
  const auto issued = SplitAtDot(rest);
  if (!instance || !incarnation || !issued) return error;
  const auto incarnation_number = ParseNumber(*incarnation, 16);
  const auto issued_number = ParseNumber(*issued, 10);
  if (!IsName(*instance, kMaxNameLength) || !IsName(rest, kMaxNonceLength)) return error;
  if (incarnation->size() != 16 || !incarnation_number || !issued_number) return error;
  ParsedRequestId id;
  id.ticket.instance = InstanceId(std::string(*instance));
  id.ticket.incarnation = Incarnation(*incarnation_number);
  id.ticket.issued_s = *issued_number;
  id.nonce = std::string(rest);
  return id;
}

}  // namespace bluebellpass
