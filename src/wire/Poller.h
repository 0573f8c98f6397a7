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
  /** Key of the eventfd; no descriptor has it. */
  static constexpr std::uint64_t kWakeKey = 0;

  static Result<Poller> create();

  /** Starts to watch a descriptor for reading, and for writing if aWrite.
   * Returns false on failure. */
  bool add(int aFd, std::uint64_t aKey, bool aWrite);
  /** Changes the events that a descriptor is watched for. */
  void change(int aFd, std::uint64_t aKey, bool aWrite, bool aRead = true);
  /** Stops watching a descriptor that stays open. */
  void remove(int aFd);
  /** Waits until a descriptor is ready, wake() is called, or aUntil. The events
   * are valid until the next wait. */
  std::span<const ReadyEvent> wait(TimePoint aNow,
                                   std::optional<TimePoint> aUntil);
  /** Ends the current or the next wait. May be called from any thread. */
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
