#include "memory-account.h"

#include <iterator>

namespace bluebellpass {

void MemoryAccount::Holder::Set(std::size_t bytes) {
  if (m_account == nullptr || bytes == m_bytes) return;
  MemoryAccount& account = *m_account;
  const bool is_larger = bytes > m_bytes;
  account.Update(*this, bytes);
  if (is_larger) account.Evict();
}

void MemoryAccount::Holder::Release() {
  if (m_account != nullptr) m_account->Update(*this, 0);
}

void MemoryAccount::Holder::Pin() {
  if (m_account != nullptr && m_on_over_limit) m_account->m_evictable.erase({m_bytes, this});
  m_on_over_limit = nullptr;
}

void MemoryAccount::Update(Holder& holder, std::size_t bytes) {
  if (bytes == holder.m_bytes) return;
  if (holder.m_on_over_limit) {
    m_evictable.erase({holder.m_bytes, &holder});
    if (bytes > 0) m_evictable.emplace(bytes, &holder);
  }
  std::size_t& used_by_kind = m_used_by_kind.at(static_cast<std::size_t>(holder.m_kind));
  for (std::size_t* used : {&m_used, &used_by_kind}) *used = *used + bytes - holder.m_bytes;
  holder.m_bytes = bytes;
}

void MemoryAccount::Evict() {
  while (m_used > m_limit && !m_evictable.empty()) {
    Holder* largest = std::prev(m_evictable.end())->second;
    // The callback may destroy the holder.
    const auto on_over_limit = largest->m_on_over_limit;
    const std::size_t bytes = largest->m_bytes;
    Update(*largest, 0);
    ++m_eviction_count;
    if (m_on_eviction) m_on_eviction(bytes);
    on_over_limit();
  }
}

}  // namespace bluebellpass
