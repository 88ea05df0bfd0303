#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "bluebellpass/gateway/model.h"

namespace bluebellpass::gateway {

/// Backend servers to which this instance sends nothing for a while: they have told it in their
/// responses that they are leaving or want no requests from it, or it could not connect to them.
class BackendNotices {
 public:
  /// @return true if the backend server was not held before
  bool SetLeaving(const BackendStart& backend, TimePoint now) {
    const bool is_new = Hold(backend, kLeavingHold, now);
    std::erase_if(m_leaving, [this](const auto& start) { return !m_held_until.contains(start); });
    m_leaving.insert(backend);
    return is_new;
  }
  /// @param retry_after time for which the backend server wants no requests
  /// @return true if the backend server was not held before
  bool SetBusy(const BackendStart& backend, Millis retry_after, TimePoint now) {
    return Hold(backend, std::min(retry_after, kMaxBusyHold), now);
  }
  /// Records how many requests the backend server can turn away in a second, from a response.
  /// @param per_second nullopt if the response states no number
  /// @param sent_at when the request was sent
  /// @return true if RejectionLimit has changed, or is known again since ForgetRejectionLimits
  bool SetRejectionLimit(const BackendStart& backend, std::optional<int> per_second,
                         TimePoint sent_at, TimePoint now) {
    const auto known = m_rejection_limits.find(backend);
    if (known != m_rejection_limits.end()) {
      const StatedLimit& limit = known->second;
      if (per_second == limit.per_second) return false;
      // The response may have begun before the present number was stated.
      const bool allows_more = !per_second || *per_second > limit.per_second;
      if (allows_more && sent_at <= limit.stated_at) return false;
    }
    if (!per_second) return m_rejection_limits.erase(backend) != 0;
    std::erase_if(m_rejection_limits, [&](const auto& entry) {
      return entry.first.id == backend.id && entry.first != backend;
    });
    m_rejection_limits.insert_or_assign(backend, StatedLimit{*per_second, now});
    return true;
  }
  /// @return how many requests the backend server can turn away in a second, or nullopt if it
  /// states no number
  std::optional<int> RejectionLimit(const BackendStart& backend) const {
    const auto found = m_rejection_limits.find(backend);
    return found == m_rejection_limits.end() ? std::nullopt
                                             : std::optional(found->second.per_second);
  }
  /// A new coordinator is to be told of all.
  void ForgetRejectionLimits() { m_rejection_limits.clear(); }
  /// Records that this instance could not connect to the backend server.
  void SetUnreachable(const BackendStart& backend, TimePoint now) {
    Hold(backend, kUnreachableHold, now);
  }
  /// Records a load report that could not be read.
  /// @return true if it is the first one of this start of the backend server
  bool SetInvalidLoad(const BackendStart& backend) {
    const auto found = m_invalid_load.find(backend.id);
    if (found != m_invalid_load.end() && found->second == backend) return false;
    if (m_invalid_load.size() >= kMaxInvalidLoads) m_invalid_load.clear();
    m_invalid_load.insert_or_assign(backend.id, backend);
    return true;
  }
  /// @return true if this instance may send requests to the backend server
  bool MaySendTo(const BackendStart& backend, TimePoint now) const {
    const auto found = m_held_until.find(backend);
    return found == m_held_until.end() || found->second <= now;
  }
  /// @return true if the backend server has said that it is leaving
  bool IsLeaving(const BackendStart& backend) const { return m_leaving.contains(backend); }
  /// Adds those of the registered backend servers that get no requests to a set.
  void AddHeld(const std::map<BackendId, Backend>& registered, std::set<BackendId>& held,
               TimePoint now) const {
    for (const auto& [backend, until] : m_held_until) {
      const auto found = registered.find(backend.id);
      if (until > now && found != registered.end() && found->second.Start() == backend)
        held.insert(backend.id);
    }
  }

 private:
  // Leaving servers exit some seconds after they have said so; a new start is another BackendStart.
  static constexpr Millis kLeavingHold{600'000};
  static constexpr Millis kMaxBusyHold{3'600'000};
  static constexpr Millis kUnreachableHold{500};
  // Bound on the memory for backend servers that have left since.
  static constexpr std::size_t kMaxInvalidLoads = 4'000;

  struct StatedLimit {
    int per_second = 0;
    TimePoint stated_at;  ///< first response with this number
  };

  bool Hold(const BackendStart& backend, Millis duration, TimePoint now) {
    std::erase_if(m_held_until, [&](const auto& entry) {
      return entry.second <= now || (entry.first.id == backend.id && entry.first != backend);
    });
    const auto [found, is_new] = m_held_until.try_emplace(backend, now + duration);
    found->second = std::max(found->second, now + duration);
    return is_new;
  }

  std::map<BackendStart, TimePoint> m_held_until;
  std::set<BackendStart> m_leaving;  ///< of those held
  std::map<BackendStart, StatedLimit> m_rejection_limits;
  std::map<BackendId, BackendStart> m_invalid_load;  ///< starts whose invalid reports are known
};

}  // namespace bluebellpass::gateway
