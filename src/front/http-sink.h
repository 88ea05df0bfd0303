#pragma once

#include <memory>
#include <random>
#include <string>

#include "home/answer.h"
#include "kernel/http-server.h"

namespace bluebellpass {

/// Writes an answer as NDJSON lines: a head line, data lines with their offset, an end line.
///
/// The HTTP status is decided by what comes first: 200 with a head, else that of the error.
class HttpSink : public AnswerSink {
 public:
  /// @param id shown to the caller in the header bluebellpass-request-id
  /// @param offset of the first byte that the caller asked for
  HttpSink(std::shared_ptr<HttpResponder> responder, RequestId id, std::minstd_rand& jitter);

  void OnHead(const AnswerHead& head) override;
  void OnData(std::uint64_t offset, std::string_view bytes) override;
  void OnEnd(const AnswerEnd& end) override;
  bool IsReady() const override;
  bool IsOpen() const override { return m_responder->IsOpen(); }

 private:
  std::shared_ptr<HttpResponder> m_responder;
  RequestId m_id;
  std::minstd_rand& m_jitter;
  bool m_is_started = false;
  std::string m_unfinished;  ///< first bytes of a character whose rest has not come yet
  std::uint64_t m_end_offset = 0;
};

/// @return the line that ends an answer with this error
std::string ErrorLine(const Error& error);

/// Sends an error as a whole response: status, outcome class and retry advice from the table.
void SendError(HttpResponder& responder, const Error& error, std::minstd_rand& jitter,
               const RequestId& id = {});

}  // namespace bluebellpass
