// Feeds bytes to the decoder of the platform's list of replicas, into which
// others may write. What decodes must name a replica that can be used: an
// address, a service, a zone, slots, and layers that are a range.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "FuzzTarget.h"
#include "platform/ReplicaDecoder.h"

int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes{ reinterpret_cast<const char*>(aData), aSize };
  const auto replica = poplartrack::decodeReplica("i-1", bytes);
  if (replica) {
    const poplartrack::Replica& read = replica.value();
    const bool usable = !read.service.empty() && !read.zone.empty() &&
                        read.address.port != 0 && read.slots > 0 &&
                        (!read.layers || read.layers->size() > 0);
    if (!usable) {
      std::abort();
    }
  }
  // A report's fields have defaults; reading it must only not fail.
  static_cast<void>(poplartrack::decodeReport(bytes).ok());
  return 0;
}
