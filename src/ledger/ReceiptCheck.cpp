#include "poplartrack/ledger/ReceiptCheck.h"

namespace poplartrack {

bool
routeCovers(const Route& aRoute, std::uint32_t aLayers)
{
  std::uint32_t covered = 0;
  for (const RouteStage& stage : aRoute) {
    if (stage.runs.from != covered || stage.runs.to <= stage.runs.from) {
      return false;
    }
    covered = stage.runs.to;
  }
  return aLayers > 0 && covered == aLayers;
}

bool
receiptFollows(const Route& aRoute,
               std::size_t aStages,
               const Receipt& aReceipt)
{
  if (aReceipt.size() != aStages || aRoute.size() < aStages) {
    return false;
  }
  for (std::size_t i = 0; i < aStages; ++i) {
    const RouteStage& stage = aRoute[i];
    if (aReceipt[i] !=
        ReceiptEntry{ stage.endpoint, stage.incarnation, stage.runs }) {
      return false;
    }
  }
  return true;
}

} // namespace poplartrack
