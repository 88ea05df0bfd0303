#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bluebellpass/types.h"

namespace bluebellpass::standin {

inline constexpr std::size_t kBlockBytes = 256;
inline constexpr std::int64_t kBlockTokens = 64;

/// @return a hash for each complete block of a prompt, computed over the prompt from its start to
/// the end of the block
std::vector<std::uint64_t> BlockHashes(std::string_view input);

/// Cache of prompt blocks with least-recently-used eviction and a numbered event log.
class PrefixCache {
 public:
  struct Event {
    std::uint64_t sequence_number = 0;
    bool is_stored = false;
    std::uint64_t block = 0;
    TimePoint at;
  };

  /// @param max_tokens memory limit
  explicit PrefixCache(std::int64_t max_tokens) : m_max_tokens(max_tokens) {}

  /// Finds the longest cached prefix and marks the cached blocks of the prompt as used.
  /// @return its length in tokens
  std::int64_t Lookup(std::string_view input);

  /// Stores the blocks of a prompt and evicts the least recently used ones if necessary.
  void Store(std::string_view input, TimePoint now);

  std::size_t BlockCount() const { return m_blocks.size(); }
  const std::deque<Event>& Events() const { return m_events; }

 private:
  void Touch(const std::vector<std::uint64_t>& hashes);
  void AddEvent(bool is_stored, std::uint64_t block, TimePoint now);

  std::int64_t m_max_tokens;
  std::list<std::uint64_t> m_blocks_by_use;  ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
  std::deque<Event> m_events;
  std::uint64_t m_next_sequence_number = 1;
};

}  // namespace bluebellpass::standin
