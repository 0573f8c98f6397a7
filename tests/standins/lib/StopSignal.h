#pragma once

#include <csignal>

namespace poplartrack::standins {

/** Waits for SIGTERM or SIGINT. Made first thing in main, so that every
 * thread that starts later leaves these signals to it. */
class StopSignal
{
public:
  StopSignal()
  {
    sigemptyset(&this->signals);
    sigaddset(&this->signals, SIGTERM);
    sigaddset(&this->signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
  }

  /** Leaves a further signal to wait(). */
  void add(int aSignal)
  {
    sigaddset(&this->signals, aSignal);
    pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
  }

  /** Returns the signal that came. */
  int wait() const
  {
    int number = 0;
    sigwait(&this->signals, &number);
    return number;
  }

private:
  sigset_t signals{};
};

} // namespace poplartrack::standins
