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
  /** Grows with each write of the row. Never 0. */
  std::uint64_t version = 0;

  friend bool operator==(const TableRow&, const TableRow&) = default;
};

/** One write of a transaction. */
struct TableWrite
{
  std::string table;
  std::string key;
  /** Version that the row must have; 0 if it must not exist. */
  std::uint64_t expect = 0;
  /** New value; nothing deletes the row. */
  std::optional<std::string> value;
};

/** Which process runs on an instance: poplartrack-entry or poplartrack-side. */
enum class InstanceRole : std::uint8_t
{
  Entry,
  Side,
};

/** One entry of the platform's instance list. The list may be out of date and
 * proves nothing about the instance. */
struct InstanceInfo
{
  std::string name;
  InstanceRole role = InstanceRole::Side;
  std::string zone;
  std::string region;
  std::string address;
  /** The instance is about to be removed as planned. */
  bool draining = false;

  friend bool operator==(const InstanceInfo&, const InstanceInfo&) = default;
};

/**
 * The platform's services that poplartrack uses: versioned table rows,
 * immutable objects and the instance list. Calls block.
 *
 * Errors: Conflict (a version did not match; nothing was written), NotFound,
 * PlatformUnavailable (the call provably did not take effect) and
 * PlatformUnknown (the answer to a write was lost; it may have taken effect).
 * Reads fail only with NotFound or PlatformUnavailable.
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
    // table, key prefix, key after which to start, maximum number of rows
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
