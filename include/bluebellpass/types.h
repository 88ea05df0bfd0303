#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

/// Strong types for identifiers and quantities.

namespace bluebellpass {

/// A string identifier that does not convert to identifiers of other kinds.
/// @tparam Tag distinguishes the kinds; it is only declared
template <class Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) : m_text(std::move(text)) {}

  const std::string& Text() const { return m_text; }
  /// @return true if no identifier has been set
  bool IsEmpty() const { return m_text.empty(); }

  auto operator<=>(const StrongId&) const = default;  // NOLINT(modernize-use-nullptr)

  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.m_text;
  }

 private:
  std::string m_text;
};

using InstanceId = StrongId<struct InstanceTag>;
using RequestId = StrongId<struct RequestTag>;
using OrganisationId = StrongId<struct OrganisationTag>;
using TierName = StrongId<struct TierTag>;
using PoolName = StrongId<struct PoolTag>;
using BackendId = StrongId<struct BackendTag>;
using DataCentre = StrongId<struct DataCentreTag>;
using Region = StrongId<struct RegionTag>;

/// A number that does not convert to numbers of other units.
/// @tparam Tag distinguishes the units; it is only declared
/// @tparam Rep arithmetic type of the value
template <class Tag, class Rep>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep value) : m_value(value) {}

  constexpr Rep Value() const { return m_value; }

  constexpr auto operator<=>(const StrongNumber&) const = default;  // NOLINT(modernize-use-nullptr)

  constexpr StrongNumber& operator+=(StrongNumber other) {
    m_value += other.m_value;
    return *this;
  }
  constexpr StrongNumber& operator-=(StrongNumber other) {
    m_value -= other.m_value;
    return *this;
  }
  friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) { return a += b; }
  friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) { return a -= b; }
  friend std::ostream& operator<<(std::ostream& out, StrongNumber n) { return out << n.m_value; }

 private:
  Rep m_value{};
};

/// Number of prompt or output tokens; signed to allow differences.
using Tokens = StrongNumber<struct TokensTag, std::int64_t>;
/// Identifies one start of a process; a later start has a larger value.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;
/// Version of an object in the object API; 0 means that it does not exist.
using ObjectVersion = StrongNumber<struct ObjectVersionTag, std::uint64_t>;
/// Rank of a tier; 0 is the most urgent.
using TierRank = StrongNumber<struct TierRankTag, std::uint32_t>;
/// Hash of a request's content or of a prompt's prefix.
using Fingerprint = StrongNumber<struct FingerprintTag, std::uint64_t>;

using Millis = std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

/// An IPv4 address and port. Host names are not resolved.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;  // NOLINT(modernize-use-nullptr)
  /// @return "ip:port"
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// 64-bit FNV-1a hash. Stable across processes and releases, so it may be stored and sent.
/// @param text bytes to hash
/// @param seed result of the previous call, to hash several parts in sequence
constexpr std::uint64_t StableHash(std::string_view text,
                                   std::uint64_t seed = 14695981039346656037ULL) {
  std::uint64_t hash = seed;
  for (char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 1099511628211ULL;
  }
  return hash;
}

}  // namespace bluebellpass

template <class Tag>
struct std::hash<bluebellpass::StrongId<Tag>> {
  std::size_t operator()(const bluebellpass::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.Text());
  }
};

template <class Tag, class Rep>
struct std::hash<bluebellpass::StrongNumber<Tag, Rep>> {
  std::size_t operator()(bluebellpass::StrongNumber<Tag, Rep> n) const noexcept {
    return std::hash<Rep>()(n.Value());
  }
};
