#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster.h"

namespace bluebellpass::test {

/// State of a running cell: the cluster and the request under test.
struct CellContext {
  Cluster& cluster;
  int home = 0;   ///< instance that issued the ticket of the request id
  int entry = 0;  ///< instance to which the first caller connects
  bool is_booking = false;
  nlohmann::json body;
  std::string id;
  bool is_sent_before_fault = false;
  std::vector<std::shared_ptr<CallerResponse>> responses;  ///< in the order of submission
  std::vector<std::shared_ptr<CallerResponse>>
      background_responses;  ///< to requests that occupy slots
};

/// A state of the request under test in which a fault is injected.
struct Step {
  std::string name;
  bool is_booking = false;
  /// Brings the request to this step. Returns false if the step was not reached in time.
  std::function<bool(CellContext&)> reach;
};

/// Callers that must not get the outcome "unknown". A weaker guarantee than kAll is allowed only if
/// the fault destroys the information that determines the outcome.
enum class OutcomeGuarantee {
  kAll,     ///< every caller
  kFirst,   ///< the first caller, whose connection the fault does not break
  kStream,  ///< the first caller, if its response names the backend server that streams
  kNone,
};

/// A fault and how to repair it.
struct Fault {
  std::string name;
  OutcomeGuarantee guarantee = OutcomeGuarantee::kAll;
  std::function<void(CellContext&)> inject;
  std::function<void(CellContext&)> repair;
  /// The first caller must be able to fetch the rest of an interrupted answer with its resume
  /// token.
  bool is_resumable = false;
};

const std::vector<Step>& Steps();
const std::vector<Fault>& Faults();

/// Result of one cell.
struct CellResult {
  std::vector<std::string> violations;  ///< empty when the cell has passed
  int answers = 0;                      ///< responses with an outcome
  int unknown = 0;                      ///< of these, with the outcome "unknown"
};

/// Runs one cell: brings a request to the step, injects the faults and repairs them, submits the
/// request again through every instance before and after the repair, and checks the responses
/// against the executions that the stand-ins have recorded.
/// @param faults injected one after the other; one for a cell of the matrix, two for a pair
CellResult RunCell(const Step& step, const std::vector<const Fault*>& faults);

}  // namespace bluebellpass::test
