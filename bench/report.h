#pragma once

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "measure.h"

namespace bluebellpass::bench {

/// Figures of one workload under one policy.
struct PolicyRun {
  std::string workload;
  std::string policy;
  RunFigures figures;
};

nlohmann::json ToJson(const PolicyRun& run);

/// Prints a table for each workload, with one row for each policy and tier.
void PrintTables(std::ostream& out, const std::vector<PolicyRun>& runs);

/// Prints the users' scores of each policy, from 0 to 1, over the workloads that were run.
void PrintScores(std::ostream& out, const std::vector<PolicyRun>& runs);

/// Prints the targets of section 2.2 of the design that the runs can show, for the fair policy.
void PrintTargets(std::ostream& out, const std::vector<PolicyRun>& runs);

}  // namespace bluebellpass::bench
