#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

/// Begins an answer.
struct AnswerHead {
  RequestId id;
  BackendId backend;
  std::string resume_token;  ///< empty when the answer cannot be resumed without its home
};

/// Ends an answer.
struct AnswerEnd {
  Outcome outcome = Outcome::kUnknown;
  std::uint64_t length = 0;    ///< bytes of the whole answer
  std::optional<Error> error;  ///< set unless the outcome is kCompleted
};

/// @return an end with the outcome class of the error's kind
inline AnswerEnd MakeErrorEnd(Error error) {
  const Outcome outcome = GetErrorInfo(error.kind).outcome;
  return AnswerEnd{outcome, 0, std::move(error)};
}

/// Takes one answer on its way to a caller.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;

  /// Called at most once, before any data.
  virtual void OnHead(const AnswerHead& head) = 0;
  /// Called in order and without gaps from the offset that the reader asked for.
  virtual void OnData(std::uint64_t offset, std::string_view bytes) = 0;
  /// Called once, last; without a head when there is no answer.
  virtual void OnEnd(const AnswerEnd& end) = 0;

  /// @return true when the sink may be given more data
  virtual bool IsReady() const { return true; }
  /// @return false when the reader has gone
  virtual bool IsOpen() const = 0;
};

}  // namespace bluebellpass
