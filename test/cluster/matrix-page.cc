#include "matrix-page.h"

#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include "fault-matrix.h"

namespace bluebellpass::test {
namespace {

constexpr char kIntroduction[] = R"(# Fault matrix

Real daemons, stand-ins and fault-injecting proxies on loopback: three instances, two engines, one plain service. Each
row is a step in the life of a request, each column a fault that is injected at that step. The page is made by
`fault-matrix --page` from the output of the tests; the table of steps and faults is `test/cluster/fault-matrix.cc`.

In each cell the request is brought to the step, the fault is injected, the caller sends the request again under the same
id through every instance, the fault is repaired, and the caller sends again through every instance (a booking also as
new requests with the same key). Checked against the stand-ins' own records:

- each request id and each idempotency key was executed at most once;
- each answer marked complete is byte for byte the one that the engine makes for that request, without gaps;
- nothing answered *not run* was executed;
- *unknown* is answered only where the fault destroys what is needed to know better (for example never to the first
  caller when the object API fails, an owner is killed, or an engine's stream goes silent);
- every caller gets an answer.

)";

constexpr char kNotProved[] = R"(
## Not proved

- A majority of the instances that has lost the object API, while an operator changes the configuration through a
  minority that still reaches it: the majority may dispatch to a backend server that is leaving.
- The shed floor while an instance restarts, or before the owner knows a new one: up to 1.5 s without its promise.
- The window between the last check before a dispatch and the system's write of the bytes, for a process that is paused
  exactly there.
- Ids of a home that has stopped in an orderly way: callers that come later through other instances are told *unknown*,
  also for ids that were never used.
- Orders to engines are tested with a stand-in on one loop, not in this matrix. Adapters and roles cannot be ordered yet.
- Replies of plain services and answers above 16 MiB are not bounded in memory.
- Regions that lose each other, and fleets above 48 instances.
)";

struct Results {
  std::map<std::string, std::string> cells;      ///< "passed" or "FAILED", by "step x fault"
  std::map<std::string, std::string> scenarios;  ///< "passed" or "FAILED", by name
  int pairs_passed = 0;
  int pairs_failed = 0;
  int unknown = 0;  ///< unknown outcomes in cells of the matrix, without pairs
  int answers = 0;
  bool is_in_pairs = false;  ///< the current lines are the output for pairs
  std::string seed;
};

void ParseLine(const std::string& line, Results& results) {
  for (const char* state : {"passed", "FAILED"}) {
    const std::string start = std::string(state) + ": ";
    if (!line.starts_with(start)) continue;
    const std::string cell = line.substr(start.size());
    if (cell.find(" x ") == std::string::npos) {
      results.scenarios[cell] = state;
    } else if (cell.find(" + ") == std::string::npos) {
      results.cells[cell] = state;
    } else {
      (start == "passed: " ? results.pairs_passed : results.pairs_failed)++;
    }
  }
  if (line.starts_with("seed ")) {
    results.seed = line.substr(5);
    results.is_in_pairs = true;
  }
  int unknown = 0;
  int answers = 0;
  if (std::sscanf(line.c_str(), "unknown outcomes: %d of %d", &unknown, &answers) == 2) {
    if (!std::exchange(results.is_in_pairs, false)) {
      results.unknown += unknown;
      results.answers += answers;
    }
  }
}

Results ReadLogs(const std::vector<std::string>& logs) {
  Results results;
  for (const std::string& path : logs) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) ParseLine(line, results);
  }
  return results;
}

}  // namespace

std::string MakeMatrixPage(const std::vector<std::string>& logs) {
  const Results results = ReadLogs(logs);
  std::ostringstream page;
  page << kIntroduction << "## Faults\n\n";
  int number = 0;
  for (const Fault& fault : Faults()) page << "- F" << ++number << ": " << fault.name << '\n';
  page << "\n## Steps and faults\n\n| step |";
  for (int i = 1; i <= number; ++i) page << " F" << i << " |";
  page << "\n|---|";
  for (int i = 1; i <= number; ++i) page << "---|";
  page << '\n';
  int passed = 0;
  int failed = 0;
  int not_run = 0;
  for (const Step& step : Steps()) {
    page << "| " << step.name << " |";
    for (const Fault& fault : Faults()) {
      const auto found = results.cells.find(step.name + " x " + fault.name);
      const std::string state = found == results.cells.end() ? "not run" : found->second;
      (state == "passed" ? passed : state == "FAILED" ? failed : not_run)++;
      page << ' ' << state << " |";
    }
    page << '\n';
  }
  page << "\nCells: " << passed << " passed, " << failed << " failed, " << not_run << " not run.\n"
       << "Pairs of faults (seed " << results.seed << "): " << results.pairs_passed << " passed, "
       << results.pairs_failed << " failed.\n"
       << "Answers with unknown outcome under single faults: " << results.unknown << " of "
       << results.answers << ", all where the rule above allows it unless a cell failed.\n\n"
       << "## Scenarios\n\nConfiguration, drain, planned stop, shedding, crashing requests and "
          "silent "
          "connections, each with\nfaults of its own (`test/cluster/scenarios-*.cc`).\n\n"
       << "| scenario | result |\n|---|---|\n";
  for (const auto& [name, state] : results.scenarios) {
    page << "| " << name << " | " << state << " |\n";
  }
  page << kNotProved;
  return page.str();
}

}  // namespace bluebellpass::test
