#include "poplartrack/config/RevisionRecord.h"

#include <nlohmann/json.hpp>

namespace poplartrack {
namespace {

using Json = nlohmann::json;

/** Length of a revision's key: the digits of the largest 64-bit number. */
constexpr std::size_t kRevisionKeyDigits = 20;

/** Reads JSON into a typed value; turns exceptions of the JSON library into
 * BadSettings. aWhat names the kind of text in the error. */
template<typename T, typename Read>
Result<T>
readJson(std::string_view aText, std::string_view aWhat, Read&& aRead)
{
  try {
    return aRead(Json::parse(aText));
  } catch (const Json::exception& problem) {
    return fail(ErrorKind::BadSettings,
                "no " + std::string{ aWhat } + ": " + problem.what());
  }
}

} // namespace

std::string
toText(const ConfigHead& aHead)
{
  return Json{
    { "revision", aHead.revision }, { "change", aHead.changeId }
  }.dump();
}

std::string
toText(const RevisionRecord& aRecord)
{
  return Json{
    { "revision", aRecord.revision }, { "change", aRecord.changeId },
    { "author", aRecord.author },     { "at", aRecord.atSeconds },
    { "note", aRecord.note },         { "files", aRecord.files },
    { "update", aRecord.update }
  }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
toText(const std::vector<StoredFile>& aFiles)
{
  Json files = Json::array();
  for (const StoredFile& stored : aFiles) {
    files.push_back({ { "name", stored.file.name },
                      { "text", stored.file.text },
                      { "changed_by", stored.changedBy },
                      { "changed_in", stored.changedIn } });
  }
  return files.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ConfigHead>
configHeadFromText(std::string_view aText)
{
  return readJson<ConfigHead>(aText, "head row", [](const Json& aJson) {
    return ConfigHead{ aJson.at("revision").get<std::uint64_t>(),
                       aJson.at("change").get<std::string>() };
  });
}

Result<RevisionRecord>
revisionRecordFromText(std::string_view aText)
{
  return readJson<RevisionRecord>(aText, "history row", [](const Json& aJson) {
    return RevisionRecord{ aJson.at("revision").get<std::uint64_t>(),
                           aJson.at("change").get<std::string>(),
                           aJson.at("author").get<std::string>(),
                           aJson.at("at").get<std::int64_t>(),
                           aJson.at("note").get<std::string>(),
                           aJson.at("files").get<std::vector<std::string>>(),
                           aJson.at("update").get<std::string>() };
  });
}

Result<std::vector<StoredFile>>
storedFilesFromText(std::string_view aText)
{
  using Files = std::vector<StoredFile>;
  return readJson<Files>(aText, "files object", [](const Json& aJson) {
    Files files;
    for (const Json& entry : aJson) {
      files.push_back(
        StoredFile{ { entry.at("name").get<std::string>(),
                      entry.at("text").get<std::string>() },
                    entry.at("changed_by").get<std::string>(),
                    entry.at("changed_in").get<std::uint64_t>() });
    }
    return files;
  });
}

std::string
revisionKey(std::uint64_t aRevision)
{
  const std::string digits = std::to_string(aRevision);
  return std::string(kRevisionKeyDigits - digits.size(), '0') + digits;
}

std::string
textObjectName(std::uint64_t aRevision, const std::string& aChangeId)
{
  return "config/" + std::to_string(aRevision) + "-" + aChangeId;
}

std::string
filesObjectName(std::uint64_t aRevision, const std::string& aChangeId)
{
  return textObjectName(aRevision, aChangeId) + ".files";
}

} // namespace poplartrack
