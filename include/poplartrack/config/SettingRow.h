#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace poplartrack {

/** What a setting's value must be. */
enum class SettingType : std::uint8_t
{
  Integer,
  Number,
  Boolean,
  /** A name: letters, digits, '-', '_' and '.', at most 64. */
  Name,
  /** One of the row's choices. */
  Choice,
  /** 64 lower-case hex digits. */
  Sha256,
  /** "A.B.C.D:PORT". */
  AddressText,
  /** Any number of addresses. */
  AddressList,
};

/**
 * One setting: its place, what it may be and what it does. The tables of
 * these rows are what the checks, the docs and the docs' test go by.
 */
struct SettingRow
{
  /** Dotted; "*" stands for a name that the operator chooses. */
  std::string_view path;
  SettingType type = SettingType::Integer;
  double min = 0;
  double max = 0;
  /** For Choice: the words, separated by '|'. */
  std::string_view choices;
  /** TOML of the default; empty when the setting must be given. */
  std::string_view fallback;
  std::string_view meaning;

  [[nodiscard]] bool required() const { return this->fallback.empty(); }
};

/** Every setting of the operators' folder. */
std::span<const SettingRow>
folderSettings();

/** What would be right: "an integer from 1 to 1000". */
std::string
wantedText(const SettingRow& aRow);

/** The row as a line of the table in docs/OPERATIONS.md. */
std::string
toDocLine(const SettingRow& aRow);

} // namespace poplartrack
