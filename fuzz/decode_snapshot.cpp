// Feeds bytes to the decoder of the snapshots that relays send each other. What
// decodes must be usable: addresses with a port, a list that says it is whole.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "../src/relay/SnapshotMessage.h"
#include "FuzzTarget.h"

int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes{ reinterpret_cast<const char*>(aData), aSize };
  const auto snapshot = poplartrack::decodeSnapshot(bytes);
  if (!snapshot) {
    return 0;
  }
  const auto hasPort = [](const poplartrack::Address& aAddress) {
    return aAddress.port != 0;
  };
  const auto& relays = snapshot.value().relays;
  const auto& list = snapshot.value().replicas;
  const bool usable = std::all_of(relays.begin(), relays.end(), hasPort) &&
                      (!list || list->fullSnapshot);
  if (!usable) {
    std::abort();
  }
  return 0;
}
