#include "PeerState.h"

namespace poplartrack {

std::string
incarnationName(const Address& aPeer, std::uint64_t aIncarnation)
{
  return toText(aPeer) + "/" + std::to_string(aIncarnation);
}

} // namespace poplartrack
