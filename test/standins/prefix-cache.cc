#include "prefix-cache.h"

namespace bluebellpass::standin {
namespace {

// Limits the memory of the event log. Readers that are further behind see a gap in the numbers.
constexpr std::size_t kMaxEvents = 20'000;

}  // namespace

std::vector<std::uint64_t> BlockHashes(std::string_view input) {
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = StableHash("");
  for (; input.size() >= kBlockBytes; input.remove_prefix(kBlockBytes)) {
    hash = StableHash(input.substr(0, kBlockBytes), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

std::int64_t PrefixCache::Lookup(std::string_view input) {
  const std::vector<std::uint64_t> hashes = BlockHashes(input);
  std::int64_t cached = 0;
  for (const std::uint64_t block : hashes) {
    if (!m_blocks.contains(block)) break;
    cached += kBlockTokens;
  }
  Touch(hashes);
  return cached;
}

void PrefixCache::Store(std::string_view input, TimePoint now) {
  const auto max_blocks = static_cast<std::size_t>(m_max_tokens / kBlockTokens);
  std::vector<std::uint64_t> hashes = BlockHashes(input);
  // Of a prompt larger than the cache, the start is stored, since other prompts may share it.
  if (hashes.size() > max_blocks) hashes.resize(max_blocks);
  Touch(hashes);
  for (const std::uint64_t block : hashes) {
    if (m_blocks.contains(block)) continue;
    if (m_blocks.size() >= max_blocks) {
      const std::uint64_t evicted = m_blocks_by_use.back();
      m_blocks.erase(evicted);
      m_blocks_by_use.pop_back();
      AddEvent(false, evicted, now);
    }
    m_blocks_by_use.push_front(block);
    m_blocks[block] = m_blocks_by_use.begin();
    AddEvent(true, block, now);
  }
  Touch(hashes);
}

void PrefixCache::Touch(const std::vector<std::uint64_t>& hashes) {
  // In reverse order, so that the first block becomes the most recently used one: the others are
  // useless without it.
  for (auto block = hashes.rbegin(); block != hashes.rend(); ++block) {
    const auto found = m_blocks.find(*block);
    if (found != m_blocks.end())
      m_blocks_by_use.splice(m_blocks_by_use.begin(), m_blocks_by_use, found->second);
  }
}

void PrefixCache::AddEvent(bool is_stored, std::uint64_t block, TimePoint now) {
  m_events.push_back({m_next_sequence_number++, is_stored, block, now});
  if (m_events.size() > kMaxEvents) m_events.pop_front();
}

}  // namespace bluebellpass::standin
