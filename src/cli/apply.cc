#include "cli/apply.h"

#include <algorithm>

namespace bluebellpass {
namespace {

Error MakeNotFoundError(const char* kind, const std::string& name) {
  return {ErrorKind::kBadCommand, "there is no " + std::string(kind) + " '" + name + "'", name};
}

/// Visitor that applies a command to a configuration. Returns nullopt, or the reason why the
/// command cannot be applied.
class CommandApplier {
 public:
  explicit CommandApplier(ClusterConfig& config) : m_config(config) {}

  std::optional<Error> operator()(const SetTierRankCommand& command) {
    return ChangeTier(command.tier, [&](TierConfig& tier) { tier.rank = command.rank; });
  }
  std::optional<Error> operator()(const SetTierShareCommand& command) {
    return ChangeTier(command.tier, [&](TierConfig& tier) { tier.share = command.share; });
  }
  std::optional<Error> operator()(const SetOrganisationWeightCommand& command) {
    for (OrganisationConfig& organisation : m_config.organisations) {
      if (organisation.id != command.organisation) continue;
      organisation.weight = command.weight;
      return std::nullopt;
    }
    return MakeNotFoundError("organisation", command.organisation.Text());
  }
  std::optional<Error> operator()(const DrainBackendCommand& command) {
    return SetBackendState(command.backend, BackendState::kLeaving);
  }
  std::optional<Error> operator()(const ActivateBackendCommand& command) {
    return SetBackendState(command.backend, BackendState::kActive);
  }
  std::optional<Error> operator()(const ShiftPoolCommand& command) {
    if (!m_config.HasPool(command.pool)) return MakeNotFoundError("pool", command.pool.Text());
    for (const DataCentre& name : {command.from, command.to}) {
      const bool is_known =
          std::any_of(m_config.backends.begin(), m_config.backends.end(),
                      [&](const BackendConfig& backend) { return backend.data_centre == name; });
      if (!is_known) return MakeNotFoundError("data centre", name.Text());
    }
    std::erase_if(m_config.shifts, [&](const ShiftRule& rule) {
      return rule.pool == command.pool && rule.from == command.from && rule.to == command.to;
    });
    if (command.percent > 0)
      m_config.shifts.push_back({command.pool, command.from, command.to, command.percent});
    return std::nullopt;
  }
  template <class Other>
  std::optional<Error> operator()(const Other& /*command*/) {
    return Error{ErrorKind::kBadCommand, "the command does not change the configuration", ""};
  }

 private:
  template <class Change>
  std::optional<Error> ChangeTier(const TierName& name, Change change) {
    for (TierConfig& tier : m_config.tiers) {
      if (tier.name != name) continue;
      change(tier);
      return std::nullopt;
    }
    return MakeNotFoundError("tier", name.Text());
  }
  std::optional<Error> SetBackendState(const BackendId& id, BackendState state) {
    for (BackendConfig& backend : m_config.backends) {
      if (backend.id != id) continue;
      backend.state = state;
      return std::nullopt;
    }
    return MakeNotFoundError("backend server", id.Text());
  }

  ClusterConfig& m_config;
};

}  // namespace

Result<ClusterConfig> ApplyCommand(const ClusterConfig& config, const Command& command) {
  ClusterConfig changed = config;
  if (auto error = std::visit(CommandApplier(changed), command)) return *std::move(error);
  // The parser validates the result, such as the uniqueness of ranks and the sum of the shares.
  return ParseClusterConfig(FormatClusterConfig(changed));
}

}  // namespace bluebellpass
