#include "poplartrack/retry/Fingerprint.h"

#include <array>
#include <cstring>
#include <initializer_list>
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

Fingerprint
hashOf(std::initializer_list<std::string_view> aTexts)
{
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> hash{
    EVP_MD_CTX_new(), &EVP_MD_CTX_free
  };
  EVP_DigestInit_ex(hash.get(), EVP_sha256(), nullptr);
  for (const std::string_view text : aTexts) {
    add(hash.get(), text);
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  EVP_DigestFinal_ex(hash.get(), digest.data(), nullptr);
  Fingerprint fingerprint;
  std::memcpy(&fingerprint.high, digest.data(), sizeof fingerprint.high);
  std::memcpy(&fingerprint.low,
              digest.data() + sizeof fingerprint.high,
              sizeof fingerprint.low);
  return fingerprint;
}

} // namespace

Fingerprint
fingerprintOf(const RequestContent& aContent)
{
  return hashOf({ aContent.account,
                  aContent.host,
                  aContent.method,
                  aContent.target,
                  aContent.body,
                  aContent.promptParts });
}

Fingerprint
fingerprintOfPart(std::string_view aPart)
{
  return hashOf({ "part", aPart });
}

Fingerprint
fingerprintOfPart(std::string_view aPart, std::string_view aAccount)
{
  return hashOf({ "account part", aAccount, aPart });
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
