#pragma once

#include <compare>
#include <cstdint>

#include <msgpack.hpp>

namespace poplartrack {

/** The layers [from, to) of a model; empty when from equals to. */
struct LayerRange
{
  std::uint32_t from = 0;
  std::uint32_t to = 0;

  [[nodiscard]] std::uint32_t size() const
  {
    return this->to > this->from ? this->to - this->from : 0;
  }
  [[nodiscard]] bool contains(const LayerRange& aInner) const
  {
    return this->from <= aInner.from && aInner.to <= this->to;
  }

  // The linter takes the zero that a defaulted <=> compares with for a null.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const LayerRange&, const LayerRange&) = default;
  MSGPACK_DEFINE(from, to);
};

} // namespace poplartrack
