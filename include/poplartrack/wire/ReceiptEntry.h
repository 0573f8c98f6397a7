#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/** The endpoint that ran some layers of one token. */
struct ReceiptEntry
{
  std::string endpoint;
  std::uint64_t incarnation = 0;
  LayerRange ran;

  friend bool operator==(const ReceiptEntry&, const ReceiptEntry&) = default;
  MSGPACK_DEFINE(endpoint, incarnation, ran);
};

/** The stages that generated one token, in the order in which they ran. */
using Receipt = std::vector<ReceiptEntry>;

} // namespace poplartrack
