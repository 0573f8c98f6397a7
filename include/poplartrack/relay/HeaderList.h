#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplartrack {

/** Header fields of one HTTP message, in the order received. Names compare
 * case-insensitively. */
class HeaderList
{
public:
  using Field = std::pair<std::string, std::string>;

  void add(std::string aName, std::string aValue)
  {
    this->fields.emplace_back(std::move(aName), std::move(aValue));
  }
  void clear() { this->fields.clear(); }
  /** Returns the value of the first field with this name. */
  [[nodiscard]] std::optional<std::string_view> find(
    std::string_view aName) const;
  /** Returns the number of fields with this name. */
  [[nodiscard]] std::size_t count(std::string_view aName) const;
  /** Whether the comma-separated list in a field with this name contains the
   * token, compared case-insensitively. */
  [[nodiscard]] bool hasToken(std::string_view aName,
                              std::string_view aToken) const;
  [[nodiscard]] const std::vector<Field>& all() const { return this->fields; }

private:
  std::vector<Field> fields;
};

/** Compares two header names or tokens case-insensitively. */
bool
sameToken(std::string_view aLeft, std::string_view aRight);

/** Whether a field is hop-by-hop: it applies to one connection only and is not
 * forwarded. That includes the names listed in the Connection field. */
bool
isHopByHop(const HeaderList& aHeaders, std::string_view aName);

} // namespace poplartrack
