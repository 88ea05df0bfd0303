#pragma once

#include <memory>
#include <random>
#include <string>

#include "home/answer.h"
#include "kernel/http-server.h"

namespace bluebellpass {

/// Writes an answer to an HTTP response as NDJSON: a head line, data lines with their offsets and
/// an end line. The HTTP status is 200 if the answer has a head, else that of the error.
class HttpSink : public AnswerSink {
 public:
  /// @param id sent to the caller in the header bluebellpass-request-id
  /// @param random source of the jitter in retry-after headers
  HttpSink(std::shared_ptr<HttpResponder> responder, RequestId id, std::minstd_rand& random);

  void OnHead(const AnswerHead& head) override;
  void OnData(std::uint64_t offset, std::string_view bytes) override;
  void OnEnd(const AnswerEnd& end) override;
  bool IsReady() const override;
  bool IsOpen() const override { return m_responder->IsOpen(); }

 private:
  std::shared_ptr<HttpResponder> m_responder;
  RequestId m_id;
  std::minstd_rand& m_random;
  bool m_has_head = false;
  std::string m_incomplete_character;  ///< first bytes of a UTF-8 character, kept until its rest
  std::uint64_t m_end_offset = 0;      ///< of the bytes received so far
};

/// @return the end line of an answer that failed with this error
std::string MakeErrorLine(const Error& error);

/// Sends an error as a complete response, with status, outcome and retry advice from ErrorTable().
/// @param random source of the jitter in the retry-after header
void SendError(HttpResponder& responder, const Error& error, std::minstd_rand& random,
               const RequestId& id = {});

}  // namespace bluebellpass
