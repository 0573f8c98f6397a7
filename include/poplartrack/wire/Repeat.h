#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "poplartrack/base/Timers.h"
#include "poplartrack/wire/StreamClient.h"

namespace poplartrack {

/** Number and interval of the retries of an idempotent message. */
struct RepeatPolicy
{
  int tries = 3;
  Duration timeout = std::chrono::seconds{ 1 };
  Duration pause = std::chrono::milliseconds{ 50 };
};

/**
 * Calls a peer with a message whose handling is idempotent, and retries until
 * there is a reply. aOnRepeat is called for each retry. The outcome of the last
 * try is reported.
 */
template<typename Reply, typename Message>
void
callRepeatedly(StreamClient& aClient,
               Timers& aTimers,
               const Address& aPeer,
               const Message& aMessage,
               const RepeatPolicy& aPolicy,
               std::function<void()> aOnRepeat,
               std::function<void(TypedResult<Reply>)> aDone)
{
  callPeer<Reply>(
    aClient,
    aPeer,
    aMessage,
    aPolicy.timeout,
    [&aClient,
     &aTimers,
     aPeer,
     aMessage,
     aPolicy,
     onRepeat = std::move(aOnRepeat),
     done = std::move(aDone)](TypedResult<Reply> aResult) mutable {
      if (aResult.outcome == CallOutcome::Replied || aPolicy.tries <= 1) {
        done(std::move(aResult));
        return;
      }
      RepeatPolicy rest = aPolicy;
      --rest.tries;
      rest.pause *= 2;
      aTimers.after(aPolicy.pause,
                    [&aClient,
                     &aTimers,
                     aPeer,
                     aMessage,
                     rest,
                     onRepeat = std::move(onRepeat),
                     done = std::move(done)]() mutable {
                      onRepeat();
                      callRepeatedly<Reply>(aClient,
                                            aTimers,
                                            aPeer,
                                            aMessage,
                                            rest,
                                            std::move(onRepeat),
                                            std::move(done));
                    });
    });
}

} // namespace poplartrack
