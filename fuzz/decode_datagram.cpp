// Feeds bytes to the parser of the datagrams that relays send each other, and
// what it parses to the checks before a forwarded message is applied. A message
// that passes must have a sender with a port, be of another zone and not be
// younger than it was at its forwarder.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <variant>

#include "../src/relay/PeerDatagram.h"
#include "FuzzTarget.h"

namespace {

constexpr std::string_view kZone = "a";

/** Returns whether a forwarded message that passed the checks is valid. */
bool
isValid(const poplartrack::ForwardedStatus& aRow,
        const poplartrack::ReceivedForward& aForward)
{
  return aForward.sender.port != 0 && aForward.status.zone != kZone &&
         aForward.age >= poplartrack::Duration::zero() &&
         aForward.status.configAge >= aRow.status.configAge;
}

} // namespace

int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes{ reinterpret_cast<const char*>(aData), aSize };
  const auto datagram = poplartrack::parsePeerDatagram(bytes);
  if (!datagram) {
    return 0;
  }
  if (const auto* update =
        std::get_if<poplartrack::ReplicaListUpdate>(&*datagram)) {
    static_cast<void>(poplartrack::toListDelta(*update));
    return 0;
  }
  const auto& message = std::get<poplartrack::PeerMessage>(*datagram);
  for (const poplartrack::ForwardedStatus& row : message.forward.rows) {
    const auto forward = poplartrack::checkForwarded(row, kZone);
    if (forward && !isValid(row, *forward)) {
      std::abort();
    }
  }
  return 0;
}
