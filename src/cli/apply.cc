#include "cli/apply.h"

#include <algorithm>

namespace bluebellpass {
namespace {

Error Missing(const char* kind, const std::string& name) {
  return {ErrorKind::kBadCommand, "there is no " + std::string(kind) + " '" + name + "'", name};
}

/// Applies one command to a copy of the configuration.
/// @return nullopt, or why the command cannot be applied
class Applier {
 public:
  explicit Applier(ClusterConfig& config) : m_config(config) {}

  std::optional<Error> operator()(const SetTierRankCommand& command) {
    return WithTier(command.tier, [&](TierConfig& tier) { tier.rank = command.rank; });
  }
  std::optional<Error> operator()(const SetTierShareCommand& command) {
    return WithTier(command.tier, [&](TierConfig& tier) { tier.share = command.share; });
  }
  std::optional<Error> operator()(const SetOrganisationWeightCommand& command) {
    for (OrganisationConfig& organisation : m_config.organisations) {
      if (organisation.id != command.organisation) continue;
      organisation.weight = command.weight;
      return std::nullopt;
    }
    return Missing("organisation", command.organisation.Text());
  }
  std::optional<Error> operator()(const DrainBackendCommand& command) {
    return SetState(command.backend, BackendState::kLeaving);
  }
  std::optional<Error> operator()(const ActivateBackendCommand& command) {
    return SetState(command.backend, BackendState::kActive);
  }
  std::optional<Error> operator()(const ShiftPoolCommand& command) {
    if (!m_config.HasPool(command.pool)) return Missing("pool", command.pool.Text());
    for (const DataCentre& name : {command.from, command.to}) {
      const bool is_known =
          std::any_of(m_config.backends.begin(), m_config.backends.end(),
                      [&](const BackendConfig& backend) { return backend.data_centre == name; });
      if (!is_known) return Missing("data centre", name.Text());
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
  template <class Function>
  std::optional<Error> WithTier(const TierName& name, Function function) {
    for (TierConfig& tier : m_config.tiers) {
      if (tier.name != name) continue;
      function(tier);
      return std::nullopt;
    }
    return Missing("tier", name.Text());
  }
  std::optional<Error> SetState(const BackendId& id, BackendState state) {
    for (BackendConfig& backend : m_config.backends) {
      if (backend.id != id) continue;
      backend.state = state;
      return std::nullopt;
    }
    return Missing("backend server", id.Text());
  }

  ClusterConfig& m_config;
};

}  // namespace

Result<ClusterConfig> ApplyCommand(const ClusterConfig& config, const Command& command) {
  ClusterConfig changed = config;
  if (auto error = std::visit(Applier(changed), command)) return *std::move(error);
  // Parsing holds all checks of the schema, such as unique ranks and the sum of shares.
  return ParseClusterConfig(FormatClusterConfig(changed));
}

}  // namespace bluebellpass
