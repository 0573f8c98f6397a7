#include "poplartrack/config/RevisionText.h"

#include <nlohmann/json.hpp>

#include "ConfigurationTree.h"
#include "RevisionJson.h"
#include "poplartrack/base/JsonDepth.h"
#include "poplartrack/config/SettingRow.h"
#include "poplartrack/config/SettingsCheck.h"

namespace poplartrack {
namespace {

using Json = nlohmann::json;

/** Deepest level that is read. Settings nest four levels; a deeper text is not
 * a configuration. */
constexpr int kMaxNesting = 8;

Json
toJson(const ModelSpec& aModel)
{
  Json versions = Json::object();
  for (const auto& [name, version] : aModel.versions) {
    versions[name] = { { "weights", version.weights } };
  }
  return { { "layers", aModel.layers },
           { "version", aModel.version },
           { "versions", std::move(versions) },
           { "min_copies", aModel.minCopies },
           { "max_prompt_tokens", aModel.maxPromptTokens },
           { "max_answer_tokens", aModel.maxAnswerTokens },
           { "weight", aModel.weight } };
}

Json
toJson(const ServiceSpec& aService)
{
  Json operations = Json::object();
  for (const auto& [name, operation] : aService.operations) {
    operations[name] = { { "idempotent", operation.idempotent } };
  }
  return { { "weight", aService.weight },
           { "operations", std::move(operations) } };
}

Json
toJson(const AccountSpec& aAccount)
{
  return { { "secret_sha256", aAccount.secretSha256 },
           { "requests_per_second", aAccount.requestsPerSecond },
           { "tokens_per_second", aAccount.tokensPerSecond },
           { "burst_seconds", aAccount.burstSeconds },
           { "weight", aAccount.weight },
           { "highest_priority", nameOf(aAccount.highestPriority) } };
}

std::int64_t
toMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/** Returns all settings as JSON, in the structure of the folder. */
Json
settingsJson(const Configuration& aConfiguration)
{
  Json settings = Json::object();
  for (const auto& [name, model] : aConfiguration.models) {
    settings["models"][name] = toJson(model);
  }
  for (const auto& [name, service] : aConfiguration.services) {
    settings["services"][name] = toJson(service);
  }
  for (const auto& [name, account] : aConfiguration.accounts) {
    settings["accounts"][name] = toJson(account);
  }
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    settings["priorities"][std::string{ kPriorityNames[i] }] = {
      { "floor_share", aConfiguration.priorities[i].floorShare }
    };
  }
  const RequestLimits& limits = aConfiguration.limits;
  settings["limits"] = {
    { "default_deadline_ms", toMilliseconds(limits.defaultDeadline) },
    { "max_deadline_ms", toMilliseconds(limits.maxDeadline) },
  };
  return settings;
}

/** Converts JSON to a settings tree. Values deeper than kMaxNesting, and of
 * kinds that settings do not have, stay empty. */
SettingsNode
toSettingsNode(const Json& aJson, int aDepth)
{
  SettingsNode node;
  if (aDepth > kMaxNesting) {
    return node;
  }
  if (aJson.is_object()) {
    SettingsTable entries;
    for (const auto& [key, child] : aJson.items()) {
      entries.emplace(key, toSettingsNode(child, aDepth + 1));
    }
    node.value = std::move(entries);
  } else if (aJson.is_string()) {
    node.value = aJson.get<std::string>();
  } else if (aJson.is_boolean()) {
    node.value = aJson.get<bool>();
  } else if (aJson.is_number_float()) {
    node.value = aJson.get<double>();
  } else if (aJson.is_number()) {
    node.value = aJson.get<std::int64_t>();
  }
  return node;
}

} // namespace

Json
parseRevisionJson(std::string_view aText)
{
  // An update has its steps around the settings.
  constexpr int kMaxTextNesting = 4 * kMaxNesting;
  return jsonDepth(aText) > kMaxTextNesting
           ? Json(Json::value_t::discarded)
           : Json::parse(aText, nullptr, false);
}

Result<Configuration>
configurationFromSettings(const nlohmann::json& aSettings)
{
  const SettingsNode root = toSettingsNode(aSettings, 0);
  const std::vector<std::string> files{ "revision" };
  std::vector<SettingsProblem> problems;
  checkSettings(root, folderSettings(), files, TreeExtent::Whole, problems);
  if (problems.empty()) {
    checkConsistency(root, files, problems);
  }
  if (!problems.empty()) {
    return fail(ErrorKind::BadSettings, toText(problems.front()));
  }
  return configurationFrom(root);
}

std::string
toRevisionText(const Configuration& aConfiguration)
{
  const Json text{ { "revision", aConfiguration.revision },
                   { "settings", settingsJson(aConfiguration) } };
  return text.dump();
}

Result<Configuration>
fromRevisionText(std::string_view aText)
{
  const Json text = parseRevisionJson(aText);
  if (!text.is_object() || !text.contains("revision") ||
      !text["revision"].is_number_unsigned() || !text.contains("settings")) {
    return fail(ErrorKind::BadSettings, "the text is no revision");
  }
  Result<Configuration> configuration =
    configurationFromSettings(text["settings"]);
  if (!configuration) {
    return configuration;
  }
  configuration.value().revision = text["revision"].get<std::uint64_t>();
  return configuration;
}

} // namespace poplartrack
