#include "ConfigurationTree.h"

#include "SettingsBinding.h"

namespace poplartrack {
namespace {

/** The endpoints of models report this name as their service, so no service may
 * have it. */
constexpr std::string_view kReservedServiceName = "engine";

ModelSpec
modelFrom(const SettingsNode& aNode)
{
  ModelSpec model;
  bind(aNode, "layers", model.layers);
  bind(aNode, "version", model.version);
  bind(aNode, "min_copies", model.minCopies);
  bind(aNode, "max_prompt_tokens", model.maxPromptTokens);
  bind(aNode, "max_answer_tokens", model.maxAnswerTokens);
  bind(aNode, "weight", model.weight);
  forEachEntry(aNode, "versions", [&](const auto& aName, const auto& aVersion) {
    bind(aVersion, "weights", model.versions[aName].weights);
  });
  return model;
}

ServiceSpec
serviceFrom(const SettingsNode& aNode)
{
  ServiceSpec service;
  bind(aNode, "weight", service.weight);
  forEachEntry(
    aNode, "operations", [&](const auto& aName, const auto& aOperation) {
      bind(aOperation, "idempotent", service.operations[aName].idempotent);
    });
  return service;
}

AccountSpec
accountFrom(const SettingsNode& aNode)
{
  AccountSpec account;
  bind(aNode, "secret_sha256", account.secretSha256);
  bind(aNode, "requests_per_second", account.requestsPerSecond);
  bind(aNode, "tokens_per_second", account.tokensPerSecond);
  bind(aNode, "burst_seconds", account.burstSeconds);
  bind(aNode, "weight", account.weight);
  std::string highest{ nameOf(account.highestPriority) };
  bind(aNode, "highest_priority", highest);
  account.highestPriority =
    priorityFromName(highest).value_or(account.highestPriority);
  return account;
}

/** Adds the problems that checkConsistency() finds. aFiles are the names of the
 * files to which the nodes of the tree refer. */
class ConsistencyCheck
{
public:
  ConsistencyCheck(const std::vector<std::string>& aFiles,
                   std::vector<SettingsProblem>& aProblems)
    : files(aFiles)
    , problems(aProblems)
  {
  }

  void checkModel(const std::string& aName, const SettingsNode& aNode)
  {
    const SettingsNode* version = aNode.find("version");
    if (version == nullptr) {
      return;
    }
    const auto* versionName = std::get_if<std::string>(&version->value);
    if (versionName == nullptr) {
      return;
    }
    std::vector<std::string> declared;
    forEachEntry(aNode, "versions", [&](const auto& aVersion, const auto&) {
      declared.push_back(aVersion);
    });
    std::string declaredList;
    for (const std::string& name : declared) {
      if (name == *versionName) {
        return;
      }
      declaredList += (declaredList.empty() ? "" : ", ") + name;
    }
    this->addProblem(
      *version,
      "models." + aName + ".version",
      "version \"" + *versionName + "\" is not declared; " +
        (declaredList.empty()
           ? "add [models." + aName + ".versions." + *versionName + "]"
           : "declared: " + declaredList));
  }

  void checkService(const std::string& aName, const SettingsNode& aNode)
  {
    if (aName == kReservedServiceName) {
      this->addProblem(aNode,
                       "services." + aName,
                       "the name is reserved for the endpoints of models; use "
                       "another");
    }
  }

  void checkLimits(const SettingsNode& aRoot)
  {
    const SettingsNode* limits = aRoot.find("limits");
    if (limits == nullptr) {
      return;
    }
    RequestLimits read;
    this->readMilliseconds(
      *limits, "default_deadline_ms", read.defaultDeadline);
    this->readMilliseconds(*limits, "max_deadline_ms", read.maxDeadline);
    if (read.defaultDeadline <= read.maxDeadline) {
      return;
    }
    const SettingsNode* given = limits->find("default_deadline_ms");
    this->addProblem(given != nullptr ? *given : *limits,
                     "limits.default_deadline_ms",
                     "is above limits.max_deadline_ms; write at most " +
                       std::to_string(read.maxDeadline.count() / 1000));
  }

  void checkFloorShares(const SettingsNode& aRoot)
  {
    double sum = 0;
    const SettingsNode* last = nullptr;
    forEachEntry(aRoot, "priorities", [&](const auto&, const auto& aPriority) {
      const SettingsNode* share = aPriority.find("floor_share");
      if (share != nullptr &&
          (std::holds_alternative<double>(share->value) ||
           std::holds_alternative<std::int64_t>(share->value))) {
        double value = 0;
        bind(aPriority, "floor_share", value);
        // checkSettings() reports a share outside [0, 1].
        if (value >= 0 && value <= 1) {
          sum += value;
          last = share;
        }
      }
    });
    if (sum > 1 && last != nullptr) {
      this->addProblem(*last,
                       "priorities",
                       "the floor shares add up to more than 1; lower them");
    }
  }

private:
  /** Reads a duration if the key has a valid value; keeps the default if not.
   */
  void readMilliseconds(const SettingsNode& aTable,
                        std::string_view aKey,
                        Duration& aField)
  {
    const SettingsNode* node = aTable.find(aKey);
    const auto* number =
      node == nullptr ? nullptr : std::get_if<std::int64_t>(&node->value);
    // checkSettings() reports a deadline that is not positive.
    if (number != nullptr && *number > 0) {
      bind(aTable, aKey, aField);
    }
  }

  void addProblem(const SettingsNode& aNode,
                  const std::string& aPath,
                  std::string aMessage)
  {
    this->problems.push_back(SettingsProblem{
      this->files[aNode.file], aNode.line, aPath, std::move(aMessage) });
  }

  const std::vector<std::string>& files;
  std::vector<SettingsProblem>& problems;
};

} // namespace

Configuration
configurationFrom(const SettingsNode& aRoot)
{
  Configuration configuration;
  forEachEntry(aRoot, "models", [&](const auto& aName, const auto& aNode) {
    configuration.models[aName] = modelFrom(aNode);
  });
  forEachEntry(aRoot, "services", [&](const auto& aName, const auto& aNode) {
    configuration.services[aName] = serviceFrom(aNode);
  });
  forEachEntry(aRoot, "accounts", [&](const auto& aName, const auto& aNode) {
    configuration.accounts[aName] = accountFrom(aNode);
  });
  forEachEntry(aRoot, "priorities", [&](const auto& aName, const auto& aNode) {
    if (const auto priority = priorityFromName(aName)) {
      bind(aNode,
           "floor_share",
           configuration.priorities[static_cast<std::size_t>(*priority)]
             .floorShare);
    }
  });
  if (const SettingsNode* limits = aRoot.find("limits")) {
    bind(*limits, "default_deadline_ms", configuration.limits.defaultDeadline);
    bind(*limits, "max_deadline_ms", configuration.limits.maxDeadline);
  }
  return configuration;
}

void
checkConsistency(const SettingsNode& aRoot,
                 const std::vector<std::string>& aFiles,
                 std::vector<SettingsProblem>& aProblems)
{
  ConsistencyCheck check{ aFiles, aProblems };
  forEachEntry(aRoot, "models", [&](const auto& aName, const auto& aNode) {
    check.checkModel(aName, aNode);
  });
  forEachEntry(aRoot, "services", [&](const auto& aName, const auto& aNode) {
    check.checkService(aName, aNode);
  });
  check.checkLimits(aRoot);
  check.checkFloorShares(aRoot);
}

} // namespace poplartrack
