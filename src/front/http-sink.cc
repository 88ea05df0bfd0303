#include "http-sink.h"

#include <openssl/evp.h>

#include <nlohmann/json.hpp>
#include <vector>

namespace bluebellpass {
namespace {

using nlohmann::ordered_json;

constexpr std::size_t kMaxPendingBytes = 256U << 10U;
constexpr char kContentType[] = "application/x-ndjson";
constexpr char kIdHeader[] = "bluebellpass-request-id";
constexpr unsigned kRetryAfterLeastSeconds = 1;
constexpr unsigned kRetryAfterSpreadSeconds = 4;

std::string Line(const ordered_json& object) {
  return object.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

/// @return the number of bytes at the end that begin a UTF-8 character without finishing it
std::size_t UnfinishedBytes(std::string_view bytes) {
  for (std::size_t back = 1; back <= 3 && back <= bytes.size(); ++back) {
    const auto byte = static_cast<unsigned char>(bytes[bytes.size() - back]);
    if ((byte & 0xC0U) == 0x80U) continue;
    const std::size_t length = byte >= 0xF0U ? 4 : byte >= 0xE0U ? 3 : byte >= 0xC0U ? 2 : 1;
    return length > back ? back : 0;
  }
  return 0;
}

std::string Base64(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

/// @return a data line; bytes that are not UTF-8 travel as base64 under another name
std::string DataLine(std::uint64_t offset, std::string_view bytes) {
  try {
    return ordered_json{{"offset", offset}, {"data", bytes}}.dump() + "\n";
  } catch (const ordered_json::exception&) {
    return ordered_json{{"offset", offset}, {"base64", Base64(bytes)}}.dump() + "\n";
  }
}

ordered_json EndObject(const AnswerEnd& end, const RequestId& id) {
  ordered_json object = {{"end", true}, {"outcome", OutcomeName(end.outcome)}};
  if (!id.IsEmpty()) object["id"] = id.Text();
  if (!end.error) {
    object["length"] = end.length;
    return object;
  }
  object["error"] = GetErrorInfo(end.error->kind).name;
  object["message"] = end.error->message;
  if (!end.error->field.empty()) object["field"] = end.error->field;
  return object;
}

}  // namespace

std::string ErrorLine(const Error& error) {
  AnswerEnd end;
  end.outcome = GetErrorInfo(error.kind).outcome;
  end.error = error;
  return Line(EndObject(end, RequestId()));
}

HttpSink::HttpSink(std::shared_ptr<HttpResponder> responder, RequestId id, std::minstd_rand& jitter)
    : m_responder(std::move(responder)), m_id(std::move(id)), m_jitter(jitter) {}

void HttpSink::OnHead(const AnswerHead& head) {
  if (m_is_started) return;
  m_is_started = true;
  m_responder->Start(200, {{"content-type", kContentType}, {kIdHeader, m_id.Text()}});
  ordered_json line = {{"id", head.id.Text()}, {"backend", head.backend.Text()}};
  if (!head.resume_token.empty()) line["resume"] = head.resume_token;
  m_responder->Write(Line(line));
}

void HttpSink::OnData(std::uint64_t offset, std::string_view bytes) {
  // A character may be split over two pieces of the answer; JSON strings need whole ones.
  const std::string piece = std::exchange(m_unfinished, {}) + std::string(bytes);
  const std::uint64_t start = offset + bytes.size() - piece.size();
  const std::size_t whole = piece.size() - UnfinishedBytes(piece);
  m_unfinished = piece.substr(whole);
  if (whole > 0) m_responder->Write(DataLine(start, piece.substr(0, whole)));
  m_end_offset = offset + bytes.size();
}

void HttpSink::OnEnd(const AnswerEnd& end) {
  if (!m_is_started && end.error) return SendError(*m_responder, *end.error, m_jitter, m_id);
  if (!m_is_started) OnHead({m_id, {}, ""});
  if (!m_unfinished.empty()) {
    m_responder->Write(DataLine(m_end_offset - m_unfinished.size(), m_unfinished));
  }
  m_responder->Write(Line(EndObject(end, m_id)));
  m_responder->End();
}

bool HttpSink::IsReady() const { return m_responder->PendingBytes() < kMaxPendingBytes; }

void SendError(HttpResponder& responder, const Error& error, std::minstd_rand& jitter,
               const RequestId& id) {
  const ErrorInfo& answer = GetErrorInfo(error.kind);
  HttpHeaders headers = {{"content-type", kContentType}};
  if (!id.IsEmpty()) headers[kIdHeader] = id.Text();
  if (answer.retry == RetryAdvice::kLater) {
    // Spread over some seconds, so that refused callers do not come back all at once.
    const auto seconds = kRetryAfterLeastSeconds + jitter() % kRetryAfterSpreadSeconds;
    headers["retry-after"] = std::to_string(seconds);
  } else if (answer.retry == RetryAdvice::kElsewhere) {
    headers["retry-after"] = "0";
  }
  AnswerEnd end;
  end.outcome = answer.outcome;
  end.error = error;
  responder.Send(answer.http_status, headers, Line(EndObject(end, id)));
}

}  // namespace bluebellpass
