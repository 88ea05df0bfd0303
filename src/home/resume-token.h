#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

/// Where the rest of an answer can be fetched after its home has died.
struct StreamLocation {
  BackendId backend;
  std::string stream_id;
};

/// Signs and checks resume tokens, so that a caller can read only streams that it was given.
class ResumeTokenSigner {
 public:
  /// @param keys shared secrets of the instances; the first signs, all are accepted
  explicit ResumeTokenSigner(std::vector<std::string> keys) : m_keys(std::move(keys)) {}

  /// @return "<backend server>~<stream id>~<signature>"
  std::string Sign(const StreamLocation& point) const;

  /// @return where to resume, or kBadRequest for a token that no instance has signed
  Result<StreamLocation> Verify(std::string_view token) const;

 private:
  std::vector<std::string> m_keys;
};

}  // namespace bluebellpass
