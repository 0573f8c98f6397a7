#include "poplartrack/config/SecretHash.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace poplartrack {

std::string
sha256Hex(std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(
    aText.data(), aText.size(), digest.data(), &size, EVP_sha256(), nullptr);
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  constexpr unsigned int kLowNibbleMask = 0xF;
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    hex += kHexDigits[digest[i] >> 4U];
    hex += kHexDigits[digest[i] & kLowNibbleMask];
  }
  return hex;
}

bool
secretMatches(std::string_view aSecret, std::string_view aSha256Hex)
{
  const std::string hex = sha256Hex(aSecret);
  return hex.size() == aSha256Hex.size() &&
         CRYPTO_memcmp(hex.data(), aSha256Hex.data(), hex.size()) == 0;
}

} // namespace poplartrack
