#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "bluebellpass/types.h"
#include "ledger/ledger.h"

/// The stored form of a shard of the ledger. Pure logic, no I/O.

namespace bluebellpass {

/// A claim as it is stored.
struct LedgerEntry {
  RequestId request;
  std::string writer;   ///< instance id and incarnation of the claiming process
  std::int64_t at = 0;  ///< wall clock of the writer, ms since 1970
};

/// Entries of one shard by key hash.
using LedgerEntries = std::map<std::string, LedgerEntry>;

/// Where a key is kept.
struct KeyHash {
  std::string text;       ///< 128 bits of SHA-256 in hexadecimal, a colon and the key's length
  std::size_t shard = 0;  ///< chosen by other bits of the digest
};

/// Hashes organisation and key. Stable over processes and releases.
/// @param shards number of shards; must be the same in all instances
KeyHash HashClaimKey(const ClaimKey& key, std::size_t shards);

/// @return the entries, or nullopt when the document is not exactly of the known form
std::optional<LedgerEntries> ParseLedgerDocument(std::string_view text);

/// @param mark unique for each write: a store that ignores a write without a change would not raise
/// the version, and a raised version is what rules out a lost write
/// @return the document of the entries, compact JSON
std::string FormatLedgerDocument(const LedgerEntries& entries, const std::string& mark);

/// @return an upper bound of the bytes that an entry takes in the document
std::size_t LedgerEntryBytes(const std::string& key_hash, const LedgerEntry& entry);

/// Removes the entries that are older than the limit. Entries with a time in the future stay.
/// @param now wall clock, ms since 1970
void DropExpired(LedgerEntries& entries, std::int64_t now, Millis limit);

}  // namespace bluebellpass
