#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "poplartrack/base/Result.h"

namespace poplartrack {

/**
 * The change from one revision to a later one. The text of a whole update is
 * the later revision's canonical text. Otherwise the text holds steps, each a
 * JSON Patch from one canonical text to the next, and the SHA-256 of the last
 * canonical text. At 7,400 accounts a whole text is more than a megabyte and a
 * step some hundred bytes.
 */
struct RevisionUpdate
{
  /** Revision at which the steps start; 0 for a whole update. */
  std::uint64_t from = 0;
  /** The later revision. */
  std::uint64_t to = 0;
  std::string text;
};

/** Longest update text in a history row. For a larger one the row has none, and
 * readers fetch the whole text. */
constexpr std::size_t kMaxRowUpdateBytes = 16'384;

/**
 * Returns the update with one step from a canonical text to a later one.
 * BadSettings when one of them is not a canonical text.
 */
Result<RevisionUpdate>
updateBetween(std::string_view aOldText, std::string_view aNewText);

/**
 * Joins consecutive updates, each of one or more steps, into one update.
 * BadSettings when there is none, one is whole, or one does not start where the
 * previous one ends.
 */
Result<RevisionUpdate>
joinUpdates(const std::vector<RevisionUpdate>& aUpdates);

/** Reads the text of a whole update or of steps; BadSettings when it is
 * neither. */
Result<RevisionUpdate>
updateFromText(std::string_view aText);

} // namespace poplartrack
