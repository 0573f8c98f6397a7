#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace poplartrack {

/** The type and format that a setting's value must have. */
enum class SettingType : std::uint8_t
{
  Integer,
  /** An integer or a float. */
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
 * Describes one setting: its key, its allowed values and its effect. The
 * validation of settings files and the tables in docs/OPERATIONS.md both
 * follow the tables of these rows; a test compares the two.
 */
struct SettingRow
{
  /** Dotted key; "*" stands for a name that the operator chooses. */
  std::string_view path;
  SettingType type = SettingType::Integer;
  /** Bounds of the value, both inclusive; for Integer and Number. */
  double min = 0;
  double max = 0;
  /** For Choice: the allowed values, separated by '|'. */
  std::string_view choices;
  /** The default as TOML; empty if the setting is required. */
  std::string_view defaultValue;
  /** For people: what the setting does. */
  std::string_view description;

  [[nodiscard]] bool required() const { return this->defaultValue.empty(); }
};

/** Returns the rows of all settings of the operators' folder. */
std::span<const SettingRow>
folderSettings();

/** Describes the allowed values, for example "an integer from 1 to 1000". */
std::string
expectedValueText(const SettingRow& aRow);

/** Formats the row as a line of a table in docs/OPERATIONS.md. */
std::string
toDocTableRow(const SettingRow& aRow);

} // namespace poplartrack
