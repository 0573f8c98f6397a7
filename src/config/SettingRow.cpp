#include "poplartrack/config/SettingRow.h"

#include <array>
#include <charconv>

namespace poplartrack {
namespace {

using enum SettingType;

constexpr std::array kFolderSettings{
  SettingRow{ "models.*.layers",
              Integer,
              1,
              1000,
              "",
              "",
              "layers of the model" },
  SettingRow{ "models.*.version",
              Name,
              0,
              0,
              "",
              "",
              "version in force for new requests" },
  SettingRow{ "models.*.versions.*.weights",
              Name,
              0,
              0,
              "",
              "",
              "the version's weights in the weight store" },
  SettingRow{ "models.*.min_copies",
              Integer,
              1,
              1000,
              "",
              "1",
              "minimum number of complete copies that placement keeps" },
  SettingRow{ "models.*.max_prompt_tokens",
              Integer,
              1,
              32768,
              "",
              "4096",
              "longest prompt accepted, in tokens" },
  SettingRow{ "models.*.max_answer_tokens",
              Integer,
              1,
              32768,
              "",
              "1024",
              "longest answer that may be requested, in tokens" },
  SettingRow{ "models.*.weight",
              Number,
              0,
              1000,
              "",
              "1.0",
              "weight of one answer in the weighted goodput" },
  SettingRow{ "services.*.weight",
              Number,
              0,
              1000,
              "",
              "1.0",
              "weight of one answer in the weighted goodput" },
  SettingRow{ "services.*.operations.*.idempotent",
              Boolean,
              0,
              0,
              "",
              "true",
              "false: a call that runs at most once" },
  SettingRow{ "accounts.*.secret_sha256",
              Sha256,
              0,
              0,
              "",
              "",
              "SHA-256 of the account's secret" },
  SettingRow{ "accounts.*.requests_per_second",
              Number,
              0,
              1e6,
              "",
              "10.0",
              "limit on requests" },
  SettingRow{ "accounts.*.tokens_per_second",
              Number,
              0,
              1e9,
              "",
              "10000.0",
              "limit on prompt and answer tokens together" },
  SettingRow{ "accounts.*.burst_seconds",
              Number,
              0.1,
              3600,
              "",
              "2.0",
              "burst size: how many seconds of unused limit accumulate" },
  SettingRow{ "accounts.*.weight",
              Number,
              0.001,
              1000,
              "",
              "1.0",
              "share relative to other accounts under overload" },
  SettingRow{ "accounts.*.highest_priority",
              Choice,
              0,
              0,
              "high|normal|low",
              "\"normal\"",
              "highest priority that the account may request" },
  SettingRow{ "priorities.high.floor_share",
              Number,
              0,
              1,
              "",
              "0.0",
              "minimum share of the capacity reserved for this priority" },
  SettingRow{ "priorities.normal.floor_share",
              Number,
              0,
              1,
              "",
              "0.0",
              "minimum share of the capacity reserved for this priority" },
  SettingRow{ "priorities.low.floor_share",
              Number,
              0,
              1,
              "",
              "0.0",
              "minimum share of the capacity reserved for this priority" },
  SettingRow{ "limits.default_deadline_ms",
              Integer,
              1,
              3600000,
              "",
              "30000",
              "deadline of a request that gives none" },
  SettingRow{ "limits.max_deadline_ms",
              Integer,
              1,
              3600000,
              "",
              "120000",
              "longest deadline that may be asked for" },
};

std::string
numberText(double aNumber)
{
  std::array<char, 32> buffer{};
  const auto end = std::to_chars(buffer.data(),
                                 buffer.data() + buffer.size(),
                                 aNumber,
                                 std::chars_format::fixed);
  return { buffer.data(), end.ptr };
}

std::string
rangeText(const SettingRow& aRow)
{
  return numberText(aRow.min) + " to " + numberText(aRow.max);
}

std::string
choicesText(std::string_view aChoices)
{
  std::string text{ aChoices };
  for (auto bar = text.find('|'); bar != std::string::npos;
       bar = text.find('|')) {
    text.replace(bar, 1, ", ");
  }
  return text;
}

} // namespace

std::span<const SettingRow>
folderSettings()
{
  return kFolderSettings;
}

std::string
expectedValueText(const SettingRow& aRow)
{
  switch (aRow.type) {
    case Integer:
      return "an integer from " + rangeText(aRow);
    case Number:
      return "a number from " + rangeText(aRow);
    case Boolean:
      return "true or false";
    case Name:
      return "a name (letters, digits, '-', '_', '.', at most 64)";
    case Choice:
      return "one of " + choicesText(aRow.choices);
    case Sha256:
      return "64 lower-case hex digits (SHA-256)";
    case SettingType::AddressText:
      return "an address \"A.B.C.D:PORT\"";
    case AddressList:
      return "a list of addresses [\"A.B.C.D:PORT\", ...]";
  }
  return {};
}

std::string
toDocTableRow(const SettingRow& aRow)
{
  const std::string defaultText =
    aRow.required() ? "required" : "`" + std::string{ aRow.defaultValue } + "`";
  return "| `" + std::string{ aRow.path } + "` | " + expectedValueText(aRow) +
         " | " + defaultText + " | " + std::string{ aRow.description } + " |";
}

} // namespace poplartrack
