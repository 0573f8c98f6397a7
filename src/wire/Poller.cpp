#include "Poller.h"

#include <sys/eventfd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

namespace poplartrack {
namespace {

/** Maximum number of descriptors that one wait reports. */
constexpr std::size_t kEventsPerWait = 256;

constexpr int kForever = -1;

int
waitMillis(TimePoint aNow, std::optional<TimePoint> aUntil)
{
  if (!aUntil) {
    return kForever;
  }
  // Rounded up: otherwise waits would end early and spin until the timeout.
  const auto left =
    std::chrono::ceil<std::chrono::milliseconds>(*aUntil - aNow).count();
  constexpr std::int64_t kLongest = 60'000;
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, kLongest));
}

epoll_event
eventFor(std::uint64_t aKey, bool aWrite, bool aRead)
{
  epoll_event entry{};
  entry.events = (aRead ? EPOLLIN : 0U) | (aWrite ? EPOLLOUT : 0U);
  entry.data.u64 = aKey;
  return entry;
}

} // namespace

Poller::Poller(OwnedFd aEpoll, OwnedFd aEvent)
  : epoll(std::move(aEpoll))
  , event(std::move(aEvent))
  , raw(kEventsPerWait)
{
}

Result<Poller>
Poller::create()
{
  OwnedFd epoll{ ::epoll_create1(EPOLL_CLOEXEC) };
  OwnedFd event{ ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK) };
  if (!epoll.valid() || !event.valid()) {
    return fail(ErrorKind::Network, std::generic_category().message(errno));
  }
  Poller poller{ std::move(epoll), std::move(event) };
  if (!poller.add(poller.event.get(), kWakeKey, false)) {
    return fail(ErrorKind::Network, std::generic_category().message(errno));
  }
  return poller;
}

bool
Poller::add(int aFd, std::uint64_t aKey, bool aWrite)
{
  epoll_event entry = eventFor(aKey, aWrite, true);
  return ::epoll_ctl(this->epoll.get(), EPOLL_CTL_ADD, aFd, &entry) == 0;
}

void
Poller::change(int aFd, std::uint64_t aKey, bool aWrite, bool aRead)
{
  epoll_event entry = eventFor(aKey, aWrite, aRead);
  ::epoll_ctl(this->epoll.get(), EPOLL_CTL_MOD, aFd, &entry);
}

void
Poller::remove(int aFd)
{
  ::epoll_ctl(this->epoll.get(), EPOLL_CTL_DEL, aFd, nullptr);
}

std::span<const ReadyEvent>
Poller::wait(TimePoint aNow, std::optional<TimePoint> aUntil)
{
  this->ready.clear();
  const int count = ::epoll_wait(this->epoll.get(),
                                 this->raw.data(),
                                 static_cast<int>(this->raw.size()),
                                 waitMillis(aNow, aUntil));
  for (int i = 0; i < count; ++i) {
    const epoll_event& entry = this->raw[static_cast<std::size_t>(i)];
    if (entry.data.u64 == kWakeKey) {
      this->clearWake();
      continue;
    }
    constexpr std::uint32_t kReadable = EPOLLIN | EPOLLHUP | EPOLLERR;
    constexpr std::uint32_t kWritable = EPOLLOUT | EPOLLHUP | EPOLLERR;
    this->ready.push_back(ReadyEvent{ entry.data.u64,
                                      (entry.events & kReadable) != 0,
                                      (entry.events & kWritable) != 0 });
  }
  return this->ready;
}

void
Poller::wake()
{
  const std::uint64_t one = 1;
  // Fails only if a wake-up is already pending.
  [[maybe_unused]] const ssize_t written =
    ::write(this->event.get(), &one, sizeof one);
}

void
Poller::clearWake()
{
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t got =
    ::read(this->event.get(), &count, sizeof count);
}

} // namespace poplartrack
