#include "ownership.h"

#include <algorithm>
#include <utility>

namespace bluebellpass {
namespace {

bool CanOwn(const Member& member) {
  const bool is_running =
      member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
  return is_running && !member.info.is_leaving;
}

/// Mixes the bits of a hash, since the last characters change few bits of FNV-1a.
std::uint64_t MixBits(std::uint64_t hash) {
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  return hash;
}

std::uint64_t Weight(const CellId& cell, const InstanceId& instance) {
  std::uint64_t hash = StableHash(cell.pool.Text());
  hash = StableHash("\n" + cell.region.Text(), hash);
  return MixBits(StableHash("\n" + instance.Text(), hash));
}

/// Rendezvous hashing: instances with the same view compute the same owner, and a change of one
/// member moves only the cells of that member. Members in the region of the cell are preferred.
class SingleOwnerOwnership : public Ownership {
 public:
  std::optional<InstanceId> FindOwner(const CellId& cell,
                                      const std::vector<Member>& members) const override {
    const Member* best = nullptr;
    bool is_best_local = false;
    std::uint64_t best_weight = 0;
    for (const Member& member : members) {
      if (!CanOwn(member)) continue;
      const bool is_local = member.info.region == cell.region;
      const std::uint64_t weight = Weight(cell, member.info.id);
      const bool is_better = best == nullptr || (is_local && !is_best_local) ||
                             (is_local == is_best_local && weight > best_weight);
      if (!is_better) continue;
      best = &member;
      is_best_local = is_local;
      best_weight = weight;
    }
    if (best == nullptr) return std::nullopt;
    return best->info.id;
  }

  ClusterConfig OwnedConfig(const ClusterConfig& config,
                            const std::vector<Member>& /*members*/) const override {
    return config;
  }
};

/// Each instance owns all cells for its own requests.
class PerInstanceOwnership : public Ownership {
 public:
  explicit PerInstanceOwnership(InstanceId self) : m_self(std::move(self)) {}

  std::optional<InstanceId> FindOwner(const CellId& /*cell*/,
                                      const std::vector<Member>& /*members*/) const override {
    return m_self;
  }

  ClusterConfig OwnedConfig(const ClusterConfig& config,
                            const std::vector<Member>& /*members*/) const override {
    return config;
  }

 private:
  InstanceId m_self;
};

class StaticShareOwnership : public PerInstanceOwnership {
 public:
  using PerInstanceOwnership::PerInstanceOwnership;

  ClusterConfig OwnedConfig(const ClusterConfig& config,
                            const std::vector<Member>& members) const override {
    const auto count =
        std::max<std::int64_t>(std::count_if(members.begin(), members.end(), CanOwn), 1);
    ClusterConfig part = config;
    for (BackendConfig& backend : part.backends) {
      backend.slots = std::max<std::int64_t>(backend.slots / count, 1);
      backend.token_capacity = std::max<std::int64_t>(backend.token_capacity / count, 1);
    }
    return part;
  }
};

}  // namespace

std::unique_ptr<Ownership> MakeOwnership(OwnershipKind kind, const InstanceId& self) {
  switch (kind) {
    case OwnershipKind::kPerInstance:
      return std::make_unique<PerInstanceOwnership>(self);
    case OwnershipKind::kStaticShare:
      return std::make_unique<StaticShareOwnership>(self);
    case OwnershipKind::kSingleOwner:
      break;
  }
  return std::make_unique<SingleOwnerOwnership>();
}

}  // namespace bluebellpass
