#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "bluebellpass/types.h"
#include "ledger/ledger.h"

/// JSON format of the shards of the ledger.

namespace bluebellpass {

/// A stored claim.
struct LedgerEntry {
  RequestId request;
  std::string writer;              ///< instance id and incarnation of the claiming process
  std::int64_t claimed_at_ms = 0;  ///< wall clock of the writer, ms since 1970
};

/// Entries of one shard by key hash.
using LedgerEntries = std::map<std::string, LedgerEntry>;

/// Hash of a key and the shard that stores its claim.
struct KeyHash {
  std::string text;       ///< 128 bits of SHA-256 in hexadecimal, a colon and the key's length
  std::size_t shard = 0;  ///< derived from other bits of the digest
};

/// Hashes organisation and key. The result is the same in all processes and releases.
/// @param shard_count must be the same in all instances
KeyHash HashClaimKey(const ClaimKey& key, std::size_t shard_count);

/// Parses the document of a shard.
/// @return nullopt when the document is malformed or has another format version
std::optional<LedgerEntries> ParseLedgerDocument(std::string_view text);

/// Formats the document of a shard as compact JSON.
/// @param write_id unique for each write, so that the store raises the version even if it ignores
/// writes that change nothing; only a raised version rules out a lost write
std::string FormatLedgerDocument(const LedgerEntries& entries, const std::string& write_id);

/// @return an upper bound of the size of an entry in the document, in bytes
std::size_t MaxEntryBytes(const std::string& key_hash, const LedgerEntry& entry);

/// Removes the entries older than max_age. Entries with a time in the future are kept.
/// @param now_ms wall clock, ms since 1970
void RemoveExpired(LedgerEntries& entries, std::int64_t now_ms, Millis max_age);

}  // namespace bluebellpass
