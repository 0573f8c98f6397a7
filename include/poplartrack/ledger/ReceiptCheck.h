#pragma once

#include <cstddef>
#include <cstdint>

#include "poplartrack/wire/ReceiptEntry.h"
#include "poplartrack/wire/RouteStage.h"

namespace poplartrack {

/** Returns whether the stages of a route cover [0, aLayers) once, in order. */
bool
routeCovers(const Route& aRoute, std::uint32_t aLayers);

/**
 * Returns whether a receipt lists exactly the first aStages stages of a route,
 * in order: same endpoints, same incarnations, same layers. If the route covers
 * the model, this proves that each layer of these stages ran exactly once.
 */
bool
receiptFollows(const Route& aRoute,
               std::size_t aStages,
               const Receipt& aReceipt);

} // namespace poplartrack
