#include "poplartrack/wire/Codec.h"

namespace poplartrack {

Result<MessageKind>
kindOf(std::string_view aFrame)
{
  if (aFrame.size() <= kFrameHeaderBytes) {
    return fail(ErrorKind::Malformed, "the frame is truncated");
  }
  if (aFrame.size() > kMaxFrameBytes) {
    return fail(ErrorKind::TooLarge, "the frame is over 4 MiB");
  }
  if (static_cast<std::uint8_t>(aFrame[0]) != kWireVersion) {
    return fail(ErrorKind::WrongVersion,
                "version " +
                  std::to_string(static_cast<std::uint8_t>(aFrame[0])));
  }
  const auto kind = static_cast<std::uint8_t>(aFrame[1]);
  if (kind > static_cast<std::uint8_t>(kLastMessageKind)) {
    return fail(ErrorKind::Malformed, "message kind " + std::to_string(kind));
  }
  return static_cast<MessageKind>(kind);
}

} // namespace poplartrack
