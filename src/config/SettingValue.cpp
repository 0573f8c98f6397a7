#include "SettingValue.h"

#include <algorithm>
#include <cmath>

#include "poplartrack/base/Address.h"

namespace poplartrack {
namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kSha256HexDigits = 64;

bool
isChoice(std::string_view aChoices, std::string_view aWord)
{
  while (!aChoices.empty()) {
    const auto bar = aChoices.find('|');
    if (aChoices.substr(0, bar) == aWord) {
      return true;
    }
    aChoices.remove_prefix(bar == std::string_view::npos ? aChoices.size()
                                                         : bar + 1);
  }
  return false;
}

bool
isSha256(std::string_view aText)
{
  return aText.size() == kSha256HexDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool
isInRange(const SettingRow& aRow, double aNumber)
{
  return std::isfinite(aNumber) && aNumber >= aRow.min && aNumber <= aRow.max;
}

bool
isAddress(const SettingsNode& aNode)
{
  const auto* text = std::get_if<std::string>(&aNode.value);
  return text != nullptr && addressFromText(*text).ok();
}

} // namespace

bool
hasType(const SettingRow& aRow, const SettingsNode& aNode)
{
  switch (aRow.type) {
    case SettingType::Integer:
      return std::holds_alternative<std::int64_t>(aNode.value);
    case SettingType::Number:
      return std::holds_alternative<std::int64_t>(aNode.value) ||
             std::holds_alternative<double>(aNode.value);
    case SettingType::Boolean:
      return std::holds_alternative<bool>(aNode.value);
    case SettingType::AddressList:
      return std::holds_alternative<SettingsArray>(aNode.value);
    default:
      return std::holds_alternative<std::string>(aNode.value);
  }
}

bool
isValidValue(const SettingRow& aRow, const SettingsNode& aNode)
{
  switch (aRow.type) {
    case SettingType::Integer:
      return isInRange(
        aRow, static_cast<double>(std::get<std::int64_t>(aNode.value)));
    case SettingType::Number: {
      const auto* real = std::get_if<double>(&aNode.value);
      return isInRange(
        aRow,
        real != nullptr
          ? *real
          : static_cast<double>(std::get<std::int64_t>(aNode.value)));
    }
    case SettingType::Boolean:
      return true;
    case SettingType::Name:
      return isName(std::get<std::string>(aNode.value));
    case SettingType::Choice:
      return isChoice(aRow.choices, std::get<std::string>(aNode.value));
    case SettingType::Sha256:
      return isSha256(std::get<std::string>(aNode.value));
    case SettingType::AddressText:
      return isAddress(aNode);
    case SettingType::AddressList: {
      const auto& items = std::get<SettingsArray>(aNode.value);
      return std::all_of(items.begin(), items.end(), isAddress);
    }
  }
  return false;
}

std::string
valueText(const SettingsNode& aNode)
{
  if (const auto* text = std::get_if<std::string>(&aNode.value)) {
    return "\"" + text->substr(0, kMaxNameLength) + "\"";
  }
  if (const auto* integer = std::get_if<std::int64_t>(&aNode.value)) {
    return std::to_string(*integer);
  }
  if (const auto* real = std::get_if<double>(&aNode.value)) {
    return std::to_string(*real);
  }
  return "the " + std::string{ typeNameOf(aNode) };
}

bool
isName(std::string_view aText)
{
  const auto isNameCharacter = [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') ||
           (aCharacter >= 'A' && aCharacter <= 'Z') ||
           (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
           aCharacter == '_' || aCharacter == '.';
  };
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), isNameCharacter);
}

} // namespace poplartrack
