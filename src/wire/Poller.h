#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <sys/epoll.h>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/OwnedFd.h"
#include "poplartrack/base/Result.h"

namespace poplartrack {

/** What a watched descriptor is ready for. */
struct ReadyEvent
{
  std::uint64_t key = 0;
  bool readable = false;
  bool writable = false;
};

/** epoll with an eventfd, so that other threads can end a wait. All calls but
 * wake() belong to one thread. */
class Poller
{
public:
  /** Key of no descriptor; used for the eventfd itself. */
  static constexpr std::uint64_t kWakeKey = 0;

  static Result<Poller> create();

  /** Starts to watch a descriptor for reading, and for writing if aWrite.
   * False when the kernel refuses. */
  bool add(int aFd, std::uint64_t aKey, bool aWrite);
  /** Changes what a watched descriptor is watched for. */
  void change(int aFd, std::uint64_t aKey, bool aWrite, bool aRead = true);
  /** Stops watching a descriptor that stays open. */
  void remove(int aFd);
  /** Waits until something is ready, wake() was called or aUntil has come.
   * The events are valid until the next wait. */
  std::span<const ReadyEvent> wait(TimePoint aNow,
                                   std::optional<TimePoint> aUntil);
  /** Ends the present or the next wait; from any thread. */
  void wake();

private:
  Poller(OwnedFd aEpoll, OwnedFd aEvent);
  void clearWake();

  OwnedFd epoll;
  OwnedFd event;
  std::vector<epoll_event> raw;
  std::vector<ReadyEvent> ready;
};

} // namespace poplartrack
