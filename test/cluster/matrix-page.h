#pragma once

#include <string>
#include <vector>

namespace bluebellpass::test {

/// Makes docs/fault-matrix.md from the output of fault-matrix and scenarios.
/// @param logs paths of files with that output
/// @return the page; cells without a result in the logs are shown as not run
std::string MakeMatrixPage(const std::vector<std::string>& logs);

}  // namespace bluebellpass::test
