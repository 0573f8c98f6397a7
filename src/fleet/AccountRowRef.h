#pragma once

#include <cstdint>
#include <string>

namespace poplartrack {

/** A row that a relay may report. It names its service by pointer, so that
 * names are copied only for the rows that are sent. */
struct AccountRowRef
{
  const std::string* service;
  std::uint64_t account;
  /** Tokens in use and waiting, and usual tokens a second; see AccountUse. */
  double inUse;
  double waiting;
  double usual;

  [[nodiscard]] double demand() const { return this->inUse + this->waiting; }
};

} // namespace poplartrack
