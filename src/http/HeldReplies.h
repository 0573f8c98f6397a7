#pragma once

#include <cstddef>
#include <unordered_map>

namespace poplartrack {

class HttpTransfer;

/** Bounds what the unfinished replies of a client hold together: each is below
 * its own limit, and many peers in trouble at once would still take the
 * process's memory. Not thread-safe. */
class HeldReplies
{
public:
  explicit HeldReplies(std::size_t aMostBytes)
    : mostBytes(aMostBytes)
  {
  }

  /** Sets how much a reply holds, in bytes. Returns the reply to give up, if
   * all of them hold too much: the largest, since small ones do no harm. */
  HttpTransfer* update(HttpTransfer& aReply, std::size_t aBytes);
  /** Forgets a reply. */
  void remove(HttpTransfer& aReply);

private:
  std::size_t mostBytes;
  std::size_t total = 0;
  std::unordered_map<HttpTransfer*, std::size_t> replies;
};

} // namespace poplartrack
