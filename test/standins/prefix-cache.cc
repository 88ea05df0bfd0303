#include "prefix-cache.h"

namespace bluebellpass::standin {
namespace {

// Bounds the memory of the events; readers that are further behind see a gap.
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
  // A prompt larger than the cache keeps its beginning, which others may share.
  if (hashes.size() > max_blocks) hashes.resize(max_blocks);
  Touch(hashes);
  for (const std::uint64_t block : hashes) {
    if (m_blocks.contains(block)) continue;
    if (m_blocks.size() >= max_blocks) {
      const std::uint64_t evicted = m_recent.back();
      m_blocks.erase(evicted);
      m_recent.pop_back();
      AddEvent(false, evicted, now);
    }
    m_recent.push_front(block);
    m_blocks[block] = m_recent.begin();
    AddEvent(true, block, now);
  }
  Touch(hashes);
}

void PrefixCache::Touch(const std::vector<std::uint64_t>& hashes) {
  // The first block ends up as the most recent one: the others are of no use without it.
  for (auto block = hashes.rbegin(); block != hashes.rend(); ++block) {
    const auto found = m_blocks.find(*block);
    if (found != m_blocks.end()) m_recent.splice(m_recent.begin(), m_recent, found->second);
  }
}

void PrefixCache::AddEvent(bool is_stored, std::uint64_t block, TimePoint now) {
  m_events.push_back({m_next_event++, is_stored, block, now});
  if (m_events.size() > kMaxEvents) m_events.pop_front();
}

}  // namespace bluebellpass::standin
