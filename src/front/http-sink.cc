#include "http-sink.h"

#include <openssl/evp.h>

#include <nlohmann/json.hpp>
#include <vector>

namespace bluebellpass {
namespace {

using nlohmann::ordered_json;

constexpr std::size_t kMaxPendingBytes = 256U << 10U;
constexpr char kNdjsonType[] = "application/x-ndjson";
constexpr char kRequestIdHeader[] = "bluebellpass-request-id";
constexpr unsigned kMinRetryAfterSeconds = 1;
constexpr unsigned kRetryAfterJitterSeconds = 4;

std::string FormatLine(const ordered_json& object) {
  return object.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

/// @return length of the incomplete UTF-8 character at the end of the text; 0 if there is none
std::size_t IncompleteCharacterLength(std::string_view bytes) {
  for (std::size_t distance = 1; distance <= 3 && distance <= bytes.size(); ++distance) {
    const auto byte = static_cast<unsigned char>(bytes[bytes.size() - distance]);
    if ((byte & 0xC0U) == 0x80U) continue;
    const std::size_t length = byte >= 0xF0U ? 4 : byte >= 0xE0U ? 3 : byte >= 0xC0U ? 2 : 1;
    return length > distance ? distance : 0;
  }
  return 0;
}

std::string EncodeBase64(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

/// @return a data line, with the bytes in the member "data" if they are valid UTF-8, else as base64
/// in the member "base64"
std::string MakeDataLine(std::uint64_t offset, std::string_view bytes) {
  try {
    return ordered_json{{"offset", offset}, {"data", bytes}}.dump() + "\n";
  } catch (const ordered_json::exception&) {
    return ordered_json{{"offset", offset}, {"base64", EncodeBase64(bytes)}}.dump() + "\n";
  }
}

ordered_json MakeEndObject(const AnswerEnd& end, const RequestId& id) {
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

std::string MakeErrorLine(const Error& error) {
  AnswerEnd end;
  end.outcome = GetErrorInfo(error.kind).outcome;
  end.error = error;
  return FormatLine(MakeEndObject(end, RequestId()));
}

HttpSink::HttpSink(std::shared_ptr<HttpResponder> responder, RequestId id, std::minstd_rand& random)
    : m_responder(std::move(responder)), m_id(std::move(id)), m_random(random) {}

void HttpSink::OnHead(const AnswerHead& head) {
  if (m_has_head) return;
  m_has_head = true;
  m_responder->Start(200, {{"content-type", kNdjsonType}, {kRequestIdHeader, m_id.Text()}});
  ordered_json line = {{"id", head.id.Text()}, {"backend", head.backend.Text()}};
  if (!head.resume_token.empty()) line["resume"] = head.resume_token;
  m_responder->Write(FormatLine(line));
}

void HttpSink::OnData(std::uint64_t offset, std::string_view bytes) {
  // A UTF-8 character may be split between two calls, but a JSON string needs complete characters.
  const std::string text = std::exchange(m_incomplete_character, {}) + std::string(bytes);
  const std::uint64_t start_offset = offset + bytes.size() - text.size();
  const std::size_t complete_length = text.size() - IncompleteCharacterLength(text);
  m_incomplete_character = text.substr(complete_length);
  if (complete_length > 0)
    m_responder->Write(MakeDataLine(start_offset, text.substr(0, complete_length)));
  m_end_offset = offset + bytes.size();
}

void HttpSink::OnEnd(const AnswerEnd& end) {
  if (!m_has_head && end.error) return SendError(*m_responder, *end.error, m_random, m_id);
  if (!m_has_head) OnHead({m_id, {}, ""});
  if (!m_incomplete_character.empty()) {
    m_responder->Write(
        MakeDataLine(m_end_offset - m_incomplete_character.size(), m_incomplete_character));
  }
  m_responder->Write(FormatLine(MakeEndObject(end, m_id)));
  m_responder->End();
}

bool HttpSink::IsReady() const { return m_responder->PendingBytes() < kMaxPendingBytes; }

void SendError(HttpResponder& responder, const Error& error, std::minstd_rand& random,
               const RequestId& id) {
  const ErrorInfo& info = GetErrorInfo(error.kind);
  HttpHeaders headers = {{"content-type", kNdjsonType}};
  if (!id.IsEmpty()) headers[kRequestIdHeader] = id.Text();
  if (info.retry == RetryAdvice::kLater) {
    // The delay is random, so that rejected callers do not retry all at once.
    const auto seconds = kMinRetryAfterSeconds + random() % kRetryAfterJitterSeconds;
    headers["retry-after"] = std::to_string(seconds);
  } else if (info.retry == RetryAdvice::kElsewhere) {
    headers["retry-after"] = "0";
  }
  AnswerEnd end;
  end.outcome = info.outcome;
  end.error = error;
  responder.Send(info.http_status, headers, FormatLine(MakeEndObject(end, id)));
}

}  // namespace bluebellpass
