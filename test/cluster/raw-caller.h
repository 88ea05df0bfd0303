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

/// A blocking TCP connection that can send malformed HTTP, which HTTP libraries refuse to send.
class RawCaller {
 public:
  explicit RawCaller(const Address& address);
  ~RawCaller();
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;
  RawCaller(RawCaller&& other) noexcept;
  RawCaller& operator=(RawCaller&& other) = delete;

  /// Sends bytes.
  /// @return false if the connection was closed or blocked before all bytes were sent
  bool Send(std::string_view bytes);
  /// Reads the next reply.
  /// @return nullopt if the connection is closed or the timeout expires before the reply is
  /// complete
  std::optional<RawReply> Read(Millis timeout = Millis{10'000});
  /// Waits until the other side closes the connection, and discards replies received before.
  /// @return false if the timeout expired first
  bool IsClosedWithin(Millis timeout);

 private:
  /// Receives more bytes.
  /// @return false if the connection is closed or the timeout expires first
  bool Receive(Millis timeout);
  /// Removes a reply from the received bytes.
  /// @return nullopt if it is incomplete
  std::optional<RawReply> ParseReply();

  int m_fd = -1;
  bool m_is_closed = false;
  std::string m_received;
};

/// @return an HTTP/1.1 request with a Content-Length if it has a body or is a POST
/// @param headers complete header lines, each with its line end
std::string RawRequest(const std::string& method, const std::string& path,
                       const std::string& body = "", const std::string& headers = "");

}  // namespace bluebellpass::test
