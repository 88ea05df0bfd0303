#include "http1.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>
#include <limits>

namespace bluebellpass {
namespace {

namespace http = boost::beast::http;
using BeastError = boost::beast::error_code;
using BeastView = boost::beast::string_view;

constexpr std::array<std::string_view, 8> kHopByHopFields = {
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length"};

// RFC 9110, section 15.
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
// A decoded field takes far more memory than its few bytes in a head. Requests are limited by their
// bytes alone, as stated to callers.
constexpr std::size_t kMaxResponseFields = 256;

std::string ToString(BeastView text) { return {text.data(), text.size()}; }

/// @param bytes of a message, from its first one
/// @return true if a line of the head begins with a blank. Such lines used to continue the field
/// before (RFC 9112, section 5.2), and Beast's parser still reads them so.
bool HasFoldedField(std::string_view bytes) {
  const std::string_view head = bytes.substr(0, bytes.find("\r\n\r\n"));
  return head.find("\r\n ") != head.npos || head.find("\r\n\t") != head.npos;
}

/// Collects the head of a message from Beast's parser and passes on its body.
template <bool kIsRequest>
class MessageCollector : public http::basic_parser<kIsRequest> {
 public:
  explicit MessageCollector(HttpParser::Callbacks& callbacks) : m_callbacks(callbacks) {}
  HttpHead head;

 private:
  void on_request_impl(http::verb /*verb*/, BeastView method, BeastView target, int version,
                       BeastError& error) override {
    error = {};
    head.method = ToString(method);
    head.target = ToString(target);
    head.version = version;
  }
  void on_response_impl(int code, BeastView /*reason*/, int version, BeastError& error) override {
    error = {};
    if (code < kMinStatus || code > kMaxStatus) {
      error = http::error::bad_status;
      return;
    }
    head.status = code;
    head.version = version;
  }
  void on_field_impl(http::field /*field*/, BeastView name, BeastView value,
                     BeastError& error) override {
    error = {};
    // With an unsupported transfer coding the length of the body would be ambiguous.
    if (EqualsIgnoringCase({name.data(), name.size()}, "transfer-encoding") &&
        !EqualsIgnoringCase({value.data(), value.size()}, "chunked")) {
      error = http::error::bad_transfer_encoding;
      return;
    }
    if (!kIsRequest && head.fields.size() >= kMaxResponseFields) {
      error = http::error::header_limit;
      return;
    }
    head.fields.push_back({ToString(name), ToString(value)});
  }
  void on_header_impl(BeastError& error) override {
    error = {};
    head.is_chunked = this->chunked();
    head.is_keep_alive = this->keep_alive();
    head.ends_with_connection = !kIsRequest && this->need_eof();
    // Beast begins the body at its first byte. The head of a request must be known before, since
    // the client may wait for an answer to it.
    if constexpr (kIsRequest) {
      const auto length = this->content_length();
      if (length && *length > 0) head.content_length = *length;
      m_is_head_reported = true;
      m_callbacks.on_head(head);
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, BeastError& error) override {
    error = {};
    if (m_is_head_reported) return;
    if (length) head.content_length = *length;
    m_is_head_reported = true;
    m_callbacks.on_head(head);
  }
  std::size_t on_body_impl(BeastView body, BeastError& error) override {
    error = {};
    m_callbacks.on_body({body.data(), body.size()});
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, BeastView /*extensions*/,
                            BeastError& error) override {
    error = {};
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, BeastView body,
                                 BeastError& error) override {
    error = {};
    m_callbacks.on_body({body.data(), body.size()});
    return body.size();
  }
  void on_finish_impl(BeastError& error) override {
    error = {};
    if (!m_is_head_reported) m_callbacks.on_head(head);
  }

  HttpParser::Callbacks& m_callbacks;
  bool m_is_head_reported = false;
};

/// Beast's parser of a request or response. It expects bytes that it did not consume to be passed
/// again, so the caller buffers them.
class MessageParser {
 public:
  virtual ~MessageParser() = default;
  virtual std::size_t Feed(std::string_view bytes, BeastError& error) = 0;
  virtual void FeedEnd(BeastError& error) = 0;
  virtual bool IsDone() const = 0;
  virtual bool HasStarted() const = 0;
};

template <bool kIsRequest>
class BeastParser : public MessageParser {
 public:
  BeastParser(HttpParser::Callbacks& callbacks, std::uint32_t max_header_bytes, bool has_no_body)
      : m_parser(callbacks) {
    m_parser.eager(true);
    m_parser.header_limit(max_header_bytes);
    m_parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if constexpr (!kIsRequest) m_parser.skip(has_no_body);
  }
  std::size_t Feed(std::string_view bytes, BeastError& error) override {
    if (!kIsRequest && !m_parser.is_header_done() && HasFoldedField(bytes)) {
      error = http::error::bad_field;
      return 0;
    }
    const std::size_t used =
        m_parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    if (error == http::error::need_more) error = {};
    return used;
  }
  void FeedEnd(BeastError& error) override { m_parser.put_eof(error); }
  bool IsDone() const override { return m_parser.is_done(); }
  bool HasStarted() const override { return m_parser.got_some(); }

 private:
  MessageCollector<kIsRequest> m_parser;
};

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool HasToken(std::string_view value, std::string_view token) {
  while (!value.empty()) {
    const std::size_t end = std::min(value.find(','), value.size());
    std::string_view part = value.substr(0, end);
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    while (!part.empty() && part.back() == ' ') part.remove_suffix(1);
    if (EqualsIgnoringCase(part, token)) return true;
    value.remove_prefix(std::min(end + 1, value.size()));
  }
  return false;
}

const std::string* HttpHead::Find(std::string_view name) const {
  for (const HttpField& field : fields)
    if (EqualsIgnoringCase(field.name, name)) return &field.value;
  return nullptr;
}

std::string HttpHead::Value(std::string_view name) const {
  const std::string* value = Find(name);
  return value == nullptr ? std::string() : *value;
}

bool IsHopByHop(const HttpHead& head, std::string_view name) {
  const bool is_known = std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(),
                                    [&](auto known) { return EqualsIgnoringCase(known, name); });
  if (is_known) return true;
  const std::string* connection = head.Find("connection");
  return connection != nullptr && HasToken(*connection, name);
}

struct HttpParser::Impl {
  Kind kind;
  std::uint32_t max_header_bytes;
  Callbacks callbacks;
  std::unique_ptr<MessageParser> parser;
  std::string buffered;
  std::string error;
  bool is_header_too_long = false;
  bool is_done = false;

  void StartMessage(bool has_no_body) {
    is_done = false;
    if (kind == Kind::kRequest) {
      parser = std::make_unique<BeastParser<true>>(callbacks, max_header_bytes, has_no_body);
    } else {
      parser = std::make_unique<BeastParser<false>>(callbacks, max_header_bytes, has_no_body);
    }
  }

  ParseStatus UpdateStatus(const BeastError& code) {
    if (code) {
      error = code.message();
      is_header_too_long = code == http::error::header_limit;
      return ParseStatus::kFailed;
    }
    is_done = parser->IsDone();
    return is_done ? ParseStatus::kMessageEnd : ParseStatus::kNeedMore;
  }
};

HttpParser::HttpParser(Kind kind, std::uint32_t max_header_bytes, Callbacks callbacks)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->kind = kind;
  m_impl->max_header_bytes = max_header_bytes;
  m_impl->callbacks = std::move(callbacks);
  m_impl->StartMessage(false);
}

HttpParser::~HttpParser() = default;

ParseStatus HttpParser::Parse(std::string_view bytes) {
  Impl& impl = *m_impl;
  std::string_view input = bytes;
  if (!impl.buffered.empty()) {
    impl.buffered.append(bytes);
    input = impl.buffered;
  }
  std::size_t used = 0;
  ParseStatus status = impl.is_done ? ParseStatus::kMessageEnd : ParseStatus::kNeedMore;
  while (status == ParseStatus::kNeedMore && used < input.size()) {
    BeastError code;
    const std::size_t consumed = impl.parser->Feed(input.substr(used), code);
    used += consumed;
    status = impl.UpdateStatus(code);
    if (consumed == 0) break;
  }
  impl.buffered = std::string(input.substr(used));
  // Bytes that were not consumed belong to a head or to a chunk's size line.
  if (status == ParseStatus::kNeedMore && impl.buffered.size() > impl.max_header_bytes) {
    impl.error = "line too long";
    return ParseStatus::kFailed;
  }
  return status;
}

void HttpParser::Restart(bool has_no_body) { m_impl->StartMessage(has_no_body); }

ParseStatus HttpParser::ParseEnd() {
  if (!m_impl->parser->HasStarted()) return ParseStatus::kNeedMore;
  BeastError code;
  m_impl->parser->FeedEnd(code);
  return m_impl->UpdateStatus(code);
}

bool HttpParser::IsIdle() const {
  return !m_impl->parser->HasStarted() && m_impl->buffered.empty();
}

std::size_t HttpParser::BufferedBytes() const { return m_impl->buffered.size(); }
const std::string& HttpParser::ErrorText() const { return m_impl->error; }
bool HttpParser::IsHeaderTooLong() const { return m_impl->is_header_too_long; }

namespace {

void AppendFields(std::string& text, const std::vector<HttpField>& fields) {
  for (const HttpField& field : fields) {
    text += field.name;
    text += ": ";
    text += field.value;
    text += "\r\n";
  }
  text += "\r\n";
}

}  // namespace

std::string SerializeRequest(std::string_view method, std::string_view target,
                             const std::vector<HttpField>& fields) {
  std::string text;
  text.reserve(512);
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendFields(text, fields);
  return text;
}

std::string SerializeResponse(int status, const std::vector<HttpField>& fields) {
  std::string text;
  text.reserve(256);
  const BeastView reason = http::obsolete_reason(http::int_to_status(status));
  text.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  text.append(reason.data(), reason.size()).append("\r\n");
  AppendFields(text, fields);
  return text;
}

}  // namespace bluebellpass
