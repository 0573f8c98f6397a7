#pragma once

#include <cerrno>

#include "ConnectionEnd.h"

namespace poplartrack {

/**
 * Judges how an established connection has ended. A call that fails consumes
 * the socket's pending error: if a write meets a reset first, a read returns
 * what had arrived and then 0, as at a regular end. So the first error decides.
 */
class EndJudge
{
public:
  /** Records the error of a write. EPIPE says that the regular end had come
   * before: Linux reports a reset after it so. */
  void onWriteError(int aErrno)
  {
    this->writeFailed = true;
    if (aErrno != EPIPE && this->firstError == 0) {
      this->firstError = aErrno;
    }
  }
  /** Whether a write has failed: the connection carries no other request. */
  [[nodiscard]] bool hasWriteError() const { return this->writeFailed; }
  /** Returns how the connection has ended if a read returns no bytes. aErrno:
   * the error of that read, or 0 if it returns the end. */
  [[nodiscard]] ConnectionEnd endOf(int aErrno) const
  {
    const int error = this->firstError == 0 ? aErrno : this->firstError;
    if (error == 0) {
      return ConnectionEnd::Finished;
    }
    return error == ETIMEDOUT ? ConnectionEnd::Silent : ConnectionEnd::Broken;
  }

private:
  int firstError = 0;
  bool writeFailed = false;
};

} // namespace poplartrack
