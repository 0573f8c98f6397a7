// Feeds bytes to the decoder of every kind of frame. A frame that decodes must
// encode to a frame that decodes to the same bytes again.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "FuzzTarget.h"
#include "poplartrack/wire/Codec.h"
#include "poplartrack/wire/ConfigFetch.h"
#include "poplartrack/wire/EndpointOrder.h"
#include "poplartrack/wire/FenceRequest.h"
#include "poplartrack/wire/OpenAttempt.h"
#include "poplartrack/wire/PlainCall.h"
#include "poplartrack/wire/Probe.h"
#include "poplartrack/wire/RunStep.h"
#include "poplartrack/wire/ShareWishes.h"
#include "poplartrack/wire/StageTrouble.h"
#include "poplartrack/wire/TokenReady.h"

namespace poplartrack {
namespace {

/** Whether the frame was of this message's kind and could be read. */
template<typename Message>
bool
readsBack(std::string_view aFrame)
{
  const Result<Message> message = decode<Message>(aFrame);
  if (!message) {
    return false;
  }
  const std::string again = encode(message.value());
  const Result<Message> second = decode<Message>(again);
  if (!second || encode(second.value()) != again) {
    std::abort();
  }
  return true;
}

template<typename... Message>
int
countReaders(std::string_view aFrame)
{
  return (0 + ... + (readsBack<Message>(aFrame) ? 1 : 0));
}

/** One type for each kind; a new kind belongs here. */
int
decodeAsEveryKind(std::string_view aFrame)
{
  static_assert(kLastMessageKind == MessageKind::ShareGrants);
  return countReaders<OpenAttempt,
                      OpenReply,
                      RunStep,
                      StepReply,
                      TokenReady,
                      TokenReply,
                      StageTrouble,
                      TroubleReply,
                      FenceRequest,
                      FenceReply,
                      PlainCall,
                      PlainReply,
                      Probe,
                      ProbeReply,
                      EndpointOrder,
                      OrderReply,
                      ConfigFetch,
                      ConfigReply,
                      ShareWishes,
                      ShareGrants>(aFrame);
}

} // namespace
} // namespace poplartrack

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view frame{ reinterpret_cast<const char*>(aData), aSize };
  // A frame names one kind, so no second decoder may accept it.
  if (poplartrack::decodeAsEveryKind(frame) > 1) {
    std::abort();
  }
  return 0;
}
