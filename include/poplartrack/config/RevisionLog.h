#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "poplartrack/config/RevisionUpdate.h"

namespace poplartrack {

/**
 * Keeps the latest updates that a process applied, so that it can send a peer
 * that is a few revisions behind the steps instead of the whole text. Bounded
 * in bytes.
 */
class RevisionLog
{
public:
  /** Most bytes of update text kept: some 500 changes of the usual size. */
  static constexpr std::size_t kMaxBytes = std::size_t{ 256 } << 10U;

  /** Adds the update that put the current revision in force. An update that
   * does not start at the last one's revision empties the log first; a whole
   * update only empties it. */
  void add(const RevisionUpdate& aUpdate);

  /** Returns the steps from a revision to the newest; nothing when the log does
   * not have all of them. */
  [[nodiscard]] std::optional<RevisionUpdate> since(
    std::uint64_t aRevision) const;

  /** Returns the bytes of update text kept. */
  [[nodiscard]] std::size_t bytes() const { return this->keptBytes; }

private:
  std::deque<RevisionUpdate> updates;
  std::size_t keptBytes = 0;
};

} // namespace poplartrack
