#include "poplartrack/config/RevisionUpdate.h"

#include <nlohmann/json.hpp>

#include "RevisionJson.h"
#include "poplartrack/config/SecretHash.h"

namespace poplartrack {
namespace {

using Json = nlohmann::json;

/** Returns the unsigned number under a key; 0 when there is none. */
std::uint64_t
unsignedAt(const Json& aJson, const char* aKey)
{
  const auto entry = aJson.find(aKey);
  return entry != aJson.end() && entry->is_number_unsigned()
           ? entry->get<std::uint64_t>()
           : 0;
}

/** Returns true for the JSON of a canonical text. */
bool
isWhole(const Json& aJson)
{
  return aJson.is_object() && aJson.contains("settings") &&
         unsignedAt(aJson, "revision") > 0;
}

/** Returns true for the JSON of an update by steps. */
bool
isSteps(const Json& aJson)
{
  return aJson.is_object() && aJson.contains("steps") &&
         aJson["steps"].is_array() && aJson.contains("sha256") &&
         aJson["sha256"].is_string() && unsignedAt(aJson, "from") > 0 &&
         unsignedAt(aJson, "to") > unsignedAt(aJson, "from");
}

RevisionUpdate
stepsUpdate(std::uint64_t aFrom,
            std::uint64_t aTo,
            Json aSteps,
            const std::string& aSha256)
{
  const Json text{ { "from", aFrom },
                   { "to", aTo },
                   { "steps", std::move(aSteps) },
                   { "sha256", aSha256 } };
  return RevisionUpdate{ aFrom, aTo, text.dump() };
}

} // namespace

Result<RevisionUpdate>
updateBetween(std::string_view aOldText, std::string_view aNewText)
{
  const Json before = parseRevisionJson(aOldText);
  const Json after = parseRevisionJson(aNewText);
  if (!isWhole(before) || !isWhole(after)) {
    return fail(ErrorKind::BadSettings, "the text is no revision");
  }
  return stepsUpdate(unsignedAt(before, "revision"),
                     unsignedAt(after, "revision"),
                     Json::array({ Json::diff(before, after) }),
                     sha256Hex(aNewText));
}

Result<RevisionUpdate>
joinUpdates(const std::vector<RevisionUpdate>& aUpdates)
{
  Json steps = Json::array();
  std::string sha256;
  for (std::size_t i = 0; i < aUpdates.size(); ++i) {
    const Json update = parseRevisionJson(aUpdates[i].text);
    const bool follows = i == 0 || aUpdates[i].from == aUpdates[i - 1].to;
    if (!isSteps(update) || !follows) {
      return fail(ErrorKind::BadSettings, "the updates do not follow");
    }
    for (const Json& step : update["steps"]) {
      steps.push_back(step);
    }
    sha256 = update["sha256"].get<std::string>();
  }
  if (aUpdates.empty()) {
    return fail(ErrorKind::BadSettings, "there is no update");
  }
  return stepsUpdate(
    aUpdates.front().from, aUpdates.back().to, std::move(steps), sha256);
}

Result<RevisionUpdate>
updateFromText(std::string_view aText)
{
  const Json update = parseRevisionJson(aText);
  if (isWhole(update)) {
    return RevisionUpdate{ 0,
                           unsignedAt(update, "revision"),
                           std::string{ aText } };
  }
  if (isSteps(update)) {
    return RevisionUpdate{ unsignedAt(update, "from"),
                           unsignedAt(update, "to"),
                           std::string{ aText } };
  }
  return fail(ErrorKind::BadSettings, "the text is no update");
}

} // namespace poplartrack
