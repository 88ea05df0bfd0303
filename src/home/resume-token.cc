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

std::string Signature(const std::string& key, const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  // The prefix keeps these signatures apart from other uses of the same key.
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

bool IsEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

std::string ResumeTokenSigner::Sign(const StreamLocation& point) const {
  const std::string text = point.backend.Text() + "~" + point.stream_id;
  return text + "~" + Signature(m_keys.front(), text);
}

Result<StreamLocation> ResumeTokenSigner::Verify(std::string_view token) const {
  const Error error{ErrorKind::kBadRequest, "token is not a valid resume token", "token"};
  const std::size_t first = token.find('~');
  const std::size_t last = token.rfind('~');
  if (first == std::string_view::npos || first == last) return error;
  const std::string text(token.substr(0, last));
  const std::string_view signature = token.substr(last + 1);
  const bool is_signed = std::any_of(m_keys.begin(), m_keys.end(), [&](const std::string& key) {
    return IsEqual(signature, Signature(key, text));
  });
  if (!is_signed) return error;
  return StreamLocation{BackendId(text.substr(0, first)), text.substr(first + 1)};
}

}  // namespace bluebellpass
