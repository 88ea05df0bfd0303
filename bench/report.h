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

/// Prints a table for each workload, with a row for each policy and tier.
void PrintTables(std::ostream& out, const std::vector<PolicyRun>& runs);

/// Prints both customers' scores of each policy, from 0 to 1: the mean over the rated workloads.
void PrintScores(std::ostream& out, const std::vector<PolicyRun>& runs);

/// Prints for the fair policy whether the runs met the targets of section 2.2 of the design.
void PrintTargets(std::ostream& out, const std::vector<PolicyRun>& runs);

}  // namespace bluebellpass::bench
