#include "resume-token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace bluebellpass {
namespace {

constexpr std::size_t kSignatureBytes = 16;
constexpr std::string_view kHexDigits = "0123456789abcdef";

std::string ComputeSignature(const std::string& key, const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  // The prefix separates these signatures from other uses of the same key.
  const std::string input = "resume-token\n" + text;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest.data(), &length);
  std::string hex;
  for (std::size_t i = 0; i < kSignatureBytes; ++i) {
    hex += kHexDigits[digest[i] >> 4U];
    hex += kHexDigits[digest[i] & 15U];
  }
  return hex;
}

bool IsEqualConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

std::string ResumeTokenSigner::Sign(const StreamLocation& location) const {
  const std::string text = location.backend.Text() + "~" + location.stream_id;
  return text + "~" + ComputeSignature(m_keys.front(), text);
}

Result<StreamLocation> ResumeTokenSigner::Verify(std::string_view token) const {
  const Error error{ErrorKind::kBadRequest, "token is not a valid resume token", "token"};
  const std::size_t first_separator = token.find('~');
  const std::size_t last_separator = token.rfind('~');
  if (first_separator == std::string_view::npos || first_separator == last_separator) return error;
  const std::string text(token.substr(0, last_separator));
  const std::string_view signature = token.substr(last_separator + 1);
  const bool is_signed = std::any_of(m_keys.begin(), m_keys.end(), [&](const std::string& key) {
    return IsEqualConstantTime(signature, ComputeSignature(key, text));
  });
  if (!is_signed) return error;
  return StreamLocation{BackendId(text.substr(0, first_separator)),
                        text.substr(first_separator + 1)};
}

}  // namespace bluebellpass
