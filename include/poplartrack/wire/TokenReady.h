#pragma once

#include <cstdint>

#include <msgpack.hpp>

#include "poplartrack/base/RequestId.h"
#include "poplartrack/wire/LoadHint.h"
#include "poplartrack/wire/MessageKind.h"
#include "poplartrack/wire/ReceiptEntry.h"
#include "poplartrack/wire/Refusal.h"

namespace poplartrack {

/** From the last side of a route to the entry: one token and the receipt of its
 * stages. */
struct TokenReady
{
  static constexpr MessageKind kKind = MessageKind::TokenReady;

  RequestId request;
  std::uint32_t attempt = 0;
  /** The token's position: one after the last input it was generated from. */
  std::uint32_t position = 0;
  std::uint32_t token = 0;
  Receipt receipt;
  LoadHint load;

  MSGPACK_DEFINE(request, attempt, position, token, receipt, load);
};

/** The entry's reply. After a rejection the side drops the attempt. */
struct TokenReply
{
  static constexpr MessageKind kKind = MessageKind::TokenReply;

  Refusal refusal;

  MSGPACK_DEFINE(refusal);
};

} // namespace poplartrack
