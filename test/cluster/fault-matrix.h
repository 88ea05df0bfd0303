#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster.h"

namespace bluebellpass::test {

/// The request under test, while its cell of the matrix runs.
struct Subject {
  Cluster& cluster;
  int home = 0;   ///< instance whose ticket the id carries
  int entry = 0;  ///< instance to which the caller talks
  bool is_booking = false;
  nlohmann::json body;
  std::string id;
  bool is_sent_before_fault = false;
  std::vector<std::shared_ptr<CallerView>> views;    ///< of this request, first one first
  std::vector<std::shared_ptr<CallerView>> fillers;  ///< of the work that keeps servers busy
};

/// A point in the life of a request at which a fault is injected.
struct Step {
  std::string name;
  bool is_booking = false;
  /// Brings the subject to the step. Returns false when it could not be reached.
  std::function<bool(Subject&)> reach;
};

/// Which callers must learn for certain whether their request ran. Less is allowed only where the
/// fault destroys what is needed to know better.
enum class OutcomeGuarantee {
  kAll,     ///< every caller
  kFirst,   ///< the first caller, whose connection the fault does not touch
  kStream,  ///< the first caller, once the engine has named a stream that can be resumed
  kNone,
};

/// A fault with its repair.
struct Fault {
  std::string name;
  OutcomeGuarantee guarantee = OutcomeGuarantee::kAll;
  std::function<void(Subject&)> inject;
  std::function<void(Subject&)> heal;
  /// A first caller that was cut off can fetch the rest of its answer with its resume token.
  bool is_resumable = false;
};

const std::vector<Step>& Steps();
const std::vector<Fault>& Faults();

/// Result of one cell.
struct CellResult {
  std::vector<std::string> violations;  ///< empty when the cell has passed
  int answers = 0;                      ///< that callers got
  int unknown = 0;                      ///< of these, with unknown outcome
};

/// Runs one cell: reaches the step, injects the faults, heals them, lets the caller send again
/// through every instance, and checks the invariants against the stand-ins' records.
/// @param faults injected one after the other; one for a cell of the matrix, two for a pair
CellResult RunCell(const Step& step, const std::vector<const Fault*>& faults);

}  // namespace bluebellpass::test
