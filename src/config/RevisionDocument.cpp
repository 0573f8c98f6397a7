#include "poplartrack/config/RevisionDocument.h"

#include <set>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "RevisionJson.h"
#include "poplartrack/config/RevisionText.h"
#include "poplartrack/config/SecretHash.h"

namespace poplartrack {
namespace {

using Json = nlohmann::json;

/** Names of the entries that some steps change. */
struct TouchedEntries
{
  std::set<std::string> models;
  std::set<std::string> services;
  std::set<std::string> accounts;
  /** The steps change something else too, so everything is read again. */
  bool everything = false;

  /** Returns the names of a kind of entry; null for an unknown kind. */
  std::set<std::string>* namesOfKind(std::string_view aKind)
  {
    if (aKind == "models") {
      return &this->models;
    }
    if (aKind == "services") {
      return &this->services;
    }
    return aKind == "accounts" ? &this->accounts : nullptr;
  }

  /** Records the path of one JSON Patch operation. */
  void recordPath(std::string_view aPath)
  {
    constexpr std::string_view kSettings = "/settings/";
    if (aPath == "/revision") {
      return;
    }
    if (!aPath.starts_with(kSettings)) {
      this->everything = true;
      return;
    }
    aPath.remove_prefix(kSettings.size());
    const auto slash = aPath.find('/');
    std::set<std::string>* names = this->namesOfKind(aPath.substr(0, slash));
    if (names == nullptr || slash == std::string_view::npos) {
      this->everything = true;
      return;
    }
    aPath.remove_prefix(slash + 1);
    const std::string_view name = aPath.substr(0, aPath.find('/'));
    // JSON Pointer escapes '/' and '~' in a name with '~'. Names of settings
    // contain neither, so after a name with '~' everything is read again.
    this->everything =
      this->everything || name.find('~') != std::string_view::npos;
    names->emplace(name);
  }
};

/** Returns the entries that some steps change. */
TouchedEntries
entriesTouchedBy(const Json& aSteps)
{
  TouchedEntries touched;
  for (const Json& step : aSteps) {
    for (const Json& operation : step) {
      touched.recordPath(operation.at("path").get_ref<const std::string&>());
      if (operation.contains("from")) {
        touched.recordPath(operation.at("from").get_ref<const std::string&>());
      }
    }
  }
  return touched;
}

/** Copies the named entries of one kind from aSettings to aPart. Entries that
 * the steps removed are left out. */
void
copyEntries(const Json& aSettings,
            const char* aKind,
            const std::set<std::string>& aNames,
            Json& aPart)
{
  const auto entries = aSettings.find(aKind);
  if (entries == aSettings.end()) {
    return;
  }
  for (const std::string& name : aNames) {
    if (const auto entry = entries->find(name); entry != entries->end()) {
      aPart[aKind][name] = *entry;
    }
  }
}

/** Replaces the named entries by those of aPart, which lacks removed ones. */
template<typename Entries>
void
replaceEntries(Entries& aEntries,
               const std::set<std::string>& aNames,
               Entries& aPart)
{
  for (const std::string& name : aNames) {
    aEntries.erase(name);
  }
  aEntries.merge(aPart);
}

/** Returns aBefore with the touched entries read again from aSettings. */
Result<Configuration>
rebuild(const Configuration& aBefore,
        const Json& aSettings,
        const TouchedEntries& aTouched)
{
  if (aTouched.everything) {
    return configurationFromSettings(aSettings);
  }
  Json settings = Json::object();
  copyEntries(aSettings, "models", aTouched.models, settings);
  copyEntries(aSettings, "services", aTouched.services, settings);
  copyEntries(aSettings, "accounts", aTouched.accounts, settings);
  Result<Configuration> part = configurationFromSettings(settings);
  if (!part) {
    return part;
  }
  Configuration next = aBefore;
  replaceEntries(next.models, aTouched.models, part.value().models);
  replaceEntries(next.services, aTouched.services, part.value().services);
  replaceEntries(next.accounts, aTouched.accounts, part.value().accounts);
  return next;
}

} // namespace

struct RevisionDocument::Parsed
{
  Json json;
};

RevisionDocument::RevisionDocument(
  std::string aText,
  std::unique_ptr<Parsed> aParsed,
  std::shared_ptr<const Configuration> aConfiguration)
  : canonical(std::move(aText))
  , parsed(std::move(aParsed))
  , current(std::move(aConfiguration))
{
}

RevisionDocument::RevisionDocument(RevisionDocument&& aOther) noexcept =
  default;
RevisionDocument&
RevisionDocument::operator=(RevisionDocument&& aOther) noexcept = default;
RevisionDocument::~RevisionDocument() = default;

Result<RevisionDocument>
RevisionDocument::create(std::string aText)
{
  Result<Configuration> configuration = fromRevisionText(aText);
  if (!configuration) {
    return configuration.error();
  }
  auto parsed =
    std::make_unique<Parsed>(Parsed{ Json::parse(aText, nullptr, false) });
  return RevisionDocument{ std::move(aText),
                           std::move(parsed),
                           std::make_shared<const Configuration>(
                             std::move(configuration).value()) };
}

Result<Done>
RevisionDocument::apply(const RevisionUpdate& aUpdate)
{
  if (aUpdate.from != this->current->revision) {
    return fail(ErrorKind::Conflict, "the update starts elsewhere");
  }
  Result<Configuration> next =
    fail(ErrorKind::Malformed, "the update gives another text");
  std::string text;
  Json& json = this->parsed->json;
  try {
    const Json update = parseRevisionJson(aUpdate.text);
    for (const Json& step : update.at("steps")) {
      json.patch_inplace(step);
    }
    text = json.dump();
    // A step that was made from another text may apply without an error, yet
    // give settings that nobody pushed. The hash of the pushed text detects it.
    if (sha256Hex(text) == update.at("sha256").get_ref<const std::string&>()) {
      next = rebuild(*this->current,
                     json.at("settings"),
                     entriesTouchedBy(update.at("steps")));
    }
  } catch (const Json::exception& problem) {
    next = fail(ErrorKind::Malformed, problem.what());
  }
  if (!next) {
    json = Json::parse(this->canonical, nullptr, false);
    return next.error();
  }
  next.value().revision = aUpdate.to;
  this->current =
    std::make_shared<const Configuration>(std::move(next).value());
  this->canonical = std::move(text);
  return Done{};
}

} // namespace poplartrack
