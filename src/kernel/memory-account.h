#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>

namespace bluebellpass {

/// What a holder of bytes keeps, for metrics.
enum class BufferKind : std::uint8_t { kResponse, kRequestBody, kPendingWrite };
inline constexpr std::size_t kBufferKindCount = 3;

/// Bounds the memory that an instance uses for bytes that have arrived and cannot be passed on yet.
/// Above the limit, the largest holders have to release theirs, so that many small ones are safe
/// from a few large ones. Not thread-safe.
class MemoryAccount {
 public:
  /// Bytes that one call or connection holds. Must not outlive the account.
  class Holder {
   public:
    /// @param account may be null, which counts and limits nothing
    /// @param on_over_limit called from Set, of this holder or of another one, when the limit is
    /// exceeded and this is the largest holder; it must release what is held. If it is empty, the
    /// bytes are counted but never have to be released.
    Holder(MemoryAccount* account, std::function<void()> on_over_limit,
           BufferKind kind = BufferKind::kResponse)
        : m_account(account), m_on_over_limit(std::move(on_over_limit)), m_kind(kind) {}
    ~Holder() { Release(); }
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;

    /// Sets the number of bytes held. May call on_over_limit.
    void Set(std::size_t bytes);
    void Release();
    /// From now on the bytes are counted but never have to be released.
    void Pin();
    std::size_t Bytes() const { return m_bytes; }

   private:
    friend class MemoryAccount;
    MemoryAccount* m_account;
    std::function<void()> m_on_over_limit;
    BufferKind m_kind;
    std::size_t m_bytes = 0;
  };

  /// @param limit in bytes
  explicit MemoryAccount(std::size_t limit) : m_limit(limit) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  /// Sets a function that is called each time a holder has to release its bytes.
  void OnEviction(std::function<void(std::size_t bytes)> function) {
    m_on_eviction = std::move(function);
  }
  void SetLimit(std::size_t limit) { m_limit = limit; }
  std::size_t Limit() const { return m_limit; }
  /// @return bytes of all holders
  std::size_t Used() const { return m_used; }
  /// @return bytes of the holders of one kind
  std::size_t Used(BufferKind kind) const {
    return m_used_by_kind.at(static_cast<std::size_t>(kind));
  }
  /// @return true above half of the limit; holders should then pass on what they can
  bool IsScarce() const { return m_used > m_limit / 2; }
  /// @return how often a holder had to release its bytes
  std::size_t EvictionCount() const { return m_eviction_count; }

 private:
  void Update(Holder& holder, std::size_t bytes);
  void Evict();

  std::size_t m_limit;
  std::size_t m_used = 0;
  std::array<std::size_t, kBufferKindCount> m_used_by_kind{};
  std::size_t m_eviction_count = 0;
  std::function<void(std::size_t bytes)> m_on_eviction;
  std::set<std::pair<std::size_t, Holder*>> m_evictable;  ///< by size
};

}  // namespace bluebellpass
