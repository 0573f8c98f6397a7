#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/base/Result.h"

namespace poplartrack {

/** One row of a platform table. */
struct TableRow
{
  std::string key;
  std::string value;
  /** Grows with each write of the row; 0 never stands. */
  std::uint64_t version = 0;

  friend bool operator==(const TableRow&, const TableRow&) = default;
};

/** One write of a transaction. */
struct TableWrite
{
  std::string table;
  std::string key;
  /** Version the row must have; 0: the row must not exist. */
  std::uint64_t expect = 0;
  /** Nothing: delete the row. */
  std::optional<std::string> value;
};

/** What an instance is for. */
enum class InstanceRole : std::uint8_t
{
  Entry,
  Side,
};

/** One instance in the platform's list; late, never proof. */
struct InstanceInfo
{
  std::string name;
  InstanceRole role = InstanceRole::Side;
  std::string zone;
  std::string region;
  std::string address;
  bool draining = false;

  friend bool operator==(const InstanceInfo&, const InstanceInfo&) = default;
};

/**
 * The platform's services as poplartrack uses them. Calls block.
 *
 * Errors: Conflict (a version did not match; nothing was written), NotFound,
 * PlatformUnavailable (the call provably did not take effect) and
 * PlatformUnknown (a write's answer was lost: it may have taken effect).
 * Reads only ever fail with NotFound or PlatformUnavailable.
 */
template<typename T>
concept PlatformLike = requires(T& aPlatform,
                                const std::string& aName,
                                const std::string& aBytes,
                                const std::vector<TableWrite>& aWrites,
                                std::size_t aLimit)
{
  {
    aPlatform.readRow(aName, aName)
    } -> std::same_as<Result<std::optional<TableRow>>>;
  {
    // table, key prefix, start after this key, at most so many rows
    aPlatform.scanRows(aName, aName, aName, aLimit)
    } -> std::same_as<Result<std::vector<TableRow>>>;
  {
    aPlatform.transact(aWrites)
    } -> std::same_as<Result<std::vector<std::uint64_t>>>;
  {
    aPlatform.putObject(aName, aBytes)
    } -> std::same_as<Result<Done>>;
  {
    aPlatform.getObject(aName)
    } -> std::same_as<Result<std::string>>;
  {
    aPlatform.listInstances()
    } -> std::same_as<Result<std::vector<InstanceInfo>>>;
};

} // namespace poplartrack
