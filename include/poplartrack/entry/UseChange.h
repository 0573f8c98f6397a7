#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplartrack {

/** Whether an entry chooses an endpoint. */
enum class EndpointUse : std::uint8_t
{
  InUse,
  /** Only if no other endpoint covers its layers. */
  LastResort,
  OutOfUse,
};

/** The use as words for logs. */
constexpr std::string_view
nameOf(EndpointUse aUse)
{
  constexpr std::array<std::string_view, 3> kNames{
    "in use again",
    "a last resort until it answers",
    "out of use until it answers",
  };
  return kNames[static_cast<std::size_t>(aUse)];
}

/** A change of an endpoint's use, for the log. */
struct UseChange
{
  std::string endpoint;
  EndpointUse use = EndpointUse::InUse;
  /** The evidence. */
  std::string_view cause;
};

} // namespace poplartrack
