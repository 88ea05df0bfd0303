#pragma once

#include <string>
#include <vector>

namespace bluebellpass::test {

/// Builds docs/fault-matrix.md from the output of runs of the matrix and of pairs.
/// @param logs paths of files with that output
/// @return the page; cells without a result in the logs are shown as not run
std::string MakeMatrixPage(const std::vector<std::string>& logs);

}  // namespace bluebellpass::test
