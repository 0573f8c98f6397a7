#pragma once

#include <unistd.h>

#include <utility>

namespace poplartrack {

/** A file descriptor that is closed with its owner; -1 is none. */
class OwnedFd
{
public:
  OwnedFd() = default;
  explicit OwnedFd(int aFd)
    : fd(aFd)
  {
  }
  OwnedFd(OwnedFd&& aOther) noexcept
    : fd(aOther.release())
  {
  }
  OwnedFd& operator=(OwnedFd&& aOther) noexcept
  {
    if (this != &aOther) {
      this->reset();
      this->fd = aOther.release();
    }
    return *this;
  }
  OwnedFd(const OwnedFd&) = delete;
  OwnedFd& operator=(const OwnedFd&) = delete;
  ~OwnedFd() { this->reset(); }

  [[nodiscard]] int get() const { return this->fd; }
  [[nodiscard]] bool valid() const { return this->fd >= 0; }
  /** Gives the descriptor away. */
  int release() { return std::exchange(this->fd, -1); }
  /** Closes it now. */
  void reset()
  {
    if (this->fd >= 0) {
      ::close(this->fd);
      this->fd = -1;
    }
  }

private:
  int fd = -1;
};

} // namespace poplartrack
