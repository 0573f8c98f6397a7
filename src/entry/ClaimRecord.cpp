#include "poplartrack/entry/ClaimRecord.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace poplartrack {
namespace {

using Json = nlohmann::json;

constexpr auto kLastState =
  static_cast<std::uint32_t>(ClaimState::AnsweredUnkept);

} // namespace

std::string
toText(const ClaimRecord& aRecord)
{
  const Json text{ { "token", aRecord.token },
                   { "digest", aRecord.digest },
                   { "state", static_cast<std::uint32_t>(aRecord.state) },
                   { "status", aRecord.status },
                   { "body", aRecord.body },
                   { "ended_unknown", aRecord.endedUnknown } };
  return text.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ClaimRecord>
claimRecordFromText(std::string_view aText)
{
  const Json text = Json::parse(aText, nullptr, false);
  const auto has = [&text](const char* aName, auto aIsRight) {
    const auto found = text.find(aName);
    return found != text.end() && aIsRight(*found);
  };
  const auto isText = [](const Json& aValue) { return aValue.is_string(); };
  const auto isNumber = [](const Json& aValue) {
    return aValue.is_number_unsigned();
  };
  const bool isWhole = text.is_object() && has("token", isText) &&
                       has("digest", isText) && has("body", isText) &&
                       has("state", isNumber) && has("status", isNumber) &&
                       text["state"].get<std::uint64_t>() <= kLastState;
  if (!isWhole) {
    return fail(ErrorKind::Malformed, "the row is not a claim");
  }
  ClaimRecord record;
  record.token = text["token"].get<std::string>();
  record.digest = text["digest"].get<std::string>();
  record.state = static_cast<ClaimState>(text["state"].get<std::uint32_t>());
  record.status = text["status"].get<std::uint32_t>();
  record.body = text["body"].get<std::string>();
  record.endedUnknown = has("ended_unknown", [](const Json& aValue) {
    return aValue.is_boolean() && aValue.get<bool>();
  });
  return record;
}

bool
canKeepBody(std::string_view aBody)
{
  if (aBody.size() > kMaxClaimBody) {
    return false;
  }
  // Replacing invalid bytes would make retries return a different answer.
  const std::string kept =
    Json(aBody).dump(-1, ' ', false, Json::error_handler_t::replace);
  const Json read = Json::parse(kept, nullptr, false);
  return read.is_string() && read.get_ref<const std::string&>() == aBody;
}

std::string
claimRowKey(std::string_view aAccount, std::string_view aKey)
{
  // The length distinguishes "a" + "b:c" from "a:b" + "c".
  std::string text = std::to_string(aAccount.size());
  text += ':';
  text += aAccount;
  text += ':';
  text += aKey;
  return text;
}

std::string
bodyDigest(std::string_view aService,
           std::string_view aOperation,
           std::string_view aBody)
{
  std::string text = claimRowKey(aService, aOperation);
  text += '\0';
  text += aBody;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return std::to_string(hash.high64) + "-" + std::to_string(hash.low64);
}

} // namespace poplartrack
