#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "bluebellpass/types.h"

namespace bluebellpass::test {

struct RawReply {
  int status = 0;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;                            ///< without the chunk framing
};

/// A TCP connection that sends whatever a test wants, as no HTTP library would. Calls block.
class RawCaller {
 public:
  explicit RawCaller(const Address& address);
  ~RawCaller();
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;
  RawCaller(RawCaller&& other) noexcept;
  RawCaller& operator=(RawCaller&& other) = delete;

  /// Sends the bytes for as long as the other side takes them.
  /// @return false when the connection has been closed before the end
  bool Send(std::string_view bytes);
  /// Reads the next reply.
  /// @return nothing when the connection ends or the limit passes before the reply is whole
  std::optional<RawReply> Read(Millis limit = Millis{10'000});
  /// @return true once the other side has closed the connection; replies before that are dropped
  bool IsClosedWithin(Millis limit);

 private:
  /// @return false at the end of the stream or when nothing arrives within the limit
  bool Receive(Millis limit);
  std::optional<RawReply> TakeReply();

  int m_fd = -1;
  bool m_is_ended = false;
  std::string m_input;
};

/// @return an HTTP/1.1 request with a body of known length
std::string RawRequest(const std::string& method, const std::string& path,
                       const std::string& body = "", const std::string& headers = "");

}  // namespace bluebellpass::test
