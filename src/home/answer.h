#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

/// First part of an answer, sent before its data.
struct AnswerHead {
  RequestId id;
  BackendId backend;
  std::string resume_token;  ///< empty if only the request's home can serve the rest of the answer
};

/// Last part of an answer.
struct AnswerEnd {
  Outcome outcome = Outcome::kUnknown;
  std::uint64_t length = 0;    ///< in bytes, of the complete answer
  std::optional<Error> error;  ///< not set if the outcome is kCompleted
};

/// @return the end of a failed answer, with the outcome that belongs to the error's kind
inline AnswerEnd MakeErrorEnd(Error error) {
  const Outcome outcome = GetErrorInfo(error.kind).outcome;
  return AnswerEnd{outcome, 0, std::move(error)};
}

/// Receives one answer on behalf of a reader, that is, a caller or another instance.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;

  /// Called at most once, before the data.
  virtual void OnHead(const AnswerHead& head) = 0;
  /// Delivers bytes of the answer, in order and without gaps, from the requested offset.
  virtual void OnData(std::uint64_t offset, std::string_view bytes) = 0;
  /// Called once, after all other calls. OnHead() is not called if there is no answer.
  virtual void OnEnd(const AnswerEnd& end) = 0;

  /// @return true if the sink can accept more data
  virtual bool IsReady() const { return true; }
  /// @return false if the reader has disconnected
  virtual bool IsOpen() const = 0;
};

}  // namespace bluebellpass
