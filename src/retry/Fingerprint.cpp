#include "poplartrack/retry/Fingerprint.h"

#include <array>
#include <cstring>
#include <memory>

#include <openssl/evp.h>

#include "poplartrack/base/RequestId.h"

namespace poplartrack {
namespace {

/** Adds the length of a text and the text to the hash. The length marks where
 * the text ends: two different contents never hash the same bytes. */
void
add(EVP_MD_CTX* aHash, std::string_view aText)
{
  const std::uint64_t size = aText.size();
  EVP_DigestUpdate(aHash, &size, sizeof size);
  EVP_DigestUpdate(aHash, aText.data(), aText.size());
}

} // namespace

Fingerprint
fingerprintOf(const RequestContent& aContent)
{
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> hash{
    EVP_MD_CTX_new(), &EVP_MD_CTX_free
  };
  EVP_DigestInit_ex(hash.get(), EVP_sha256(), nullptr);
  add(hash.get(), aContent.account);
  add(hash.get(), aContent.host);
  add(hash.get(), aContent.method);
  add(hash.get(), aContent.target);
  add(hash.get(), aContent.body);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  EVP_DigestFinal_ex(hash.get(), digest.data(), nullptr);
  Fingerprint fingerprint;
  std::memcpy(&fingerprint.high, digest.data(), sizeof fingerprint.high);
  std::memcpy(&fingerprint.low,
              digest.data() + sizeof fingerprint.high,
              sizeof fingerprint.low);
  return fingerprint;
}

std::string
toText(const Fingerprint& aFingerprint)
{
  return toText(RequestId{ aFingerprint.high, aFingerprint.low });
}

std::optional<Fingerprint>
fingerprintFromText(std::string_view aText)
{
  const std::optional<RequestId> bits = requestIdFromText(aText);
  if (!bits) {
    return std::nullopt;
  }
  return Fingerprint{ bits->high, bits->low };
}

} // namespace poplartrack
