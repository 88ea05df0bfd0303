#include "document.h"

#include <openssl/sha.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace bluebellpass {
namespace {

using Json = nlohmann::json;

// A document with another version was written by a newer release and must not be overwritten.
constexpr int kFormatVersion = 1;
constexpr std::size_t kHashBytes = 16;
constexpr std::string_view kHexDigits = "0123456789abcdef";
// Punctuation and field names take 28 bytes, the time at most 20.
constexpr std::size_t kEntryOverheadBytes = 48;
constexpr std::size_t kMaxEscapedCharBytes = 6;

bool HasString(const Json& row, const char* name) {
  return row.contains(name) && row.at(name).is_string();
}

bool IsValidEntry(const Json& row) {
  return row.is_object() && HasString(row, "k") && HasString(row, "r") && HasString(row, "t") &&
         row.contains("at") && row.at("at").is_number_integer();
}

bool IsValidDocument(const Json& document) {
  return document.is_object() && document.contains("format") &&
         document.at("format").is_number_integer() &&
         document.at("format").get<std::int64_t>() == kFormatVersion &&
         document.contains("entries") && document.at("entries").is_array();
}

}  // namespace

KeyHash HashClaimKey(const ClaimKey& key, std::size_t shard_count) {
  // The length prefix keeps different pairs of organisation and key from having the same text.
  const std::string& organisation = key.organisation.Text();
  const std::string text = std::to_string(organisation.size()) + ":" + organisation + key.key;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  KeyHash hash;
  for (std::size_t i = 0; i < kHashBytes; ++i) {
    hash.text += kHexDigits[digest[i] >> 4U];
    hash.text += kHexDigits[digest[i] & 15U];
  }
  hash.text += ":" + std::to_string(key.key.size());
  const std::size_t shard_bits = (std::size_t{digest[kHashBytes]} << 8U) | digest[kHashBytes + 1];
  hash.shard = shard_bits % shard_count;
  return hash;
}

std::optional<LedgerEntries> ParseLedgerDocument(std::string_view text) {
  const Json document = Json::parse(text, nullptr, false);
  if (!IsValidDocument(document)) return std::nullopt;
  LedgerEntries entries;
  for (const Json& row : document.at("entries")) {
    if (!IsValidEntry(row)) return std::nullopt;
    LedgerEntry entry{.request = RequestId(row.at("r").get<std::string>()),
                      .writer = row.at("t").get<std::string>(),
                      .claimed_at_ms = row.at("at").get<std::int64_t>()};
    const bool is_new = entries.emplace(row.at("k").get<std::string>(), std::move(entry)).second;
    if (!is_new) return std::nullopt;
  }
  return entries;
}

std::string FormatLedgerDocument(const LedgerEntries& entries, const std::string& write_id) {
  Json rows = Json::array();
  for (const auto& [hash, entry] : entries) {
    rows.push_back({{"k", hash},
                    {"r", entry.request.Text()},
                    {"t", entry.writer},
                    {"at", entry.claimed_at_ms}});
  }
  const Json document = {
      {"format", kFormatVersion}, {"mark", write_id}, {"entries", std::move(rows)}};
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::size_t MaxEntryBytes(const std::string& key_hash, const LedgerEntry& entry) {
  std::size_t bytes = kEntryOverheadBytes + key_hash.size();
  for (const std::string* text : {&entry.request.Text(), &entry.writer}) {
    for (const char c : *text) {
      const bool is_plain = c >= ' ' && c <= '~' && c != '"' && c != '\\';
      bytes += is_plain ? 1 : kMaxEscapedCharBytes;
    }
  }
  return bytes;
}

void RemoveExpired(LedgerEntries& entries, std::int64_t now_ms, Millis max_age) {
  std::erase_if(entries, [&](const auto& item) {
    return now_ms - item.second.claimed_at_ms > max_age.count();
  });
}

}  // namespace bluebellpass
