#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "poplartrack/base/LayerRange.h"
#include "poplartrack/wire/MessageKind.h"
#include "poplartrack/wire/Refusal.h"

namespace poplartrack {

/** What an order instructs an endpoint to do. The values are sent: only append
 * new ones. */
enum class OrderKind : std::uint8_t
{
  /** Load these layers of this model version. */
  Load,
  /** Accept no new work; finish work in progress. */
  Leave,
  /** Accept work again. */
  Stay,
};

} // namespace poplartrack

MSGPACK_ADD_ENUM(poplartrack::OrderKind)

namespace poplartrack {

/** From placer to side. The side rejects a fencing number below the highest one
 * seen, since some engines do not check it. */
struct EndpointOrder
{
  static constexpr MessageKind kKind = MessageKind::EndpointOrder;

  OrderKind order = OrderKind::Load;
  std::uint64_t fence = 0;
  std::string model;
  std::string modelVersion;
  LayerRange holds;

  MSGPACK_DEFINE(order, fence, model, modelVersion, holds);
};

/** Whether the order was accepted. */
struct OrderReply
{
  static constexpr MessageKind kKind = MessageKind::OrderReply;

  Refusal refusal;

  MSGPACK_DEFINE(refusal);
};

} // namespace poplartrack
