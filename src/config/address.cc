#include "config/address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace bluebellpass {
namespace {

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_';
}

}  // namespace

Result<Address> ParseAddress(std::string_view text) {
  const Error error{.kind = ErrorKind::kBadRequest,
                    .message = "expected an IPv4 address and a port, as in 10.0.0.1:8080"};
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) return error;
  Address address{.ip = std::string(text.substr(0, colon))};
  in_addr parsed{};
  // inet_pton stops at an embedded NUL and would ignore the characters after it.
  if (address.ip.find('\0') != std::string::npos) return error;
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) return error;
  const std::string_view port = text.substr(colon + 1);
  const auto [end, code] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (port.empty() || code != std::errc{} || end != port.data() + port.size()) return error;
  return address;
}

bool IsValidName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  for (std::size_t comma = text.find(','); comma != std::string::npos;
       comma = text.find(',', begin)) {
    parts.push_back(text.substr(begin, comma - begin));
    begin = comma + 1;
  }
  parts.push_back(text.substr(begin));
  return parts;
}

}  // namespace bluebellpass
