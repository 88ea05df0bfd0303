#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages for proxying: header fields keep their order and spelling. Based on the parser
/// of Boost.Beast.

namespace bluebellpass {

/// A header field, as received.
struct HttpField {
  std::string name;
  std::string value;
};

/// @return true if both strings are equal, ignoring case
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// @return true if a comma-separated field value contains a token, ignoring case
bool HasToken(std::string_view value, std::string_view token);

/// Start line and header fields of a request or response.
struct HttpHead {
  std::string method;  ///< requests only
  std::string target;  ///< requests only; includes the query
  int status = 0;      ///< responses only; 100 to 599
  int version = 11;    ///< 10 or 11
  std::vector<HttpField> fields;
  std::optional<std::uint64_t> content_length;  ///< stated length of the body, if any
  bool is_chunked = false;
  bool ends_with_connection = false;  ///< responses only; only its end shows where the body ends
  bool is_keep_alive = true;

  /// @return the value of the first field of this name, or null
  const std::string* Find(std::string_view name) const;
  /// @return the value of the first field of this name, or an empty string
  std::string Value(std::string_view name) const;
};

/// @return true for fields that apply to one connection only and are not forwarded
bool IsHopByHop(const HttpHead& head, std::string_view name);

enum class ParseStatus { kNeedMore, kMessageEnd, kFailed };

/// Parses the messages of one connection in sequence.
class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  struct Callbacks {
    std::function<void(HttpHead head)> on_head;
    std::function<void(std::string_view bytes)> on_body;
  };

  HttpParser(Kind kind, std::uint32_t max_header_bytes, Callbacks callbacks);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  /// Parses up to the end of the current message. Bytes after it are buffered for the next call
  /// after Restart.
  ParseStatus Parse(std::string_view bytes);
  /// Starts the next message. Must be called after kMessageEnd.
  /// @param has_no_body true for a response without a body, such as the response to a HEAD request
  void Restart(bool has_no_body = false);
  /// Tells the parser that the peer has closed the connection.
  /// @return kMessageEnd if the close completes the message
  ParseStatus ParseEnd();

  /// @return true between messages, before the first byte of the next one
  bool IsIdle() const;
  /// @return number of bytes received but not yet parsed
  std::size_t BufferedBytes() const;
  /// @return the error message, after kFailed
  const std::string& ErrorText() const;
  /// @return true after kFailed if the header exceeded its limit
  bool IsHeaderTooLong() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// @return the serialized head of a request
std::string SerializeRequest(std::string_view method, std::string_view target,
                             const std::vector<HttpField>& fields);
/// @return the serialized head of a response
std::string SerializeResponse(int status, const std::vector<HttpField>& fields);

}  // namespace bluebellpass
