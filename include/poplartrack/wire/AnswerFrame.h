#pragma once

#include <string>

#include "poplartrack/wire/Codec.h"
#include "poplartrack/wire/Refusal.h"
#include "poplartrack/wire/StreamServer.h"

namespace poplartrack {

/** Decodes, handles, and answers; a frame that cannot be read is refused in
 * the reply's own form. */
template<typename Message, typename Reply, typename Handler>
void
answerFrame(const std::string& aFrame,
            const Responder& aRespond,
            Handler aHandler)
{
  const Result<Message> message = decode<Message>(aFrame);
  if (!message) {
    Reply reply;
    reply.refusal = Refusal::of(message.error());
    aRespond(encode(reply));
    return;
  }
  aRespond(encode(Reply{ aHandler(message.value()) }));
}

} // namespace poplartrack
