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

/// @return hashes of the whole blocks of a prompt; each covers the prompt up to its block's end
std::vector<std::uint64_t> BlockHashes(std::string_view input);

/// Least-recently-used cache of prompt blocks, with numbered events.
class PrefixCache {
 public:
  struct Event {
    std::uint64_t n = 0;
    bool is_stored = false;
    std::uint64_t block = 0;
    TimePoint at;
  };

  /// @param max_tokens memory limit, in tokens
  explicit PrefixCache(std::int64_t max_tokens) : m_max_tokens(max_tokens) {}

  /// Looks up the longest cached prefix and marks it as used.
  /// @return its length in tokens
  std::int64_t Lookup(std::string_view input);

  /// Stores the blocks of a prompt, evicting those used least recently.
  void Store(std::string_view input, TimePoint now);

  std::size_t Blocks() const { return m_blocks.size(); }
  const std::deque<Event>& Events() const { return m_events; }

 private:
  void Touch(const std::vector<std::uint64_t>& hashes);
  void AddEvent(bool is_stored, std::uint64_t block, TimePoint now);

  std::int64_t m_max_tokens;
  std::list<std::uint64_t> m_recent;  ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
  std::deque<Event> m_events;
  std::uint64_t m_next_event = 1;
};

}  // namespace bluebellpass::standin
