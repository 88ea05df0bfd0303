#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

/// Locates a stream on a backend server, so that its rest can be fetched after its home has died.
struct StreamLocation {
  BackendId backend;
  std::string stream_id;
};

/// Signs and verifies resume tokens, so that callers can read only streams for which they received
/// a token.
class ResumeTokenSigner {
 public:
  /// @param keys secrets shared by the instances; the first one signs, all verify. Not empty.
  explicit ResumeTokenSigner(std::vector<std::string> keys) : m_keys(std::move(keys)) {}

  /// @return "<backend server>~<stream id>~<signature>"
  std::string Sign(const StreamLocation& location) const;

  /// @return the signed location, or kBadRequest if the token is malformed or its signature invalid
  Result<StreamLocation> Verify(std::string_view token) const;

 private:
  std::vector<std::string> m_keys;
};

}  // namespace bluebellpass
