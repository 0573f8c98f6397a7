#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "poplartrack/base/Result.h"
#include "poplartrack/wire/BoundedUnpack.h"
#include "poplartrack/wire/MessageKind.h"

namespace poplartrack {

/** Version of all messages between the system's own processes. */
constexpr std::uint8_t kWireVersion = 1;
/** Bytes before the MessagePack body: version, kind. */
constexpr std::size_t kFrameHeaderBytes = 2;
/** Largest frame that is accepted: the configuration of 7,400 accounts is
 * larger than 1 MiB, and an entry that starts in an outage fetches it from a
 * peer. */
constexpr std::size_t kMaxFrameBytes = 4U << 20U;

/** Returns the kind of a frame; Malformed or WrongVersion if it has none. */
Result<MessageKind>
kindOf(std::string_view aFrame);

/** Encodes a message as a frame: [version][kind][MessagePack array]. */
template<typename Message>
std::string
encode(const Message& aMessage)
{
  msgpack::sbuffer body;
  msgpack::pack(body, aMessage);
  std::string frame;
  frame.reserve(kFrameHeaderBytes + body.size());
  frame += static_cast<char>(kWireVersion);
  frame += static_cast<char>(Message::kKind);
  frame.append(body.data(), body.size());
  return frame;
}

/** Decodes the message in a frame. Never throws and never reads past the
 * frame. */
template<typename Message>
Result<Message>
decode(std::string_view aFrame)
{
  const Result<MessageKind> kind = kindOf(aFrame);
  if (!kind) {
    return kind.error();
  }
  if (kind.value() != Message::kKind) {
    return fail(ErrorKind::Malformed, "another kind of message was expected");
  }
  const std::string_view body = aFrame.substr(kFrameHeaderBytes);
  try {
    std::size_t at = 0;
    const msgpack::object_handle handle = unpackBounded(body, at);
    return handle.get().template as<Message>();
  } catch (const std::exception& problem) {
    return fail(ErrorKind::Malformed, problem.what());
  }
}

} // namespace poplartrack
