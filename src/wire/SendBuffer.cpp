#include "SendBuffer.h"

#include <sys/socket.h>

#include <cerrno>

namespace poplartrack {

void
SendBuffer::append(std::string_view aBytes)
{
  if (this->offset > this->pending()) {
    // If the buffer never became empty, the sent part would grow.
    this->bytes.erase(0, this->offset);
    this->offset = 0;
  }
  this->bytes += aBytes;
}

SendBuffer::State
SendBuffer::flush(int aFd)
{
  while (this->pending() > 0) {
    const ssize_t taken = ::send(
      aFd, this->bytes.data() + this->offset, this->pending(), MSG_NOSIGNAL);
    if (taken < 0 && errno == EINTR) {
      continue;
    }
    if (taken < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return State::Blocked;
    }
    if (taken < 0) {
      return State::Broken;
    }
    this->offset += static_cast<std::size_t>(taken);
    this->sent += static_cast<std::uint64_t>(taken);
  }
  this->bytes.clear();
  this->offset = 0;
  return State::Empty;
}

} // namespace poplartrack
