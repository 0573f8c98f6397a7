#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "poplartrack/store/PlatformLike.h"

namespace poplartrack::standins {

/** A write whose row was at another version. */
struct TableConflict
{
  std::string table;
  std::string key;
  /** 0: the row does not exist. */
  std::uint64_t version = 0;
};

/** Versions of the rows written (0: deleted), or every conflict. */
using CommitEnd =
  std::variant<std::vector<std::uint64_t>, std::vector<TableConflict>>;

/** Tables of rows with versions, and transactions over them. */
class TableStore
{
public:
  [[nodiscard]] std::optional<TableRow> read(const std::string& aTable,
                                             const std::string& aKey) const;
  [[nodiscard]] std::vector<TableRow> scan(const std::string& aTable,
                                           const std::string& aPrefix,
                                           const std::string& aAfter,
                                           std::size_t aLimit) const;
  /** All writes happen, or none. */
  CommitEnd commit(const std::vector<TableWrite>& aWrites);

private:
  struct Cell
  {
    std::string value;
    std::uint64_t version = 0;
  };
  using Table = std::map<std::string, Cell>;

  [[nodiscard]] std::uint64_t versionOf(const std::string& aTable,
                                        const std::string& aKey) const;

  std::map<std::string, Table> tables;
  /** One counter for all rows: a row that is deleted and made again never
   * shows an old version, so compare-and-set is not fooled. */
  std::uint64_t lastVersion = 0;
};

} // namespace poplartrack::standins
