#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/wire/CallOutcome.h"
#include "poplartrack/wire/Codec.h"

namespace poplartrack {

/** Timeouts and limits of a client. */
struct StreamClientLimits
{
  Duration connectTimeout = std::chrono::seconds{ 1 };
  /** After a connect that failed at once, calls to that peer fail as NotSent
   * for this long plus a random time up to as much again, so that not all
   * processes reconnect at once when a zone is available again. After a connect
   * timeout, the next call begins another connect: it has waited for longer
   * already. */
  Duration reconnectBackoff = std::chrono::milliseconds{ 100 };
  std::size_t maxFrameBytes = kMaxFrameBytes;
  /** A peer with open calls that has been silent this long is sent a PING. */
  Duration pingInterval = std::chrono::seconds{ 1 };
  /** If a PING is not answered for this long, the connection is closed. */
  Duration pingTimeout = std::chrono::seconds{ 2 };
};

/** Called once with the result of a call, on the client's I/O thread. */
using CallDone = std::function<void(CallResult aResult)>;

/**
 * Calls other poplartrack processes, with one persistent connection for each
 * peer, one HTTP/2 stream for each call, and one I/O thread. Never retries a
 * call by itself. A stream that the peer certainly did not handle
 * (REFUSED_STREAM, above GOAWAY's last id, connect failure) ends as NotSent,
 * any other interruption as Unknown.
 */
class StreamClient
{
public:
  static Result<std::unique_ptr<StreamClient>> create(
    StreamClientLimits aLimits);
  StreamClient(const StreamClient&) = delete;
  StreamClient& operator=(const StreamClient&) = delete;
  /** Ends calls in progress as Unknown. */
  ~StreamClient();

  /** Starts a call and returns at once. */
  void call(const Address& aPeer,
            std::string aFrame,
            Duration aTimeout,
            CallDone aDone);

private:
  class Impl;
  explicit StreamClient(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

/** Result of a typed call: the reply, or the outcome without one. */
template<typename Reply>
struct TypedResult
{
  CallOutcome outcome = CallOutcome::Unknown;
  /** Valid only if outcome is Replied. */
  Reply reply;
  std::string detail;
  /** As in CallResult. */
  bool silent = false;
};

/** Sends a message and decodes the reply. A reply that cannot be decoded counts
 * as Unknown: the peer may have handled the message. */
template<typename Reply, typename Message>
void
callPeer(StreamClient& aClient,
         const Address& aPeer,
         const Message& aMessage,
         Duration aTimeout,
         std::function<void(TypedResult<Reply>)> aDone)
{
  aClient.call(aPeer,
               encode(aMessage),
               aTimeout,
               [done = std::move(aDone)](CallResult aResult) {
                 TypedResult<Reply> typed;
                 typed.outcome = aResult.outcome;
                 typed.detail = std::move(aResult.detail);
                 typed.silent = aResult.silent;
                 if (aResult.outcome == CallOutcome::Replied) {
                   Result<Reply> reply = decode<Reply>(aResult.frame);
                   if (reply) {
                     typed.reply = std::move(reply).value();
                   } else {
                     typed.outcome = CallOutcome::Unknown;
                     typed.detail = describe(reply.error());
                   }
                 }
                 done(std::move(typed));
               });
}

} // namespace poplartrack
