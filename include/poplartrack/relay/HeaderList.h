#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplartrack {

/** Header fields of one message in their order; names compare without regard
 * to case. */
class HeaderList
{
public:
  using Field = std::pair<std::string, std::string>;

  void add(std::string aName, std::string aValue)
  {
    this->fields.emplace_back(std::move(aName), std::move(aValue));
  }
  void clear() { this->fields.clear(); }
  /** The first field of this name. */
  [[nodiscard]] std::optional<std::string_view> find(
    std::string_view aName) const;
  /** How many fields have this name. */
  [[nodiscard]] std::size_t count(std::string_view aName) const;
  /** Whether the field's comma-separated values hold this word. */
  [[nodiscard]] bool hasToken(std::string_view aName,
                              std::string_view aToken) const;
  [[nodiscard]] const std::vector<Field>& all() const { return this->fields; }

private:
  std::vector<Field> fields;
};

/** Whether two header names or tokens are the same but for case. */
bool
sameToken(std::string_view aLeft, std::string_view aRight);

/** Whether a field concerns only one connection and is never forwarded. */
bool
isHopByHop(const HeaderList& aHeaders, std::string_view aName);

} // namespace poplartrack
